"""Runs one short request: grant, start, answer, and the honest verdict."""

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

_SETTLE_TIMEOUT: Seconds = 1
#: A scheduler answers this much later than the patience at the latest.
_GRANT_MARGIN: Seconds = 0.5
_REJOIN_PAUSE: Seconds = 0.1
_RETRY_PAUSE: Seconds = 0.02
#: When to come back: nobody could be asked, or the worker refused.
_UNREACHABLE_RETRY: Seconds = 1
_REFUSED_RETRY: Seconds = 0.3
#: Between two tries while a lease changes hands.
_HOLDER_PAUSE: Seconds = 0.1
#: Patience at a scheduler that isn't the last one to be asked.
_FIRST_PATIENCE: Seconds = 0.1
#: Refusals that end when leases have changed hands.
_PASSING = frozenset((RefusalCode.NOT_HOLDER, RefusalCode.UNREACHABLE))
#: Refusals after which the next scheduler is asked.
_GOING_ON = _PASSING | {RefusalCode.OVERLOADED, RefusalCode.DEADLINE}
_log = structlog.get_logger()


class RequestCall(msgspec.Struct, frozen=True):
    """A request as the gateway has checked it.

    Parameters
    ----------
    deadline : float
        Monotonic time by which the caller wants its answer.
    patience : float
        Seconds that it may wait for a place.
    """

    tenant: TenantId
    class_name: ClassName
    work_class: WorkClass
    payload: str
    deadline: Seconds
    patience: Seconds
    key: ParsedKey | None = None


class _Ended(msgspec.Struct, frozen=True):
    """How one attempt ended."""

    reply: Reply
    worker: WorkerId = WorkerId('')
    again: bool = False


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
            return await self._run_once(call, call.key)
        return await self._run_repeatable(call)

    async def refuse(
        self,
        key: ParsedKey,
        code: RefusalCode,
        detail: str,
        retry_after: Seconds,
    ) -> Reply:
        """Refuse a key for good, unless it was claimed before."""
        refusal = Refusal(code=code, detail=detail, retry_after=retry_after)
        return await self._resolve(
            key, refusal, self._clock() + _SETTLE_TIMEOUT
        )

    async def _run_repeatable(self, call: RequestCall) -> Reply:
        avoid: list[WorkerId] = []
        touched = False
        while True:
            ended = await self._attempt(call, avoid)
            if not ended.again:
                if ended.reply.verdict is Verdict.RAN:
                    self._budget.earn()
                return _after(ended.reply, touched=touched)
            pause = jitter(self._random, _RETRY_PAUSE)
            late = self._clock() + pause >= call.deadline
            if late or not self._budget.spend():
                return _after(ended.reply, touched=touched)
            touched = touched or ended.reply.verdict is not Verdict.NOT_RUN
            avoid.append(ended.worker)
            await asyncio.sleep(pause)

    async def _attempt(
        self,
        call: RequestCall,
        avoid: list[WorkerId],
    ) -> _Ended:
        holder, answer = await self._find_place(call, avoid)
        if not isinstance(answer, Grant):
            return _Ended(_reply_of(answer, FailurePoint.NO_GRANT))
        return await self._use_grant(call, holder, answer)

    async def _find_place(
        self,
        call: RequestCall,
        avoid: list[WorkerId],
    ) -> tuple[Address, Message]:
        """Ask the schedulers in turn, again while leases change hands.

        All but the last are asked for a place that is free at once or soon,
        so that work doesn't queue at one while another has room.
        """
        give_up = self._clock() + self._patience(call)
        while True:
            holder, answer = await self._ask_in_turn(call, avoid)
            if (
                not _is_passing(answer)
                or self._clock() + _HOLDER_PAUSE >= give_up
            ):
                return holder, answer
            await self._pause_for_holder()

    async def _ask_in_turn(
        self,
        call: RequestCall,
        avoid: list[WorkerId],
    ) -> tuple[Address, Message]:
        order = self._client.order(self._zone)
        busy = Address('')
        answer: Message = self._unreachable()
        for address in order:
            last = address == order[-1]
            request = self._grant_request(call, avoid, first_tries=not last)
            answer = await self._ask_one(address, request)
            if not _goes_on(answer):
                return address, answer
            if not _is_passing(answer):
                busy = address
        if busy and _is_passing(answer):
            # The last could take nothing; this one lets work wait.
            request = self._grant_request(call, avoid)
            return busy, await self._ask_one(busy, request)
        return Address(''), answer

    async def _ask_one(
        self,
        address: Address,
        request: GrantRequest,
    ) -> Message:
        """Ask one scheduler; one that fails counts as passing on."""
        answer = await self._client.ask(
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
            retry_after=jitter(self._random, _UNREACHABLE_RETRY),
        )

    async def _pause_for_holder(self) -> None:
        await asyncio.sleep(jitter(self._random, _HOLDER_PAUSE))

    async def _use_grant(
        self,
        call: RequestCall,
        holder: Address,
        grant: Grant,
    ) -> _Ended:
        report = await self._start(call, holder, grant)
        if isinstance(report, FailurePoint):
            return _Ended(_failed_at(report), grant.worker, again=True)
        reply = _reply_to(report)
        again = report.state is not TaskState.FINISHED
        return _Ended(reply, grant.worker, again=again)

    async def _start(
        self,
        call: RequestCall,
        holder: Address,
        grant: Grant,
    ) -> TaskReport | FailurePoint:
        """Start the task at its worker and wait for the end."""
        started = self._clock()
        arrived = call.deadline - call.work_class.timeout
        self._metrics.observe_wait(
            call.tenant, call.class_name, started - arrived
        )
        message = StartTask(
            task=_spec_of(call, grant),
            epoch=grant.epoch,
            sequence=grant.sequence,
            wait=True,
        )
        left = max(0, call.deadline - started)
        answer = await self._client.transport.call(grant.address, message, left)
        outcome = self._check(answer.ok(), answer.err(), grant.task)
        self._tell(holder, grant.task, outcome)
        if isinstance(outcome, TaskReport):
            spent = self._clock() - started
            self._metrics.observe_run(call.tenant, call.class_name, spent)
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

    def _tell(
        self,
        holder: Address,
        task: TaskId,
        outcome: TaskReport | FailurePoint,
    ) -> None:
        """Let the holder give the room back, if that is proved."""
        if not holder:
            return
        if isinstance(outcome, TaskReport):
            self._client.tell_ended(holder, outcome)
        elif VERDICT_BY_POINT[outcome] is Verdict.NOT_RUN:
            unused = TaskReport(key=task, state=TaskState.NEVER_STARTED)
            self._client.tell_ended(holder, unused)

    async def _run_once(self, call: RequestCall, key: ParsedKey) -> Reply:
        holder, answer = await self._ask_holder(call, key)
        granted = answer.ok()
        if isinstance(granted, Grant):
            return await self._run_granted(call, key, holder, granted)
        if isinstance(granted, Refusal):
            return _reply_of(granted, FailurePoint.NO_GRANT)
        refusal = Refusal(
            code=RefusalCode.UNREACHABLE,
            detail='no scheduler holds the witness of the key',
            retry_after=jitter(self._random, _UNREACHABLE_RETRY),
        )
        return await self._resolve(key, refusal, call.deadline)

    async def _ask_holder(
        self,
        call: RequestCall,
        key: ParsedKey,
    ) -> tuple[Address, Result[Message, CallFailure]]:
        """Ask the witness's holder, again while the lease changes hands."""
        give_up = self._clock() + self._patience(call)
        while True:
            holder, answer = await self._client.ask_holder(
                key.zone,
                key.witness,
                self._grant_request(call, []),
                self._patience(call) + _GRANT_MARGIN,
            )
            refusal = answer.ok()
            passing = refusal is not None and _is_passing(refusal)
            if await self._is_unlisted(key):
                return holder, answer
            # A grant starts nothing, so asking again is safe.
            failed = isinstance(answer, Err)
            late = self._clock() + _HOLDER_PAUSE >= give_up
            if late or not (passing or failed):
                return holder, answer
            await self._pause_for_holder()

    async def _is_unlisted(self, key: ParsedKey) -> bool:
        """Tell whether the witness has left: waiting for it is of no use."""
        holder = await self._client.find_holder(
            key.zone,
            key.witness,
            fresh=False,
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
            return _reply_to(report)
        note = ClaimNote(grant.worker, grant.boot, grant.address, grant.task)
        refusal = Refusal(
            code=RefusalCode.UNREACHABLE,
            detail=f'{grant.worker!r}: {report.value}',
            retry_after=jitter(self._random, _REFUSED_RETRY),
        )
        return await self._settle_task(note, refusal, call.deadline)

    async def _resolve(
        self,
        key: ParsedKey,
        refusal: Refusal,
        deadline: Seconds,
    ) -> Reply:
        """Find out from its witness what became of a key.

        A key that was never claimed never will be.
        """
        holder = await self._client.find_holder(
            key.zone,
            key.witness,
            fresh=False,
        )
        if holder is None or not holder.worker_address:
            return _unknowable('the witness of the key can not be reached')
        note = ClaimNote(
            key.witness,
            key.boot,
            holder.worker_address,
            key.claim,
        )
        claim = await self._ask_worker(note)
        if claim is None:
            return _unknowable('the witness of the key can not be reached')
        if claim.state is TaskState.NEVER_STARTED:
            return _reply_of(refusal, FailurePoint.NO_GRANT)
        where = ClaimNote.parse(claim.note)
        return await self._settle_task(where, refusal, deadline)

    async def _settle_task(
        self,
        note: ClaimNote,
        refusal: Refusal,
        deadline: Seconds,
    ) -> Reply:
        """Find out from its worker what became of a claimed task."""
        while self._clock() < deadline:
            report = await self._ask_worker(note)
            if report is None:
                await asyncio.sleep(_REJOIN_PAUSE)
            elif report.state is TaskState.RUNNING:
                await self._join(note, deadline)
            elif report.state is TaskState.NEVER_STARTED:
                return _reply_of(refusal, FailurePoint.NO_GRANT)
            else:
                return _reply_to(report)
        return _unknowable(f'{note.worker!r} has not answered in time')

    async def _ask_worker(self, note: ClaimNote) -> TaskReport | None:
        answer = await self._client.transport.call(
            note.address,
            SettleTasks(keys=[note.task], boot=note.boot),
            _SETTLE_TIMEOUT,
        )
        if not isinstance(answer, Ok):
            return None
        message = answer.ok_value
        if not isinstance(message, TaskReports):
            return None
        return message.tasks[0]

    async def _join(self, note: ClaimNote, deadline: Seconds) -> None:
        """Wait for the end of a task that runs already."""
        spec = TaskSpec(
            key=note.task,
            tenant=TenantId(''),
            class_name=ClassName(''),
        )
        message = StartTask(task=spec, epoch=Epoch(0), sequence=0, wait=True)
        left = max(0, deadline - self._clock())
        await self._client.transport.call(note.address, message, left)

    def _grant_request(
        self,
        call: RequestCall,
        avoid: list[WorkerId],
        *,
        first_tries: bool = False,
    ) -> GrantRequest:
        key = RequestKey('') if call.key is None else call.key.text
        patience = self._patience(call)
        if first_tries:
            patience = min(patience, _FIRST_PATIENCE)
        return GrantRequest(
            tenant=call.tenant,
            class_name=call.class_name,
            size=call.work_class.size,
            patience=patience,
            key=key,
            avoid=avoid,
        )

    def _patience(self, call: RequestCall) -> Seconds:
        left = call.deadline - self._clock()
        return max(0, min(call.patience, left))


def _spec_of(call: RequestCall, grant: Grant) -> TaskSpec:
    return TaskSpec(
        key=grant.task,
        tenant=call.tenant,
        class_name=call.class_name,
        size=call.work_class.size,
        payload=call.payload,
        ttl=call.work_class.timeout,
    )


def _reply_to(report: TaskReport) -> Reply:
    verdict = VERDICT_BY_STATE[report.state]
    failed = report.state is not TaskState.FINISHED
    return Reply(
        verdict=verdict,
        answer=report.answer,
        failed=failed,
        detail=f'the task is {report.state.value}' if failed else '',
    )


def _reply_of(answer: Message, point: FailurePoint) -> Reply:
    if not isinstance(answer, Refusal):
        return _failed_at(point)
    return Reply(
        verdict=answer.verdict,
        code=answer.code,
        detail=answer.detail,
        retry_after=answer.retry_after,
    )


def _goes_on(answer: Message) -> bool:
    return isinstance(answer, Refusal) and answer.code in _GOING_ON


def _is_passing(answer: Message) -> bool:
    return isinstance(answer, Refusal) and answer.code in _PASSING


def _after(reply: Reply, *, touched: bool) -> Reply:
    """Return the reply to a request whose earlier attempts may have run."""
    if touched and reply.verdict is Verdict.NOT_RUN:
        return msgspec.structs.replace(reply, verdict=Verdict.MAY_HAVE_RUN)
    return reply


def _failed_at(point: FailurePoint) -> Reply:
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
