"""Free capacity of the simulated workers, computed from their runs."""

from __future__ import annotations

from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size, half_is_free
from standins.model.advice import approved
from standins.model.load import DrawnJob
from standins.model.worker import ModelWorker
from standins.model.workers import ModelWorkers


def count_free_slots(
    workers: ModelWorkers,
    drawn: DrawnJob,
    step_key: str,
    spec: StepSpec,
) -> int:
    """Return the free slots for a step's tasks on its permitted workers."""
    return sum(
        _free_slots_on(workers, worker, step_key, spec)
        for worker in workers.by_name.values()
        if not worker.crashed and _permitted(worker, drawn, step_key)
    )


def less_than_half_used(workers: ModelWorkers) -> bool:
    """Whether less than half of the capacity is used, of each resource."""
    total, used = Size(), Size()
    for worker in workers.by_name.values():
        if not worker.crashed:
            total += worker.entry.capacity
            used += allocated_on(workers, worker)
    return half_is_free(used, total)


def allocated_on(workers: ModelWorkers, worker: ModelWorker) -> Size:
    """Return the capacity allocated to the runs on a worker."""
    return sum(map(workers.size_of, worker.run_by_key), Size())


def _permitted(worker: ModelWorker, drawn: DrawnJob, step_key: str) -> bool:
    advised = drawn.queue.advice is not None
    good = drawn.queue.good
    return not advised or approved(step_key, worker.entry.worker, good)


def _free_slots_on(
    workers: ModelWorkers,
    worker: ModelWorker,
    step_key: str,
    spec: StepSpec,
) -> int:
    free = worker.entry.capacity - allocated_on(workers, worker)
    if min(free) < 0:
        return 0
    fitting = spec.charged.copies_in(free)
    if not spec.most_per_worker:
        return fitting
    colocated = sum(
        run.task.rpartition('.')[0] == step_key for run in worker.run_by_key
    )
    return max(0, min(fitting, spec.most_per_worker - colocated))
