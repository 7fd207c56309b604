"""Tests of calls that go through a peer."""

from __future__ import annotations

import asyncio

from orchidrail.store.relay import RawAnswer, RawCall, RelayedCaller
from orchidrail.testing import AsyncTestCase

_CALL = RawCall('GET', '/x')
_OK = 200
_BUSY = 503


class RelayTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.direct = RawAnswer(_OK)
        self.relayed = RawAnswer(_OK, b'relayed')
        self.ways: list[str] = []
        self.caller = RelayedCaller(
            self._call_directly,
            self._call_relay,
            lambda: self.now,
            lambda way, status: None,
        )

    async def _call_directly(self, call: RawCall) -> RawAnswer:
        self.ways.append('direct')
        return self.direct

    async def _call_relay(self, call: RawCall) -> RawAnswer:
        self.ways.append('relay')
        return self.relayed

    def call(self) -> RawAnswer:
        return self.run_async(self.caller(_CALL))

    def test_goes_directly_while_that_works(self) -> None:
        self.assertEqual(_OK, self.call().status)
        self.assertEqual(['direct'], self.ways)

    def test_goes_through_a_peer_when_turned_away(self) -> None:
        self.direct = RawAnswer(_BUSY)
        self.assertEqual(b'relayed', self.call().body)
        self.assertEqual(b'relayed', self.call().body)
        self.assertEqual(['direct', 'relay', 'relay'], self.ways)
        self.now += 1
        self.direct = RawAnswer(_OK)
        self.assertEqual(b'', self.call().body)

    def test_asks_no_peer_for_a_while_when_none_can_help(self) -> None:
        self.direct = RawAnswer(_BUSY)
        self.relayed = RawAnswer(_BUSY)
        self.call()
        self.call()
        self.ways.clear()
        self.call()
        self.assertEqual(['direct'], self.ways)

    def test_each_call_is_tried_by_some_way(self) -> None:
        self.direct = RawAnswer(_BUSY)
        self.call()
        self.relayed = RawAnswer(0)
        for _ in range(4):
            self.ways.clear()
            self.call()
            self.assertIn('direct', self.ways)

    def test_one_peer_that_fails_does_not_end_the_help_of_others(self) -> None:
        self.direct = RawAnswer(0)
        self.relayed = RawAnswer(0)
        self.call()
        self.relayed = RawAnswer(_OK, b'relayed')
        self.assertEqual(b'relayed', self.call().body)

    def test_a_peer_is_asked_beside_a_way_that_is_silent(self) -> None:
        async def hang(call: RawCall) -> RawAnswer:
            await asyncio.sleep(1)
            return RawAnswer(0)

        async def scene() -> None:
            answer = await asyncio.wait_for(caller(RawCall('POST', '/x')), 0.5)
            self.assertEqual(b'relayed', answer.body)

        caller = RelayedCaller(
            hang,
            self._call_relay,
            lambda: self.now,
            lambda way, status: None,
        )
        self.run_async(scene())

    def test_a_write_is_tried_again_beside_one_without_answer(self) -> None:
        async def scene() -> None:
            await caller(_CALL)
            await caller(_CALL)
            self.ways.clear()
            answer = await asyncio.wait_for(caller(RawCall('POST', '/x')), 0.6)
            self.assertEqual(_OK, answer.status)
            self.assertEqual(['direct', 'direct', 'direct'], self.ways)

        async def hang_twice(call: RawCall) -> RawAnswer:
            self.ways.append('direct')
            if call.method == 'POST' and len(self.ways) > 2:
                return RawAnswer(_OK)
            await asyncio.sleep(0 if call.method == 'GET' else 1)
            return RawAnswer(0)

        self.relayed = RawAnswer(0)
        caller = RelayedCaller(
            hang_twice,
            self._call_relay,
            lambda: self.now,
            lambda way, status: None,
        )
        self.run_async(scene())

    def test_the_return_of_the_store_is_noticed_at_the_next_call(self) -> None:
        self.direct = RawAnswer(0)
        self.relayed = RawAnswer(0)
        self.call()
        self.direct = RawAnswer(_OK)
        self.assertEqual(_OK, self.call().status)

    def test_no_call_waits_for_a_direct_way_that_is_silent(self) -> None:
        self.direct = RawAnswer(0)
        self.call()
        self.ways.clear()
        self.now += 1
        post = RawCall('POST', '/x')
        self.run_async(self.caller(post))
        self.assertEqual(['relay'], self.ways)
        self.assertFalse(self.caller.direct_route_works())

    def test_a_silent_direct_way_is_tried_beside_a_read(self) -> None:
        async def scene() -> None:
            await self.caller(_CALL)
            self.now += 1
            self.direct = RawAnswer(_OK)
            self.assertEqual(b'relayed', (await self.caller(_CALL)).body)
            await asyncio.sleep(0)
            self.assertEqual(b'', (await self.caller(_CALL)).body)
            self.assertTrue(self.caller.direct_route_works())

        self.direct = RawAnswer(0)
        self.run_async(scene())

    def test_a_call_that_may_have_got_through_stays_uncertain(self) -> None:
        self.direct = RawAnswer(0, reached=True)
        self.relayed = RawAnswer(0, reached=False)
        self.assertTrue(self.call().reached)

    def test_a_silent_way_beside_a_relay_stays_uncertain_too(self) -> None:
        self.direct = RawAnswer(0)
        self.call()
        self.direct = RawAnswer(0, reached=False)
        self.relayed = RawAnswer(0, reached=True)
        self.now += 1
        self.assertTrue(self.call().reached)

    def test_a_refusal_by_a_peer_does_not_make_a_silence_certain(self) -> None:
        self.direct = RawAnswer(0, reached=True)
        self.relayed = RawAnswer(_BUSY)
        self.assertEqual(0, self.call().status)

    def test_an_error_of_the_call_itself_is_passed_on(self) -> None:
        self.direct = RawAnswer(412)
        self.assertEqual(412, self.call().status)
        self.assertEqual(['direct'], self.ways)

    def test_a_write_goes_by_a_new_connection_beside_silent_ones(self) -> None:
        """All open connections are silent, also the one to the peer."""

        async def direct(call: RawCall) -> RawAnswer:
            if call.new_connection:
                return RawAnswer(_OK, b'fresh')
            await asyncio.sleep(call.timeout)
            return RawAnswer(0)

        async def relay(call: RawCall) -> RawAnswer:
            await asyncio.sleep(call.timeout)
            return RawAnswer(0)

        async def scene() -> tuple[RawAnswer, float]:
            loop = asyncio.get_running_loop()
            caller = RelayedCaller(direct, relay, loop.time, lambda *_: None)
            began = loop.time()
            answer = await caller(RawCall('POST', '/x'))
            return answer, loop.time() - began

        answer, took = self.run_async(scene())
        self.assertEqual(b'fresh', answer.body)
        self.assertLess(took, 0.3)

    def test_a_slow_store_is_not_called_twice_for_each_write(self) -> None:
        calls: list[str] = []

        async def direct(call: RawCall) -> RawAnswer:
            calls.append('direct')
            await asyncio.sleep(0.2)
            return RawAnswer(_OK)

        async def relay(call: RawCall) -> RawAnswer:
            calls.append('relay')
            await asyncio.sleep(0.2)
            return RawAnswer(_OK)

        async def scene() -> None:
            loop = asyncio.get_running_loop()
            caller = RelayedCaller(direct, relay, loop.time, lambda *_: None)
            for _ in range(4):
                await caller(RawCall('POST', '/x'))

        self.run_async(scene())
        self.assertLessEqual(calls.count('relay'), 3)
        self.assertEqual('direct', calls[-1])
