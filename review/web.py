"""A small HTTP/1.1 server for stand-ins, and a client call."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit


class Call(NamedTuple):
    """One request; the names of its headers are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the decoded body."""
        return json.loads(self.body or b'{}')


class Reply(NamedTuple):
    """One response."""

    status: int
    body: bytes = b''


Handler = Callable[[Call], Awaitable[Reply | None]]


def reply_json(status: int, value: Any = None) -> Reply:
    """Return a response with a JSON body, or with none."""
    return Reply(status, b'' if value is None else json.dumps(value).encode())


async def read_call(reader: asyncio.StreamReader) -> Call | None:
    """Read one request, None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ')
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length) if length else b''
    parts = urlsplit(target)
    query = {key: words[0] for key, words in parse_qs(parts.query).items()}
    return Call(method, parts.path, query, headers, body)


def encode_reply(reply: Reply) -> bytes:
    """Return the bytes of a response."""
    head = (
        f'HTTP/1.1 {reply.status} x\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(reply.body)}\r\n\r\n'
    )
    return head.encode() + reply.body


class Site:
    """Serves a handler on one address.

    A handler that returns None leaves the call unanswered, and the connection
    silent.
    """

    def __init__(self, handler: Handler) -> None:
        """Store the handler."""
        self._handler = handler
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=4_000_000, backlog=1000
        )

    def close(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with suppress(
                ConnectionError,
                asyncio.IncompleteReadError,
                asyncio.CancelledError,
            ):
                while (call := await read_call(reader)) is not None:
                    reply = await self._handler(call)
                    if reply is None:
                        await reader.read()
                        return
                    writer.write(encode_reply(reply))
                    await writer.drain()
        finally:
            self._writers.discard(writer)
            writer.close()


async def request(
    address: str,
    method: str,
    path: str,
    *,
    host: str = '',
    value: Any = None,
    timeout: float = 3.0,
) -> tuple[int, bytes]:
    """Make one call on a connection of its own; status 0 means no answer."""
    name, _, port = address.rpartition(':')
    body = b'' if value is None else json.dumps(value).encode()
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {host or address}\r\n'
        f'X-Orchidrail-Deadline-Ms: {int(timeout * 1000)}\r\n'
        'Content-Type: application/json\r\nConnection: close\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(name, int(port))
            writer.write(head.encode() + body)
            answer = await reader.readuntil(b'\r\n\r\n')
            status = int(answer.split(b' ', 2)[1])
            return status, await reader.read()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b''
    finally:
        if writer is not None:
            writer.close()
