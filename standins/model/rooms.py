"""What the modelled workers have room for, by what runs on them."""

from __future__ import annotations

from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size, half_is_free
from standins.model.advice import approved
from standins.model.load import DrawnJob
from standins.model.worker import ModelWorker
from standins.model.workers import ModelWorkers


def count_rooms(
    workers: ModelWorkers,
    drawn: DrawnJob,
    step_key: str,
    spec: StepSpec,
) -> int:
    """Return how many tasks of a step its permitted workers could take now."""
    return sum(
        _copies(workers, worker, step_key, spec)
        for worker in workers.by_name.values()
        if not worker.over and _permitted(worker, drawn, step_key)
    )


def most_is_free(workers: ModelWorkers) -> bool:
    """Whether less than half of each kind of room is in use."""
    whole, used = Size(), Size()
    for worker in workers.by_name.values():
        if not worker.over:
            whole += worker.entry.capacity
            used += used_on(workers, worker)
    return half_is_free(used, whole)


def used_on(workers: ModelWorkers, worker: ModelWorker) -> Size:
    """Return the room that the runs on a worker take."""
    return sum(map(workers.size_of, worker.run_by_key), Size())


def _permitted(worker: ModelWorker, drawn: DrawnJob, step_key: str) -> bool:
    advised = drawn.queue.advice is not None
    good = drawn.queue.good
    return not advised or approved(step_key, worker.entry.worker, good)


def _copies(
    workers: ModelWorkers,
    worker: ModelWorker,
    step_key: str,
    spec: StepSpec,
) -> int:
    free = worker.entry.capacity - used_on(workers, worker)
    if min(free) < 0:
        return 0
    fitting = spec.charged.copies_in(free)
    if not spec.most_per_worker:
        return fitting
    beside = sum(
        run.task.rpartition('.')[0] == step_key for run in worker.run_by_key
    )
    return max(0, min(fitting, spec.most_per_worker - beside))
