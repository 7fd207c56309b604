"""Serves stand-ins over HTTP on given sockets, in this process."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable, Generator
from contextlib import AsyncExitStack, contextmanager
from typing import Any

import uvicorn
from blacksheep import Application, Content, Request, Response, Router

from orchidrail.http_handlers import as_handler

Handler = Callable[[Request], Awaitable[Response]]


class _Server(uvicorn.Server):
    @contextmanager
    def capture_signals(self) -> Generator[None]:
        """Install no signal handlers: the soak itself handles signals."""
        yield


def json_response(status: int, body: Any = None) -> Response:
    """Return a response with a JSON body, or with none.

    Bytes are sent as they are.
    """
    if body is None:
        return Response(status)
    encoded = body if isinstance(body, bytes) else json.dumps(body).encode()
    return Response(status, content=Content(b'application/json', encoded))


async def serve(
    stack: AsyncExitStack,
    handler: Handler,
    sockets: list[socket.socket],
) -> None:
    """Serve requests until the stack closes."""
    app = Application(router=Router())
    app.router.fallback = as_handler(handler)
    server = _Server(
        uvicorn.Config(
            app,
            loop='asyncio',
            http='httptools',
            ws='none',
            log_config=None,
            access_log=False,
            timeout_graceful_shutdown=1,
        )
    )
    task = asyncio.create_task(server.serve(sockets=sockets))

    async def shut_down() -> None:
        server.should_exit = True
        await asyncio.wait([task], timeout=3)

    stack.push_async_callback(shut_down)
