"""Tests of how a pass finds workers with free capacity."""

from __future__ import annotations

from testtools import TestCase

from orchidrail.shard.candidate_workers import CandidateWorkers
from orchidrail.shard.tests.test_worker_selection import (
    make_step,
    make_tracked_worker,
)
from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.shard.worker_selection import choose_workers
from orchidrail.types import RunNumber, TaskKey, WorkerId
from orchidrail.work.model import AdviceCost, StepSpec
from orchidrail.work.size import Size
from orchidrail.work.step import StepState
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import RunKey

_COST = AdviceCost(0.5, 0.01, 1.5)
#: Maximum time without progress of a task that could run, in seconds.
_MAX_STALL = 3
#: Part of that time that an advice request may take, in seconds.
_ADVICE_TIME = 1


def fill(tracked: TrackedWorker, cores: int) -> None:
    """Allocate capacity of a worker."""
    key = RunKey(TaskKey('j.0.0.0'), RunNumber(len(tracked.run_by_key) + 1))
    tracked.allocate(PlacedRun(key, Size(cores * 1000), None, 0), 'j.0.0')


def advised_step(spec: StepSpec, *permitted: str) -> StepState:
    """Return a step that only some workers are permitted to run."""
    step = make_step(spec)
    record = step.job.record
    step.job.record = type(record)(
        type(record.queue)(
            record.queue.name,
            record.queue.host,
            record.queue.path_prefix,
            record.queue.service,
            advice=_COST,
        ),
        record.spec,
        record.accepted_at,
    )
    tickets = {WorkerId(worker): 'ticket' for worker in permitted}
    step.permits.record_advice(list(tickets), tickets, 10)
    return step


def _names(found: list[TrackedWorker]) -> list[str]:
    return [tracked.worker for tracked in found]


def _usable(workers: CandidateWorkers, step: StepState) -> list[str]:
    """Return the workers on which the tasks of a step are placed."""
    found = workers.with_free_capacity(step)
    chosen = choose_workers(step, step.startable(), found)
    return [placement.tracked.worker for placement in chosen]


class CandidateWorkersTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.tracked = [make_tracked_worker(name, cores=8) for name in 'abcd']
        for cores, tracked in enumerate(self.tracked):
            fill(tracked, 2 * cores)

    def test_workers_with_too_little_capacity_are_skipped(self) -> None:
        workers = CandidateWorkers(self.tracked)
        step = make_step(StepSpec(1, Size(4000)))
        self.assertEqual(
            ['c', 'b', 'a'], _names(workers.with_free_capacity(step))
        )

    def test_capacity_allocated_in_the_same_pass_counts(self) -> None:
        workers = CandidateWorkers(self.tracked)
        fill(self.tracked[0], 8)
        step = make_step(StepSpec(1, Size(4000)))
        self.assertEqual(['c', 'b'], _names(workers.with_free_capacity(step)))

    def test_reserved_workers_are_skipped(self) -> None:
        workers = CandidateWorkers(self.tracked)
        workers.reserve({WorkerId('b')})
        step = make_step(StepSpec(1, Size(4000)))
        self.assertEqual(['c', 'a'], _names(workers.with_free_capacity(step)))

    def test_an_interrupted_task_may_use_reserved_workers(self) -> None:
        """Guards against reserved workers that block interrupted tasks.

        One made no progress for 9.5 s with capacity on reserved workers.
        """
        step = make_step(StepSpec(1, Size(4000), lasting=True))
        task = step.tasks[0]
        task.run, task.waiting_since = RunNumber(1), 10
        all_workers = {tracked.worker for tracked in self.tracked}
        for now, expected in ((11, []), (13, ['c', 'b', 'a'])):
            workers = CandidateWorkers(self.tracked, now)
            workers.reserve(all_workers)
            self.assertEqual(expected, _names(workers.with_free_capacity(step)))

    def test_only_permitted_workers_are_found_where_advice_is_needed(
        self,
    ) -> None:
        workers = CandidateWorkers(self.tracked)
        step = advised_step(StepSpec(1, Size(4000)), 'a', 'd')
        self.assertEqual(['a'], _names(workers.with_free_capacity(step)))
        self.assertEqual(['b', 'c'], _names(workers.unchecked(step)))
        self.assertEqual(['a', 'd'], _names(workers.permitted_for(step)))

    def test_a_worker_that_failed_a_step_is_the_last_choice(
        self,
    ) -> None:
        step = make_step(StepSpec(1, Size(4000)))
        step.failed_workers.note_failure(WorkerId('a'), 0)
        workers = CandidateWorkers(self.tracked)
        self.assertEqual(['c', 'b'], _names(workers.with_free_capacity(step)))
        only_one = CandidateWorkers(self.tracked[:1])
        self.assertEqual(['a'], _names(only_one.with_free_capacity(step)))

    def test_a_worker_that_failed_a_step_is_used_if_others_are_full(
        self,
    ) -> None:
        """Guards against a task that makes no progress for 10 s.

        Its tasks had failed on two workers with free capacity. The other
        permitted worker accepted work but was full, and counted as the better
        choice for as long as it was. Here the other one is full, or runs the
        maximum number of the step's tasks. A worker is avoided for less than
        the time that work may make no progress, minus an advice request, also
        after several failures.
        """
        workers = CandidateWorkers(self.tracked, _MAX_STALL - _ADVICE_TIME)
        full = advised_step(StepSpec(1, Size(4000)), 'a', 'd')
        for _ in range(3):
            full.failed_workers.note_failure(WorkerId('a'), 0)
        self.assertEqual(['a'], _usable(workers, full))
        held = make_step(StepSpec(4, Size(1000), most_per_worker=1))
        for tracked in self.tracked[1:]:
            tracked.count_by_step[held.key] = 1
        held.failed_workers.note_failure(WorkerId('a'), 0)
        self.assertEqual(['a'], _usable(workers, held))

    def test_workers_without_the_label_are_no_candidates(self) -> None:
        workers = CandidateWorkers(self.tracked)
        step = make_step(StepSpec(1, Size(1000), label='kind-b'))
        self.assertEqual([], workers.with_free_capacity(step))
        self.assertFalse(workers.has_permitted(step))

    def test_max_copies_is_that_of_the_largest_worker(self) -> None:
        service = make_job(StepSpec(1)).queue.service
        workers = CandidateWorkers(
            [*self.tracked, make_tracked_worker('e', cores=32)]
        )
        copies = workers.max_copies(StepSpec(1, Size(10_000)), service)
        self.assertEqual(3, copies)
