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
#: Bandwidths of links, bytes a second: 5 and 100 Mbit/s.
_THIN_LINK, _WIDE_LINK = 625e3, 12.5e6


class StoreRelaysTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.asked: list[str] = []
        self.timeouts: list[Seconds] = []
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
        self.timeouts.append(timeout)
        return Ok(RelayAnswer(200 if address == 'p-2:1' else 0, b'', True))

    def record_heartbeat(self, *names: str, link: float = 0) -> None:
        for name in names:
            self.table.record_heartbeat(
                PeerState(
                    name=InstanceId(name),
                    address=Address(f'{name}:1'),
                    zone='b',
                    incarnation=f'{name}-1',
                    store_answers=True,
                    link=link,
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

    def test_a_large_append_goes_over_the_widest_link(self) -> None:
        """Guards against a journal that stalls behind thin links.

        An owner that is cut off from the store relays its appends. Over a link
        of 5 Mbit/s an append of 500 kB takes longer than its timeout, so the
        records pile up while workers are free.
        """
        self.record_heartbeat('p-1', 'p-3', 'p-4', link=_THIN_LINK)
        self.record_heartbeat('p-2', link=_WIDE_LINK)
        append = RawCall('POST', '/x', bytes(500_000))
        for _ in range(8):
            self.assertTrue(self.run_async(self.relays.call(append)).usable)
        self.assertEqual({'p-2:1'}, set(self.asked))

    def test_small_calls_spread_over_all_peers(self) -> None:
        """Guards against relayed polls that all load the strongest peer."""
        self.record_heartbeat('p-1', link=_THIN_LINK)
        self.record_heartbeat('p-2', link=_WIDE_LINK)
        for _ in range(64):
            self.run_async(self.relays.call(_CALL))
            self.now += 2
            self.record_heartbeat('p-1', link=_THIN_LINK)
            self.record_heartbeat('p-2', link=_WIDE_LINK)
        self.assertEqual({'p-1:1', 'p-2:1'}, set(self.asked))

    def test_a_thin_link_is_given_time_for_a_large_append(self) -> None:
        """Guards against timeouts that a thin link can never meet."""
        self.record_heartbeat('p-2', link=_THIN_LINK)
        append = RawCall('POST', '/x', bytes(int(_THIN_LINK)))
        self.run_async(self.relays.call(append))
        self.assertGreater(self.timeouts[-1], 1)
