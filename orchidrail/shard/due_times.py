"""When rounds of timed jobs fall due, so that each is looked at in time."""

from __future__ import annotations

import heapq
import math

from orchidrail.types import JobId, Seconds
from orchidrail.work.job import Job


class DueTimes:
    """The next due time of each timed job.

    Only the clock makes a round ready. Nothing else may happen then, or so
    much that there is never a quiet moment: neither may hold a round up.
    """

    def __init__(self) -> None:
        """Wait for nothing."""
        self._heap: list[tuple[Seconds, JobId]] = []
        self._due_by_job: dict[JobId, Seconds] = {}

    def note(self, job: Job, wall: Seconds) -> None:
        """Remember the first round of a job that is due after `wall`."""
        due = job.next_due(wall)
        if due == math.inf:
            self._due_by_job.pop(job.job_id, None)
        elif self._due_by_job.get(job.job_id) != due:
            self._due_by_job[job.job_id] = due
            heapq.heappush(self._heap, (due, job.job_id))

    def forget(self, job_id: JobId) -> None:
        """Forget a job that has ended."""
        self._due_by_job.pop(job_id, None)

    def pop_due(self, wall: Seconds) -> list[JobId]:
        """Return the jobs with a round that has fallen due since."""
        jobs: list[JobId] = []
        while self._heap and self._heap[0][0] <= wall:
            due, job_id = heapq.heappop(self._heap)
            if self._due_by_job.get(job_id) == due:
                self._due_by_job.pop(job_id)
                jobs.append(job_id)
        return jobs

    def wait(self, wall: Seconds) -> Seconds:
        """Return the time until the next round is due; infinite for none."""
        if not self._heap:
            return math.inf
        return max(0, self._heap[0][0] - wall)
