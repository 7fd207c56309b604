"""Property: the running work of a tenant never exceeds its limit.

The test draws placements, replies and lost replies, late ends, stops, workers
that crash or return, cancelled jobs, changed limits and changes of the owner.
Runs that may still exist are counted independently of the tracked workers, from
the placements and the runs that have certainly ended.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from orchidrail.shard.tenant_ledger import TenantLedger, quota_usage_of
from orchidrail.shard.tests.test_worker_selection import make_tracked_worker
from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.shard.unresolved_runs import UnresolvedRuns
from orchidrail.types import JobId, RunNumber, TenantId, WorkerId
from orchidrail.work.job import Job
from orchidrail.work.model import JobSpec, StepSpec
from orchidrail.work.records import JobRecord, TaskPhase
from orchidrail.work.size import Size
from orchidrail.work.step import Task
from orchidrail.work.tenant import Tenant
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import RunKey

_NAMES = ('large', 'small')
_WORKERS = 3
_QUEUE = make_job(StepSpec(1)).queue
_limits = st.integers(0, 12).map(lambda cores: Size(cores * 1000, 0))


class _ExpectedRuns:
    """Runs that may still exist, counted independently."""

    def __init__(self) -> None:
        self.where_by_key: dict[RunKey, tuple[Task, int]] = {}

    def used(self, name: str) -> Size:
        used = Size()
        for task, _ in self.where_by_key.values():
            if task.step.job.tenant.name == name:
                used += task.step.spec.size
        return used


class TenantLedgerMachine(RuleBasedStateMachine):
    """Successive owners and the runs that may exist on three workers."""

    def __init__(self) -> None:
        super().__init__()
        self.tenant_by_name = {
            TenantId(name): Tenant(TenantId(name), 1, Size(8000, 0))
            for name in _NAMES
        }
        self.runs = _ExpectedRuns()
        self.jobs: list[Job] = []
        self.start_owner()

    def start_owner(self) -> None:
        """Take over with nothing but the content of the journal."""
        self.ledger = TenantLedger(self.tenant_by_name.get)
        self.unresolved = UnresolvedRuns(self.ledger)
        self.tracked: list[TrackedWorker] = []
        for number in range(_WORKERS):
            tracked = make_tracked_worker(f'w-{number}', 64)
            tracked._ledger = self.ledger
            self.tracked.append(tracked)

    def worker(self, number: int) -> WorkerId:
        return self.tracked[number].worker

    @initialize()
    def contact_workers(self) -> None:
        self.contacted = set(range(_WORKERS))

    @rule(
        name=st.sampled_from(_NAMES),
        count=st.integers(1, 6),
        cores=st.integers(1, 4),
        gang=st.booleans(),
        best_effort=st.booleans(),
        number=st.integers(0, _WORKERS - 1),
    )
    def place(
        self,
        name: str,
        count: int,
        cores: int,
        gang: bool,
        best_effort: bool,
        number: int,
    ) -> None:
        """Place the tasks of a new job's step that are within the limit."""
        if number not in self.contacted:
            return
        tenant = self.tenant_by_name[TenantId(name)]
        step = StepSpec(
            count, Size(cores * 1000, 1), gang=gang, best_effort=best_effort
        )
        record = JobRecord(_QUEUE, JobSpec('', (step,)), 0, tenant)
        job = Job(JobId(f'{len(self.jobs):016x}'), record)
        self.jobs.append(job)
        state = job.steps(0)[0]
        allowed = self.ledger.within_limit(state, state.tasks)
        limit = tenant.maximum.millicores
        before = self.runs.used(name).millicores
        for task in allowed:
            tracked = self.tracked[number]
            key = RunKey(task.key, RunNumber(1))
            tracked.allocate(
                PlacedRun(key, state.spec.charged, task, 0), state.key
            )
            job.place(task, RunNumber(1), tracked.worker)
            self.runs.where_by_key[key] = task, number
        after = self.runs.used(name).millicores
        assert not limit or after <= limit or not allowed
        fits = (limit - before) // (cores * 1000) if limit else count
        expected = min(count, max(0, fits))
        if gang and expected < count:
            expected = 0
        assert len(allowed) == expected

    @precondition(lambda machine: machine.runs.where_by_key)
    @rule(data=st.data())
    def end(self, data: st.DataObject) -> None:
        """Receive the end of any run."""
        keys = sorted(self.runs.where_by_key)
        key = data.draw(st.sampled_from(keys))
        task, number = self.runs.where_by_key[key]
        if number not in self.contacted:
            return
        self.tracked[number].release(key)
        self.runs.where_by_key.pop(key)
        task.phase = TaskPhase.DONE

    @rule(number=st.integers(0, _WORKERS - 1))
    def crash(self, number: int) -> None:
        """Abandon a worker, contacted or not."""
        for key, (task, where) in list(self.runs.where_by_key.items()):
            if where == number:
                self.tracked[number].release(key)
                self.runs.where_by_key.pop(key)
                task.phase = TaskPhase.WAITING
        self.unresolved.pop_runs(self.worker(number))
        self.contacted.add(number)

    @rule(name=st.sampled_from(_NAMES), maximum=_limits)
    def change_limit(self, name: str, maximum: Size) -> None:
        tenant = Tenant(TenantId(name), 1, maximum)
        self.tenant_by_name[TenantId(name)] = tenant

    @rule(left=st.booleans())
    def replace_owner(self, left: bool) -> None:
        """Replace the owner; the journal lists what was placed.

        For jobs that have ended, it lists their lingering runs.
        """
        self.start_owner()
        self.contacted.clear()
        for key, (task, number) in self.runs.where_by_key.items():
            if left:
                holding = quota_usage_of(task)
                self.unresolved.add_lingering(self.worker(number), key, holding)
            else:
                self.unresolved.add(self.worker(number), [(task, key.run)])

    @rule(number=st.integers(0, _WORKERS - 1))
    def adopt_listed_runs(self, number: int) -> None:
        """Adopt the runs that a worker lists, then resolve the unknown ones."""
        if number in self.contacted:
            return
        worker = self.worker(number)
        tracked = self.tracked[number]
        for key, (task, where) in self.runs.where_by_key.items():
            if where != number:
                continue
            left = self.unresolved.lingering_on(worker, key)
            run = PlacedRun(
                key,
                task.step.spec.charged,
                None if left else task,
                0,
                left=left,
            )
            tracked.allocate(run, task.step.key)
        self.unresolved.pop_runs(worker)
        self.contacted.add(number)

    @invariant()
    def counts_what_may_run(self) -> None:
        for name in _NAMES:
            assert self.ledger.used(TenantId(name)) == self.runs.used(name)


TestTenantLedger = TenantLedgerMachine.TestCase
TestTenantLedger.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
)
