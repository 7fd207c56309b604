"""Tests of the tracking of advice requests without a reply."""

from __future__ import annotations

import asyncio

from orchidrail.metrics import InstanceMetrics
from orchidrail.shard.advice_dispatcher import AdviceDispatcher
from orchidrail.shard.advice_queue import AdviceRequest
from orchidrail.shard.pending_advice import (
    AdviceRequestState,
    PendingAdviceRequests,
)
from orchidrail.shard.tests.test_worker_selection import make_step
from orchidrail.testing import AsyncTestCase
from orchidrail.types import InstanceId, Seconds, WorkerId
from orchidrail.work.model import StepSpec
from orchidrail.work.step import StepState
from orchidrail.workers.port import Advice

_SHORT = 0.01


class PendingAdviceTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now: Seconds = 10
        self.metrics = InstanceMetrics()
        self.questions = PendingAdviceRequests(self.clock, self.metrics)
        self.dispatcher = AdviceDispatcher(self._ask, self.clock)
        self.calls: list[asyncio.Future[Advice | None]] = []

    def clock(self) -> Seconds:
        return self.now

    async def _ask(
        self,
        lane: InstanceId,
        step_key: str,
        workers: list[WorkerId],
        timeout: Seconds,
    ) -> Advice | None:
        self.calls.append(asyncio.get_running_loop().create_future())
        return await self.calls[-1]

    def set_advice_lanes(self, lanes: int) -> None:
        """Set the number of lanes."""
        self.dispatcher.set_advice_lanes(
            [InstanceId(f'lane-{one}') for one in range(lanes)]
        )

    async def ask(self, step: StepState) -> asyncio.Task[None]:
        pending = asyncio.create_task(self._follow(step))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return pending

    async def answer(self, number: int, advice: Advice | None) -> None:
        self.calls[number].set_result(advice)
        await asyncio.sleep(_SHORT)

    def sample(self, name: str) -> float:
        found = self.metrics.registry.get_sample_value(
            f'orchidrail_{name}',
            {'queue': 'queue'},
        )
        return found or 0

    def oldest_request(
        self,
        step: StepState,
    ) -> tuple[Seconds, AdviceRequestState, Seconds] | None:
        """Return the age, state and time in state of the oldest request."""
        found = self.questions.oldest_for_step(step.key)
        if found is None:
            return None
        return (
            self.now - found.since,
            found.state,
            self.now - found.state_since,
        )

    async def _follow(self, step: StepState) -> None:
        with self.questions.track(step) as pending:
            request = AdviceRequest(step.key, [], _SHORT, (1,))
            await self.dispatcher.ask(
                request._replace(during_call=pending.during_call),
            )

    def test_request_is_queued_then_in_flight(self) -> None:
        async def scenario() -> None:
            step = make_step(StepSpec(1))
            pending = await self.ask(step)
            self.now += 3
            self.assertEqual(
                (3, AdviceRequestState.QUEUED, 3), self.oldest_request(step)
            )
            self.assertEqual(3, self.questions.longest_queue_wait())
            self.set_advice_lanes(1)
            await asyncio.sleep(_SHORT)
            self.now += 2
            self.assertEqual(
                (5, AdviceRequestState.IN_FLIGHT, 2), self.oldest_request(step)
            )
            self.assertEqual(0, self.questions.longest_queue_wait())
            await self.answer(0, Advice({}, 1))
            await pending
            self.assertIsNone(self.oldest_request(step))
            self.assertEqual(3, self.sample('advice_line_seconds_sum'))
            self.assertEqual(2, self.sample('advice_call_seconds_sum'))

        self.run_async(scenario())

    def test_failed_call_returns_the_request_to_the_queue(self) -> None:
        async def scenario() -> None:
            step = make_step(StepSpec(1))
            self.set_advice_lanes(1)
            pending = await self.ask(step)
            await asyncio.sleep(_SHORT)
            self.now += 2
            # The lane is in backoff for 1 s of the event loop's clock.
            await self.answer(0, None)
            self.now += 4
            self.assertEqual(
                (6, AdviceRequestState.QUEUED, 4), self.oldest_request(step)
            )
            self.assertEqual(4, self.questions.longest_queue_wait())
            pending.cancel()
            await asyncio.gather(pending, return_exceptions=True)
            self.assertIsNone(self.oldest_request(step))
            self.assertEqual(1, self.sample('advice_call_seconds_count'))

        self.run_async(scenario())

    def test_hedged_call_counts_no_queue_wait(
        self,
    ) -> None:
        async def scenario() -> None:
            step = make_step(StepSpec(1))
            self.set_advice_lanes(2)
            pending = await self.ask(step)
            await asyncio.sleep(0.3)
            self.assertEqual(2, len(self.calls))
            self.now += 1
            self.assertEqual(
                (1, AdviceRequestState.IN_FLIGHT, 1), self.oldest_request(step)
            )
            await self.answer(1, Advice({}, 1))
            await pending
            self.assertIsNone(self.oldest_request(step))
            await self.answer(0, None)
            self.assertEqual(1, self.sample('advice_line_seconds_count'))
            self.assertEqual(2, self.sample('advice_call_seconds_count'))

        self.run_async(scenario())

    def test_oldest_request_of_a_step_is_returned(self) -> None:
        async def scenario() -> None:
            step = make_step(StepSpec(1))
            pending = [await self.ask(step)]
            self.now += 1
            pending.append(await self.ask(step))
            self.assertEqual(
                (1, AdviceRequestState.QUEUED, 1), self.oldest_request(step)
            )
            for one in pending:
                one.cancel()
            await asyncio.gather(*pending, return_exceptions=True)

        self.run_async(scenario())
