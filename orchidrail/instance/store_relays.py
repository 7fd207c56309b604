"""Calls to the store through the peers that it answers."""

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

#: Time that a relayed call may take beyond its own patience.
RELAY_SLACK: Seconds = 0.1
#: The same for a read, whose answer may be long and the link slow.
_READ_SLACK: Seconds = 1.5
#: For how long a peer that could not help is passed over: what it tells of
#: itself may be 1.5 s old.
_PASS_OVER_FOR: Seconds = 1.5


class StoreRelays:
    """Chooses a peer for each call.

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
        """Hold all peers for equal."""
        self._table = table
        self._transport = transport
        self._clock = clock
        self._failed_at_by_peer: dict[InstanceId, Seconds] = {}

    async def call(self, call: RawCall) -> RawAnswer:
        """Make a call through a peer that reaches the store."""
        peer = self._choose()
        if peer is None:
            return RawAnswer(0, b'no peer', reached=False)
        answer = await self._call_through(peer, call)
        if not answer.usable:
            self._failed_at_by_peer[peer.name] = self._clock()
        return answer

    def _choose(self) -> MemberInfo | None:
        helpers = self._table.live_peers_with_store()
        since = self._clock() - _PASS_OVER_FOR
        fresh = [
            peer
            for peer in helpers
            if self._failed_at_by_peer.get(peer.name, since) <= since
        ]
        return random.choice(fresh or helpers) if helpers else None

    async def _call_through(
        self,
        peer: MemberInfo,
        call: RawCall,
    ) -> RawAnswer:
        patience = min(call.timeout, DIRECT_TIMEOUT + call.max_hold)
        slack = _READ_SLACK if call.method == 'GET' else RELAY_SLACK
        outcome = await self._transport.call(
            peer.address,
            RelayCall(
                method=call.method,
                target=call.target,
                body=call.body,
                timeout=patience,
                waits=call.max_hold,
            ),
            patience + slack,
        )
        if not isinstance(outcome, Ok):
            return RawAnswer(0, outcome.err_value.value.encode())
        answer = outcome.ok_value
        assert isinstance(answer, RelayAnswer)
        return RawAnswer(answer.status, answer.body, answer.reached)
