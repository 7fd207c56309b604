"""Speed of each worker, estimated from the tasks that ended there."""

from __future__ import annotations

import math
from enum import IntEnum

from orchidrail.types import QueueName, Seconds, WorkerId

#: Weight of one task in a worker's mean. Estimates are off by half and more, so
#: about twenty tasks must agree.
_TASK_WEIGHT = 0.06
#: Weight of one task in its queue's mean.
_QUEUE_WEIGHT = 0.01
#: Number of tasks before a worker is classified.
_MIN_TASKS = 8
#: Factor on the typical duration above which a worker is slower. Instances of
#: one service differ by a factor of 1.3 at the users' sites.
_SLOWER_FACTOR = 1.12
#: Factor above which a worker is faulty rather than of a slower hardware type.
_MUCH_SLOWER_FACTOR = 2.0


class SpeedClass(IntEnum):
    """Speed of a worker compared with the others of its service."""

    TYPICAL = 0
    SLOWER = 1
    MUCH_SLOWER = 2


class _Mean:
    def __init__(self) -> None:
        self.value: float = 0
        self.count = 0

    def note(self, value: float, weight: float) -> None:
        self.count += 1
        self.value += max(weight, 1 / self.count) * (value - self.value)


class SpeedEstimator:
    """Compares the durations of tasks with their callers' estimates.

    Examples
    --------
    >>> speeds = SpeedEstimator()
    >>> queue, fast, slow = QueueName('q'), WorkerId('f'), WorkerId('s')
    >>> for _ in range(50):
    ...     speeds.note(fast, queue, duration=1.0, estimate=2)
    ...     speeds.note(slow, queue, duration=1.5, estimate=2)
    >>> speeds.of(fast), speeds.of(slow)
    (<SpeedClass.TYPICAL: 0>, <SpeedClass.SLOWER: 1>)
    """

    def __init__(self) -> None:
        """Start with all workers of typical speed."""
        self._mean_by_worker: dict[WorkerId, _Mean] = {}
        self._mean_by_queue: dict[QueueName, _Mean] = {}

    def note(
        self,
        worker: WorkerId,
        queue: QueueName,
        duration: Seconds,
        estimate: Seconds,
    ) -> None:
        """Record the duration of a task that succeeded."""
        if duration <= 0 or estimate <= 0:
            return
        ratio = math.log(duration / estimate)
        queue_mean = self._mean_by_queue.setdefault(queue, _Mean())
        queue_mean.note(ratio, _QUEUE_WEIGHT)
        mean = self._mean_by_worker.setdefault(worker, _Mean())
        mean.note(ratio - queue_mean.value, _TASK_WEIGHT)

    def of(self, worker: WorkerId) -> SpeedClass:
        """Return a worker's speed class."""
        mean = self._mean_by_worker.get(worker)
        if mean is None or mean.count < _MIN_TASKS:
            return SpeedClass.TYPICAL
        if mean.value > math.log(_MUCH_SLOWER_FACTOR):
            return SpeedClass.MUCH_SLOWER
        return (
            SpeedClass.SLOWER
            if mean.value > math.log(_SLOWER_FACTOR)
            else SpeedClass.TYPICAL
        )

    def forget(self, worker: WorkerId) -> None:
        """Drop the statistics of a worker."""
        self._mean_by_worker.pop(worker, None)
