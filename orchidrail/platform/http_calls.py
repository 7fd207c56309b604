"""Plain HTTP calls to the platform, its workers and its advice service."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import aiohttp

from orchidrail.store.relay import RawAnswer, RawCall
from orchidrail.types import Address, Seconds

#: Connections to one address: a held one, and starts beside it.
_PER_HOST = 6
_CONNECT_TIMEOUT: Seconds = 0.5
#: Time in which an answer that has begun must be there: the store lists 1 MB
#: at once, which takes 1.6 s at 5 Mbit/s.
_LONGEST_ANSWER: Seconds = 4.0
#: Idle connections are kept longer than a worker is left alone.
_KEEP_ALIVE: Seconds = 60
_JSON = {'Content-Type': 'application/json'}


def _make_socket(address: Any) -> socket.socket:
    made = socket.socket(*address[:3])
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return made


class HttpCaller:
    """One pool of connections for all calls that go out."""

    def __init__(self) -> None:
        """Open no connection yet; must be made inside the event loop."""
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=_PER_HOST,
            keepalive_timeout=_KEEP_ALIVE,
            ttl_dns_cache=None,
            socket_factory=_make_socket,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def call(
        self,
        address: Address,
        call: RawCall,
        headers: dict[str, str] | None = None,
    ) -> RawAnswer:
        """Make one call; a connection that stays silent is given up.

        An answer that is coming is waited for: a long one takes seconds on a
        slow link.

        Returns
        -------
        The answer, with status 0 if there is none; `reached` is then False
        only if the call can't have got through.
        """
        timeout = aiohttp.ClientTimeout(
            total=call.timeout + _LONGEST_ANSWER,
            connect=call.timeout,
            sock_connect=min(_CONNECT_TIMEOUT, call.timeout),
            sock_read=call.timeout,
        )
        try:
            async with self._session.request(
                call.method,
                f'http://{address}{call.target}',
                data=call.body or None,
                headers=_JSON if headers is None else {**_JSON, **headers},
                timeout=timeout,
            ) as response:
                return RawAnswer(response.status, await response.read())
        except aiohttp.ClientConnectorError as error:
            return RawAnswer(0, repr(error).encode(), reached=False)
        except aiohttp.ConnectionTimeoutError as error:
            return RawAnswer(0, repr(error).encode(), reached=False)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            return RawAnswer(0, repr(error).encode())
