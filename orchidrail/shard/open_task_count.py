"""Number of tasks of the open jobs, which an owner holds in memory."""

from __future__ import annotations

import math

from orchidrail.shard.state import ShardState
from orchidrail.types import Seconds
from orchidrail.work.model import JobSpec

#: Tasks of all open jobs at most: about 70 MB.
MAX_OPEN_TASKS = 340_000
#: How long a count is used: it examines all open jobs.
_COUNT_VALIDITY: Seconds = 0.5


def count_tasks(spec: JobSpec) -> int:
    """Return the number of tasks in one round of a job."""
    return sum(step.count for step in spec.steps)


class OpenTaskCount:
    """Counts the tasks of the open jobs.

    Parameters
    ----------
    state : ShardState
    """

    def __init__(self, state: ShardState) -> None:
        """Start without a count."""
        self._state = state
        self._counted = 0
        self._counted_at: Seconds = -math.inf

    def reserve(self, spec: JobSpec) -> bool:
        """Count the tasks of a new job; False if an owner can't hold them.

        A job that is not submitted after all counts until the next count.
        """
        now = self._state.clock()
        if now - self._counted_at >= _COUNT_VALIDITY:
            self._counted_at = now
            self._counted = sum(
                count_tasks(job.spec) for job in self._state.job_by_id.values()
            )
        total = self._counted + count_tasks(spec)
        if total > MAX_OPEN_TASKS:
            return False
        self._counted = total
        return True
