"""How fast each worker runs, learnt from the tasks that ended there."""

from __future__ import annotations

import math
from enum import IntEnum

from orchidrail.types import QueueName, Seconds, WorkerId

#: Weight of one task in a worker's mean. Estimates are off by half and more,
#: so some twenty tasks must agree.
_WEIGHT = 0.06
#: Weight of one task in its queue's mean.
_QUEUE_WEIGHT = 0.01
#: Tasks before a worker is told apart from the rest.
_ENOUGH = 8
#: Factor on the usual time above which a worker is slower. Machines of one
#: service differ by 1.3 on the users' sites.
_SLOWER = 1.12
#: Factor above which a worker is in trouble rather than of a slower kind.
_FAR_SLOWER = 2.0


class SpeedClass(IntEnum):
    """How a worker compares with the others of its service."""

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
    """Compares how long tasks took with what their callers estimated.

    Examples
    --------
    >>> speeds = SpeedEstimator()
    >>> queue, fast, slow = QueueName('q'), WorkerId('f'), WorkerId('s')
    >>> for _ in range(50):
    ...     speeds.note(fast, queue, took=1.0, estimate=2)
    ...     speeds.note(slow, queue, took=1.5, estimate=2)
    >>> speeds.of(fast), speeds.of(slow)
    (<SpeedClass.TYPICAL: 0>, <SpeedClass.SLOWER: 1>)
    """

    def __init__(self) -> None:
        """Hold all workers for equal."""
        self._mean_by_worker: dict[WorkerId, _Mean] = {}
        self._mean_by_queue: dict[QueueName, _Mean] = {}

    def note(
        self,
        worker: WorkerId,
        queue: QueueName,
        took: Seconds,
        estimate: Seconds,
    ) -> None:
        """Take that a task ended well."""
        if took <= 0 or estimate <= 0:
            return
        ratio = math.log(took / estimate)
        usual = self._mean_by_queue.setdefault(queue, _Mean())
        usual.note(ratio, _QUEUE_WEIGHT)
        mean = self._mean_by_worker.setdefault(worker, _Mean())
        mean.note(ratio - usual.value, _WEIGHT)

    def of(self, worker: WorkerId) -> SpeedClass:
        """Return a worker's pace."""
        mean = self._mean_by_worker.get(worker)
        if mean is None or mean.count < _ENOUGH:
            return SpeedClass.TYPICAL
        if mean.value > math.log(_FAR_SLOWER):
            return SpeedClass.MUCH_SLOWER
        return (
            SpeedClass.SLOWER
            if mean.value > math.log(_SLOWER)
            else SpeedClass.TYPICAL
        )

    def forget(self, worker: WorkerId) -> None:
        """Forget a worker that is gone."""
        self._mean_by_worker.pop(worker, None)
