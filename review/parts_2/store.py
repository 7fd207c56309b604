"""Stand-in for the platform's store, in the form of a log."""

from __future__ import annotations

import asyncio
import base64
import struct
from collections.abc import Callable
from contextlib import suppress
from enum import Enum

from aiohttp import web

from review.parts_2.record import Record
from review.parts_2.server import Server, hang

_LENGTH = struct.Struct('>I')
_POSITIONS = struct.Struct('>QQ')
_ANSWER_SECONDS = 0.004
_PAGE_ITEMS = 500


class Treatment(Enum):
    """What the store does with a call."""

    SERVE = 'serve'
    #: The call is done, and its answer is lost.
    LOSE_ANSWER = 'lose answer'
    #: The call is not done and not answered.
    IGNORE = 'ignore'


class Topic:
    """The only partition of a topic.

    Its name begins with ``keyed.``, so the newest record of each key stays.
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest_by_key: dict[str, tuple[int, bytes]] = {}
        #: The records before this offset are gone.
        self.first = 0
        self.appended = asyncio.Event()

    def append(self, raw: bytes) -> None:
        """Append one record: the length of its key, the key, the value."""
        key_end = 1 + raw[0]
        key = raw[1:key_end].decode()
        self.newest_by_key.pop(key, None)
        if raw[key_end:]:
            self.newest_by_key[key] = len(self.records), raw[key_end:]
        self.records.append(raw)
        self.appended.set()
        self.appended = asyncio.Event()


def split_records(body: bytes) -> list[bytes]:
    """Return the records of an append."""
    records = []
    position = 0
    while position < len(body):
        length = _LENGTH.unpack_from(body, position)[0]
        position += _LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records


def serve_all(machine: str, topic: str, records: list[bytes]) -> Treatment:
    """Serve every append."""
    return Treatment.SERVE


class Store:
    """Answers the calls of `PROTOCOL.md` that machines make.

    Each machine has an address of its own, so that faults can be limited to it.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._topic_by_name: dict[str, Topic] = {}
        self._servers: list[Server] = []
        self._down = False
        #: Decides how an append of a machine to a topic is treated.
        self.on_append: Callable[[str, str, list[bytes]], Treatment] = serve_all
        #: Called after an append was done.
        self.on_appended: Callable[[str, str, list[bytes]], None] = (
            lambda machine, topic, records: None
        )

    def set_down(self, *, down: bool) -> None:
        """Stop answering anybody, or answer again.

        What was sent meanwhile is not done.
        """
        self._down = down
        self._record.write('store: down' if down else 'store: back')
        if not down:
            for server in self._servers:
                server.reset_connections()

    async def open_for(self, machine: str, host: str) -> str:
        """Return the address of the store for one machine."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return await self._answer(machine, request)

        server = Server(handle)
        self._servers.append(server)
        return await server.start(host)

    async def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.crash()

    def topic(self, name: str) -> Topic:
        """Return a topic, created when it is first used."""
        return self._topic_by_name.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record of the operator or of a worker."""
        encoded = key.encode()
        self.topic(topic).append(bytes((len(encoded),)) + encoded + value)

    def forget_history(self) -> None:
        """Remove all records but the newest of each key."""
        for topic in self._topic_by_name.values():
            topic.first = len(topic.records)
        self._record.write('store: history forgotten')

    async def _answer(
        self, machine: str, request: web.BaseRequest
    ) -> web.StreamResponse:
        await asyncio.sleep(_ANSWER_SECONDS)
        if self._down:
            await hang()
        name = request.query['topic']
        topic = self.topic(name)
        if request.path == '/log-append':
            return await self._append(machine, name, request)
        if request.path == '/log-read':
            return await self._read(topic, request)
        return _list_newest(topic, request)

    async def _append(
        self, machine: str, name: str, request: web.BaseRequest
    ) -> web.StreamResponse:
        records = split_records(await request.read())
        treatment = self.on_append(machine, name, records)
        if treatment is Treatment.IGNORE:
            await hang()
        topic = self.topic(name)
        end = len(topic.records)
        expected = request.query.get('at')
        if expected is not None and int(expected) != end:
            return web.json_response({'end': end}, status=412)
        for raw in records:
            topic.append(raw)
        self.on_appended(machine, name, records)
        if treatment is Treatment.LOSE_ANSWER:
            self._record.write(
                'store: append done, answer lost',
                machine=machine,
                at=end,
                records=len(records),
            )
            await hang()
        return web.json_response({'offset': end, 'end': len(topic.records)})

    async def _read(
        self, topic: Topic, request: web.BaseRequest
    ) -> web.StreamResponse:
        start = int(request.query['rangeStart'])
        wait = int(request.query.get('waitMs', 0)) / 1000
        if start >= len(topic.records) and wait:
            with suppress(TimeoutError):
                await asyncio.wait_for(topic.appended.wait(), wait)
        if self._down:
            await hang()
        if start < topic.first:
            return web.json_response({'first': topic.first}, status=410)
        body = [_POSITIONS.pack(len(topic.records), topic.first)]
        for raw in topic.records[start:]:
            body += (_LENGTH.pack(len(raw)), raw)
        return web.Response(body=b''.join(body))


def _list_newest(topic: Topic, request: web.BaseRequest) -> web.StreamResponse:
    after = request.query.get('afterRevision', '')
    keys = sorted(key for key in topic.newest_by_key if key > after)
    items = [
        {
            'tlsKey': key,
            'value': base64.b64encode(topic.newest_by_key[key][1]).decode(),
            'offset': topic.newest_by_key[key][0],
        }
        for key in keys[:_PAGE_ITEMS]
    ]
    more = len(keys) > _PAGE_ITEMS
    return web.json_response(
        {'items': items, 'more': more, 'end': len(topic.records)}
    )
