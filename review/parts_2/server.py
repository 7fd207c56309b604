"""HTTP server of a stand-in, which can be cut off or end at once."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import NoReturn

from aiohttp import web

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def hang() -> NoReturn:
    """Never answer: the connection says nothing further."""
    while True:
        await asyncio.sleep(3600)


class Server:
    """Listens on a free port of a loopback address.

    Parameters
    ----------
    handler : callable
        Answers one request.
    """

    def __init__(self, handler: Handler) -> None:
        self._server = web.Server(handler, access_log=None)
        self._listener: asyncio.Server | None = None
        self._socket: socket.socket | None = None

    async def start(self, host: str) -> str:
        """Listen; return the address."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, host, 0)
        bound_host, port = self._listener.sockets[0].getsockname()[:2]
        return f'{bound_host}:{port}'

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self._server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        if self._listener is not None:
            self._listener.close()
        self.reset_connections()
