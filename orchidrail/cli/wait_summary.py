"""Describes what the tasks of an open job wait for."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from orchidrail.cli.explain import LogLine, is_over
from orchidrail.shard.eligibility import IneligibleReason
from orchidrail.shard.pending_advice import AdviceRequestState

_WAIT_EVENT = 'tasks wait'
_TEXT_BY_REASON = {
    IneligibleReason.UNSUITED.value: 'of another kind or too small',
    IneligibleReason.QUARANTINED.value: 'resting after failures',
    IneligibleReason.ISOLATED_RETRY.value: 'trying a task that may crash it',
    IneligibleReason.EVACUATED.value: 'in an evacuated zone',
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
    IneligibleReason.QOS_CLASS.value: 'with tasks that must not be beside it',
    IneligibleReason.RESERVED.value: 'kept for other work',
    IneligibleReason.FAILED.value: (
        'avoided, as a task of the step failed there'
    ),
    IneligibleReason.TICKET.value: 'without a valid ticket',
    IneligibleReason.NONE.value: 'with nothing that keeps them from it',
}
_TEXT_BY_REQUEST_STATE = {
    AdviceRequestState.QUEUED.value: 'for a lane',
    AdviceRequestState.IN_FLIGHT.value: 'for its answer',
}


def summarize_waits(lines: Iterable[LogLine]) -> list[str]:
    """Describe what the tasks of a job wait for, a sentence per item.

    Parameters
    ----------
    lines : iterable of LogLine
        The result of `explain`.

    Returns
    -------
    list of str
        Empty for a job that has ended, or none of whose waits were logged.
    """
    found = list(lines)
    waits = [line for line in found if line.event == _WAIT_EVENT]
    if not waits or is_over(found):
        return []
    longest = max(waits, key=lambda line: float(line.fields['seconds']))
    return [
        'The job is not over. The longest wait of its tasks that was told: '
        f'{longest.fields["seconds"]} s, step {longest.fields["step"]}, '
        f'at {longest.timestamp}.',
        *_describe_wait(waits[-1]),
    ]


def _describe_wait(line: LogLine) -> Iterator[str]:
    fields = line.fields
    together = ' that start together' if fields.get('starts') == 'gang' else ''
    yield (
        f'The last that was told, at {line.timestamp}: {fields["tasks"]} '
        f'task(s){together} of step {fields["step"]}.'
    )
    counts = ', '.join(
        f'{count} {_describe_reason(reason)}'
        for reason, count in fields.get('workers', {}).items()
    )
    yield f'Workers: {counts}.'
    for worker, reason in fields.get('idle', {}).items():
        yield f'Room on {worker}: {_describe_reason(reason)}.'
    yield from _describe_advice_request(fields)
    unheard = fields.get('unheard')
    if unheard is not None:
        yield f'A worker with tasks of the step was not heard for {unheard} s.'


def _describe_advice_request(fields: dict[str, Any]) -> Iterator[str]:
    seconds = fields.get('question')
    if seconds is not None:
        state = fields.get('question_state', '')
        yield (
            f'Its question for advice began {seconds} s before and has waited '
            f'{_TEXT_BY_REQUEST_STATE.get(state, state)} for '
            f'{fields.get("question_in_state", seconds)} s.'
        )


def _describe_reason(obstacle: str) -> str:
    """Describe an ineligibility reason.

    A reason that this version doesn't know, logged by another version, is
    returned as it is.
    """
    return _TEXT_BY_REASON.get(obstacle, obstacle)
