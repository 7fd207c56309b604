"""What the tasks of a job that is not over wait for, in words."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from orchidrail.cli.explain import LogLine, is_over
from orchidrail.shard.eligibility import IneligibleReason
from orchidrail.shard.pending_advice import AdviceRequestState

_WAITING = 'tasks wait'
_WORDS_BY_OBSTACLE = {
    IneligibleReason.UNSUITED.value: 'of another kind or too small',
    IneligibleReason.RESTS.value: 'resting after failures',
    IneligibleReason.TRIAL.value: 'trying a task that may crash it',
    IneligibleReason.CLOSED.value: 'draining, silent or gone',
    IneligibleReason.NOT_ASKED.value: 'not asked about yet',
    IneligibleReason.NOT_PERMITTED.value: 'not permitted',
    IneligibleReason.HELD.value: (
        'full by what is held for questions of other steps'
    ),
    IneligibleReason.ROOM.value: 'full',
    IneligibleReason.COPIES.value: (
        'with as many tasks of the step as they may have'
    ),
    IneligibleReason.ROLE.value: 'with tasks that must not be beside it',
    IneligibleReason.KEPT.value: 'kept for other work',
    IneligibleReason.FAILED.value: (
        'avoided, as a task of the step failed there'
    ),
    IneligibleReason.TICKET.value: 'without a valid ticket',
    IneligibleReason.NONE.value: 'with nothing that keeps them from it',
}
_WORDS_BY_STATE = {
    AdviceRequestState.QUEUED.value: 'for a lane',
    AdviceRequestState.IN_FLIGHT.value: 'for its answer',
}


def summarize_waits(lines: Iterable[LogLine]) -> list[str]:
    """Return sentences on what the tasks of a job wait for.

    Parameters
    ----------
    lines : iterable of LogLine
        What `explain` found, in order.

    Returns
    -------
    Nothing for a job that is over, or none of whose tasks waited for long.
    """
    found = list(lines)
    waits = [line for line in found if line.event == _WAITING]
    if not waits or is_over(found):
        return []
    longest = max(waits, key=lambda line: float(line.fields['seconds']))
    return [
        'The job is not over. The longest wait of its tasks that was told: '
        f'{longest.fields["seconds"]} s, step {longest.fields["step"]}, '
        f'at {longest.timestamp}.',
        *_last_wait(waits[-1]),
    ]


def _last_wait(line: LogLine) -> Iterator[str]:
    fields = line.fields
    together = ' that start together' if fields.get('starts') == 'gang' else ''
    yield (
        f'The last that was told, at {line.timestamp}: {fields["tasks"]} '
        f'task(s){together} of step {fields["step"]}.'
    )
    counts = ', '.join(
        f'{count} {_words(obstacle)}'
        for obstacle, count in fields.get('workers', {}).items()
    )
    yield f'Workers: {counts}.'
    for worker, obstacle in fields.get('idle', {}).items():
        yield f'Room on {worker}: {_words(obstacle)}.'
    yield from _question(fields)
    unheard = fields.get('unheard')
    if unheard is not None:
        yield f'A worker with tasks of the step was not heard for {unheard} s.'


def _question(fields: dict[str, Any]) -> Iterator[str]:
    seconds = fields.get('question')
    if seconds is not None:
        state = fields.get('question_state', '')
        yield (
            f'Its question for advice began {seconds} s before and has waited '
            f'{_WORDS_BY_STATE.get(state, state)} for '
            f'{fields.get("question_in_state", seconds)} s.'
        )


def _words(obstacle: str) -> str:
    """Return what an obstacle means; another version may know others."""
    return _WORDS_BY_OBSTACLE.get(obstacle, obstacle)
