"""Calls of a gateway to schedulers."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from orchidrail.types import (
    Address,
    CallFailure,
    RefusalCode,
    Seconds,
    WorkerId,
    ZoneId,
)
from orchidrail.wire.messages import (
    Message,
    QueryHolder,
    Refusal,
    TaskReport,
    TasksEnded,
    WorkerHolder,
)

if TYPE_CHECKING:
    from orchidrail.gateway.directory import SchedulerDirectory
    from orchidrail.wire.transport import Transport

_CALL_TIMEOUT: Seconds = 1
#: How long reports of ended requests are collected into one message.
_REPORT_BATCH_DELAY: Seconds = 0.003


class SchedulerClient:
    """Calls schedulers, and fails over where a retry is safe."""

    def __init__(
        self,
        transport: Transport,
        directory: SchedulerDirectory,
    ) -> None:
        """Start without cached holders or pending reports."""
        self.transport = transport
        self._directory = directory
        self._holder_by_worker: dict[WorkerId, WorkerHolder] = {}
        self._ended_by_holder: dict[Address, list[TaskReport]] = defaultdict(
            list
        )
        self._report_tasks: set[asyncio.Task[None]] = set()

    def order(self, zone: ZoneId) -> list[Address]:
        """Return a zone's schedulers in the order to call them."""
        return self._directory.order(zone)

    async def call_any(
        self,
        zone: ZoneId,
        message: Message,
        timeout: Seconds,
    ) -> tuple[Address, Message]:
        """Call the schedulers of a zone in order until one handles a message.

        Only for messages that start no work, since a call whose answer is
        lost is repeated at the next scheduler.
        """
        refusal = Refusal(code=RefusalCode.UNREACHABLE, retry_after=1)
        for address in self._directory.order(zone):
            answer = await self.call_scheduler(address, message, timeout)
            if not isinstance(answer, Ok):
                continue
            message_or_refusal = answer.ok_value
            if not is_not_holder(message_or_refusal):
                return address, message_or_refusal
            refusal = message_or_refusal  # type: ignore[assignment]
        return Address(''), refusal

    async def call_scheduler(
        self,
        address: Address,
        message: Message,
        timeout: Seconds,
    ) -> Result[Message, CallFailure]:
        """Call one scheduler and record the outcome in the directory."""
        self._directory.call_started(address)
        answer = await self.transport.call(address, message, timeout)
        self._directory.call_ended(address, ok=isinstance(answer, Ok))
        return answer

    async def find_holder(
        self,
        zone: ZoneId,
        worker: WorkerId,
        *,
        refresh: bool,
    ) -> WorkerHolder | None:
        """Return the last known holder of a worker's lease.

        A failed query with `refresh` returns the cached holder.
        """
        cached = self._holder_by_worker.get(worker)
        if cached is not None and not refresh:
            return cached
        query = QueryHolder(worker=worker)
        _, answer = await self.call_any(zone, query, _CALL_TIMEOUT)
        if not isinstance(answer, WorkerHolder):
            return cached
        self._holder_by_worker[worker] = answer
        return answer

    async def call_holder(
        self,
        zone: ZoneId,
        worker: WorkerId,
        message: Message,
        timeout: Seconds,
    ) -> tuple[Address, Result[Message, CallFailure]]:
        """Call the holder of a worker's lease.

        If it no longer holds the lease or the message could not be sent,
        looks the holder up anew and retries once.
        """
        for refresh in (False, True):
            holder = await self.find_holder(zone, worker, refresh=refresh)
            if holder is None or not holder.address:
                continue
            answer = await self.call_scheduler(holder.address, message, timeout)
            not_holder = isinstance(answer, Ok) and is_not_holder(
                answer.ok_value
            )
            not_sent = answer == Err(CallFailure.NOT_SENT)
            if not not_holder and not not_sent:
                return holder.address, answer
        return Address(''), Err(CallFailure.NOT_SENT)

    def report_ended(self, holder: Address, report: TaskReport) -> None:
        """Queue a report of an ended request for its holder."""
        pending = self._ended_by_holder[holder]
        pending.append(report)
        if len(pending) == 1:
            report_task = asyncio.create_task(self._send_reports(holder))
            self._report_tasks.add(report_task)
            report_task.add_done_callback(self._report_tasks.discard)

    async def flush(self) -> None:
        """Wait until all pending reports are sent."""
        await asyncio.gather(*self._report_tasks)

    async def _send_reports(self, holder: Address) -> None:
        await asyncio.sleep(_REPORT_BATCH_DELAY)
        reports = self._ended_by_holder.pop(holder)
        message = TasksEnded(tasks=reports)
        # If it is lost, the holder queries the worker on grant expiry.
        await self.transport.call(holder, message, _CALL_TIMEOUT)


def is_not_holder(answer: Message) -> bool:
    """Return whether a scheduler refused because it is not the holder."""
    return isinstance(answer, Refusal) and answer.code is RefusalCode.NOT_HOLDER
