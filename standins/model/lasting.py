"""Checks during a simulated day that long-running tasks keep running.

The check goes by what runs on the workers, not by the owner's state; the
bounds are those that the users apply.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from orchidrail.types import JobId, Seconds, TaskKey
from orchidrail.work.model import StepSpec
from standins.model.capacity import count_free_slots
from standins.model.load import DrawnJob
from standins.model.workers import ModelWorkers

#: Seconds for which a long-running task may stay interrupted.
MAX_INTERRUPTION: Seconds = 6.0
#: Seconds with free capacity and without faults before it counts as left
#: waiting.
CAPACITY_FREE_FOR: Seconds = 3.0
#: Seconds before those that must be free of faults, too.
FAULT_FREE_BEFORE: Seconds = 4.0
#: Number of free slots that must exist for a task.
_MIN_FREE_SLOTS = 2


class LeftWaiting(NamedTuple):
    """A long-running task not started again though there was capacity."""

    task: TaskKey
    interrupted_for: Seconds


class LastingWatch:
    """Tracks long-running tasks, by job.

    Parameters
    ----------
    workers : ModelWorkers
    """

    def __init__(self, workers: ModelWorkers) -> None:
        """Start with no sample."""
        self.left_waiting: list[LeftWaiting] = []
        #: Samples of running tasks, and of all that should run, by job.
        self._running_samples_by_job: dict[JobId, int] = {}
        self._expected_samples_by_job: dict[JobId, int] = {}
        self._workers = workers
        self._free_since_by_task: dict[TaskKey, Seconds] = {}
        self._reported: set[TaskKey] = set()

    def sample(
        self,
        drawn_by_id: Mapping[JobId, DrawnJob],
        now: Seconds,
        fault_free: bool,
    ) -> None:
        """Sample which tasks run now.

        Parameters
        ----------
        drawn_by_id : mapping of JobId to DrawnJob
            Accepted jobs with long-running tasks that were not cancelled.
        fault_free : bool
            Whether no fault is active or was within the checked period and
            the margin before it.
        """
        for job_id, drawn in drawn_by_id.items():
            for task, spec in _tasks(job_id, drawn):
                self._expected_samples_by_job[job_id] = (
                    self._expected_samples_by_job.get(job_id, 0) + 1
                )
                if self._workers.history.is_running(task):
                    self._record_running(job_id, task)
                else:
                    self._record_interrupted(drawn, task, spec, now, fault_free)

    def find_running_share(self, job_id: JobId) -> float | None:
        """Return the share of its time in which a job's tasks ran."""
        expected = self._expected_samples_by_job.get(job_id)
        return (
            self._running_samples_by_job.get(job_id, 0) / expected
            if expected
            else None
        )

    def _record_running(self, job_id: JobId, task: TaskKey) -> None:
        self._running_samples_by_job[job_id] = (
            self._running_samples_by_job.get(job_id, 0) + 1
        )
        self._free_since_by_task.pop(task, None)
        self._reported.discard(task)

    def _record_interrupted(
        self,
        drawn: DrawnJob,
        task: TaskKey,
        spec: StepSpec,
        now: Seconds,
        fault_free: bool,
    ) -> None:
        interrupted_for = now - self._workers.history.last_end_by_task.get(
            task, now
        )
        step_key = task.rpartition('.')[0]
        overdue = interrupted_for > MAX_INTERRUPTION
        free_slots = (
            count_free_slots(self._workers, drawn, step_key, spec)
            if overdue
            else 0
        )
        if free_slots < _MIN_FREE_SLOTS:
            self._free_since_by_task.pop(task, None)
            return
        since = self._free_since_by_task.setdefault(task, now)
        free_long_enough = now - since > CAPACITY_FREE_FOR
        if free_long_enough and fault_free and task not in self._reported:
            self._reported.add(task)
            self.left_waiting.append(LeftWaiting(task, interrupted_for))


def _tasks(
    job_id: JobId,
    drawn: DrawnJob,
) -> Iterator[tuple[TaskKey, StepSpec]]:
    for number, spec in enumerate(drawn.spec.steps):
        for index in range(spec.count):
            yield TaskKey(f'{job_id}.0.{number}.{index}'), spec
