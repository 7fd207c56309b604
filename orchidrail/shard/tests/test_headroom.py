"""Tests of the capacity left free for urgent work."""

from __future__ import annotations

import msgspec
from testtools import TestCase

from orchidrail.shard.headroom import Headroom
from orchidrail.shard.tests.test_worker_selection import (
    make_step,
    make_tracked_worker,
)
from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.types import RunNumber
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size
from orchidrail.workers.port import RunKey


def _allocate_run(
    tracked: TrackedWorker, millicores: int, priority: int
) -> RunKey:
    step = make_step(StepSpec(1, Size(millicores)))
    queue = msgspec.structs.replace(step.job.queue, priority=priority)
    step.job.record = msgspec.structs.replace(step.job.record, queue=queue)
    key = RunKey(step.tasks[0].key, RunNumber(len(tracked.run_by_key) + 1))
    size = Size(millicores)
    tracked.allocate(PlacedRun(key, size, step.tasks[0], 0), step.key)
    return key


class HeadroomTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.headroom = Headroom()
        self.tracked = make_tracked_worker('a', cores=40)
        self.service = self.tracked.entry.service

    def available(self, now: float) -> int:
        self.headroom.record_usage([self.tracked], now)
        return self.headroom.available_to_others(self.service, [self.tracked])

    def test_without_urgent_work_there_is_no_headroom(self) -> None:
        _allocate_run(self.tracked, 10_000, priority=1)
        self.assertEqual(30_000, self.available(1))

    def test_headroom_follows_the_peak_and_decays(self) -> None:
        key = _allocate_run(self.tracked, 8_000, priority=0)
        self.assertEqual(32_000, self.available(1))
        self.tracked.release(key)
        self.assertEqual(32_000, self.available(1))
        self.assertGreater(self.available(11), 36_000)

    def test_headroom_has_a_maximum_share(self) -> None:
        key = _allocate_run(self.tracked, 30_000, priority=0)
        self.available(1)
        self.tracked.release(key)
        self.assertEqual(30_000, self.available(1))
