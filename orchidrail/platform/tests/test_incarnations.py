"""Orders must not reach the next incarnation of a worker at its address.

Crashed workers come back at once under the same name, and the name is all that
an order's header holds. So the next incarnation would execute an order meant
for the previous one, whose runs are already restarted elsewhere. The order's
deadline does not prevent that: the new incarnation's clock has restarted.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager, suppress

import msgspec

from orchidrail.platform.http_calls import HttpCaller
from orchidrail.platform.worker_calls import PlatformWorkers
from orchidrail.testing import AsyncTestCase
from orchidrail.types import Address, Epoch, RunNumber, TaskKey
from orchidrail.workers.port import (
    HoldOrder,
    Listing,
    OrderResult,
    RunKey,
    StartOrder,
    WorkerEntry,
)
from orchidrail.workers.tests.fakes import make_entry

_TIMEOUT = 0.5
_KEY = RunKey(TaskKey('j.0.0.0'), RunNumber(1))
_START = StartOrder(_KEY, 'text', deadline=900, epoch=Epoch(3))
_POLL_WITH_ACK = HoldOrder(Epoch(3), deadline=900, last_seen=40)


class _Worker:
    """A worker at one address; `restart` begins its next incarnation."""

    def __init__(self) -> None:
        self.address = Address('')
        self.born = 1000
        #: Start of the incarnation, path and body of each order received.
        self.orders: list[tuple[int, str, dict[str, object]]] = []
        self._open: set[asyncio.StreamWriter] = set()

    def restart(self, born: int) -> None:
        self.born = born
        for writer in self._open:
            writer.transport.abort()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._open.add(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await self._answer(reader, writer)
        self._open.discard(writer)
        writer.close()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        length = int(head.lower().partition('content-length:')[2].split()[0])
        order = json.loads(await reader.readexactly(length))
        path = head.split()[1]
        self.orders.append((self.born, path, order))
        listing = {'clockMs': 5, 'born': self.born, 'active': [], 'ended': []}
        body = json.dumps(
            listing if path == '/hold' else {'clockMs': 5}
        ).encode()
        size = f'Content-Length: {len(body)}\r\n\r\n'
        writer.write(b'HTTP/1.1 200 OK\r\n' + size.encode() + body)

    def orders_of(self, born: int, path: str) -> list[dict[str, object]]:
        return [
            order
            for incarnation, called, order in self.orders
            if (incarnation, called) == (born, path)
        ]


@asynccontextmanager
async def _listening() -> AsyncGenerator[_Worker, None]:
    worker = _Worker()
    server = await asyncio.start_server(worker.serve, '127.0.0.1')
    host, port = server.sockets[0].getsockname()
    worker.address = Address(f'{host}:{port}')
    try:
        yield worker
    finally:
        server.close()


class LivesTest(AsyncTestCase):
    def test_a_start_reaches_no_other_incarnation(self) -> None:
        async def run_scenario() -> None:
            caller = HttpCaller()
            workers = PlatformWorkers(caller)
            async with _listening() as worker:
                entry = msgspec.structs.replace(
                    make_entry(),
                    address=worker.address,
                    born=1000,
                )
                first = await workers.start(entry, _START, _TIMEOUT)
                self.assertEqual(OrderResult.TAKEN, first.result)
                worker.restart(born=2000)
                await asyncio.sleep(0.05)
                second = await workers.start(entry, _START, _TIMEOUT)
                self.assertEqual([], worker.orders_of(2000, '/run-start'))
                self.assertEqual(OrderResult.OTHER_INCARNATION, second.result)
            await caller.close()

        self.run_async(run_scenario())

    def test_polls_acknowledge_and_renew_no_other_incarnation(self) -> None:
        async def run_scenario() -> None:
            caller = HttpCaller()
            workers = PlatformWorkers(caller)
            async with _listening() as worker:
                entry = msgspec.structs.replace(
                    make_entry(),
                    address=worker.address,
                    born=1000,
                )
                first = await workers.hold(entry, _POLL_WITH_ACK, _TIMEOUT)
                self.assertIsInstance(first, Listing)
                worker.restart(born=2000)
                await asyncio.sleep(0.05)
                await workers.hold(entry, _POLL_WITH_ACK, _TIMEOUT)
                for order in worker.orders_of(2000, '/hold'):
                    self.assertEqual(0, order['lastSeen'])
                    self.assertNotIn('deadlineMs', order)
            await caller.close()

        self.run_async(run_scenario())

    async def open_connections(
        self,
        workers: PlatformWorkers,
        entry: WorkerEntry,
        count: int,
    ) -> None:
        poll = HoldOrder(Epoch(3))
        polls = [workers.hold(entry, poll, _TIMEOUT) for _ in range(count)]
        await asyncio.gather(*polls)

    def test_already_open_connections_are_verified_too(self) -> None:
        """A worker may be called before it reports its start."""

        async def run_scenario() -> None:
            caller = HttpCaller()
            workers = PlatformWorkers(caller)
            async with _listening() as worker:
                unknown = msgspec.structs.replace(
                    make_entry(),
                    address=worker.address,
                )
                for count in (2, 3, 6):
                    await self.open_connections(workers, unknown, count)
                    known = msgspec.structs.replace(unknown, born=1000)
                    answer = await workers.start(known, _START, _TIMEOUT)
                    self.assertEqual(OrderResult.TAKEN, answer.result)
                    worker.restart(born=1000)
                    await asyncio.sleep(0.05)
            await caller.close()

        self.run_async(run_scenario())
