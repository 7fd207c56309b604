"""A step of a job and its tasks: what is placed, and what is known of it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from orchidrail.types import RunNumber, Seconds, TaskKey, WorkerId
from orchidrail.work.failed_workers import FailedWorkers
from orchidrail.work.model import StepSpec
from orchidrail.work.permits import Permits
from orchidrail.work.records import TaskPhase, TaskRow
from orchidrail.workers.incarnations import incarnation_id, split_incarnation_id

if TYPE_CHECKING:
    from orchidrail.work.job import Job

#: Suspicion of crashing workers from which a task is tried apart from others.
_SUSPECTED_AT = 2


class Task:
    """One task of a step and its latest run."""

    __slots__ = (
        'checkpoint',
        'crashes',
        'failures',
        'first_open_run',
        'index',
        'phase',
        'processed_runs',
        'run',
        'step',
        'suspicion',
        'waiting_since',
        'worker',
    )

    def __init__(self, step: StepState, index: int) -> None:
        """Start in the first state."""
        self.step = step
        self.index = index
        self.phase = TaskPhase.WAITING
        self.run = RunNumber(0)
        self.worker = WorkerId('')
        self.failures = 0
        self.checkpoint = ''
        #: Workers that ended under it, and how far that speaks against it.
        self.crashes = 0
        self.suspicion = 0
        #: Runs whose ends were taken, or that were given up.
        self.processed_runs: set[RunNumber] = set()
        #: Since when it could be placed, on its owner's steady clock.
        self.waiting_since: Seconds | None = None
        #: Earlier runs ended under an owner before, which judged them.
        self.first_open_run = RunNumber(0)

    @property
    def key(self) -> TaskKey:
        """The task's name at the workers."""
        return TaskKey(f'{self.step.key}.{self.index}')

    @property
    def suspected(self) -> bool:
        """Whether it may be what ends its workers."""
        return self.suspicion >= _SUSPECTED_AT

    def row(self) -> TaskRow:
        """Return what the journal keeps of the task."""
        name, born = split_incarnation_id(self.worker)
        return TaskRow(
            self.step.round_number,
            self.step.number,
            self.index,
            self.phase,
            self.run,
            name,
            self.failures,
            self.checkpoint,
            self.crashes,
            self.suspicion,
            born,
        )

    def restore(self, row: TaskRow) -> None:
        """Take what the journal kept."""
        self.phase = TaskPhase(row.phase)
        self.run = row.run
        self.worker = incarnation_id(row.worker, row.born)
        self.failures = row.failures
        self.checkpoint = row.checkpoint
        self.crashes = row.crashes
        self.suspicion = row.suspicion
        judged = self.phase is not TaskPhase.PLACED
        self.first_open_run = RunNumber(row.run + 1) if judged else row.run


def _waiting_since(task: Task) -> Seconds:
    """Return since when a task waits; it may not have been noted yet."""
    return math.inf if task.waiting_since is None else task.waiting_since


def longest_waiting_first(tasks: list[Task]) -> list[Task]:
    """Return tasks in the order of their turn, the longest wait first."""
    return sorted(tasks, key=_waiting_since)


class StepState:
    """One step in one round of a job: the unit that is placed."""

    def __init__(self, job: Job, round_number: int, number: int) -> None:
        """Start with all tasks waiting."""
        self.job = job
        self.round_number = round_number
        self.number = number
        self.spec: StepSpec = job.spec.steps[number]
        self.key = f'{job.job_id}.{round_number}.{number}'
        self.tasks = [Task(self, index) for index in range(self.spec.count)]
        #: Gang runs whose failure was counted; members share them.
        self.failed_runs: set[RunNumber] = set()
        self.permits = Permits()
        #: Since when the first of its tasks waits, as the last pass that looked
        #: for its turn has noted it, on its owner's steady clock.
        self.recorded_waiting_since: Seconds | None = None
        #: When its tenant's limit last kept a task of it from starting, on its
        #: owner's steady clock.
        self.limit_reached_at: Seconds = -math.inf
        #: Workers on which its tasks failed; others are tried first.
        self.failed_workers = FailedWorkers()

    @property
    def done(self) -> bool:
        """Whether every task has succeeded."""
        return all(task.phase is TaskPhase.DONE for task in self.tasks)

    def startable(self) -> list[Task]:
        """Return the tasks that may be started now; of a gang all or none.

        Of tasks that last, those that have waited longest come first: where
        fewer workers are permitted than there are tasks, those with low numbers
        would else be back each time before the others have their turn.
        """
        waiting = [
            task for task in self.tasks if task.phase is TaskPhase.WAITING
        ]
        if self.spec.gang and len(waiting) < len(self.tasks):
            return []
        return longest_waiting_first(waiting) if self.spec.lasting else waiting

    def waiting_since(self) -> Seconds | None:
        """Return since when the first of its tasks that may start waits."""
        since = (
            task.waiting_since
            for task in self.startable()
            if task.waiting_since is not None
        )
        return min(since, default=None)

    def interrupted_since(self) -> Seconds | None:
        """Return since when a task that lasts, and was at work, waits."""
        if not self.spec.lasting:
            return None
        since = (
            task.waiting_since
            for task in self.tasks
            if task.run and task.waiting_since is not None
        )
        return min(since, default=None)

    def next_run(self, tasks: list[Task]) -> RunNumber:
        """Return a run number above all that were used by `tasks`."""
        return RunNumber(max(task.run for task in tasks) + 1)

    def checkpoint_for(self, task: Task) -> str:
        """Return what a new run resumes from; a gang shares one."""
        if not self.spec.gang:
            return task.checkpoint
        return max(member.checkpoint for member in self.tasks)
