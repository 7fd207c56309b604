"""Tests of the reasons why workers are not eligible for a step."""

from __future__ import annotations

from testtools import TestCase

from orchidrail.shard.eligibility import (
    EligibilitySummary,
    FleetEligibility,
    IneligibleReason,
)
from orchidrail.shard.tests.test_candidate_workers import advised_step, fill
from orchidrail.shard.tests.test_worker_selection import (
    make_step,
    make_tracked_worker,
)
from orchidrail.types import WorkerId
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size
from orchidrail.work.step import StepState

_NO_WORKER: frozenset[WorkerId] = frozenset()
_TASK = Size(4000)
_NOW = 1


class EligibilityTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.tracked = [make_tracked_worker(name, cores=8) for name in 'abcd']

    def eligibility_of(
        self,
        step: StepState,
        reserved: frozenset[WorkerId] = _NO_WORKER,
    ) -> EligibilitySummary:
        return FleetEligibility(self.tracked, reserved, _NOW).summarize(step)

    def counts(
        self,
        step: StepState,
        reserved: frozenset[WorkerId] = _NO_WORKER,
    ) -> dict[IneligibleReason, int]:
        return dict(self.eligibility_of(step, reserved).count_by_reason)

    def make_reachable(self) -> None:
        """Mark all workers as reachable."""
        for tracked in self.tracked:
            tracked.session.reachable = True

    def test_each_worker_is_counted_by_its_reason(self) -> None:
        self.make_reachable()
        step = advised_step(
            StepSpec(4, _TASK, most_per_worker=1), 'a', 'b', 'c'
        )
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

    def test_a_permanent_reason_comes_first(self) -> None:
        self.make_reachable()
        step = make_step(StepSpec(1, Size(99_000)))
        self.assertEqual({IneligibleReason.UNSUITED: 4}, self.counts(step))

    def test_quarantined_closed_and_reserved_workers_are_counted(self) -> None:
        self.make_reachable()
        self.tracked[2].listed = False
        self.tracked[0].quarantine(now=0, seconds=float('inf'))
        step = make_step(StepSpec(1, _TASK))
        found = self.counts(step, frozenset((WorkerId('b'),)))
        expected = {
            IneligibleReason.QUARANTINED: 1,
            IneligibleReason.CLOSED: 1,
            IneligibleReason.RESERVED: 1,
            IneligibleReason.NONE: 1,
        }
        self.assertEqual(expected, found)

    def test_an_expired_ticket_comes_last(self) -> None:
        self.make_reachable()
        step = advised_step(StepSpec(1, _TASK), 'a', 'b', 'c', 'd')
        step.permits.drop_ticket(WorkerId('a'))
        expected = {IneligibleReason.TICKET: 1, IneligibleReason.NONE: 3}
        self.assertEqual(expected, self.counts(step))

    def test_a_hold_of_another_step_is_a_reason(self) -> None:
        self.make_reachable()
        step = make_step(StepSpec(1, _TASK))
        self.tracked[0].hold('other', Size(8000))
        fill(self.tracked[1], 8)
        expected = {
            IneligibleReason.HELD: 1,
            IneligibleReason.ROOM: 1,
            IneligibleReason.NONE: 2,
        }
        self.assertEqual(expected, self.counts(step))
        self.assertEqual(1, self.eligibility_of(step).held)

    def test_a_hold_of_the_step_itself_is_no_reason(self) -> None:
        self.make_reachable()
        step = advised_step(StepSpec(1, _TASK), 'a')
        step.permits.drop_ticket(WorkerId('a'))
        self.tracked[0].hold(step.key, Size(8000))
        self.assertEqual(1, self.counts(step)[IneligibleReason.TICKET])

    def test_idle_permitted_workers_are_sorted_by_name(self) -> None:
        self.make_reachable()
        step = advised_step(StepSpec(1, _TASK), 'a', 'b', 'd')
        self.tracked.reverse()
        by_name = {tracked.worker: tracked for tracked in self.tracked}
        by_name[WorkerId('a')].listed = False
        fill(by_name[WorkerId('b')], 6)
        step.failed_workers.note_failure(WorkerId('d'), _NOW)
        self.assertEqual(
            [('a', IneligibleReason.CLOSED), ('d', IneligibleReason.FAILED)],
            list(self.eligibility_of(step).reason_by_idle_worker.items()),
        )

    def test_a_full_worker_that_accepts_no_work_is_not_idle(self) -> None:
        step = make_step(StepSpec(1, _TASK))
        for tracked in self.tracked[1:]:
            fill(tracked, 6)
        idle = self.eligibility_of(step).reason_by_idle_worker
        self.assertEqual({'a': IneligibleReason.CLOSED}, idle)

    def test_at_most_three_idle_workers_are_named(self) -> None:
        self.make_reachable()
        step = make_step(StepSpec(1, _TASK))
        self.assertEqual(
            ['a', 'b', 'c'],
            list(self.eligibility_of(step).reason_by_idle_worker),
        )
