"""Backfill reservations: workers kept free for gangs and large tasks.

Without them, small tasks take all capacity that becomes free, and a task that
needs most of a worker, or a gang, waits for as long as small tasks arrive.
"""

from __future__ import annotations

import math

from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.types import Seconds, WorkerId
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size
from orchidrail.work.step import StepState

#: A task counts as large if at most this many fit on an idle worker.
_MAX_LARGE_COPIES = 2
#: Share of work done above which the progress of a run predicts its end better
#: than its estimate.
_MIN_PREDICTIVE_SHARE = 0.2
#: A run past its estimate is expected to end after this time.
_OVERRUN_ENDS_IN: Seconds = 0.5
_PERCENT = 100
_HALVES = 2


def half_in_use(workers: list[TrackedWorker]) -> bool:
    """Whether at least half of the workers' resources is in use.

    While more is free, no work has to wait for a reserved worker.
    """
    cores, accelerators = 0, 0
    for tracked in workers:
        free, total = tracked.free, tracked.entry.capacity
        cores += total.millicores - _HALVES * free.millicores
        accelerators += total.accelerators - _HALVES * free.accelerators
    return cores >= 0 and accelerators >= 0


def needs_reservation(spec: StepSpec, max_copies: int) -> bool:
    """Whether a step's tasks cannot be placed one by one.

    A gang needs all of its capacity at once, a large task most of a worker.

    Parameters
    ----------
    max_copies : int
        Tasks of the step that fit on the largest worker when it is idle.
    """
    return spec.gang or 0 < max_copies <= _MAX_LARGE_COPIES


def choose_reserved_workers(
    step: StepState,
    missing: int,
    candidates: list[TrackedWorker],
    now: Seconds,
) -> set[WorkerId]:
    """Choose workers that will soonest have capacity for `missing` tasks.

    None is chosen for a gang that can never fit on these workers together: it
    would keep them from other work forever.
    """
    size = step.spec.charged
    candidates_by_wait = [
        (time_until_free(tracked, size, now), tracked)
        for tracked in candidates
        if _expected_slots(step, tracked)
    ]
    candidates_by_wait.sort(key=lambda pair: pair[0])
    reserved: set[WorkerId] = set()
    for wait, tracked in candidates_by_wait:
        if missing <= 0 or wait == math.inf:
            break
        reserved.add(tracked.worker)
        missing -= _expected_slots(step, tracked)
    return set() if step.spec.gang and missing > 0 else reserved


def _expected_slots(step: StepState, tracked: TrackedWorker) -> int:
    """Return how many more tasks of a step may be expected on a worker.

    A worker with the maximum number of the step's tasks takes none for as long
    as these run, and capacity of long-running tasks does not become free.
    """
    max_copies = step.spec.most_per_worker
    lasting = (
        run.size or Size()
        for run in tracked.run_by_key.values()
        if run.task is not None and run.task.step.spec.lasting
    )
    freeable = tracked.entry.capacity - sum(lasting, Size())
    slots = max(0, step.spec.charged.copies_in(freeable))
    if not max_copies:
        return slots
    return max(0, min(slots, max_copies - tracked.count_by_step[step.key]))


def time_until_free(
    tracked: TrackedWorker, size: Size, now: Seconds
) -> Seconds:
    """Return the expected time until `size` fits on a worker."""
    free = tracked.free
    if size.fits(free):
        return 0
    ends = sorted(
        (expected_time_left(run, now), run.size)
        for run in tracked.run_by_key.values()
        if run.size is not None
    )
    for left, freed in ends:
        free += freed
        if size.fits(free):
            return left
    return math.inf


def expected_time_left(run: PlacedRun, now: Seconds) -> Seconds:
    """Return the expected time until a run ends."""
    if run.task is None or run.task.step.spec.lasting:
        return math.inf
    started = run.confirmed_at if run.confirmed_at < now else run.placed_at
    elapsed = now - started
    share = run.share_done / _PERCENT
    if share > _MIN_PREDICTIVE_SHARE:
        return elapsed * (1 - share) / share
    return max(_OVERRUN_ENDS_IN, run.task.step.spec.estimate - elapsed)
