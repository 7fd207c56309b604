"""Tests of the choice of a peer for relayed calls to the store."""

from __future__ import annotations

from result import Ok

from orchidrail.instance.store_relays import StoreRelays
from orchidrail.peers.table import PeerTable
from orchidrail.store.relay import RawCall
from orchidrail.testing import AsyncTestCase
from orchidrail.types import Address, InstanceId, Seconds
from orchidrail.wire.messages import Message, PeerState, RelayAnswer
from orchidrail.work.model import MemberInfo

_ME = MemberInfo(InstanceId('me'), Address('me:1'), 'a', 'me-1')
_CALL = RawCall('GET', '/x')


class StoreRelaysTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.asked: list[str] = []
        self.table = PeerTable(_ME, lambda: self.now)
        self.relays = StoreRelays(self.table, self, lambda: self.now)  # type: ignore[arg-type]

    async def call(
        self,
        address: str,
        message: Message,
        timeout: Seconds,
    ) -> Ok[RelayAnswer]:
        """Act as a transport through which only the second peer succeeds."""
        self.asked.append(address)
        return Ok(RelayAnswer(200 if address == 'p-2:1' else 0, b'', True))

    def record_heartbeat(self, *names: str) -> None:
        for name in names:
            self.table.record_heartbeat(
                PeerState(
                    name=InstanceId(name),
                    address=Address(f'{name}:1'),
                    zone='b',
                    incarnation=f'{name}-1',
                    store_answers=True,
                )
            )

    def test_skips_a_peer_that_failed(self) -> None:
        self.record_heartbeat('p-1')
        self.assertFalse(self.run_async(self.relays.call(_CALL)).usable)
        self.record_heartbeat('p-2')
        for _ in range(8):
            self.assertTrue(self.run_async(self.relays.call(_CALL)).usable)
        self.assertEqual(1, self.asked.count('p-1:1'))

    def test_retries_when_all_peers_have_failed(self) -> None:
        self.record_heartbeat('p-1')
        self.run_async(self.relays.call(_CALL))
        self.run_async(self.relays.call(_CALL))
        self.assertEqual(['p-1:1', 'p-1:1'], self.asked)

    def test_without_peers_the_call_cannot_have_arrived(self) -> None:
        answer = self.run_async(self.relays.call(_CALL))
        self.assertFalse(answer.reached)
