"""Capacity that a holder has allocated on one worker.

Capacity is allocated before a start is sent, and released only on proof that
the task uses no more resources of the worker.
"""

from __future__ import annotations

from enum import Enum

from orchidrail.invariants import Invariant, Invariants
from orchidrail.resources import NOTHING, Resources
from orchidrail.types import FINAL_TASK_STATES, TaskId, TaskState


class Proof(Enum):
    """Why capacity may be released."""

    ENDED = 'ended'
    NEVER_SENT = 'neverSent'
    REFUSED = 'refused'
    INSTANCE_GONE = 'instanceGone'


def proof_of(state: TaskState) -> Proof | None:
    """Return the proof that a reported task state gives, if any."""
    return Proof.ENDED if state in FINAL_TASK_STATES else None


class Ledger:
    """Capacity allocated on one worker, by task.

    Parameters
    ----------
    capacity : Resources
        Capacity reported by the worker at acquisition.

    Examples
    --------
    >>> ledger = Ledger(Resources(cores=4))
    >>> ledger.reserve(TaskId('a'), Resources(cores=3))
    True
    >>> ledger.reserve(TaskId('b'), Resources(cores=3))
    False
    >>> ledger.release(TaskId('a'), Proof.ENDED)
    >>> ledger.free.cores
    4
    """

    def __init__(
        self,
        capacity: Resources,
        invariants: Invariants | None = None,
    ) -> None:
        """Start with nothing allocated."""
        self.capacity = capacity
        self.free = capacity + NOTHING
        self._size_by_task: dict[TaskId, Resources] = {}
        self._invariants = invariants or Invariants()

    def __len__(self) -> int:
        """Return the number of tasks with an allocation."""
        return len(self._size_by_task)

    def __contains__(self, task: TaskId) -> bool:
        """Return whether `task` has an allocation."""
        return task in self._size_by_task

    @property
    def tasks(self) -> tuple[TaskId, ...]:
        """The tasks with an allocation."""
        return tuple(self._size_by_task)

    def reserve(self, task: TaskId, size: Resources) -> bool:
        """Allocate capacity for a task; return False if there is too little."""
        if task in self._size_by_task:
            return True
        if not size.fits(self.free):
            return False
        left = self.free - size
        if not self._invariants.hold(
            NOTHING.fits(left),
            Invariant.NO_OVERCOMMIT,
            task=task,
            left=left,
        ):
            return False
        self._allocate(task, size)
        return True

    def adopt(self, task: TaskId, size: Resources) -> None:
        """Allocate for a task that already runs, even beyond the capacity."""
        if task not in self._size_by_task:
            self._allocate(task, size)

    def release(self, task: TaskId, _proof: Proof) -> None:
        """Release a task's capacity; the proof states why that is safe."""
        size = self._size_by_task.pop(task, None)
        if size is not None:
            self.free = self.free + size

    def _allocate(self, task: TaskId, size: Resources) -> None:
        self._size_by_task[task] = size
        self.free = self.free - size
