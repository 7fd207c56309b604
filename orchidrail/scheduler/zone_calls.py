"""Locates the holder of a worker and acts on the worker through it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from orchidrail.membership.view import MembershipView, preferred_holder
from orchidrail.types import (
    Address,
    CallFailure,
    RefusalCode,
    SchedulerId,
    Seconds,
    TaskId,
    WorkerId,
)
from orchidrail.wire.messages import (
    Message,
    Refusal,
    RelayTasks,
    SettleTasks,
    TaskReport,
    TaskReports,
)

if TYPE_CHECKING:
    from orchidrail.jobs.attempts import ClaimNote
    from orchidrail.scheduler.fleet_list import FleetList
    from orchidrail.scheduler.lease_keeper import LeaseKeeper
    from orchidrail.scheduler.ports import Ports

_CALL_TIMEOUT: Seconds = 1


class ZoneCalls:
    """Calls to workers held by any scheduler of the zone."""

    def __init__(
        self,
        ports: Ports,
        keeper: LeaseKeeper,
        members: MembershipView,
        fleet: FleetList,
    ) -> None:
        """Create the calls; opens no connection."""
        self._ports = ports
        self._keeper = keeper
        self._members = members
        self._fleet = fleet

    def likely_holder(self, worker: WorkerId) -> tuple[SchedulerId, Address]:
        """Return the likely holder of a worker, and its address if known."""
        own_state = self._members.me
        if self._keeper.authorised(worker) is not None:
            return own_state.name, own_state.address
        alive = self._members.alive(self._ports.clock())
        name = preferred_holder(worker, alive) or own_state.name
        address = own_state.address if name == own_state.name else None
        known = address or self._members.address_of(name)
        return name, known or Address('')

    async def call_holder(self, worker: WorkerId, message: Message) -> Message:
        """Send a message to the holder of a worker.

        Returns
        -------
        The answer; a refusal with ``UNREACHABLE`` if the call fails, or with
        ``NOT_HOLDER`` if no other scheduler is known to hold the worker.
        """
        _, address = self.likely_holder(worker)
        if not address or address == self._members.me.address:
            return Refusal(code=RefusalCode.NOT_HOLDER)
        answer = await self._ports.transport.call(
            address, message, _CALL_TIMEOUT
        )
        if isinstance(answer, Ok):
            return answer.ok_value
        return Refusal(code=RefusalCode.UNREACHABLE)

    async def settle(
        self,
        note: ClaimNote,
        keys: list[TaskId],
    ) -> Result[list[TaskReport], RefusalCode]:
        """Query the outcome of tasks; unknown ones will never start.

        Needs no lease: it only revokes the right to start, and grants none.
        """
        listed = self._fleet.by_worker.get(note.worker)
        address = note.address if listed is None else listed.address
        message = SettleTasks(keys=keys, boot=note.boot)
        answer = await self._ports.transport.call(
            address, message, _CALL_TIMEOUT
        )
        return _reports_from(answer)

    async def control(
        self,
        note: ClaimNote,
        *,
        stop: list[TaskId] | None = None,
        forget: list[TaskId] | None = None,
    ) -> bool:
        """Request that tasks stop or are forgotten; return if accepted."""
        held = self._keeper.authorised(note.worker)
        if held is not None and held.boot == note.boot:
            held.pending.stop.update(stop or ())
            held.pending.forget_later(forget or (), held.lease.sequence)
            held.request_renewal()
            return True
        message = RelayTasks(
            worker=note.worker,
            boot=note.boot,
            stop=stop or [],
            forget=forget or [],
        )
        answer = await self.call_holder(note.worker, message)
        return not isinstance(answer, Refusal)


def _reports_from(
    answer: Result[Message, CallFailure],
) -> Result[list[TaskReport], RefusalCode]:
    if not isinstance(answer, Ok):
        return Err(RefusalCode.UNREACHABLE)
    message = answer.ok_value
    if isinstance(message, TaskReports):
        return Ok(message.tasks)
    if isinstance(message, Refusal):
        return Err(message.code)
    return Err(RefusalCode.INVALID)
