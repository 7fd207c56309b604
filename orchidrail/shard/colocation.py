"""When a task that fills and one that serves share a worker all the same.

What fills slows what serves, by an amount that nobody knows before, so the two
are kept apart while there are other workers. But either may be on all workers
that the other may use, for good. So a task that has waited for a while is put
beside the other kind, the answers of what serves are watched there, and what
fills is stopped where they are late. It goes elsewhere then, or comes back
after a time.
"""

from __future__ import annotations

from collections.abc import Iterable

from orchidrail.shard.tracked_worker import (
    PlacedRun,
    TaskRole,
    TrackedWorker,
    role_of,
)
from orchidrail.types import Seconds
from orchidrail.work.step import StepState

#: Wait after which tasks are put beside those that they are kept from: a
#: question for tickets and a start must follow before they stand still for 3 s.
_KEPT_APART_FOR: Seconds = 1.5
#: Time for which answers must be late: what is listed is rough, and a worker is
#: heard each 0.8 s. Users bear it for 4 s, a stop takes up to 0.9 s.
_LATE_FOR: Seconds = 0.7
#: How long a worker on which answers were late gets no more of what fills: how
#: much the two disturb each other shifts within seconds, and a task that has no
#: other worker stands still meanwhile.
_PARTED_FOR: Seconds = 2.0


def separation_expired(step: StepState, now: Seconds) -> bool:
    """Whether tasks of a step have waited for too long to be kept apart."""
    since = step.waiting_since()
    return since is not None and now - since >= _KEPT_APART_FOR


def may_colocate(step: StepState, tracked: TrackedWorker, now: Seconds) -> bool:
    """Whether a step's tasks may be put beside what runs on a worker now."""
    if tracked.is_compatible(step.spec):
        return True
    return separation_expired(step, now) and may_share_worker(
        step, tracked, now
    )


def may_share_worker(
    step: StepState, tracked: TrackedWorker, now: Seconds
) -> bool:
    """Whether a step that waits too long may be put beside the other kind.

    What fills must be free to be stopped again, and must not have been stopped
    there of late.
    """
    if now < tracked.best_effort_barred_until:
        return False
    if role_of(step.spec) is TaskRole.BEST_EFFORT:
        return not step.spec.may_miss
    return all(
        run.task is None or not run.task.step.spec.may_miss
        for run in best_effort_runs(tracked.run_by_key.values())
    )


def best_effort_runs(runs: Iterable[PlacedRun]) -> list[PlacedRun]:
    """Return the runs among some that fill."""
    return [
        run
        for run in runs
        if run.task is not None
        and role_of(run.task.step.spec) is TaskRole.BEST_EFFORT
    ]


def best_effort_to_evict(
    tracked: TrackedWorker, now: Seconds
) -> list[PlacedRun]:
    """Return the runs to be stopped where answers have been late for long."""
    runs = tracked.run_by_key.values()
    if not any(now - run.late_since >= _LATE_FOR for run in runs):
        return []
    found = best_effort_runs(runs)
    if found:
        tracked.best_effort_barred_until = now + _PARTED_FOR
    return found
