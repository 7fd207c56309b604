"""Tests of the dispatch of advice requests to lanes."""

from __future__ import annotations

import asyncio
import time

from orchidrail.shard.advice_dispatcher import AdviceDispatcher
from orchidrail.shard.advice_queue import AdviceRequest
from orchidrail.testing import AsyncTestCase
from orchidrail.types import InstanceId, Seconds, WorkerId
from orchidrail.workers.port import Advice

_LONG = 0.7
_SHORT = 0.01


class AdviceDispatcherTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.calls: list[tuple[InstanceId, str]] = []
        self.replies: dict[str, asyncio.Future[Advice | None]] = {}

    async def _ask(
        self,
        lane: InstanceId,
        step_key: str,
        workers: list[WorkerId],
        timeout: Seconds,
    ) -> Advice | None:
        self.calls.append((lane, step_key))
        self.replies[step_key] = asyncio.get_running_loop().create_future()
        return await self.replies[step_key]

    def _make_dispatcher(self, lanes: int) -> AdviceDispatcher:
        dispatcher = AdviceDispatcher(self._ask, time.monotonic)
        dispatcher.set_advice_lanes(
            [InstanceId(f'lane-{number}') for number in range(lanes)]
        )
        return dispatcher

    async def _request(
        self,
        dispatcher: AdviceDispatcher,
        key: str,
        duration: Seconds,
        rank: float = 1,
    ) -> asyncio.Task[Advice | None]:
        request = AdviceRequest(key, [], duration, (rank,))
        pending = asyncio.create_task(dispatcher.ask(request))
        await asyncio.sleep(0.01)
        return pending

    def test_lane_has_one_call_in_flight_and_serves_most_urgent_next(
        self,
    ) -> None:
        async def scenario() -> None:
            dispatcher = self._make_dispatcher(1)
            await self._request(dispatcher, 'first', _SHORT)
            await self._request(dispatcher, 'later', _SHORT, rank=2)
            await self._request(dispatcher, 'urgent', _SHORT, rank=0)
            self.assertEqual(1, len(self.calls))
            self.replies['first'].set_result(Advice({}, 1))
            await asyncio.sleep(0.01)
            self.assertEqual('urgent', self.calls[-1][1])
            dispatcher.close()

        self.run_async(scenario())

    def test_request_queued_for_too_long_goes_first(self) -> None:
        """Overdue work is the least urgent, and other requests keep coming."""

        async def scenario() -> None:
            now: Seconds = 0
            dispatcher = AdviceDispatcher(self._ask, lambda: now)
            dispatcher.set_advice_lanes([InstanceId('lane')])
            await self._request(dispatcher, 'first', _SHORT)
            await self._request(dispatcher, 'late', _SHORT, rank=9)
            now = 1.5
            await self._request(dispatcher, 'urgent', _SHORT, rank=0)
            self.replies['first'].set_result(Advice({}, 1))
            await asyncio.sleep(0.01)
            self.assertEqual('late', self.calls[-1][1])
            dispatcher.close()

        self.run_async(scenario())

    def test_long_calls_leave_a_lane_for_short_calls(self) -> None:
        async def scenario() -> None:
            dispatcher = self._make_dispatcher(3)
            for key in ('a', 'b', 'c'):
                await self._request(dispatcher, key, _LONG)
            await self._request(dispatcher, 'quick', _SHORT)
            self.assertIn('quick', [key for _, key in self.calls])
            self.assertNotIn('c', [key for _, key in self.calls])
            dispatcher.close()

        self.run_async(scenario())

    def test_overdue_long_call_takes_a_lane_reserved_for_short_calls(
        self,
    ) -> None:
        """Guards against a lane idle while long requests are overdue."""

        async def scenario() -> None:
            now: Seconds = 0
            dispatcher = AdviceDispatcher(self._ask, lambda: now)
            dispatcher.set_advice_lanes(
                [InstanceId('lane-1'), InstanceId('lane-2')]
            )
            for key in ('a', 'b', 'c'):
                await self._request(dispatcher, key, _LONG)
            self.assertEqual(['a'], [key for _, key in self.calls])
            now = 1.5
            await self._request(dispatcher, 'd', _LONG)
            self.assertEqual(['a', 'b'], [key for _, key in self.calls])
            dispatcher.close()

        self.run_async(scenario())

    def test_short_calls_do_not_starve_long_calls_on_a_single_lane(
        self,
    ) -> None:
        """Guards against long calls starved by a steady flow of short ones."""

        async def scenario() -> None:
            now: Seconds = 0
            dispatcher = AdviceDispatcher(self._ask, lambda: now)
            dispatcher.set_advice_lanes([InstanceId('lane')])
            await self._request(dispatcher, 'first', _SHORT)
            await self._request(dispatcher, 'long', _LONG)
            now = 1.5
            await self._request(dispatcher, 'second', _SHORT)
            self.replies['first'].set_result(Advice({}, 1))
            await asyncio.sleep(0.01)
            self.assertEqual('long', self.calls[-1][1])
            dispatcher.close()

        self.run_async(scenario())

    def test_failed_call_is_retried_on_another_lane(self) -> None:
        async def scenario() -> None:
            dispatcher = self._make_dispatcher(2)
            pending = await self._request(dispatcher, 'a', _SHORT)
            self.replies['a'].set_result(None)
            await asyncio.sleep(0.02)
            lanes = {lane for lane, _ in self.calls}
            self.assertEqual(2, len(lanes))
            self.replies['a'].set_result(Advice({WorkerId('w'): 't'}, 1))
            advice = await pending
            assert advice is not None
            self.assertEqual({'w': 't'}, advice.ticket_by_worker)
            dispatcher.close()

        self.run_async(scenario())

    def test_lanes_are_reserved_for_the_peak_of_short_calls(
        self,
    ) -> None:
        """A burst of urgent tasks beside wide steps with long calls."""

        async def scenario() -> None:
            dispatcher = self._make_dispatcher(10)
            for number in range(3):
                await self._request(dispatcher, f'short-{number}', _SHORT)
            for number in range(3):
                self.replies[f'short-{number}'].set_result(Advice({}, 1))
            for number in range(10):
                await self._request(dispatcher, f'long-{number}', _LONG)
            calls = [key for _, key in self.calls if key.startswith('long')]
            self.assertEqual(7, len(calls))
            dispatcher.close()

        self.run_async(scenario())

    def test_long_calls_use_all_lanes_but_one_without_short_calls(self) -> None:
        """There are more long requests than lanes, and no short ones."""

        async def scenario() -> None:
            dispatcher = self._make_dispatcher(10)
            for number in range(20):
                await self._request(dispatcher, f'long-{number}', _LONG)
            self.assertEqual(9, len(self.calls))
            dispatcher.close()

        self.run_async(scenario())

    def test_more_urgent_requests_do_not_starve_a_request(self) -> None:
        """There are more requests than lanes, and more urgent ones arrive."""

        async def scenario() -> None:
            dispatcher = self._make_dispatcher(1)
            await self._request(dispatcher, 'first', _SHORT)
            await self._request(dispatcher, 'late', _SHORT, rank=9)
            for number in range(8):
                await self._request(
                    dispatcher, f'urgent-{number}', _SHORT, rank=0
                )
            for _ in range(5):
                self.replies[self.calls[-1][1]].set_result(Advice({}, 1))
                await asyncio.sleep(0.01)
            self.assertIn('late', [key for _, key in self.calls])
            self.assertEqual('urgent-0', self.calls[1][1])
            dispatcher.close()

        self.run_async(scenario())

    def test_request_no_longer_needed_takes_no_lane(self) -> None:
        async def scenario() -> None:
            dispatcher = self._make_dispatcher(1)
            await self._request(dispatcher, 'first', _SHORT)
            needed = [True]
            request = AdviceRequest('done', [], _SHORT, (1,), lambda: needed[0])
            pending = asyncio.create_task(dispatcher.ask(request))
            await asyncio.sleep(0.01)
            needed[0] = False
            self.replies['first'].set_result(Advice({}, 1))
            self.assertIsNone(await asyncio.wait_for(pending, 1))
            self.assertEqual(1, len(self.calls))
            dispatcher.close()

        self.run_async(scenario())

    def test_slow_call_is_hedged_through_another_lane(self) -> None:
        """One lane has stopped responding, the other one works."""

        async def scenario() -> None:
            dispatcher = self._make_dispatcher(2)
            pending = await self._request(dispatcher, 'urgent', _SHORT)
            slow_call = self.replies['urgent']
            await asyncio.sleep(0.3)
            self.assertEqual(2, len(self.calls))
            self.assertEqual(2, len({lane for lane, _ in self.calls}))
            advice = Advice({}, 1)
            self.replies['urgent'].set_result(advice)
            self.assertEqual(advice, await asyncio.wait_for(pending, 0.1))
            slow_call.set_result(None)
            await asyncio.sleep(0.01)
            self.assertEqual(2, len(self.calls))
            dispatcher.close()

        self.run_async(scenario())

    def test_failed_call_waits_for_its_hedged_call(self) -> None:
        async def scenario() -> None:
            dispatcher = self._make_dispatcher(2)
            pending = await self._request(dispatcher, 'urgent', _SHORT)
            slow_call = self.replies['urgent']
            await asyncio.sleep(0.3)
            slow_call.set_result(None)
            await asyncio.sleep(0.01)
            self.assertFalse(pending.done())
            advice = Advice({}, 1)
            self.replies['urgent'].set_result(advice)
            self.assertEqual(advice, await asyncio.wait_for(pending, 0.1))
            dispatcher.close()

        self.run_async(scenario())
