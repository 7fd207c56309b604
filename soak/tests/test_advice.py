"""Tests of the advice stand-in: permits, tickets and queueing by lane."""

from __future__ import annotations

import asyncio
import time

from orchidrail.testing import AsyncTestCase
from soak.advice import MAX_WAITING, AdviceStandIn, is_ticket_valid

_STEP = f'{"a" * 16}.0.0'
_WORKERS = 8
_NAMES = [f'i-{number}' for number in range(_WORKERS)]


class AdviceTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.advice = AdviceStandIn(_WORKERS)
        for number, name in enumerate(_NAMES):
            self.advice.index_by_name[name] = number

    def test_half_of_the_workers_may_run_a_step(self) -> None:
        answered = self.run_async(
            self.advice.decide(1, _STEP, [*_NAMES, 'other'])
        )
        assert answered is not None
        permitted = [
            name
            for number, name in enumerate(_NAMES)
            if self.advice.permits(_STEP, number)
        ]
        self.assertEqual(_WORKERS // 2, len(permitted))
        self.assertEqual(permitted, [name for name, _ in answered])
        for name, ticket in answered:
            self.assertTrue(is_ticket_valid(ticket, _STEP, name))
            self.assertFalse(is_ticket_valid(ticket, _STEP, 'other'))

    def test_requests_of_one_lane_are_answered_one_at_a_time(self) -> None:
        async def measure(*lanes: int) -> float:
            started_at = time.monotonic()
            requests = (self.advice.decide(lane, _STEP, []) for lane in lanes)
            await asyncio.gather(*requests)
            return time.monotonic() - started_at

        self.assertGreaterEqual(self.run_async(measure(1, 1)), 1)
        self.assertLess(self.run_async(measure(1, 2)), 1)

    def test_rejects_requests_beyond_the_queue_bound_of_a_lane(self) -> None:
        async def exceed_the_bound() -> None:
            waiting = [
                asyncio.create_task(self.advice.decide(1, _STEP, []))
                for _ in range(MAX_WAITING)
            ]
            await asyncio.sleep(0)
            self.assertIsNone(await self.advice.decide(1, _STEP, []))
            for task in waiting:
                task.cancel()
            await asyncio.wait(waiting)
            self.assertEqual([], await self.advice.decide(1, _STEP, []))

        self.run_async(exceed_the_bound())
