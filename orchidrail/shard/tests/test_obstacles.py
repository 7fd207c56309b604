"""Tests of what is told of the workers that a waiting task could have."""

from __future__ import annotations

from testtools import TestCase

from orchidrail.shard.obstacles import Obstacle, count_obstacles
from orchidrail.shard.tests.test_open_workers import advised, fill
from orchidrail.shard.tests.test_placing import make_books, make_step
from orchidrail.types import WorkerId
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size
from orchidrail.work.step import StepState

_NOBODY: frozenset[WorkerId] = frozenset()
_TASK = Size(4000)
_NOW = 1


class ObstaclesTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.books = [make_books(name, cores=8) for name in 'abcd']

    def counts(
        self,
        step: StepState,
        kept: frozenset[WorkerId] = _NOBODY,
    ) -> dict[Obstacle, int]:
        return dict(count_obstacles(step, self.books, kept, _NOW))

    def open_all(self) -> None:
        """Let all workers be met."""
        for books in self.books:
            books.session.reachable = True

    def test_each_worker_is_told_by_what_keeps_it(self) -> None:
        self.open_all()
        step = advised(StepSpec(4, _TASK, most_per_worker=1), 'a', 'b', 'c')
        fill(self.books[0], 6)
        self.books[1].count_by_step[step.key] = 1
        step.failed_workers.note_failure(WorkerId('c'), _NOW)
        expected = {
            Obstacle.ROOM: 1,
            Obstacle.COPIES: 1,
            Obstacle.FAILED: 1,
            Obstacle.NOT_ASKED: 1,
        }
        self.assertEqual(expected, self.counts(step))

    def test_what_holds_for_good_is_told_first(self) -> None:
        self.open_all()
        step = make_step(StepSpec(1, Size(99_000)))
        self.assertEqual({Obstacle.UNSUITED: 4}, self.counts(step))

    def test_a_closed_and_a_kept_worker_are_told(self) -> None:
        self.open_all()
        self.books[2].listed = False
        self.books[0].rest(now=0, seconds=float('inf'))
        step = make_step(StepSpec(1, _TASK))
        found = self.counts(step, frozenset((WorkerId('b'),)))
        expected = {
            Obstacle.RESTS: 1,
            Obstacle.CLOSED: 1,
            Obstacle.KEPT: 1,
            Obstacle.NONE: 1,
        }
        self.assertEqual(expected, found)

    def test_a_ticket_that_ran_out_is_told_last(self) -> None:
        self.open_all()
        step = advised(StepSpec(1, _TASK), 'a', 'b', 'c', 'd')
        step.permits.expire(WorkerId('a'))
        found = count_obstacles(step, self.books, _NOBODY, _NOW)
        self.assertEqual({Obstacle.TICKET: 1, Obstacle.NONE: 3}, dict(found))
