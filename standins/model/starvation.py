"""Checks during a simulated day that startable tasks are started.

The check goes by what runs on the workers, not by the owner's state.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from orchidrail.types import JobId, Seconds, TaskKey
from orchidrail.work.model import StepSpec
from standins.model.capacity import count_free_slots, less_than_half_used
from standins.model.load import DrawnJob, step_tasks
from standins.model.workers import ModelWorkers

#: Seconds for which a startable task may wait; the users' bound.
MAX_WAIT: Seconds = 3.0
#: Multiple of the slots of a task, or gang, that must be free.
_CAPACITY_FACTOR = 2


class Starved(NamedTuple):
    """A task or a gang that waited though there was capacity for it."""

    #: The task; of a gang its first member.
    task: TaskKey
    #: Time for which there was free capacity, seconds.
    seconds: Seconds


class StarvationWatch:
    """Tracks the tasks of accepted jobs that wait for a first or further run.

    Parameters
    ----------
    workers : ModelWorkers
    """

    def __init__(self, workers: ModelWorkers) -> None:
        """Start with no sample."""
        self._workers = workers
        self._free_since_by_task: dict[TaskKey, Seconds] = {}
        self._longest_by_task: dict[TaskKey, Seconds] = {}

    @property
    def starved(self) -> list[Starved]:
        """Tasks that waited for too long, with their longest waits."""
        return [
            Starved(task, seconds)
            for task, seconds in self._longest_by_task.items()
        ]

    def sample(
        self,
        drawn_by_id: Mapping[JobId, DrawnJob],
        now: Seconds,
        wall: Seconds,
        fault_free: bool,
    ) -> None:
        """Sample which tasks wait now.

        Parameters
        ----------
        drawn_by_id : mapping of JobId to DrawnJob
            Accepted jobs that have neither ended nor been cancelled.
        now, wall : float
            Time of the loop's clock and of the wall clock.
        fault_free : bool
            Whether no fault is active or was within the last `MAX_WAIT`.
        """
        waiting: set[TaskKey] = set()
        if fault_free and less_than_half_used(self._workers):
            for job_id, drawn in drawn_by_id.items():
                waiting.update(self._waiting_tasks(job_id, drawn, wall))
        for task in self._free_since_by_task.keys() - waiting:
            self._free_since_by_task.pop(task)
        for task in sorted(waiting):
            # A run may start and end between two samples.
            since = max(
                self._free_since_by_task.get(task, now),
                self._workers.history.last_end_by_task.get(task, 0),
            )
            self._free_since_by_task[task] = since
            if now - since > MAX_WAIT:
                longest = self._longest_by_task.get(task, 0)
                self._longest_by_task[task] = max(longest, now - since)

    def _waiting_tasks(
        self,
        job_id: JobId,
        drawn: DrawnJob,
        wall: Seconds,
    ) -> Iterator[TaskKey]:
        """Yield the tasks of a job that could run but don't."""
        for round_number in range(drawn.spec.rounds):
            if drawn.spec.due(round_number) > wall:
                return
            prefix = f'{job_id}.{round_number}'
            for number, spec in enumerate(drawn.spec.steps):
                if self._is_ready(prefix, drawn, spec):
                    key = f'{prefix}.{number}'
                    yield from self._waiting_of_step(key, drawn, spec)

    def _is_ready(
        self,
        prefix: str,
        drawn: DrawnJob,
        spec: StepSpec,
    ) -> bool:
        return all(
            self._is_done(f'{prefix}.{earlier}', drawn.spec.steps[earlier])
            for earlier in spec.after
        )

    def _is_done(self, step_key: str, spec: StepSpec) -> bool:
        done = map(
            self._workers.history.is_done,
            step_tasks(step_key, spec),
        )
        return any(done) if spec.gang else all(done)

    def _waiting_of_step(
        self,
        step_key: str,
        drawn: DrawnJob,
        spec: StepSpec,
    ) -> Iterator[TaskKey]:
        tasks = self._waiting_in(step_key, spec)
        at_once = spec.count if spec.gang else 1
        if not tasks:
            return
        free_slots = count_free_slots(self._workers, drawn, step_key, spec)
        if free_slots >= _CAPACITY_FACTOR * at_once:
            yield from tasks

    def _waiting_in(self, step_key: str, spec: StepSpec) -> list[TaskKey]:
        """Return the tasks of a step that are neither running nor done.

        A gang is represented by its first member; it also waits while only
        some of its members have started.
        """
        history = self._workers.history
        tasks = step_tasks(step_key, spec)
        if not spec.gang:
            return [
                task
                for task in tasks
                if not history.is_running(task) and not history.is_done(task)
            ]
        done = any(map(history.is_done, tasks))
        return [] if done or all(map(history.is_running, tasks)) else tasks[:1]
