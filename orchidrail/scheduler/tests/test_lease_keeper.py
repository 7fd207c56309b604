"""Tests of acquiring, renewing and losing leases."""

from __future__ import annotations

from orchidrail.deciding.engine import WorkItem
from orchidrail.resources import Resources
from orchidrail.scheduler.tests.small_zone import BATCH, TENANT, TTL, SmallZone
from orchidrail.testing import AsyncTestCase
from orchidrail.types import JobId, RefusalCode, TaskId, TaskState, WorkerId
from orchidrail.wire.messages import RenewLease, TaskSpec

_WORKER = WorkerId('w-0')
_SPEC = TaskSpec(
    key=TaskId('j#0#0.1'),
    tenant=TENANT,
    class_name=BATCH,
    size=Resources(4, 4),
    ttl=60,
    job=JobId('j'),
)


class LeaseKeeperTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.zone = SmallZone(workers=1)
        self.keeper = self.zone.daemon.keeper
        self.machine = self.zone.machine_by_name[_WORKER]

    def test_late_renewal_gives_no_authority(self) -> None:
        async def scenario() -> bool:
            await self.zone.hold()
            held = self.zone.held()

            def pass_time() -> None:
                self.zone.clock.now += TTL

            self.zone.transport.after_call = pass_time
            return await self.keeper.renew(held)

        self.assertFalse(self.run_async(scenario()))

    def test_second_holder_waits_for_lease_expiry(self) -> None:
        async def scenario() -> None:
            await self.zone.hold()
            other = self.zone.start_daemon('s-2')
            await self.zone.hold(other)
            self.assertEqual({}, other.keeper.held_by_worker)
            self.zone.clock.now += TTL
            await self.zone.hold(other)
            self.assertIn(_WORKER, other.keeper.held_by_worker)
            self.assertIsNone(self.keeper.authorised(_WORKER))

        self.run_async(scenario())

    def test_a_stale_epoch_is_refused(self) -> None:
        async def scenario() -> object:
            await self.zone.hold()
            stale = self.zone.held().lease
            self.zone.clock.now += TTL
            await self.zone.hold(self.zone.start_daemon('s-2'))
            renewal = RenewLease(
                holder='s-1',
                epoch=stale.epoch,
                sequence=9,
                ttl=TTL,
            )
            return await self.machine.handle(renewal)

        answer = self.run_async(scenario())
        self.assertIs(RefusalCode.STALE_EPOCH, answer.code)

    def test_a_new_holder_adopts_what_runs(self) -> None:
        async def scenario() -> None:
            await self.zone.hold()
            await self.zone.held().start(_SPEC)
            self.zone.clock.now += TTL
            other = self.zone.start_daemon('s-2')
            await self.zone.hold(other)
            ledger = other.keeper.held_by_worker[_WORKER].place.ledger
            self.assertEqual((_SPEC.key,), ledger.tasks)
            self.assertEqual(4, ledger.free.cores)

        self.run_async(scenario())

    def test_missed_end_is_found_by_an_audit(self) -> None:
        async def scenario() -> None:
            await self.zone.hold()
            held = self.zone.held()
            self.zone.daemon.engine.reserve(
                held.place,
                WorkItem(_SPEC.key, TENANT, BATCH, _SPEC.size),
                _SPEC.key,
                now=100,
            )
            await held.start(_SPEC)
            self.machine.finish(_SPEC.key)
            # A duplicate of the next renewal arrives first; its answer is lost.
            await self.machine.handle(
                RenewLease(
                    holder='s-1',
                    epoch=held.lease.epoch,
                    sequence=held.lease.sequence,
                    ttl=TTL,
                ),
            )
            for _ in range(70):
                self.zone.clock.now += 1
                await self.keeper.renew(held)
            self.assertEqual(0, len(held.place.ledger))

        self.run_async(scenario())

    def test_an_orphan_stops_after_its_own_lease(self) -> None:
        async def scenario() -> None:
            await self.zone.hold()
            await self.zone.held().start(_SPEC)
            self.zone.clock.now += _SPEC.ttl + 1
            self.machine.expire()

        self.run_async(scenario())
        self.assertEqual([], self.machine.running)
        self.assertEqual(
            TaskState.STOPPED.value, self.machine.journal[-1].state
        )
