"""Tests of plain calls: what is waited for, and what is given up."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

from orchidrail.platform.http_calls import HttpCaller
from orchidrail.store.relay import RawAnswer, RawCall
from orchidrail.testing import AsyncTestCase
from orchidrail.types import Address

_PIECES = 6
_PIECE_EVERY = 0.1
_TIMEOUT = 0.3
_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % _PIECES


@asynccontextmanager
async def _server(pieces: int) -> AsyncGenerator[Address, None]:
    """Serve an answer piece by piece, of which only so many are sent."""

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        if pieces:
            writer.write(_HEAD)
        for _ in range(pieces):
            await asyncio.sleep(_PIECE_EVERY)
            writer.write(b'x')
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1')
    host, port = server.sockets[0].getsockname()
    try:
        yield Address(f'{host}:{port}')
    finally:
        server.close()


class HttpCallerTest(AsyncTestCase):
    def call(self, pieces: int) -> tuple[RawAnswer, float]:
        """Make one call; also return how long it took."""

        async def scene() -> tuple[RawAnswer, float]:
            caller = HttpCaller()
            async with _server(pieces) as address:
                began = time.monotonic()
                call = RawCall('GET', '/x', timeout=_TIMEOUT)
                answer = await caller.call(address, call)
                took = time.monotonic() - began
                await caller.close()
            return answer, took

        return self.run_async(scene())

    def test_an_answer_that_is_coming_is_waited_for(self) -> None:
        answer, took = self.call(_PIECES)
        self.assertEqual(b'x' * _PIECES, answer.body)
        self.assertGreater(took, _TIMEOUT)

    def test_a_silent_receiver_is_given_up(self) -> None:
        answer, took = self.call(0)
        self.assertEqual(0, answer.status)
        self.assertLess(took, 2 * _TIMEOUT)

    def test_an_answer_that_stops_coming_is_given_up(self) -> None:
        answer, took = self.call(_PIECES - 1)
        self.assertEqual(0, answer.status)
        self.assertLess(took, _PIECES * _PIECE_EVERY + 2 * _TIMEOUT)
