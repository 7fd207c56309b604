"""HTTP API for callers: the platform's paths, headers and states."""

from __future__ import annotations

import asyncio
import math
import string
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NamedTuple

import msgspec
from blacksheep import Application, Content, Request, Response, Router
from result import Err

from orchidrail.clocks import elapsed
from orchidrail.http_handlers import Receive, Scope, Send, as_handler
from orchidrail.ingress.authentication import CallAuthenticator, RejectReason
from orchidrail.ingress.job_forwarder import JobAnswer, JobForwarder
from orchidrail.metrics import InstanceMetrics
from orchidrail.platform.documents import decode_job
from orchidrail.types import JobId, Seconds, TenantId, WorkCode
from orchidrail.work.model import CellConfig, QueueSettings
from orchidrail.work.records import FailureCause, JobPhase
from orchidrail.work.tenant import Tenant

_JSON = b'application/json'
_DEADLINE_HEADER = b'X-Orchidrail-Deadline-Ms'
_RETRY_HEADER = b'Retry-After'
_KEY_HEADER = b'Authorization'
#: Why a job has failed permanently; the body holds the state only.
_CAUSE_HEADER = b'X-Orchidrail-Failure-Cause'
_ID_LENGTH = 16
_HEX = frozenset(string.hexdigits.lower())
_MILLIS = 1000
#: Timeout of calls to a queue that has none of its own.
_DEFAULT_TIMEOUT: Seconds = 3
#: Part of the caller's timeout reserved for sending the response.
_RESPONSE_RESERVE: Seconds = 0.1
_BODY_BY_PHASE = {
    JobPhase.QUEUED: b'{"state":"queued"}',
    JobPhase.RUNNING: b'{"state":"running"}',
    JobPhase.COMPLETED: b'{"state":"completed"}',
    JobPhase.FAILED: b'{"state":"failed"}',
    JobPhase.CANCELLED: b'{"state":"cancelled"}',
}
_SUBMIT_STATUS = {
    WorkCode.OK: 200,
    WorkCode.REJECTED: 503,
    WorkCode.UNCERTAIN: 504,
    WorkCode.ID_CONFLICT: 409,
    WorkCode.NEVER_FITS: 429,
    WorkCode.OVER_SHARE: 429,
}
_READ_STATUS = {
    WorkCode.OK: 200,
    WorkCode.NO_SUCH_JOB: 410,
    WorkCode.UNCERTAIN: 504,
}
_NOT_READY = 503
_ANSWER_BY_READY = {
    True: (HTTPStatus.OK, b'ready'),
    False: (HTTPStatus.SERVICE_UNAVAILABLE, b'not ready'),
}
#: Seconds after which a call rejected because of this instance's state may be
#: retried: the entry point then routes the caller to another instance.
_REJECTION_RETRY_AFTER: Seconds = 1
_encode = msgspec.json.Encoder().encode


class _Target(NamedTuple):
    config: CellConfig
    queue: QueueSettings
    #: Empty if the request is for the queue itself.
    job_id: JobId
    caller: Tenant

    @property
    def visible_tenant(self) -> TenantId:
        """Tenant whose jobs the caller may access, empty for all tenants."""
        return TenantId('') if self.queue.public else self.caller.name


class CallerApi:
    """HTTP application for callers.

    Parameters
    ----------
    forwarder : JobForwarder
    config : callable
        Returns the active configuration, None before the first.
    authenticator : CallAuthenticator, optional
        Authenticates calls; by default by `config` alone.
    on_leaving : callable
        Whether callers should connect to another instance from now on.
    """

    def __init__(
        self,
        forwarder: JobForwarder,
        config: Callable[[], CellConfig | None],
        on_leaving: Callable[[], bool],
        authenticator: CallAuthenticator | None = None,
    ) -> None:
        """Build the application."""
        self._forwarder = forwarder
        self._authenticator = authenticator or CallAuthenticator(
            config, elapsed, InstanceMetrics()
        )
        self._is_leaving = on_leaving
        self._handler_by_method: dict[
            str, Callable[[Request, _Target], Awaitable[Response]]
        ] = {
            'POST': self._submit,
            'GET': self._read,
            'DELETE': self._cancel,
        }
        self.app = Application(router=Router())
        self.app.router.fallback = as_handler(self._serve)

    async def _serve(self, request: Request) -> Response:
        response = await self._answer(request)
        if self._is_leaving():
            response.add_header(b'Connection', b'close')
        return response

    async def _answer(self, request: Request) -> Response:
        config = self._authenticator.config()
        if isinstance(config, Err):
            return _reject(config.err_value)
        found = _find_queue(config.ok_value, request)
        if found is None:
            return _text(HTTPStatus.NOT_FOUND, 'no such queue')
        queue, job_id = found
        header = request.get_first_header(_KEY_HEADER) or b''
        caller = self._authenticator.authenticate(
            config.ok_value,
            queue,
            header.decode('latin-1'),
        )
        if isinstance(caller, Err):
            return _reject(caller.err_value)
        target = _Target(config.ok_value, queue, job_id, caller.ok_value)
        handler = self._handler_by_method.get(request.method)
        if handler is None:
            return _text(
                HTTPStatus.METHOD_NOT_ALLOWED,
                f'unexpected method {request.method!r}',
            )
        return await handler(request, target)

    async def _submit(self, request: Request, target: _Target) -> Response:
        if not target.job_id:
            return _text(HTTPStatus.NOT_FOUND, 'a job needs an id')
        limits = target.config.limits
        time_budget = _time_budget(request, target.queue)
        try:
            async with asyncio.timeout(time_budget):
                body = await _read_body(request, limits.body_bytes)
        except TimeoutError:
            return _text(HTTPStatus.REQUEST_TIMEOUT, 'the body did not come')
        if body is None:
            return _text(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'more than {limits.body_bytes!r} bytes',
            )
        decoded = decode_job(body)
        if isinstance(decoded, Err):
            return _text(HTTPStatus.BAD_REQUEST, decoded.err_value)
        answer = await self._forwarder.submit(
            target.job_id,
            target.queue,
            decoded.ok_value,
            _time_budget(request, target.queue),
            target.caller,
        )
        status = _SUBMIT_STATUS[answer.code]
        if answer.retry_after:
            reason = f'{answer.code.value}: not run'
            return _reject_with_retry(status, reason, answer.retry_after)
        return _text(status, answer.code.value)

    async def _read(self, request: Request, target: _Target) -> Response:
        if not target.job_id:
            waiting = self._forwarder.waiting(target.queue)
            return _json(_encode({'pending': waiting}))
        answer = await self._forwarder.query(
            target.job_id,
            _time_budget(request, target.queue),
            target.visible_tenant,
        )
        return _state(answer)

    async def _cancel(self, request: Request, target: _Target) -> Response:
        if not target.job_id:
            return _text(
                HTTPStatus.METHOD_NOT_ALLOWED, 'a queue is not removed here'
            )
        answer = await self._forwarder.cancel(
            target.job_id,
            _time_budget(request, target.queue),
            target.visible_tenant,
        )
        return _state(answer)


class ReadinessApi:
    """Readiness probe: whether this instance accepts callers."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        """Create a probe that reports `ready`."""
        self._ready = ready

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request.

        Plain ASGI: the entry point probes every instance several times a
        second, more often than callers come to most of them.
        """
        status, body = HTTPStatus.NOT_FOUND, b'unknown path'
        if scope['path'] == '/readiness':
            status, body = _ANSWER_BY_READY[self._ready()]
        headers = [
            (b'content-type', b'text/plain'),
            (b'content-length', str(len(body)).encode()),
        ]
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )
        await send({'type': 'http.response.body', 'body': body})


async def _read_body(request: Request, max_bytes: int) -> bytes | None:
    """Read a body in chunks; None if it is longer than `max_bytes`."""
    announced = request.get_first_header(b'Content-Length') or b'0'
    if announced.isdigit() and int(announced) > max_bytes:
        return None
    body = bytearray()
    async for chunk in request.stream():  # type: ignore[attr-defined]
        body += chunk
        if len(body) > max_bytes:
            return None
    return bytes(body)


def _find_queue(
    config: CellConfig,
    request: Request,
) -> tuple[QueueSettings, JobId] | None:
    host = (request.get_first_header(b'Host') or b'').decode('latin-1')
    path = request.url.path.decode('latin-1')
    queue = config.find_queue(host.partition(':')[0], path)
    if queue is None:
        return None
    job_id = path[len(queue.path_prefix) :]
    if job_id and (len(job_id) != _ID_LENGTH or not _HEX.issuperset(job_id)):
        return None
    return queue, JobId(job_id)


def _reject(reason: RejectReason) -> Response:
    """Answer a rejected call; nothing of it has run."""
    if reason is RejectReason.UNKNOWN_KEY:
        return _text(HTTPStatus.UNAUTHORIZED, 'unknown key')
    return _reject_with_retry(_NOT_READY, reason.value, _REJECTION_RETRY_AFTER)


def _time_budget(request: Request, queue: QueueSettings) -> Seconds:
    requested = request.get_first_header(_DEADLINE_HEADER)
    time_budget = queue.timeout or _DEFAULT_TIMEOUT
    if requested is not None and requested.isdigit():
        time_budget = min(time_budget, int(requested) / _MILLIS)
    return max(_RESPONSE_RESERVE, time_budget - _RESPONSE_RESERVE)


def _state(answer: JobAnswer) -> Response:
    if answer.code is WorkCode.OK:
        response = _json(_BODY_BY_PHASE[answer.phase])
        if answer.cause is not FailureCause.NONE:
            response.add_header(_CAUSE_HEADER, answer.cause.value.encode())
        return response
    return _text(_READ_STATUS[answer.code], answer.code.value)


def _json(body: bytes) -> Response:
    return Response(HTTPStatus.OK, content=Content(_JSON, body))


def _text(status: int, text: str) -> Response:
    return Response(status, content=Content(b'text/plain', text.encode()))


def _reject_with_retry(
    status: int, text: str, retry_after: Seconds
) -> Response:
    response = _text(status, text)
    seconds = max(1, math.ceil(retry_after))
    response.add_header(_RETRY_HEADER, str(seconds).encode())
    return response
