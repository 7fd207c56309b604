"""Tests of bounds that must hold for a wait as a whole.

They guard against a bound that covers one cause of deferral but not the next
one, or that is measured anew for each.
"""

from __future__ import annotations

from testtools import TestCase

from orchidrail.shard.candidate_workers import CandidateWorkers
from orchidrail.shard.headroom import Headroom
from orchidrail.shard.placement_pass import PlacementPass, WaitingStep
from orchidrail.shard.ranking import Timing
from orchidrail.shard.tests.test_candidate_workers import advised_step, fill
from orchidrail.shard.tests.test_worker_selection import (
    make_step,
    make_tracked_worker,
)
from orchidrail.shard.tracked_worker import TrackedWorker
from orchidrail.shard.worker_selection import choose_workers
from orchidrail.types import RunNumber, Seconds, WorkerId
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size
from orchidrail.work.step import StepState

_CORES = 8
_FULL = Size(_CORES * 1000)
_NAMES = 'abcdefgh'
#: By then a task that could run must have started, in seconds.
_LONG_WAIT: Seconds = 10


def _waiting(spec: StepSpec, since: Seconds = 0) -> StepState:
    """Return a step all of whose tasks wait."""
    step = make_step(spec)
    for task in step.tasks:
        task.waiting_since = since
    step.recorded_waiting_since = since
    return step


def _usable(workers: CandidateWorkers, step: StepState) -> list[str]:
    """Return the workers on which the tasks of a step are placed."""
    found = workers.with_free_capacity(step)
    chosen = choose_workers(step, step.startable(), found)
    return [placement.tracked.worker for placement in chosen]


class WaitBoundsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.tracked = [
            make_tracked_worker(name, cores=_CORES) for name in _NAMES
        ]

    def pass_at(
        self,
        now: Seconds,
        accepting: list[TrackedWorker],
        quarantined: list[TrackedWorker],
    ) -> PlacementPass:
        return PlacementPass(accepting, now, now, Headroom(), [], quarantined)

    def test_a_gang_adds_a_quarantined_worker_to_an_open_one(
        self,
    ) -> None:
        """Guards against quarantines that block a gang without a bound.

        One worker with free capacity is of no use to a gang that needs two.
        """
        first, second = self.tracked[:2]
        second.quarantine(0, 100)
        workers = CandidateWorkers([first], _LONG_WAIT, quarantined=[second])
        gang = _waiting(StepSpec(2, _FULL, gang=True))
        self.assertEqual(['a', 'b'], sorted(_usable(workers, gang)))

    def test_a_quarantined_worker_is_used_if_others_have_max_copies(
        self,
    ) -> None:
        """Guards against a worker that is full for this step only."""
        first, second = self.tracked[:2]
        second.quarantine(0, 100)
        workers = CandidateWorkers([first], _LONG_WAIT, quarantined=[second])
        step = _waiting(StepSpec(2, Size(1000), most_per_worker=1))
        task = step.tasks[0]
        step.job.place(task, RunNumber(1), WorkerId('a'))
        first.count_by_step[step.key] = 1
        self.assertEqual(['b'], _usable(workers, step))

    def test_holds_do_not_count_as_capacity_in_use(self) -> None:
        """Guards against holds that make an idle service look full.

        Users judge by what runs on the workers; here nothing does.
        """
        for tracked in self.tracked[:5]:
            tracked.hold(f'other-{tracked.worker}', _FULL)
        workers = CandidateWorkers(self.tracked, _LONG_WAIT)
        self.assertEqual(0, workers.overdue_since(_waiting(StepSpec(1))))

    def test_idle_workers_that_accept_no_work_are_not_in_use(self) -> None:
        """Guards against counting only workers that accept work.

        Users judge by the capacity of the whole service, of which a quarter is
        in use.
        """
        for tracked in self.tracked[4:6]:
            fill(tracked, _CORES)
        workers = CandidateWorkers(
            self.tracked[4:], _LONG_WAIT, closed=self.tracked[:4]
        )
        self.assertEqual(0, workers.overdue_since(_waiting(StepSpec(1))))

    def test_a_step_that_may_use_quarantined_workers_is_examined(self) -> None:
        """Guards against bounds whose sum is above the total bound.

        Skipping a blocked step for 0.5 s, after 2 s of quarantine and an advice
        request, exceeds the 3 s for which work may make no progress.
        """
        tracked = self.tracked[0]
        tracked.quarantine(0, 100)
        step = _waiting(StepSpec(1, _FULL))
        waiting = WaitingStep(
            Timing(100, 110, 0, urgent=False),
            step,
            step.startable(),
        )
        before, after = 1.95, 2.1
        waiting.mark_blocked(self.pass_at(before, [], [tracked]))
        this_pass = self.pass_at(after, [], [tracked])
        self.assertEqual(['a'], _usable(this_pass.workers, step))
        self.assertFalse(waiting.blocked(this_pass))

    def test_work_over_its_share_goes_behind_work_within_it(self) -> None:
        """Guards against a tenant that floods the cell and goes first."""
        this_pass = self.pass_at(_LONG_WAIT, self.tracked, [])
        since = _LONG_WAIT - 1.1
        over = Timing(60, 61, since, urgent=False, over_share=True)
        within = Timing(12, 13, _LONG_WAIT - 0.5, urgent=False)
        ranks = [
            WaitingStep(timing, _waiting(StepSpec(1), started), []).rank(
                this_pass
            )
            for timing, started in ((within, _LONG_WAIT - 0.5), (over, since))
        ]
        self.assertEqual(sorted(ranks), ranks)

    def test_a_quarantined_worker_that_failed_the_step_is_avoided(
        self,
    ) -> None:
        """Guards against attempts wasted on a broken worker."""
        tracked = self.tracked[0]
        tracked.quarantine(0, 100)
        step = advised_step(StepSpec(1, _FULL), 'a', 'b')
        step.tasks[0].waiting_since = 0
        step.recorded_waiting_since = 0
        step.failed_workers.note_failure(WorkerId('a'), _LONG_WAIT - 0.5)
        other = self.tracked[1]
        fill(other, _CORES)
        workers = CandidateWorkers([other], _LONG_WAIT, quarantined=[tracked])
        self.assertEqual([], _usable(workers, step))
