"""Calls to the store, relayed by a peer if the direct route fails."""

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
_TOO_MANY_REQUESTS = 429
_SERVICE_UNAVAILABLE = 503
#: After the store has rejected this instance, peers are tried first.
_DIRECT_BACKOFF: Seconds = 0.7
#: After relays have failed too, none is tried for this long: the store is then
#: unavailable to all instances, and each call is charged. Calls go directly,
#: so that its recovery is detected at once.
_RELAY_BACKOFF: Seconds = 1.0
#: Consecutive relays that must fail before the store counts as unavailable to
#: all. A single peer may be partitioned as this instance is, undetected.
_FAILED_RELAYS_UNTIL_AVOIDED = 2
#: Parallel attempts of one write while relays are avoided.
_PARALLEL_ATTEMPTS = 4
#: Minimum and maximum time without a response after which a write is hedged on
#: the next route. The store responds in 8 ms; while it is slow, the delay
#: grows with its mean latency.
_HEDGE_AFTER_MIN: Seconds = 0.12
_HEDGE_AFTER_MAX: Seconds = 0.4
#: Factor on the mean latency, and weight of the latest latency in the mean.
_HEDGE_FACTOR = 1.5
_LATEST_WEIGHT = 0.5
#: How long a direct response shows that the store is reachable; each process
#: calls it at least once a second.
_RESPONSE_VALIDITY: Seconds = 1.5
#: Interval of probes of the direct route while it is unresponsive.
_PROBE_INTERVAL: Seconds = 0.7
#: Timeout of a direct call; a slow store takes up to 0.3 s at the sites.
DIRECT_TIMEOUT: Seconds = 0.5


class RawCall(NamedTuple):
    """One call as it goes over the wire.

    Parameters
    ----------
    method, target : str
        The target is path and query.
    body : bytes
    timeout : float
        Seconds without a response after which the call times out.
    max_hold : float
        Seconds of `timeout` for which the receiver may hold the response.
    new_connection : bool
        Use a new connection: those that are open may be unresponsive.
    """

    method: str
    target: str
    body: bytes = b''
    timeout: Seconds = 1
    max_hold: Seconds = 0
    new_connection: bool = False


class RawAnswer(NamedTuple):
    """A response; status 0 means that there was none.

    `reached` is False only if the call can't have reached the receiver.
    """

    status: int
    body: bytes = b''
    reached: bool = True

    @property
    def usable(self) -> bool:
        """Whether the receiver has processed the call."""
        return self.status not in _NOT_SERVED


#: Bytes of an unexpected response that are logged.
_MAX_QUOTED = 80
_NOT_SERVED = frozenset((0, _TOO_MANY_REQUESTS, _SERVICE_UNAVAILABLE))
#: Sends a call, directly or through a peer.
SendCall = Callable[[RawCall], Coroutine[Any, Any, RawAnswer]]


class RelayedCaller:
    """Sends calls directly, and through a peer if that fails.

    A write is hedged: if a route does not respond in time, the next one is
    tried in parallel. Appends name the end that they expect, so one that
    arrives by two routes takes effect once. Reads may be large, so their routes
    are tried one after the other.

    Parameters
    ----------
    direct : callable
        Sends a call from this instance.
    relay : callable
        Sends a call through some peer.
    clock : callable
        Monotonic seconds.
    on_call : callable
        Called with the route and the status of each call.
    """

    def __init__(
        self,
        direct: SendCall,
        relay: SendCall,
        clock: Callable[[], Seconds],
        on_call: Callable[[str, int], None],
    ) -> None:
        """Start with the direct route."""
        self._on_call = on_call
        self._direct = direct
        self._relay = relay
        self._clock = clock
        self._avoid_direct_until: Seconds = 0
        self._avoid_relay_until: Seconds = 0
        self._consecutive_relay_failures = 0
        #: Moving average of the latency of direct calls.
        self._mean_latency: Seconds = 0
        self._last_response_at: Seconds = -math.inf
        #: Whether the latest direct call got no response at all.
        self._unresponsive = False
        self._probe_at: Seconds = 0
        self._attempts = BackgroundTasks('store call')
        self.unavailable = False

    def direct_route_works(self) -> bool:
        """Return whether the store responds to this instance directly."""
        if self._unresponsive or self._clock() < self._avoid_direct_until:
            return False
        return self._clock() - self._last_response_at < _RESPONSE_VALIDITY

    async def __call__(self, call: RawCall) -> RawAnswer:
        """Send a call by a route that works."""
        if self._unresponsive and call.method == 'GET':
            self._probe(call)
        answers: list[RawAnswer] = []
        pending: set[asyncio.Task[RawAnswer]] = set()
        for route in self._routes(call):
            if route == self._call_on_new_connection and not pending:
                # The direct call got a response, so its connection works.
                continue
            # An attempt goes on even if another route is faster.
            pending.add(self._attempts.spawn(route(call)))
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
        return self._select_answer(answers)

    def _routes(self, call: RawCall) -> list[SendCall]:
        """Return the routes to try, the most promising first; never none.

        While the store is unavailable to all instances, writes to it are
        repeated, so that its recovery is detected at once.
        """
        now = self._clock()
        if now < self._avoid_relay_until:
            repeats = 1 if call.method == 'GET' else _PARALLEL_ATTEMPTS
            return list(itertools.repeat(self._call_directly, repeats))
        if self._unresponsive or now < self._avoid_direct_until:
            return [self._call_relay, self._call_directly]
        if call.method == 'GET':
            return [self._call_directly, self._call_relay]
        return [
            self._call_directly,
            self._call_relay,
            self._call_on_new_connection,
        ]

    def _hedge_delay(self) -> Seconds:
        """Return the time without a response after which to hedge a write."""
        allowed = _HEDGE_FACTOR * self._mean_latency
        return min(_HEDGE_AFTER_MAX, max(_HEDGE_AFTER_MIN, allowed))

    async def _call_on_new_connection(self, call: RawCall) -> RawAnswer:
        """Call directly on a new connection; the open one may hang."""
        return await self._call_directly(call._replace(new_connection=True))

    def _probe(self, call: RawCall) -> None:
        """Probe the unresponsive direct route while a peer relays the call."""
        if self._clock() >= self._probe_at:
            self._probe_at = self._clock() + _PROBE_INTERVAL
            self._attempts.spawn(self._call_directly(call))

    async def _call_directly(self, call: RawCall) -> RawAnswer:
        time_limit = min(call.timeout, DIRECT_TIMEOUT + call.max_hold)
        started_at = self._clock()
        answer = await self._direct(call._replace(timeout=time_limit))
        self._on_call('direct', answer.status)
        self._unresponsive = not answer.status
        if answer.usable:
            self._last_response_at = self._clock()
            if not call.max_hold:
                latency = self._last_response_at - started_at
                self._mean_latency += _LATEST_WEIGHT * (
                    latency - self._mean_latency
                )
        elif answer.status:
            self._avoid_direct_until = self._clock() + _DIRECT_BACKOFF
        return answer

    async def _call_relay(self, call: RawCall) -> RawAnswer:
        relayed = await self._relay(call)
        self._on_call('relay', relayed.status)
        if relayed.usable:
            self._consecutive_relay_failures = 0
            return relayed
        self._consecutive_relay_failures += 1
        if self._consecutive_relay_failures >= _FAILED_RELAYS_UNTIL_AVOIDED:
            self._avoid_relay_until = self._clock() + _RELAY_BACKOFF
        return relayed

    def _select_answer(self, answers: list[RawAnswer]) -> RawAnswer:
        """Choose a response; log if the store is lost or regained."""
        usable = next((answer for answer in answers if answer.usable), None)
        if usable is None and not self.unavailable:
            _log.warning(
                'store lost',
                answers=[answer.status for answer in answers],
                details=[
                    answer.body[:_MAX_QUOTED].decode(errors='replace')
                    for answer in answers
                ],
            )
        if usable is not None and self.unavailable:
            _log.info('store regained')
        self.unavailable = usable is None
        return _least_certain(answers) if usable is None else usable


def _least_certain(answers: list[RawAnswer]) -> RawAnswer:
    """Return the least certain of several failed responses.

    A call without a response may have been executed, so it takes precedence
    over a rejection on another route.
    """
    return max(
        answers,
        key=lambda answer: (answer.reached, not answer.status),
    )
