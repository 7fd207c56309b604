"""Places for groups of tasks, here or at another holder of the zone."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple, Protocol

from result import Err, Ok, Result

from orchidrail.deciding.engine import Declined, Placed, WorkItem, member_key
from orchidrail.jobs.attempts import ClaimNote
from orchidrail.leasing.ledger import Proof
from orchidrail.scheduler.held_worker import StartFailure
from orchidrail.types import (
    Address,
    CallFailure,
    ClassName,
    RefusalCode,
    Seconds,
    TaskId,
    WorkerId,
)
from orchidrail.wire.messages import (
    DropReservation,
    MemberState,
    Message,
    PlaceReserved,
    Refusal,
    ReservePlace,
    StartReserved,
    TaskReport,
    TaskSpec,
)

if TYPE_CHECKING:
    from orchidrail.bundles.model import WorkClass
    from orchidrail.membership.view import MembershipView
    from orchidrail.scheduler.dispatcher import Dispatcher
    from orchidrail.scheduler.held_worker import HeldWorker
    from orchidrail.scheduler.lease_keeper import LeaseKeeper
    from orchidrail.scheduler.ports import Ports

StartOutcome = Result[TaskReport, StartFailure]

#: How long work waits here before other holders are asked.
_LOCAL_PATIENCE: Seconds = 0.3
_RESERVATION_VALIDITY: Seconds = 5
_CALL_TIMEOUT: Seconds = 1
_UNSURE = 'unsure'


class TaskPlace(Protocol):
    """Room taken for one task."""

    note: ClaimNote

    async def start(self, spec: TaskSpec) -> StartOutcome:
        """Start the task there."""

    async def drop(self) -> None:
        """Give the room back; the task was never sent."""


class LocalPlace:
    """Room on a worker that this scheduler holds."""

    def __init__(
        self,
        held: HeldWorker,
        task: TaskId,
        dispatcher: Dispatcher,
    ) -> None:
        """Take over room that the engine has reserved."""
        self.note = ClaimNote(
            held.instance.name,
            held.boot,
            held.instance.address,
            task,
        )
        self._held = held
        self._dispatcher = dispatcher

    async def start(self, spec: TaskSpec) -> StartOutcome:
        """See `TaskPlace.start`."""
        return await self._held.start(spec)

    async def drop(self) -> None:
        """See `TaskPlace.drop`."""
        engine = self._dispatcher.engine
        engine.give_back(self.note.worker, self.note.task, Proof.NEVER_SENT)
        self._dispatcher.wake()


class RemotePlace:
    """Room that another holder keeps for a short while."""

    def __init__(
        self,
        ports: Ports,
        holder: Address,
        reserved: PlaceReserved,
        task: TaskId,
    ) -> None:
        """Take over what the holder answered."""
        self.note = ClaimNote(
            reserved.worker,
            reserved.boot,
            reserved.address,
            task,
        )
        self._ports = ports
        self._holder = holder
        self._token = reserved.token

    async def start(self, spec: TaskSpec) -> StartOutcome:
        """See `TaskPlace.start`."""
        message = StartReserved(task=spec, token=self._token)
        answer = await self._ports.transport.call(
            self._holder,
            message,
            _CALL_TIMEOUT,
        )
        if answer == Err(CallFailure.NOT_SENT):
            return Err(StartFailure.NOT_STARTED)
        if not isinstance(answer, Ok):
            return Err(StartFailure.UNSURE)
        return _start_outcome(answer.ok_value)

    async def drop(self) -> None:
        """See `TaskPlace.drop`."""
        message = DropReservation(token=self._token)
        await self._ports.transport.call(self._holder, message, _CALL_TIMEOUT)


class Placer:
    """Finds places for groups of tasks, all or none of a group."""

    def __init__(
        self,
        ports: Ports,
        dispatcher: Dispatcher,
        keeper: LeaseKeeper,
        members: MembershipView,
    ) -> None:
        """Hold the parts."""
        self._ports = ports
        self._dispatcher = dispatcher
        self._keeper = keeper
        self._members = members

    def work_class(self, name: ClassName) -> WorkClass | None:
        """Return a class of the bundle in force, if it has it."""
        return self._dispatcher.engine.find_class(name)

    async def place(self, item: WorkItem) -> list[TaskPlace] | Declined:
        """Wait for places for all tasks of a group.

        Work that finds no room here is offered to other holders, too.
        """
        here = asyncio.create_task(self._dispatcher.place(item))
        try:
            while True:
                done, _ = await asyncio.wait({here}, timeout=_LOCAL_PATIENCE)
                if done:
                    return self._places_of(here.result(), item)
                elsewhere = await self._reserve_elsewhere(item)
                if elsewhere and here.done():
                    await _drop_all(elsewhere)
                elif elsewhere:
                    return elsewhere
        finally:
            here.cancel()

    def _places_of(
        self,
        outcome: Placed | Declined,
        item: WorkItem,
    ) -> list[TaskPlace] | Declined:
        if isinstance(outcome, Declined):
            return outcome
        places: list[TaskPlace] = []
        for index, place in enumerate(outcome.places):
            held = self._keeper.authorised(place.worker)
            if held is None:
                self._dispatcher.undo(outcome)
                return Declined(item, RefusalCode.NOT_HOLDER, 'lease lost', 0)
            task = member_key(item, index)
            places.append(LocalPlace(held, task, self._dispatcher))
        return places

    async def _reserve_elsewhere(self, item: WorkItem) -> list[TaskPlace]:
        """Reserve room for the whole group at others, or nothing."""
        now = self._ports.clock()
        peers = self._members.peers_with_room(item.size, now)
        places: list[TaskPlace] = []
        for index in range(item.gang):
            place = await self._reserve_one(item, index, peers)
            if place is None and item.gang > 1:
                place = self._reserve_here(item, index)
            if place is None:
                await _drop_all(places)
                return []
            places.append(place)
        return places

    async def _reserve_one(
        self,
        item: WorkItem,
        index: int,
        peers: list[MemberState],
    ) -> TaskPlace | None:
        message = ReservePlace(
            task=member_key(item, index),
            tenant=item.tenant,
            class_name=item.class_name,
            size=item.size,
            validity=_RESERVATION_VALIDITY,
        )
        for peer in tuple(peers):
            answer = await self._ports.transport.call(
                peer.address,
                message,
                _CALL_TIMEOUT,
            )
            if isinstance(answer, Ok):
                reserved = answer.ok_value
                if isinstance(reserved, PlaceReserved):
                    task = message.task
                    return RemotePlace(
                        self._ports,
                        peer.address,
                        reserved,
                        task,
                    )
            peers.remove(peer)
        return None

    def _reserve_here(self, item: WorkItem, index: int) -> TaskPlace | None:
        """Fill up a group that is too large for one holder."""
        task = member_key(item, index)
        single = WorkItem(
            task,
            item.tenant,
            item.class_name,
            item.size,
            queued_at=item.queued_at,
            avoid=item.avoid,
        )
        now = self._ports.clock()
        placed = self._dispatcher.engine.place_now(single, now)
        if placed is None:
            return None
        held = self._keeper.authorised(placed.place.worker)
        if held is None:
            self._dispatcher.undo(placed)
            return None
        return LocalPlace(held, task, self._dispatcher)


class _Kept(NamedTuple):
    task: TaskId
    worker: WorkerId


class ReservationBook:
    """Room kept here for tasks of other schedulers.

    Each reservation has a token that is good for one start, so that late
    copies of messages start nothing.
    """

    def __init__(
        self,
        ports: Ports,
        dispatcher: Dispatcher,
        keeper: LeaseKeeper,
    ) -> None:
        """Start with nothing kept."""
        self._ports = ports
        self._dispatcher = dispatcher
        self._keeper = keeper
        self._kept_by_token: dict[str, _Kept] = {}

    def reserve(self, message: ReservePlace) -> Message:
        """Keep room for one task, if there is some right now."""
        held = self._take_room(message)
        if isinstance(held, Refusal):
            return held
        token = self._ports.new_id()
        self._kept_by_token[token] = _Kept(message.task, held.instance.name)
        loop = asyncio.get_running_loop()
        loop.call_later(message.validity, self.drop, token)
        return PlaceReserved(
            token=token,
            worker=held.instance.name,
            address=held.instance.address,
            rack=held.instance.rack,
            boot=held.boot,
        )

    async def start(self, message: StartReserved) -> Message:
        """Start a task in the room that was kept for it."""
        kept = self._kept_by_token.get(message.token)
        if kept is None or kept.task != message.task.key:
            return Refusal(code=RefusalCode.UNKNOWN, detail='no reservation')
        self._kept_by_token.pop(message.token)
        held = self._keeper.authorised(kept.worker)
        if held is None:
            return Refusal(code=RefusalCode.NOT_HOLDER)
        outcome = await held.start(message.task)
        if isinstance(outcome, Ok):
            return outcome.ok_value
        if outcome.err_value is StartFailure.NOT_STARTED:
            self._give_back(kept)
            return Refusal(code=RefusalCode.LEASE_LAPSED)
        return Refusal(code=RefusalCode.UNKNOWN, detail=_UNSURE)

    def drop(self, token: str) -> None:
        """Give back room whose task wasn't started."""
        kept = self._kept_by_token.pop(token, None)
        if kept is not None:
            self._give_back(kept)

    def _take_room(self, message: ReservePlace) -> HeldWorker | Refusal:
        engine = self._dispatcher.engine
        if engine.charges(message.task):
            # A late copy must not share the room of a task that has some.
            return Refusal(code=RefusalCode.INVALID, detail='it has room')
        now = self._ports.clock()
        item = WorkItem(
            message.task,
            message.tenant,
            message.class_name,
            message.size,
            queued_at=now,
        )
        placed = engine.place_now(item, now)
        if placed is None:
            return Refusal(code=RefusalCode.OVERLOADED)
        held = self._keeper.authorised(placed.place.worker)
        if held is None:
            self._dispatcher.undo(placed)
            return Refusal(code=RefusalCode.NOT_HOLDER)
        return held

    def _give_back(self, kept: _Kept) -> None:
        engine = self._dispatcher.engine
        engine.give_back(kept.worker, kept.task, Proof.NEVER_SENT)
        self._dispatcher.wake()


def _start_outcome(answer: Message) -> StartOutcome:
    if isinstance(answer, TaskReport):
        return Ok(answer)
    unsure = isinstance(answer, Refusal) and answer.detail == _UNSURE
    failure = StartFailure.UNSURE if unsure else StartFailure.NOT_STARTED
    return Err(failure)


async def _drop_all(places: list[TaskPlace]) -> None:
    for place in places:
        await place.drop()
