"""Decision engine of one scheduler: admission, placement, preemption.

The engine does no I/O. Callers carry out its decisions and report task ends.
"""

from __future__ import annotations

import math
from collections import defaultdict
from random import Random
from typing import NamedTuple

import msgspec

from orchidrail.bundles.model import Bundle, Quota, WorkClass, WorkKind, Zone
from orchidrail.deciding.admission import Admission
from orchidrail.deciding.ejection import Ejector, Standing
from orchidrail.deciding.estimates import RunTimes
from orchidrail.deciding.fair_queue import FairQueue, TenantShares
from orchidrail.deciding.placement import Demand, choose_place
from orchidrail.deciding.preemption import Victim, VictimPlan, plan_preemption
from orchidrail.deciding.shard import Place, Shard
from orchidrail.leasing.ledger import Proof
from orchidrail.resources import NOTHING, Resources
from orchidrail.types import (
    ClassName,
    RefusalCode,
    Seconds,
    TaskId,
    TenantId,
    WorkerId,
    ZoneId,
)

_NEVER: Seconds = math.inf
_NO_WORKERS: frozenset[WorkerId] = frozenset()
#: Tenants of one class for which each pass attempts a placement.
_MAX_TENANTS_TRIED = 4
#: Length of the whole queue from which new items are rejected.
_MAX_QUEUED = 200_000
_BATCH_KINDS = frozenset((WorkKind.BATCH, WorkKind.GANG))
_NO_QUOTA = Quota()
#: Wait after which workers are reserved for an item; also the limit of the
#: expected run time of work that may use them meanwhile.
_RESERVE_AFTER: Seconds = 2
#: Wait after which an item may also use workers that it should avoid.
_AVOID_FOR: Seconds = 5
#: Quantile of the run times that backfilling relies on.
_RUN_TIME_QUANTILE = 0.9
#: How long capacity freed by preemption is kept for its item.
_NOMINATION_TTL: Seconds = 3


class WorkItem:
    """One task, gang of tasks or request to be placed.

    Parameters
    ----------
    deadline : float
        Monotonic time at which the caller times out, in seconds.
    """

    __slots__ = (
        'avoid',
        'class_name',
        'deadline',
        'gang',
        'key',
        'origin',
        'queued_at',
        'size',
        'tenant',
        'waiting',
    )

    def __init__(
        self,
        key: TaskId,
        tenant: TenantId,
        class_name: ClassName,
        size: Resources,
        *,
        queued_at: Seconds = 0,
        deadline: Seconds = _NEVER,
        avoid: frozenset[WorkerId] = _NO_WORKERS,
        gang: int = 1,
        origin: str = '',
    ) -> None:
        """Derive `origin` from tenant and class if it is empty."""
        self.key = key
        self.tenant = tenant
        self.class_name = class_name
        self.size = size
        self.queued_at = queued_at
        self.deadline = deadline
        self.avoid = avoid
        #: Number of tasks of `size` that must start together.
        self.gang = gang
        #: Whether the item is in the queue; set by the queue.
        self.waiting = False
        self.origin = origin or f'{tenant}/{class_name}'


class Placed(NamedTuple):
    """The item is placed: capacity is allocated for each of its tasks."""

    item: WorkItem
    places: tuple[Place, ...]

    @property
    def place(self) -> Place:
        """Place of a single-task item."""
        return self.places[0]


class Queued(NamedTuple):
    """The item waits in the queue."""

    item: WorkItem


class Declined(NamedTuple):
    """The item is rejected; the engine keeps no state for it."""

    item: WorkItem
    code: RefusalCode
    detail: str
    retry_after: Seconds


Decision = Placed | Queued | Declined


class _Running(NamedTuple):
    tenant: TenantId
    class_name: ClassName
    size: Resources
    worker: WorkerId
    since: Seconds


class _Reservation(msgspec.Struct):
    """Workers reserved for an item that is overdue."""

    item: WorkItem
    workers: frozenset[WorkerId]


class _Nomination(NamedTuple):
    """Urgent item for which tasks of a worker are being preempted."""

    item: WorkItem
    created_at: Seconds


def member_key(item: WorkItem, index: int) -> TaskId:
    """Return the key of the task at `index` of an item."""
    return item.key if item.gang == 1 else TaskId(f'{item.key}/{index}')


class Engine:
    """Decides for the workers that one scheduler leases.

    Parameters
    ----------
    random : Random
        Random source for samples and for the jitter of retry delays.
    """

    def __init__(self, random: Random) -> None:
        """Start without workers and with an empty bundle."""
        self.shard = Shard(random)
        self.shares = TenantShares()
        self.queue: FairQueue[WorkItem] = FairQueue(self.shares)
        self.admission = Admission(random)
        self.ejector = Ejector(Bundle().max_ejected)
        self.run_times = RunTimes()
        self._bundle = Bundle()
        self._zone = Zone()
        self._running_by_task: dict[TaskId, _Running] = {}
        self._victims_by_worker: dict[WorkerId, dict[TaskId, Victim]] = (
            defaultdict(dict)
        )
        self._stopping: set[TaskId] = set()
        self._reservation: _Reservation | None = None
        self._zone_shapes: list[Resources] = []
        self._nomination_by_worker: dict[WorkerId, _Nomination] = {}
        #: False before a planned stop: work is redirected to other
        #: schedulers.
        self.accepting = True
        #: Capacity of the largest open worker of each other scheduler.
        self.peer_shapes: list[Resources] = []

    def use_bundle(self, bundle: Bundle, zone: ZoneId) -> None:
        """Apply a new `bundle`."""
        self._bundle = bundle
        self._zone = bundle.zone(zone)
        self.ejector.max_share = bundle.max_ejected
        for name, work_class in bundle.classes.items():
            self.queue.set_class(name, work_class.priority, work_class.ageing)
        self.shares.weight_by_tenant = {
            name: tenant.weight for name, tenant in bundle.tenants.items()
        }

    def work_class(self, name: ClassName) -> WorkClass:
        """Return a class of the current bundle.

        Raises
        ------
        KeyError
            If the bundle lacks it.
        """
        return self._bundle.classes[name]

    def find_class(self, name: ClassName) -> WorkClass | None:
        """Return a class, or None if the current bundle lacks it."""
        return self._bundle.classes.get(name)

    def add_place(self, place: Place) -> None:
        """Add a worker."""
        self.shard.add(place)
        self.ejector.add(place.worker)
        self.shares.total = self.shard.capacity

    def remove_place(self, worker: WorkerId) -> None:
        """Remove a worker and the charges of its tasks."""
        self.shard.remove(worker)
        self.ejector.remove(worker)
        self.shares.total = self.shard.capacity
        removed_tasks = [
            task
            for task, running in self._running_by_task.items()
            if running.worker == worker
        ]
        for task in removed_tasks:
            self._uncharge(task)

    def decline_all(self) -> list[Declined]:
        """Remove and decline all waiting work when no worker is left."""
        waiting = self.queue.drain()
        return [self._redirect(item) for item in waiting]

    def decline_stuck(self, now: Seconds) -> list[Declined]:
        """Remove and decline requests that only other schedulers can run."""
        if not any(
            self._should_redirect(item) for item in self.queue.candidates(now)
        ):
            return []
        redirected = self.queue.remove_where(self._should_redirect)
        return [self._redirect(item) for item in redirected]

    def check(self, item: WorkItem, now: Seconds) -> Declined | None:
        """Return a rejection if the item can't run here in time."""
        rejection = self.check_fit(item)
        if rejection is not None:
            return rejection
        if not self.accepting or self._should_redirect(item):
            return self._redirect(item)
        return self._check_wait(item, now)

    def check_fit(self, item: WorkItem) -> Declined | None:
        """Return a rejection if the item can never run in the zone."""
        if item.class_name not in self._bundle.classes:
            return self._decline(item, RefusalCode.INVALID, 'unknown class')
        if not self._within_quota(item.tenant, NOTHING, item):
            detail = f'{item.size!r} is more than the quota of {item.tenant!r}'
            return self._decline(item, RefusalCode.NEVER_FITS, detail)
        if not self.ever_fits(item):
            detail = f'no worker here can ever hold {item.size!r}'
            return self._decline(item, RefusalCode.NEVER_FITS, detail)
        return None

    def set_zone_shapes(self, shapes: list[Resources]) -> None:
        """Set the capacities of all workers of the zone."""
        self._zone_shapes = shapes

    def ever_fits(self, item: WorkItem) -> bool:
        """Return whether the item fits the zone's workers when empty.

        True while no worker is known.
        """
        required = item.size + self._headroom(item)
        if not self._zone_shapes:
            return not len(self.shard) or self.shard.ever_fits(required)
        fit_count = 0
        for shape in self._zone_shapes:
            fit_count += (
                _fit_count(required, shape) if required.fits(shape) else 0
            )
            if fit_count >= item.gang:
                return True
        return False

    def offer(self, item: WorkItem, now: Seconds) -> Decision:
        """Place the item now, queue it, or decline it."""
        declined = self.check(item, now)
        if declined is not None:
            return declined
        if not self.queue.length_of(item.class_name):
            placed = self._try_place(item, now)
            if placed is not None:
                return placed
        self.queue.push(item)
        return Queued(item)

    def place_now(self, item: WorkItem, now: Seconds) -> Placed | None:
        """Place the item now, bypassing the queue, or return None."""
        if item.class_name not in self._bundle.classes:
            return None
        return self._try_place(item, now)

    def pump(self, now: Seconds) -> list[Placed]:
        """Place waiting items until no candidate fits."""
        placed: list[Placed] = []
        while len(self.queue):
            found = self._place_next(now)
            if found is None:
                break
            placed.append(found)
        return placed

    def expired(self, now: Seconds) -> list[WorkItem]:
        """Remove and return the waiting items whose deadline has passed."""
        return self.queue.remove_expired(now)

    def cancel(self, item: WorkItem) -> bool:
        """Remove a waiting item; return False if it isn't waiting."""
        if self._reservation is not None and self._reservation.item is item:
            self._reservation = None
        return self.queue.remove(item)

    def reserve(
        self,
        place: Place,
        item: WorkItem,
        key: TaskId,
        now: Seconds,
    ) -> bool:
        """Allocate capacity for one task; return False if it doesn't fit."""
        if not place.ledger.reserve(key, item.size):
            return False
        self._charge(place, item, key, now)
        return True

    def charged_since(self, worker: WorkerId, limit: Seconds) -> list[TaskId]:
        """Return the tasks that were charged to a worker before `limit`."""
        return [
            task
            for task in self.running_on(worker)
            if task in self._running_by_task
            and self._running_by_task[task].since < limit
        ]

    def charges(self, task: TaskId) -> bool:
        """Return whether a task is charged to a worker."""
        return task in self._running_by_task

    def adopt(
        self,
        place: Place,
        item: WorkItem,
        now: Seconds,
    ) -> None:
        """Allocate capacity for a task that is already running."""
        place.ledger.adopt(item.key, item.size)
        self._charge(place, item, item.key, now)

    def give_back(self, worker: WorkerId, task: TaskId, proof: Proof) -> None:
        """Release the capacity of a task."""
        place = self.shard.place_by_worker.get(worker)
        if place is not None:
            place.ledger.release(task, proof)
            self.shard.refresh(worker)
        self._uncharge(task)

    def note_end(
        self,
        worker: WorkerId,
        task: TaskId,
        *,
        ok: bool,
        now: Seconds,
    ) -> None:
        """Release a task that has ended, and record its outcome and time."""
        running = self._running_by_task.get(task)
        self.give_back(worker, task, Proof.ENDED)
        if running is None:
            return
        origin = f'{running.tenant}/{running.class_name}'
        self.ejector.note(worker, origin, ok=ok, now=now)
        if ok:
            seconds = now - running.since
            self.run_times.add(running.tenant, running.class_name, seconds)
        place = self.shard.place_by_worker.get(worker)
        if place is not None:
            self._apply_standing(worker, place, now)

    def refresh_standing(self, now: Seconds) -> None:
        """Put workers whose ejection has ended on probation."""
        for worker, place in self.shard.place_by_worker.items():
            self._apply_standing(worker, place, now)

    def preempt_for(self, now: Seconds) -> VictimPlan | None:
        """Return a preemption plan for the most urgent waiting item.

        The tasks of the plan count as stopping from now on.
        """
        for item in self.queue.heads(now):
            work_class = self.work_class(item.class_name)
            if work_class.urgent and item.gang == 1:
                return self._plan_for(item, work_class, now)
        return None

    def earmark_for(self, now: Seconds) -> None:
        """Reserve workers for the batch item that has waited longest.

        Other batch work uses them only if it is expected to be short
        (backfilling), or is urgent.
        """
        if self._reservation is not None and self._reservation.item.waiting:
            return
        self._reservation = None
        waiting = [
            item
            for item in self.queue.candidates(now)
            if now - item.queued_at > _RESERVE_AFTER and self._is_batch(item)
        ]
        if waiting:
            oldest = min(waiting, key=lambda item: item.queued_at)
            self._reservation = _Reservation(
                oldest, self._workers_to_reserve(oldest)
            )

    def running_on(self, worker: WorkerId) -> list[TaskId]:
        """Return the tasks charged to a worker."""
        place = self.shard.place_by_worker.get(worker)
        return [] if place is None else list(place.ledger.tasks)

    def _place_next(self, now: Seconds) -> Placed | None:
        for item in self._placement_candidates(now):
            placed = self._try_place(item, now)
            if placed is not None:
                self.queue.remove(item)
                self.admission.note_start(
                    item.class_name,
                    item.queued_at,
                    now,
                )
                return placed
        return None

    def _placement_candidates(self, now: Seconds) -> list[WorkItem]:
        """Return the items to attempt: a few tenants of each class."""
        tried: dict[ClassName, int] = defaultdict(int)
        chosen = []
        for item in self.queue.candidates(now):
            within_quota = self._within_quota(
                item.tenant,
                self.shares.used(item.tenant),
                item,
            )
            if within_quota and tried[item.class_name] < _MAX_TENANTS_TRIED:
                tried[item.class_name] += 1
                chosen.append(item)
        return chosen

    def _try_place(self, item: WorkItem, now: Seconds) -> Placed | None:
        used = self.shares.used(item.tenant)
        if not self._within_quota(item.tenant, used, item):
            return None
        places: list[Place] = []
        racks: set[str] = set()
        for index in range(item.gang):
            place = self._choose_place(item, frozenset(racks), now)
            if place is None:
                self._roll_back(item, places)
                return None
            self.reserve(place, item, member_key(item, index), now)
            places.append(place)
            racks.add(place.rack)
        if self._reservation is not None and self._reservation.item is item:
            self._reservation = None
        return Placed(item, tuple(places))

    def _choose_place(
        self,
        item: WorkItem,
        racks: frozenset[str],
        now: Seconds,
    ) -> Place | None:
        work_class = self.work_class(item.class_name)
        spread = work_class.kind is WorkKind.SERVICE
        demand = Demand(
            size=item.size,
            headroom=self._headroom(item),
            avoid=self._avoided_workers(item, now) | self._barred_workers(item),
            crowded_racks=racks if spread else frozenset(),
        )
        return choose_place(work_class.policy, self.shard, demand)

    def _roll_back(self, item: WorkItem, places: list[Place]) -> None:
        for index, place in enumerate(places):
            key = member_key(item, index)
            self.give_back(place.worker, key, Proof.NEVER_SENT)

    def _headroom(self, item: WorkItem) -> Resources:
        urgent = self._bundle.classes[item.class_name].urgent
        leaves_headroom = self._is_batch(item) and not urgent
        return self._zone.headroom if leaves_headroom else NOTHING

    def _is_batch(self, item: WorkItem) -> bool:
        work_class = self._bundle.classes.get(item.class_name)
        return work_class is not None and work_class.kind in _BATCH_KINDS

    def _avoided_workers(
        self, item: WorkItem, now: Seconds
    ) -> frozenset[WorkerId]:
        """Return the workers to avoid.

        None are avoided once the item is overdue: a longer wait is worse.
        """
        waited = now - item.queued_at
        return item.avoid if waited < _AVOID_FOR else frozenset()

    def _barred_workers(self, item: WorkItem) -> frozenset[WorkerId]:
        if not self._is_batch(item):
            return frozenset()
        nominated = frozenset(
            worker
            for worker, nomination in self._nomination_by_worker.items()
            if nomination.item is not item
        )
        if self.work_class(item.class_name).urgent:
            return nominated
        return nominated | self._reserved_workers(item)

    def _reserved_workers(self, item: WorkItem) -> frozenset[WorkerId]:
        reservation = self._reservation
        if reservation is None or reservation.item is item:
            return frozenset()
        if not reservation.item.waiting:
            # It was placed, declined or cancelled.
            self._reservation = None
            return frozenset()
        expected = self.run_times.quantile(
            item.tenant,
            item.class_name,
            _RUN_TIME_QUANTILE,
            math.inf,
        )
        return frozenset() if expected < _RESERVE_AFTER else reservation.workers

    def _workers_to_reserve(self, item: WorkItem) -> frozenset[WorkerId]:
        """Return enough open workers for the item, most free cores first."""
        fitting = [
            place
            for place in self.shard.by_most_free_cores()
            if place.open and item.size.fits(place.ledger.capacity)
        ]
        count_per_place = [
            _fit_count(item.size + NOTHING, place.ledger.capacity)
            for place in fitting
        ]
        chosen: list[WorkerId] = []
        fit_count = 0
        for place, count in zip(fitting, count_per_place, strict=True):
            if fit_count >= item.gang:
                break
            chosen.append(place.worker)
            fit_count += count
        return frozenset(chosen)

    def _plan_for(
        self,
        item: WorkItem,
        work_class: WorkClass,
        now: Seconds,
    ) -> VictimPlan | None:
        if self._has_nomination(item, now):
            return None
        victims = {
            worker: [
                victim
                for victim in victims.values()
                if victim.task not in self._stopping
            ]
            for worker, victims in self._victims_by_worker.items()
            if victims
        }
        plan = plan_preemption(
            self.shard,
            item.size,
            work_class.priority,
            victims,
        )
        if plan is not None:
            self._stopping.update(victim.task for victim in plan.victims)
            self._nomination_by_worker[plan.worker] = _Nomination(item, now)
        return plan

    def _has_nomination(self, item: WorkItem, now: Seconds) -> bool:
        """Drop old nominations; return whether `item` still has one."""
        self._nomination_by_worker = {
            worker: nomination
            for worker, nomination in self._nomination_by_worker.items()
            if nomination.item.waiting
            and now - nomination.created_at < _NOMINATION_TTL
        }
        nominations = self._nomination_by_worker.values()
        return any(nomination.item is item for nomination in nominations)

    def _check_wait(self, item: WorkItem, now: Seconds) -> Declined | None:
        ahead = self.queue.length_of(item.class_name)
        wait = self.admission.expected_wait(item.class_name, ahead)
        full = len(self.queue) >= _MAX_QUEUED
        if full or now + wait > item.deadline:
            return Declined(
                item,
                RefusalCode.OVERLOADED,
                f'the expected wait is {wait:.3f} s',
                self.admission.retry_after(wait),
            )
        return None

    def _should_redirect(self, item: WorkItem) -> bool:
        """Return whether only another scheduler can run a request.

        If no other scheduler can run it either, it stays in the queue here.
        Tasks of jobs also stay: meanwhile their owner offers them to others.
        """
        work_class = self.find_class(item.class_name)
        if work_class is None or work_class.kind is not WorkKind.REQUEST:
            return False
        if self.shard.fits_open_worker(item.size):
            return False
        return any(item.size.fits(shape) for shape in self.peer_shapes)

    def _redirect(self, item: WorkItem) -> Declined:
        detail = 'no worker here could take it at the moment'
        return self._decline(item, RefusalCode.NOT_HOLDER, detail)

    def _decline(
        self,
        item: WorkItem,
        code: RefusalCode,
        detail: str,
    ) -> Declined:
        return Declined(item, code, detail, 0)

    def _within_quota(
        self,
        tenant: TenantId,
        used: Resources,
        item: WorkItem,
    ) -> bool:
        settings = self._bundle.tenants.get(tenant)
        if settings is None or settings.quota == _NO_QUOTA:
            return True
        required = used
        for _ in range(item.gang):
            required = required + item.size
        return _within_limits(settings.quota, required)

    def _charge(
        self,
        place: Place,
        item: WorkItem,
        key: TaskId,
        now: Seconds,
    ) -> None:
        self.shard.refresh(place.worker)
        if key in self._running_by_task:
            return
        self._running_by_task[key] = _Running(
            item.tenant,
            item.class_name,
            item.size,
            place.worker,
            now,
        )
        self.shares.add(item.tenant, item.size)
        self.queue.refresh(item.tenant)
        if self.ejector.standing(place.worker, now) is Standing.PROBATION:
            # One probe at a time; the end of the task allows the next.
            place.trusted = False
        work_class = self._bundle.classes.get(item.class_name)
        if work_class is not None and work_class.preemptible:
            self._victims_by_worker[place.worker][key] = Victim(
                key,
                place.worker,
                item.size,
                work_class.priority,
                lost=0,
            )

    def _uncharge(self, task: TaskId) -> None:
        running = self._running_by_task.pop(task, None)
        if running is None:
            return
        self.shares.remove(running.tenant, running.size)
        self.queue.refresh(running.tenant)
        self._victims_by_worker[running.worker].pop(task, None)
        self._stopping.discard(task)

    def _apply_standing(
        self,
        worker: WorkerId,
        place: Place,
        now: Seconds,
    ) -> None:
        standing = self.ejector.standing(worker, now)
        place.trusted = standing is not Standing.EJECTED


def _fit_count(size: Resources, capacity: Resources) -> int:
    """Return how many times `size` fits into `capacity`."""
    pairs = zip(size.amounts(), capacity.amounts(), strict=True)
    counts = [int(whole // part) for part, whole in pairs if part > 0]
    return min(counts, default=1)


def _within_limits(quota: Quota, required: Resources) -> bool:
    pairs = (
        (quota.cores, required.cores),
        (quota.memory, required.memory),
        (quota.accelerators, required.accelerators),
    )
    return all(not limit or amount <= limit for limit, amount in pairs)
