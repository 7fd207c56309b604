"""Tests of which runs give way to a large task."""

from __future__ import annotations

import time

import msgspec
from testtools import TestCase

from orchidrail.shard.books import PlacedRun, WorkerBooks
from orchidrail.shard.preemption import choose_preemption
from orchidrail.shard.tests.test_placing import make_books, make_step
from orchidrail.types import RunNumber
from orchidrail.work.job import StepState
from orchidrail.work.model import Size, StepSpec
from orchidrail.workers.port import RunKey

_NOW = 11


def _make_step(spec: StepSpec, priority: int, target: float = 60) -> StepState:
    step = make_step(spec)
    queue = msgspec.structs.replace(
        step.job.queue,
        priority=priority,
        target=target,
    )
    step.job.record = msgspec.structs.replace(
        step.job.record,
        queue=queue,
        accepted_at=time.time(),
    )
    return step


def _place(books: WorkerBooks, step: StepState) -> PlacedRun:
    task = step.tasks[0]
    number = RunNumber(len(books.run_by_key) + 1)
    key = RunKey(task.key, number)
    run = PlacedRun(key, step.spec.charged, task, 10, confirmed_at=10)
    books.charge(run, step.key)
    return run


def _saving(cores: int, estimate: float = 9) -> StepSpec:
    size = Size(cores * 1000)
    return StepSpec(1, size, estimate, keeps_checkpoint=True)


class PreemptionTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.large = _make_step(StepSpec(1, Size(4000)), priority=1)

    def victims(self, *books: WorkerBooks) -> list[PlacedRun]:
        chosen = choose_preemption(self.large, list(books), _NOW, time.time())
        return chosen.victims if chosen else []

    def test_the_worker_with_fewest_to_stop_is_chosen(self) -> None:
        many, few = make_books('many'), make_books('few')
        for books, cores in ((many, 1), (many, 1), (many, 1), (few, 3)):
            _place(books, _make_step(_saving(cores), priority=2))
        self.assertEqual(list(few.run_by_key.values()), self.victims(many, few))

    def test_nothing_is_stopped_for_room_that_comes_soon(self) -> None:
        books = make_books('a')
        _place(books, _make_step(_saving(2, estimate=1.5), priority=2))
        self.assertEqual([], self.victims(books))

    def test_only_saved_later_work_that_has_time_gives_way(self) -> None:
        unsaved = StepSpec(1, Size(2000), 9)
        kept = (
            _make_step(unsaved, priority=2),
            _make_step(_saving(2), priority=1),
            _make_step(_saving(2), priority=2, target=0),
        )
        for step in kept:
            books = make_books('a')
            _place(books, step)
            self.assertEqual([], self.victims(books))

    def test_no_more_is_stopped_than_is_needed(self) -> None:
        books = make_books('a', cores=8)
        runs = [
            _place(books, _make_step(_saving(3, estimate), priority=2))
            for estimate in (5, 9)
        ]
        self.assertEqual(runs[1:], self.victims(books))
