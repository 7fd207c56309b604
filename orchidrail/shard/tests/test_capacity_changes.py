"""Tests of workers whose capacity changes while tasks run."""

from __future__ import annotations

import asyncio

import msgspec

from orchidrail.shard.tests.test_runs import Shard, ShardTestCase
from orchidrail.shard.tests.test_worker_selection import make_tracked_worker
from orchidrail.shard.tracked_worker import TrackedWorker
from orchidrail.store.memory import MemoryStore, StoreFault
from orchidrail.work.model import StepSpec
from orchidrail.work.records import TaskPhase
from orchidrail.work.size import Size
from orchidrail.work.tests.test_job import make_job

_SOON = 0.12


def _resize(tracked: TrackedWorker, cores: int) -> None:
    entry = msgspec.structs.replace(
        tracked.entry,
        capacity=Size(cores * 1000, 100_000),
    )
    tracked.apply_entry(entry)


class CapacityChangesTest(ShardTestCase):
    def test_free_capacity_follows_the_worker_entry(self) -> None:
        tracked = make_tracked_worker('a', cores=8)
        _resize(tracked, 4)
        self.assertEqual(4000, tracked.free.millicores)
        _resize(tracked, 8)
        self.assertEqual(8000, tracked.free.millicores)

    def test_an_overcommitted_worker_accepts_no_tasks(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = shard.add(make_job(StepSpec(3, size=Size(2000))))
            shard.launch(step)
            _resize(shard.tracked, 5)
            self.assertTrue(shard.tracked.overcommitted)
            self.assertEqual(0, shard.tracked.slots_for('other', Size(1), 0))
            shard.tracked.release(next(iter(shard.tracked.run_by_key)))
            self.assertEqual(1000, shard.tracked.free.millicores)

        self.run_scenario(scenario)

    def test_a_hold_counts_against_the_reduced_capacity(self) -> None:
        tracked = make_tracked_worker('a', cores=8)
        tracked.hold('step', Size(6000))
        _resize(tracked, 4)
        self.assertEqual(0, tracked.slots_for('other', Size(1000), 0))
        tracked.release_hold('step')
        self.assertEqual(4, tracked.slots_for('other', Size(1000), 0))

    def test_a_start_not_sent_yet_is_withdrawn(self) -> None:
        """The capacity shrinks before the journal confirms the placement."""

        async def scenario(shard: Shard) -> None:
            store = shard.store
            assert isinstance(store, MemoryStore)
            store.fault = StoreFault.REFUSES
            step = shard.add(make_job(StepSpec(3, size=Size(2000))))
            shard.launch(step)
            _resize(shard.tracked, 4)
            store.fault = None
            await asyncio.sleep(_SOON * 6)
            self.assertEqual(2, len(shard.worker.starts))
            phases = [task.phase for task in step.tasks]
            self.assertEqual(1, phases.count(TaskPhase.WAITING))

        self.run_scenario(scenario)
