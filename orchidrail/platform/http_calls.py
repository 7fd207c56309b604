"""Plain HTTP calls to the platform, its workers and its advice service."""

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
#: Connections to one address: a held one, and starts beside it.
_PER_HOST = 6
_CONNECT_TIMEOUT: Seconds = 0.5
#: Time in which an answer that has begun must be there: the store lists 1 MB
#: at once, which takes 1.6 s at 5 Mbit/s.
_LONGEST_ANSWER: Seconds = 4.0
#: Idle connections are kept longer than a worker is left alone.
_KEEP_ALIVE: Seconds = 60
#: Body that stands for an answer which did not come in time.
_SILENT = b'silent'
#: Tries to find a greeted connection: all that there may be may lack it.
_GREETED_FOR_CALL = _PER_HOST + 1
#: Addresses that must fall silent at once for others to be doubted too.
_SEVERAL = 3
#: What counts as at once: looks at workers time out after 0.25 to 1.05 s.
_AT_ONCE: Seconds = 0.5
#: An address that was heard from so shortly before its silent call began is
#: taken for one whose connection went silent, not for one that is down.
_HEARD_WITHIN: Seconds = 1.5
#: Least time between two rounds of dropping: each costs new connections.
_DROP_ALL_EVERY: Seconds = 3.0
#: Failures after which the call can't have got through.
_NOT_REACHED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_JSON = {'Content-Type': 'application/json'}


def _make_socket(address: Any) -> socket.socket:
    made = socket.socket(*address[:3])
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return made


class DropReason(Enum):
    """Why the open connections to an address are used no longer."""

    #: A call on one of them got no answer in time.
    SILENT = 'silent'
    #: Several other addresses went silent at once.
    OTHERS_SILENT = 'othersSilent'
    #: A call was made again beside one that is silent so far.
    DOUBTED = 'doubted'
    #: Nothing was heard from the address for long.
    UNUSED = 'unused'


class HttpCaller:
    """Connections for all calls that go out, in a pool for each address.

    A connection may go silent for good while new ones work. So all idle ones
    to an address are dropped once one of them gave no answer in time; where
    several addresses fall silent at once, also those that have not been heard
    from since.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, clock: Callable[[], Seconds] = elapsed) -> None:
        """Open no connection yet; must be made inside the event loop."""
        self._clock = clock
        self._pool_by_address: dict[Address, _Pool] = {}
        self._silences: dict[Address, Seconds] = {}
        self._all_dropped_at: Seconds = -math.inf
        self._closing = BackgroundTasks('closing of connections')
        #: Told why connections to an address were dropped.
        self.on_drop: Callable[[DropReason], None] | None = None
        #: Called when several addresses went silent at once.
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
        greeting: ConnectionProbe | None = None,
    ) -> RawAnswer:
        """Make one call; a connection that stays silent is given up.

        An answer that is coming is waited for: a long one takes seconds on a
        slow link. With a greeting the call goes only to its receiver.

        Returns
        -------
        The answer, with status 0 if there is none; `reached` is then False
        only if the call can't have got through.
        """
        if call.new_connection and address in self._pool_by_address:
            pool = self._pool_by_address[address]
            self._drop(address, pool, DropReason.DOUBTED)
        pool = self._pool(address)
        pool.calls += 1
        try:
            answer = await pool.call(address, call, headers, greeting)
        finally:
            pool.calls -= 1
            self._close_if_done(pool)
        if answer.body is _SILENT:
            self._note_silence(address, pool, call.timeout)
        if answer.status:
            pool.last_response_at = self._clock()
        return answer

    def _pool(self, address: Address) -> _Pool:
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = _Pool(self._clock())
            self._pool_by_address[address] = pool
            self._forget_unused()
        return pool

    def _forget_unused(self) -> None:
        """Drop the pools of addresses that are gone."""
        before = self._clock() - _KEEP_ALIVE
        for address, pool in list(self._pool_by_address.items()):
            if pool.last_response_at < before and not pool.calls:
                self._drop(address, pool, DropReason.UNUSED)

    def _note_silence(
        self,
        address: Address,
        pool: _Pool,
        waited: Seconds,
    ) -> None:
        now = self._clock()
        if self._pool_by_address.get(address) is not pool:
            return
        fresh = now - pool.last_response_at - waited < _HEARD_WITHIN
        _log.info(
            'connections dropped',
            address=address,
            silent_for=round(now - pool.last_response_at, 3),
            calls_in_progress=pool.calls,
        )
        self._drop(address, pool, DropReason.SILENT)
        if fresh:
            self._silences[address] = now
            self._look_for_others(now, waited)

    def _look_for_others(self, now: Seconds, waited: Seconds) -> None:
        """Drop other silent connections if several went silent at once."""
        self._silences = {
            address: at
            for address, at in self._silences.items()
            if now - at < _AT_ONCE
        }
        if len(self._silences) < _SEVERAL:
            return
        if now - self._all_dropped_at < _DROP_ALL_EVERY:
            return
        self._all_dropped_at = now
        before = now - max(waited, _AT_ONCE)
        unheard = [
            (address, pool)
            for address, pool in self._pool_by_address.items()
            if pool.last_response_at < before
        ]
        for address, pool in unheard:
            self._drop(address, pool, DropReason.OTHERS_SILENT)
        _log.warning(
            'several addresses silent',
            silent=list(self._silences),
            dropped=len(unheard),
        )
        if self.on_many_unresponsive is not None:
            self.on_many_unresponsive()

    def _drop(
        self,
        address: Address,
        pool: _Pool,
        reason: DropReason,
    ) -> None:
        """Use new connections from now on; what is in progress may end."""
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
            limit=_PER_HOST,
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
        self.last_response_at = now
        self.dropped = False

    async def call(
        self,
        address: Address,
        call: RawCall,
        headers: dict[str, str] | None,
        greeting: ConnectionProbe | None,
    ) -> RawAnswer:
        """Make one call; its body is `_SILENT` if none came in time."""
        if greeting is None:
            return await self._send(address, call, headers)
        for _ in range(_GREETED_FOR_CALL):
            try:
                with connections_to(greeting.receiver):
                    return await self._send(address, call, headers)
            except UnverifiedConnectionError as error:
                refusal = await self._greet(
                    address,
                    greeting,
                    headers,
                    error.connection,
                )
            if refusal is not None:
                return refusal
        return RawAnswer(0, b'no connection was greeted', reached=False)

    async def _greet(
        self,
        address: Address,
        greeting: ConnectionProbe,
        headers: dict[str, str] | None,
        connection: Any,
    ) -> RawAnswer | None:
        """Learn who is at the other end of a connection.

        Returns
        -------
        None if it is the receiver, else the answer of a call to it, which was
        not made.
        """
        protocol = connection.protocol
        with connections_to(greeting.receiver, connection):
            answer = await self._send(address, greeting.call, headers)
        if not answer.status:
            return answer._replace(reached=False)
        refusal = greeting.check(answer)
        if refusal is None:
            self._connector.mark_verified(protocol, greeting.receiver)
        return refusal

    async def _send(
        self,
        address: Address,
        call: RawCall,
        headers: dict[str, str] | None,
    ) -> RawAnswer:
        timeout = aiohttp.ClientTimeout(
            total=call.timeout + _LONGEST_ANSWER,
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
            return RawAnswer(0, _SILENT)
        except (aiohttp.ClientError, OSError) as error:
            return RawAnswer(0, repr(error).encode())
