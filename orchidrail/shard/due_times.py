"""Due times of rounds of timed jobs."""

from __future__ import annotations

import heapq
import math

from orchidrail.types import JobId, Seconds
from orchidrail.work.job import Job


class DueTimes:
    """The next due time of each timed job.

    A round becomes ready by the clock alone, without any event. It must start
    on time on an idle shard as well as on one that is never idle.
    """

    def __init__(self) -> None:
        """Create an empty schedule."""
        self._heap: list[tuple[Seconds, JobId]] = []
        self._due_by_job: dict[JobId, Seconds] = {}

    def schedule(self, job: Job, wall: Seconds) -> None:
        """Record the first round of a job that is due after `wall`."""
        due = job.next_due(wall)
        if due == math.inf:
            self._due_by_job.pop(job.job_id, None)
        elif self._due_by_job.get(job.job_id) != due:
            self._due_by_job[job.job_id] = due
            heapq.heappush(self._heap, (due, job.job_id))

    def remove(self, job_id: JobId) -> None:
        """Remove a job that has ended."""
        self._due_by_job.pop(job_id, None)

    def pop_due(self, wall: Seconds) -> list[JobId]:
        """Remove and return the jobs that have a round due by `wall`."""
        jobs: list[JobId] = []
        while self._heap and self._heap[0][0] <= wall:
            due, job_id = heapq.heappop(self._heap)
            if self._due_by_job.get(job_id) == due:
                self._due_by_job.pop(job_id)
                jobs.append(job_id)
        return jobs

    def wait(self, wall: Seconds) -> Seconds:
        """Return the time until the next round is due, infinite for none."""
        if not self._heap:
            return math.inf
        return max(0, self._heap[0][0] - wall)
