"""Tests of calls relayed by a peer."""

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
        self.routes: list[str] = []
        self.caller = RelayedCaller(
            self._call_directly,
            self._call_relay,
            lambda: self.now,
            lambda route, status: None,
        )

    async def _call_directly(self, call: RawCall) -> RawAnswer:
        self.routes.append('direct')
        return self.direct

    async def _call_relay(self, call: RawCall) -> RawAnswer:
        self.routes.append('relay')
        return self.relayed

    def call(self) -> RawAnswer:
        return self.run_async(self.caller(_CALL))

    def test_calls_directly_while_that_works(self) -> None:
        self.assertEqual(_OK, self.call().status)
        self.assertEqual(['direct'], self.routes)

    def test_calls_through_a_peer_when_rejected(self) -> None:
        self.direct = RawAnswer(_BUSY)
        self.assertEqual(b'relayed', self.call().body)
        self.assertEqual(b'relayed', self.call().body)
        self.assertEqual(['direct', 'relay', 'relay'], self.routes)
        self.now += 1
        self.direct = RawAnswer(_OK)
        self.assertEqual(b'', self.call().body)

    def test_relays_are_avoided_for_a_while_after_they_failed(self) -> None:
        self.direct = RawAnswer(_BUSY)
        self.relayed = RawAnswer(_BUSY)
        self.call()
        self.call()
        self.routes.clear()
        self.call()
        self.assertEqual(['direct'], self.routes)

    def test_each_call_is_tried_by_some_route(self) -> None:
        self.direct = RawAnswer(_BUSY)
        self.call()
        self.relayed = RawAnswer(0)
        for _ in range(4):
            self.routes.clear()
            self.call()
            self.assertIn('direct', self.routes)

    def test_one_failed_relay_does_not_stop_relaying(self) -> None:
        self.direct = RawAnswer(0)
        self.relayed = RawAnswer(0)
        self.call()
        self.relayed = RawAnswer(_OK, b'relayed')
        self.assertEqual(b'relayed', self.call().body)

    def test_a_write_is_hedged_by_a_peer_if_direct_calls_hang(self) -> None:
        async def hang(call: RawCall) -> RawAnswer:
            await asyncio.sleep(1)
            return RawAnswer(0)

        async def run_scenario() -> None:
            answer = await asyncio.wait_for(caller(RawCall('POST', '/x')), 0.5)
            self.assertEqual(b'relayed', answer.body)

        caller = RelayedCaller(
            hang,
            self._call_relay,
            lambda: self.now,
            lambda route, status: None,
        )
        self.run_async(run_scenario())

    def test_a_write_without_a_response_is_repeated_in_parallel(self) -> None:
        async def run_scenario() -> None:
            await caller(_CALL)
            await caller(_CALL)
            self.routes.clear()
            answer = await asyncio.wait_for(caller(RawCall('POST', '/x')), 0.6)
            self.assertEqual(_OK, answer.status)
            self.assertEqual(['direct', 'direct', 'direct'], self.routes)

        async def hang_on_first_calls(call: RawCall) -> RawAnswer:
            self.routes.append('direct')
            if call.method == 'POST' and len(self.routes) > 2:
                return RawAnswer(_OK)
            await asyncio.sleep(0 if call.method == 'GET' else 1)
            return RawAnswer(0)

        self.relayed = RawAnswer(0)
        caller = RelayedCaller(
            hang_on_first_calls,
            self._call_relay,
            lambda: self.now,
            lambda route, status: None,
        )
        self.run_async(run_scenario())

    def test_recovery_of_the_store_is_detected_at_the_next_call(self) -> None:
        self.direct = RawAnswer(0)
        self.relayed = RawAnswer(0)
        self.call()
        self.direct = RawAnswer(_OK)
        self.assertEqual(_OK, self.call().status)

    def test_no_call_waits_for_an_unresponsive_direct_route(self) -> None:
        self.direct = RawAnswer(0)
        self.call()
        self.routes.clear()
        self.now += 1
        post = RawCall('POST', '/x')
        self.run_async(self.caller(post))
        self.assertEqual(['relay'], self.routes)
        self.assertFalse(self.caller.direct_route_works())

    def test_an_unresponsive_direct_route_is_probed_by_a_read(self) -> None:
        async def run_scenario() -> None:
            await self.caller(_CALL)
            self.now += 1
            self.direct = RawAnswer(_OK)
            self.assertEqual(b'relayed', (await self.caller(_CALL)).body)
            await asyncio.sleep(0)
            self.assertEqual(b'', (await self.caller(_CALL)).body)
            self.assertTrue(self.caller.direct_route_works())

        self.direct = RawAnswer(0)
        self.run_async(run_scenario())

    def test_a_call_that_may_have_arrived_stays_uncertain(self) -> None:
        self.direct = RawAnswer(0, reached=True)
        self.relayed = RawAnswer(0, reached=False)
        self.assertTrue(self.call().reached)

    def test_a_relayed_call_without_a_response_stays_uncertain(self) -> None:
        self.direct = RawAnswer(0)
        self.call()
        self.direct = RawAnswer(0, reached=False)
        self.relayed = RawAnswer(0, reached=True)
        self.now += 1
        self.assertTrue(self.call().reached)

    def test_a_rejected_relay_does_not_settle_a_missing_response(self) -> None:
        self.direct = RawAnswer(0, reached=True)
        self.relayed = RawAnswer(_BUSY)
        self.assertEqual(0, self.call().status)

    def test_an_error_status_from_the_store_is_returned(self) -> None:
        self.direct = RawAnswer(412)
        self.assertEqual(412, self.call().status)
        self.assertEqual(['direct'], self.routes)

    def test_a_write_is_hedged_on_a_new_connection(self) -> None:
        """No open connection responds, nor does the one to the peer."""

        async def direct(call: RawCall) -> RawAnswer:
            if call.new_connection:
                return RawAnswer(_OK, b'fresh')
            await asyncio.sleep(call.timeout)
            return RawAnswer(0)

        async def relay(call: RawCall) -> RawAnswer:
            await asyncio.sleep(call.timeout)
            return RawAnswer(0)

        async def run_scenario() -> tuple[RawAnswer, float]:
            loop = asyncio.get_running_loop()
            caller = RelayedCaller(direct, relay, loop.time, lambda *_: None)
            started_at = loop.time()
            answer = await caller(RawCall('POST', '/x'))
            return answer, loop.time() - started_at

        answer, latency = self.run_async(run_scenario())
        self.assertEqual(b'fresh', answer.body)
        self.assertLess(latency, 0.3)

    def test_writes_to_a_slow_store_are_not_always_hedged(self) -> None:
        calls: list[str] = []

        async def direct(call: RawCall) -> RawAnswer:
            calls.append('direct')
            await asyncio.sleep(0.2)
            return RawAnswer(_OK)

        async def relay(call: RawCall) -> RawAnswer:
            calls.append('relay')
            await asyncio.sleep(0.2)
            return RawAnswer(_OK)

        async def run_scenario() -> None:
            loop = asyncio.get_running_loop()
            caller = RelayedCaller(direct, relay, loop.time, lambda *_: None)
            for _ in range(4):
                await caller(RawCall('POST', '/x'))

        self.run_async(run_scenario())
        self.assertLessEqual(calls.count('relay'), 3)
        self.assertEqual('direct', calls[-1])
