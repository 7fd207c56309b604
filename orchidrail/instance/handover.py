"""Giving the shard to a peer without a pause."""

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
#: Wait for a peer that was asked to take over; with a slow store that takes
#: a read and an append of 0.3 s each.
_TAKE_OVER_WITHIN: Seconds = 1.0


class ShardHandover:
    """Asks peers to take over, one after another.

    The owner goes on deciding until another has taken the shard over, which
    its journal then tells it.

    Parameters
    ----------
    transport : Transport
    owner : callable
        Returns the owner in this process, None if another has the shard.
    """

    def __init__(
        self,
        transport: Transport,
        owner: Callable[[], ShardOwner | None],
    ) -> None:
        """Hold the way to the peers."""
        self._transport = transport
        self._owner = owner

    async def hand_over_to(self, peers: list[MemberInfo]) -> bool:
        """Give the shard to the first of `peers` that takes it."""
        owner = self._owner()
        if owner is None:
            return True
        epoch = owner.writer.owner.epoch
        _log.info('handing over', epoch=epoch)
        for peer in peers:
            outcome = await self._transport.call(
                peer.address,
                TakeOver(epoch=epoch),
                _TAKE_OVER_WITHIN,
            )
            if outcome != Ok(Ack()):
                continue
            if await _set_within(owner.writer.fenced, _TAKE_OVER_WITHIN):
                return True
        _log.warning('nobody took over', epoch=epoch)
        return False


async def _set_within(event: asyncio.Event, seconds: Seconds) -> bool:
    try:
        await asyncio.wait_for(event.wait(), seconds)
    except TimeoutError:
        return False
    return True
