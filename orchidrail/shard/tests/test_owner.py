"""Tests of the guarantees of a shard owner for jobs."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from result import Err

from orchidrail.journal import JournalView
from orchidrail.journal.writer import take_over
from orchidrail.metrics import InstanceMetrics
from orchidrail.shard.owner import OwnerPorts, ShardOwner
from orchidrail.store import NotAppended, Topic
from orchidrail.store.memory import MemoryStore, StoreFault
from orchidrail.testing import AsyncTestCase
from orchidrail.types import (
    Address,
    Epoch,
    InstanceId,
    JobId,
    RunNumber,
    Seconds,
    WorkerId,
)
from orchidrail.work.job import Job
from orchidrail.work.model import JobSpec, MemberInfo, StepSpec
from orchidrail.work.records import JobPhase
from orchidrail.work.step import Task
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import Advice, RunEnding
from orchidrail.workers.tests.fakes import FakeWorker

_ME = MemberInfo(InstanceId('me'), Address('me:1'), 'zone', 'me-1')
_JOB = JobId('0123456789abcdef')
_QUEUE = make_job(StepSpec(1)).queue
_SPEC = JobSpec('text', (StepSpec(1),))
#: Longer than the part of a submission's time that is left for the reply.
_SLOW_REJECTION: Seconds = 0.5


async def _no_advice(*_: object) -> Advice:
    return Advice({}, 0)


def make_ports(store: MemoryStore) -> OwnerPorts:
    """Return the ports of an owner without workers."""
    return OwnerPorts(
        worker_view=JournalView(store, Topic('workers')),
        worker_calls=FakeWorker(),
        decode_entry=lambda key, raw: Err(f'{key!r} {raw!r}'),
        ask=_no_advice,
        clock=time.monotonic,
        wall_clock=time.time,
        store_unreachable=bool,
        longest_lease=6,
        stop_takes=0,
        status_kept=120,
        metrics=InstanceMetrics(),
    )


class OwnerTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = MemoryStore()

    async def take_ownership(self, epoch: int) -> ShardOwner:
        view = JournalView(self.store, Topic('journal'))
        writer = await take_over(view, _ME, time.monotonic, Epoch(epoch))
        ports = make_ports(self.store)
        return ShardOwner(writer, ports)

    def run_scenario(
        self, scenario: Callable[[ShardOwner], Awaitable[None]]
    ) -> None:
        """Run a scenario beside the owner."""

        async def run() -> None:
            owner = await self.take_ownership(0)
            running = asyncio.create_task(owner.run())
            try:
                await scenario(owner)
            finally:
                running.cancel()

        self.run_async(run())

    async def _submit_placed(self, owner: ShardOwner) -> tuple[Job, Task]:
        """Submit a job and place its task, without a start."""
        self.assertTrue(await owner.submit(_JOB, _QUEUE, _SPEC))
        job = owner.state.job_by_id[_JOB]
        task = job.steps(0)[0].tasks[0]
        job.place(task, RunNumber(1), WorkerId('w-1'))
        return job, task

    async def _count_after_takeover(self, owner: ShardOwner) -> int:
        """Return how many jobs count as waiting under the next owner."""
        self.assertTrue(await owner.writer.flush())
        following = await self.take_ownership(1)
        return following.waiting_by_queue()[_QUEUE.name]

    def test_job_is_scheduled_if_its_caller_disconnects(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            submitting = asyncio.create_task(owner.submit(_JOB, _QUEUE, _SPEC))
            await asyncio.sleep(0)
            submitting.cancel()
            await asyncio.sleep(0.1)
            self.assertEqual(JobPhase.QUEUED, owner.phase(_JOB))
            self.assertIn(_JOB, owner.placer._waiting_by_job)

        self.run_scenario(scenario)

    def test_job_is_considered_for_placement_while_being_written(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            self.store.fault = StoreFault.REFUSES
            submitting = asyncio.create_task(owner.submit(_JOB, _QUEUE, _SPEC))
            await asyncio.sleep(0.1)
            self.assertFalse(submitting.done())
            self.assertIn(_JOB, owner.placer._waiting_by_job)
            self.store.fault = None
            self.assertTrue(await submitting)

        self.run_scenario(scenario)

    def test_job_counts_as_waiting_until_a_start_is_confirmed(self) -> None:
        """A worker that rejects all starts must not hide the jobs that wait."""

        async def scenario(owner: ShardOwner) -> None:
            job, task = await self._submit_placed(owner)
            job.end_run(task, RunNumber(1), RunEnding.LAPSED, '')
            owner.state.save(job)
            self.assertTrue(await owner.writer.flush())
            self.assertEqual(1, owner.waiting_by_queue()[_QUEUE.name])
            following = await self.take_ownership(1)
            self.assertEqual(1, following.waiting_by_queue()[_QUEUE.name])
            job.place(task, RunNumber(2), WorkerId('w-1'))
            job.end_run(task, RunNumber(2), RunEnding.FAILED, '')
            self.assertTrue(job.started)

        self.run_scenario(scenario)

    def test_placed_job_that_has_not_begun_is_pending_after_a_takeover(
        self,
    ) -> None:
        """Its start is recorded, but may never have arrived at its worker."""

        async def scenario(owner: ShardOwner) -> None:
            job, _ = await self._submit_placed(owner)
            owner.state.save(job)
            self.assertEqual(1, await self._count_after_takeover(owner))

        self.run_scenario(scenario)

    def test_crash_before_a_start_arrives_does_not_count_as_begun(self) -> None:
        """Else a job whose workers crash is missing from the pending ones."""

        async def scenario(owner: ShardOwner) -> None:
            job, task = await self._submit_placed(owner)
            self.assertTrue(job.note_crash(task, RunNumber(1), 2))
            job.end_run(task, RunNumber(1), RunEnding.LAPSED, '')
            owner.state.save(job)
            self.assertEqual(1, await self._count_after_takeover(owner))

        self.run_scenario(scenario)

    def test_job_that_has_begun_is_not_pending_after_a_takeover(self) -> None:
        """Its worker was lost, so that its task waits again."""

        async def scenario(owner: ShardOwner) -> None:
            job, task = await self._submit_placed(owner)
            job.note_begun(task)
            job.end_run(task, RunNumber(1), RunEnding.LAPSED, '')
            owner.state.save(job)
            self.assertEqual(0, await self._count_after_takeover(owner))

        self.run_scenario(scenario)

    def test_unsent_job_is_withdrawn(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            self.store.fault = StoreFault.REFUSES
            patient = owner.submit(_JOB, _QUEUE, _SPEC, 3)
            first = asyncio.create_task(patient)
            await asyncio.sleep(0.1)
            other = JobId('f' * 16)
            second = asyncio.create_task(owner.submit(other, _QUEUE, _SPEC))
            self.assertIs(False, await second)
            self.assertNotIn(other, owner.state.job_by_id)
            self.store.fault = None
            self.assertTrue(await first)
            await asyncio.sleep(0.1)
            self.assertIsNone(owner.phase(other))

        self.run_scenario(scenario)

    def test_job_rejected_by_the_store_is_withdrawn(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            self.store.fault = StoreFault.REFUSES
            submitting = owner.submit(_JOB, _QUEUE, _SPEC, 0.4)
            self.assertIs(False, await submitting)
            self.store.fault = None
            await asyncio.sleep(0.3)
            following = await self.take_ownership(1)
            self.assertIsNone(following.phase(_JOB))

        self.run_scenario(scenario)

    def test_job_with_an_unknown_append_outcome_is_not_rejected(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            self.store.fault = StoreFault.SWALLOWS
            submitting = asyncio.create_task(
                owner.submit(_JOB, _QUEUE, _SPEC, 0.3)
            )
            await asyncio.sleep(0.5)
            self.assertFalse(submitting.done())
            self.store.fault = None
            self.assertTrue(await submitting)

        self.run_scenario(scenario)

    def test_job_unknown_to_the_next_owner_is_rejected(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            self.store.fault = StoreFault.REFUSES
            first = asyncio.create_task(owner.submit(_JOB, _QUEUE, _SPEC))
            await asyncio.sleep(0.1)
            # The next owner takes over before the owner retries its append.
            view = owner.writer.view
            async with view.lock:
                self.store.fault = None
                following = await self.take_ownership(1)
            self.assertIs(False, await first)
            self.assertIsNone(following.phase(_JOB))

        self.run_scenario(scenario)

    def test_leases_are_renewed_while_no_takeover_is_possible(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            self.store.fault = StoreFault.REFUSES
            owner.writer.confirmed_at -= 6
            self.assertFalse(owner._may_renew())
            owner._ports = owner._ports._replace(store_unreachable=lambda: True)
            self.assertTrue(owner._may_renew())
            owner.resign()
            self.assertFalse(owner._may_renew())

        self.run_scenario(scenario)

    def test_job_submitted_twice_is_accepted_once(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            outcomes = await asyncio.gather(
                owner.submit(_JOB, _QUEUE, _SPEC),
                owner.submit(_JOB, _QUEUE, _SPEC),
            )
            self.assertEqual([True, True], outcomes)
            self.assertEqual(1, len(owner.state.job_by_id))

        self.run_scenario(scenario)

    def test_job_is_rejected_while_the_journal_does_not_respond(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            self.store.fault = StoreFault.REFUSES
            owner.writer.confirmed_at -= 2
            self.assertIs(False, await owner.submit(_JOB, _QUEUE, _SPEC))
            self.store.fault = None
            await asyncio.sleep(0.6)
            self.assertIsNone(owner.phase(_JOB))

        self.run_scenario(scenario)

    def test_job_is_withdrawn_once_an_append_in_flight_is_rejected(
        self,
    ) -> None:
        """Guards against a wait without bound.

        The caller's time is over while an append is in flight, so that the job
        can't be withdrawn just then. The store rejects each append late.
        """

        async def scenario(owner: ShardOwner) -> None:
            rejected = NotAppended('down')

            async def reject_late(*_: object) -> NotAppended:
                await asyncio.sleep(_SLOW_REJECTION)
                return rejected

            self.patch(self.store, 'append', reject_late)
            submitting = owner.submit(_JOB, _QUEUE, _SPEC, _SLOW_REJECTION)
            self.assertIs(False, await asyncio.wait_for(submitting, 10))
            self.assertIsNone(owner.phase(_JOB))

        self.run_scenario(scenario)

    def test_next_owner_restores_accepted_jobs(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            await owner.submit(_JOB, _QUEUE, _SPEC)
            other = JobId('f' * 16)
            await owner.submit(other, _QUEUE, _SPEC)
            await owner.cancel(other)
            following = await self.take_ownership(1)
            self.assertEqual(JobPhase.QUEUED, following.phase(_JOB))
            self.assertEqual(JobPhase.CANCELLED, following.phase(other))
            self.assertIsNone(following.phase(JobId('0' * 16)))

        self.run_scenario(scenario)

    def test_repeated_cancellation_waits_for_the_journal(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            await owner.submit(_JOB, _QUEUE, _SPEC)
            self.store.fault = StoreFault.REFUSES
            first = asyncio.create_task(owner.cancel(_JOB))
            await asyncio.sleep(0.05)
            again = asyncio.create_task(owner.cancel(_JOB))
            await asyncio.sleep(0.1)
            self.assertFalse(again.done())
            self.store.fault = None
            self.assertEqual(JobPhase.CANCELLED, await first)
            self.assertEqual(JobPhase.CANCELLED, await again)

        self.run_scenario(scenario)

    def test_unwritten_cancellation_is_not_acknowledged(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            await owner.submit(_JOB, _QUEUE, _SPEC)
            self.store.fault = StoreFault.REFUSES
            first = asyncio.create_task(owner.cancel(_JOB))
            await asyncio.sleep(0.05)
            again = asyncio.create_task(owner.cancel(_JOB))
            self.store.fault = None
            following = await self.take_ownership(1)
            self.assertEqual(JobPhase.QUEUED, following.phase(_JOB))
            for outcome in await asyncio.gather(
                first,
                again,
                return_exceptions=True,
            ):
                self.assertIsInstance(outcome, ConnectionAbortedError)

        self.run_scenario(scenario)
