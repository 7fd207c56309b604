"""Stand-in for the platform's store: partitions of keyed records."""

from __future__ import annotations

import asyncio
import base64
import struct
import time
from contextlib import suppress
from typing import NamedTuple

from blacksheep import Request, Response

from soak.http import json_response

_LENGTH = struct.Struct('>I')
_POSITIONS = struct.Struct('>QQ')
#: Seconds for which records stay readable; shorter than on the platform, so
#: that readers that were disconnected find trimmed history.
_RETENTION_SECONDS = 8.0
_PAGE_SIZE = 50


class _Record(NamedTuple):
    written_at: float
    raw: bytes

    @property
    def key(self) -> str:
        return self.raw[1 : 1 + self.raw[0]].decode()

    @property
    def value(self) -> bytes:
        return self.raw[1 + self.raw[0] :]


class _Topic:
    def __init__(self) -> None:
        self.records: list[_Record] = []
        self.latest_by_key: dict[str, tuple[int, bytes]] = {}
        self.first = 0
        self.appended = asyncio.Event()

    def append(self, raw: bytes) -> None:
        record = _Record(time.monotonic(), raw)
        self.latest_by_key.pop(record.key, None)
        if record.value:
            self.latest_by_key[record.key] = len(self.records), record.value
        self.records.append(record)
        self.appended.set()
        self.appended = asyncio.Event()

    def trim(self) -> None:
        before = time.monotonic() - _RETENTION_SECONDS
        while (
            self.first < len(self.records)
            and self.records[self.first].written_at < before
        ):
            self.first += 1


class StoreStandIn:
    """Answers the store calls of `PROTOCOL` that instances make."""

    def __init__(self) -> None:
        """Start empty."""
        self._topic_by_name: dict[str, _Topic] = {}

    def put(self, name: str, key: str, value: bytes) -> None:
        """Write a record on behalf of the operator or a worker."""
        encoded = key.encode()
        self._topic(name).append(bytes((len(encoded),)) + encoded + value)

    async def serve(self, request: Request) -> Response:
        """Answer one call."""
        query = {key: words[0] for key, words in request.query.items()}
        topic = self._topic(query['topic'])
        topic.trim()
        path = request.url.path.decode()
        if path == '/log-append':
            return self._append(topic, query, await request.read() or b'')
        if path == '/log-read':
            return await self._read(topic, query)
        return self._list_latest(topic, query)

    def _topic(self, name: str) -> _Topic:
        return self._topic_by_name.setdefault(name, _Topic())

    def _append(
        self,
        topic: _Topic,
        query: dict[str, str],
        body: bytes,
    ) -> Response:
        end = len(topic.records)
        if 'at' in query and int(query['at']) != end:
            return json_response(412, {'end': end})
        position = 0
        while position < len(body):
            length = _LENGTH.unpack_from(body, position)[0]
            position += _LENGTH.size
            topic.append(body[position : position + length])
            position += length
        return json_response(200, {'offset': end, 'end': len(topic.records)})

    async def _read(self, topic: _Topic, query: dict[str, str]) -> Response:
        start = int(query['rangeStart'])
        if start < topic.first:
            return json_response(410, {'first': topic.first})
        wait = int(query.get('waitMs', 0)) / 1000
        if start >= len(topic.records) and wait:
            with suppress(TimeoutError):
                await asyncio.wait_for(topic.appended.wait(), wait)
        parts = [_POSITIONS.pack(len(topic.records), topic.first)]
        for record in topic.records[start:]:
            parts += (_LENGTH.pack(len(record.raw)), record.raw)
        return json_response(200, b''.join(parts))

    def _list_latest(self, topic: _Topic, query: dict[str, str]) -> Response:
        after = query.get('afterRevision', '')
        keys = sorted(key for key in topic.latest_by_key if key > after)
        listed = [
            {
                'tlsKey': key,
                'value': base64.b64encode(topic.latest_by_key[key][1]).decode(),
                'offset': topic.latest_by_key[key][0],
            }
            for key in keys[:_PAGE_SIZE]
        ]
        more = len(keys) > _PAGE_SIZE
        end = len(topic.records)
        return json_response(200, {'items': listed, 'more': more, 'end': end})
