"""Calls to the store that go through a peer when this machine is refused."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

import structlog

from orchidrail.background_tasks import BackgroundTasks
from orchidrail.types import Seconds

_log = structlog.get_logger()
_TOO_MANY = 429
_UNAVAILABLE = 503
#: After the store has turned this machine away, peers are asked first.
_AVOID_DIRECT: Seconds = 0.7
#: After no peer could help either, none is asked for this long: the store is
#: then down for all, and each call has a price. It is tried directly, so that
#: its return is noticed at once.
_AVOID_RELAY: Seconds = 1.0
#: Peers that must fail in a row before that is concluded: one may be cut off
#: as this machine is, and not know it yet.
_RELAYS_TRIED = 2
#: Tries of one write, each beside the last, while no peer can help.
_TRIES_WHILE_UNRESPONSIVE = 4
#: Least and longest silence after which a write is tried the next way too. The
#: store answers in 8 ms; where it is slow, more of its usual time is allowed.
_HEDGE_AFTER_MIN: Seconds = 0.12
_HEDGE_AFTER_MAX: Seconds = 0.4
#: Factor on the usual time of an answer, and weight of the latest one in it.
_HEDGE_FACTOR = 1.5
_LATEST_WEIGHT = 0.5
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
        Seconds of silence after which the call is given up.
    max_hold : float
        Seconds of `timeout` for which the receiver may hold the answer.
    new_connection : bool
        Use no connection that was open before: it may have gone silent.
    """

    method: str
    target: str
    body: bytes = b''
    timeout: Seconds = 1
    max_hold: Seconds = 0
    new_connection: bool = False


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
_MAX_QUOTED = 80
_NOT_SERVED = frozenset((0, _TOO_MANY, _UNAVAILABLE))
#: Something that makes a call: directly, or through a named peer.
SendCall = Callable[[RawCall], Coroutine[Any, Any, RawAnswer]]


class RelayedCaller:
    """Calls directly, and through a peer where that fails.

    A write does not wait for a way that gives no answer: the next one is tried
    beside it. Appends name the end that they expect, so one that arrives by two
    ways counts once. Reads may be long, and go one way after the other.

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
        direct: SendCall,
        relay: SendCall,
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
        self._relays_failed = 0
        #: Usual time of a direct answer.
        self._mean_latency: Seconds = 0
        self._answered_at: Seconds = -math.inf
        #: Whether the latest direct call got no answer at all.
        self._unresponsive = False
        self._probe_at: Seconds = 0
        self._attempts = BackgroundTasks('store call')
        self.lost = False

    def direct_route_works(self) -> bool:
        """Whether the store answers this machine itself."""
        if self._unresponsive or self._clock() < self._avoid_direct_until:
            return False
        return self._clock() - self._answered_at < _ANSWERS_FOR

    async def __call__(self, call: RawCall) -> RawAnswer:
        """Make a call by the way that works."""
        if self._unresponsive and call.method == 'GET':
            self._probe(call)
        answers: list[RawAnswer] = []
        pending: set[asyncio.Task[RawAnswer]] = set()
        for way in self._routes(call):
            if way == self._call_freshly and not pending:
                # The direct way has answered: its connection is not silent.
                continue
            # An attempt goes on even if another way is faster.
            pending.add(self._attempts.spawn(way(call)))
            done, pending = await asyncio.wait(
                pending,
                timeout=None if call.method == 'GET' else self._hedge_delay(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            answers.extend(task.result() for task in done)
            if any(answer.usable for answer in answers):
                break
        while pending and not any(answer.usable for answer in answers):
            done, pending = await asyncio.wait(
                pending,
                return_when=asyncio.FIRST_COMPLETED,
            )
            answers.extend(task.result() for task in done)
        return self._conclude(answers)

    def _routes(self, call: RawCall) -> list[SendCall]:
        """Return the ways to try, the most promising first; never none.

        A store that is silent for all is written to again and again, so that
        its return is noticed at once.
        """
        now = self._clock()
        if now < self._avoid_relay_until:
            tries = 1 if call.method == 'GET' else _TRIES_WHILE_UNRESPONSIVE
            return list(itertools.repeat(self._call_directly, tries))
        if self._unresponsive or now < self._avoid_direct_until:
            return [self._call_relay, self._call_directly]
        if call.method == 'GET':
            return [self._call_directly, self._call_relay]
        return [self._call_directly, self._call_relay, self._call_freshly]

    def _hedge_delay(self) -> Seconds:
        """Return the silence after which a write goes another way too."""
        allowed = _HEDGE_FACTOR * self._mean_latency
        return min(_HEDGE_AFTER_MAX, max(_HEDGE_AFTER_MIN, allowed))

    async def _call_freshly(self, call: RawCall) -> RawAnswer:
        """Call directly on a new connection, beside one that is silent."""
        return await self._call_directly(call._replace(new_connection=True))

    def _probe(self, call: RawCall) -> None:
        """Try the silent direct way beside a call that goes by a peer."""
        if self._clock() >= self._probe_at:
            self._probe_at = self._clock() + _PROBE_EVERY
            self._attempts.spawn(self._call_directly(call))

    async def _call_directly(self, call: RawCall) -> RawAnswer:
        patience = min(call.timeout, DIRECT_TIMEOUT + call.max_hold)
        began = self._clock()
        answer = await self._direct(call._replace(timeout=patience))
        self._note('direct', answer.status)
        self._unresponsive = not answer.status
        if answer.usable:
            self._answered_at = self._clock()
            if not call.max_hold:
                took = self._answered_at - began
                self._mean_latency += _LATEST_WEIGHT * (
                    took - self._mean_latency
                )
        elif answer.status:
            self._avoid_direct_until = self._clock() + _AVOID_DIRECT
        return answer

    async def _call_relay(self, call: RawCall) -> RawAnswer:
        relayed = await self._relay(call)
        self._note('relay', relayed.status)
        if relayed.usable:
            self._relays_failed = 0
            return relayed
        self._relays_failed += 1
        if self._relays_failed >= _RELAYS_TRIED:
            self._avoid_relay_until = self._clock() + _AVOID_RELAY
        return relayed

    def _conclude(self, answers: list[RawAnswer]) -> RawAnswer:
        """Choose among the answers; log a store that is lost or is back."""
        usable = next((answer for answer in answers if answer.usable), None)
        if usable is None and not self.lost:
            _log.warning(
                'store lost',
                answers=[answer.status for answer in answers],
                details=[
                    answer.body[:_MAX_QUOTED].decode(errors='replace')
                    for answer in answers
                ],
            )
        if usable is not None and self.lost:
            _log.info('store regained')
        self.lost = usable is None
        return _least_certain(answers) if usable is None else usable


def _least_certain(answers: list[RawAnswer]) -> RawAnswer:
    """Return the answer of a call that may have got through by some way.

    Silence by one way is less certain than a refusal by another.
    """
    return max(
        answers,
        key=lambda answer: (answer.reached, not answer.status),
    )
