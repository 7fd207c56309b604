"""Colocation of best-effort and latency-sensitive tasks on one worker.

Best-effort tasks slow latency-sensitive ones by an amount that is not known in
advance, so the two are separated while other workers are available. But one of
them may occupy all workers that the other may use, without end. So a task that
has waited for a while is colocated with the other class, the response times of
the latency-sensitive task are monitored there, and the best-effort task is
stopped if they exceed their target. It then goes elsewhere, or comes back after
a while.
"""

from __future__ import annotations

from collections.abc import Iterable

from orchidrail.shard.tracked_worker import (
    PlacedRun,
    QosClass,
    TrackedWorker,
    qos_class_of,
)
from orchidrail.types import Seconds
from orchidrail.work.step import StepState

#: Wait after which tasks are colocated with the other class. It leaves time for
#: an advice request and a start within the 3 s for which tasks may make no
#: progress.
_MAX_SEPARATION: Seconds = 1.5
#: How long response times must exceed their target: listed times are rough, and
#: a worker reports every 0.8 s. Users tolerate high response times for 4 s, of
#: which a stop takes up to 0.9 s.
_LATE_DURATION: Seconds = 0.7
#: How long a worker with late responses gets no more best-effort tasks. Kept
#: short: interference changes within seconds, and a task without another worker
#: makes no progress meanwhile.
_BAR_DURATION: Seconds = 2.0


def separation_expired(step: StepState, now: Seconds) -> bool:
    """Whether tasks of a step have waited too long to stay separated."""
    since = step.waiting_since()
    return since is not None and now - since >= _MAX_SEPARATION


def may_colocate(step: StepState, tracked: TrackedWorker, now: Seconds) -> bool:
    """Whether a step's tasks may be added to a worker's current runs."""
    if tracked.is_compatible(step.spec):
        return True
    return separation_expired(step, now) and may_share_worker(
        step, tracked, now
    )


def may_share_worker(
    step: StepState, tracked: TrackedWorker, now: Seconds
) -> bool:
    """Whether an overdue step may be colocated with the other class.

    Only if the best-effort tasks may be stopped again, and none was stopped
    there recently.
    """
    if now < tracked.best_effort_barred_until:
        return False
    if qos_class_of(step.spec) is QosClass.BEST_EFFORT:
        return not step.spec.may_miss
    return all(
        run.task is None or not run.task.step.spec.may_miss
        for run in best_effort_runs(tracked.run_by_key.values())
    )


def best_effort_runs(runs: Iterable[PlacedRun]) -> list[PlacedRun]:
    """Return the best-effort runs among some runs."""
    return [
        run
        for run in runs
        if run.task is not None
        and qos_class_of(run.task.step.spec) is QosClass.BEST_EFFORT
    ]


def best_effort_to_evict(
    tracked: TrackedWorker, now: Seconds
) -> list[PlacedRun]:
    """Return the runs to stop if response times stay above their target.

    If there are any, best-effort tasks are barred from the worker for a while.
    """
    runs = tracked.run_by_key.values()
    if not any(now - run.late_since >= _LATE_DURATION for run in runs):
        return []
    found = best_effort_runs(runs)
    if found:
        tracked.best_effort_barred_until = now + _BAR_DURATION
    return found
