"""Execution of one short request: grant, start, answer and verdict."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import msgspec
import structlog
from result import Err, Ok, Result

from orchidrail.deciding.retry_budget import RetryBudget
from orchidrail.gateway.verdicts import (
    POINT_BY_FAILURE,
    VERDICT_BY_POINT,
    VERDICT_BY_STATE,
    FailurePoint,
    Reply,
)
from orchidrail.invariants import Invariant, Invariants
from orchidrail.jitter import jitter
from orchidrail.jobs.attempts import ClaimNote
from orchidrail.keys import ParsedKey
from orchidrail.types import (
    Address,
    CallFailure,
    ClassName,
    Epoch,
    RefusalCode,
    RequestKey,
    Seconds,
    TaskId,
    TaskState,
    TenantId,
    Verdict,
    WorkerId,
    ZoneId,
)
from orchidrail.wire.messages import (
    Grant,
    GrantRequest,
    Message,
    Refusal,
    SettleTasks,
    StartTask,
    TaskReport,
    TaskReports,
    TaskSpec,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from orchidrail.bundles.model import WorkClass
    from orchidrail.gateway.scheduler_client import SchedulerClient
    from orchidrail.metrics import GatewayMetrics

_SETTLE_CALL_TIMEOUT: Seconds = 1
#: A scheduler answers within the patience plus this margin.
_GRANT_MARGIN: Seconds = 0.5
_SETTLE_RETRY_PAUSE: Seconds = 0.1
_RETRY_PAUSE: Seconds = 0.02
#: Mean ``Retry-After``: no scheduler reachable, or the worker refused.
_UNREACHABLE_RETRY_AFTER: Seconds = 1
_REFUSED_RETRY_AFTER: Seconds = 0.3
#: Mean pause between attempts while a lease moves to a new holder.
_HOLDER_PAUSE: Seconds = 0.1
#: Maximum wait at every scheduler but the last.
_SHORT_WAIT: Seconds = 0.1
#: Refusals that end once leases have moved to new holders.
_TRANSIENT_CODES = frozenset((RefusalCode.NOT_HOLDER, RefusalCode.UNREACHABLE))
#: Refusals after which the next scheduler is called.
_FAILOVER_CODES = _TRANSIENT_CODES | {
    RefusalCode.OVERLOADED,
    RefusalCode.DEADLINE,
}
_log = structlog.get_logger()


class RequestCall(msgspec.Struct, frozen=True):
    """A validated request.

    Parameters
    ----------
    deadline : float
        Monotonic time by which the caller expects an answer.
    max_wait : float
        Maximum seconds to wait for a grant.
    """

    tenant: TenantId
    class_name: ClassName
    work_class: WorkClass
    payload: str
    deadline: Seconds
    max_wait: Seconds
    key: ParsedKey | None = None


class _AttemptOutcome(msgspec.Struct, frozen=True):
    """Outcome of one attempt, and whether it may be retried."""

    reply: Reply
    worker: WorkerId = WorkerId('')
    retry: bool = False


class RequestRunner:
    """Runs requests for one gateway.

    Parameters
    ----------
    zone : ZoneId
        The gateway's own zone.
    """

    def __init__(
        self,
        zone: ZoneId,
        client: SchedulerClient,
        clock: Callable[[], Seconds],
        random: Random,
        metrics: GatewayMetrics,
        invariants: Invariants,
    ) -> None:
        """Start with a full retry budget."""
        self._zone = zone
        self._client = client
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._invariants = invariants
        self._budget = RetryBudget()

    async def run(self, call: RequestCall) -> Reply:
        """Run a request and return its final answer."""
        if call.key is not None:
            return await self._run_keyed(call, call.key)
        return await self._run_repeatable(call)

    async def refuse(
        self,
        key: ParsedKey,
        code: RefusalCode,
        detail: str,
        retry_after: Seconds,
    ) -> Reply:
        """Refuse a key permanently, unless it was claimed before."""
        refusal = Refusal(code=code, detail=detail, retry_after=retry_after)
        return await self._resolve(
            key, refusal, self._clock() + _SETTLE_CALL_TIMEOUT
        )

    async def _run_repeatable(self, call: RequestCall) -> Reply:
        avoid: list[WorkerId] = []
        may_have_run = False
        while True:
            attempt = await self._attempt(call, avoid)
            if not attempt.retry:
                if attempt.reply.verdict is Verdict.RAN:
                    self._budget.earn()
                return _with_earlier_attempts(
                    attempt.reply, may_have_run=may_have_run
                )
            pause = jitter(self._random, _RETRY_PAUSE)
            out_of_time = self._clock() + pause >= call.deadline
            if out_of_time or not self._budget.spend():
                return _with_earlier_attempts(
                    attempt.reply, may_have_run=may_have_run
                )
            may_have_run = (
                may_have_run or attempt.reply.verdict is not Verdict.NOT_RUN
            )
            avoid.append(attempt.worker)
            await asyncio.sleep(pause)

    async def _attempt(
        self,
        call: RequestCall,
        avoid: list[WorkerId],
    ) -> _AttemptOutcome:
        holder, answer = await self._request_grant(call, avoid)
        if not isinstance(answer, Grant):
            return _AttemptOutcome(
                _reply_from_refusal(answer, FailurePoint.NO_GRANT)
            )
        return await self._run_with_grant(call, holder, answer)

    async def _request_grant(
        self,
        call: RequestCall,
        avoid: list[WorkerId],
    ) -> tuple[Address, Message]:
        """Request a grant; retry while leases move to new holders.

        Every scheduler but the last gets a short maximum wait, so that work
        doesn't queue at one while another has free capacity.
        """
        wait_until = self._clock() + self._wait_budget(call)
        while True:
            holder, answer = await self._try_schedulers(call, avoid)
            if (
                not _is_transient(answer)
                or self._clock() + _HOLDER_PAUSE >= wait_until
            ):
                return holder, answer
            await self._pause_for_holder()

    async def _try_schedulers(
        self,
        call: RequestCall,
        avoid: list[WorkerId],
    ) -> tuple[Address, Message]:
        order = self._client.order(self._zone)
        overloaded = Address('')
        answer: Message = self._unreachable()
        for address in order:
            last = address == order[-1]
            request = self._grant_request(call, avoid, short_wait=not last)
            answer = await self._call_scheduler(address, request)
            if not _allows_failover(answer):
                return address, answer
            if not _is_transient(answer):
                overloaded = address
        if overloaded and _is_transient(answer):
            # The last scheduler holds no suitable lease or is unreachable,
            # so the request queues at one that is merely overloaded.
            request = self._grant_request(call, avoid)
            return overloaded, await self._call_scheduler(overloaded, request)
        return Address(''), answer

    async def _call_scheduler(
        self,
        address: Address,
        request: GrantRequest,
    ) -> Message:
        """Call one scheduler; a failed call counts as a transient refusal."""
        answer = await self._client.call_scheduler(
            address,
            request,
            request.patience + _GRANT_MARGIN,
        )
        return (
            answer.ok_value if isinstance(answer, Ok) else self._unreachable()
        )

    def _unreachable(self) -> Refusal:
        return Refusal(
            code=RefusalCode.UNREACHABLE,
            detail=f'no scheduler of zone {self._zone!r} can be reached',
            retry_after=jitter(self._random, _UNREACHABLE_RETRY_AFTER),
        )

    async def _pause_for_holder(self) -> None:
        await asyncio.sleep(jitter(self._random, _HOLDER_PAUSE))

    async def _run_with_grant(
        self,
        call: RequestCall,
        holder: Address,
        grant: Grant,
    ) -> _AttemptOutcome:
        report = await self._start(call, holder, grant)
        if isinstance(report, FailurePoint):
            return _AttemptOutcome(
                _reply_at_failure(report), grant.worker, retry=True
            )
        reply = _reply_from_report(report)
        retry = report.state is not TaskState.FINISHED
        return _AttemptOutcome(reply, grant.worker, retry=retry)

    async def _start(
        self,
        call: RequestCall,
        holder: Address,
        grant: Grant,
    ) -> TaskReport | FailurePoint:
        """Start the task at its worker and wait for it to end."""
        started_at = self._clock()
        arrived_at = call.deadline - call.work_class.timeout
        self._metrics.observe_wait(
            call.tenant, call.class_name, started_at - arrived_at
        )
        message = StartTask(
            task=_spec_of(call, grant),
            epoch=grant.epoch,
            sequence=grant.sequence,
            wait=True,
        )
        remaining = max(0, call.deadline - started_at)
        answer = await self._client.transport.call(
            grant.address, message, remaining
        )
        outcome = self._check(answer.ok(), answer.err(), grant.task)
        self._report_outcome(holder, grant.task, outcome)
        if isinstance(outcome, TaskReport):
            run_seconds = self._clock() - started_at
            self._metrics.observe_run(call.tenant, call.class_name, run_seconds)
        return outcome

    def _check(
        self,
        answer: Message | None,
        failure: object,
        task: TaskId,
    ) -> TaskReport | FailurePoint:
        if answer is None:
            return POINT_BY_FAILURE[failure]  # type: ignore[index]
        if isinstance(answer, Refusal):
            return FailurePoint.START_REFUSED
        matches = isinstance(answer, TaskReport) and answer.key == task
        if self._invariants.hold(
            matches,
            Invariant.ANSWER_MATCHES,
            expected=task,
            got=answer,
        ):
            return answer  # type: ignore[return-value]
        return FailurePoint.ANSWER_LOST

    def _report_outcome(
        self,
        holder: Address,
        task: TaskId,
        outcome: TaskReport | FailurePoint,
    ) -> None:
        """Let the holder release capacity once the task provably ended."""
        if not holder:
            return
        if isinstance(outcome, TaskReport):
            self._client.report_ended(holder, outcome)
        elif VERDICT_BY_POINT[outcome] is Verdict.NOT_RUN:
            unused = TaskReport(key=task, state=TaskState.NEVER_STARTED)
            self._client.report_ended(holder, unused)

    async def _run_keyed(self, call: RequestCall, key: ParsedKey) -> Reply:
        holder, answer = await self._call_witness_holder(call, key)
        granted = answer.ok()
        if isinstance(granted, Grant):
            return await self._run_granted(call, key, holder, granted)
        if isinstance(granted, Refusal):
            return _reply_from_refusal(granted, FailurePoint.NO_GRANT)
        refusal = Refusal(
            code=RefusalCode.UNREACHABLE,
            detail='no scheduler holds the witness of the key',
            retry_after=jitter(self._random, _UNREACHABLE_RETRY_AFTER),
        )
        return await self._resolve(key, refusal, call.deadline)

    async def _call_witness_holder(
        self,
        call: RequestCall,
        key: ParsedKey,
    ) -> tuple[Address, Result[Message, CallFailure]]:
        """Call the witness's holder; retry while its lease moves."""
        wait_until = self._clock() + self._wait_budget(call)
        while True:
            holder, answer = await self._client.call_holder(
                key.zone,
                key.witness,
                self._grant_request(call, []),
                self._wait_budget(call) + _GRANT_MARGIN,
            )
            refusal = answer.ok()
            transient = refusal is not None and _is_transient(refusal)
            if await self._is_unlisted(key):
                return holder, answer
            # A grant starts no task, so repeating the request is safe.
            failed = isinstance(answer, Err)
            out_of_time = self._clock() + _HOLDER_PAUSE >= wait_until
            if out_of_time or not (transient or failed):
                return holder, answer
            await self._pause_for_holder()

    async def _is_unlisted(self, key: ParsedKey) -> bool:
        """Return whether the witness left, so that waiting for it is futile."""
        holder = await self._client.find_holder(
            key.zone,
            key.witness,
            refresh=False,
        )
        return holder is not None and not holder.worker_address

    async def _run_granted(
        self,
        call: RequestCall,
        key: ParsedKey,
        holder: Address,
        grant: Grant,
    ) -> Reply:
        report = await self._start(call, holder, grant)
        if isinstance(report, TaskReport):
            return _reply_from_report(report)
        note = ClaimNote(grant.worker, grant.boot, grant.address, grant.task)
        refusal = Refusal(
            code=RefusalCode.UNREACHABLE,
            detail=f'{grant.worker!r}: {report.value}',
            retry_after=jitter(self._random, _REFUSED_RETRY_AFTER),
        )
        return await self._settle_task(note, refusal, call.deadline)

    async def _resolve(
        self,
        key: ParsedKey,
        refusal: Refusal,
        deadline: Seconds,
    ) -> Reply:
        """Query the witness for the outcome of a key.

        The query settles an unclaimed key: it can never be claimed later.
        """
        holder = await self._client.find_holder(
            key.zone,
            key.witness,
            refresh=False,
        )
        if holder is None or not holder.worker_address:
            return _unknowable('the witness of the key can not be reached')
        note = ClaimNote(
            key.witness,
            key.boot,
            holder.worker_address,
            key.claim,
        )
        claim = await self._query_task(note)
        if claim is None:
            return _unknowable('the witness of the key can not be reached')
        if claim.state is TaskState.NEVER_STARTED:
            return _reply_from_refusal(refusal, FailurePoint.NO_GRANT)
        claimed = ClaimNote.parse(claim.note)
        return await self._settle_task(claimed, refusal, deadline)

    async def _settle_task(
        self,
        note: ClaimNote,
        refusal: Refusal,
        deadline: Seconds,
    ) -> Reply:
        """Query the worker for the outcome of a task, until `deadline`."""
        while self._clock() < deadline:
            report = await self._query_task(note)
            if report is None:
                await asyncio.sleep(_SETTLE_RETRY_PAUSE)
            elif report.state is TaskState.RUNNING:
                await self._wait_for_end(note, deadline)
            elif report.state is TaskState.NEVER_STARTED:
                return _reply_from_refusal(refusal, FailurePoint.NO_GRANT)
            else:
                return _reply_from_report(report)
        return _unknowable(f'{note.worker!r} has not answered in time')

    async def _query_task(self, note: ClaimNote) -> TaskReport | None:
        answer = await self._client.transport.call(
            note.address,
            SettleTasks(keys=[note.task], boot=note.boot),
            _SETTLE_CALL_TIMEOUT,
        )
        if not isinstance(answer, Ok):
            return None
        message = answer.ok_value
        if not isinstance(message, TaskReports):
            return None
        return message.tasks[0]

    async def _wait_for_end(self, note: ClaimNote, deadline: Seconds) -> None:
        """Wait for a running task to end; repeats its start message."""
        spec = TaskSpec(
            key=note.task,
            tenant=TenantId(''),
            class_name=ClassName(''),
        )
        message = StartTask(task=spec, epoch=Epoch(0), sequence=0, wait=True)
        remaining = max(0, deadline - self._clock())
        await self._client.transport.call(note.address, message, remaining)

    def _grant_request(
        self,
        call: RequestCall,
        avoid: list[WorkerId],
        *,
        short_wait: bool = False,
    ) -> GrantRequest:
        key = RequestKey('') if call.key is None else call.key.text
        max_wait = self._wait_budget(call)
        if short_wait:
            max_wait = min(max_wait, _SHORT_WAIT)
        return GrantRequest(
            tenant=call.tenant,
            class_name=call.class_name,
            size=call.work_class.size,
            patience=max_wait,
            key=key,
            avoid=avoid,
        )

    def _wait_budget(self, call: RequestCall) -> Seconds:
        remaining = call.deadline - self._clock()
        return max(0, min(call.max_wait, remaining))


def _spec_of(call: RequestCall, grant: Grant) -> TaskSpec:
    return TaskSpec(
        key=grant.task,
        tenant=call.tenant,
        class_name=call.class_name,
        size=call.work_class.size,
        payload=call.payload,
        ttl=call.work_class.timeout,
    )


def _reply_from_report(report: TaskReport) -> Reply:
    verdict = VERDICT_BY_STATE[report.state]
    failed = report.state is not TaskState.FINISHED
    return Reply(
        verdict=verdict,
        answer=report.answer,
        failed=failed,
        detail=f'the task is {report.state.value}' if failed else '',
    )


def _reply_from_refusal(answer: Message, point: FailurePoint) -> Reply:
    if not isinstance(answer, Refusal):
        return _reply_at_failure(point)
    return Reply(
        verdict=answer.verdict,
        code=answer.code,
        detail=answer.detail,
        retry_after=answer.retry_after,
    )


def _allows_failover(answer: Message) -> bool:
    return isinstance(answer, Refusal) and answer.code in _FAILOVER_CODES


def _is_transient(answer: Message) -> bool:
    return isinstance(answer, Refusal) and answer.code in _TRANSIENT_CODES


def _with_earlier_attempts(reply: Reply, *, may_have_run: bool) -> Reply:
    """Return the reply, adjusted for earlier attempts that may have run."""
    if may_have_run and reply.verdict is Verdict.NOT_RUN:
        return msgspec.structs.replace(reply, verdict=Verdict.MAY_HAVE_RUN)
    return reply


def _reply_at_failure(point: FailurePoint) -> Reply:
    return Reply(
        verdict=VERDICT_BY_POINT[point],
        code=RefusalCode.UNREACHABLE,
        detail=point.value,
        retry_after=1,
    )


def _unknowable(detail: str) -> Reply:
    return Reply(
        verdict=Verdict.MAY_HAVE_RUN,
        code=RefusalCode.UNKNOWN,
        detail=detail,
    )
