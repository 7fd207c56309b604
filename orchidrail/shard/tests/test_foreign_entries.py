"""Tests of worker entries that are invalid or written by somebody else."""

from __future__ import annotations

import asyncio

import msgspec

from orchidrail.journal import JournalView
from orchidrail.journal.writer import take_over
from orchidrail.shard.owner import ShardOwner
from orchidrail.shard.tests.fleet_case import (
    INVALID_ENTRY,
    JOB,
    ME,
    READ_WAIT,
    WORKERS,
    FleetTestCase,
    decode,
)
from orchidrail.shard.tests.test_owner import make_ports
from orchidrail.store import KeyedRecord, Topic
from orchidrail.store.memory import MemoryStore
from orchidrail.types import (
    Address,
    Epoch,
    ServiceName,
    WorkerId,
)
from orchidrail.work.records import encode
from orchidrail.work.size import Size
from orchidrail.workers.port import (
    RunEnding,
    RunKey,
)
from orchidrail.workers.tests.fakes import FakeWorker, make_entry


class ForeignEntryTest(FleetTestCase):
    def test_worker_with_overwritten_entry_keeps_its_runs(self) -> None:
        """It gets no new work until its own entry is back."""

        async def scenario(owner: ShardOwner) -> None:
            task = await self.submit(owner)
            tracked = owner.state.tracked_by_worker[WorkerId('w-1')]
            await self.store.append(
                WORKERS, [KeyedRecord('w-1', INVALID_ENTRY)]
            )
            await asyncio.sleep(READ_WAIT)
            self.assertFalse(tracked.accepts_work(self.clock()))
            worker = owner._ports.worker_calls
            assert isinstance(worker, FakeWorker)
            self.assertIsNotNone(worker.holds[-1].deadline)
            worker.end(RunKey(task.key, task.run), RunEnding.DONE)
            await asyncio.sleep(2 * READ_WAIT)
            self.assertNotIn(JOB, owner.state.job_by_id)
            await self.write_entry(listed=True)
            await asyncio.sleep(READ_WAIT)
            self.assertTrue(tracked.accepts_work(self.clock()))

        self.run_scenario(scenario)

    def test_responding_worker_keeps_capacity_of_own_entry(
        self,
    ) -> None:
        """With the foreign capacity the worker was given more than fits."""

        async def scenario(owner: ShardOwner) -> None:
            own = make_entry()
            foreign = msgspec.structs.replace(
                own,
                address=Address('elsewhere:1'),
                capacity=own.capacity + own.capacity,
            )
            record = KeyedRecord(own.name, encode(foreign))
            await self.store.append(WORKERS, [record])
            await asyncio.sleep(2 * READ_WAIT)
            tracked = owner.state.tracked_by_worker[own.worker]
            self.assertEqual(own.capacity, tracked.entry.capacity)
            self.assertEqual(own.address, tracked.session.entry.address)

        self.run_scenario(scenario)

    def test_next_owner_calls_address_of_own_entry(
        self,
    ) -> None:
        """The previous owner had saved an entry that somebody else wrote."""

        async def scenario(owner: ShardOwner) -> None:
            own = make_entry()
            foreign = msgspec.structs.replace(
                own,
                service=ServiceName('other'),
                address=Address('elsewhere:1'),
                capacity=Size(1000, 1000),
            )
            record = KeyedRecord(own.name, encode(foreign))
            await self.store.append(WORKERS, [record])
            await asyncio.sleep(2 * READ_WAIT)
            next_owner = await self.take_ownership(1)
            running = asyncio.create_task(next_owner.run())
            await self.write_entry(listed=True)
            await asyncio.sleep(2 * READ_WAIT)
            tracked = next_owner.state.tracked_by_worker[own.worker]
            running.cancel()
            self.assertEqual(own.address, tracked.session.entry.address)

        self.run_scenario(scenario)

    def test_rejected_entries_are_counted_once(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            for _ in range(3):
                await self.store.append(
                    WORKERS, [KeyedRecord('x', INVALID_ENTRY)]
                )
                await self.store.append(
                    WORKERS, [KeyedRecord('y', INVALID_ENTRY)]
                )
                await asyncio.sleep(READ_WAIT)
            counted = owner.state.metrics.rejected_entries.labels('unreadable')
            self.assertEqual(2, counted._value.get())
            self.assertEqual(['w-1'], list(owner.state.tracked_by_worker))

        self.run_scenario(scenario)

    def test_worker_of_service_without_queues_is_ignored(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            await self.write_entry(listed=False)
            served: set[ServiceName] = set()
            workers = FakeWorker()
            self.store = MemoryStore()
            await self.write_entry(listed=True)
            view = JournalView(self.store, Topic('journal'))
            writer = await take_over(view, ME, self.clock, Epoch(0))
            ports = make_ports(self.store)._replace(
                decode_entry=decode,
                worker_calls=workers,
                services=lambda: served,
                clock=self.clock,
                wall_clock=self.clock,
            )
            other = ShardOwner(writer, ports)
            running = asyncio.create_task(other.run())
            await asyncio.sleep(READ_WAIT)
            self.assertEqual([], list(other.state.tracked_by_worker))
            self.assertEqual([], workers.holds)
            served.add(make_entry().service)
            later = msgspec.structs.replace(make_entry(), leaves_in=1)
            raw = encode(later)
            await self.store.append(WORKERS, [KeyedRecord('w-1', raw)])
            await asyncio.sleep(READ_WAIT)
            self.assertEqual(['w-1'], list(other.state.tracked_by_worker))
            running.cancel()

        self.run_scenario(scenario)
