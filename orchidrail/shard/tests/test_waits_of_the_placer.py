"""Scenes of a placer in which a wait has no bound, or begins anew."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import msgspec

from orchidrail.journal import JournalView, JournalWriter
from orchidrail.journal.writer import take_over
from orchidrail.metrics import InstanceMetrics
from orchidrail.shard.advice_dispatcher import AdviceDispatcher
from orchidrail.shard.placer import Placer
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
from orchidrail.workers.port import Advice, OrderResult
from orchidrail.workers.run_lease import RunLease
from orchidrail.workers.session import WorkerSession
from orchidrail.workers.tests.fakes import FakeWorker, make_entry

_ME = MemberInfo(InstanceId('me'), Address('me:1'), 'zone', 'me-1')
_LONG_COST = AdviceCost(0.5, 0.007, 1.5)
_QUICK_COST = AdviceCost(0.06, 0.002, 1.5)
_SOON = 0.1
#: Calls for advice above this length keep out of the quick lanes, in seconds.
_QUICK: Seconds = 0.15
#: By then all that could run must have been at work, in seconds.
_LONG_WAIT: Seconds = 10


def _waiting_tasks(job: Job) -> list[int]:
    return [task.index for task in job.steps(0)[0].startable()]


class _Scene:
    """Some workers, a placer, questions that wait, and a clock to be set."""

    def __init__(self, writer: JournalWriter) -> None:
        self.passed: Seconds = 0
        self.state = ShardState(
            writer,
            self.clock,
            time.time,
            InstanceMetrics(),
        )
        self.runs = RunTracker(self.state, self._note_fence, 0)
        self.dispatcher = AdviceDispatcher(self._ask, self.clock)
        self.placer = Placer(self.state, self.runs, self.dispatcher)
        self.asked: list[list[WorkerId]] = []
        self.answers: list[asyncio.Future[Advice | None]] = []

    def clock(self) -> Seconds:
        return time.monotonic() + self.passed

    def _note_fence(self) -> None:
        self.fenced = True

    async def _ask(
        self,
        lane: InstanceId,
        step_key: str,
        workers: list[WorkerId],
        timeout: Seconds,
    ) -> Advice | None:
        self.asked.append(workers)
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
        known: bool = True,
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
        if advice is not None and known:
            # Their tickets have run out.
            every = list(self.state.tracked_by_worker)
            permits = job.steps(0)[0].permits
            permits.record_advice(every, dict.fromkeys(every, 'old'), 0)
        await self.poll(job)
        return job

    async def poll(self, job: Job) -> None:
        self.state.mark_changed(job)
        self.state.pass_requested.set()
        await asyncio.sleep(_SOON)


class WaitsOfPlacerTest(AsyncTestCase):
    def run_scenario(
        self, scenario: Callable[[_Scene], Awaitable[None]]
    ) -> None:
        """Run a scene beside the journal's writer and the placer."""

        async def run() -> None:
            view = JournalView(MemoryStore(), Topic('journal'))
            writer = await take_over(view, _ME, time.monotonic, Epoch(0))
            setting = _Scene(writer)
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

    def test_a_refused_start_does_not_begin_the_wait_anew(self) -> None:
        """Guards against waits that count from the last refusal only.

        Workers that refuse by turns keep a task from ever being overdue.
        """

        async def scenario(shard: _Scene) -> None:
            refuses = FakeWorker()
            refuses.start_result = OrderResult.UNHEALTHY
            tracked = await shard.add_worker('w-1', refuses)
            tracked.quarantine(shard.clock(), 100)
            job = await shard.add('a', StepSpec(1, Size(1000, 1)))
            since = job.steps(0)[0].waiting_since()
            tracked.quarantined_until = 0
            await shard.poll(job)
            self.assertEqual(1, len(refuses.starts))
            self.assertEqual(since, job.steps(0)[0].waiting_since())

        self.run_scenario(scenario)

    def play_rest(self, tasks: int) -> list[int]:
        """Return which tasks of a tenant that may run two still wait.

        There is room on a worker that rests, and they have waited for long.
        """
        waiting: list[int] = []

        async def scenario(shard: _Scene) -> None:
            tracked = await shard.add_worker('w-1', FakeWorker())
            tracked.quarantine(shard.clock(), 100)
            tenant = Tenant(TenantId('stores'), 1, Size(8000, 0))
            spec = StepSpec(tasks, Size(4000, 1))
            job = await shard.add('a', spec, tenant=tenant)
            shard.passed = _LONG_WAIT
            await shard.poll(job)
            waiting.extend(_waiting_tasks(job))

        self.run_scenario(scenario)
        return waiting

    def test_tasks_within_their_tenants_limit_do_not_wait_for_rests(
        self,
    ) -> None:
        self.assertEqual([], self.play_rest(2))

    def test_tasks_within_the_limit_do_not_wait_since_others_are_not(
        self,
    ) -> None:
        """Guards against a step wider than the limit that is never overdue."""
        self.assertEqual([2], self.play_rest(3))

    def test_a_limit_lets_tasks_start_in_turn(self) -> None:
        """Guards against one task that fails and takes each turn."""

        async def scenario(shard: _Scene) -> None:
            tracked = await shard.add_worker('w-1', FakeWorker())
            tracked.quarantine(shard.clock(), 100)
            tenant = Tenant(TenantId('stores'), 1, Size(4000, 0))
            spec = StepSpec(3, Size(4000, 1))
            job = await shard.add('a', spec, tenant=tenant)
            shard.passed = _LONG_WAIT
            job.steps(0)[0].tasks[0].waiting_since = shard.clock()
            tracked.quarantined_until = 0
            await shard.poll(job)
            self.assertEqual([0, 2], _waiting_tasks(job))

        self.run_scenario(scenario)

    def test_a_tenants_work_does_not_wait_for_good_behind_its_gang(
        self,
    ) -> None:
        """Guards against a gang for which urgent work leaves no room.

        Seven of ten cores of the tenant's limit stay free, its gang needs
        eight.
        """

        async def scenario(shard: _Scene) -> None:
            await shard.add_worker('w-1', FakeWorker())
            tenant = Tenant(TenantId('stores'), 1, Size(10_000, 0))
            urgent = StepSpec(1, Size(3000, 1))
            await shard.add('a', urgent, priority=0, tenant=tenant)
            gang = StepSpec(2, Size(4000, 1), gang=True)
            await shard.add('b', gang, tenant=tenant)
            small = StepSpec(1, Size(1000, 1))
            job = await shard.add('c', small, tenant=tenant)
            shard.passed = 6 * _LONG_WAIT
            await shard.poll(job)
            self.assertEqual([], _waiting_tasks(job))

        self.run_scenario(scenario)

    def test_renewals_do_not_keep_what_is_overdue_from_asking(self) -> None:
        """Guards against a line to which renewals come without limit."""

        async def scenario(shard: _Scene) -> None:
            await shard.add_worker('w-1', FakeWorker())
            shard.dispatcher.set_advice_lanes([InstanceId('lane')])
            spec = StepSpec(1, Size(1000, 1))
            for name in '0123456':
                await shard.add(name, spec, advice=_LONG_COST)
            job = await shard.add('a', spec, advice=_LONG_COST, known=False)
            step = job.steps(0)[0]
            shard.passed = _LONG_WAIT
            await shard.poll(job)
            self.assertLess(0, step.permits.calls_in_flight)

        self.run_scenario(scenario)

    def renewed(self, names: int, closed: int = 0) -> list[WorkerId]:
        """Return whom an urgent step asks about, one task of which has room."""
        asked: list[WorkerId] = []

        async def scenario(shard: _Scene) -> None:
            every = [
                await shard.add_worker(f'w-{number:02d}', FakeWorker())
                for number in range(names)
            ]
            for tracked in every[1:]:
                tracked.hold('other', tracked.free)
            for tracked in every[1 : 1 + closed]:
                tracked.listed = False
            shard.dispatcher.set_advice_lanes([InstanceId('lane')])
            spec = StepSpec(names, Size(60_000, 1))
            await shard.add('a', spec, priority=0, advice=_QUICK_COST)
            asked.extend(shard.asked[0])

        self.run_scenario(scenario)
        return asked

    def test_a_quick_question_does_not_become_a_long_one(self) -> None:
        """Guards against urgent tasks with room behind all long questions.

        One worker has room; the others are asked about only in case that
        they will have some, by the time of the answer.
        """
        asked = self.renewed(60)
        duration = _QUICK_COST.duration(len(asked))
        self.assertLess(duration, _QUICK, f'{len(asked)} workers')

    def test_a_renewal_does_not_ask_about_workers_that_have_left(
        self,
    ) -> None:
        self.assertEqual(1, len(self.renewed(20, closed=19)))

    def test_room_on_a_worker_that_is_blamed_meanwhile_is_not_used(
        self,
    ) -> None:
        """Guards against attempts used up on a worker that has come to rest.

        Another one that is open has room, and its ticket holds.
        """

        async def scenario(shard: _Scene) -> None:
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
            tickets = dict.fromkeys(shard.asked[0], 'new')
            shard.answers[0].set_result(Advice(tickets, 1.5))
            await asyncio.sleep(_SOON)
            self.assertEqual(second.worker, step.tasks[0].worker)

        self.run_scenario(scenario)
