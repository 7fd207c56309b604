"""Grants for keyed requests from other schedulers of the zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Ok

from orchidrail.types import RequestKey, Seconds
from orchidrail.wire.messages import Grant, GrantRequest

if TYPE_CHECKING:
    from orchidrail.membership.view import MembershipView
    from orchidrail.scheduler.ports import Ports

#: Time for which a request may wait at each peer.
_PEER_WAIT_TIMEOUT: Seconds = 0.1
_CALL_TIMEOUT: Seconds = 1


class PeerRooms:
    """Requests capacity from peers when this scheduler has none free.

    The grant has no key and a task id of its own: it starts nothing, and
    expires unless the claim of the key names it.
    """

    def __init__(self, ports: Ports, members: MembershipView) -> None:
        """Create a finder that calls the peers of `members`."""
        self._ports = ports
        self._members = members

    async def find(self, message: GrantRequest) -> Grant | None:
        """Return the first grant of a peer for the request, if any."""
        request = msgspec.structs.replace(
            message,
            key=RequestKey(''),
            patience=min(message.patience, _PEER_WAIT_TIMEOUT),
        )
        now = self._ports.clock()
        for peer in self._members.peers_with_room(message.size, now):
            answer = await self._ports.transport.call(
                peer.address,
                request,
                _CALL_TIMEOUT,
            )
            if isinstance(answer, Ok) and isinstance(answer.ok_value, Grant):
                return answer.ok_value
        return None
