"""Room for keyed requests at other schedulers of the zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Ok

from orchidrail.types import RequestKey, Seconds
from orchidrail.wire.messages import Grant, GrantRequest

if TYPE_CHECKING:
    from orchidrail.membership.view import MembershipView
    from orchidrail.scheduler.ports import Ports

#: How long a request may wait at each of the others.
_PATIENCE: Seconds = 0.1
_CALL_TIMEOUT: Seconds = 1


class PeerRooms:
    """Asks others for room that this scheduler lacks.

    The grant is one without a key, under a task of its own: it starts
    nothing, and runs out unless the key's claim names it.
    """

    def __init__(self, ports: Ports, members: MembershipView) -> None:
        """Hold the parts."""
        self._ports = ports
        self._members = members

    async def find(self, message: GrantRequest) -> Grant | None:
        """Return a grant for the request at another scheduler."""
        request = msgspec.structs.replace(
            message,
            key=RequestKey(''),
            patience=min(message.patience, _PATIENCE),
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
