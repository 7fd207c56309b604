"""Tests of reservations for other schedulers."""

from __future__ import annotations

from orchidrail.resources import Resources
from orchidrail.scheduler.tests.small_zone import BATCH, TENANT, SmallZone
from orchidrail.testing import AsyncTestCase
from orchidrail.types import JobId, TaskId
from orchidrail.wire.messages import (
    Message,
    PlaceReserved,
    Refusal,
    ReservePlace,
    StartReserved,
    TaskReport,
    TaskSpec,
)

_TASK = TaskId('j#0#0.1')
_SIZE = Resources(4, 4)
_RESERVE = ReservePlace(
    task=_TASK,
    tenant=TENANT,
    class_name=BATCH,
    size=_SIZE,
    validity=5,
)
_SPEC = TaskSpec(
    key=_TASK,
    tenant=TENANT,
    class_name=BATCH,
    size=_SIZE,
    ttl=60,
    job=JobId('j'),
)


class ReservationBookTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.zone = SmallZone(workers=2)

    async def reserve(self) -> Message:
        return await self.zone.daemon.handle(_RESERVE)

    async def start(self, reserved: PlaceReserved) -> Message:
        message = StartReserved(task=_SPEC, token=reserved.token)
        return await self.zone.daemon.handle(message)

    def test_late_duplicates_start_nothing(self) -> None:
        """The task has ended and is forgotten when duplicates arrive."""

        async def scenario() -> None:
            await self.zone.hold()
            reserved = await self.reserve()
            self.assertIsInstance(await self.start(reserved), TaskReport)
            held = self.zone.held(reserved.worker)
            machine = self.zone.machine_by_name[reserved.worker]
            machine.finish(_TASK)
            await self.zone.daemon.keeper.renew(held)
            machine.forget(_TASK)
            await self.reserve()
            self.assertIsInstance(await self.start(reserved), Refusal)
            starts = [
                entry for entry in machine.journal if entry.event == 'start'
            ]
            self.assertEqual(1, len(starts))

        self.run_async(scenario())

    def test_duplicate_does_not_share_the_allocation_of_the_task(self) -> None:
        async def scenario() -> None:
            await self.zone.hold()
            reserved = await self.reserve()
            await self.start(reserved)
            self.assertIsInstance(await self.reserve(), Refusal)
            ledger = self.zone.held(reserved.worker).place.ledger
            self.assertIn(_TASK, ledger)

        self.run_async(scenario())

    def test_unused_reservation_is_released(self) -> None:
        async def scenario() -> None:
            await self.zone.hold()
            reserved = await self.reserve()
            self.zone.daemon.reservations.drop(reserved.token)
            ledger = self.zone.held(reserved.worker).place.ledger
            self.assertEqual(0, len(ledger))

        self.run_async(scenario())
