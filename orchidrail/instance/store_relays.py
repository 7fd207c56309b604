"""Relays calls to the store through peers that can reach it."""

from __future__ import annotations

import random
from collections.abc import Callable

from result import Ok

from orchidrail.peers.table import PeerTable
from orchidrail.store.relay import DIRECT_TIMEOUT, RawAnswer, RawCall
from orchidrail.types import InstanceId, Seconds
from orchidrail.wire.messages import RelayAnswer, RelayCall
from orchidrail.wire.transport import TcpTransport
from orchidrail.work.model import MemberInfo

#: Time that a relayed call may take beyond its own timeout.
RELAY_SLACK: Seconds = 0.1
#: The same for a read, whose reply may be long and the link slow.
_READ_SLACK: Seconds = 1.5
#: Time for which a peer whose relay failed is skipped: the store reachability
#: that it reported may be 1.5 s old.
_SKIP_FAILED_FOR: Seconds = 1.5
#: Longer transfer time of a call's body over one peer's link than over another
#: one's that still counts as equal: half of what an append takes.
_EQUAL_TRANSFER: Seconds = 0.004


class StoreRelays:
    """Chooses a peer for each relayed call.

    A shard owner that can't reach the store sends all of its appends through
    peers, up to hundreds of kilobytes each under load. Links differ by a factor
    of 20, and over a thin one such an append times out, so that the next one is
    larger still. Therefore the peers with the shortest transfer time are
    preferred; calls with a small body spread over all peers.

    Parameters
    ----------
    table : PeerTable
    transport : TcpTransport
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        table: PeerTable,
        transport: TcpTransport,
        clock: Callable[[], Seconds],
    ) -> None:
        """Start without failed peers."""
        self._table = table
        self._transport = transport
        self._clock = clock
        self._failed_at_by_peer: dict[InstanceId, Seconds] = {}

    async def call(self, call: RawCall) -> RawAnswer:
        """Relay a call through a peer that reaches the store."""
        peer = self._choose_peer(len(call.body))
        if peer is None:
            return RawAnswer(0, b'no peer', reached=False)
        answer = await self._relay(peer, call)
        if not answer.usable:
            self._failed_at_by_peer[peer.name] = self._clock()
        return answer

    def _choose_peer(self, body_bytes: int) -> MemberInfo | None:
        candidates = self._table.live_peers_with_store()
        skip_failed_after = self._clock() - _SKIP_FAILED_FOR
        not_failed = [
            peer
            for peer in candidates
            if self._failed_at_by_peer.get(peer.name, skip_failed_after)
            <= skip_failed_after
        ]
        if not candidates:
            return None
        return random.choice(_fastest(not_failed or candidates, body_bytes))

    async def _relay(
        self,
        peer: MemberInfo,
        call: RawCall,
    ) -> RawAnswer:
        call_timeout = min(call.timeout, DIRECT_TIMEOUT + call.max_hold)
        slack = _READ_SLACK if call.method == 'GET' else RELAY_SLACK
        slack += _transfer_time(peer, len(call.body))
        if call.method != 'GET':
            call_timeout += _transfer_time(peer, len(call.body))
        outcome = await self._transport.call(
            peer.address,
            RelayCall(
                method=call.method,
                target=call.target,
                body=call.body,
                timeout=call_timeout,
                waits=call.max_hold,
            ),
            call_timeout + slack,
        )
        if not isinstance(outcome, Ok):
            return RawAnswer(0, outcome.err_value.value.encode())
        answer = outcome.ok_value
        assert isinstance(answer, RelayAnswer)
        return RawAnswer(answer.status, answer.body, answer.reached)


def _transfer_time(peer: MemberInfo, body_bytes: int) -> Seconds:
    """Return the time that a body takes over a peer's link."""
    return body_bytes / peer.link


def _fastest(peers: list[MemberInfo], body_bytes: int) -> list[MemberInfo]:
    """Return the peers that transfer a body about equally fast."""
    best = min(_transfer_time(peer, body_bytes) for peer in peers)
    return [
        peer
        for peer in peers
        if _transfer_time(peer, body_bytes) <= best + _EQUAL_TRANSFER
    ]
