"""Tests of which runs are stopped for urgent work."""

from __future__ import annotations

import math

from testtools import TestCase

from orchidrail.preemption import (
    Candidate,
    Need,
    VictimPlan,
    cover_shortage,
    may_stop,
)
from orchidrail.preemption.policy import is_due, is_worthwhile
from orchidrail.preemption.victims import plan_on_worker
from orchidrail.sharing import Standing
from orchidrail.types import RunNumber, TaskKey, WorkerId
from orchidrail.work.size import Size
from orchidrail.workers.port import RunKey

_HOST = WorkerId('w-1')
_STOP, _RESUME = 0.4, 0.1
_NEED = Need(priority=0, slack=0.6, duration=0.6, core_seconds=6)


def make_candidate(
    name: str = 'a',
    cores: int = 18,
    loss: float = 9,
    slack: float = 5,
    late: bool = False,
    time_left: float = 4,
    priority: int = 1,
    standing: Standing = Standing.WITHIN_SHARE,
) -> Candidate:
    key = RunKey(TaskKey(f'{name}.0.0.0'), RunNumber(1))
    return Candidate(
        ((_HOST, key),),
        Size(cores * 1000),
        priority,
        standing,
        time_left,
        late,
        slack,
        loss,
    )


def _may_stop(candidate: Candidate) -> bool:
    return may_stop(_NEED, candidate, _STOP, _RESUME)


def _choose(need: int, free: int, *candidates: Candidate) -> list[Candidate]:
    plan = plan_on_worker(
        _HOST, Size(need * 1000), Size(free * 1000), list(candidates), 1
    )
    return [] if plan is None else list(plan.victims)


class VictimTest(TestCase):
    def test_work_of_the_same_priority_is_not_stopped(self) -> None:
        self.assertTrue(_may_stop(make_candidate()))
        self.assertFalse(_may_stop(make_candidate(priority=0)))

    def test_work_that_ends_in_time_by_itself_is_not_stopped(self) -> None:
        for time_left in (0.1, _STOP, _NEED.slack):
            self.assertFalse(_may_stop(make_candidate(time_left=time_left)))

    def test_no_work_misses_its_objective_through_a_stop(self) -> None:
        """It waits for the stop, for the urgent task, and for its own turn."""
        shortest_delay = _STOP + _NEED.duration + _RESUME
        self.assertFalse(_may_stop(make_candidate(slack=-1)))
        self.assertFalse(_may_stop(make_candidate(slack=shortest_delay)))

    def test_work_that_is_late_already_may_be_stopped(self) -> None:
        self.assertTrue(_may_stop(make_candidate(slack=-1, late=True)))

    def test_the_victim_that_loses_least_is_chosen(self) -> None:
        cheap = make_candidate('cheap', loss=1)
        self.assertEqual([cheap], _choose(10, 0, make_candidate(loss=8), cheap))

    def test_late_and_over_share_work_is_chosen_first(self) -> None:
        in_time = make_candidate('in-time', loss=1)
        late = make_candidate('late', slack=-1, late=True, loss=9)
        over = make_candidate('over', standing=Standing.OVER_SHARE, loss=9)
        self.assertEqual([late], _choose(10, 0, in_time, late))
        self.assertEqual([over], _choose(10, 0, in_time, over))

    def test_no_more_is_stopped_than_needed(self) -> None:
        small = make_candidate('small', cores=4, loss=1)
        large = make_candidate('large', cores=18, loss=5)
        self.assertEqual([large], _choose(10, 0, small, large))
        self.assertEqual([small], _choose(10, 6, small, large))
        self.assertEqual([], _choose(10, 10, small, large))

    def test_nothing_is_stopped_if_all_of_it_frees_too_little(self) -> None:
        self.assertEqual([], _choose(30, 0, make_candidate(cores=18)))

    def test_a_stop_may_not_lose_much_more_than_it_gains(self) -> None:
        gain = _NEED.core_seconds
        self.assertTrue(is_worthwhile(_NEED, gain, 1))
        self.assertFalse(is_worthwhile(_NEED, 4 * gain, 1))
        self.assertTrue(is_worthwhile(_NEED, 4 * gain, 4))


class DecisionTest(TestCase):
    def test_a_stop_is_ordered_neither_too_late_nor_early(self) -> None:
        """Earlier, runs may end by themselves; later, it does not help."""
        due = [
            is_due(_NEED._replace(slack=slack), _STOP)
            for slack in (-0.1, 0.3, 0.41, 0.5, 0.7, 5)
        ]
        self.assertEqual([False, False, True, True, False, False], due)


class ShortageTest(TestCase):
    def make_plan(self, worker: str, loss: float, slots: int = 1) -> VictimPlan:
        victim = make_candidate(f'on-{worker}', loss=loss)
        return VictimPlan(WorkerId(worker), (victim,), slots)

    def test_the_cheapest_plans_cover_the_shortage(self) -> None:
        plans = [
            self.make_plan(name, loss)
            for name, loss in zip('abc', (3, 1, 2), strict=True)
        ]
        chosen = cover_shortage(2, plans, all_or_none=False)
        self.assertEqual(['b', 'c'], [plan.worker for plan in chosen])

    def test_nothing_is_stopped_for_a_part_of_a_gang(self) -> None:
        plans = [self.make_plan('a', 1)]
        self.assertEqual([], cover_shortage(2, plans, all_or_none=True))
        self.assertEqual(plans, cover_shortage(2, plans, all_or_none=False))

    def test_a_gang_is_not_stopped_twice(self) -> None:
        """Its members run on two workers, each of which has a plan with it."""
        gang = make_candidate('gang')._replace(
            members=tuple(
                (
                    WorkerId(worker),
                    RunKey(TaskKey(f'g.0.0.{number}'), RunNumber(1)),
                )
                for number, worker in enumerate('ab')
            ),
            time_left=math.inf,
        )
        plans = [VictimPlan(WorkerId(worker), (gang,), 1) for worker in 'ab']
        self.assertEqual(plans[:1], cover_shortage(2, plans, all_or_none=False))
