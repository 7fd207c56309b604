"""Tests of the selection of workers for a step."""

from __future__ import annotations

import time

import msgspec
from testtools import TestCase

from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.shard.worker_selection import choose_workers, matches_worker
from orchidrail.shard.worker_speed import SpeedClass
from orchidrail.types import Epoch, RunNumber, TaskKey
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size
from orchidrail.work.step import StepState
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import RunKey
from orchidrail.workers.run_lease import RunLease
from orchidrail.workers.session import WorkerSession
from orchidrail.workers.tests.fakes import FakeWorker, make_entry


def make_tracked_worker(
    name: str, cores: int = 4, rack: str = 'r-1'
) -> TrackedWorker:
    """Return an idle worker."""
    entry = msgspec.structs.replace(
        make_entry(name, cores),
        labels=('kind-a', rack),
    )
    session = WorkerSession(
        entry,
        FakeWorker(),
        Epoch(1),
        RunLease(6, 0),
        None,  # type: ignore[arg-type]
        time.monotonic,
        lambda: True,
    )
    return TrackedWorker(session)


def make_step(spec: StepSpec) -> StepState:
    """Return the only step of a job."""
    return next(make_job(spec).open_steps(0))


def _choose(spec: StepSpec, *tracked: TrackedWorker) -> list[str]:
    step = make_step(spec)
    chosen = choose_workers(step, step.startable(), list(tracked))
    return [placement.tracked.worker for placement in chosen]


class WorkerSelectionTest(TestCase):
    def test_a_step_is_placed_as_far_as_capacity_allows(self) -> None:
        spec = StepSpec(3, size=Size(2000))
        self.assertEqual(['a', 'a'], _choose(spec, make_tracked_worker('a')))

    def test_a_gang_is_placed_as_a_whole_or_not_at_all(self) -> None:
        spec = StepSpec(3, size=Size(2000), gang=True)
        self.assertEqual([], _choose(spec, make_tracked_worker('a')))
        self.assertEqual(
            3,
            len(
                _choose(
                    spec, make_tracked_worker('a'), make_tracked_worker('b')
                )
            ),
        )

    def test_the_worker_with_least_free_capacity_goes_first(self) -> None:
        spec = StepSpec(1, size=Size(2000))
        self.assertEqual(
            ['b'],
            _choose(
                spec, make_tracked_worker('a', 8), make_tracked_worker('b', 2)
            ),
        )

    def test_tasks_prefer_the_rack_of_their_data(self) -> None:
        spec = StepSpec(1, size=Size(1000), data_rack='r-2')
        near = make_tracked_worker('near', 8, 'r-2')
        self.assertEqual(
            ['near'], _choose(spec, make_tracked_worker('far', 2), near)
        )

    def test_a_one_rack_gang_is_placed_within_one_rack(self) -> None:
        spec = StepSpec(2, size=Size(2000), gang=True, one_rack=True)
        racks = (
            make_tracked_worker('a', 2, 'r-1'),
            make_tracked_worker('b', 4, 'r-2'),
        )
        self.assertEqual(['b', 'b'], _choose(spec, *racks))

    def test_copies_on_one_worker_are_limited(self) -> None:
        spec = StepSpec(3, size=Size(100), most_per_worker=1)
        self.assertEqual(
            2,
            len(
                _choose(
                    spec, make_tracked_worker('a'), make_tracked_worker('b')
                )
            ),
        )

    def test_a_worker_needs_the_label_of_the_step(self) -> None:
        self.assertTrue(
            matches_worker(
                StepSpec(1, label='kind-a'), make_tracked_worker('a')
            )
        )
        self.assertFalse(
            matches_worker(
                StepSpec(1, label='kind-b'), make_tracked_worker('a')
            )
        )

    def test_best_effort_is_incompatible_with_latency_sensitive(self) -> None:
        tracked = make_tracked_worker('a')
        latency_sensitive_spec = StepSpec(
            1, size=Size(10), target=0.1, lasting=True
        )
        best_effort_spec = StepSpec(1, size=Size(10), best_effort=True)
        step = make_step(latency_sensitive_spec)
        key = RunKey(TaskKey(f'{step.key}.0'), RunNumber(1))
        run = PlacedRun(key, Size(10), step.tasks[0], 0)
        tracked.allocate(run, step.key)
        self.assertFalse(tracked.is_compatible(best_effort_spec))
        self.assertTrue(tracked.is_compatible(latency_sensitive_spec))
        tracked.release(key)
        self.assertTrue(tracked.is_compatible(best_effort_spec))

    def test_urgent_work_leaves_slower_workers_to_other_work(self) -> None:
        slow, typical = (
            make_tracked_worker('slow'),
            make_tracked_worker('usual', cores=8),
        )
        slow.speed_class = SpeedClass.SLOWER
        step = make_step(StepSpec(1, Size(1000)))
        urgent = msgspec.structs.replace(step.job.queue, priority=0)
        other = msgspec.structs.replace(step.job.queue, priority=1)
        for queue, expected in ((urgent, 'usual'), (other, 'slow')):
            step.job.record = msgspec.structs.replace(
                step.job.record,
                queue=queue,
            )
            chosen = choose_workers(step, step.startable(), [slow, typical])
            self.assertEqual(expected, chosen[0].tracked.worker)

    def test_a_finished_gang_member_is_not_stalled(self) -> None:
        step = make_step(StepSpec(2, gang=True))
        key = RunKey(step.tasks[0].key, RunNumber(1))
        run = PlacedRun(key, Size(), step.tasks[0], 0)
        for share, expected in ((0, False), (40, True), (100, False)):
            run.share_done = share
            run.progress_at = 1
            self.assertEqual(expected, run.stalled(now=10))
