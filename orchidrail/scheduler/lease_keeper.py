"""Acquires, renews, hands over and loses the leases of workers."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Protocol

import structlog
from result import Ok

from orchidrail.deciding.shard import Place
from orchidrail.leasing.lease import HeldLease
from orchidrail.leasing.ledger import Ledger
from orchidrail.membership.view import MembershipView, preferred_holder
from orchidrail.scheduler.held_worker import HeldWorker, Pending
from orchidrail.types import SchedulerId, Seconds, WorkerId
from orchidrail.wire.messages import (
    AcquireLease,
    LeaseGranted,
    LeaseRenewed,
    Message,
    Refusal,
    ReleaseLease,
    RenewLease,
    TaskReport,
)

if TYPE_CHECKING:
    from orchidrail.invariants import Invariants
    from orchidrail.logservice.ports import Instance
    from orchidrail.scheduler.fleet_list import FleetList
    from orchidrail.scheduler.ports import Ports
    from orchidrail.settings import Timings

#: Silence of the preferred holder is awaited this many steering periods.
_HANDOVER_PERIODS = 3
_log = structlog.get_logger()


class LeaseObserver(Protocol):
    """Whoever needs to know what is held."""

    def on_held(self, held: HeldWorker, tasks: list[TaskReport]) -> None:
        """Learn that a lease was acquired and what the worker runs."""

    def on_lost(self, held: HeldWorker) -> None:
        """Learn that a lease was released or has lapsed."""

    def on_audit(self, held: HeldWorker) -> None:
        """Have the worker asked about what has been charged to it long."""

    def on_reports(self, held: HeldWorker, tasks: list[TaskReport]) -> None:
        """Learn what a worker told with a renewal."""


class LeaseKeeper:
    """The leases of one scheduler.

    Parameters
    ----------
    name : SchedulerId
    fleet : FleetList
        The zone's workers.
    members : MembershipView
        Steers which scheduler should hold which worker.
    """

    def __init__(
        self,
        name: SchedulerId,
        ports: Ports,
        timings: Timings,
        fleet: FleetList,
        members: MembershipView,
        observer: LeaseObserver,
        invariants: Invariants,
    ) -> None:
        """Start with nothing held."""
        self.held_by_worker: dict[WorkerId, HeldWorker] = {}
        self._name = name
        self._ports = ports
        self._timings = timings
        self._fleet = fleet
        self._members = members
        self._observer = observer
        self._invariants = invariants
        self._task_by_worker: dict[WorkerId, asyncio.Task[None]] = {}
        self._passed_since: dict[WorkerId, Seconds] = {}

    async def run(self) -> None:
        """Steer until cancelled; then stop tending, releasing nothing."""
        try:
            while True:
                self.steer()
                await asyncio.sleep(self._timings.steering)
        finally:
            await self._stop_tending()

    def steer(self) -> None:
        """Tend the workers that this scheduler should hold."""
        alive = self._members.alive(self._ports.clock())
        for worker, instance in self._fleet.by_worker.items():
            preferred = preferred_holder(worker, alive)
            if preferred == self._name:
                self._passed_since.pop(worker, None)
                self._tend(instance)
            elif preferred is not None:
                self._pass_on(worker)

    def authorised(self, worker: WorkerId) -> HeldWorker | None:
        """Return the worker if this scheduler may act on it right now."""
        held = self.held_by_worker.get(worker)
        return held if held is not None and held.authorised() else None

    def _tend(self, instance: Instance) -> None:
        held = self.held_by_worker.get(instance.name)
        if held is not None:
            held.handing_over_since = None
        task = self._task_by_worker.get(instance.name)
        if task is None or task.done():
            self._task_by_worker[instance.name] = asyncio.create_task(
                self._hold(instance),
            )

    def _pass_on(self, worker: WorkerId) -> None:
        """Hand over once another has been preferred for some periods."""
        now = self._ports.clock()
        since = self._passed_since.setdefault(worker, now)
        patience = _HANDOVER_PERIODS * self._timings.steering
        held = self.held_by_worker.get(worker)
        if held is None or held.handing_over_since is not None:
            return
        if now - since >= patience:
            held.handing_over_since = now
            held.place.open = False

    async def _hold(self, instance: Instance) -> None:
        """Acquire a worker's lease and renew it until it is lost."""
        held = await self.acquire(instance)
        if held is None:
            return
        try:
            while held.authorised():
                await self._pause(held)
                if not await self.renew(held):
                    break
        finally:
            self._drop(held)

    async def acquire(self, instance: Instance) -> HeldWorker | None:
        """Ask a worker for its lease once."""
        sent_at = self._ports.clock()
        message = AcquireLease(holder=self._name, ttl=self._timings.lease_ttl)
        answer = await self._ports.transport.call(
            instance.address,
            message,
            self._timings.lease_ttl / 2,
        )
        if not isinstance(answer, Ok):
            return None
        granted = answer.ok_value
        if not isinstance(granted, LeaseGranted):
            return None
        return self._take(instance, granted, sent_at)

    def _take(
        self,
        instance: Instance,
        granted: LeaseGranted,
        sent_at: Seconds,
    ) -> HeldWorker:
        lease = HeldLease(
            epoch=granted.epoch,
            sequence=granted.sequence,
            sent_at=sent_at,
            ttl=self._timings.lease_ttl,
        )
        ledger = Ledger(granted.capacity, self._invariants)
        place = Place(instance.name, instance.rack, ledger)
        place.open = not self._fleet.is_leaving(instance.name)
        held = HeldWorker(
            instance,
            granted.boot,
            lease,
            place,
            self._ports,
            self._invariants,
        )
        self.held_by_worker[instance.name] = held
        _log.info('lease acquired', worker=instance.name, epoch=granted.epoch)
        self._observer.on_held(held, granted.tasks)
        return held

    async def _pause(self, held: HeldWorker) -> None:
        waiting = held.renew_soon.wait()
        with suppress(TimeoutError, asyncio.TimeoutError):
            await asyncio.wait_for(waiting, self._timings.renewal)
        held.renew_soon.clear()

    async def renew(self, held: HeldWorker) -> bool:
        """Renew once; return whether to go on."""
        if self._handed_over(held):
            await self._release(held)
            return False
        self._audit(held)
        sequence = held.lease.sequence + 1
        taken = held.pending.take(sequence)
        sent_at = self._ports.clock()
        message = RenewLease(
            holder=self._name,
            epoch=held.lease.epoch,
            sequence=sequence,
            ttl=self._timings.lease_ttl,
            settle=list(taken.settle),
            forget=list(taken.forget),
            stop=list(taken.stop),
        )
        answer = await self._ports.transport.call(
            held.instance.address,
            message,
            self._timings.renewal,
        )
        if isinstance(answer, Ok):
            return self._take_renewal(answer.ok_value, held, taken, sent_at)
        held.pending.put_back(taken)
        return True

    def _audit(self, held: HeldWorker) -> None:
        """Ask after old charges now and then, should an end be missed."""
        now = self._ports.clock()
        if now - held.audited_at >= self._timings.audit:
            held.audited_at = now
            self._observer.on_audit(held)

    @singledispatchmethod
    def _take_renewal(
        self,
        answer: Message,
        held: HeldWorker,
        taken: Pending,
        sent_at: Seconds,
    ) -> bool:
        held.pending.put_back(taken)
        return True

    @_take_renewal.register
    def _(
        self,
        answer: LeaseRenewed,
        held: HeldWorker,
        taken: Pending,
        sent_at: Seconds,
    ) -> bool:
        if not held.authorised():
            # Others saw the authority end; it begins anew with a new epoch.
            return False
        held.lease = held.lease.renewed(answer.sequence, sent_at)
        if answer.leaving:
            self._fleet.hint_leaving(held.instance.name)
        self._observer.on_reports(held, answer.tasks)
        return True

    @_take_renewal.register
    def _(
        self,
        answer: Refusal,
        held: HeldWorker,
        taken: Pending,
        sent_at: Seconds,
    ) -> bool:
        _log.warning(
            'renewal refused',
            worker=held.instance.name,
            epoch=held.lease.epoch,
            code=answer.code.value,
        )
        return False

    def _handed_over(self, held: HeldWorker) -> bool:
        """Tell whether the grants made before the handover are used up."""
        since = held.handing_over_since
        if since is None:
            return False
        return self._ports.clock() - since > self._timings.grant_validity

    async def _release(self, held: HeldWorker) -> None:
        message = ReleaseLease(holder=self._name, epoch=held.lease.epoch)
        # Dropped before the send: nothing may be started after it.
        self._drop(held)
        await self._ports.transport.call(
            held.instance.address,
            message,
            self._timings.renewal,
        )
        _log.info('lease released', worker=held.instance.name)

    def _drop(self, held: HeldWorker) -> None:
        if self.held_by_worker.get(held.instance.name) is held:
            self.held_by_worker.pop(held.instance.name)
            held.place.open = False
            held.lease = held.lease.ended()
            self._observer.on_lost(held)

    async def _stop_tending(self) -> None:
        tasks = list(self._task_by_worker.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
