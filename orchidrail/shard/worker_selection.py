"""Selects workers for the startable tasks of a step."""

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
    """A task and the worker selected for it."""

    task: Task
    tracked: TrackedWorker


def matches_worker(spec: StepSpec, tracked: TrackedWorker) -> bool:
    """Whether the worker has the label and size that the step needs."""
    if spec.label and spec.label not in tracked.entry.labels:
        return False
    return spec.charged.fits(tracked.entry.capacity)


def choose_workers(
    step: StepState,
    tasks: list[Task],
    open_workers: list[TrackedWorker],
) -> list[Placement]:
    """Place as many of `tasks` as fit; of a gang all or none.

    Parameters
    ----------
    step : StepState
    tasks : list of Task
        Startable tasks of the step.
    open_workers : list of TrackedWorker
        Workers that may be used.
    """
    spec = step.spec
    suspected_tasks = [task for task in tasks if task.suspected]
    if suspected_tasks and not spec.gang:
        return _choose_isolated(step, tasks, suspected_tasks, open_workers)
    ordered = _order_by_preference(step, open_workers)
    if suspected_tasks:
        ordered.sort(key=TrackedWorker.isolation_cost)
    if spec.one_rack and spec.gang:
        within = _choose_within_rack(step, tasks, ordered)
        if within:
            return within
    chosen = _assign(step, tasks, ordered)
    if spec.gang and len(chosen) < len(tasks):
        return []
    return chosen


def _choose_isolated(
    step: StepState,
    tasks: list[Task],
    suspected_tasks: list[Task],
    open_workers: list[TrackedWorker],
) -> list[Placement]:
    """Place each suspected task on a worker without other new tasks.

    Each goes to the worker where a crash costs least, and where no other run
    started recently that could be the cause of a crash. It does not wait for an
    idle worker: on a busy cell that would take long.
    """
    others = [task for task in tasks if not task.suspected]
    chosen = choose_workers(step, others, open_workers) if others else []
    used = {placement.tracked.worker for placement in chosen}
    spec = step.spec
    for task in suspected_tasks:
        fitting = [
            tracked
            for tracked in open_workers
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


def _order_by_preference(
    step: StepState,
    open_workers: list[TrackedWorker],
) -> list[TrackedWorker]:
    """Order the workers by preference.

    Workers in the data's rack come first, then workers of a suitable speed
    class, then those with the least free capacity. Workers on which tasks of
    the step failed come last, most failures at the end: a broken worker would
    otherwise get the same task again and again. Urgent work prefers workers of
    typical speed and leaves slower ones to other work. Tight packing keeps
    large free capacity on other workers for wide steps.
    """
    rack = step.spec.data_rack
    order = _URGENT_ORDER if step.job.urgent else _OTHER_ORDER
    return sorted(
        open_workers,
        key=lambda tracked: (
            step.failed_workers.count(tracked.worker),
            bool(rack) and tracked.entry.rack != rack,
            order[tracked.speed_class],
            tracked.usable_share < 1,
            tracked.free.millicores,
        ),
    )


def _assign(
    step: StepState,
    tasks: list[Task],
    ordered: list[TrackedWorker],
) -> list[Placement]:
    spec = step.spec
    chosen: list[Placement] = []
    remaining = iter(tasks)
    wanted = len(tasks)
    for tracked in ordered:
        slots = tracked.slots_for(step.key, spec.charged, spec.most_per_worker)
        for _ in range(min(slots, wanted - len(chosen))):
            chosen.append(Placement(next(remaining), tracked))
        if len(chosen) == wanted:
            break
    return chosen


def _choose_within_rack(
    step: StepState,
    tasks: list[Task],
    ordered: list[TrackedWorker],
) -> list[Placement]:
    tracked_by_rack: dict[str, list[TrackedWorker]] = defaultdict(list)
    for tracked in ordered:
        tracked_by_rack[tracked.entry.rack].append(tracked)
    for rack_workers in tracked_by_rack.values():
        chosen = _assign(step, tasks, rack_workers)
        if len(chosen) == len(tasks):
            return chosen
    return []
