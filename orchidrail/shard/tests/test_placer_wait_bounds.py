"""Tests of a placer's waits that had no bound, or were measured anew."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import msgspec

from orchidrail.journal import JournalView, JournalWriter
from orchidrail.journal.writer import take_over
from orchidrail.metrics import InstanceMetrics
from orchidrail.shard.advice_dispatcher import AdviceDispatcher
from orchidrail.shard.placement_pass import PlacementPass, WaitingStep
from orchidrail.shard.placer import Placer
from orchidrail.shard.ranking import Rank
from orchidrail.shard.runs import RunTracker
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import TrackedWorker
from orchidrail.store import Topic
from orchidrail.store.memory import MemoryStore
from orchidrail.testing import AsyncTestCase
from orchidrail.types import (
    Address,
    Epoch,
    InstanceId,
    JobId,
    Seconds,
    TenantId,
    WorkerId,
)
from orchidrail.work.job import Job
from orchidrail.work.model import AdviceCost, MemberInfo, StepSpec
from orchidrail.work.size import Size
from orchidrail.work.tenant import ANONYMOUS_TENANT, Tenant
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import Advice, OrderResult, WorkerState
from orchidrail.workers.run_lease import RunLease
from orchidrail.workers.session import WorkerSession
from orchidrail.workers.tests.fakes import FakeWorker, make_entry

_ME = MemberInfo(InstanceId('me'), Address('me:1'), 'zone', 'me-1')
_LONG_COST = AdviceCost(0.5, 0.007, 1.5)
_SHORT_COST = AdviceCost(0.06, 0.002, 1.5)
_SOON = 0.1
#: Advice calls longer than this, in seconds, don't use the lanes reserved for
#: short ones.
_SHORT_CALL: Seconds = 0.15
#: By then all that could run must have started, in seconds.
_LONG_WAIT: Seconds = 10


def _waiting_tasks(job: Job) -> list[int]:
    return [task.index for task in job.steps(0)[0].startable()]


class _Scenario:
    """Workers, a placer, pending advice requests, and a settable clock."""

    def __init__(self, writer: JournalWriter) -> None:
        self.elapsed: Seconds = 0
        self.state = ShardState(
            writer,
            self.clock,
            time.time,
            InstanceMetrics(),
        )
        self.runs = RunTracker(self.state, self._note_fence, 0)
        self.dispatcher = AdviceDispatcher(self._call_advice, self.clock)
        self.placer = Placer(self.state, self.runs, self.dispatcher)
        self.requested: list[list[WorkerId]] = []
        self.answers: list[asyncio.Future[Advice | None]] = []

    def clock(self) -> Seconds:
        return time.monotonic() + self.elapsed

    def _note_fence(self) -> None:
        self.fenced = True

    async def _call_advice(
        self,
        lane: InstanceId,
        step_key: str,
        workers: list[WorkerId],
        timeout: Seconds,
    ) -> Advice | None:
        self.requested.append(workers)
        self.answers.append(asyncio.get_running_loop().create_future())
        return await self.answers[-1]

    async def add_worker(self, name: str, calls: FakeWorker) -> TrackedWorker:
        session = WorkerSession(
            make_entry(name),
            calls,
            self.state.writer.owner.epoch,
            RunLease(6, 0),
            self.runs,
            self.clock,
            lambda: True,
        )
        tracked = TrackedWorker(session, self.state.ledger)
        self.state.tracked_by_worker[session.worker] = tracked
        await session._poll()
        return tracked

    async def add(
        self,
        name: str,
        spec: StepSpec,
        *,
        priority: int = 1,
        advice: AdviceCost | None = None,
        tenant: Tenant = ANONYMOUS_TENANT,
        checked: bool = True,
    ) -> Job:
        record = make_job(spec).record
        queue = msgspec.structs.replace(
            record.queue,
            priority=priority,
            advice=advice,
        )
        record = msgspec.structs.replace(
            record,
            queue=queue,
            accepted_at=time.time(),
            tenant=tenant,
        )
        job = Job(JobId(name * 16), record)
        self.state.job_by_id[job.job_id] = job
        if advice is not None and checked:
            # Their tickets have expired.
            tracked_workers = list(self.state.tracked_by_worker)
            permits = job.steps(0)[0].permits
            permits.record_advice(
                tracked_workers, dict.fromkeys(tracked_workers, 'old'), 0
            )
        await self.run_pass(job)
        return job

    async def run_pass(self, job: Job) -> None:
        self.state.mark_changed(job)
        self.state.pass_requested.set()
        await asyncio.sleep(_SOON)


class PlacerWaitBoundsTest(AsyncTestCase):
    def run_scenario(
        self, scenario: Callable[[_Scenario], Awaitable[None]]
    ) -> None:
        """Run a scenario with a journal writer and a placer running."""

        async def run() -> None:
            view = JournalView(MemoryStore(), Topic('journal'))
            writer = await take_over(view, _ME, time.monotonic, Epoch(0))
            setting = _Scenario(writer)
            tasks = [
                asyncio.create_task(work)
                for work in (writer.run(), setting.placer.run())
            ]
            try:
                await scenario(setting)
            finally:
                setting.placer.close()
                setting.runs.close()
                for task in tasks:
                    task.cancel()

        self.run_async(run())

    def test_a_rejected_start_does_not_restart_the_wait(self) -> None:
        """Guards against waits measured from the last rejected start.

        Workers that reject starts in turn would keep a task from ever becoming
        overdue.
        """

        async def scenario(shard: _Scenario) -> None:
            rejecting = FakeWorker()
            rejecting.start_result = OrderResult.UNHEALTHY
            tracked = await shard.add_worker('w-1', rejecting)
            tracked.quarantine(shard.clock(), 100)
            job = await shard.add('a', StepSpec(1, Size(1000, 1)))
            since = job.steps(0)[0].waiting_since()
            tracked.quarantined_until = 0
            await shard.run_pass(job)
            self.assertEqual(1, len(rejecting.starts))
            self.assertEqual(since, job.steps(0)[0].waiting_since())

        self.run_scenario(scenario)

    def wait_beside_quarantine(self, tasks: int) -> list[int]:
        """Return which tasks of a tenant with a limit of two still wait.

        There is free capacity on a quarantined worker, and the tasks have
        waited for long.
        """
        waiting: list[int] = []

        async def scenario(shard: _Scenario) -> None:
            tracked = await shard.add_worker('w-1', FakeWorker())
            tracked.quarantine(shard.clock(), 100)
            tenant = Tenant(TenantId('stores'), 1, Size(8000, 0))
            spec = StepSpec(tasks, Size(4000, 1))
            job = await shard.add('a', spec, tenant=tenant)
            shard.elapsed = _LONG_WAIT
            await shard.run_pass(job)
            waiting.extend(_waiting_tasks(job))

        self.run_scenario(scenario)
        return waiting

    def test_overdue_tasks_within_the_limit_use_quarantined_workers(
        self,
    ) -> None:
        self.assertEqual([], self.wait_beside_quarantine(2))

    def test_overdue_tasks_start_up_to_the_limit(
        self,
    ) -> None:
        """Guards against a step above the limit that is never overdue."""
        self.assertEqual([2], self.wait_beside_quarantine(3))

    def test_a_limit_lets_the_longest_waiting_task_start(self) -> None:
        """Guards against a failing task that always starts first."""

        async def scenario(shard: _Scenario) -> None:
            tracked = await shard.add_worker('w-1', FakeWorker())
            tracked.quarantine(shard.clock(), 100)
            tenant = Tenant(TenantId('stores'), 1, Size(4000, 0))
            spec = StepSpec(3, Size(4000, 1))
            job = await shard.add('a', spec, tenant=tenant)
            shard.elapsed = _LONG_WAIT
            job.steps(0)[0].tasks[0].waiting_since = shard.clock()
            tracked.quarantined_until = 0
            await shard.run_pass(job)
            self.assertEqual([0, 2], _waiting_tasks(job))

        self.run_scenario(scenario)

    def test_a_tenants_work_does_not_wait_forever_behind_its_gang(
        self,
    ) -> None:
        """Guards against a gang that never fits beside urgent work.

        Seven of the ten cores of the tenant's limit are free, and its gang
        needs eight.
        """

        async def scenario(shard: _Scenario) -> None:
            await shard.add_worker('w-1', FakeWorker())
            tenant = Tenant(TenantId('stores'), 1, Size(10_000, 0))
            urgent = StepSpec(1, Size(3000, 1))
            await shard.add('a', urgent, priority=0, tenant=tenant)
            gang = StepSpec(2, Size(4000, 1), gang=True)
            await shard.add('b', gang, tenant=tenant)
            small = StepSpec(1, Size(1000, 1))
            job = await shard.add('c', small, tenant=tenant)
            shard.elapsed = 6 * _LONG_WAIT
            await shard.run_pass(job)
            self.assertEqual([], _waiting_tasks(job))

        self.run_scenario(scenario)

    def test_idle_closed_workers_are_not_in_use(self) -> None:
        """Guards against an owner that knows of open workers only.

        The open worker is in use, and two idle ones are draining.
        """

        async def scenario(shard: _Scenario) -> None:
            first = await shard.add_worker('w-1', FakeWorker())
            await shard.add('a', StepSpec(1, first.entry.capacity))
            closed = await shard.add_worker('w-2', FakeWorker())
            second = await shard.add_worker('w-3', FakeWorker())
            for tracked in (closed, second):
                tracked.entry = msgspec.structs.replace(
                    tracked.entry, state=WorkerState.DRAINING
                )
            job = await shard.add('b', StepSpec(1, Size(1000, 1)))
            self.assertEqual([0], _waiting_tasks(job))
            passes: list[PlacementPass] = []
            process = shard.placer._process_step

            def note_pass(
                rank: Rank, waiting: WaitingStep, this_pass: PlacementPass
            ) -> None:
                passes.append(this_pass)
                process(rank, waiting, this_pass)

            self.patch(shard.placer, '_process_step', note_pass)
            shard.elapsed = _LONG_WAIT
            await shard.run_pass(job)
            self.assertTrue(passes[-1].workers.overdue(job.steps(0)[0]))
            second.listed = False
            await shard.run_pass(job)
            self.assertFalse(passes[-1].workers.overdue(job.steps(0)[0]))

        self.run_scenario(scenario)

    def test_renewals_do_not_block_requests_of_overdue_steps(self) -> None:
        """Guards against a queue that renewals fill without a bound."""

        async def scenario(shard: _Scenario) -> None:
            await shard.add_worker('w-1', FakeWorker())
            shard.dispatcher.set_advice_lanes([InstanceId('lane')])
            spec = StepSpec(1, Size(1000, 1))
            for name in '0123456':
                await shard.add(name, spec, advice=_LONG_COST)
            job = await shard.add('a', spec, advice=_LONG_COST, checked=False)
            step = job.steps(0)[0]
            shard.elapsed = _LONG_WAIT
            await shard.run_pass(job)
            self.assertLess(0, step.permits.calls_in_flight)

        self.run_scenario(scenario)

    def find_renewed(self, names: int, unlisted: int = 0) -> list[WorkerId]:
        """Return the workers that an urgent step's renewal names.

        One task of the step has free capacity.
        """
        requested: list[WorkerId] = []

        async def scenario(shard: _Scenario) -> None:
            tracked_workers = [
                await shard.add_worker(f'w-{number:02d}', FakeWorker())
                for number in range(names)
            ]
            for tracked in tracked_workers[1:]:
                tracked.hold('other', tracked.free)
            for tracked in tracked_workers[1 : 1 + unlisted]:
                tracked.listed = False
            shard.dispatcher.set_advice_lanes([InstanceId('lane')])
            spec = StepSpec(names, Size(60_000, 1))
            await shard.add('a', spec, priority=0, advice=_SHORT_COST)
            requested.extend(shard.requested[0])

        self.run_scenario(scenario)
        return requested

    def test_a_renewal_of_an_urgent_step_stays_a_short_call(self) -> None:
        """Guards against urgent renewals queued behind long calls.

        One worker has free capacity; the others are checked only in case they
        have some when the answer arrives.
        """
        requested = self.find_renewed(60)
        duration = _SHORT_COST.duration(len(requested))
        self.assertLess(duration, _SHORT_CALL, f'{len(requested)} workers')

    def test_a_renewal_does_not_name_workers_that_have_left(
        self,
    ) -> None:
        self.assertEqual(1, len(self.find_renewed(20, unlisted=19)))

    def test_a_hold_on_a_newly_quarantined_worker_is_not_used(
        self,
    ) -> None:
        """Guards against attempts wasted on a quarantined worker.

        Another worker that accepts work has free capacity, and its ticket is
        valid.
        """

        async def scenario(shard: _Scenario) -> None:
            first = await shard.add_worker('w-1', FakeWorker())
            second = await shard.add_worker('w-2', FakeWorker())
            second.hold('other', second.free)
            shard.dispatcher.set_advice_lanes([InstanceId('lane')])
            spec = StepSpec(1, Size(1000, 1))
            job = await shard.add('a', spec, advice=_LONG_COST)
            step = job.steps(0)[0]
            until = shard.clock() + _LONG_WAIT
            step.permits.record_advice(
                [second.worker],
                {second.worker: 'new'},
                until,
            )
            second.release_hold('other')
            first.quarantine(shard.clock(), _LONG_WAIT)
            tickets = dict.fromkeys(shard.requested[0], 'new')
            shard.answers[0].set_result(Advice(tickets, 1.5))
            await asyncio.sleep(_SOON)
            self.assertEqual(second.worker, step.tasks[0].worker)

        self.run_scenario(scenario)
