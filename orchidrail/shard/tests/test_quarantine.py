"""Tests of which workers are blamed for what failed on them, and how long."""

from __future__ import annotations

from testtools import TestCase

from orchidrail.shard.quarantine import QuarantinePolicy
from orchidrail.types import JobId, Seconds, WorkerId

_WORKER = WorkerId('w')
_LATER: Seconds = 100.0
#: Work may stand still for 3 s, a question for a ticket among that.
_LONGEST_BORNE: Seconds = 2.0


class StandingsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.standings = QuarantinePolicy()

    def fail(  # type: ignore[override]
        self,
        job: str,
        now: Seconds,
        worker: str = 'w',
        workers: int = 10,
    ) -> Seconds:
        """Let a job fail on a worker; return how long that one rests."""
        return self.standings.note_failure(
            WorkerId(worker),
            JobId(job),
            now,
            workers,
        )

    def test_a_second_job_that_fails_speaks_against_the_worker(self) -> None:
        rests = [self.fail(job, now=0) for job in ('a', 'a', 'b')]
        self.assertEqual([0, 0], rests[:2])
        self.assertGreater(rests[2], 0)

    def test_a_success_clears_the_worker(self) -> None:
        self.fail('a', now=0)
        self.standings.note_success(_WORKER)
        self.assertEqual(0, self.fail('b', now=0))

    def test_only_some_workers_rest_at_a_time(self) -> None:
        names = 'abcdef'
        rests = [
            self.fail(job, 0, name, len(names))
            for name in names
            for job in ('a', 'b')
        ]
        self.assertEqual(2, sum(rest > 0 for rest in rests))

    def test_failures_of_long_ago_say_nothing(self) -> None:
        """Where only tasks that last run, none ends well in between."""
        self.fail('a', now=0)
        self.assertEqual(0, self.fail('b', now=_LATER))

    def test_a_rest_is_not_longer_for_those_of_long_ago(self) -> None:
        now: Seconds = 0
        rests = []
        for job in 'abcdef':
            rests.append(self.fail(job, now))
            now += rests[-1]
        self.fail('a', _LATER)
        again = self.fail('b', _LATER)
        self.assertEqual(rests[1], again)

    def test_a_rest_ends_soon_after_the_last_failure(self) -> None:
        """Whatever fails there; a task may have no other worker."""
        rests = [self.fail(job, now=0) for job in 'abcdefgh']
        self.assertLessEqual(max(rests), _LONGEST_BORNE)
