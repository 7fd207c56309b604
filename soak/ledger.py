"""Records what callers and workers observe and checks the guarantees."""

from __future__ import annotations

import math
import time
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple, Protocol

from orchidrail.work.size import Size
from soak.capacity import size_of

#: Crashes attributed to a task after which its further starts are counted.
CRASH_LIMIT = 3
#: Starts after the crash limit that violate the budget.
TOO_MANY_STARTS = 3
#: Crashes of a task after which its job may be abandoned.
MIN_CRASHES = 2
#: Failed runs of a task or gang that fail its job, unless it is long-running.
MAX_ATTEMPTS = 3
#: Seconds after an acknowledged cancel in which tasks may still start.
CANCEL_TIMEOUT = 3.0
#: Seconds for which a fault may have effects after its end.
FAULT_AFTERMATH_SECONDS = 4.0


class Failing(Enum):
    """Which runs of a job fail because of the job itself."""

    NEVER = 'never'
    SOMETIMES = 'sometimes'
    ALWAYS = 'always'


@dataclass
class SentJob:
    """A job as seen by its caller."""

    job_id: str
    text: str
    steps: list[dict[str, Any]]
    #: Whether its first task crashes every worker that starts it.
    crashing: bool = False
    failing: Failing = Failing.NEVER
    #: Whether it needs advice, which permits only some of the workers.
    advised: bool = False
    accepted: bool = False
    accepted_at: float | None = None
    #: Seconds after which its caller tries again.
    return_in: float = 0.2
    #: Whether a try without a clear response may have submitted it.
    uncertain: bool = False
    cancel_sent: bool = False
    cancel_sent_at: float | None = None
    cancelled_at: float | None = None
    state: str = ''
    tenant: str = ''
    #: Whether it was correctly shown as failed after its last attempt.
    attempts_exhausted: bool = False

    @property
    def lasting(self) -> bool:
        """Whether its tasks run until it is cancelled."""
        return any(step.get('longRunning') for step in self.steps)

    @property
    def gang(self) -> bool:
        """Whether some of its steps are gang-scheduled."""
        return any(step.get('gangScheduled') for step in self.steps)

    @property
    def tasks(self) -> list[str]:
        """Keys of its tasks."""
        return [
            f'{self.job_id}.0.{number}.{index}'
            for number, step in enumerate(self.steps)
            for index in range(step['count'])
        ]

    def step_of(self, task: str) -> dict[str, Any]:
        """Return the step of one of its tasks."""
        return self.steps[int(task.split('.')[2])]

    def size_of(self, task: str) -> Size:
        """Return the resources that one of its tasks requests."""
        return size_of(self.step_of(task))

    def unit_of(self, task: str) -> str:
        """Return the key of the unit of retry: the task, or its whole gang."""
        gang = self.step_of(task).get('gangScheduled')
        return task.rpartition('.')[0] if gang else task

    @property
    def ended_as_expected(self) -> bool:
        """Whether its caller was shown the expected final state."""
        expected = 'failed' if self.crashing else 'completed'
        return self.attempts_exhausted or self.state == expected


@dataclass
class TaskRecord:
    """What the workers did with one task."""

    running: set[str] = field(default_factory=set)
    starts: int = 0
    #: Time of the monotonic clock at which its last run ended.
    ended_at: float | None = None
    #: Workers that it crashed, and starts after the crash limit.
    crashes: int = 0
    late_starts: int = 0


class Failure(NamedTuple):
    """A failed run; gang members that fail in the same run share it."""

    run: int
    #: Empty for a gang.
    worker: str


@dataclass
class RunOutcomes:
    """Endings of the runs of a task, or of a whole gang."""

    done: bool = False
    #: Whether the ending `done` was acknowledged.
    done_acknowledged: bool = False
    failures: set[Failure] = field(default_factory=set)
    #: The failures that were acknowledged.
    acknowledged_failures: set[Failure] = field(default_factory=set)


class Limits(Protocol):
    """Checks the usage of tenants against their limits."""

    def record_start(self, tenant: str, cpu: int) -> None:
        """Record and check a start."""

    def record_end(self, tenant: str, cpu: int) -> None:
        """Record that a run ended."""

    def allows(self, tenant: str, cpu: int) -> bool:
        """Whether a tenant, far below its limit, may use `cpu` more."""


class Ledger:
    """Collects observations and checks the guarantees on each of them."""

    def __init__(self) -> None:
        """Start without observations."""
        self.violations: list[str] = []
        self.job_by_id: dict[str, SentJob] = {}
        self.task_by_key: dict[str, TaskRecord] = defaultdict(TaskRecord)
        self._outcomes_by_unit: dict[str, RunOutcomes] = defaultdict(
            RunOutcomes
        )
        self.started_at = time.monotonic()
        #: Time of the monotonic clock since which no fault is active.
        self.fault_free_since: float | None = None
        self._crashed_at = -math.inf
        self.limits: Limits | None = None

    def report_violation(self, rule: str, detail: str) -> None:
        """Record that a rule was violated."""
        at = time.monotonic() - self.started_at
        self.violations.append(f'{rule} at {at:.2f} s: {detail}')

    def is_fault_free(self, now: float) -> bool:
        """Whether no fault is active, or was shortly before."""
        return self.fault_free_since is not None and (
            now - self.fault_free_since >= FAULT_AFTERMATH_SECONDS
        )

    def is_undisturbed(self, now: float) -> bool:
        """Whether it is fault-free and no job crashed a worker recently."""
        return (
            self.is_fault_free(now)
            and now - self._crashed_at >= FAULT_AFTERMATH_SECONDS
        )

    def record_crash(self, key: str) -> None:
        """Record that a task crashed its worker."""
        self.task_by_key[key].crashes += 1
        self._crashed_at = time.monotonic()

    def outcomes_of(self, key: str) -> RunOutcomes:
        """Return the endings of the runs of a task, or of its gang."""
        job = self.job_by_id.get(key.partition('.')[0])
        return self._outcomes_by_unit[job.unit_of(key) if job else key]

    def count_failures(self, jobs: Iterable[SentJob]) -> int:
        """Return how many runs failed; a gang run counts once."""
        units = {job.unit_of(task) for job in jobs for task in job.tasks}
        return sum(len(self._outcomes_by_unit[unit].failures) for unit in units)

    def record_start(self, key: str, text: str, worker: str) -> None:
        """Record a start and check that it is allowed."""
        job_id, _, step, _ = key.split('.')
        job = self.job_by_id.get(job_id)
        if job is None or job.text != text:
            self.report_violation(
                'UNASKED', f'{key} on {worker}, text {text!r}'
            )
            return
        if self.limits is not None:
            self.limits.record_start(job.tenant, job.size_of(key).millicores)
        task, outcomes = self.task_by_key[key], self.outcomes_of(key)
        task.starts += 1
        task.late_starts += task.crashes >= CRASH_LIMIT
        if task.late_starts >= TOO_MANY_STARTS:
            self.report_violation(
                'BUDGET', f'{key} after {task.crashes} crashes'
            )
        if task.running:
            self.report_violation(
                'TWICE', f'{key} on {worker} and {task.running}'
            )
        if outcomes.done_acknowledged:
            self.report_violation(
                'TWICE', f'{key} on {worker} after its acknowledged end'
            )
        if (
            not job.lasting
            and len(outcomes.acknowledged_failures) >= MAX_ATTEMPTS
        ):
            failures = len(outcomes.failures)
            self.report_violation('BUDGET', f'{key} after {failures} failures')
        for earlier in job.steps[int(step)].get('afterRevision', ()):
            if not self._step_done(job, earlier):
                self.report_violation('ORDER', f'{key} before step {earlier}')
        cancelled = job.cancelled_at
        if cancelled and time.monotonic() - cancelled > CANCEL_TIMEOUT:
            self.report_violation('UNASKED', f'{key} started after its cancel')
        task.running.add(worker)

    def record_end(self, key: str, run: int, worker: str, ending: str) -> None:
        """Record that a run ended on a worker."""
        job = self.job_by_id.get(key.partition('.')[0])
        if self.limits is not None and job is not None:
            self.limits.record_end(job.tenant, job.size_of(key).millicores)
        task, outcomes = self.task_by_key[key], self.outcomes_of(key)
        task.running.discard(worker)
        task.ended_at = time.monotonic()
        outcomes.done = outcomes.done or ending == 'done'
        if ending == 'failed':
            outcomes.failures.add(self._failure(key, run, worker))
        cancelled = job is not None and job.cancel_sent
        if (
            ending == 'alone'
            and not cancelled
            and self.is_undisturbed(task.ended_at)
        ):
            self.report_violation(
                'GANG', f'run {run} of {key} on {worker} ends alone'
            )

    def record_acknowledgement(
        self,
        key: str,
        run: int,
        worker: str,
        ending: str,
    ) -> None:
        """Record that the ending of a run was acknowledged."""
        outcomes = self.outcomes_of(key)
        outcomes.done_acknowledged = (
            outcomes.done_acknowledged or ending == 'done'
        )
        if ending == 'failed':
            outcomes.acknowledged_failures.add(self._failure(key, run, worker))

    def _failure(self, key: str, run: int, worker: str) -> Failure:
        job = self.job_by_id.get(key.partition('.')[0])
        by_itself = job is None or job.unit_of(key) == key
        return Failure(run, worker if by_itself else '')

    def interrupted_since(self, key: str) -> float | None:
        """Return since when a task of an accepted job is not running.

        Returns None while it runs. A task that never ran counts as
        interrupted since its job was accepted.
        """
        task = self.task_by_key[key]
        if task.running:
            return None
        job = self.job_by_id[key.partition('.')[0]]
        return task.ended_at or job.accepted_at

    def idle_since(self, job: SentJob) -> float | None:
        """Return since when no task of an accepted job runs, else None."""
        times = [self.interrupted_since(task) for task in job.tasks]
        known = [since for since in times if since is not None]
        return max(known) if len(known) == len(times) else None

    def must_progress(self, job: SentJob) -> bool:
        """Whether a job must progress, as far as the workers can tell."""
        if not job.accepted or job.cancel_sent or job.ended_as_expected:
            return False
        may_be_abandoned = job.crashing and (
            self._max_crashes(job) >= MIN_CRASHES
        )
        return not may_be_abandoned and not self._attempts_exhausted(job)

    def ready_steps(self, job: SentJob) -> list[int]:
        """Return the unfinished steps whose preceding steps are done."""
        return [
            number
            for number, step in enumerate(job.steps)
            if not self._step_done(job, number)
            and all(
                self._step_done(job, earlier)
                for earlier in step.get('afterRevision', ())
            )
        ]

    def check_state(self, job: SentJob, status: int, state: str) -> None:
        """Check the status and state that a caller is shown for a job."""
        if status == 410 and job.accepted and not job.cancel_sent:
            self.report_violation('LOST', f'{job.job_id} is unknown (410)')
        if state == 'completed' and not self._all_done(job):
            self.report_violation(
                'MIXED', f'{job.job_id} shown as completed too early'
            )
        abandoned = job.crashing and state == 'failed'
        if state == 'failed' and self._attempts_exhausted(job):
            abandoned, job.attempts_exhausted = True, True
        elif abandoned and self._max_crashes(job) < MIN_CRASHES:
            self.report_violation('LOST', f'{job.job_id} abandoned too early')
        ended = state in {'failed', 'cancelled'} and not abandoned
        if ended and not job.cancel_sent:
            self.report_violation('LOST', f'{job.job_id} shown as {state}')
        job.state = state or job.state

    def check_final_state(self) -> None:
        """Check what must hold at the end, after the faults have ceased."""
        for job in self.job_by_id.values():
            started = any(self.task_by_key[key].starts for key in job.tasks)
            if started and not job.accepted and not job.uncertain:
                self.report_violation(
                    'REFUSED', f'{job.job_id} was rejected, but ran'
                )
            owed = job.accepted and not job.cancel_sent
            if owed and not job.ended_as_expected:
                self.report_violation(
                    'LOST', f'{job.job_id} ends as {job.state!r}'
                )

    def _max_crashes(self, job: SentJob) -> int:
        return max(self.task_by_key[key].crashes for key in job.tasks)

    def _attempts_exhausted(self, job: SentJob) -> bool:
        return not job.lasting and any(
            len(self.outcomes_of(key).failures) >= MAX_ATTEMPTS
            for key in job.tasks
        )

    def _step_done(self, job: SentJob, number: int) -> bool:
        count = job.steps[number]['count']
        keys = (f'{job.job_id}.0.{number}.{index}' for index in range(count))
        return all(self.outcomes_of(key).done for key in keys)

    def _all_done(self, job: SentJob) -> bool:
        return all(
            self._step_done(job, number) for number in range(len(job.steps))
        )
