"""A job as its shard's owner sees it: rounds of steps of tasks.

The job is one aggregate. Callers tell it what was placed and what ended; it
tells what may start next and when it is over. It does no I/O.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterator

from orchidrail.types import JobId, RunNumber, Seconds, WorkerId
from orchidrail.work.model import JobSpec, QueueSettings
from orchidrail.work.records import (
    ENDED_PHASES,
    FailureCause,
    JobPhase,
    JobRecord,
    Progress,
    TaskPhase,
    TaskRow,
)
from orchidrail.work.step import StepState, Task
from orchidrail.work.tenant import Tenant
from orchidrail.work.wait_times import WaitTimes
from orchidrail.workers.port import RunEnding

#: Suspicion from which a task is given up, and its job with it.
SUSPICION_LIMIT = 8
_ENDINGS_THAT_COUNT = frozenset((RunEnding.FAILED,))


class Job:
    """An accepted job that has not ended.

    Parameters
    ----------
    job_id : str
    record : JobRecord
        What the journal keeps of it.
    """

    def __init__(self, job_id: JobId, record: JobRecord) -> None:
        """Start with nothing placed."""
        self.job_id = job_id
        self.record = record
        self.phase = JobPhase.QUEUED
        self.cause = FailureCause.NONE
        self.started = False
        #: Whether the journal is known to have the job.
        self.accepted = False
        #: The longest of its runs that went well, in seconds, and where.
        self.longest_run: Seconds = 0
        self.longest_run_worker = WorkerId('')
        #: What its tasks waited for, to explain later why it was late.
        self.wait_times = WaitTimes()
        #: Every worker that a task was ever given to.
        self.workers: set[WorkerId] = set()
        self._steps_by_round: dict[int, list[StepState]] = {}

    @property
    def spec(self) -> JobSpec:
        """What the caller asked for."""
        return self.record.spec

    @property
    def queue(self) -> QueueSettings:
        """Settings of its queue when it was accepted."""
        return self.record.queue

    @property
    def tenant(self) -> Tenant:
        """For whom it is run, as that was when it was accepted."""
        return self.record.tenant

    @property
    def urgent(self) -> bool:
        """Whether its queue goes before all others."""
        return self.queue.priority == 0

    @property
    def ended(self) -> bool:
        """Whether nothing more is to run."""
        return self.phase in ENDED_PHASES

    def steps(self, round_number: int) -> list[StepState]:
        """Return the steps of a round, made when first asked for."""
        made = self._steps_by_round.get(round_number)
        if made is None:
            made = [
                StepState(self, round_number, number)
                for number in range(len(self.spec.steps))
            ]
            self._steps_by_round[round_number] = made
        return made

    def open_steps(self, now: Seconds) -> Iterator[StepState]:
        """Yield the steps whose turn has come by wall clock `now`."""
        for round_number in range(self.spec.rounds):
            if self.spec.due(round_number) > now:
                return
            steps = self.steps(round_number)
            for step in steps:
                if step.done:
                    continue
                if all(steps[earlier].done for earlier in step.spec.after):
                    yield step

    def next_due(self, now: Seconds) -> Seconds:
        """Return when the first round after wall clock `now` is due.

        Returns
        -------
        Seconds since 1970, infinite if no round is still to come.
        """
        spec = self.spec
        if not spec.repeats:
            return math.inf
        if spec.due(0) > now:
            return spec.due(0)
        if spec.interval <= 0:
            return math.inf
        number = int((now - spec.first_at) // spec.interval)
        while spec.due(number) <= now:
            number += 1
        return spec.due(number) if number < spec.rounds else math.inf

    def find_task(
        self,
        round_number: int,
        step: int,
        index: int,
    ) -> Task | None:
        """Return a task by its numbers, or None if the job has none such."""
        if not 0 <= round_number < self.spec.rounds:
            return None
        if not 0 <= step < len(self.spec.steps):
            return None
        tasks = self.steps(round_number)[step].tasks
        return tasks[index] if 0 <= index < len(tasks) else None

    def place(self, task: Task, run: RunNumber, worker: WorkerId) -> None:
        """Note that a run of a task is given to a worker."""
        task.phase = TaskPhase.PLACED
        task.waiting_since = None
        task.run = run
        task.worker = worker
        self.workers.add(worker)
        self.started = True
        if self.phase is JobPhase.QUEUED:
            self.phase = JobPhase.RUNNING

    def end_run(
        self,
        task: Task,
        run: RunNumber,
        ending: RunEnding,
        checkpoint: str,
    ) -> None:
        """Note how a run ended.

        A newer run than is known was started by an earlier owner that could
        not write it down. Its runs may end in any order here, and each failure
        counts, but none of a run that was given up.
        """
        if task.phase is TaskPhase.DONE or run < task.first_open_run:
            return
        if run > task.run:
            self.place(task, run, task.worker)
        latest = run == task.run
        if latest and checkpoint:
            task.checkpoint = checkpoint
        if latest and ending is RunEnding.DONE:
            self._succeed(task)
            return
        if run in task.processed_runs:
            return
        task.processed_runs.add(run)
        if latest:
            task.phase = TaskPhase.WAITING
        if ending in _ENDINGS_THAT_COUNT:
            self._count_failure(task, run)

    def note_crash(self, task: Task, run: RunNumber, suspicion: int) -> bool:
        """Note that a worker ended under a run; tell whether that counted.

        Of a gang only the member there is suspected: a wide one with none to
        blame loses another member each time. Unlike attempts this counts for
        lasting tasks too: the workers that they end are gone for all.
        """
        if task.phase is not TaskPhase.PLACED or task.run != run:
            return False
        if not suspicion:
            return False
        task.crashes += 1
        task.suspicion += suspicion
        if task.suspicion >= SUSPICION_LIMIT:
            self._give_up(FailureCause.CRASHED_WORKERS)
        return True

    def retract_crash(self, task: Task, suspicion: int) -> None:
        """Take back a crash of a worker that has turned out to be alive."""
        task.crashes -= 1
        task.suspicion = max(0, task.suspicion - suspicion)

    def note_run(self, took: Seconds, worker: WorkerId) -> None:
        """Note how long a run took, to explain later what held the job up."""
        if took > self.longest_run:
            self.longest_run = took
            self.longest_run_worker = worker

    def failures(self) -> int:
        """Return how many runs of its tasks failed."""
        return sum(row.failures for row in self.rows())

    def crashes(self) -> int:
        """Return how many workers ended under the worst of its tasks."""
        return max((row.crashes for row in self.rows()), default=0)

    def placed_on(self) -> set[WorkerId]:
        """Return the workers that its tasks were given to."""
        return {task.worker for task in self.placed_tasks()}

    def placed_tasks(self) -> list[Task]:
        """Return the tasks that are given to workers."""
        steps = itertools.chain.from_iterable(self._steps_by_round.values())
        return [
            task
            for step in steps
            for task in step.tasks
            if task.phase is TaskPhase.PLACED
        ]

    def rows(self) -> list[TaskRow]:
        """Return the tasks that have left their first state."""
        steps = itertools.chain.from_iterable(self._steps_by_round.values())
        return [task.row() for step in steps for task in step.tasks if task.run]

    def restore(self, progress: Progress) -> None:
        """Take what the journal kept of the job's progress."""
        for row in progress.rows:
            task = self.find_task(row.round_number, row.step, row.index)
            if task is not None:
                task.restore(row)
                self.workers.add(task.worker)
                self.started = True
        if progress.rows:
            self.phase = JobPhase.RUNNING

    def _succeed(self, task: Task) -> None:
        members = task.step.tasks if task.step.spec.gang else (task,)
        for member in members:
            member.phase = TaskPhase.DONE
        if self._all_done():
            self.phase = JobPhase.COMPLETED

    def _count_failure(self, task: Task, run: RunNumber) -> None:
        step = task.step
        if step.spec.gang and run in step.failed_runs:
            return
        step.failed_runs.add(run)
        members = step.tasks if step.spec.gang else [task]
        counted = max(member.failures for member in members) + 1
        for member in members:
            member.failures = counted
        if task.step.spec.lasting:
            return
        if counted >= self.queue.max_attempts:
            self._give_up(FailureCause.ATTEMPTS)

    def _give_up(self, cause: FailureCause) -> None:
        self.phase = JobPhase.FAILED
        self.cause = cause

    def _all_done(self) -> bool:
        return all(
            step.done
            for round_number in range(self.spec.rounds)
            for step in self.steps(round_number)
        )
