"""Tests of overdue steps, which were deferred for too long.

They guard against tasks that make no progress though most of their service's
capacity is free: behind work with an earlier deadline that fails and starts
again, or while the workers with free capacity are quarantined, and each further
failure extends the quarantine.
"""

from __future__ import annotations

from testtools import TestCase

from orchidrail.shard.candidate_workers import CandidateWorkers, may_place_on
from orchidrail.shard.headroom import Headroom
from orchidrail.shard.placement_pass import PlacementPass, WaitingStep
from orchidrail.shard.ranking import Timing, is_overdue
from orchidrail.shard.tests.test_candidate_workers import fill
from orchidrail.shard.tests.test_worker_selection import (
    make_step,
    make_tracked_worker,
)
from orchidrail.shard.tracked_worker import TrackedWorker
from orchidrail.types import RunNumber, Seconds, WorkerId
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size
from orchidrail.work.step import StepState, longest_waiting_first

_CORES = 8
#: Maximum time without progress of a task that could run, in seconds.
_MAX_STALL: Seconds = 3
#: Part of that time that an advice request may take, in seconds.
_ADVICE_TIME: Seconds = 0.6


def _waiting(since: Seconds) -> StepState:
    """Return a step whose only task waits."""
    step = make_step(StepSpec(1, Size(4000)))
    step.tasks[0].waiting_since = since
    step.recorded_waiting_since = since
    return step


def _pass(tracked_workers: list[TrackedWorker], now: Seconds) -> PlacementPass:
    return PlacementPass(tracked_workers, now, now, Headroom(), [], [])


class OverdueTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.tracked = [
            make_tracked_worker(name, cores=_CORES) for name in 'ab'
        ]

    def test_a_step_that_waits_while_half_is_free_is_overdue_in_time(
        self,
    ) -> None:
        workers = CandidateWorkers(self.tracked, _MAX_STALL - 2 * _ADVICE_TIME)
        self.assertEqual(0, workers.overdue_since(_waiting(0)))
        early = CandidateWorkers(self.tracked, 0.5)
        self.assertIsNone(early.overdue_since(_waiting(0)))

    def test_a_step_is_not_overdue_while_half_is_in_use(self) -> None:
        fill(self.tracked[0], _CORES)
        workers = CandidateWorkers(self.tracked, 10)
        self.assertIsNone(workers.overdue_since(_waiting(0)))

    def test_a_step_that_waits_for_its_tenants_limit_is_not_overdue(
        self,
    ) -> None:
        step = _waiting(0)
        step.limit_reached_at = 9.5
        workers = CandidateWorkers(self.tracked, 10)
        self.assertIsNone(workers.overdue_since(step))

    def test_the_longest_overdue_step_precedes_earlier_deadlines(self) -> None:
        """Guards against jobs that fail repeatedly and always go first."""
        now: Seconds = 10
        ranks = {}
        for name, since, deadline in (
            ('early', 9.9, 11),
            ('waits', 8, 60),
            ('waits longest', 7, 90),
        ):
            timing = Timing(deadline - 1, deadline, 0, urgent=False)
            waiting = WaitingStep(timing, _waiting(since), [])
            ranks[name] = waiting.rank(_pass(self.tracked, now))
        ordered = sorted(ranks, key=ranks.__getitem__)
        self.assertEqual(['waits longest', 'waits', 'early'], ordered)
        self.assertEqual(
            [True, True, False],
            [is_overdue(ranks[name]) for name in ordered],
        )

    def test_urgent_work_in_time_precedes_overdue_work(self) -> None:
        now: Seconds = 10
        this_pass = _pass(self.tracked, now)
        urgent = Timing(10, 11, 9.9, urgent=True)
        other = Timing(60, 61, 0, urgent=False)
        first = WaitingStep(urgent, _waiting(9.9), [])
        second = WaitingStep(other, _waiting(0), [])
        self.assertLess(first.rank(this_pass), second.rank(this_pass))

    def test_a_task_that_just_failed_goes_behind_its_siblings(
        self,
    ) -> None:
        """Guards against a failing task that always starts first."""
        step = make_step(StepSpec(3, Size(1000)))
        for task, since in zip(step.tasks, (9, 1, 2), strict=True):
            task.waiting_since = since
        indexes = [
            task.index for task in longest_waiting_first(step.startable())
        ]
        self.assertEqual([1, 2, 0], indexes)

    def test_an_overdue_step_may_use_quarantined_workers(self) -> None:
        """Guards against quarantines extended by failures of other jobs."""
        for tracked in self.tracked:
            tracked.quarantine(0, 100)
        found_at = []
        for now in (1.5, _MAX_STALL - _ADVICE_TIME):
            workers = CandidateWorkers([], now, quarantined=self.tracked)
            found = workers.with_free_capacity(_waiting(0))
            found_at.append([tracked.worker for tracked in found])
        self.assertEqual([[], ['a', 'b']], found_at)

    def test_a_newly_quarantined_worker_gets_only_overdue_work(
        self,
    ) -> None:
        """Its tickets may arrive during the quarantine."""
        tracked = self.tracked[0]
        tracked.session.reachable = True
        tracked.quarantine(0, 100)
        self.assertFalse(may_place_on(_waiting(0), tracked, 1.5))
        self.assertTrue(may_place_on(_waiting(0), tracked, 2.5))
        tracked.listed = False
        self.assertFalse(may_place_on(_waiting(0), tracked, 2.5))

    def test_other_workers_with_capacity_precede_quarantined_ones(self) -> None:
        quarantined, other = self.tracked
        workers = CandidateWorkers([other], 10, quarantined=[quarantined])
        found = workers.with_free_capacity(_waiting(0))
        self.assertEqual([WorkerId('b')], [tracked.worker for tracked in found])

    def test_an_interrupted_step_is_overdue_on_a_full_service(
        self,
    ) -> None:
        fill(self.tracked[0], _CORES)
        step = make_step(StepSpec(1, Size(4000), lasting=True))
        step.tasks[0].run, step.tasks[0].waiting_since = RunNumber(1), 0
        workers = CandidateWorkers(self.tracked, _MAX_STALL)
        self.assertEqual(0, workers.overdue_since(step))
