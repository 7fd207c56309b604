"""Acquires, renews, hands over and drops the leases of workers."""

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

#: Steering periods for which another scheduler must stay preferred before
#: a worker is handed over to it.
_HANDOVER_STEERING_PERIODS = 3
_log = structlog.get_logger()


class LeaseObserver(Protocol):
    """Receives changes of the held leases."""

    def on_held(self, held: HeldWorker, tasks: list[TaskReport]) -> None:
        """Handle an acquired lease and the tasks that the worker runs."""

    def on_lost(self, held: HeldWorker) -> None:
        """Handle a lease that was released or has expired."""

    def on_audit(self, held: HeldWorker) -> None:
        """Query the worker about tasks allocated to it for a long time."""

    def on_reports(self, held: HeldWorker, tasks: list[TaskReport]) -> None:
        """Handle the task reports of a renewal."""


class LeaseKeeper:
    """The leases of one scheduler.

    Parameters
    ----------
    name : SchedulerId
    fleet : FleetList
        Workers of the zone.
    members : MembershipView
        Determines the preferred holder of each worker.
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
        """Create a keeper without leases."""
        self.held_by_worker: dict[WorkerId, HeldWorker] = {}
        self._name = name
        self._ports = ports
        self._timings = timings
        self._fleet = fleet
        self._members = members
        self._observer = observer
        self._invariants = invariants
        self._lease_task_by_worker: dict[WorkerId, asyncio.Task[None]] = {}
        self._other_preferred_since: dict[WorkerId, Seconds] = {}

    async def run(self) -> None:
        """Steer until cancelled; then stop renewing, without a release."""
        try:
            while True:
                self.steer()
                await asyncio.sleep(self._timings.steering)
        finally:
            await self._cancel_lease_tasks()

    def steer(self) -> None:
        """Acquire workers that this scheduler should hold; pass on others."""
        alive = self._members.alive(self._ports.clock())
        for worker, instance in self._fleet.by_worker.items():
            preferred = preferred_holder(worker, alive)
            if preferred == self._name:
                self._other_preferred_since.pop(worker, None)
                self._ensure_lease_task(instance)
            elif preferred is not None:
                self._consider_handover(worker)

    def authorised(self, worker: WorkerId) -> HeldWorker | None:
        """Return the worker if its lease is held and valid right now."""
        held = self.held_by_worker.get(worker)
        return held if held is not None and held.authorised() else None

    def _ensure_lease_task(self, instance: Instance) -> None:
        held = self.held_by_worker.get(instance.name)
        if held is not None:
            held.handing_over_since = None
        task = self._lease_task_by_worker.get(instance.name)
        if task is None or task.done():
            self._lease_task_by_worker[instance.name] = asyncio.create_task(
                self._maintain_lease(instance),
            )

    def _consider_handover(self, worker: WorkerId) -> None:
        """Begin a handover once another holder stays preferred."""
        now = self._ports.clock()
        since = self._other_preferred_since.setdefault(worker, now)
        handover_delay = _HANDOVER_STEERING_PERIODS * self._timings.steering
        held = self.held_by_worker.get(worker)
        if held is None or held.handing_over_since is not None:
            return
        if now - since >= handover_delay:
            held.handing_over_since = now
            held.place.open = False

    async def _maintain_lease(self, instance: Instance) -> None:
        """Acquire a worker's lease and renew it until it is lost."""
        held = await self.acquire(instance)
        if held is None:
            return
        try:
            while held.authorised():
                await self._wait_for_renewal(held)
                if not await self.renew(held):
                    break
        finally:
            self._drop_lease(held)

    async def acquire(self, instance: Instance) -> HeldWorker | None:
        """Request the lease of a worker once."""
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
        return self._register_lease(instance, granted, sent_at)

    def _register_lease(
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

    async def _wait_for_renewal(self, held: HeldWorker) -> None:
        renewal_requested = held.renew_soon.wait()
        with suppress(TimeoutError, asyncio.TimeoutError):
            await asyncio.wait_for(renewal_requested, self._timings.renewal)
        held.renew_soon.clear()

    async def renew(self, held: HeldWorker) -> bool:
        """Renew a lease once; return whether to keep renewing it."""
        if self._is_handover_complete(held):
            await self._release_lease(held)
            return False
        self._audit(held)
        sequence = held.lease.sequence + 1
        sent_changes = held.pending.take(sequence)
        sent_at = self._ports.clock()
        message = RenewLease(
            holder=self._name,
            epoch=held.lease.epoch,
            sequence=sequence,
            ttl=self._timings.lease_ttl,
            settle=list(sent_changes.settle),
            forget=list(sent_changes.forget),
            stop=list(sent_changes.stop),
        )
        answer = await self._ports.transport.call(
            held.instance.address,
            message,
            self._timings.renewal,
        )
        if isinstance(answer, Ok):
            return self._apply_renewal(
                answer.ok_value, held, sent_changes, sent_at
            )
        held.pending.put_back(sent_changes)
        return True

    def _audit(self, held: HeldWorker) -> None:
        """Audit old allocations periodically, in case an end was missed."""
        now = self._ports.clock()
        if now - held.audited_at >= self._timings.audit:
            held.audited_at = now
            self._observer.on_audit(held)

    @singledispatchmethod
    def _apply_renewal(
        self,
        answer: Message,
        held: HeldWorker,
        sent_changes: Pending,
        sent_at: Seconds,
    ) -> bool:
        held.pending.put_back(sent_changes)
        return True

    @_apply_renewal.register
    def _(
        self,
        answer: LeaseRenewed,
        held: HeldWorker,
        sent_changes: Pending,
        sent_at: Seconds,
    ) -> bool:
        if not held.authorised():
            # Others may have seen the lease expire: a new epoch is required.
            return False
        held.lease = held.lease.renewed(answer.sequence, sent_at)
        if answer.leaving:
            self._fleet.hint_leaving(held.instance.name)
        self._observer.on_reports(held, answer.tasks)
        return True

    @_apply_renewal.register
    def _(
        self,
        answer: Refusal,
        held: HeldWorker,
        sent_changes: Pending,
        sent_at: Seconds,
    ) -> bool:
        _log.warning(
            'renewal refused',
            worker=held.instance.name,
            epoch=held.lease.epoch,
            code=answer.code.value,
        )
        return False

    def _is_handover_complete(self, held: HeldWorker) -> bool:
        """Return whether all grants from before the handover expired."""
        since = held.handing_over_since
        if since is None:
            return False
        return self._ports.clock() - since > self._timings.grant_validity

    async def _release_lease(self, held: HeldWorker) -> None:
        message = ReleaseLease(holder=self._name, epoch=held.lease.epoch)
        # Dropped before the send: no task may be started after a release.
        self._drop_lease(held)
        await self._ports.transport.call(
            held.instance.address,
            message,
            self._timings.renewal,
        )
        _log.info('lease released', worker=held.instance.name)

    def _drop_lease(self, held: HeldWorker) -> None:
        if self.held_by_worker.get(held.instance.name) is held:
            self.held_by_worker.pop(held.instance.name)
            held.place.open = False
            held.lease = held.lease.ended()
            self._observer.on_lost(held)

    async def _cancel_lease_tasks(self) -> None:
        tasks = list(self._lease_task_by_worker.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
