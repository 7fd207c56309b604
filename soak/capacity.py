"""Free capacity of workers, given what runs on them."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any, Protocol

from orchidrail.work.size import Size, half_is_free


class WorkerCapacity(Protocol):
    """A worker that reports its capacity and what it could still run."""

    @property
    def capacity(self) -> Size:
        """Total capacity."""

    @property
    def used(self) -> Size:
        """Capacity allocated to its runs."""

    def max_additional_tasks(self, step_key: str, step: dict[str, Any]) -> int:
        """Return how many more tasks of a step the worker could run now."""


def size_of(step: dict[str, Any]) -> Size:
    """Return the resources that one task of a step requests."""
    kinds = (step.get(kind, 0) for kind in ('cpu', 'memMb', 'gpu'))
    return Size(*kinds)


def count_additional_tasks(
    workers: Iterable[WorkerCapacity],
    step_key: str,
    step: dict[str, Any],
) -> int:
    """Return how many more tasks of a step the workers could run now."""
    return sum(
        worker.max_additional_tasks(step_key, step) for worker in workers
    )


def is_mostly_free(workers: Sequence[WorkerCapacity]) -> bool:
    """Whether less than half of each resource is allocated."""
    whole = sum((worker.capacity for worker in workers), Size())
    used = sum((worker.used for worker in workers), Size())
    return half_is_free(used, whole)
