"""Workers that are kept free for a step that waits for much room at once.

Without that, small tasks take what becomes free, and a task that needs most of
a worker, or a gang, waits for as long as there are any.
"""

from __future__ import annotations

import math

from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.types import Seconds, WorkerId
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size
from orchidrail.work.step import StepState

#: A worker holds at most so many tasks that count as large.
_LARGE_COPIES = 2
#: Share done from which a run's progress tells more than its estimate.
_TELLING_SHARE = 0.2
#: A run that has outlasted its estimate is taken to end after this long.
_OVERDUE_ENDS_IN: Seconds = 0.5
_WHOLE = 100
_HALVES = 2


def half_in_use(workers: list[TrackedWorker]) -> bool:
    """Whether at least half of all that the workers have is in use.

    While there is more room than that, no work is to wait for a worker that is
    kept for others.
    """
    cores, accelerators = 0, 0
    for tracked in workers:
        free, whole = tracked.free, tracked.entry.capacity
        cores += whole.millicores - _HALVES * free.millicores
        accelerators += whole.accelerators - _HALVES * free.accelerators
    return cores >= 0 and accelerators >= 0


def needs_reservation(spec: StepSpec, max_copies: int) -> bool:
    """Whether a step's tasks can't be fitted in one by one.

    A gang needs all of its room at once, a large task most of a worker.

    Parameters
    ----------
    max_copies : int
        Tasks of the step that the largest worker holds when it is idle.
    """
    return spec.gang or 0 < max_copies <= _LARGE_COPIES


def choose_reserved_workers(
    step: StepState,
    missing: int,
    candidates: list[TrackedWorker],
    now: Seconds,
) -> set[WorkerId]:
    """Choose the workers that will have room for `missing` tasks soonest.

    For a gang that these workers can never hold together none is kept: it
    would keep them from others for good.
    """
    size = step.spec.charged
    waits = [
        (time_until_free(tracked, size, now), tracked)
        for tracked in candidates
        if _takes(step, tracked)
    ]
    waits.sort(key=lambda pair: pair[0])
    reserved: set[WorkerId] = set()
    for wait, tracked in waits:
        if missing <= 0 or wait == math.inf:
            break
        reserved.add(tracked.worker)
        missing -= _takes(step, tracked)
    return set() if step.spec.gang and missing > 0 else reserved


def _takes(step: StepState, tracked: TrackedWorker) -> int:
    """Return how many more tasks of a step a worker takes once it has room.

    One that holds the most copies has none for it, for as long as those run;
    nor does the room that tasks which last have come free.
    """
    most = step.spec.most_per_worker
    lasting = (
        run.size or Size()
        for run in tracked.run_by_key.values()
        if run.task is not None and run.task.step.spec.lasting
    )
    comes_free = tracked.entry.capacity - sum(lasting, Size())
    fitting = max(0, step.spec.charged.copies_in(comes_free))
    if not most:
        return fitting
    return max(0, min(fitting, most - tracked.count_by_step[step.key]))


def time_until_free(
    tracked: TrackedWorker, size: Size, now: Seconds
) -> Seconds:
    """Return after how long a worker is expected to have room for `size`."""
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
    """Return after how long a run is expected to end."""
    if run.task is None or run.task.step.spec.lasting:
        return math.inf
    began = run.confirmed_at if run.confirmed_at < now else run.placed_at
    passed = now - began
    share = run.share_done / _WHOLE
    if share > _TELLING_SHARE:
        return passed * (1 - share) / share
    return max(_OVERDUE_ENDS_IN, run.task.step.spec.estimate - passed)
