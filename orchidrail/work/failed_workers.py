"""Workers on which tasks of one step failed, and for how long they are avoided.

A worker may be broken and fail all that it starts, so a step's tasks go
elsewhere first. But most failures are the task's own, and the other workers may
hold as many of the step's tasks as they may for as long as those run. So a
failure speaks against a worker for a while only: what has to be started is
started again, on whatever worker has room, before it has stood still for long.
A worker on which job after job fails gets no work at all for a while, by its
standing.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from orchidrail.types import Seconds, WorkerId

#: How long a worker is avoided after a failure. A task may stand still for 3 s,
#: a question for a new ticket among that; the same after each failure, since
#: others of its step may wait for each worker that is left out.
_AVOIDED_FOR: Seconds = 1.0
#: Time after which a failure says nothing any more of the worker.
_FORGOTTEN_AFTER: Seconds = 30.0


class _Failures(NamedTuple):
    """What is held against one worker."""

    times: int
    last_at: Seconds


_NOTHING = _Failures(0, -math.inf)


class FailedWorkers:
    """What failures of a step's tasks say of the workers, and until when.

    Examples
    --------
    >>> failed = FailedWorkers()
    >>> worker = WorkerId('w')
    >>> failed.note_failure(worker, now=10)
    >>> failed.avoids(worker, now=10.9), failed.avoids(worker, now=11)
    (True, False)
    >>> failed.count(worker)
    1
    >>> failed.forget_old(now=41)
    >>> failed.count(worker)
    0
    """

    def __init__(self) -> None:
        """Hold nothing against anyone."""
        self._failures_by_worker: dict[WorkerId, _Failures] = {}

    def __bool__(self) -> bool:
        """Whether tasks failed anywhere."""
        return bool(self._failures_by_worker)

    def note_failure(self, worker: WorkerId, now: Seconds) -> None:
        """Take that a task failed on a worker, or stood still there."""
        count = self.count(worker) + 1
        self._failures_by_worker[worker] = _Failures(count, now)

    def forget_old(self, now: Seconds) -> None:
        """Forget what was long ago."""
        before = now - _FORGOTTEN_AFTER
        self._failures_by_worker = {
            worker: failures
            for worker, failures in self._failures_by_worker.items()
            if failures.last_at > before
        }

    def avoids(self, worker: WorkerId, now: Seconds) -> bool:
        """Whether tasks go to other workers for now."""
        failures = self._failures_by_worker.get(worker, _NOTHING)
        return now < failures.last_at + _AVOIDED_FOR

    def count(self, worker: WorkerId) -> int:
        """Return how many failures speak against a worker."""
        return self._failures_by_worker.get(worker, _NOTHING).times
