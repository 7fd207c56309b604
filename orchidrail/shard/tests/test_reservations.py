"""Tests of which workers are reserved for large tasks and gangs."""

from __future__ import annotations

import math

from testtools import TestCase

from orchidrail.shard.candidate_workers import CandidateWorkers
from orchidrail.shard.reservations import (
    choose_reserved_workers,
    expected_time_left,
    needs_reservation,
    time_until_free,
)
from orchidrail.shard.tests.test_worker_selection import (
    make_step,
    make_tracked_worker,
)
from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.types import RunNumber
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size
from orchidrail.workers.port import RunKey


def _place(
    tracked: TrackedWorker, spec: StepSpec, share: float = 0
) -> PlacedRun:
    """Allocate a run on a worker; its start was confirmed at time 10."""
    task = make_step(spec).tasks[0]
    key = RunKey(task.key, RunNumber(len(tracked.run_by_key) + 1))
    run = PlacedRun(key, spec.charged, task, 10, confirmed_at=10)
    run.share_done = share
    tracked.allocate(run, task.step.key)
    return run


class ReservationsTest(TestCase):
    def test_only_gangs_and_large_tasks_need_reservations(self) -> None:
        workers = CandidateWorkers([make_tracked_worker('a')])
        small, large = StepSpec(1, Size(1000)), StepSpec(1, Size(2000))
        gang = StepSpec(2, Size(1000), gang=True)
        service = make_tracked_worker('a').entry.service
        needs = [
            needs_reservation(spec, workers.max_copies(spec, service))
            for spec in (small, large, gang)
        ]
        self.assertEqual([False, True, True], needs)

    def test_the_worker_that_is_free_soonest_is_reserved(self) -> None:
        slow, short = make_tracked_worker('long'), make_tracked_worker('short')
        _place(slow, StepSpec(1, Size(3000), estimate=9))
        _place(short, StepSpec(1, Size(3000), estimate=2))
        step = make_step(StepSpec(1, Size(4000)))
        reserved = choose_reserved_workers(step, 1, [slow, short], now=11)
        self.assertEqual({'short'}, reserved)

    def test_a_worker_with_the_maximum_of_copies_is_not_reserved(self) -> None:
        """Its capacity is of no use to the step while those tasks run."""
        spec = StepSpec(3, Size(2000), lasting=True, most_per_worker=1)
        step = make_step(spec)
        full, other = (
            make_tracked_worker('held', cores=8),
            make_tracked_worker('other'),
        )
        key = RunKey(step.tasks[0].key, RunNumber(1))
        full.allocate(PlacedRun(key, spec.charged, step.tasks[0], 10), step.key)
        _place(other, StepSpec(1, Size(3000), estimate=2))
        # The run there belongs to another job.
        other.count_by_step.clear()
        reserved = choose_reserved_workers(step, 1, [full, other], now=11)
        self.assertEqual({'other'}, reserved)
        self.assertEqual(
            set(), choose_reserved_workers(step, 2, [full], now=11)
        )

    def test_a_gang_that_never_fits_reserves_no_worker(self) -> None:
        only = make_tracked_worker('only')
        _place(only, StepSpec(1, Size(3000), estimate=9))
        gang = make_step(StepSpec(2, Size(4000), gang=True))
        self.assertEqual(
            set(), choose_reserved_workers(gang, 2, [only], now=11)
        )
        both = choose_reserved_workers(
            gang, 2, [only, make_tracked_worker('other')], now=11
        )
        self.assertEqual({'only', 'other'}, both)

    def test_time_until_free_ends_when_enough_runs_end(self) -> None:
        tracked = make_tracked_worker('a')
        _place(tracked, StepSpec(1, Size(2000), estimate=2))
        _place(tracked, StepSpec(1, Size(2000), estimate=5))
        self.assertEqual(1, time_until_free(tracked, Size(2000), now=11))
        self.assertEqual(4, time_until_free(tracked, Size(4000), now=11))
        self.assertEqual(math.inf, time_until_free(tracked, Size(5000), now=11))

    def test_progress_takes_precedence_over_the_estimate(self) -> None:
        run = _place(
            make_tracked_worker('a'), StepSpec(1, estimate=2), share=50
        )
        self.assertEqual(4, expected_time_left(run, now=14))

    def test_no_reservation_if_long_running_tasks_leave_no_capacity(
        self,
    ) -> None:
        """Guards against reservations for a gang that never fits.

        Each worker has capacity for one member, but not for the whole gang.
        Interrupted long-running tasks made no progress for 9 s and more, with
        free capacity on the workers reserved for such a gang.
        """
        both = make_tracked_worker('a'), make_tracked_worker('b')
        for tracked in both:
            _place(tracked, StepSpec(1, Size(1500), lasting=True))
        gang = make_step(StepSpec(3, Size(2000), gang=True))
        self.assertEqual(
            set(), choose_reserved_workers(gang, 3, list(both), now=11)
        )
        pair = make_step(StepSpec(2, Size(2000), gang=True))
        reserved = choose_reserved_workers(pair, 2, list(both), now=11)
        self.assertEqual({'a', 'b'}, reserved)

    def test_a_long_running_run_has_no_expected_end(self) -> None:
        run = _place(make_tracked_worker('a'), StepSpec(1, lasting=True))
        self.assertEqual(math.inf, expected_time_left(run, now=14))
