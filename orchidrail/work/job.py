"""State of an open job: rounds, each of which runs the steps of the job.

A job is one aggregate without I/O. Callers report placements and the ends of
runs; it returns which steps may start next and whether the job has ended.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from orchidrail.types import (
    FIRST_BLOCK,
    BlockNumber,
    JobId,
    RunNumber,
    Seconds,
    WorkerId,
)
from orchidrail.work.model import JobSpec, QueueSettings
from orchidrail.work.progress_blocks import ProgressBlocks
from orchidrail.work.records import (
    ENDED_PHASES,
    DoneRow,
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

#: Suspicion at which a task, and its job with it, fails permanently.
SUSPICION_LIMIT = 8
_COUNTED_ENDINGS = frozenset((RunEnding.FAILED,))


class Job:
    """An accepted job that has not ended.

    Parameters
    ----------
    job_id : str
    record : JobRecord
        Its record in the journal.
    """

    def __init__(self, job_id: JobId, record: JobRecord) -> None:
        """Start without placed tasks."""
        self.job_id = job_id
        self.record = record
        self.phase = JobPhase.QUEUED
        self.cause = FailureCause.NONE
        #: Whether a task was ever placed.
        self.placed = False
        #: Whether a task is known to have begun.
        self.started = False
        #: Whether the job is known to be in the journal.
        self.accepted = False
        #: Duration of its longest successful run in seconds, and its worker.
        self.longest_run: Seconds = 0
        self.longest_run_worker = WorkerId('')
        #: Wait times of its tasks by reason, to explain delays.
        self.wait_times = WaitTimes()
        #: All workers on which a task was ever placed.
        self.workers: set[WorkerId] = set()
        self._steps_by_round: dict[int, list[StepState]] = {}
        self._done_rounds = 0
        self._blocks = ProgressBlocks()

    @property
    def spec(self) -> JobSpec:
        """Specification by the caller."""
        return self.record.spec

    @property
    def queue(self) -> QueueSettings:
        """Settings of its queue at the time of acceptance."""
        return self.record.queue

    @property
    def tenant(self) -> Tenant:
        """Its tenant, as configured at the time of acceptance."""
        return self.record.tenant

    @property
    def urgent(self) -> bool:
        """Whether its queue has the highest priority."""
        return self.queue.priority == 0

    @property
    def ended(self) -> bool:
        """Whether no task is to run any more."""
        return self.phase in ENDED_PHASES

    def steps(self, round_number: int) -> list[StepState]:
        """Return the steps of a round, created on first access."""
        round_steps = self._steps_by_round.get(round_number)
        if round_steps is None:
            round_steps = [
                StepState(self, round_number, number)
                for number in range(len(self.spec.steps))
            ]
            self._steps_by_round[round_number] = round_steps
        return round_steps

    def open_steps(self, now: Seconds) -> Iterator[StepState]:
        """Yield the unfinished steps that are ready at wall clock `now`."""
        for round_number in range(self._count_done_rounds(), self.spec.rounds):
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
        Seconds since 1970, infinite if no round is left.
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
        """Return a task by its indices, None if the job has no such task."""
        if not 0 <= round_number < self.spec.rounds:
            return None
        if not 0 <= step < len(self.spec.steps):
            return None
        tasks = self.steps(round_number)[step].tasks
        return tasks[index] if 0 <= index < len(tasks) else None

    def place(self, task: Task, run: RunNumber, worker: WorkerId) -> None:
        """Record that a run of a task is placed on a worker."""
        task.phase = TaskPhase.PLACED
        task.waiting_since = None
        task.run = run
        task.worker = worker
        if task.block is None:
            self._blocks.add(task)
        else:
            self._blocks.note_change(task)
        self.workers.add(worker)
        self.placed = True
        if self.phase is JobPhase.QUEUED:
            self.phase = JobPhase.RUNNING

    def note_begun(self, task: Task) -> None:
        """Record that a worker has reported a run of a task.

        It is written together with the next change of the task, as the worker
        reports its runs to the next owner as well.
        """
        task.begun = True
        self.started = True

    def end_run(
        self,
        task: Task,
        run: RunNumber,
        ending: RunEnding,
        checkpoint: str,
    ) -> None:
        """Record how a run ended.

        A run newer than the latest known one was started by a previous owner
        that could not write it to the journal. The ends of its runs may arrive
        in any order. Each failure counts once, unless the run was abandoned.
        """
        if task.phase is TaskPhase.DONE or run < task.first_open_run:
            return
        if run > task.run:
            self.place(task, run, task.worker)
        self._blocks.note_change(task)
        if ending is not RunEnding.LAPSED:
            self.note_begun(task)
        latest = run == task.run
        if latest and checkpoint:
            task.checkpoint = checkpoint
        if latest and ending is RunEnding.DONE:
            self._succeed(task)
            return
        if run in task.processed_runs:
            return
        task.processed_runs |= {run}
        if latest:
            task.phase = TaskPhase.WAITING
        if ending in _COUNTED_ENDINGS:
            self._count_failure(task, run)

    def note_crash(self, task: Task, run: RunNumber, suspicion: int) -> bool:
        """Record that a worker crashed during a run; return whether it counts.

        Of a gang, only the member on that worker is suspected: a wide gang
        without fault loses a different member each time. Unlike failed
        attempts, crashes count for long-running tasks too, as a crashed worker
        is lost to all jobs.
        """
        if task.phase is not TaskPhase.PLACED or task.run != run:
            return False
        if not suspicion:
            return False
        self._blocks.note_change(task)
        task.crashes += 1
        task.suspicion += suspicion
        if task.suspicion >= SUSPICION_LIMIT:
            self.fail(FailureCause.CRASHED_WORKERS)
        return True

    def retract_crash(self, task: Task, suspicion: int) -> None:
        """Retract a crash, as the worker has turned out to be alive."""
        self._blocks.note_change(task)
        task.crashes -= 1
        task.suspicion = max(0, task.suspicion - suspicion)

    def clear_suspicion(self, task: Task) -> None:
        """Clear the suspicion of a task that its worker has survived."""
        self._blocks.note_change(task)
        task.suspicion = 0

    def note_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Record the checkpoint that a worker reports for a running task."""
        if task.phase is TaskPhase.DONE:
            return
        if checkpoint and checkpoint != task.checkpoint:
            self._blocks.note_change(task)
            task.checkpoint = checkpoint

    def note_run(self, took: Seconds, worker: WorkerId) -> None:
        """Record the duration of a run, to explain delays of the job."""
        if took > self.longest_run:
            self.longest_run = took
            self.longest_run_worker = worker

    def failures(self) -> int:
        """Return the number of failed runs over all tasks."""
        return sum(task.failures for task in self._blocks.tasks())

    def crashes(self) -> int:
        """Return the largest number of workers that one task has crashed."""
        return max((task.crashes for task in self._blocks.tasks()), default=0)

    def placed_on(self) -> set[WorkerId]:
        """Return the workers on which its tasks are placed."""
        return {task.worker for task in self.placed_tasks()}

    def placed_tasks(self) -> list[Task]:
        """Return the tasks that are placed on workers."""
        return [
            task
            for task in self._blocks.tasks()
            if task.phase is TaskPhase.PLACED
        ]

    def rows(self) -> list[TaskRow]:
        """Return the records of the tasks that have been placed before."""
        return [task.row() for task in self._blocks.tasks()]

    def short_rows(
        self, block: BlockNumber = FIRST_BLOCK
    ) -> list[TaskRow | DoneRow]:
        """Return the records of a block that the next owner needs."""
        return [task.short_row() for task in self._blocks.tasks_in(block)]

    def take_changed_blocks(self) -> list[BlockNumber]:
        """Return the blocks to write: those changed since the last call."""
        return self._blocks.take_changed()

    def blocks(self) -> list[BlockNumber]:
        """Return all blocks of its progress."""
        return self._blocks.numbers()

    def restore(
        self, progress: Progress, block: BlockNumber = FIRST_BLOCK
    ) -> None:
        """Restore one block of the progress recorded in the journal."""
        restored: list[Task] = []
        for row in progress.rows:
            task = self.find_task(row.round_number, row.step, row.index)
            if task is not None:
                task.restore(row)
                restored.append(task)
                if task.worker:
                    self.workers.add(task.worker)
                self.placed = True
                self.started = self.started or _shows_start(row)
        self._blocks.restore(block, restored)
        self._complete_gangs({task.step for task in restored})
        if progress.rows:
            self.phase = JobPhase.RUNNING

    def _complete_gangs(self, steps: set[StepState]) -> None:
        """Mark gangs as done of which a member is done.

        Their members end together, but may be stored in different blocks. The
        failures of a gang count for each member.
        """
        for step in steps:
            done = [task for task in step.tasks if task.phase is TaskPhase.DONE]
            if step.spec.gang and done:
                for task in step.tasks:
                    task.complete()
                    task.failures = done[0].failures

    def fail(self, cause: FailureCause) -> None:
        """End the job as failed."""
        self.phase = JobPhase.FAILED
        self.cause = cause

    def _succeed(self, task: Task) -> None:
        members = task.step.tasks if task.step.spec.gang else (task,)
        for member in members:
            member.complete()
            self._blocks.note_change(member)
        if self._all_done():
            self.phase = JobPhase.COMPLETED

    def _count_failure(self, task: Task, run: RunNumber) -> None:
        step = task.step
        if step.spec.gang and run in step.failed_runs:
            return
        step.failed_runs.add(run)
        members = step.tasks if step.spec.gang else [task]
        failure_count = max(member.failures for member in members) + 1
        for member in members:
            member.failures = failure_count
            self._blocks.note_change(member)
        if task.step.spec.lasting:
            return
        if failure_count >= self.queue.max_attempts:
            self.fail(FailureCause.ATTEMPTS)

    def _all_done(self) -> bool:
        return self._count_done_rounds() == self.spec.rounds

    def _count_done_rounds(self) -> int:
        """Return the number of rounds done before the first open one."""
        while self._done_rounds < self.spec.rounds:
            if not all(step.done for step in self.steps(self._done_rounds)):
                break
            self._done_rounds += 1
        return self._done_rounds


def _shows_start(row: TaskRow) -> bool:
    """Whether a record shows that its task has begun.

    A placement doesn't, as it is recorded before the start is sent. Nor does a
    crash: the worker may have crashed before the start arrived. Journals of
    older versions show only what workers reported of a run that has ended.
    """
    ended = row.phase is TaskPhase.DONE
    return row.begun or ended or bool(row.failures or row.checkpoint)
