"""Regular words with the other processes, which steer and confer no right."""

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

#: How often the owner is asked whether it is at work.
OWNER_EVERY: Seconds = 0.1
#: Peers that each speak to the owner so often; where there are more, those
#: that don't stand by speak to it more rarely. Reckoned, not measured: at
#: 0.2 ms an answer, 97 machines together would take a fifth of a core.
_FREQUENT_PEERS = 24
#: Longest pause, as a multiple of the shortest one.
_RAREST = 3
#: How often some other peers are spoken to.
_OTHERS_EVERY: Seconds = 0.25
_OTHERS_AT_ONCE = 3
_TIMEOUT: Seconds = 0.6
#: The same for the owner, whose connection must not stay silent for long: it
#: is asked each 0.1 s and answers in a few ms, in 0.1 s where it is busy.
_OWNER_TIMEOUT: Seconds = 0.4
#: A call that fails sooner was refused or reset: the machine is there, but
#: not the process. Silence takes until the time-out.
_REFUSED_WITHIN: Seconds = 0.3


class Pinger:
    """Speaks to the owner often and to some others in turn.

    Parameters
    ----------
    table : PeerTable
    transport : Transport
    describe : callable
        Returns what this process tells of itself.
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
        """Start silent."""
        self._clock = clock
        self._table = table
        self._transport = transport
        self._describe = describe
        self._random = random
        self._tasks = BackgroundTasks('ping')
        #: Whether this process is to notice at once that the owner is gone.
        self.is_standby: Callable[[], bool] = _always
        #: Answers one after another that nobody owns the shard there.
        self.owner_denials = 0

    async def ping_owner(self) -> None:
        """Speak to the owner again and again."""
        while True:
            claim = self._table.claim
            if claim.address and claim.name != self._table.me.name:
                self._tasks.spawn(self._ping_owner_once())
            pause = self._pause()
            self._table.owner_ping_delay = pause - OWNER_EVERY
            await asyncio.sleep(pause)

    def _pause(self) -> Seconds:
        """Return how long to wait before the owner is spoken to again."""
        crowd = len(self._table.peers()) / _FREQUENT_PEERS
        if crowd <= 1 or self.is_standby():
            return OWNER_EVERY
        return OWNER_EVERY * min(crowd, _RAREST)

    async def ping_others(self) -> None:
        """Speak to some other peers again and again."""
        while True:
            peers = self._table.peers()
            count = min(len(peers), _OTHERS_AT_ONCE)
            for member in self._random.sample(peers, count):
                self._tasks.spawn(self.ping(member))
            await asyncio.sleep(_OTHERS_EVERY)

    def ping_all(self) -> None:
        """Speak to every peer now."""
        for member in self._table.peers():
            self._tasks.spawn(self.ping(member))

    async def ping(self, member: MemberInfo) -> None:
        """Speak to one peer."""
        outcome = await self._transport.call(
            member.address,
            self._describe(),
            _TIMEOUT,
        )
        if isinstance(outcome, Ok) and isinstance(outcome.ok_value, PeerState):
            self._table.record_heartbeat(outcome.ok_value)

    def close(self) -> None:
        """Give up all calls in progress."""
        self._tasks.close()

    async def _ping_owner_once(self) -> None:
        claim = self._table.claim
        began = self._clock()
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
            self._table.record_heartbeat(outcome.ok_value)
        elif self._clock() - began < _REFUSED_WITHIN:
            self.owner_denials += 1


def _always() -> bool:
    return True
