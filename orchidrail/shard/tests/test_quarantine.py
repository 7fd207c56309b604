"""Tests of which workers are quarantined after failures, and how long."""

from __future__ import annotations

from testtools import TestCase

from orchidrail.shard.quarantine import QuarantinePolicy
from orchidrail.types import JobId, Seconds, WorkerId

_WORKER = WorkerId('w')
_LATER: Seconds = 100.0
#: Work may make no progress for 3 s, which includes an advice request.
_MAX_QUARANTINE: Seconds = 2.0


class QuarantinePolicyTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.policy = QuarantinePolicy()

    def record_failure(
        self,
        job: str,
        now: Seconds,
        worker: str = 'w',
        workers: int = 10,
    ) -> Seconds:
        """Record a failed job; return how long to quarantine the worker."""
        return self.policy.note_failure(
            WorkerId(worker),
            JobId(job),
            now,
            workers,
        )

    def test_a_second_failed_job_quarantines_the_worker(self) -> None:
        durations = [self.record_failure(job, now=0) for job in ('a', 'a', 'b')]
        self.assertEqual([0, 0], durations[:2])
        self.assertGreater(durations[2], 0)

    def test_a_success_resets_the_worker(self) -> None:
        self.record_failure('a', now=0)
        self.policy.note_success(_WORKER)
        self.assertEqual(0, self.record_failure('b', now=0))

    def test_the_share_of_quarantined_workers_is_limited(self) -> None:
        names = 'abcdef'
        durations = [
            self.record_failure(job, 0, name, len(names))
            for name in names
            for job in ('a', 'b')
        ]
        self.assertEqual(2, sum(duration > 0 for duration in durations))

    def test_old_failures_are_ignored(self) -> None:
        """If only long-running tasks run, there is no success in between."""
        self.record_failure('a', now=0)
        self.assertEqual(0, self.record_failure('b', now=_LATER))

    def test_old_failures_do_not_extend_a_quarantine(self) -> None:
        now: Seconds = 0
        durations = []
        for job in 'abcdef':
            durations.append(self.record_failure(job, now))
            now += durations[-1]
        self.record_failure('a', _LATER)
        repeated = self.record_failure('b', _LATER)
        self.assertEqual(durations[1], repeated)

    def test_a_quarantine_has_a_maximum_duration(self) -> None:
        """A step may have no other permitted worker."""
        durations = [self.record_failure(job, now=0) for job in 'abcdefgh']
        self.assertLessEqual(max(durations), _MAX_QUARANTINE)
