"""Tests of HTTP calls: timeouts and dropped connections."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack, asynccontextmanager, suppress

from orchidrail.platform.http_calls import DropReason, HttpCaller
from orchidrail.store.relay import RawAnswer, RawCall
from orchidrail.testing import AsyncTestCase
from orchidrail.types import Address

_CHUNKS = 6
_CHUNK_INTERVAL = 0.1
_IDLE_TIME = 0.6
_TIMEOUT = 0.3
_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % _CHUNKS


@asynccontextmanager
async def _server(chunks: int) -> AsyncGenerator[Address, None]:
    """Serve a response in chunks, of which only `chunks` are sent."""

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        if chunks:
            writer.write(_HEAD)
        for _ in range(chunks):
            await asyncio.sleep(_CHUNK_INTERVAL)
            writer.write(b'x')
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1')
    host, port = server.sockets[0].getsockname()
    try:
        yield Address(f'{host}:{port}')
    finally:
        server.close()


class _StallingServer:
    """Responds at once, until its open connections are silenced."""

    def __init__(self) -> None:
        self.address = Address('')
        self._stalled: set[asyncio.StreamWriter] = set()
        self._open: set[asyncio.StreamWriter] = set()

    def stall(self) -> None:
        """Stop responding, but keep reading, on all open connections."""
        self._stalled.update(self._open)

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._open.add(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                if writer not in self._stalled:
                    writer.write(
                        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
                    )
        self._open.discard(writer)
        writer.close()


@asynccontextmanager
async def _stalling_server() -> AsyncGenerator[_StallingServer, None]:
    stalling = _StallingServer()
    server = await asyncio.start_server(stalling.serve, '127.0.0.1')
    host, port = server.sockets[0].getsockname()
    stalling.address = Address(f'{host}:{port}')
    try:
        yield stalling
    finally:
        server.close()


class HttpCallerTest(AsyncTestCase):
    def call(self, chunks: int) -> tuple[RawAnswer, float]:
        """Make one call; also return its duration in seconds."""

        async def run_scenario() -> tuple[RawAnswer, float]:
            caller = HttpCaller()
            async with _server(chunks) as address:
                started_at = time.monotonic()
                call = RawCall('GET', '/x', timeout=_TIMEOUT)
                answer = await caller.call(address, call)
                duration = time.monotonic() - started_at
                await caller.close()
            return answer, duration

        return self.run_async(run_scenario())

    def test_a_slow_response_is_waited_for(self) -> None:
        answer, duration = self.call(_CHUNKS)
        self.assertEqual(b'x' * _CHUNKS, answer.body)
        self.assertGreater(duration, _TIMEOUT)

    def test_an_invalid_request_gets_no_answer(self) -> None:
        """Else the session with a worker of such an entry fails each time."""

        async def scenario() -> None:
            caller = HttpCaller()
            call = RawCall('GET', '/', b'', _TIMEOUT)
            for address in ('a:99999', '\N{SNOWMAN}..x:1', f'{"a" * 300}:1'):
                answer = await caller.call(Address(address), call)
                self.assertEqual(0, answer.status)
            header = {'X-Name': 'a\r\nb'}
            answer = await caller.call(Address('127.0.0.1:9'), call, header)
            self.assertEqual(0, answer.status)
            await caller.close()

        self.run_async(scenario())

    def test_an_unresponsive_receiver_times_out(self) -> None:
        answer, duration = self.call(0)
        self.assertEqual(0, answer.status)
        self.assertLess(duration, 2 * _TIMEOUT)

    def test_an_incomplete_response_times_out(self) -> None:
        answer, duration = self.call(_CHUNKS - 1)
        self.assertEqual(0, answer.status)
        self.assertLess(duration, _CHUNKS * _CHUNK_INTERVAL + 2 * _TIMEOUT)

    def test_idle_connections_are_dropped_after_a_timeout(self) -> None:
        """Open connections stop responding for good while new ones work."""

        async def run_scenario() -> None:
            caller = HttpCaller()
            dropped: list[DropReason] = []
            caller.on_drop = dropped.append
            call = RawCall('GET', '/x', timeout=_TIMEOUT)
            async with _stalling_server() as server:
                address = server.address
                calls = (caller.call(address, call) for _ in range(4))
                first = await asyncio.gather(*calls)
                server.stall()
                started_at = time.monotonic()
                timed_out = await caller.call(address, call)
                answers = [await caller.call(address, call) for _ in range(4)]
                duration = time.monotonic() - started_at
                await caller.close()
            self.assertEqual({200}, {answer.status for answer in first})
            self.assertEqual(0, timed_out.status)
            self.assertTrue(timed_out.reached)
            self.assertEqual({200}, {answer.status for answer in answers})
            self.assertLess(duration, 2 * _TIMEOUT)
            self.assertEqual([DropReason.TIMED_OUT], dropped)

        self.run_async(run_scenario())

    def test_timeouts_of_several_addresses_drop_the_others_too(self) -> None:
        async def run_scenario() -> None:
            caller = HttpCaller()
            call = RawCall('GET', '/x', timeout=_TIMEOUT)
            async with AsyncExitStack() as stack:
                servers = [
                    await stack.enter_async_context(_stalling_server())
                    for _ in range(6)
                ]
                for server in servers:
                    await caller.call(server.address, call)
                await asyncio.sleep(_IDLE_TIME)
                for server in servers:
                    server.stall()
                calls = [caller.call(one.address, call) for one in servers[:3]]
                await asyncio.gather(*calls)
                started_at = time.monotonic()
                later = [
                    await caller.call(server.address, call)
                    for server in servers
                ]
                duration = time.monotonic() - started_at
                await caller.close()
            self.assertEqual({200}, {answer.status for answer in later})
            self.assertLess(duration, _TIMEOUT)

        self.run_async(run_scenario())

    def test_a_response_in_progress_survives_a_drop(self) -> None:
        async def run_scenario() -> None:
            caller = HttpCaller()
            async with _server(_CHUNKS) as address:
                slow = RawCall('GET', '/slow', timeout=2 * _TIMEOUT)
                short = RawCall('GET', '/short', timeout=_CHUNK_INTERVAL / 2)
                coming = asyncio.create_task(caller.call(address, slow))
                await asyncio.sleep(_CHUNK_INTERVAL)
                self.assertEqual(0, (await caller.call(address, short)).status)
                self.assertEqual(b'x' * _CHUNKS, (await coming).body)
                await caller.close()

        self.run_async(run_scenario())
