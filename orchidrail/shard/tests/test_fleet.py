"""Tests of which workers an owner deals with and gives work to."""

from __future__ import annotations

import asyncio
import time

import msgspec

from orchidrail.shard.owner import ShardOwner
from orchidrail.shard.tests.fleet_case import (
    JOB,
    READ_WAIT,
    WORKERS,
    FleetTestCase,
)
from orchidrail.shard.tracked_worker import TrackedWorker
from orchidrail.store import KeyedRecord
from orchidrail.types import (
    Seconds,
    WorkerId,
)
from orchidrail.work.model import JobSpec, StepSpec
from orchidrail.work.records import encode
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import (
    HoldOrder,
    Listing,
    OrderAnswer,
    OrderResult,
    StartOrder,
    WorkerEntry,
    WorkerState,
)
from orchidrail.workers.tests.fakes import FakeWorker, make_entry

_DEAF = WorkerId('w-2')


class _PartlyDeaf(FakeWorker):
    """Answers for all workers but one."""

    async def hold(
        self,
        entry: WorkerEntry,
        order: HoldOrder,
        timeout: Seconds,
    ) -> Listing | OrderAnswer:
        """See `WorkerCalls.hold`."""
        if entry.worker == _DEAF:
            await asyncio.sleep(timeout)
            return OrderAnswer(OrderResult.UNKNOWN)
        return await super().hold(entry, order, timeout)


class _OtherLives(FakeWorker):
    """Some workers have crashed; starts on the others get no answer."""

    def __init__(self, *crashed: str) -> None:
        super().__init__()
        self.crashed = set(crashed)

    async def start(
        self,
        entry: WorkerEntry,
        order: StartOrder,
        timeout: Seconds,
    ) -> OrderAnswer:
        """See `WorkerCalls.start`."""
        return OrderAnswer(OrderResult.UNKNOWN)

    async def hold(
        self,
        entry: WorkerEntry,
        order: HoldOrder,
        timeout: Seconds,
    ) -> Listing | OrderAnswer:
        """See `WorkerCalls.hold`."""
        if entry.worker in self.crashed:
            return OrderAnswer(OrderResult.OTHER_INCARNATION)
        return await super().hold(entry, order, timeout)


class FleetTest(FleetTestCase):
    def test_a_worker_whose_entry_lapsed_may_run_what_nobody_knows(
        self,
    ) -> None:
        async def scenario(owner: ShardOwner) -> None:
            await self.write_entry(listed=False)
            following = await self.take_ownership(1)
            running = asyncio.create_task(following.run())
            await asyncio.sleep(0.05)
            self.assertIn(
                make_entry().worker, following.state.tracked_by_worker
            )
            running.cancel()

        self.run_scenario(scenario)

    def test_a_worker_that_is_silent_holds_up_only_what_it_was_given(
        self,
    ) -> None:
        async def scenario(owner: ShardOwner) -> None:
            owner.runs.close()
            spec = JobSpec('text', (StepSpec(1),))
            submitting = owner.submit(JOB, make_job(StepSpec(1)).queue, spec)
            self.assertTrue(await submitting)
            await self.write_entry(listed=True, name=_DEAF)
            workers = _PartlyDeaf()
            following = await self.take_ownership(1, workers)
            running = asyncio.create_task(following.run())
            await asyncio.sleep(READ_WAIT)
            started = {order.key.task for order in workers.starts}
            self.assertEqual({f'{JOB}.0.0.0'}, started)
            running.cancel()

        self.run_scenario(scenario)

    def test_a_crash_that_an_earlier_owner_did_not_see_counts(self) -> None:
        """Two owners in a row find that the worker of a task has crashed."""

        async def scenario(owner: ShardOwner) -> None:
            spec = JobSpec('text', (StepSpec(1),))
            queue = make_job(StepSpec(1)).queue
            self.assertTrue(await owner.submit(JOB, queue, spec))
            await asyncio.sleep(READ_WAIT)
            crashed = ['w-1']
            for epoch in (1, 2):
                await self.write_entry(listed=True, name=f'w-1{epoch}')
                following = await self.take_ownership(
                    epoch, _OtherLives(*crashed)
                )
                running = asyncio.create_task(following.run())
                await asyncio.sleep(2 * READ_WAIT)
                task = following.state.job_by_id[JOB].find_task(0, 0, 0)
                assert task is not None
                self.assertEqual(epoch, task.crashes)
                crashed.append(task.worker)
                running.cancel()

        self.run_scenario(scenario)

    async def _drain(self, owner: ShardOwner) -> TrackedWorker:
        """Have the worker say that it leaves, and then answer no more."""
        entry = make_entry()
        draining = msgspec.structs.replace(entry, state=WorkerState.DRAINING)
        record = KeyedRecord(entry.worker, encode(draining))
        await self.store.append(WORKERS, [record])
        await asyncio.sleep(READ_WAIT)
        workers = owner._ports.worker_calls
        assert isinstance(workers, FakeWorker)
        workers.hold_result = OrderResult.UNKNOWN
        await asyncio.sleep(READ_WAIT)
        tracked = owner.state.tracked_by_worker[entry.worker]
        self.assertFalse(tracked.session.reachable)
        return tracked

    def test_a_worker_that_said_so_has_left_when_its_entry_goes(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            tracked = await self._drain(owner)
            await self.write_entry(listed=False)
            await asyncio.sleep(READ_WAIT)
            self.assertTrue(tracked.session.terminated)
            self.assertNotIn(tracked.worker, owner.state.tracked_by_worker)

        self.run_scenario(scenario)

    def test_a_worker_whose_entry_lapsed_may_run_on_while_it_drains(
        self,
    ) -> None:
        async def scenario(owner: ShardOwner) -> None:
            tracked = await self._drain(owner)
            written_at = owner._fleet._written_at_by_name
            owner._fleet._gap_ended_at -= 10
            written_at[tracked.worker] -= 3
            await self.write_entry(listed=False)
            await asyncio.sleep(READ_WAIT)
            self.assertFalse(tracked.session.terminated)

        self.run_scenario(scenario)

    def test_entries_that_go_while_the_store_was_away_tell_nothing(
        self,
    ) -> None:
        async def scenario(owner: ShardOwner) -> None:
            tracked = await self._drain(owner)
            owner._fleet._read_at -= 1.5
            await self.write_entry(listed=False)
            await asyncio.sleep(READ_WAIT)
            self.assertFalse(tracked.session.terminated)

        self.run_scenario(scenario)

    def test_a_session_that_fails_goes_on(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            tracked = owner.state.tracked_by_worker[make_entry().worker]
            looks: list[Seconds] = []

            async def fail_once(wait: Seconds) -> None:
                looks.append(wait)
                if len(looks) == 1:
                    raise ValueError('not understood')
                await asyncio.sleep(0.05)

            tracked.session._poll_once = fail_once  # type: ignore[method-assign]
            await asyncio.sleep(1)
            self.assertGreater(len(looks), 2)

        self.run_scenario(scenario)

    def test_workers_are_looked_at_beside_looks_that_may_be_silent(
        self,
    ) -> None:
        """All connections went silent: the look that waits tells nothing."""

        async def scenario(owner: ShardOwner) -> None:
            tracked = owner.state.tracked_by_worker[make_entry().worker]
            looks: list[Seconds] = []

            async def hang(wait: Seconds) -> None:
                looks.append(wait)
                await asyncio.sleep(2 * READ_WAIT)

            tracked.session._poll_once = hang  # type: ignore[method-assign]
            await asyncio.sleep(READ_WAIT / 2)
            self.assertEqual(1, len(looks))
            owner.check_connections_soon()
            await asyncio.sleep(READ_WAIT / 10)
            self.assertEqual(0, looks[-1])
            self.assertEqual(2, len(looks))

        self.run_scenario(scenario)

    def test_a_worker_whose_entry_is_gone_gets_no_new_work(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            owner._fleet._settled_at = 0
            tracked = owner.state.tracked_by_worker[make_entry().worker]
            self.assertTrue(tracked.accepts_work(time.monotonic()))
            await self.write_entry(listed=False)
            await asyncio.sleep(READ_WAIT)
            self.assertFalse(tracked.accepts_work(time.monotonic()))
            await self.write_entry(listed=True)
            await asyncio.sleep(READ_WAIT)
            self.assertTrue(tracked.accepts_work(time.monotonic()))

        self.run_scenario(scenario)

    def test_entries_that_lapsed_with_the_store_are_waited_for(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            # The store was not read for a while, then the entry is missing.
            owner._fleet._read_at -= 5
            await self.write_entry(listed=False)
            await asyncio.sleep(READ_WAIT)
            tracked = owner.state.tracked_by_worker[make_entry().worker]
            self.assertTrue(tracked.accepts_work(time.monotonic()))

        self.run_scenario(scenario)

    def test_the_next_owner_knows_which_worker_leaves(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            leaving = msgspec.structs.replace(
                make_entry(),
                state=WorkerState.DRAINING,
            )
            record = KeyedRecord(leaving.worker, encode(leaving))
            await self.store.append(WORKERS, [record])
            await asyncio.sleep(READ_WAIT)
            # Its entry lapses, and the owner is replaced.
            await self.write_entry(listed=False)
            following = await self.take_ownership(1)
            running = asyncio.create_task(following.run())
            await asyncio.sleep(READ_WAIT)
            tracked = following.state.tracked_by_worker[leaving.worker]
            self.assertTrue(tracked.session.reachable)
            self.assertFalse(tracked.accepts_work(time.monotonic()))
            running.cancel()

        self.run_scenario(scenario)
