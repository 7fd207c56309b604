"""Handles the messages of the other instances."""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import msgspec

from orchidrail.store.relay import RawCall, SendCall
from orchidrail.types import RefusalCode, Seconds, WorkCode
from orchidrail.wire.messages import (
    Ack,
    AdviceGiven,
    AskAdvice,
    CancelWork,
    Message,
    PeerState,
    QueryWork,
    Refusal,
    RelayAnswer,
    RelayCall,
    SubmitWork,
    TakeOver,
    WorkAnswer,
)
from orchidrail.work.model import QueueSettings
from orchidrail.work.records import decode_spec, decode_tenant
from orchidrail.work.tenant import ANONYMOUS_TENANT
from orchidrail.workers.port import AdviceCalls

if TYPE_CHECKING:
    from orchidrail.instance.ownership import Ownership
    from orchidrail.peers.table import PeerTable
    from orchidrail.shard.owner import ShardOwner

_decode_queue = msgspec.msgpack.Decoder(QueueSettings).decode
_STOPPING = Refusal(code=RefusalCode.LEAVING, detail='stopping too')
_NOT_OWNER = WorkAnswer(code=WorkCode.NOT_OWNER)
_CODE_BY_ACCEPTED = {
    True: WorkCode.OK,
    False: WorkCode.REJECTED,
    None: WorkCode.UNCERTAIN,
}
#: Timeout of the store's confirmation that this process still owns the shard.
_CONFIRM_TIMEOUT: Seconds = 0.6


async def _deny_job(owner: ShardOwner) -> WorkAnswer:
    """Deny a job only once the store confirms that this owner is current."""
    if await owner.writer.confirm(_CONFIRM_TIMEOUT):
        return WorkAnswer(code=WorkCode.NO_SUCH_JOB)
    return _NOT_OWNER


class PeerService:
    """Answers the messages of peers, by message type.

    Parameters
    ----------
    table : PeerTable
    ownership : Ownership
    store_call : callable
        Calls the store from this instance, without a relay.
    advice : AdviceCalls
    """

    def __init__(
        self,
        table: PeerTable,
        ownership: Ownership,
        store_call: SendCall,
        advice: AdviceCalls,
    ) -> None:
        """Store the dependencies."""
        self._table = table
        self._ownership = ownership
        self._store_call = store_call
        self._advice = advice

    async def handle(self, message: Message) -> Message:
        """Answer one message."""
        return await self._answer(message)

    @singledispatchmethod
    async def _answer(self, message: Message) -> Message:
        return Refusal(
            code=RefusalCode.INVALID,
            detail=f'unexpected {type(message).__name__!r}',
        )

    @_answer.register
    async def _(self, message: PeerState) -> Message:
        self._table.record_heartbeat(message)
        return self._ownership.describe()

    @_answer.register
    async def _(self, message: SubmitWork) -> Message:
        owner = self._ownership.owner
        if owner is None:
            return _NOT_OWNER
        spec = decode_spec(message.spec)
        tenant = (
            decode_tenant(message.tenant)
            if message.tenant
            else ANONYMOUS_TENANT
        )
        queue = _decode_queue(message.queue)
        objection = owner.find_rejection(
            message.job_id, queue, spec, tenant, message.patience
        )
        if objection is not None:
            return WorkAnswer(
                code=objection.code,
                retry_after=objection.retry_after,
            )
        accepted = await owner.submit(
            message.job_id,
            queue,
            spec,
            message.patience,
            tenant,
        )
        return WorkAnswer(code=_CODE_BY_ACCEPTED[accepted])

    @_answer.register
    async def _(self, message: QueryWork) -> Message:
        owner = self._ownership.owner
        if owner is None:
            return _NOT_OWNER
        state = owner.job_state(message.job_id)
        if state is None or not state.visible_to(message.tenant):
            return await _deny_job(owner)
        return WorkAnswer(
            code=WorkCode.OK,
            phase=int(state.phase),
            cause=state.cause.value,
        )

    @_answer.register
    async def _(self, message: CancelWork) -> Message:
        owner = self._ownership.owner
        if owner is None:
            return _NOT_OWNER
        state = owner.job_state(message.job_id)
        if state is not None and not state.visible_to(message.tenant):
            return await _deny_job(owner)
        try:
            phase = await owner.cancel(message.job_id)
        except ConnectionAbortedError:
            return WorkAnswer(code=WorkCode.UNCERTAIN)
        if phase is None:
            return await _deny_job(owner)
        return WorkAnswer(code=WorkCode.OK, phase=int(phase))

    @_answer.register
    async def _(self, message: RelayCall) -> Message:
        answer = await self._store_call(
            RawCall(
                message.method,
                message.target,
                message.body,
                message.timeout,
                message.waits,
            )
        )
        return RelayAnswer(
            status=answer.status,
            body=answer.body,
            reached=answer.reached,
        )

    @_answer.register
    async def _(self, message: AskAdvice) -> Message:
        advice = await self._advice.advise(
            message.step_key,
            message.workers,
            message.timeout,
        )
        if advice is None:
            return AdviceGiven(known=False)
        return AdviceGiven(
            known=True,
            workers=list(advice.ticket_by_name),
            tickets=list(advice.ticket_by_name.values()),
            valid=advice.valid,
        )

    @_answer.register
    async def _(self, message: TakeOver) -> Message:
        if not self._ownership.eligible:
            return _STOPPING
        self._ownership.takeover_epoch = message.epoch
        self._ownership.takeover_requested.set()
        await asyncio.sleep(0)
        return Ack()
