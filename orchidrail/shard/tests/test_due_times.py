"""Tests of the due times of timed jobs' rounds."""

from __future__ import annotations

import math

import msgspec
from testtools import TestCase

from orchidrail.shard.due_times import DueTimes
from orchidrail.types import JobId
from orchidrail.work.job import Job
from orchidrail.work.model import StepSpec
from orchidrail.work.tests.test_job import make_job


def make_timed_job(
    name: str,
    first_at: float,
    interval: float,
    repeats: int = 3,
) -> Job:
    """Return a timed job with one task."""
    record = make_job(StepSpec(1)).record
    spec = msgspec.structs.replace(
        record.spec,
        repeats=repeats,
        first_at=first_at,
        interval=interval,
    )
    return Job(JobId(name), msgspec.structs.replace(record, spec=spec))


class DueTimesTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.due_times = DueTimes()
        self.job = make_timed_job('j', first_at=100, interval=10)

    def test_each_round_becomes_due_once(self) -> None:
        taken = []
        for wall in (90, 100, 101, 110, 115, 120, 121, 130):
            taken.append(len(self.due_times.pop_due(wall)))
            self.due_times.schedule(self.job, wall)
        self.assertEqual([0, 1, 0, 1, 0, 1, 0, 0], taken)

    def test_the_wait_ends_when_the_next_round_is_due(self) -> None:
        self.assertEqual(math.inf, self.due_times.wait(0))
        self.due_times.schedule(self.job, 95)
        self.assertEqual(5, self.due_times.wait(95))
        self.assertEqual(0, self.due_times.wait(101))

    def test_a_removed_job_does_not_become_due(self) -> None:
        self.due_times.schedule(self.job, 95)
        self.due_times.remove(self.job.job_id)
        self.assertEqual([], self.due_times.pop_due(100))

    def test_rounds_become_due_again_after_the_clock_went_back(self) -> None:
        self.due_times.schedule(self.job, 95)
        self.assertEqual(['j'], self.due_times.pop_due(104))
        self.due_times.schedule(self.job, 98)
        self.assertEqual(['j'], self.due_times.pop_due(100))
