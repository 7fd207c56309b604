"""Store on the platform's log service."""

from __future__ import annotations

import base64
import json
import struct
from urllib.parse import urlencode

import msgspec
import structlog

from orchidrail.decoding import DECODE_ERRORS
from orchidrail.store import (
    Appended,
    AppendOutcome,
    EndMoved,
    KeyedRecord,
    LatestPage,
    NotAppended,
    ReadOutcome,
    RecordPage,
    Refused,
    Topic,
    Trimmed,
    Unavailable,
    Uncertain,
)
from orchidrail.store.relay import RawCall, SendCall
from orchidrail.types import Offset, Seconds

_log = structlog.get_logger()
#: Exceptions that decoding a listing may raise; `binascii.Error` and
#: `json.JSONDecodeError` are among them, as `ValueError`.
_MALFORMED = (*DECODE_ERRORS, ValueError)
#: The same where the items may be of any type.
_NO_LISTING = (*_MALFORMED, TypeError, AttributeError)
#: Streams written by the platform and by the operator.
OPERATOR_TOPIC = Topic('keyed.op')
WORKER_TOPIC = Topic('keyed.servers')
STATUS_TOPIC = Topic('keyed.status')
#: The product's own streams; the prefix makes the store retain the newest
#: record of each key.
MEMBER_TOPIC = Topic('keyed.members')
JOURNAL_NAME = 'keyed.journal'

_OK = 200
_GONE = 410
_END_MOVED = 412
#: Statuses that a repeated call gets again: bad request, forbidden, too large.
_FINAL_REFUSALS = frozenset((400, 403, 413))
_LENGTH = struct.Struct('>I')
#: Two numbers of eight bytes each: the end and the first offset retained.
_POSITIONS = struct.Struct('>QQ')
_READ_KB = 1024
_TIMEOUT: Seconds = 1.2
_MILLIS = 1000
#: Bytes of an unexpected response that are quoted.
_MAX_QUOTED = 80


class _Appended(msgspec.Struct):
    offset: int = 0
    end: int = 0


class _Gone(msgspec.Struct):
    first: int = 0


class _Item(msgspec.Struct, rename='camel'):
    #: The record's key; unrelated to TLS.
    tls_key: str
    value: str = ''
    offset: int = 0


class _Listing(msgspec.Struct):
    items: list[_Item] = []
    more: bool = False
    end: int = 0


_decode_appended = msgspec.json.Decoder(_Appended).decode
_decode_gone = msgspec.json.Decoder(_Gone).decode
_decode_listing = msgspec.json.Decoder(_Listing).decode


class PlatformLog:
    """Implements `StoreLog`.

    Parameters
    ----------
    call : callable
        Sends a call to the store.
    """

    def __init__(self, call: SendCall) -> None:
        """Keep the function that calls the store."""
        self._call = call

    async def append(
        self,
        topic: Topic,
        records: list[KeyedRecord],
        expected_end: Offset | None = None,
    ) -> AppendOutcome:
        """See `StoreLog.append`."""
        query: dict[str, str | int] = {
            'topic': topic.name,
            'part': topic.partition,
        }
        if expected_end is not None:
            query['at'] = expected_end
        body = b''.join(_encode_record(record) for record in records)
        target = f'/log-append?{urlencode(query)}'
        answer = await self._call(RawCall('POST', target, body, _TIMEOUT))
        if answer.status == _OK:
            appended = _decode_appended(answer.body)
            return Appended(Offset(appended.offset), Offset(appended.end))
        if answer.status == _END_MOVED:
            return EndMoved(Offset(_decode_appended(answer.body).end))
        reason = f'{answer.status} {answer.body[:_MAX_QUOTED]!r}'
        if answer.status in _FINAL_REFUSALS:
            return Refused(reason)
        if answer.status or not answer.reached:
            return NotAppended(reason)
        return Uncertain(reason)

    async def read(
        self,
        topic: Topic,
        start: Offset,
        wait: Seconds = 0,
    ) -> ReadOutcome:
        """See `StoreLog.read`."""
        query = {
            'topic': topic.name,
            'part': topic.partition,
            'rangeStart': start,
            'max_kb': _READ_KB,
        }
        if wait:
            query['waitMs'] = int(wait * _MILLIS)
        target = f'/log-read?{urlencode(query)}'
        answer = await self._call(
            RawCall('GET', target, b'', _TIMEOUT + wait, wait)
        )
        if answer.status == _OK:
            return _decode_page_or_log(answer.body)
        if answer.status == _GONE:
            return Trimmed(Offset(_decode_gone(answer.body).first))
        return Unavailable(f'{answer.status} {answer.body[:_MAX_QUOTED]!r}')

    async def latest(
        self,
        topic: Topic,
        after: str = '',
    ) -> LatestPage | Unavailable:
        """See `StoreLog.latest`."""
        query = {'topic': topic.name, 'part': topic.partition}
        if after:
            query['afterRevision'] = after
        # The key may be that of another writer, and no UTF-8.
        encoded = urlencode(query, errors='surrogateescape')
        target = f'/log-newest?{encoded}'
        answer = await self._call(RawCall('GET', target, b'', _TIMEOUT))
        if answer.status != _OK:
            return Unavailable(f'{answer.status} {answer.body[:_MAX_QUOTED]!r}')
        return _decode_latest(answer.body)


def _encode_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    length = 1 + len(key) + len(record.value)
    return b''.join(
        (_LENGTH.pack(length), bytes((len(key),)), key, record.value)
    )


def _decode_latest(body: bytes) -> LatestPage | Unavailable:
    """Decode a page of the newest records.

    Keys and values by other writers may be anything. A page that can't be
    decoded as a whole is decoded item by item, so that a malformed item doesn't
    hide the others.
    """
    try:
        listing = _decode_listing(body)
        records = [
            KeyedRecord(item.tls_key, base64.b64decode(item.value))
            for item in listing.items
        ]
    except _MALFORMED as error:
        _log.warning(
            'listing not understood as a whole',
            reason=str(error),
            body=repr(body[:_MAX_QUOTED]),
        )
        return _decode_each_item(body)
    last = listing.items[-1].tls_key if listing.items else ''
    return LatestPage(
        records, last if listing.more else '', Offset(listing.end)
    )


def _decode_each_item(body: bytes) -> LatestPage | Unavailable:
    records: list[KeyedRecord] = []
    after = ''
    try:
        found = json.loads(body.decode(errors='surrogateescape'))
        listing = msgspec.convert({**found, 'items': []}, _Listing)
        for item in found.get('items', ()):
            after = _key_to_continue(item, after)
            record = _convert_item(item)
            if record is not None:
                records.append(record)
    except _NO_LISTING as error:
        return Unavailable(f'{error!r}: {body[:_MAX_QUOTED]!r}')
    return LatestPage(
        records,
        after if listing.more else '',
        Offset(listing.end),
        complete=len(records) == len(found.get('items', ())),
    )


def _convert_item(item: object) -> KeyedRecord | None:
    """Return the record of an item, None if it is none."""
    try:
        one = msgspec.convert(item, _Item)
        value = base64.b64decode(one.value)
    except _MALFORMED as error:
        _log.warning(
            'record not understood',
            item=ascii(item)[:_MAX_QUOTED],
            reason=str(error),
        )
        return None
    return KeyedRecord(_replace_surrogates(one.tls_key), value)


def _replace_surrogates(key: str) -> str:
    """Return a key as `_decode_page` does, if its bytes are known."""
    try:
        raw = key.encode(errors='surrogateescape')
    except UnicodeEncodeError:
        raw = key.encode(errors='surrogatepass')
    return raw.decode(errors='replace')


def _key_to_continue(item: object, before: str) -> str:
    """Return the key of an item, to continue a listing after it.

    Keys that can't be sent are skipped.
    """
    key = item.get('tlsKey') if isinstance(item, dict) else None
    if not isinstance(key, str):
        return before
    try:
        key.encode(errors='surrogateescape')
    except UnicodeEncodeError:
        return before
    return key


def _decode_page_or_log(body: bytes) -> RecordPage | Unavailable:
    try:
        return _decode_page(body)
    except (struct.error, ValueError) as error:
        _log.warning(
            'records not understood',
            reason=str(error),
            body=repr(body[:_MAX_QUOTED]),
        )
        return Unavailable(f'{error!r}: {body[:_MAX_QUOTED]!r}')


def _decode_page(body: bytes) -> RecordPage:
    end, _ = _POSITIONS.unpack_from(body)
    records: list[KeyedRecord] = []
    position = _POSITIONS.size
    while position < len(body):
        length = _LENGTH.unpack_from(body, position)[0]
        position += _LENGTH.size
        record = body[position : position + length]
        if len(record) < length:
            raise ValueError(f'record of {length!r} bytes, got {len(record)!r}')
        position += length
        key_end = 1 + record[0] if record else 0
        # Keys by other writers may be any bytes; they match no key in use.
        key = record[1:key_end].decode(errors='replace')
        records.append(KeyedRecord(key, record[key_end:]))
    return RecordPage(Offset(end), records)
