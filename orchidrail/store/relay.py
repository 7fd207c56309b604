"""Calls to the store that go through a peer when this machine is refused."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import structlog

from orchidrail.types import Seconds

_log = structlog.get_logger()
_TOO_MANY = 429
_UNAVAILABLE = 503
#: After a peer has helped, the store is asked through peers for this long.
_AVOID_DIRECT: Seconds = 0.7
#: After no peer could help either, none is asked for this long: the store is
#: then down for all, and each call has a price. It is tried directly, so that
#: its return is noticed at once.
_AVOID_RELAY: Seconds = 1.0
#: A direct answer tells for this long that the store is reached; each process
#: calls at least once in a second.
_ANSWERS_FOR: Seconds = 1.5
#: While the direct way is silent, one call in this time tries it as well.
_PROBE_EVERY: Seconds = 0.7
#: Wait for a direct answer; a slow store takes up to 0.3 s on the sites.
DIRECT_TIMEOUT: Seconds = 0.5


class RawCall(NamedTuple):
    """One call as it goes over the wire.

    Parameters
    ----------
    method, target : str
        The target is path and query.
    body : bytes
    timeout : float
        Seconds after which the call is given up.
    waits : float
        Seconds of `timeout` for which the receiver may hold the answer.
    """

    method: str
    target: str
    body: bytes = b''
    timeout: Seconds = 1
    waits: Seconds = 0


class RawAnswer(NamedTuple):
    """An answer; status 0 stands for none.

    `reached` is False only if the call can't have got through.
    """

    status: int
    body: bytes = b''
    reached: bool = True

    @property
    def usable(self) -> bool:
        """Whether the receiver dealt with the call."""
        return self.status not in _NOT_SERVED


#: Bytes of an unexpected answer that are shown.
_SHOWN = 80
_NOT_SERVED = frozenset((0, _TOO_MANY, _UNAVAILABLE))
#: Something that makes a call: directly, or through a named peer.
Caller = Callable[[RawCall], Awaitable[RawAnswer]]


class RelayedCaller:
    """Calls directly, and through a peer where that fails.

    Parameters
    ----------
    direct : callable
        Makes a call from this machine.
    relay : callable
        Makes a call through some peer.
    clock : callable
        Monotonic seconds.
    note : callable
        Told the way and the status of each call.
    """

    def __init__(
        self,
        direct: Caller,
        relay: Caller,
        clock: Callable[[], Seconds],
        note: Callable[[str, int], None],
    ) -> None:
        """Start with the direct way."""
        self._note = note
        self._direct = direct
        self._relay = relay
        self._clock = clock
        self._avoid_direct_until: Seconds = 0
        self._avoid_relay_until: Seconds = 0
        self._answered_at: Seconds = -math.inf
        #: Whether the latest direct call got no answer at all.
        self._silent = False
        self._probe_at: Seconds = 0
        self._probes: set[asyncio.Task[RawAnswer]] = set()
        self.lost = False

    def direct_answers(self) -> bool:
        """Whether the store answers this machine itself."""
        if self._silent or self._clock() < self._avoid_direct_until:
            return False
        return self._clock() - self._answered_at < _ANSWERS_FOR

    async def __call__(self, call: RawCall) -> RawAnswer:
        """Make a call by the way that works."""
        answer = RawAnswer(0, reached=False)
        if self._clock() >= self._avoid_direct_until:
            if self._silent:
                return await self._call_silent(call)
            answer = await self._call_directly(call)
            if answer.usable:
                return answer
        if self._clock() < self._avoid_relay_until:
            return answer
        return await self._call_relay(call, answer)

    async def _call_silent(self, call: RawCall) -> RawAnswer:
        """Go through a peer, and try the silent direct way beside it.

        Waiting for the direct way first would hold up each call in turn.
        """
        if call.method == 'GET' and self._clock() >= self._probe_at:
            self._probe_at = self._clock() + _PROBE_EVERY
            probe = asyncio.ensure_future(self._call_directly(call))
            self._probes.add(probe)
            probe.add_done_callback(self._probes.discard)
        relayed = await self._relay(call)
        self._note('relay', relayed.status)
        if relayed.usable:
            return relayed
        direct = await self._call_directly(call)
        return direct if direct.usable else _less_certain(direct, relayed)

    async def _call_directly(self, call: RawCall) -> RawAnswer:
        patience = min(call.timeout, DIRECT_TIMEOUT + call.waits)
        answer = await self._direct(call._replace(timeout=patience))
        self._note('direct', answer.status)
        self._silent = not answer.status
        if answer.usable:
            self._answered_at = self._clock()
        if answer.usable and self.lost:
            _log.info('store regained')
            self.lost = False
        return answer

    async def _call_relay(self, call: RawCall, direct: RawAnswer) -> RawAnswer:
        relayed = await self._relay(call)
        self._note('relay', relayed.status)
        if relayed.usable:
            self._avoid_direct_until = self._clock() + _AVOID_DIRECT
            return relayed
        self._avoid_relay_until = self._clock() + _AVOID_RELAY
        if not self.lost:
            _log.warning(
                'store lost',
                status=direct.status,
                relayed=relayed.status,
                detail=direct.body[:_SHOWN].decode(errors='replace'),
            )
            self.lost = True
        return _less_certain(direct, relayed)


def _less_certain(one: RawAnswer, other: RawAnswer) -> RawAnswer:
    """Return the answer of a call that may have got through by either way."""
    return max(one, other, key=lambda answer: (answer.reached, answer.status))
