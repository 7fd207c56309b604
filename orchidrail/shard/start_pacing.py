"""Bounds on the starts in flight.

Load: a job with thousands of tasks that all fit at once. Started together, they
would keep the owner from answering its peers and its callers, and most orders
would time out before their worker has answered.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from orchidrail.types import JobId
    from orchidrail.work.job import Job

#: Starts in flight at which no more tasks are placed. While the store takes
#: 0.3 s, these are 1,500 a second.
_MAX_IN_FLIGHT = 512
#: Orders sent and not answered at a time. An owner that handles 900 a second
#: then answers each within 0.15 s, before it times out.
_MAX_ORDERS = 128


class StartPacer:
    """Counts the starts in flight, urgent ones apart from all others.

    A start is in flight from its placement to the worker's response. A job gets
    half of what the others leave, so that a large one does not hold up small
    ones that rank behind it.

    Parameters
    ----------
    limit : int
        Starts in flight, of urgent jobs and of all others.
    """

    def __init__(self, limit: int = _MAX_IN_FLIGHT) -> None:
        """Start without starts in flight."""
        self._limit = limit
        self._count_by_urgency: Counter[bool] = Counter()
        self._count_by_job: Counter[JobId] = Counter()
        self._orders_by_urgency = {
            urgent: asyncio.Semaphore(_MAX_ORDERS) for urgent in (True, False)
        }
        #: Whether tasks of a step wait for starts in flight.
        self._limited = False

    def allowance(self, job: Job) -> int:
        """Return how many more tasks of a job may be placed now."""
        own = self._count_by_job[job.job_id]
        by_others = self._count_by_urgency[job.urgent] - own
        return max(0, (self._limit - by_others + 1) // 2 - own)

    def note_limited(self) -> None:
        """Record that tasks wait for starts in flight."""
        self._limited = True

    def add(self, count: int, job: Job) -> None:
        """Count placed tasks, whose starts are in flight from now on."""
        self._count_by_urgency[job.urgent] += count
        self._count_by_job[job.job_id] += count

    def remove(self, job: Job) -> bool:
        """Count a start as over; return whether a pass may place more tasks."""
        self._count_by_urgency[job.urgent] -= 1
        self._count_by_job[job.job_id] -= 1
        if not self._count_by_job[job.job_id]:
            self._count_by_job.pop(job.job_id)
        resumes = self._limited
        self._limited = False
        return resumes

    def order_slots(self, job: Job) -> asyncio.Semaphore:
        """Return what bounds the orders sent and not answered yet.

        A gang is placed as a whole, so its members may be more than that.
        """
        return self._orders_by_urgency[job.urgent]
