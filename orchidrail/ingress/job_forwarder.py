"""Hands callers' requests to the shard's owner, wherever it is."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import structlog
from result import Err, Ok

from orchidrail.journal import JournalView
from orchidrail.metrics import InstanceMetrics
from orchidrail.peers.table import PeerTable
from orchidrail.shard.owner import ShardOwner
from orchidrail.shard.stored_state import StoredState, read_state
from orchidrail.types import (
    CallFailure,
    JobId,
    Seconds,
    TenantId,
    WorkCode,
)
from orchidrail.wire.messages import (
    CancelWork,
    Message,
    QueryWork,
    SubmitWork,
    WorkAnswer,
)
from orchidrail.wire.transport import CallResult, Transport
from orchidrail.work.model import JobSpec, QueueSettings
from orchidrail.work.records import (
    ENDED_PHASES,
    FailureCause,
    JobPhase,
    encode,
)
from orchidrail.work.tenant import ANONYMOUS_TENANT, Tenant

_log = structlog.get_logger()
#: Pause before the owner is looked for again.
_RETRY_PAUSE: Seconds = 0.05
#: Longest wait for one answer of the owner; a job is taken in some 20 ms.
_ANSWER_WITHIN: Seconds = 1.0
#: When a refused caller should come back: the least that the header knows.
#: Either it has waited for as long as it could, or this zone is cut off, and
#: the entry point sends it to another one within 3 s.
_COME_BACK_AFTER: Seconds = 1
#: How often a submission that the owner holds looks whether it still owns.
_LOOK_EVERY: Seconds = 0.1
#: Silence of the owner after which its answer is not waited for: others take
#: over after 0.45 s.
_GIVEN_UP_AFTER: Seconds = 0.6
#: Silence of the owner after which no job is sent to it: without an answer
#: its caller could not be told that it has not run. It speaks each 0.1 s.
_DOUBTED_AFTER: Seconds = 0.3


_ANYBODY = TenantId('')


class JobAnswer(NamedTuple):
    """What the caller is to be told."""

    code: WorkCode
    phase: JobPhase = JobPhase.QUEUED
    retry_after: Seconds = 0
    #: Why the job was given up, if it was.
    cause: FailureCause = FailureCause.NONE


_REFUSED = JobAnswer(WorkCode.REJECTED, retry_after=_COME_BACK_AFTER)
#: Answers of the owner after which no other can come.
_FINAL = frozenset((WorkCode.OK, WorkCode.ID_CONFLICT))
#: Answers that are true of the try that they answer, not of an earlier one.
_REFUSALS = frozenset(
    (WorkCode.REJECTED, WorkCode.NEVER_FITS, WorkCode.OVER_SHARE)
)


def _refusal(answer: WorkAnswer) -> JobAnswer:
    """Tell a caller that its job was refused, and when it may be taken."""
    if answer.code is WorkCode.REJECTED:
        return _REFUSED
    return JobAnswer(answer.code, retry_after=answer.retry_after)


def _answer_of(state: StoredState, tenant: TenantId) -> JobAnswer:
    """Tell a tenant of a job that the journal has."""
    if not state.visible_to(tenant):
        return JobAnswer(WorkCode.NO_SUCH_JOB)
    return JobAnswer(WorkCode.OK, state.phase, cause=state.cause)


class JobForwarder:
    """Answers for one gateway.

    Parameters
    ----------
    table : PeerTable
    transport : Transport
    view : JournalView
        This process's copy of the journal, read now and then.
    handle_here : callable
        Answers a message as this process answers its peers.
    local_owner : callable
        Returns the owner in this process, None if another has the shard.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        table: PeerTable,
        transport: Transport,
        view: JournalView,
        handle_here: Callable[[Message], Awaitable[Message]],
        local_owner: Callable[[], ShardOwner | None],
        clock: Callable[[], Seconds],
        metrics: InstanceMetrics,
    ) -> None:
        """Hold the ways to the owner."""
        self._metrics = metrics
        self._table = table
        self._transport = transport
        self._view = view
        self._handle_here = handle_here
        self._local_owner = local_owner
        self._clock = clock

    async def submit(
        self,
        job_id: JobId,
        queue: QueueSettings,
        spec: JobSpec,
        patience: Seconds,
        tenant: Tenant = ANONYMOUS_TENANT,
    ) -> JobAnswer:
        """Have a job accepted, within the caller's patience.

        The answer is a refusal only if no try can have had an effect.
        """
        began = self._clock()
        answer = await self._submit(job_id, queue, spec, patience, tenant)
        label = self._metrics.queue_label(queue.name)
        self._metrics.submissions.labels(label, answer.code.value).inc()
        self._metrics.submission_seconds.labels(label).observe(
            self._clock() - began
        )
        return answer

    async def _submit(
        self,
        job_id: JobId,
        queue: QueueSettings,
        spec: JobSpec,
        patience: Seconds,
        tenant: Tenant,
    ) -> JobAnswer:
        began = self._clock()
        uncertain = False
        while self._clock() - began < patience:
            if self._table.is_partitioned() and not uncertain:
                break
            left = patience - (self._clock() - began)
            message = SubmitWork(
                job_id=job_id,
                queue=encode(queue),
                spec=encode(spec),
                patience=left,
                tenant=b'' if tenant is ANONYMOUS_TENANT else encode(tenant),
            )
            answer = await self._try_submit(message)
            if answer.code in _FINAL:
                return JobAnswer(answer.code)
            if answer.code in _REFUSALS and not uncertain:
                return _refusal(answer)
            uncertain = uncertain or answer.code is WorkCode.UNCERTAIN
            await asyncio.sleep(_RETRY_PAUSE)
        _log.info(
            'job not accepted',
            job=job_id,
            queue=queue.name,
            uncertain=uncertain,
            owner=self._table.claim.name,
            epoch=self._table.claim.epoch,
        )
        return JobAnswer(WorkCode.UNCERTAIN) if uncertain else _REFUSED

    async def query(
        self,
        job_id: JobId,
        patience: Seconds,
        tenant: TenantId = _ANYBODY,
    ) -> JobAnswer:
        """Return a job's state; another tenant's is one that does not exist."""
        seen = read_state(job_id, self._view.value_by_key)
        if seen is not None and (
            seen.phase in ENDED_PHASES or self._table.is_partitioned()
        ):
            return _answer_of(seen, tenant)
        message = QueryWork(job_id=job_id, tenant=tenant)
        return await self._ask_until(message, patience)

    async def cancel(
        self,
        job_id: JobId,
        patience: Seconds,
        tenant: TenantId = _ANYBODY,
    ) -> JobAnswer:
        """Cancel a job of a tenant's."""
        message = CancelWork(job_id=job_id, tenant=tenant)
        return await self._ask_until(message, patience)

    def waiting(self, queue: QueueSettings) -> int:
        """Return how many jobs of a queue wait, as the owner told last."""
        owner = self._local_owner()
        if owner is not None:
            return owner.waiting_by_queue()[queue.name]
        return self._table.waiting_by_queue.get(queue.name, 0)

    def _owner_is_silent(self) -> bool:
        """Whether a job sent to the owner now would be in doubt."""
        if self._local_owner() is not None:
            return False
        return self._table.owner_silence() > _DOUBTED_AFTER

    async def _try_submit(self, message: SubmitWork) -> WorkAnswer:
        if self._owner_is_silent():
            return WorkAnswer(code=WorkCode.NOT_OWNER)
        answer = await self._ask_while_heard(message)
        if isinstance(answer, Ok):
            return answer.ok_value
        if answer.err_value is CallFailure.ANSWER_LOST:
            return WorkAnswer(code=WorkCode.UNCERTAIN)
        return WorkAnswer(code=WorkCode.NOT_OWNER)

    async def _ask_while_heard(
        self,
        message: SubmitWork,
    ) -> Ok[WorkAnswer] | Err[CallFailure]:
        """Wait for the owner's answer while it is heard and owns.

        It holds a job back while its journal is silent.
        """
        epoch = self._table.claim.epoch
        patience = max(_RETRY_PAUSE, message.patience)
        asking = asyncio.ensure_future(self._ask_owner(message, patience))
        try:
            while not asking.done():
                await asyncio.wait((asking,), timeout=_LOOK_EVERY)
                silent = self._table.owner_silence() > _GIVEN_UP_AFTER
                gone = silent and self._local_owner() is None
                if gone or self._table.claim.epoch != epoch:
                    break
        finally:
            if not asking.done():
                asking.cancel()
        if asking.done() and not asking.cancelled():
            return asking.result()
        return Err(CallFailure.ANSWER_LOST)

    async def _ask_until(
        self,
        message: QueryWork | CancelWork,
        patience: Seconds,
    ) -> JobAnswer:
        began = self._clock()
        while True:
            left = patience - (self._clock() - began)
            if left <= 0:
                return JobAnswer(WorkCode.UNCERTAIN)
            answer = await self._ask_owner(message, min(left, _ANSWER_WITHIN))
            if isinstance(answer, Ok):
                word = answer.ok_value
                if word.code in {WorkCode.OK, WorkCode.NO_SUCH_JOB}:
                    return JobAnswer(
                        word.code,
                        JobPhase(word.phase),
                        cause=FailureCause(word.cause),
                    )
            elif isinstance(message, QueryWork):
                found = await self._look_up(message.job_id, message.tenant)
                if found is not None:
                    return found
            await asyncio.sleep(_RETRY_PAUSE)

    async def _look_up(
        self,
        job_id: JobId,
        tenant: TenantId,
    ) -> JobAnswer | None:
        """Answer from the journal while the owner can't be reached."""
        if not await self._view.catch_up():
            return None
        state = read_state(job_id, self._view.value_by_key)
        if state is None:
            return JobAnswer(WorkCode.NO_SUCH_JOB)
        return _answer_of(state, tenant)

    async def _ask_owner(
        self,
        message: Message,
        timeout: Seconds,
    ) -> Ok[WorkAnswer] | Err[CallFailure]:
        claim = self._table.claim
        if claim.name == self._table.me.name:
            return await self._ask_here(message, timeout)
        if not claim.address:
            return Err(CallFailure.NOT_SENT)
        outcome: CallResult = await self._transport.call(
            claim.address,
            message,
            timeout,
        )
        if isinstance(outcome, Ok) and isinstance(outcome.ok_value, WorkAnswer):
            return Ok(outcome.ok_value)
        if isinstance(outcome, Err):
            return Err(outcome.err_value)
        return Err(CallFailure.ANSWER_LOST)

    async def _ask_here(
        self,
        message: Message,
        timeout: Seconds,
    ) -> Ok[WorkAnswer] | Err[CallFailure]:
        try:
            answer = await asyncio.wait_for(
                self._handle_here(message),
                timeout,
            )
        except (TimeoutError, asyncio.TimeoutError):
            return Err(CallFailure.ANSWER_LOST)
        if isinstance(answer, WorkAnswer):
            return Ok(answer)
        return Err(CallFailure.ANSWER_LOST)
