"""Placement of task groups, on own workers or those of peers."""

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

#: Time for which work is queued locally between attempts at peers.
_LOCAL_WAIT: Seconds = 0.3
_RESERVATION_VALIDITY: Seconds = 5
_CALL_TIMEOUT: Seconds = 1
_UNSURE = 'unsure'


class TaskPlace(Protocol):
    """Capacity allocated for one task."""

    note: ClaimNote

    async def start(self, spec: TaskSpec) -> StartOutcome:
        """Start the task on the worker of this place."""

    async def drop(self) -> None:
        """Release the capacity; the task was never sent."""


class LocalPlace:
    """Capacity on a worker that this scheduler holds."""

    def __init__(
        self,
        held: HeldWorker,
        task: TaskId,
        dispatcher: Dispatcher,
    ) -> None:
        """Wrap capacity that the engine has allocated."""
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
    """Capacity that another holder reserves for a limited time."""

    def __init__(
        self,
        ports: Ports,
        holder: Address,
        reserved: PlaceReserved,
        task: TaskId,
    ) -> None:
        """Wrap a reservation from the holder's answer."""
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
    """Allocates places for task groups, all or none of a group."""

    def __init__(
        self,
        ports: Ports,
        dispatcher: Dispatcher,
        keeper: LeaseKeeper,
        members: MembershipView,
    ) -> None:
        """Create a placer for the given dispatcher and leases."""
        self._ports = ports
        self._dispatcher = dispatcher
        self._keeper = keeper
        self._members = members

    def work_class(self, name: ClassName) -> WorkClass | None:
        """Return a class of the current bundle, if it exists."""
        return self._dispatcher.engine.find_class(name)

    async def place(self, item: WorkItem) -> list[TaskPlace] | Declined:
        """Wait for places for all tasks of a group.

        Work that does not fit locally is also offered to other holders.
        """
        local_placement = asyncio.create_task(self._dispatcher.place(item))
        try:
            while True:
                done, _ = await asyncio.wait(
                    {local_placement}, timeout=_LOCAL_WAIT
                )
                if done:
                    return self._local_places(local_placement.result(), item)
                remote_places = await self._reserve_at_peers(item)
                if remote_places and local_placement.done():
                    await _drop_all(remote_places)
                elif remote_places:
                    return remote_places
        finally:
            local_placement.cancel()

    def _local_places(
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

    async def _reserve_at_peers(self, item: WorkItem) -> list[TaskPlace]:
        """Reserve capacity for the whole group at peers, or none."""
        now = self._ports.clock()
        peers = self._members.peers_with_room(item.size, now)
        places: list[TaskPlace] = []
        for index in range(item.gang):
            place = await self._reserve_task(item, index, peers)
            if place is None and item.gang > 1:
                place = self._reserve_locally(item, index)
            if place is None:
                await _drop_all(places)
                return []
            places.append(place)
        return places

    async def _reserve_task(
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

    def _reserve_locally(self, item: WorkItem, index: int) -> TaskPlace | None:
        """Reserve locally to complete a group too large for one holder."""
        task = member_key(item, index)
        single_item = WorkItem(
            task,
            item.tenant,
            item.class_name,
            item.size,
            queued_at=item.queued_at,
            avoid=item.avoid,
        )
        now = self._ports.clock()
        placed = self._dispatcher.engine.place_now(single_item, now)
        if placed is None:
            return None
        held = self._keeper.authorised(placed.place.worker)
        if held is None:
            self._dispatcher.undo(placed)
            return None
        return LocalPlace(held, task, self._dispatcher)


class _Reservation(NamedTuple):
    task: TaskId
    worker: WorkerId


class ReservationBook:
    """Capacity reserved here for tasks of other schedulers.

    Each reservation has a token that is valid for one start, so that delayed
    duplicates of a message start nothing.
    """

    def __init__(
        self,
        ports: Ports,
        dispatcher: Dispatcher,
        keeper: LeaseKeeper,
    ) -> None:
        """Create a book without reservations."""
        self._ports = ports
        self._dispatcher = dispatcher
        self._keeper = keeper
        self._reservation_by_token: dict[str, _Reservation] = {}

    def reserve(self, message: ReservePlace) -> Message:
        """Reserve capacity for one task, if some is free right now."""
        held = self._allocate(message)
        if isinstance(held, Refusal):
            return held
        token = self._ports.new_id()
        self._reservation_by_token[token] = _Reservation(
            message.task, held.instance.name
        )
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
        """Start a task in the capacity reserved for it."""
        reservation = self._reservation_by_token.get(message.token)
        if reservation is None or reservation.task != message.task.key:
            return Refusal(code=RefusalCode.UNKNOWN, detail='no reservation')
        self._reservation_by_token.pop(message.token)
        held = self._keeper.authorised(reservation.worker)
        if held is None:
            return Refusal(code=RefusalCode.NOT_HOLDER)
        outcome = await held.start(message.task)
        if isinstance(outcome, Ok):
            return outcome.ok_value
        if outcome.err_value is StartFailure.NOT_STARTED:
            self._release(reservation)
            return Refusal(code=RefusalCode.LEASE_LAPSED)
        return Refusal(code=RefusalCode.UNKNOWN, detail=_UNSURE)

    def drop(self, token: str) -> None:
        """Release a reservation whose task was not started."""
        reservation = self._reservation_by_token.pop(token, None)
        if reservation is not None:
            self._release(reservation)

    def _allocate(self, message: ReservePlace) -> HeldWorker | Refusal:
        engine = self._dispatcher.engine
        if engine.charges(message.task):
            # A delayed duplicate must not share the existing allocation.
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

    def _release(self, reservation: _Reservation) -> None:
        engine = self._dispatcher.engine
        engine.give_back(reservation.worker, reservation.task, Proof.NEVER_SENT)
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
