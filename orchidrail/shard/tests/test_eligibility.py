"""Tests of what is told of the workers that a waiting task could have."""

from __future__ import annotations

from testtools import TestCase

from orchidrail.shard.eligibility import (
    EligibilitySummary,
    FleetEligibility,
    IneligibleReason,
)
from orchidrail.shard.tests.test_candidate_workers import advised, fill
from orchidrail.shard.tests.test_worker_selection import make_books, make_step
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
        self.tracked = [make_books(name, cores=8) for name in 'abcd']

    def survey(
        self,
        step: StepState,
        reserved: frozenset[WorkerId] = _NOBODY,
    ) -> EligibilitySummary:
        return FleetEligibility(self.tracked, reserved, _NOW).of(step)

    def counts(
        self,
        step: StepState,
        reserved: frozenset[WorkerId] = _NOBODY,
    ) -> dict[IneligibleReason, int]:
        return dict(self.survey(step, reserved).count_by_reason)

    def open_all(self) -> None:
        """Let all workers be met."""
        for tracked in self.tracked:
            tracked.session.reachable = True

    def test_each_worker_is_told_by_what_keeps_it(self) -> None:
        self.open_all()
        step = advised(StepSpec(4, _TASK, most_per_worker=1), 'a', 'b', 'c')
        fill(self.tracked[0], 6)
        self.tracked[1].count_by_step[step.key] = 1
        step.failed_workers.note_failure(WorkerId('c'), _NOW)
        expected = {
            IneligibleReason.ROOM: 1,
            IneligibleReason.COPIES: 1,
            IneligibleReason.FAILED: 1,
            IneligibleReason.NOT_ASKED: 1,
        }
        self.assertEqual(expected, self.counts(step))

    def test_what_holds_for_good_is_told_first(self) -> None:
        self.open_all()
        step = make_step(StepSpec(1, Size(99_000)))
        self.assertEqual({IneligibleReason.UNSUITED: 4}, self.counts(step))

    def test_a_closed_and_a_kept_worker_are_told(self) -> None:
        self.open_all()
        self.tracked[2].listed = False
        self.tracked[0].quarantine(now=0, seconds=float('inf'))
        step = make_step(StepSpec(1, _TASK))
        found = self.counts(step, frozenset((WorkerId('b'),)))
        expected = {
            IneligibleReason.RESTS: 1,
            IneligibleReason.CLOSED: 1,
            IneligibleReason.KEPT: 1,
            IneligibleReason.NONE: 1,
        }
        self.assertEqual(expected, found)

    def test_a_ticket_that_ran_out_is_told_last(self) -> None:
        self.open_all()
        step = advised(StepSpec(1, _TASK), 'a', 'b', 'c', 'd')
        step.permits.drop_ticket(WorkerId('a'))
        expected = {IneligibleReason.TICKET: 1, IneligibleReason.NONE: 3}
        self.assertEqual(expected, self.counts(step))

    def test_room_that_is_held_for_another_step_is_told_as_held(self) -> None:
        self.open_all()
        step = make_step(StepSpec(1, _TASK))
        self.tracked[0].hold('other', Size(8000))
        fill(self.tracked[1], 8)
        expected = {
            IneligibleReason.HELD: 1,
            IneligibleReason.ROOM: 1,
            IneligibleReason.NONE: 2,
        }
        self.assertEqual(expected, self.counts(step))
        self.assertEqual(1, self.survey(step).held)

    def test_room_that_is_held_for_the_step_itself_is_no_obstacle(self) -> None:
        self.open_all()
        step = advised(StepSpec(1, _TASK), 'a')
        step.permits.drop_ticket(WorkerId('a'))
        self.tracked[0].hold(step.key, Size(8000))
        self.assertEqual(1, self.counts(step)[IneligibleReason.TICKET])

    def test_permitted_workers_with_room_are_named_by_name(self) -> None:
        self.open_all()
        step = advised(StepSpec(1, _TASK), 'a', 'b', 'd')
        self.tracked.reverse()
        by_name = {tracked.worker: tracked for tracked in self.tracked}
        by_name[WorkerId('a')].listed = False
        fill(by_name[WorkerId('b')], 6)
        step.failed_workers.note_failure(WorkerId('d'), _NOW)
        self.assertEqual(
            [('a', IneligibleReason.CLOSED), ('d', IneligibleReason.FAILED)],
            list(self.survey(step).reason_by_idle_worker.items()),
        )

    def test_a_closed_worker_that_is_full_is_not_idle(self) -> None:
        step = make_step(StepSpec(1, _TASK))
        for tracked in self.tracked[1:]:
            fill(tracked, 6)
        idle = self.survey(step).reason_by_idle_worker
        self.assertEqual({'a': IneligibleReason.CLOSED}, idle)

    def test_three_workers_with_room_are_named_at_the_most(self) -> None:
        self.open_all()
        step = make_step(StepSpec(1, _TASK))
        self.assertEqual(
            ['a', 'b', 'c'], list(self.survey(step).reason_by_idle_worker)
        )
