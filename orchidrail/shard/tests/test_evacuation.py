"""Tests that nothing new is started in evacuated zones, and what runs goes on.

A start in a zone after the bound breaks the operator's rule. It came about as
nothing read the operator's records; it would come about again by each path
that starts tasks without asking the zone gate: a placement that waits for its
journal record, an overdue step, a quarantined worker, a gang, a new owner that
has read nothing yet.
"""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from testtools import TestCase

from orchidrail.evacuation import ZoneGate, ZoneSnapshot
from orchidrail.journal import JournalView
from orchidrail.journal.writer import take_over
from orchidrail.shard.admission import AdmissionControl
from orchidrail.shard.candidate_workers import may_place_on
from orchidrail.shard.eligibility import FleetEligibility, IneligibleReason
from orchidrail.shard.owner import ShardOwner
from orchidrail.shard.tests.fleet_case import (
    JOB,
    ME,
    WORKERS,
    FleetTestCase,
    decode,
)
from orchidrail.shard.tests.test_owner import make_ports
from orchidrail.shard.tests.test_runs import Shard, ShardTestCase
from orchidrail.shard.tests.test_worker_selection import (
    make_step,
    make_tracked_worker,
)
from orchidrail.shard.tracked_worker import TrackedWorker
from orchidrail.shard.worker_selection import Placement
from orchidrail.store import KeyedRecord, Topic
from orchidrail.store.memory import MemoryStore, StoreFault
from orchidrail.types import Epoch, Offset, ZoneId
from orchidrail.work.job import Job
from orchidrail.work.model import JobSpec, StepSpec
from orchidrail.work.records import TaskPhase, encode
from orchidrail.work.size import Size
from orchidrail.work.step import StepState
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import WorkerEntry
from orchidrail.workers.tests.fakes import FakeWorker, make_entry

_SOON = 0.12
_BOUND = 5
#: Maximum time without progress of a task that could run, in seconds.
_MAX_STALL = 3
#: The zone of `make_entry`, and another one.
_ZONE, _OTHER_ZONE = 'zone', 'zone-2'


def _evacuate(gate: ZoneGate, *zones: str) -> None:
    """Have exactly these zones evacuated from now on."""
    offset = Offset(gate.snapshot.offset + 1)
    gate.apply(ZoneSnapshot(offset, frozenset(map(ZoneId, zones))))


class _Workers:
    """Implements `WorkerCalls` for several workers."""

    def __init__(self) -> None:
        self._by_name: defaultdict[str, FakeWorker] = defaultdict(FakeWorker)

    def __getattr__(self, call: str) -> Callable[..., Awaitable[Any]]:
        def send(entry: WorkerEntry, *arguments: Any) -> Awaitable[Any]:
            worker = self._by_name[entry.name]
            sent: Awaitable[Any] = getattr(worker, call)(entry, *arguments)
            return sent

        return send


class HeldStartsTest(ShardTestCase):
    """Starts that were placed before the evacuation was known."""

    def check_held(
        self, job: Job, disturb: Callable[[Shard], None], held: int
    ) -> None:
        """Check that none of a job's placed starts is sent.

        Parameters
        ----------
        held : int
            Number of starts counted; of a gang the first one, as it ends the
            run of the others.
        """

        async def scenario(shard: Shard) -> None:
            store = shard.store
            assert isinstance(store, MemoryStore)
            store.fault = StoreFault.REFUSES
            step = shard.add(job)
            shard.launch(step)
            await asyncio.sleep(_SOON)
            disturb(shard)
            store.fault = None
            await asyncio.sleep(_SOON * 6)
            self.assertEqual([], shard.worker.starts)
            phases = {task.phase for task in step.tasks}
            self.assertEqual({TaskPhase.WAITING}, phases)
            self.assertEqual(shard.tracked.entry.capacity, shard.tracked.free)
            self.assertEqual(0, sum(task.failures for task in step.tasks))
            metrics = shard.state.metrics.evacuation
            counted = metrics.held_starts._value.get()
            self.assertEqual(held, counted)

        self.run_scenario(scenario)

    def test_a_start_that_waits_for_the_journal_is_held(self) -> None:
        self.check_held(
            make_job(StepSpec(2)),
            lambda shard: _evacuate(shard.state.zone_gate, _ZONE),
            held=2,
        )

    def test_a_gang_is_held_as_a_whole(self) -> None:
        self.check_held(
            make_job(StepSpec(3, gang=True)),
            lambda shard: _evacuate(shard.state.zone_gate, _ZONE),
            held=1,
        )

    def test_a_start_is_held_while_the_records_are_outdated(self) -> None:
        def disturb(shard: Shard) -> None:
            shard.state.zone_gate = ZoneGate(time.monotonic, _BOUND)

        self.check_held(make_job(StepSpec(1)), disturb, held=1)

    def test_what_runs_in_the_zone_goes_on(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = shard.add(make_job(StepSpec(1)))
            shard.launch(step)
            await asyncio.sleep(_SOON * 3)
            self.assertEqual(1, len(shard.worker.starts))
            _evacuate(shard.state.zone_gate, _ZONE)
            await shard.poll()
            await asyncio.sleep(_SOON)
            self.assertEqual([], shard.worker.stops)
            self.assertIs(TaskPhase.PLACED, step.tasks[0].phase)

        self.run_scenario(scenario)

    def test_a_gang_with_a_member_in_the_zone_starts_nowhere(self) -> None:
        """A member that started alone would end after its others."""

        async def scenario(shard: Shard) -> None:
            other = make_tracked_worker('w-9')
            other.entry = msgspec.structs.replace(other.entry, zone=_OTHER_ZONE)
            shard.state.tracked_by_worker[other.worker] = other
            step = shard.add(make_job(StepSpec(2, gang=True)))
            first, second = step.startable()
            _evacuate(shard.state.zone_gate, _OTHER_ZONE)
            shard.runs.launch(
                step,
                [Placement(first, shard.tracked), Placement(second, other)],
            )
            await asyncio.sleep(_SOON * 3)
            self.assertEqual([], shard.worker.starts)
            phases = {task.phase for task in step.tasks}
            self.assertEqual({TaskPhase.WAITING}, phases)
            self.assertEqual(other.entry.capacity, other.free)

        self.run_scenario(scenario)


class EvacuatedWorkerTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now: float = 100
        self.gate = ZoneGate(lambda: self.now)
        self.tracked = self.make_worker('a')

    def make_worker(self, name: str, warmup_left: float = 0) -> TrackedWorker:
        session = make_tracked_worker(name, cores=8).session
        session.entry = msgspec.structs.replace(
            session.entry, warmup_left=warmup_left
        )
        session.reachable = True
        return TrackedWorker(session, zone_gate=self.gate)

    def test_an_overdue_step_can_not_use_the_worker(self) -> None:
        step = make_step(StepSpec(1))
        step.tasks[0].waiting_since = 0
        self.assertTrue(may_place_on(step, self.tracked, self.now))
        self.tracked.quarantine(self.now, 50)
        self.assertTrue(may_place_on(step, self.tracked, self.now))
        _evacuate(self.gate, _ZONE)
        self.assertFalse(may_place_on(step, self.tracked, self.now))
        self.assertFalse(self.tracked.available)

    def test_the_reason_is_reported(self) -> None:
        _evacuate(self.gate, _ZONE)
        step = make_step(StepSpec(1))
        found = FleetEligibility([self.tracked], frozenset(), 0)
        self.assertEqual(
            {IneligibleReason.EVACUATED: 1},
            dict(found.summarize(step).count_by_reason),
        )

    def test_a_cold_worker_is_filled_gradually_after_the_return(self) -> None:
        cold = self.make_worker('b', warmup_left=6)
        size = Size(1000)
        self.assertEqual(8, cold.slots_for('step', size, 0))
        _evacuate(self.gate, _ZONE)
        _evacuate(self.gate)
        slots = []
        for _ in range(3):
            slots.append(cold.slots_for('step', size, 0))
            self.now += 1
        self.assertEqual([1, 4, 8], slots)

    def test_a_warm_worker_is_used_at_once_after_the_return(self) -> None:
        _evacuate(self.gate, _ZONE)
        _evacuate(self.gate)
        self.assertEqual(8, self.tracked.slots_for('step', Size(1000), 0))


class EvacuatedCellTest(FleetTestCase):
    """Owners with a worker in each of two zones."""

    def setUp(self) -> None:
        super().setUp()
        self.gate = ZoneGate(time.monotonic, _BOUND)
        self.gate.confirm(time.monotonic() + 60)

    async def own(self, epoch: int) -> ShardOwner:
        view = JournalView(self.store, Topic('journal'))
        writer = await take_over(view, ME, time.monotonic, Epoch(epoch))
        ports = make_ports(self.store)._replace(
            decode_entry=decode,
            worker_calls=_Workers(),
            zone_gate=self.gate,
        )
        return ShardOwner(writer, ports)

    def run_cell(
        self, scenario: Callable[[ShardOwner], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            for name, zone in (('w-1', _ZONE), ('w-2', _OTHER_ZONE)):
                entry = msgspec.structs.replace(make_entry(name), zone=zone)
                record = KeyedRecord(entry.worker, encode(entry))
                await self.store.append(WORKERS, [record])
            owner = await self.own(0)
            running = asyncio.create_task(owner.run())
            await asyncio.sleep(_SOON * 5)
            try:
                await scenario(owner)
            finally:
                running.cancel()

        self.run_async(run())

    async def submit_wide(self, owner: ShardOwner) -> StepState:
        """Submit a job whose two tasks need a worker each."""
        spec = JobSpec('text', (StepSpec(2, size=Size(40_000)),))
        queue = make_job(StepSpec(1)).queue
        self.assertTrue(await owner.submit(JOB, queue, spec))
        await asyncio.sleep(_SOON * 3)
        return next(owner.state.job_by_id[JOB].open_steps(time.time()))

    def workers_of(self, step: StepState) -> list[str]:
        """Return the workers of the tasks, empty for one that waits."""
        return sorted(
            task.worker if task.phase is TaskPhase.PLACED else ''
            for task in step.tasks
        )

    def test_work_waits_for_room_until_the_zone_is_taken_back(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            _evacuate(self.gate, _OTHER_ZONE)
            step = await self.submit_wide(owner)
            self.assertEqual(['', 'w-1'], self.workers_of(step))
            await asyncio.sleep(_MAX_STALL)
            self.assertEqual(['', 'w-1'], self.workers_of(step))
            _evacuate(self.gate)
            await asyncio.sleep(_SOON * 3)
            self.assertEqual(['w-1', 'w-2'], self.workers_of(step))

        self.run_cell(scenario)

    def test_nothing_starts_while_all_zones_are_evacuated(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            _evacuate(self.gate, _ZONE, _OTHER_ZONE)
            step = await self.submit_wide(owner)
            self.assertEqual(['', ''], self.workers_of(step))
            _evacuate(self.gate, _OTHER_ZONE)
            await asyncio.sleep(_SOON * 3)
            self.assertEqual(['', 'w-1'], self.workers_of(step))

        self.run_cell(scenario)

    def test_a_new_owner_starts_nothing_before_its_first_read(self) -> None:
        self.gate = ZoneGate(time.monotonic, _BOUND)

        async def scenario(owner: ShardOwner) -> None:
            step = await self.submit_wide(owner)
            self.assertEqual(['', ''], self.workers_of(step))
            _evacuate(self.gate, _ZONE)
            self.gate.confirm(time.monotonic())
            await asyncio.sleep(_SOON * 3)
            self.assertEqual(['', 'w-2'], self.workers_of(step))

        self.run_cell(scenario)

    def test_admission_sees_the_smaller_cell(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            await self.submit_wide(owner)
            admission = AdmissionControl(owner.state)
            queue = owner.state.job_by_id[JOB].queue
            self.assertTrue(admission._has_spare_capacity(queue))
            _evacuate(self.gate, _ZONE, _OTHER_ZONE)
            self.assertFalse(admission._has_spare_capacity(queue))

        self.run_cell(scenario)
