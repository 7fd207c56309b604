"""Heartbeats among the instances: hints for failover that grant no rights."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from result import Ok

from orchidrail.background_tasks import BackgroundTasks
from orchidrail.peers.table import PeerTable
from orchidrail.types import Seconds
from orchidrail.wire.messages import PeerState
from orchidrail.wire.transport import Transport
from orchidrail.work.model import MemberInfo

#: Interval between two heartbeats to the owner.
OWNER_PING_INTERVAL: Seconds = 0.1
#: Number of peers up to which each one pings the owner at that interval; with
#: more peers, those that are not standbys ping it less often. At 0.2 ms per
#: reply, 97 instances would take a fifth of a core.
_MAX_FREQUENT_PEERS = 24
#: Longest interval between pings to the owner, as a multiple of the shortest.
_MAX_INTERVAL_FACTOR = 3
#: Interval between two rounds of pings to randomly chosen peers.
_PEER_PING_INTERVAL: Seconds = 0.25
_PEERS_PER_ROUND = 3
_TIMEOUT: Seconds = 0.6
#: Timeout of a ping to the owner, shorter so that a dead connection is noticed
#: early: the owner is pinged every 0.1 s and replies in a few ms, or in 0.1 s
#: while it is busy.
_OWNER_TIMEOUT: Seconds = 0.4
#: A call that fails sooner was refused or reset: the instance is up, but not
#: the process. An unresponsive one fails at the timeout.
_CONNECTION_REFUSED_WITHIN: Seconds = 0.3


class Pinger:
    """Pings the owner often, and a few random peers less often.

    Parameters
    ----------
    table : PeerTable
    transport : Transport
    describe : callable
        Returns the state of this process that its pings carry.
    random : Random
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        table: PeerTable,
        transport: Transport,
        describe: Callable[[], PeerState],
        random: Random,
        clock: Callable[[], Seconds],
    ) -> None:
        """Start without pings."""
        self._clock = clock
        self._table = table
        self._transport = transport
        self._describe = describe
        self._random = random
        self._tasks = BackgroundTasks('ping')
        #: Whether this process is a standby, which must detect the loss of the
        #: owner at once.
        self.is_standby: Callable[[], bool] = _always
        #: Consecutive replies in which the presumed owner denies owning.
        self.owner_denials = 0

    async def ping_owner(self) -> None:
        """Ping the owner until cancelled."""
        while True:
            claim = self._table.claim
            if claim.address and claim.name != self._table.me.name:
                self._tasks.spawn(self._ping_owner_once())
            pause = self._owner_ping_interval()
            self._table.owner_ping_delay = pause - OWNER_PING_INTERVAL
            await asyncio.sleep(pause)

    def _owner_ping_interval(self) -> Seconds:
        """Return the pause before the next ping to the owner, seconds."""
        load_factor = len(self._table.peers()) / _MAX_FREQUENT_PEERS
        if load_factor <= 1 or self.is_standby():
            return OWNER_PING_INTERVAL
        return OWNER_PING_INTERVAL * min(load_factor, _MAX_INTERVAL_FACTOR)

    async def ping_others(self) -> None:
        """Ping random peers until cancelled."""
        while True:
            peers = self._table.peers()
            count = min(len(peers), _PEERS_PER_ROUND)
            for member in self._random.sample(peers, count):
                self._tasks.spawn(self.ping(member))
            await asyncio.sleep(_PEER_PING_INTERVAL)

    def ping_all(self) -> None:
        """Ping every peer now."""
        for member in self._table.peers():
            self._tasks.spawn(self.ping(member))

    async def ping(self, member: MemberInfo) -> None:
        """Ping one peer and record its reply."""
        started_at = self._clock()
        outcome = await self._transport.call(
            member.address,
            self._describe(),
            _TIMEOUT,
        )
        if isinstance(outcome, Ok) and isinstance(outcome.ok_value, PeerState):
            self._table.record_heartbeat(outcome.ok_value, started_at)

    def close(self) -> None:
        """Cancel all pings in flight."""
        self._tasks.close()

    async def _ping_owner_once(self) -> None:
        claim = self._table.claim
        started_at = self._clock()
        outcome = await self._transport.call(
            claim.address,
            self._describe(),
            _OWNER_TIMEOUT,
        )
        if self._table.claim != claim:
            return
        if isinstance(outcome, Ok) and isinstance(outcome.ok_value, PeerState):
            owning = outcome.ok_value.owning
            self.owner_denials = 0 if owning else self.owner_denials + 1
            self._table.record_heartbeat(outcome.ok_value, started_at)
        elif self._clock() - started_at < _CONNECTION_REFUSED_WITHIN:
            self.owner_denials += 1


def _always() -> bool:
    return True
