"""Forwards callers' job requests to the instance that owns the shard."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import structlog
from result import Err, Ok

from orchidrail.admission.forecast import applies_to
from orchidrail.ingress.load_refusals import LoadRefusals
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
#: Pause before a request to the owner is retried.
_RETRY_PAUSE: Seconds = 0.05
#: Timeout of one request to the owner, which accepts a job in about 20 ms.
_REPLY_TIMEOUT: Seconds = 1.0
#: ``Retry-After`` of a rejected caller, the smallest value of that header: the
#: caller has either used up its timeout, or this zone is partitioned and the
#: entry point routes it to another zone within 3 s.
_RETRY_AFTER: Seconds = 1
#: Interval at which a pending submission checks that the owner is unchanged.
_OWNER_CHECK_INTERVAL: Seconds = 0.1
#: Time without a heartbeat of the owner after which its reply is no longer
#: awaited: other instances take over after 0.45 s.
_OWNER_LOST_AFTER: Seconds = 0.6
#: Time without a heartbeat of the owner, which sends one every 0.1 s, after
#: which no job is sent to it: without a reply the caller could not be told that
#: the job has not run.
_OWNER_UNCERTAIN_AFTER: Seconds = 0.3


_ANY_TENANT = TenantId('')


class JobAnswer(NamedTuple):
    """Outcome of a request about a job, as reported to the caller."""

    code: WorkCode
    phase: JobPhase = JobPhase.QUEUED
    retry_after: Seconds = 0
    #: Why the job failed permanently, if it did.
    cause: FailureCause = FailureCause.NONE


_REJECTED = JobAnswer(WorkCode.REJECTED, retry_after=_RETRY_AFTER)
#: Codes of the owner that a retry can't change.
_FINAL_CODES = frozenset((WorkCode.OK, WorkCode.ID_CONFLICT))
#: Codes that hold for one attempt only: an earlier one may have taken effect.
_REJECTION_CODES = frozenset(
    (WorkCode.REJECTED, WorkCode.NEVER_FITS, WorkCode.OVER_SHARE)
)


def _rejection(answer: WorkAnswer) -> JobAnswer:
    """Return the rejection of a job and when the caller may retry."""
    if answer.code is WorkCode.REJECTED and not answer.retry_after:
        return _REJECTED
    return JobAnswer(answer.code, retry_after=answer.retry_after)


def _answer_from_state(state: StoredState, tenant: TenantId) -> JobAnswer:
    """Describe a job from the journal to a tenant."""
    if not state.visible_to(tenant):
        return JobAnswer(WorkCode.NO_SUCH_JOB)
    return JobAnswer(WorkCode.OK, state.phase, cause=state.cause)


class JobForwarder:
    """Answers the job requests that one instance receives.

    Parameters
    ----------
    table : PeerTable
    transport : Transport
    view : JournalView
        This process's copy of the journal, refreshed occasionally.
    handle_locally : callable
        Handles a message as if a peer had sent it.
    local_owner : callable
        Returns the owner in this process, None if another process owns the
        shard.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        table: PeerTable,
        transport: Transport,
        view: JournalView,
        handle_locally: Callable[[Message], Awaitable[Message]],
        local_owner: Callable[[], ShardOwner | None],
        clock: Callable[[], Seconds],
        metrics: InstanceMetrics,
    ) -> None:
        """Store the dependencies."""
        self._metrics = metrics
        self._table = table
        self._transport = transport
        self._view = view
        self._handle_locally = handle_locally
        self._local_owner = local_owner
        self._clock = clock
        self._load_refusals = LoadRefusals(table, metrics, clock)

    async def submit(
        self,
        job_id: JobId,
        queue: QueueSettings,
        spec: JobSpec,
        timeout: Seconds,
        tenant: Tenant = ANONYMOUS_TENANT,
    ) -> JobAnswer:
        """Submit a job within the caller's timeout.

        The answer is a rejection only if no attempt can have taken effect.
        """
        started_at = self._clock()
        answer = await self._submit(job_id, queue, spec, timeout, tenant)
        label = self._metrics.queue_label(queue.name)
        self._metrics.submissions.labels(label, answer.code.value).inc()
        self._metrics.submission_seconds.labels(label).observe(
            self._clock() - started_at
        )
        return answer

    async def _submit(
        self,
        job_id: JobId,
        queue: QueueSettings,
        spec: JobSpec,
        timeout: Seconds,
        tenant: Tenant,
    ) -> JobAnswer:
        started_at = self._clock()
        uncertain = False
        while self._clock() - started_at < timeout:
            if not uncertain:
                refusal = await self._find_refusal(
                    job_id, queue, spec, tenant, started_at, timeout
                )
                if refusal is not None:
                    return refusal
            remaining = timeout - (self._clock() - started_at)
            message = SubmitWork(
                job_id=job_id,
                queue=encode(queue),
                spec=encode(spec),
                patience=remaining,
                tenant=b'' if tenant is ANONYMOUS_TENANT else encode(tenant),
            )
            answer = await self._try_submit(message)
            if answer.code in _FINAL_CODES:
                return JobAnswer(answer.code)
            if answer.code in _REJECTION_CODES and not uncertain:
                return _rejection(answer)
            uncertain = uncertain or answer.code is WorkCode.UNCERTAIN
            await asyncio.sleep(_RETRY_PAUSE)
        self._log_not_accepted(job_id, queue, uncertain)
        return JobAnswer(WorkCode.UNCERTAIN) if uncertain else _REJECTED

    def _log_not_accepted(
        self, job_id: JobId, queue: QueueSettings, uncertain: bool = False
    ) -> None:
        _log.info(
            'job not accepted',
            job=job_id,
            queue=queue.name,
            uncertain=uncertain,
            owner=self._table.claim.name,
            epoch=self._table.claim.epoch,
        )

    async def _find_refusal(
        self,
        job_id: JobId,
        queue: QueueSettings,
        spec: JobSpec,
        tenant: Tenant,
        arrived_at: Seconds,
        timeout: Seconds,
    ) -> JobAnswer | None:
        """Return the rejection of a job that is not sent, None to send it."""
        if self._table.is_partitioned():
            self._log_not_accepted(job_id, queue)
            return _REJECTED
        if self._local_owner() is not None or not applies_to(spec):
            return None
        if self._owner_is_unresponsive():
            elapsed = self._clock() - arrived_at
            retry_after = self._load_refusals.find_by_outage(
                job_id, queue, spec, elapsed, timeout - elapsed
            )
        else:
            retry_after = await self._load_refusals.find_by_digest(
                job_id, queue, spec, tenant, arrived_at
            )
        if not retry_after:
            return None
        return JobAnswer(WorkCode.REJECTED, retry_after=retry_after)

    async def query(
        self,
        job_id: JobId,
        timeout: Seconds,
        tenant: TenantId = _ANY_TENANT,
    ) -> JobAnswer:
        """Return a job's state; a job of another tenant counts as unknown."""
        stored = read_state(job_id, self._view.value_by_key)
        if stored is not None and (
            stored.phase in ENDED_PHASES or self._table.is_partitioned()
        ):
            return _answer_from_state(stored, tenant)
        message = QueryWork(job_id=job_id, tenant=tenant)
        return await self._ask_until_timeout(message, timeout)

    async def cancel(
        self,
        job_id: JobId,
        timeout: Seconds,
        tenant: TenantId = _ANY_TENANT,
    ) -> JobAnswer:
        """Cancel a job of a tenant."""
        message = CancelWork(job_id=job_id, tenant=tenant)
        return await self._ask_until_timeout(message, timeout)

    def waiting(self, queue: QueueSettings) -> int:
        """Return how many jobs of a queue wait, by the owner's last report."""
        owner = self._local_owner()
        if owner is not None:
            return owner.waiting_by_queue()[queue.name]
        return self._table.waiting_by_queue.get(queue.name, 0)

    def _owner_is_unresponsive(self) -> bool:
        """Whether the outcome of a job sent to the owner now is uncertain."""
        if self._local_owner() is not None:
            return False
        return self._table.owner_silence() > _OWNER_UNCERTAIN_AFTER

    async def _try_submit(self, message: SubmitWork) -> WorkAnswer:
        if self._owner_is_unresponsive():
            return WorkAnswer(code=WorkCode.NOT_OWNER)
        asked_at = self._clock()
        answer = await self._ask_while_owner_is_live(message)
        if isinstance(answer, Ok):
            self._load_refusals.note_reply(self._clock() - asked_at)
            return answer.ok_value
        if answer.err_value is CallFailure.ANSWER_LOST:
            return WorkAnswer(code=WorkCode.UNCERTAIN)
        return WorkAnswer(code=WorkCode.NOT_OWNER)

    async def _ask_while_owner_is_live(
        self,
        message: SubmitWork,
    ) -> Ok[WorkAnswer] | Err[CallFailure]:
        """Wait for the owner's reply while it is live and its epoch is current.

        The owner delays a job while its journal does not respond.
        """
        epoch = self._table.claim.epoch
        remaining = max(_RETRY_PAUSE, message.patience)
        pending = asyncio.ensure_future(self._ask_owner(message, remaining))
        try:
            while not pending.done():
                await asyncio.wait((pending,), timeout=_OWNER_CHECK_INTERVAL)
                unresponsive = self._table.owner_silence() > _OWNER_LOST_AFTER
                owner_lost = unresponsive and self._local_owner() is None
                if owner_lost or self._table.claim.epoch != epoch:
                    break
        finally:
            if not pending.done():
                pending.cancel()
        if pending.done() and not pending.cancelled():
            return pending.result()
        return Err(CallFailure.ANSWER_LOST)

    async def _ask_until_timeout(
        self,
        message: QueryWork | CancelWork,
        timeout: Seconds,
    ) -> JobAnswer:
        started_at = self._clock()
        while True:
            remaining = timeout - (self._clock() - started_at)
            if remaining <= 0:
                return JobAnswer(WorkCode.UNCERTAIN)
            answer = await self._ask_owner(
                message, min(remaining, _REPLY_TIMEOUT)
            )
            if isinstance(answer, Ok):
                reply = answer.ok_value
                if reply.code in {WorkCode.OK, WorkCode.NO_SUCH_JOB}:
                    return JobAnswer(
                        reply.code,
                        JobPhase(reply.phase),
                        cause=FailureCause(reply.cause),
                    )
            elif isinstance(message, QueryWork):
                stored = await self._read_from_journal(
                    message.job_id, message.tenant
                )
                if stored is not None:
                    return stored
            await asyncio.sleep(_RETRY_PAUSE)

    async def _read_from_journal(
        self,
        job_id: JobId,
        tenant: TenantId,
    ) -> JobAnswer | None:
        """Answer from the journal while the owner is unreachable."""
        if not await self._view.catch_up():
            return None
        state = read_state(job_id, self._view.value_by_key)
        if state is None:
            return JobAnswer(WorkCode.NO_SUCH_JOB)
        return _answer_from_state(state, tenant)

    async def _ask_owner(
        self,
        message: Message,
        timeout: Seconds,
    ) -> Ok[WorkAnswer] | Err[CallFailure]:
        claim = self._table.claim
        if claim.name == self._table.me.name:
            return await self._ask_locally(message, timeout)
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

    async def _ask_locally(
        self,
        message: Message,
        timeout: Seconds,
    ) -> Ok[WorkAnswer] | Err[CallFailure]:
        try:
            answer = await asyncio.wait_for(
                self._handle_locally(message),
                timeout,
            )
        except (TimeoutError, asyncio.TimeoutError):
            return Err(CallFailure.ANSWER_LOST)
        if isinstance(answer, WorkAnswer):
            return Ok(answer)
        return Err(CallFailure.ANSWER_LOST)
