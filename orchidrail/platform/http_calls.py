"""HTTP calls to the platform, its workers and its advice service."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable
from enum import Enum
from typing import Any

import aiohttp
import structlog

from orchidrail.background_tasks import BackgroundTasks
from orchidrail.clocks import elapsed
from orchidrail.platform.verified_connections import (
    ConnectionProbe,
    UnverifiedConnectionError,
    VerifyingConnector,
    connections_to,
)
from orchidrail.store.relay import RawAnswer, RawCall
from orchidrail.types import Address, Seconds

_log = structlog.get_logger()
#: Connections to one address: a long poll, and starts in parallel.
_CONNECTIONS_PER_ADDRESS = 6
_CONNECT_TIMEOUT: Seconds = 0.5
#: Time in which a response that has begun must be complete. The store lists
#: 1 MB at once, which takes 1.6 s at 5 Mbit/s.
_MAX_RESPONSE_DURATION: Seconds = 4.0
#: Idle connections are kept open longer than a worker goes without a call.
_KEEP_ALIVE: Seconds = 60
#: Body of the placeholder for a response that timed out.
_TIMED_OUT = b'silent'
#: Attempts to get a verified connection: all open ones may be unverified.
_VERIFICATION_ATTEMPTS = _CONNECTIONS_PER_ADDRESS + 1
#: Addresses that must stop responding at about the same time before
#: connections to other addresses are dropped too.
_MIN_UNRESPONSIVE = 3
#: Window for that; polls of workers time out after 0.25 to 1.05 s.
_UNRESPONSIVE_WINDOW: Seconds = 0.5
#: If an address responded so shortly before the call that timed out began, its
#: connection is treated as unresponsive, rather than the address as down.
_RECENT_RESPONSE: Seconds = 1.5
#: Minimum time between two such drops, since each costs new connections.
_DROP_ALL_INTERVAL: Seconds = 3.0
#: Errors after which the call can't have reached the receiver.
_NOT_REACHED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_JSON = {'Content-Type': 'application/json'}


def _make_socket(address: Any) -> socket.socket:
    made = socket.socket(*address[:3])
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return made


class DropReason(Enum):
    """Why the open connections to an address are no longer used."""

    #: A call on one of them timed out.
    TIMED_OUT = 'silent'
    #: Several other addresses stopped responding at the same time.
    OTHERS_TIMED_OUT = 'othersSilent'
    #: A call was hedged on a new connection.
    HEDGED = 'doubted'
    #: The address has not responded for long.
    UNUSED = 'unused'


class HttpCaller:
    """Connections for all outgoing calls, in one pool per address.

    An open connection may permanently stop responding while new ones work. So
    all idle connections to an address are dropped when a call on one of them
    times out. If several addresses stop responding at the same time, so are
    those to the addresses that have not responded since.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, clock: Callable[[], Seconds] = elapsed) -> None:
        """Start without connections; must run inside the event loop."""
        self._clock = clock
        self._pool_by_address: dict[Address, _Pool] = {}
        self._timed_out_at: dict[Address, Seconds] = {}
        self._all_dropped_at: Seconds = -math.inf
        self._closing = BackgroundTasks('closing of connections')
        #: Called with the reason when connections to an address are dropped.
        self.on_drop: Callable[[DropReason], None] | None = None
        #: Called when several addresses stop responding at the same time.
        self.on_many_unresponsive: Callable[[], None] | None = None

    async def close(self) -> None:
        """Close all connections."""
        for pool in self._pool_by_address.values():
            await pool.session.close()
        self._pool_by_address.clear()

    async def call(
        self,
        address: Address,
        call: RawCall,
        headers: dict[str, str] | None = None,
        probe: ConnectionProbe | None = None,
    ) -> RawAnswer:
        """Make one call; its connections are dropped if it times out.

        The timeout applies to pauses: a large response may take seconds on a
        slow link. With a probe, the call is sent only to the probe's receiver.

        Returns
        -------
        The response, with status 0 if there is none; `reached` is then False
        only if the call can't have reached the receiver.
        """
        if call.new_connection and address in self._pool_by_address:
            pool = self._pool_by_address[address]
            self._drop(address, pool, DropReason.HEDGED)
        pool = self._pool(address)
        pool.calls += 1
        try:
            answer = await pool.call(address, call, headers, probe)
        finally:
            pool.calls -= 1
            self._close_if_done(pool)
        if answer.body is _TIMED_OUT:
            self._handle_timeout(address, pool, call.timeout)
        if answer.status:
            pool.last_response_at = self._clock()
        return answer

    def _pool(self, address: Address) -> _Pool:
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = _Pool(self._clock())
            self._pool_by_address[address] = pool
            self._drop_unused()
        return pool

    def _drop_unused(self) -> None:
        """Drop the pools of addresses that no longer respond."""
        cutoff = self._clock() - _KEEP_ALIVE
        for address, pool in list(self._pool_by_address.items()):
            if pool.last_response_at < cutoff and not pool.calls:
                self._drop(address, pool, DropReason.UNUSED)

    def _handle_timeout(
        self,
        address: Address,
        pool: _Pool,
        waited: Seconds,
    ) -> None:
        now = self._clock()
        if self._pool_by_address.get(address) is not pool:
            return
        recently_responsive = (
            now - pool.last_response_at - waited < _RECENT_RESPONSE
        )
        _log.info(
            'connections dropped',
            address=address,
            silent_for=round(now - pool.last_response_at, 3),
            calls_in_progress=pool.calls,
        )
        self._drop(address, pool, DropReason.TIMED_OUT)
        if recently_responsive:
            self._timed_out_at[address] = now
            self._drop_unresponsive(now, waited)

    def _drop_unresponsive(self, now: Seconds, waited: Seconds) -> None:
        """Drop others if several addresses became unresponsive together."""
        self._timed_out_at = {
            address: at
            for address, at in self._timed_out_at.items()
            if now - at < _UNRESPONSIVE_WINDOW
        }
        if len(self._timed_out_at) < _MIN_UNRESPONSIVE:
            return
        if now - self._all_dropped_at < _DROP_ALL_INTERVAL:
            return
        self._all_dropped_at = now
        cutoff = now - max(waited, _UNRESPONSIVE_WINDOW)
        unresponsive = [
            (address, pool)
            for address, pool in self._pool_by_address.items()
            if pool.last_response_at < cutoff
        ]
        for address, pool in unresponsive:
            self._drop(address, pool, DropReason.OTHERS_TIMED_OUT)
        _log.warning(
            'several addresses silent',
            silent=list(self._timed_out_at),
            dropped=len(unresponsive),
        )
        if self.on_many_unresponsive is not None:
            self.on_many_unresponsive()

    def _drop(
        self,
        address: Address,
        pool: _Pool,
        reason: DropReason,
    ) -> None:
        """Use new connections from now on; calls in progress may complete."""
        if self.on_drop is not None:
            self.on_drop(reason)
        self._pool_by_address.pop(address, None)
        pool.dropped = True
        self._close_if_done(pool)

    def _close_if_done(self, pool: _Pool) -> None:
        if pool.dropped and not pool.calls and not pool.session.closed:
            self._closing.spawn(pool.session.close())


class _Pool:
    """Connections to one address."""

    def __init__(self, now: Seconds) -> None:
        self._connector = VerifyingConnector(
            limit=_CONNECTIONS_PER_ADDRESS,
            keepalive_timeout=_KEEP_ALIVE,
            ttl_dns_cache=None,
            socket_factory=_make_socket,
        )
        self.session = aiohttp.ClientSession(
            connector=self._connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
        )
        self.calls = 0
        self._invalid_logged = False
        self.last_response_at = now
        self.dropped = False

    async def call(
        self,
        address: Address,
        call: RawCall,
        headers: dict[str, str] | None,
        probe: ConnectionProbe | None,
    ) -> RawAnswer:
        """Make one call; on a timeout the body is `_TIMED_OUT`."""
        if probe is None:
            return await self._send(address, call, headers)
        for _ in range(_VERIFICATION_ATTEMPTS):
            try:
                with connections_to(probe.receiver):
                    return await self._send(address, call, headers)
            except UnverifiedConnectionError as error:
                rejection = await self._verify(
                    address,
                    probe,
                    headers,
                    error.connection,
                )
            if rejection is not None:
                return rejection
        return RawAnswer(0, b'no connection was greeted', reached=False)

    async def _verify(
        self,
        address: Address,
        probe: ConnectionProbe,
        headers: dict[str, str] | None,
        connection: Any,
    ) -> RawAnswer | None:
        """Probe which receiver a connection leads to.

        Returns
        -------
        None if it is the receiver of the probe, else the response of the call,
        which must not be sent.
        """
        protocol = connection.protocol
        with connections_to(probe.receiver, connection):
            answer = await self._send(address, probe.call, headers)
        if not answer.status:
            return answer._replace(reached=False)
        rejection = probe.check(answer)
        if rejection is None:
            self._connector.mark_verified(protocol, probe.receiver)
        return rejection

    async def _send(
        self,
        address: Address,
        call: RawCall,
        headers: dict[str, str] | None,
    ) -> RawAnswer:
        timeout = aiohttp.ClientTimeout(
            total=call.timeout + _MAX_RESPONSE_DURATION,
            connect=call.timeout,
            sock_connect=min(_CONNECT_TIMEOUT, call.timeout),
            sock_read=call.timeout,
        )
        try:
            async with self.session.request(
                call.method,
                f'http://{address}{call.target}',
                data=call.body or None,
                headers=_JSON if headers is None else {**_JSON, **headers},
                timeout=timeout,
            ) as response:
                return RawAnswer(response.status, await response.read())
        except _NOT_REACHED as error:
            return RawAnswer(0, repr(error).encode(), reached=False)
        except asyncio.TimeoutError:
            return RawAnswer(0, _TIMED_OUT)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            if isinstance(error, ValueError):
                self._log_invalid(address, error)
            return RawAnswer(0, repr(error).encode())

    def _log_invalid(self, address: Address, error: ValueError) -> None:
        """Log that an address or a header can't be put into a request."""
        if not self._invalid_logged:
            self._invalid_logged = True
            _log.warning('invalid request', address=address, reason=str(error))
