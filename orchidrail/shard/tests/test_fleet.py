"""Tests of which workers an owner has sessions with and gives work to."""

from __future__ import annotations

import asyncio
from unittest import mock

import msgspec
from structlog.testing import capture_logs

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
    Address,
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

_UNRESPONSIVE = WorkerId('w-2')
#: Time without a write after which an entry expires: three heartbeats.
_ENTRY_EXPIRY: Seconds = 4.5


class _PartlyUnresponsive(FakeWorker):
    """Responds for all workers but one."""

    async def hold(
        self,
        entry: WorkerEntry,
        order: HoldOrder,
        timeout: Seconds,
    ) -> Listing | OrderAnswer:
        """See `WorkerCalls.hold`."""
        if entry.worker == _UNRESPONSIVE:
            await asyncio.sleep(timeout)
            return OrderAnswer(OrderResult.UNKNOWN)
        return await super().hold(entry, order, timeout)


class _OtherIncarnations(FakeWorker):
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
    def test_next_owner_tracks_worker_with_expired_entry(
        self,
    ) -> None:
        async def scenario(owner: ShardOwner) -> None:
            await self.write_entry(listed=False)
            next_owner = await self.take_ownership(1)
            running = asyncio.create_task(next_owner.run())
            await asyncio.sleep(0.05)
            self.assertIn(
                make_entry().worker, next_owner.state.tracked_by_worker
            )
            running.cancel()

        self.run_scenario(scenario)

    def test_unresponsive_worker_delays_only_its_own_runs(
        self,
    ) -> None:
        async def scenario(owner: ShardOwner) -> None:
            owner.runs.close()
            spec = JobSpec('text', (StepSpec(1),))
            submitting = owner.submit(JOB, make_job(StepSpec(1)).queue, spec)
            self.assertTrue(await submitting)
            await self.write_entry(listed=True, name=_UNRESPONSIVE)
            workers = _PartlyUnresponsive()
            next_owner = await self.take_ownership(1, workers)
            running = asyncio.create_task(next_owner.run())
            await asyncio.sleep(READ_WAIT)
            started = {order.key.task for order in workers.starts}
            self.assertEqual({f'{JOB}.0.0.0'}, started)
            running.cancel()

        self.run_scenario(scenario)

    def test_crash_unseen_by_previous_owner_counts(self) -> None:
        """Two owners in a row find that the worker of a task has crashed."""

        async def scenario(owner: ShardOwner) -> None:
            spec = JobSpec('text', (StepSpec(1),))
            queue = make_job(StepSpec(1)).queue
            self.assertTrue(await owner.submit(JOB, queue, spec))
            await asyncio.sleep(READ_WAIT)
            crashed = ['w-1']
            for epoch in (1, 2):
                await self.write_entry(listed=True, name=f'w-1{epoch}')
                next_owner = await self.take_ownership(
                    epoch, _OtherIncarnations(*crashed)
                )
                running = asyncio.create_task(next_owner.run())
                await asyncio.sleep(2 * READ_WAIT)
                task = next_owner.state.job_by_id[JOB].find_task(0, 0, 0)
                assert task is not None
                self.assertEqual(epoch, task.crashes)
                crashed.append(task.worker)
                running.cancel()

        self.run_scenario(scenario)

    async def _write_drain(self, sequence: int = 1) -> None:
        """Write the entry of the draining worker; each write differs."""
        entry = msgspec.structs.replace(
            make_entry(), state=WorkerState.DRAINING, leaves_in=sequence
        )
        record = KeyedRecord(entry.worker, encode(entry))
        await self.store.append(WORKERS, [record])

    async def _fail_read(self, wait: Seconds = 0) -> bool:
        return False

    async def _take_over_unresponsive(
        self,
    ) -> tuple[TrackedWorker, asyncio.Task[None]]:
        """Let the next owner, to which the worker doesn't respond, take over.

        Returns
        -------
        The worker as that owner tracks it, and the owner's task.
        """
        workers = FakeWorker()
        workers.hold_result = OrderResult.UNKNOWN
        next_owner = await self.take_ownership(1, workers)
        running = asyncio.create_task(next_owner.run())
        await asyncio.sleep(READ_WAIT)
        worker = make_entry().worker
        return next_owner.state.tracked_by_worker[worker], running

    async def _drain(self, owner: ShardOwner) -> TrackedWorker:
        """Make the worker announce that it leaves, then stop responding."""
        entry = make_entry()
        await self._write_drain()
        await asyncio.sleep(READ_WAIT)
        workers = owner._ports.worker_calls
        assert isinstance(workers, FakeWorker)
        workers.hold_result = OrderResult.UNKNOWN
        await asyncio.sleep(READ_WAIT)
        tracked = owner.state.tracked_by_worker[entry.worker]
        self.assertFalse(tracked.session.reachable)
        return tracked

    def test_draining_worker_has_left_when_entry_is_removed(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            tracked = await self._drain(owner)
            await self.write_entry(listed=False)
            await asyncio.sleep(READ_WAIT)
            self.assertTrue(tracked.session.terminated)
            self.assertNotIn(tracked.worker, owner.state.tracked_by_worker)

        self.run_scenario(scenario)

    def test_draining_worker_with_expired_entry_may_still_run(
        self,
    ) -> None:
        async def scenario(owner: ShardOwner) -> None:
            tracked = await self._drain(owner)
            await asyncio.sleep(_ENTRY_EXPIRY)
            await self.write_entry(listed=False)
            await asyncio.sleep(READ_WAIT)
            self.assertFalse(tracked.session.terminated)

        self.run_scenario(scenario)

    def test_draining_worker_with_entry_older_than_owner_may_still_run(
        self,
    ) -> None:
        """Else a cut-off worker's task was started twice after a takeover.

        The entry was written before the takeover and expires after it.
        """

        async def scenario(owner: ShardOwner) -> None:
            await self._drain(owner)
            tracked, running = await self._take_over_unresponsive()
            await self.write_entry(listed=False)
            await asyncio.sleep(READ_WAIT)
            running.cancel()
            self.assertIsNotNone(tracked.entry_missing_since)
            self.assertFalse(tracked.session.terminated)

        self.run_scenario(scenario)

    def test_draining_worker_with_entry_written_in_a_gap_may_still_run(
        self,
    ) -> None:
        """The entry changes while the store is unreachable, then expires."""

        async def scenario(owner: ShardOwner) -> None:
            tracked = await self._drain(owner)
            with mock.patch.object(
                owner._fleet._view, 'catch_up', self._fail_read
            ):
                await self._write_drain(sequence=2)
                await asyncio.sleep(_ENTRY_EXPIRY)
            await asyncio.sleep(READ_WAIT)
            await self.write_entry(listed=False)
            await asyncio.sleep(READ_WAIT)
            self.assertIsNotNone(tracked.entry_missing_since)
            self.assertFalse(tracked.session.terminated)

        self.run_scenario(scenario)

    def test_another_writers_entry_does_not_show_a_leave(self) -> None:
        """It makes an entry that is about to expire look newly written."""

        async def scenario(owner: ShardOwner) -> None:
            tracked = await self._drain(owner)
            await asyncio.sleep(_ENTRY_EXPIRY - READ_WAIT)
            foreign = msgspec.structs.replace(
                tracked.entry, address=Address('elsewhere:1')
            )
            record = KeyedRecord(tracked.entry.name, encode(foreign))
            await self.store.append(WORKERS, [record])
            await asyncio.sleep(READ_WAIT)
            await self.write_entry(listed=False)
            await asyncio.sleep(READ_WAIT)
            self.assertIsNotNone(tracked.entry_missing_since)
            self.assertFalse(tracked.session.terminated)

        self.run_scenario(scenario)

    def test_crash_of_worker_without_entry_at_takeover_is_no_leave(
        self,
    ) -> None:
        """Else a task that crashes its workers was not suspected."""

        async def scenario(owner: ShardOwner) -> None:
            await self.submit(owner)
            # The entry expires, as during an outage of the store.
            await self.write_entry(listed=False)
            workers = _OtherIncarnations()
            next_owner = await self.take_ownership(1, workers)
            running = asyncio.create_task(next_owner.run())
            await asyncio.sleep(READ_WAIT)
            workers.crashed.add('w-1')
            with capture_logs() as lines:
                await asyncio.sleep(2 * READ_WAIT)
            running.cancel()
            reasons = [
                line['reason']
                for line in lines
                if line['event'] == 'worker given up'
            ]
            self.assertEqual(['crashed'], reasons)

        self.run_scenario(scenario)

    def test_draining_worker_has_left_if_its_write_was_seen_after_takeover(
        self,
    ) -> None:
        """The next owner then waits for no lease either."""

        async def scenario(owner: ShardOwner) -> None:
            await self._drain(owner)
            tracked, running = await self._take_over_unresponsive()
            await self._write_drain(sequence=2)
            await asyncio.sleep(READ_WAIT)
            await self.write_entry(listed=False)
            await asyncio.sleep(READ_WAIT)
            running.cancel()
            self.assertTrue(tracked.session.terminated)

        self.run_scenario(scenario)

    def test_entry_missing_after_store_outage_is_no_evidence(
        self,
    ) -> None:
        async def scenario(owner: ShardOwner) -> None:
            tracked = await self._drain(owner)
            with mock.patch.object(
                owner._fleet._view, 'catch_up', self._fail_read
            ):
                await asyncio.sleep(1.5)
            await self.write_entry(listed=False)
            await asyncio.sleep(READ_WAIT)
            self.assertIsNotNone(tracked.entry_missing_since)
            self.assertFalse(tracked.session.terminated)

        self.run_scenario(scenario)

    def test_failed_session_is_restarted(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            tracked = owner.state.tracked_by_worker[make_entry().worker]
            waits: list[Seconds] = []

            async def fail_first(wait: Seconds) -> None:
                waits.append(wait)
                if len(waits) == 1:
                    raise ValueError('not understood')
                await asyncio.sleep(0.05)

            tracked.session._poll_once = fail_first  # type: ignore[method-assign]
            await asyncio.sleep(1)
            self.assertGreater(len(waits), 2)

        self.run_scenario(scenario)

    def test_extra_poll_beside_unresponsive_poll(
        self,
    ) -> None:
        """All connections stop responding; the pending poll shows nothing."""

        async def scenario(owner: ShardOwner) -> None:
            tracked = owner.state.tracked_by_worker[make_entry().worker]
            waits: list[Seconds] = []

            async def hang(wait: Seconds) -> None:
                waits.append(wait)
                await asyncio.sleep(2 * READ_WAIT)

            tracked.session._poll_once = hang  # type: ignore[method-assign]
            await asyncio.sleep(READ_WAIT / 2)
            self.assertEqual(1, len(waits))
            owner.check_connections_soon()
            await asyncio.sleep(READ_WAIT / 10)
            self.assertEqual(0, waits[-1])
            self.assertEqual(2, len(waits))

        self.run_scenario(scenario)

    def test_worker_without_entry_gets_no_work(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            owner._fleet._entries_settled_at = 0
            tracked = owner.state.tracked_by_worker[make_entry().worker]
            self.assertTrue(tracked.accepts_work(self.clock()))
            await self.write_entry(listed=False)
            await asyncio.sleep(READ_WAIT)
            self.assertFalse(tracked.accepts_work(self.clock()))
            await self.write_entry(listed=True)
            await asyncio.sleep(READ_WAIT)
            self.assertTrue(tracked.accepts_work(self.clock()))

        self.run_scenario(scenario)

    def test_worker_accepts_work_while_entries_return_after_outage(
        self,
    ) -> None:
        async def scenario(owner: ShardOwner) -> None:
            # The store was unreachable for a while, then the entry is missing.
            owner._fleet._read_at -= 5
            await self.write_entry(listed=False)
            await asyncio.sleep(READ_WAIT)
            tracked = owner.state.tracked_by_worker[make_entry().worker]
            self.assertTrue(tracked.accepts_work(self.clock()))

        self.run_scenario(scenario)

    def test_next_owner_knows_draining_worker(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            leaving = msgspec.structs.replace(
                make_entry(),
                state=WorkerState.DRAINING,
            )
            record = KeyedRecord(leaving.worker, encode(leaving))
            await self.store.append(WORKERS, [record])
            await asyncio.sleep(READ_WAIT)
            # Its entry expires, and the owner is replaced.
            await self.write_entry(listed=False)
            next_owner = await self.take_ownership(1)
            running = asyncio.create_task(next_owner.run())
            await asyncio.sleep(READ_WAIT)
            tracked = next_owner.state.tracked_by_worker[leaving.worker]
            self.assertTrue(tracked.session.reachable)
            self.assertFalse(tracked.accepts_work(self.clock()))
            running.cancel()

        self.run_scenario(scenario)
