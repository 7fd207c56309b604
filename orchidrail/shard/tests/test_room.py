"""Tests of workers whose room shrinks and grows while they run."""

from __future__ import annotations

import asyncio

import msgspec

from orchidrail.shard.tests.test_runs import Shard, ShardTestCase
from orchidrail.shard.tests.test_worker_selection import make_books
from orchidrail.shard.tracked_worker import WorkerBooks
from orchidrail.store.memory import MemoryStore, StoreFault
from orchidrail.work.model import StepSpec
from orchidrail.work.records import TaskPhase
from orchidrail.work.size import Size
from orchidrail.work.tests.test_job import make_job

_SOON = 0.12


def _resize(books: WorkerBooks, cores: int) -> None:
    entry = msgspec.structs.replace(
        books.entry,
        capacity=Size(cores * 1000, 100_000),
    )
    books.take_entry(entry)


class RoomTest(ShardTestCase):
    def test_free_room_follows_what_the_worker_says(self) -> None:
        books = make_books('a', cores=8)
        _resize(books, 4)
        self.assertEqual(4000, books.free.millicores)
        _resize(books, 8)
        self.assertEqual(8000, books.free.millicores)

    def test_nothing_more_fits_until_enough_has_ended(self) -> None:
        async def scene(shard: Shard) -> None:
            step = shard.add(make_job(StepSpec(3, size=Size(2000))))
            shard.launch(step)
            _resize(shard.books, 5)
            self.assertTrue(shard.books.overfull)
            self.assertEqual(0, shard.books.copies('other', Size(1), 0))
            shard.books.release(next(iter(shard.books.run_by_key)))
            self.assertEqual(1000, shard.books.free.millicores)

        self.play(scene)

    def test_room_kept_for_a_step_counts_in_the_smaller_room(self) -> None:
        books = make_books('a', cores=8)
        books.hold('step', Size(6000))
        _resize(books, 4)
        self.assertEqual(0, books.copies('other', Size(1000), 0))
        books.unhold('step')
        self.assertEqual(4, books.copies('other', Size(1000), 0))

    def test_a_start_that_was_not_sent_yet_is_taken_back(self) -> None:
        """The room shrinks while the journal has not written the placement."""

        async def scene(shard: Shard) -> None:
            store = shard.store
            assert isinstance(store, MemoryStore)
            store.fault = StoreFault.REFUSES
            step = shard.add(make_job(StepSpec(3, size=Size(2000))))
            shard.launch(step)
            _resize(shard.books, 4)
            store.fault = None
            await asyncio.sleep(_SOON * 6)
            self.assertEqual(2, len(shard.worker.starts))
            phases = [task.phase for task in step.tasks]
            self.assertEqual(1, phases.count(TaskPhase.WAITING))

        self.play(scene)
