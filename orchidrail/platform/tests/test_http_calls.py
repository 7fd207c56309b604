"""Tests of plain calls: what is waited for, and what is given up."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack, asynccontextmanager, suppress

from orchidrail.platform.http_calls import DropReason, HttpCaller
from orchidrail.store.relay import RawAnswer, RawCall
from orchidrail.testing import AsyncTestCase
from orchidrail.types import Address

_PIECES = 6
_PIECE_EVERY = 0.1
_DOUBTED_AFTER = 0.6
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


class _SilencingServer:
    """Answers at once, until its open connections are silenced."""

    def __init__(self) -> None:
        self.address = Address('')
        self._silenced: set[asyncio.StreamWriter] = set()
        self._open: set[asyncio.StreamWriter] = set()

    def silence(self) -> None:
        """Read on, and answer nothing more, on all that are open now."""
        self._silenced.update(self._open)

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._open.add(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                if writer not in self._silenced:
                    writer.write(
                        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
                    )
        self._open.discard(writer)
        writer.close()


@asynccontextmanager
async def _silencing_server() -> AsyncGenerator[_SilencingServer, None]:
    silencing = _SilencingServer()
    server = await asyncio.start_server(silencing.serve, '127.0.0.1')
    host, port = server.sockets[0].getsockname()
    silencing.address = Address(f'{host}:{port}')
    try:
        yield silencing
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

    def test_idle_connections_are_dropped_after_one_was_silent(self) -> None:
        """Open connections go silent for good while new ones work."""

        async def scene() -> None:
            caller = HttpCaller()
            dropped: list[DropReason] = []
            caller.on_drop = dropped.append
            call = RawCall('GET', '/x', timeout=_TIMEOUT)
            async with _silencing_server() as server:
                address = server.address
                calls = (caller.call(address, call) for _ in range(4))
                first = await asyncio.gather(*calls)
                server.silence()
                began = time.monotonic()
                silent = await caller.call(address, call)
                answers = [await caller.call(address, call) for _ in range(4)]
                took = time.monotonic() - began
                await caller.close()
            self.assertEqual({200}, {answer.status for answer in first})
            self.assertEqual(0, silent.status)
            self.assertTrue(silent.reached)
            self.assertEqual({200}, {answer.status for answer in answers})
            self.assertLess(took, 2 * _TIMEOUT)
            self.assertEqual([DropReason.SILENT], dropped)

        self.run_async(scene())

    def test_where_several_are_silent_the_others_are_doubted(self) -> None:
        async def scene() -> None:
            caller = HttpCaller()
            call = RawCall('GET', '/x', timeout=_TIMEOUT)
            async with AsyncExitStack() as stack:
                servers = [
                    await stack.enter_async_context(_silencing_server())
                    for _ in range(6)
                ]
                for server in servers:
                    await caller.call(server.address, call)
                await asyncio.sleep(_DOUBTED_AFTER)
                for server in servers:
                    server.silence()
                calls = [caller.call(one.address, call) for one in servers[:3]]
                await asyncio.gather(*calls)
                began = time.monotonic()
                later = [
                    await caller.call(server.address, call)
                    for server in servers
                ]
                took = time.monotonic() - began
                await caller.close()
            self.assertEqual({200}, {answer.status for answer in later})
            self.assertLess(took, _TIMEOUT)

        self.run_async(scene())

    def test_an_answer_in_progress_outlives_a_drop(self) -> None:
        async def scene() -> None:
            caller = HttpCaller()
            async with _server(_PIECES) as address:
                slow = RawCall('GET', '/slow', timeout=2 * _TIMEOUT)
                hasty = RawCall('GET', '/hasty', timeout=_PIECE_EVERY / 2)
                coming = asyncio.create_task(caller.call(address, slow))
                await asyncio.sleep(_PIECE_EVERY)
                self.assertEqual(0, (await caller.call(address, hasty)).status)
                self.assertEqual(b'x' * _PIECES, (await coming).body)
                await caller.close()

        self.run_async(scene())
