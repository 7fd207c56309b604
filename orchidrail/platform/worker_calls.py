"""Orders to the platform's workers and requests to its advice service."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TypeVar

import msgspec
import structlog

from orchidrail.decoding import DECODE_ERRORS
from orchidrail.platform.http_calls import HttpCaller
from orchidrail.platform.verified_connections import ConnectionProbe
from orchidrail.store.relay import RawAnswer, RawCall
from orchidrail.types import (
    Address,
    Epoch,
    RunNumber,
    Seconds,
    TaskKey,
    WorkerName,
)
from orchidrail.workers.port import (
    ActiveRun,
    EndedRun,
    HoldOrder,
    Listing,
    OrderAnswer,
    OrderResult,
    RunEnding,
    RunKey,
    StartOrder,
    TicketsByName,
    WorkerEntry,
)

_log = structlog.get_logger()
_Body = TypeVar('_Body')
#: Bytes of an invalid response that are logged.
_MAX_QUOTED = 120
_OK = 200
_EXPECTED_NAME_HEADER = 'X-Orchidrail-Expect-Instance'
_START = '/run-start'
_STOP = '/run-stop'
_POLL = '/hold'
_MILLIS = 1000
#: Number of endings in one listing at most; the rest follows once these are
#: acknowledged.
_MAX_LISTED_ENDINGS = 500
_BAD_REQUEST = 400
#: Status by which another incarnation than the expected one responds.
_MISDIRECTED = 421
_RESULT_BY_STATUS = {
    _BAD_REQUEST: OrderResult.INVALID,
    _MISDIRECTED: OrderResult.OTHER_INCARNATION,
    429: OrderResult.UNHEALTHY,
    503: OrderResult.UNHEALTHY,
}
_RESULT_BY_REASON = {
    'fence': OrderResult.FENCED,
    'old': OrderResult.OLD_RUN,
    'late': OrderResult.LATE,
    'room': OrderResult.NO_ROOM,
    'ticket': OrderResult.NO_TICKET,
}
_CONFLICT = 409


class _OrderBody(msgspec.Struct, rename='camel'):
    #: The worker's own clock.
    clock_ms: float | None = None
    reason: str = ''
    born: int | None = None


class _ActiveRow(msgspec.Struct, array_like=True):
    task: str
    run: int
    checkpoint: str | None = ''
    percent: float | None = 0
    #: Over the last half second: the tail response time of a latency-sensitive
    #: task in milliseconds, else the cores in use.
    load: float | None = 0


class _EndedRow(msgspec.Struct, array_like=True):
    number: int
    task: str
    run: int
    how: RunEnding
    checkpoint: str | None = ''


class _ListingBody(msgspec.Struct, rename='camel'):
    clock_ms: float
    active: list[_ActiveRow] = []
    ended: list[_EndedRow] = []
    born: int | None = None


class _Ticket(msgspec.Struct, array_like=True):
    name: str
    ticket: str


class _AdviceBody(msgspec.Struct):
    good: list[_Ticket] = []
    valid_ms: float = 0


_decode_order = msgspec.json.Decoder(_OrderBody).decode
_decode_listing = msgspec.json.Decoder(_ListingBody).decode
_decode_advice = msgspec.json.Decoder(_AdviceBody).decode
_encode = msgspec.json.Encoder().encode


class PlatformWorkers:
    """Implements `WorkerCalls`."""

    def __init__(self, caller: HttpCaller) -> None:
        """Share the connections of `caller`."""
        self._caller = caller

    async def start(
        self,
        entry: WorkerEntry,
        order: StartOrder,
        timeout: Seconds,
    ) -> OrderAnswer:
        """See `WorkerCalls.start`."""
        body = {
            'taskId': order.key.task,
            'runId': order.key.run,
            'spec': order.text,
            'deadlineMs': int(order.deadline * _MILLIS),
            'fencingToken': order.epoch,
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        answer = await self._order(entry, _START, body, timeout)
        return _decode_result(answer)

    async def stop(
        self,
        entry: WorkerEntry,
        key: RunKey,
        epoch: Epoch,
        timeout: Seconds,
    ) -> OrderAnswer:
        """See `WorkerCalls.stop`."""
        body = {'taskId': key.task, 'runId': key.run, 'fencingToken': epoch}
        answer = await self._order(entry, _STOP, body, timeout)
        return _decode_result(answer)

    async def hold(
        self,
        entry: WorkerEntry,
        order: HoldOrder,
        timeout: Seconds,
    ) -> Listing | OrderAnswer:
        """See `WorkerCalls.hold`."""
        body: dict[str, int] = {
            'fencingToken': order.epoch,
            'lastSeen': order.last_seen,
        }
        if order.deadline is not None:
            body['deadlineMs'] = int(order.deadline * _MILLIS)
        if order.wait:
            body['waitMs'] = int(order.wait * _MILLIS)
        answer = await self._order(entry, _POLL, body, timeout)
        if answer.status != _OK:
            return _decode_result(answer)
        listing = _decode_or_log(_decode_listing, answer.body)
        if listing is None:
            return OrderAnswer(OrderResult.INVALID)
        return Listing(
            listing.clock_ms / _MILLIS,
            [_decode_active(row) for row in listing.active],
            [_decode_ended(row) for row in listing.ended],
            listing.born,
            complete=len(listing.ended) < _MAX_LISTED_ENDINGS,
        )

    async def _order(
        self,
        entry: WorkerEntry,
        path: str,
        body: dict[str, object] | dict[str, int],
        timeout: Seconds,
    ) -> RawAnswer:
        call = RawCall('POST', path, _encode(body), timeout)
        # Despite its name, the header does not identify an incarnation: the
        # next one at the address may have the same name.
        headers = {_EXPECTED_NAME_HEADER: str(entry.name)}
        probe = _make_probe(entry, body, timeout)
        return await self._caller.call(entry.address, call, headers, probe)


class PlatformAdvice:
    """Implements `AdviceCalls`."""

    def __init__(
        self,
        caller: HttpCaller,
        address: Callable[[], Address],
    ) -> None:
        """Share the connections of `caller`; the address may change."""
        self._caller = caller
        self._address = address

    async def advise(
        self,
        step_key: str,
        names: list[WorkerName],
        timeout: Seconds,
    ) -> TicketsByName | None:
        """See `AdviceCalls.advise`."""
        body = _encode({'phase': step_key, 'workers': names})
        call = RawCall('POST', '/advise', body, timeout)
        answer = await self._caller.call(self._address(), call)
        if answer.status != _OK:
            return None
        advice = _decode_or_log(_decode_advice, answer.body)
        if advice is None:
            return None
        tickets = {WorkerName(row.name): row.ticket for row in advice.good}
        return TicketsByName(tickets, advice.valid_ms / _MILLIS)


def _make_probe(
    entry: WorkerEntry,
    body: dict[str, object] | dict[str, int],
    timeout: Seconds,
) -> ConnectionProbe | None:
    """Return a poll that acknowledges no ending and renews no lease."""
    if entry.born is None:
        return None
    poll = {'fencingToken': body['fencingToken'], 'lastSeen': 0}
    call = RawCall('POST', _POLL, _encode(poll), timeout)
    return ConnectionProbe(
        entry.worker, call, partial(_check_probe, entry.born)
    )


def _check_probe(born: int, answer: RawAnswer) -> RawAnswer | None:
    """Return the response of an order that follows this response to a probe.

    None if the order may be sent.
    """
    if answer.status != _OK:
        return answer
    listing = _decode_or_log(_decode_listing, answer.body)
    if listing is None:
        return RawAnswer(_BAD_REQUEST)
    if listing.born is None or listing.born == born:
        return None
    return RawAnswer(_MISDIRECTED, answer.body)


def _decode_or_log(
    decode: Callable[[bytes], _Body], raw: bytes
) -> _Body | None:
    """Decode an untrusted response; on failure, log it and return None."""
    try:
        return decode(raw)
    except DECODE_ERRORS as error:
        _log.warning(
            'answer not understood',
            body=repr(raw[:_MAX_QUOTED]),
            reason=str(error),
        )
        return None


def _decode_result(answer: RawAnswer) -> OrderAnswer:
    if not answer.status:
        failure = (
            OrderResult.UNKNOWN if answer.reached else OrderResult.NOT_SENT
        )
        return OrderAnswer(failure)
    if answer.status == _OK:
        return OrderAnswer(OrderResult.TAKEN, _decode_clock(answer.body))
    if answer.status == _CONFLICT:
        body = _decode_or_log(_decode_order, answer.body)
        if body is None:
            return OrderAnswer(OrderResult.UNKNOWN)
        clock = None if body.clock_ms is None else body.clock_ms / _MILLIS
        result = _RESULT_BY_REASON.get(body.reason, OrderResult.INVALID)
        return OrderAnswer(result, clock)
    result = _RESULT_BY_STATUS.get(answer.status, OrderResult.INVALID)
    if result is not OrderResult.OTHER_INCARNATION or not answer.body:
        return OrderAnswer(result)
    other = _decode_or_log(_decode_order, answer.body)
    # The clock is that of another incarnation, so it is left out.
    return OrderAnswer(result, born=other.born if other else None)


def _decode_clock(body: bytes) -> Seconds | None:
    order = _decode_or_log(_decode_order, body) if body else None
    if order is None or order.clock_ms is None:
        return None
    return order.clock_ms / _MILLIS


def _decode_active(row: _ActiveRow) -> ActiveRun:
    return ActiveRun(
        RunKey(TaskKey(row.task), RunNumber(row.run)),
        row.checkpoint or '',
        row.percent or 0,
        row.load or 0,
    )


def _decode_ended(row: _EndedRow) -> EndedRun:
    return EndedRun(
        row.number,
        RunKey(TaskKey(row.task), RunNumber(row.run)),
        row.how,
        row.checkpoint or '',
    )
