"""Workers on which tasks of one step failed, and for how long they are avoided.

A worker may be broken and fail all that it starts, so a step's tasks go
elsewhere first. But most failures are the task's own, and the other workers may
hold as many of the step's tasks as they may for as long as those run. So a
failure speaks against a worker for a while only: what has to be started is
started again, on whatever worker has room, before it has stood still for long.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from orchidrail.types import Seconds, WorkerId

#: How long a worker is avoided after its first failure; it doubles with each.
_FIRST: Seconds = 1.0
#: Longest time for tasks that end by themselves: each further start there costs
#: one of few attempts, but they may stand still for 3 s only, with a question
#: for new tickets.
LONGEST: Seconds = 2.0
#: The same for tasks that last. They have no attempts to lose, and others of
#: their step may wait for each worker that they leave.
LONGEST_LASTING: Seconds = _FIRST
#: Failures further apart than this say nothing of one another.
_FORGOTTEN: Seconds = 30.0


class _Failures(NamedTuple):
    """What is held against one worker."""

    in_a_row: int
    last_at: Seconds
    avoided_until: Seconds


_NOTHING = _Failures(0, -math.inf, -math.inf)


class FailedWorkers:
    """What failures of a step's tasks say of the workers, and until when.

    Parameters
    ----------
    longest : float
        Longest time for which a worker is avoided, seconds.

    Examples
    --------
    >>> failed = FailedWorkers(LONGEST)
    >>> worker = WorkerId('w')
    >>> failed.note_failure(worker, now=10)
    >>> failed.avoids(worker, now=10.9), failed.avoids(worker, now=11)
    (True, False)
    >>> failed.count(worker)
    1
    """

    def __init__(self, longest: Seconds) -> None:
        """Hold nothing against anyone."""
        self._longest = longest
        self._failures_by_worker: dict[WorkerId, _Failures] = {}

    def __bool__(self) -> bool:
        """Whether tasks failed anywhere."""
        return bool(self._failures_by_worker)

    def note_failure(self, worker: WorkerId, now: Seconds) -> None:
        """Take that a task failed on a worker, or stood still there."""
        before = self._of(worker)
        in_a_row = 1
        if now - before.last_at <= _FORGOTTEN:
            in_a_row += before.in_a_row
        avoided_for = min(_FIRST * 2 ** (in_a_row - 1), self._longest)
        self._failures_by_worker[worker] = _Failures(
            in_a_row,
            now,
            now + avoided_for,
        )

    def avoids(self, worker: WorkerId, now: Seconds) -> bool:
        """Whether tasks go to other workers for now."""
        return now < self._of(worker).avoided_until

    def count(self, worker: WorkerId) -> int:
        """Return how many failures in a row speak against a worker."""
        return self._of(worker).in_a_row

    def _of(self, worker: WorkerId) -> _Failures:
        return self._failures_by_worker.get(worker, _NOTHING)
