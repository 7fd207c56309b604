"""Workers on which tasks of one step failed, avoided for a short time.

A worker may be broken and fail all that it starts, so the tasks of the step are
placed on other workers first. But most failures are caused by the task itself,
and the other workers may already run as many tasks of the step as they are
allowed to. So a worker is avoided only for a short time: a failed task is
restarted on any worker with free capacity before it is stalled for long.
A worker on which many jobs fail gets no work at all for a while, as it is
quarantined.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from orchidrail.types import Seconds, WorkerId

#: How long a worker is avoided after a failure. A task may be stalled for 3 s,
#: including an advice request for a new ticket. It does not grow with repeated
#: failures, since other tasks of the step may be waiting for an avoided worker.
_AVOIDANCE_DURATION: Seconds = 1.0
#: Time after which a failure is no longer counted.
_FAILURE_TTL: Seconds = 30.0


class _Failures(NamedTuple):
    """Failures of a step's tasks on one worker."""

    times: int
    last_at: Seconds


_NO_FAILURES = _Failures(0, -math.inf)


class FailedWorkers:
    """Counts the failures of a step's tasks by worker.

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
        """Start without failures."""
        self._failures_by_worker: dict[WorkerId, _Failures] = {}

    def __bool__(self) -> bool:
        """Whether any failure is counted."""
        return bool(self._failures_by_worker)

    def note_failure(self, worker: WorkerId, now: Seconds) -> None:
        """Record that a task failed on a worker or was stalled there."""
        count = self.count(worker) + 1
        self._failures_by_worker[worker] = _Failures(count, now)

    def forget_old(self, now: Seconds) -> None:
        """Drop failures that are too old to count."""
        before = now - _FAILURE_TTL
        self._failures_by_worker = {
            worker: failures
            for worker, failures in self._failures_by_worker.items()
            if failures.last_at > before
        }

    def avoids(self, worker: WorkerId, now: Seconds) -> bool:
        """Whether a worker is to be avoided at present."""
        failures = self._failures_by_worker.get(worker, _NO_FAILURES)
        return now < failures.last_at + _AVOIDANCE_DURATION

    def count(self, worker: WorkerId) -> int:
        """Return the number of counted failures on a worker."""
        return self._failures_by_worker.get(worker, _NO_FAILURES).times
