"""HTTP API for callers.

Replies carry a verdict. Refusals are problem details (RFC 9457), with
``Retry-After`` where a retry is advised.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeVar

import msgspec
from blacksheep import Application, Content, Request, Response, Router
from blacksheep.server.openapi.v3 import OpenAPIHandler
from openapidocs.v3 import Info
from prometheus_client import generate_latest
from result import Ok, Result

from orchidrail.gateway.bodies import (
    JobBody,
    JobReply,
    KeyBody,
    KeyReply,
    Problem,
    ReplyBody,
    RequestBody,
)
from orchidrail.gateway.daemon import BadInputError
from orchidrail.http_handlers import as_handler
from orchidrail.settings import parse
from orchidrail.types import (
    JobId,
    RefusalCode,
    Seconds,
    TenantId,
    Verdict,
)
from orchidrail.wire.messages import JobStatus, Refusal

if TYPE_CHECKING:
    from orchidrail.gateway.daemon import GatewayDaemon
    from orchidrail.gateway.verdicts import Reply

_JSON = b'application/json'
_PROBLEM = b'application/problem+json'
_VERDICT_HEADER = b'Orchidrail-Verdict'
_RETRY_HEADER = b'Retry-After'
_MAX_WAIT: Seconds = 30
#: HTTP status by refusal code.
STATUS_BY_CODE: dict[RefusalCode, int] = {
    RefusalCode.STALE_EPOCH: 503,
    RefusalCode.LEASE_LAPSED: 503,
    RefusalCode.HELD_BY_OTHER: 503,
    RefusalCode.FENCED: 503,
    RefusalCode.NOT_HOLDER: 503,
    RefusalCode.LEAVING: 503,
    RefusalCode.OVERLOADED: 503,
    RefusalCode.QUOTA: 429,
    RefusalCode.NEVER_FITS: 422,
    RefusalCode.INVALID: 409,
    RefusalCode.UNAUTHORISED: 403,
    RefusalCode.LOG_DOWN: 503,
    RefusalCode.UNKNOWN: 502,
    RefusalCode.UNREACHABLE: 503,
    RefusalCode.DEADLINE: 503,
}
_BAD_INPUT = 400
_UNAUTHENTICATED = 401
_NOT_FOUND = 404
_TOO_LARGE = 413
_TASK_FAILED = 502
_OK = 200
_ACCEPTED = 202
_UNREADY = 503

BodyT = TypeVar('BodyT', bound=msgspec.Struct)


class _ProblemError(Exception):
    """Carries a problem to the exception handler unchanged."""

    def __init__(self, problem: Problem) -> None:
        self.problem = problem
        super().__init__(problem.detail)


class HttpApi:
    """HTTP application of a gateway."""

    def __init__(self, daemon: GatewayDaemon) -> None:
        """Build the application and its routes."""
        self._daemon = daemon
        self.app = Application(router=Router())
        self._add_routes()
        self._add_docs()
        self.app.exceptions_handlers[_ProblemError] = _answer_problem
        self.app.exceptions_handlers[BadInputError] = _answer_bad_input

    async def post_key(self, request: Request) -> Response:
        """Issue a key for a request or job that must not be repeated."""
        tenant = self._tenant(request)
        body = await self._body(request, KeyBody)
        issued = await self._daemon.issue_key(tenant, body.class_name)
        if isinstance(issued, Ok):
            return _json(_OK, KeyReply(key=issued.ok_value), Verdict.RAN)
        return _reply_response(issued.err_value)

    async def post_request(self, request: Request) -> Response:
        """Run a short request and wait for its answer."""
        tenant = self._tenant(request)
        body = await self._body(request, RequestBody)
        reply = await self._daemon.run_request(tenant, body)
        if reply.verdict is not Verdict.RAN:
            return _reply_response(reply)
        answered = ReplyBody(
            verdict=reply.verdict.value,
            answer=reply.answer,
            failed=reply.failed,
        )
        status = _TASK_FAILED if reply.failed else _OK
        return _json(status, answered, reply.verdict)

    async def post_job(self, request: Request) -> Response:
        """Submit a job; once accepted it is durable."""
        tenant = self._tenant(request)
        body = await self._body(request, JobBody)
        return _job_response(
            await self._daemon.submit_job(tenant, body), _ACCEPTED
        )

    async def get_job(self, request: Request) -> Response:
        """Return a job's status.

        With ``wait`` and ``state``, waits for a state other than ``state``.
        """
        tenant = self._tenant(request)
        job = _job_id(request)
        wait = _seconds_parameter(request, 'wait')
        state = _query_parameter(request, 'state')
        return _job_response(
            await self._daemon.query_job(tenant, job, wait, state), _OK
        )

    async def delete_job(self, request: Request) -> Response:
        """Cancel a job."""
        tenant = self._tenant(request)
        job = _job_id(request)
        answer = await self._daemon.cancel_job(tenant, job)
        if isinstance(answer, Refusal):
            return (
                _not_found(answer)
                if _is_unknown_job(answer)
                else _refusal_response(answer)
            )
        return Response(_ACCEPTED)

    async def get_live(self, request: Request) -> Response:
        """Liveness probe."""
        return Response(_OK)

    async def get_ready(self, request: Request) -> Response:
        """Readiness probe; the text also shows a lost log connection."""
        ready = self._daemon.ready()
        partitioned = not self._daemon.follower.connected
        text = 'not serving'
        if ready:
            text = 'cut off but serving' if partitioned else 'serving'
        content = Content(b'text/plain', text.encode())
        return Response(_OK if ready else _UNREADY, content=content)

    async def get_metrics(self, request: Request) -> Response:
        """Return the metrics for Prometheus."""
        counts = self._daemon.invariants.count_by_invariant
        gauge = self._daemon.metrics.broken_invariants
        for invariant, count in counts.items():
            gauge.labels(invariant.value).set(count)
        text = generate_latest(self._daemon.metrics.registry)
        return Response(_OK, content=Content(b'text/plain', text))

    def _add_routes(self) -> None:
        router = self.app.router
        router.add_post('/v1/keys', as_handler(self.post_key))
        router.add_post('/v1/requests', as_handler(self.post_request))
        router.add_post('/v1/jobs', as_handler(self.post_job))
        router.add_get('/v1/jobs/{job}', as_handler(self.get_job))
        router.add_delete('/v1/jobs/{job}', as_handler(self.delete_job))
        router.add_get('/health/live', as_handler(self.get_live))
        router.add_get('/health/ready', as_handler(self.get_ready))
        router.add_get('/metrics', as_handler(self.get_metrics))

    def _add_docs(self) -> None:
        docs = OpenAPIHandler(info=Info(title='orchidrail', version='1'))
        docs.bind_app(self.app)

    def _tenant(self, request: Request) -> TenantId:
        header = request.get_first_header(b'authorization') or b''
        text = header.decode('latin-1')
        tenant = self._daemon.access.identify(text)
        if tenant is not None:
            return tenant
        if not self._daemon.ready():
            raise _ProblemError(_problem(_UNREADY, 'no bundle yet', 1))
        if not text:
            raise _ProblemError(
                _problem(_UNAUTHENTICATED, 'expected a bearer key')
            )
        status = STATUS_BY_CODE[RefusalCode.UNAUTHORISED]
        raise _ProblemError(_problem(status, 'the bearer key is not known'))

    async def _body(self, request: Request, kind: type[BodyT]) -> BodyT:
        limit = self._daemon.settings.max_body
        length = int(request.get_first_header(b'content-length') or 0)
        if length > limit:
            raise _ProblemError(_too_large(length, limit))
        raw = await request.read() or b''
        if len(raw) > limit:
            raise _ProblemError(_too_large(len(raw), limit))
        try:
            return msgspec.json.decode(raw, type=kind)
        except msgspec.MsgspecError as error:
            raise _bad_body(raw, kind, error) from error


def _bad_body(
    raw: bytes,
    kind: type[msgspec.Struct],
    error: msgspec.MsgspecError,
) -> BadInputError:
    """Return an error that names the first invalid field and its value."""
    if not isinstance(error, msgspec.ValidationError):
        return BadInputError('body', f'expected JSON: {error}')
    checked = parse(raw.decode(errors='replace'), kind)
    problems = [str(error)] if isinstance(checked, Ok) else checked.err_value
    field, _, _ = problems[0].partition(':')
    return BadInputError(field or 'body', '; '.join(problems))


def _json(status: int, body: msgspec.Struct, verdict: Verdict) -> Response:
    headers = [(_VERDICT_HEADER, verdict.value.encode())]
    return Response(status, headers, Content(_JSON, msgspec.json.encode(body)))


def _reply_response(reply: Reply) -> Response:
    code = reply.code or RefusalCode.UNKNOWN
    problem = Problem(
        type=f'urn:orchidrail:{code.value}',
        title=code.value,
        status=STATUS_BY_CODE[code],
        detail=reply.detail,
        verdict=reply.verdict.value,
        retry_after=reply.retry_after or None,
    )
    return _problem_response(problem)


def _job_response(outcome: Result[JobStatus, Reply], status: int) -> Response:
    if not isinstance(outcome, Ok):
        reply = outcome.err_value
        unknown = reply.code is RefusalCode.UNKNOWN
        if unknown and reply.verdict is Verdict.NOT_RUN:
            return _problem_response(_problem(_NOT_FOUND, 'no such job'))
        return _reply_response(reply)
    found = outcome.ok_value
    body = JobReply(
        job=found.key,
        verdict=Verdict.RAN.value,
        state=found.state.value,
        count=found.count,
        running=found.running,
        finished=found.finished,
        failed=found.failed,
        detail=found.detail,
        answers=found.answers,
    )
    return _json(status, body, Verdict.RAN)


def _problem(
    status: int,
    detail: str,
    retry_after: Seconds | None = None,
    field: str | None = None,
) -> Problem:
    return Problem(
        type='about:blank',
        title=detail,
        status=status,
        detail=detail,
        verdict=Verdict.NOT_RUN.value,
        retry_after=retry_after,
        field=field,
    )


def _too_large(size: int, limit: int) -> Problem:
    detail = f'got {size} bytes, expected at most {limit}'
    return _problem(_TOO_LARGE, detail, field='body')


def _problem_response(problem: Problem) -> Response:
    headers = [(_VERDICT_HEADER, problem.verdict.encode())]
    if problem.retry_after:
        rounded_up = math.ceil(problem.retry_after)
        headers.append((_RETRY_HEADER, str(rounded_up).encode()))
    content = Content(_PROBLEM, msgspec.json.encode(problem))
    return Response(problem.status, headers, content)


def _is_unknown_job(refusal: Refusal) -> bool:
    return refusal.code is RefusalCode.UNKNOWN


def _not_found(refusal: Refusal) -> Response:
    detail = f'no job {refusal.detail!r} of this tenant'
    return _problem_response(_problem(_NOT_FOUND, detail))


def _refusal_response(refusal: Refusal) -> Response:
    problem = Problem(
        type=f'urn:orchidrail:{refusal.code.value}',
        title=refusal.code.value,
        status=STATUS_BY_CODE[refusal.code],
        detail=refusal.detail,
        verdict=refusal.verdict.value,
        retry_after=refusal.retry_after or None,
    )
    return _problem_response(problem)


async def _answer_problem(
    app: Application,
    request: Request,
    error: _ProblemError,
) -> Response:
    return _problem_response(error.problem)


async def _answer_bad_input(
    app: Application,
    request: Request,
    error: BadInputError,
) -> Response:
    problem = _problem(_BAD_INPUT, str(error), field=error.field)
    return _problem_response(problem)


def _job_id(request: Request) -> JobId:
    values = request.route_values or {}
    return JobId(str(values['job']))


def _query_parameter(request: Request, name: str) -> str:
    found = request.query.get(name)
    return found[0] if found else ''


def _seconds_parameter(request: Request, name: str) -> Seconds:
    text = _query_parameter(request, name) or '0'
    try:
        requested = float(text)
    except ValueError:
        raise BadInputError(name, f'got {text!r}, expected seconds') from None
    return min(_MAX_WAIT, max(0, requested))
