"""State of the steps of a job and their tasks."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from orchidrail.types import (
    BlockNumber,
    RunNumber,
    Seconds,
    TaskKey,
    WorkerId,
)
from orchidrail.work.failed_workers import FailedWorkers
from orchidrail.work.model import StepSpec
from orchidrail.work.permits import Permits
from orchidrail.work.records import DoneRow, TaskPhase, TaskRow
from orchidrail.workers.incarnations import incarnation_id, split_incarnation_id

if TYPE_CHECKING:
    from orchidrail.work.job import Job

#: Suspicion of crashing workers from which a task is retried in isolation.
_SUSPECTED_AT = 2
#: Shared by the tasks, as most have one run: a set of its own would double the
#: size of a task.
_NO_RUNS: frozenset[RunNumber] = frozenset()


class Task:
    """One task of a step and its latest run."""

    __slots__ = (
        'begun',
        'block',
        'checkpoint',
        'crashes',
        'failures',
        'first_open_run',
        'index',
        'phase',
        'preemptions',
        'processed_runs',
        'run',
        'step',
        'suspicion',
        'waiting_since',
        'worker',
    )

    def __init__(self, step: StepState, index: int) -> None:
        """Start waiting, without any run."""
        self.step = step
        self.index = index
        self.phase = TaskPhase.WAITING
        self.run = RunNumber(0)
        self.worker = WorkerId('')
        #: Whether a worker has reported that one of its runs began. A placed
        #: task may never have begun: its placement is recorded first.
        self.begun = False
        self.failures = 0
        self.checkpoint = ''
        #: Workers that crashed while running it, and the resulting suspicion.
        self.crashes = 0
        self.suspicion = 0
        #: How often the current owner stopped it for more urgent work.
        self.preemptions = 0
        #: Runs whose ends have been processed, or that were abandoned.
        self.processed_runs: frozenset[RunNumber] = _NO_RUNS
        #: Since when it has been ready, on the monotonic clock of the owner.
        self.waiting_since: Seconds | None = None
        #: The ends of earlier runs were processed by a previous owner.
        self.first_open_run = RunNumber(0)
        #: Block of its job's progress; None before its first run.
        self.block: BlockNumber | None = None

    @property
    def key(self) -> TaskKey:
        """Key of the task on the workers."""
        return TaskKey(f'{self.step.key}.{self.index}')

    @property
    def suspected(self) -> bool:
        """Whether it is suspected of crashing its workers."""
        return self.suspicion >= _SUSPECTED_AT

    def complete(self) -> None:
        """Mark the task as done; it is not resumed, so it has no checkpoint."""
        self.phase = TaskPhase.DONE
        self.begun = True
        self.checkpoint = ''

    def row(self) -> TaskRow:
        """Return the record of the task for the journal."""
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
            self.begun,
        )

    def short_row(self) -> TaskRow | DoneRow:
        """Return the fields of the record that the next owner needs.

        A task that is done has no run left on its worker. Members of a gang
        may have: they are done together with the first of them.
        """
        if self.phase is not TaskPhase.DONE or self.step.spec.gang:
            return self.row()
        if self.failures or self.crashes or self.suspicion:
            return self.row()
        return DoneRow(
            self.step.round_number,
            self.step.number,
            self.index,
            self.phase,
            self.run,
        )

    def restore(self, row: TaskRow) -> None:
        """Restore the state recorded in the journal."""
        self.phase = TaskPhase(row.phase)
        self.run = row.run
        self.worker = incarnation_id(row.worker, row.born)
        self.begun = row.begun or self.phase is TaskPhase.DONE
        self.failures = row.failures
        self.checkpoint = row.checkpoint
        self.crashes = row.crashes
        self.suspicion = row.suspicion
        processed = self.phase is not TaskPhase.PLACED
        self.first_open_run = RunNumber(row.run + 1) if processed else row.run


def _waiting_since(task: Task) -> Seconds:
    """Return since when a task waits, infinite if not recorded yet."""
    return math.inf if task.waiting_since is None else task.waiting_since


def longest_waiting_first(tasks: list[Task]) -> list[Task]:
    """Return the tasks sorted by wait time, the longest first."""
    return sorted(tasks, key=_waiting_since)


class StepState:
    """One step in one round of a job: the unit of placement."""

    def __init__(self, job: Job, round_number: int, number: int) -> None:
        """Start with all tasks waiting."""
        self.job = job
        self.round_number = round_number
        self.number = number
        self.spec: StepSpec = job.spec.steps[number]
        self.key = f'{job.job_id}.{round_number}.{number}'
        self.tasks = [Task(self, index) for index in range(self.spec.count)]
        #: Number of tasks at the start that are known to be done, for good.
        self._done_count = 0
        #: Gang runs whose failure was counted once for all members.
        self.failed_runs: set[RunNumber] = set()
        self.permits = Permits()
        #: Since when the first of its tasks has been waiting, as recorded by
        #: the last pass that checked whether the step is ready, on the
        #: monotonic clock of the owner.
        self.recorded_waiting_since: Seconds | None = None
        #: When the limit of its tenant last prevented a task from starting, on
        #: the monotonic clock of the owner.
        self.limit_reached_at: Seconds = -math.inf
        #: Since when it would not fit the limit of its tenant even if other
        #: work that can be kept waiting had ended; infinite if it would.
        self.over_limit_since: Seconds = math.inf
        #: Workers on which its tasks failed; other workers are preferred.
        self.failed_workers = FailedWorkers()

    @property
    def done(self) -> bool:
        """Whether every task has succeeded.

        Each task is passed once only: large steps are checked at every end.
        """
        while self._done_count < len(self.tasks):
            if self.tasks[self._done_count].phase is not TaskPhase.DONE:
                return False
            self._done_count += 1
        return True

    def startable(self) -> list[Task]:
        """Return the tasks that may be started now; of a gang all or none.

        Long-running tasks are sorted by wait time, the longest first: if there
        are fewer permitted workers than tasks, those with low indices would
        otherwise be restarted each time and starve the others.
        """
        waiting = [
            task for task in self.tasks if task.phase is TaskPhase.WAITING
        ]
        if self.spec.gang and len(waiting) < len(self.tasks):
            return []
        return longest_waiting_first(waiting) if self.spec.lasting else waiting

    def waiting_since(self) -> Seconds | None:
        """Return since when the first startable task has been waiting."""
        since = (
            task.waiting_since
            for task in self.startable()
            if task.waiting_since is not None
        )
        return min(since, default=None)

    def interrupted_since(self) -> Seconds | None:
        """Return since when a long-running task has been interrupted."""
        if not self.spec.lasting:
            return None
        since = (
            task.waiting_since
            for task in self.tasks
            if task.run and task.waiting_since is not None
        )
        return min(since, default=None)

    def next_run(self, tasks: list[Task]) -> RunNumber:
        """Return a run number above those used by `tasks`."""
        return RunNumber(max(task.run for task in tasks) + 1)

    def checkpoint_for(self, task: Task) -> str:
        """Return the checkpoint to resume from; a gang shares one."""
        if not self.spec.gang:
            return task.checkpoint
        return max(member.checkpoint for member in self.tasks)
