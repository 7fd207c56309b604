"""Handover of the shard to a peer without an interruption."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog
from result import Ok

from orchidrail.shard.owner import ShardOwner
from orchidrail.types import Seconds
from orchidrail.wire.messages import Ack, TakeOver
from orchidrail.wire.transport import Transport
from orchidrail.work.model import MemberInfo

_log = structlog.get_logger()
#: Timeout of a takeover by a peer; with a slow store it needs a read and an
#: append of 0.3 s each.
_TAKEOVER_TIMEOUT: Seconds = 1.0


class ShardHandover:
    """Asks peers to take the shard over, one after another.

    The owner continues until its journal shows that another process has taken
    the shard over.

    Parameters
    ----------
    transport : Transport
    owner : callable
        Returns the owner in this process, None if another process owns the
        shard.
    """

    def __init__(
        self,
        transport: Transport,
        owner: Callable[[], ShardOwner | None],
    ) -> None:
        """Store the dependencies."""
        self._transport = transport
        self._owner = owner

    async def hand_over_to(self, peers: list[MemberInfo]) -> bool:
        """Hand the shard over to the first of `peers` that takes it."""
        owner = self._owner()
        if owner is None:
            return True
        epoch = owner.writer.owner.epoch
        _log.info('handing over', epoch=epoch)
        for peer in peers:
            outcome = await self._transport.call(
                peer.address,
                TakeOver(epoch=epoch),
                _TAKEOVER_TIMEOUT,
            )
            if outcome != Ok(Ack()):
                continue
            if await _wait_for_event(owner.writer.fenced, _TAKEOVER_TIMEOUT):
                return True
        _log.warning('nobody took over', epoch=epoch)
        return False


async def _wait_for_event(event: asyncio.Event, seconds: Seconds) -> bool:
    try:
        await asyncio.wait_for(event.wait(), seconds)
    except TimeoutError:
        return False
    return True
