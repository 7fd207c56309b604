"""Tests of how questions are spread over the lanes."""

from __future__ import annotations

import asyncio
import time

from orchidrail.shard.advice_dispatcher import AdviceDispatcher
from orchidrail.shard.advice_queue import Question
from orchidrail.testing import AsyncTestCase
from orchidrail.types import InstanceId, Seconds, WorkerId
from orchidrail.workers.port import Advice

_LONG = 0.7
_SHORT = 0.01


class AdviceDeskTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.asked: list[tuple[InstanceId, str]] = []
        self.answers: dict[str, asyncio.Future[Advice | None]] = {}

    async def _ask(
        self,
        lane: InstanceId,
        step_key: str,
        workers: list[WorkerId],
        timeout: Seconds,
    ) -> Advice | None:
        self.asked.append((lane, step_key))
        self.answers[step_key] = asyncio.get_running_loop().create_future()
        return await self.answers[step_key]

    def _dispatcher(self, lanes: int) -> AdviceDispatcher:
        dispatcher = AdviceDispatcher(self._ask, time.monotonic)
        dispatcher.set_advice_lanes(
            [InstanceId(f'lane-{number}') for number in range(lanes)]
        )
        return dispatcher

    async def _put(
        self,
        dispatcher: AdviceDispatcher,
        key: str,
        duration: Seconds,
        rank: float = 1,
    ) -> asyncio.Task[Advice | None]:
        question = Question(key, [], duration, (rank,))
        asking = asyncio.create_task(dispatcher.ask(question))
        await asyncio.sleep(0.01)
        return asking

    def test_one_call_at_a_time_in_a_lane_most_urgent_next(self) -> None:
        async def scenario() -> None:
            dispatcher = self._dispatcher(1)
            await self._put(dispatcher, 'first', _SHORT)
            await self._put(dispatcher, 'later', _SHORT, rank=2)
            await self._put(dispatcher, 'urgent', _SHORT, rank=0)
            self.assertEqual(1, len(self.asked))
            self.answers['first'].set_result(Advice({}, 1))
            await asyncio.sleep(0.01)
            self.assertEqual('urgent', self.asked[-1][1])
            dispatcher.close()

        self.run_async(scenario())

    def test_a_question_that_has_waited_for_long_goes_first(self) -> None:
        """Late work is the least pressing, and others keep coming."""

        async def scenario() -> None:
            now: Seconds = 0
            dispatcher = AdviceDispatcher(self._ask, lambda: now)
            dispatcher.set_advice_lanes([InstanceId('lane')])
            await self._put(dispatcher, 'first', _SHORT)
            await self._put(dispatcher, 'late', _SHORT, rank=9)
            now = 1.5
            await self._put(dispatcher, 'urgent', _SHORT, rank=0)
            self.answers['first'].set_result(Advice({}, 1))
            await asyncio.sleep(0.01)
            self.assertEqual('late', self.asked[-1][1])
            dispatcher.close()

        self.run_async(scenario())

    def test_long_calls_leave_a_lane_for_short_ones(self) -> None:
        async def scenario() -> None:
            dispatcher = self._dispatcher(3)
            for key in ('a', 'b', 'c'):
                await self._put(dispatcher, key, _LONG)
            await self._put(dispatcher, 'quick', _SHORT)
            self.assertIn('quick', [key for _, key in self.asked])
            self.assertNotIn('c', [key for _, key in self.asked])
            dispatcher.close()

        self.run_async(scenario())

    def test_a_long_call_that_is_late_takes_a_lane_kept_for_short_ones(
        self,
    ) -> None:
        """Guards against one of two lanes standing idle beside late calls."""

        async def scenario() -> None:
            now: Seconds = 0
            dispatcher = AdviceDispatcher(self._ask, lambda: now)
            dispatcher.set_advice_lanes(
                [InstanceId('lane-1'), InstanceId('lane-2')]
            )
            for key in ('a', 'b', 'c'):
                await self._put(dispatcher, key, _LONG)
            self.assertEqual(['a'], [key for _, key in self.asked])
            now = 1.5
            await self._put(dispatcher, 'd', _LONG)
            self.assertEqual(['a', 'b'], [key for _, key in self.asked])
            dispatcher.close()

        self.run_async(scenario())

    def test_short_calls_do_not_keep_the_only_lane_from_long_ones(
        self,
    ) -> None:
        """Guards against long calls that wait while short ones come."""

        async def scenario() -> None:
            now: Seconds = 0
            dispatcher = AdviceDispatcher(self._ask, lambda: now)
            dispatcher.set_advice_lanes([InstanceId('lane')])
            await self._put(dispatcher, 'first', _SHORT)
            await self._put(dispatcher, 'long', _LONG)
            now = 1.5
            await self._put(dispatcher, 'second', _SHORT)
            self.answers['first'].set_result(Advice({}, 1))
            await asyncio.sleep(0.01)
            self.assertEqual('long', self.asked[-1][1])
            dispatcher.close()

        self.run_async(scenario())

    def test_a_question_without_answer_goes_to_another_lane(self) -> None:
        async def scenario() -> None:
            dispatcher = self._dispatcher(2)
            asking = await self._put(dispatcher, 'a', _SHORT)
            self.answers['a'].set_result(None)
            await asyncio.sleep(0.02)
            lanes = {lane for lane, _ in self.asked}
            self.assertEqual(2, len(lanes))
            self.answers['a'].set_result(Advice({WorkerId('w'): 't'}, 1))
            advice = await asking
            assert advice is not None
            self.assertEqual({'w': 't'}, advice.ticket_by_worker)
            dispatcher.close()

        self.run_async(scenario())

    def test_short_calls_come_first_to_as_many_lanes_as_they_need(
        self,
    ) -> None:
        """A burst of urgent tasks beside wide steps with long questions."""

        async def scenario() -> None:
            dispatcher = self._dispatcher(10)
            for number in range(3):
                await self._put(dispatcher, f'short-{number}', _SHORT)
            for number in range(3):
                self.answers[f'short-{number}'].set_result(Advice({}, 1))
            for number in range(10):
                await self._put(dispatcher, f'long-{number}', _LONG)
            asked = [key for _, key in self.asked if key.startswith('long')]
            self.assertEqual(7, len(asked))
            dispatcher.close()

        self.run_async(scenario())

    def test_lanes_that_no_short_call_needs_are_used(self) -> None:
        """More long questions than lanes, and hardly any short ones."""

        async def scenario() -> None:
            dispatcher = self._dispatcher(10)
            for number in range(20):
                await self._put(dispatcher, f'long-{number}', _LONG)
            self.assertEqual(9, len(self.asked))
            dispatcher.close()

        self.run_async(scenario())

    def test_a_question_is_not_put_off_for_good(self) -> None:
        """More questions than lanes, and more pressing ones keep coming."""

        async def scenario() -> None:
            dispatcher = self._dispatcher(1)
            await self._put(dispatcher, 'first', _SHORT)
            await self._put(dispatcher, 'late', _SHORT, rank=9)
            for number in range(8):
                await self._put(dispatcher, f'urgent-{number}', _SHORT, rank=0)
            for _ in range(5):
                self.answers[self.asked[-1][1]].set_result(Advice({}, 1))
                await asyncio.sleep(0.01)
            self.assertIn('late', [key for _, key in self.asked])
            self.assertEqual('urgent-0', self.asked[1][1])
            dispatcher.close()

        self.run_async(scenario())

    def test_a_question_that_is_no_longer_needed_takes_no_lane(self) -> None:
        async def scenario() -> None:
            dispatcher = self._dispatcher(1)
            await self._put(dispatcher, 'first', _SHORT)
            needed = [True]
            question = Question('done', [], _SHORT, (1,), lambda: needed[0])
            asking = asyncio.create_task(dispatcher.ask(question))
            await asyncio.sleep(0.01)
            needed[0] = False
            self.answers['first'].set_result(Advice({}, 1))
            self.assertIsNone(await asyncio.wait_for(asking, 1))
            self.assertEqual(1, len(self.asked))
            dispatcher.close()

        self.run_async(scenario())

    def test_a_call_that_is_late_is_made_by_another_lane_too(self) -> None:
        """The connection to a lane went silent for good; others work."""

        async def scenario() -> None:
            dispatcher = self._dispatcher(2)
            asking = await self._put(dispatcher, 'urgent', _SHORT)
            silent = self.answers['urgent']
            await asyncio.sleep(0.3)
            self.assertEqual(2, len(self.asked))
            self.assertEqual(2, len({lane for lane, _ in self.asked}))
            given = Advice({}, 1)
            self.answers['urgent'].set_result(given)
            self.assertEqual(given, await asyncio.wait_for(asking, 0.1))
            silent.set_result(None)
            await asyncio.sleep(0.01)
            self.assertEqual(2, len(self.asked))
            dispatcher.close()

        self.run_async(scenario())

    def test_a_call_that_fails_beside_another_waits_for_that(self) -> None:
        async def scenario() -> None:
            dispatcher = self._dispatcher(2)
            asking = await self._put(dispatcher, 'urgent', _SHORT)
            silent = self.answers['urgent']
            await asyncio.sleep(0.3)
            silent.set_result(None)
            await asyncio.sleep(0.01)
            self.assertFalse(asking.done())
            given = Advice({}, 1)
            self.answers['urgent'].set_result(given)
            self.assertEqual(given, await asyncio.wait_for(asking, 0.1))
            dispatcher.close()

        self.run_async(scenario())
