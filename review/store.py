"""Stand-in for the platform's store, with the limits of the settings."""

from __future__ import annotations

import asyncio
import base64
import struct
from contextlib import suppress

from review.web import Call, Reply, reply_json

_LENGTH = struct.Struct('>I')
_POSITIONS = struct.Struct('>QQ')
#: `platform.record_bytes`, `platform.call_bytes` and the pages of a listing.
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
_PAGE_ITEMS = 500
_PAGE_BYTES = 1_000_000
_APPEND_SECONDS = 0.004


class _Topic:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.appended = asyncio.Event()

    def append(self, raw: bytes) -> None:
        key = raw[1 : 1 + raw[0]].decode()
        value = raw[1 + raw[0] :]
        self.newest.pop(key, None)
        if value:
            self.newest[key] = len(self.records), value
        self.records.append(raw)
        self.appended.set()
        self.appended = asyncio.Event()


class Store:
    """Keyed topics with one partition each."""

    def __init__(self) -> None:
        """Start empty."""
        self._topic_by_name: dict[str, _Topic] = {}
        #: Appends refused because a record or the call was too large.
        self.refused_appends = 0
        self.largest_refused = 0

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record on behalf of the operator or a worker."""
        name = key.encode()
        self._topic(topic).append(bytes((len(name),)) + name + value)

    def _topic(self, name: str) -> _Topic:
        return self._topic_by_name.setdefault(name, _Topic())

    async def serve(self, call: Call) -> Reply:
        """Answer one call."""
        topic = self._topic(call.query.get('topic', ''))
        if call.path == '/log-append':
            await asyncio.sleep(_APPEND_SECONDS)
            return self._append(topic, call)
        if call.path == '/log-read':
            return await self._read(topic, call)
        if call.path == '/log-newest':
            return self._newest(topic, call.query.get('afterRevision', ''))
        return reply_json(400)

    def _append(self, topic: _Topic, call: Call) -> Reply:
        end = len(topic.records)
        if 'at' in call.query and int(call.query['at']) != end:
            return reply_json(412, {'end': end})
        records, position = [], 0
        while position < len(call.body):
            length = _LENGTH.unpack_from(call.body, position)[0]
            position += _LENGTH.size
            records.append(call.body[position : position + length])
            position += length
        largest = max(map(len, records), default=0)
        if largest > RECORD_BYTES or len(call.body) > CALL_BYTES:
            self.refused_appends += 1
            self.largest_refused = max(self.largest_refused, largest)
            return reply_json(400, {'reason': 'too large'})
        for record in records:
            topic.append(record)
        return reply_json(200, {'offset': end, 'end': len(topic.records)})

    async def _read(self, topic: _Topic, call: Call) -> Reply:
        start = int(call.query['rangeStart'])
        wait = int(call.query.get('waitMs', 0)) / 1000
        if start >= len(topic.records) and wait:
            with suppress(TimeoutError):
                await asyncio.wait_for(topic.appended.wait(), wait)
        most = int(call.query.get('max_kb', 1024)) * 1024
        parts = [_POSITIONS.pack(len(topic.records), 0)]
        size = _POSITIONS.size
        for record in topic.records[start:]:
            size += _LENGTH.size + len(record)
            if size > most:
                break
            parts += (_LENGTH.pack(len(record)), record)
        return Reply(200, b''.join(parts))

    def _newest(self, topic: _Topic, after: str) -> Reply:
        keys = sorted(key for key in topic.newest if key > after)
        items, size = [], 0
        for key in keys[:_PAGE_ITEMS]:
            offset, value = topic.newest[key]
            size += len(value)
            if items and size > _PAGE_BYTES:
                break
            encoded = base64.b64encode(value).decode()
            items.append({'tlsKey': key, 'value': encoded, 'offset': offset})
        more = len(items) < len(keys)
        end = len(topic.records)
        return reply_json(200, {'items': items, 'more': more, 'end': end})
