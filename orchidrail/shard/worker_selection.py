"""Choosing workers for the tasks of a step that may start."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from orchidrail.shard.tracked_worker import TrackedWorker
from orchidrail.shard.worker_speed import SpeedClass
from orchidrail.work.model import StepSpec
from orchidrail.work.step import StepState, Task

_URGENT_ORDER = {
    SpeedClass.TYPICAL: 0,
    SpeedClass.SLOWER: 1,
    SpeedClass.MUCH_SLOWER: 2,
}
_OTHER_ORDER = {
    SpeedClass.SLOWER: 0,
    SpeedClass.TYPICAL: 1,
    SpeedClass.MUCH_SLOWER: 2,
}


class Placement(NamedTuple):
    """A task and the worker chosen for it."""

    task: Task
    tracked: TrackedWorker


def matches_worker(spec: StepSpec, tracked: TrackedWorker) -> bool:
    """Whether the worker is of the kind and size that the step needs."""
    if spec.label and spec.label not in tracked.entry.labels:
        return False
    return spec.charged.fits(tracked.entry.capacity)


def choose_workers(
    step: StepState,
    tasks: list[Task],
    open_books: list[TrackedWorker],
) -> list[Placement]:
    """Place as many of `tasks` as have room; of a gang all or none.

    Parameters
    ----------
    step : StepState
    tasks : list of Task
        Tasks of the step that may start.
    open_books : list of TrackedWorker
        Workers that may be used.
    """
    spec = step.spec
    suspects = [task for task in tasks if task.suspected]
    if suspects and not spec.gang:
        return _choose_apart(step, tasks, suspects, open_books)
    ordered = _ordered(step, open_books)
    if suspects:
        ordered.sort(key=TrackedWorker.isolation_cost)
    if spec.one_rack and spec.gang:
        within = _within_one_rack(step, tasks, ordered)
        if within:
            return within
    chosen = _fill(step, tasks, ordered)
    if spec.gang and len(chosen) < len(tasks):
        return []
    return chosen


def _choose_apart(
    step: StepState,
    tasks: list[Task],
    suspects: list[Task],
    open_books: list[TrackedWorker],
) -> list[Placement]:
    """Place suspected tasks each on a worker of its own.

    They take the worker where least is lost if it crashes, and where nothing
    else began of late that could be the cause. None waits for an empty one: in
    a busy cell it would wait for long.
    """
    others = [task for task in tasks if not task.suspected]
    chosen = choose_workers(step, others, open_books) if others else []
    used = {placement.tracked.worker for placement in chosen}
    spec = step.spec
    for task in suspects:
        fitting = [
            tracked
            for tracked in open_books
            if tracked.worker not in used
            and tracked.slots_for(step.key, spec.charged, spec.most_per_worker)
            > 0
        ]
        if not fitting:
            break
        tracked = min(fitting, key=TrackedWorker.isolation_cost)
        used.add(tracked.worker)
        chosen.append(Placement(task, tracked))
    return chosen


def _ordered(
    step: StepState,
    open_books: list[TrackedWorker],
) -> list[TrackedWorker]:
    """Best worker first: near the data, of a good pace, then the tightest.

    Workers on which tasks of the step failed come last, the worst at the end:
    a broken one would take the same task again and again. Urgent work goes to
    usual workers and leaves slower ones to work that has time. Tight packing
    keeps whole stretches of other workers free for wide steps.
    """
    rack = step.spec.data_rack
    order = _URGENT_ORDER if step.job.urgent else _OTHER_ORDER
    return sorted(
        open_books,
        key=lambda tracked: (
            step.failed_workers.count(tracked.worker),
            bool(rack) and tracked.entry.rack != rack,
            order[tracked.speed_class],
            tracked.free.millicores,
        ),
    )


def _fill(
    step: StepState,
    tasks: list[Task],
    ordered: list[TrackedWorker],
) -> list[Placement]:
    spec = step.spec
    chosen: list[Placement] = []
    left = iter(tasks)
    wanted = len(tasks)
    for tracked in ordered:
        room = tracked.slots_for(step.key, spec.charged, spec.most_per_worker)
        for _ in range(min(room, wanted - len(chosen))):
            chosen.append(Placement(next(left), tracked))
        if len(chosen) == wanted:
            break
    return chosen


def _within_one_rack(
    step: StepState,
    tasks: list[Task],
    ordered: list[TrackedWorker],
) -> list[Placement]:
    books_by_rack: dict[str, list[TrackedWorker]] = defaultdict(list)
    for tracked in ordered:
        books_by_rack[tracked.entry.rack].append(tracked)
    for rack_books in books_by_rack.values():
        chosen = _fill(step, tasks, rack_books)
        if len(chosen) == len(tasks):
            return chosen
    return []
