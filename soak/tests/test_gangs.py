"""Tests that gang members on the worker stand-ins end together."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from testtools import TestCase

from soak.advice import AdviceStandIn
from soak.gangs import Gangs
from soak.ledger import Failing, Ledger, SentJob
from soak.store import StoreStandIn
from soak.workers import WorkerStandIn

_JOB = 'a' * 16
_MEMBERS = 3
_STEP = {
    'count': _MEMBERS,
    'cpu': 1000,
    'estimatedMs': 500,
    'gangScheduled': True,
}


class GangsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.ledger = Ledger()
        self.job = SentJob(_JOB, 'text', [_STEP], accepted=True)
        self.ledger.job_by_id[_JOB] = self.job
        gangs = Gangs()
        self.workers = [
            WorkerStandIn(
                number,
                'w:1',
                StoreStandIn(),
                self.ledger,
                gangs,
                AdviceStandIn(8),
            )
            for number in range(_MEMBERS)
        ]
        self.now = time.monotonic()

    def order(self, member: int, run: int = 1) -> dict[str, Any]:
        return {'taskId': f'{_JOB}.0.0.{member}', 'runId': run, 'spec': 'text'}

    def start(self, member: int, run: int = 1) -> None:
        """Start a member on the worker with the same index."""
        worker = self.workers[member]
        deadline = worker._clock_ms() + 6000
        worker._start({**self.order(member, run), 'deadlineMs': deadline})

    def advance(self, seconds: float) -> list[list[str]]:
        """Advance time in steps; return the endings of runs by worker."""
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for worker in self.workers:
                worker._advance(0.1, self.now)
        return [
            [ending for _, _, _, ending, _ in worker._ended]
            for worker in self.workers
        ]

    def test_members_complete_together(self) -> None:
        for member in range(_MEMBERS):
            self.start(member)
        self.assertEqual([[], [], []], self.advance(0.4))
        self.assertEqual([['done']] * _MEMBERS, self.advance(0.3))

    def test_members_work_once_all_have_joined(self) -> None:
        self.start(0)
        self.start(1)
        self.assertEqual([[], [], []], self.advance(2))
        self.start(2)
        self.assertEqual([['done']] * _MEMBERS, self.advance(0.7))

    def test_member_without_its_gang_ends_after_the_timeout(self) -> None:
        self.start(0)
        self.assertEqual([['alone'], [], []], self.advance(3.2))

    def test_failure_on_a_broken_worker_ends_the_other_members(
        self,
    ) -> None:
        self.workers[1].break_for(1)
        for member in range(_MEMBERS):
            self.start(member)
        endings = self.advance(0.3)
        self.assertEqual([['broken'], ['failed'], ['broken']], endings)
        self.assertEqual(1, self.ledger.count_failures([self.job]))

    def test_run_of_an_always_failing_gang_fails(self) -> None:
        self.job.failing = Failing.ALWAYS
        for member in range(_MEMBERS):
            self.start(member)
        endings = sorted(ending for row in self.advance(0.6) for ending in row)
        self.assertEqual(_MEMBERS, len(endings))
        self.assertEqual({'broken', 'failed'}, set(endings))
        self.assertEqual(1, self.ledger.count_failures([self.job]))

    def test_stop_of_a_member_ends_the_others(self) -> None:
        for member in range(_MEMBERS):
            self.start(member)
        self.workers[0]._stop(self.order(0))
        endings = self.advance(0.4)
        self.assertEqual([['stopped'], ['broken'], ['broken']], endings)

    def test_crash_of_a_worker_ends_the_other_members(self) -> None:
        async def crash() -> None:
            self.workers[0].crash()

        for member in range(_MEMBERS):
            self.start(member)
        asyncio.run(crash())
        self.assertEqual([[], ['broken'], ['broken']], self.advance(0.2))

    def test_member_that_joins_a_broken_run_ends(self) -> None:
        self.start(0)
        self.advance(3.2)
        self.start(1)
        self.assertEqual([['alone'], ['broken'], []], self.advance(0.2))

    def test_next_run_is_independent_of_a_broken_one(self) -> None:
        self.start(0)
        self.advance(3.2)
        for member in range(_MEMBERS):
            self.start(member, run=2)
        endings = self.advance(0.7)
        self.assertEqual([['alone', 'done'], ['done'], ['done']], endings)
