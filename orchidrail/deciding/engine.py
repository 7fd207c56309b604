"""The decisions of one scheduler: admit, place, queue, refuse, preempt.

The engine does no I/O. Callers send what it decided, and tell it what ended.
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
#: Tenants of one class tried before its turn goes to the next class.
_TENANTS_TRIED = 4
#: Tasks waiting in all beyond which new ones are refused.
_MAX_QUEUED = 200_000
_BATCH_KINDS = frozenset((WorkKind.BATCH, WorkKind.GANG))
_NO_QUOTA = Quota()
#: Waiting after which a task that fits nowhere has places kept for it.
_EARMARK_AFTER: Seconds = 2
#: Waiting after which an item goes also to workers that it should avoid.
_AVOID_FOR: Seconds = 5
#: Share of run times that back-filling counts on.
_RUN_TIME_SHARE = 0.9
#: How long room that is being made is kept for its item.
_PROMISE_LASTS: Seconds = 3


class WorkItem:
    """One task or request that wants a place.

    Parameters
    ----------
    deadline : float
        Monotonic time at which its caller's patience ends.
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
        """Take the fields as they are."""
        self.key = key
        self.tenant = tenant
        self.class_name = class_name
        self.size = size
        self.queued_at = queued_at
        self.deadline = deadline
        self.avoid = avoid
        #: How many tasks of `size` must start together.
        self.gang = gang
        #: Set by the queue while it holds the item.
        self.waiting = False
        self.origin = origin or f'{tenant}/{class_name}'


class Placed(NamedTuple):
    """Room has been taken on one place for each task of the item."""

    item: WorkItem
    places: tuple[Place, ...]

    @property
    def place(self) -> Place:
        """The place of an item that is a single task."""
        return self.places[0]


class Queued(NamedTuple):
    """The item waits."""

    item: WorkItem


class Declined(NamedTuple):
    """The item is not taken; nothing is kept of it."""

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


class _Earmark(msgspec.Struct):
    """Places kept for an item that has waited long."""

    item: WorkItem
    workers: frozenset[WorkerId]


class _Promise(NamedTuple):
    """Room that is being made on a worker for an urgent item."""

    item: WorkItem
    at: Seconds


def member_key(item: WorkItem, index: int) -> TaskId:
    """Return the key of one task of an item."""
    return item.key if item.gang == 1 else TaskId(f'{item.key}/{index}')


class Engine:
    """Decides for the workers that one scheduler holds.

    Parameters
    ----------
    random : Random
        Source of samples and of spread times to come back.
    """

    def __init__(self, random: Random) -> None:
        """Start with no worker and an empty bundle."""
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
        self._earmark: _Earmark | None = None
        self._zone_shapes: list[Resources] = []
        self._promise_by_worker: dict[WorkerId, _Promise] = {}
        #: Cleared before a planned stop: others take the work.
        self.accepting = True
        #: Capacity of the largest open worker of each other scheduler.
        self.peer_shapes: list[Resources] = []

    def use_bundle(self, bundle: Bundle, zone: ZoneId) -> None:
        """Decide by `bundle` from now on."""
        self._bundle = bundle
        self._zone = bundle.zone(zone)
        self.ejector.max_share = bundle.max_ejected
        for name, work_class in bundle.classes.items():
            self.queue.set_class(name, work_class.priority, work_class.ageing)
        self.shares.weight_by_tenant = {
            name: tenant.weight for name, tenant in bundle.tenants.items()
        }

    def work_class(self, name: ClassName) -> WorkClass:
        """Return a class of the bundle in force."""
        return self._bundle.classes[name]

    def find_class(self, name: ClassName) -> WorkClass | None:
        """Return a class, or None if the bundle in force lacks it."""
        return self._bundle.classes.get(name)

    def add_place(self, place: Place) -> None:
        """Take a worker in."""
        self.shard.add(place)
        self.ejector.add(place.worker)
        self.shares.total = self.shard.capacity

    def remove_place(self, worker: WorkerId) -> None:
        """Leave a worker out; its tasks no longer count here."""
        self.shard.remove(worker)
        self.ejector.remove(worker)
        self.shares.total = self.shard.capacity
        gone = [
            task
            for task, running in self._running_by_task.items()
            if running.worker == worker
        ]
        for task in gone:
            self._uncharge(task)

    def decline_all(self) -> list[Declined]:
        """Take out all waiting work: no worker is held any more."""
        waiting = self.queue.drain()
        return [self._pass_on(item) for item in waiting]

    def decline_stuck(self, now: Seconds) -> list[Declined]:
        """Take out waiting requests that others could take, but none here."""
        if not any(self._is_stuck(item) for item in self.queue.candidates(now)):
            return []
        stuck = self.queue.remove_where(self._is_stuck)
        return [self._pass_on(item) for item in stuck]

    def check(self, item: WorkItem, now: Seconds) -> Declined | None:
        """Refuse what can never run or would wait too long."""
        never = self.check_fit(item)
        if never is not None:
            return never
        if not self.accepting or self._is_stuck(item):
            return self._pass_on(item)
        return self._check_wait(item, now)

    def check_fit(self, item: WorkItem) -> Declined | None:
        """Refuse what can never run."""
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
        """Learn the capacities of all workers of the zone."""
        self._zone_shapes = shapes

    def ever_fits(self, item: WorkItem) -> bool:
        """Tell whether the zone's workers, empty, could hold the item.

        True while no worker is known.
        """
        wanted = item.size + self._headroom(item)
        if not self._zone_shapes:
            return not len(self.shard) or self.shard.ever_fits(wanted)
        room = 0
        for shape in self._zone_shapes:
            room += _times(wanted, shape) if wanted.fits(shape) else 0
            if room >= item.gang:
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
        """Place the item at once, past the queue, or not at all."""
        if item.class_name not in self._bundle.classes:
            return None
        return self._try_place(item, now)

    def pump(self, now: Seconds) -> list[Placed]:
        """Place what can be placed of the waiting work."""
        placed: list[Placed] = []
        while len(self.queue):
            found = self._place_next(now)
            if found is None:
                break
            placed.append(found)
        return placed

    def expired(self, now: Seconds) -> list[WorkItem]:
        """Take out and return the waiting items whose patience has ended."""
        return self.queue.remove_expired(now)

    def cancel(self, item: WorkItem) -> bool:
        """Take a waiting item out; return False if it doesn't wait."""
        if self._earmark is not None and self._earmark.item is item:
            self._earmark = None
        return self.queue.remove(item)

    def reserve(
        self,
        place: Place,
        item: WorkItem,
        key: TaskId,
        now: Seconds,
    ) -> bool:
        """Take room for one task on a given place."""
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
        """Tell whether a task holds room on some worker."""
        return task in self._running_by_task

    def adopt(
        self,
        place: Place,
        item: WorkItem,
        now: Seconds,
    ) -> None:
        """Charge a task that runs already."""
        place.ledger.adopt(item.key, item.size)
        self._charge(place, item, item.key, now)

    def give_back(self, worker: WorkerId, task: TaskId, proof: Proof) -> None:
        """Give the room of a task back."""
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
        """Learn from a task that ran to its end; then give its room back."""
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
        """Let ejected workers come back on probation."""
        for worker, place in self.shard.place_by_worker.items():
            self._apply_standing(worker, place, now)

    def preempt_for(self, now: Seconds) -> VictimPlan | None:
        """Return what to stop so that the most urgent waiting item starts.

        The tasks in the plan are taken to be stopping from now on.
        """
        for item in self.queue.heads(now):
            work_class = self.work_class(item.class_name)
            if work_class.urgent and item.gang == 1:
                return self._plan_for(item, work_class, now)
        return None

    def earmark_for(self, now: Seconds) -> None:
        """Keep places for the item that has waited longest without room.

        Other work goes there only if it should end before (back-filling).
        """
        if self._earmark is not None and self._earmark.item.waiting:
            return
        self._earmark = None
        waiting = [
            item
            for item in self.queue.candidates(now)
            if now - item.queued_at > _EARMARK_AFTER and self._is_batch(item)
        ]
        if waiting:
            oldest = min(waiting, key=lambda item: item.queued_at)
            self._earmark = _Earmark(oldest, self._soonest_free(oldest))

    def running_on(self, worker: WorkerId) -> list[TaskId]:
        """Return the tasks charged to a worker."""
        place = self.shard.place_by_worker.get(worker)
        return [] if place is None else list(place.ledger.tasks)

    def _place_next(self, now: Seconds) -> Placed | None:
        for item in self._tries(now):
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

    def _tries(self, now: Seconds) -> list[WorkItem]:
        """Return the items worth trying: a few tenants of each class."""
        tried: dict[ClassName, int] = defaultdict(int)
        chosen = []
        for item in self.queue.candidates(now):
            within = self._within_quota(
                item.tenant,
                self.shares.used(item.tenant),
                item,
            )
            if within and tried[item.class_name] < _TENANTS_TRIED:
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
            place = self._choose(item, frozenset(racks), now)
            if place is None:
                self._undo(item, places)
                return None
            self.reserve(place, item, member_key(item, index), now)
            places.append(place)
            racks.add(place.rack)
        if self._earmark is not None and self._earmark.item is item:
            self._earmark = None
        return Placed(item, tuple(places))

    def _choose(
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
            avoid=self._avoided(item, now) | self._kept_from(item),
            crowded_racks=racks if spread else frozenset(),
        )
        return choose_place(work_class.policy, self.shard, demand)

    def _undo(self, item: WorkItem, places: list[Place]) -> None:
        for index, place in enumerate(places):
            key = member_key(item, index)
            self.give_back(place.worker, key, Proof.NEVER_SENT)

    def _headroom(self, item: WorkItem) -> Resources:
        urgent = self._bundle.classes[item.class_name].urgent
        kept = self._is_batch(item) and not urgent
        return self._zone.headroom if kept else NOTHING

    def _is_batch(self, item: WorkItem) -> bool:
        work_class = self._bundle.classes.get(item.class_name)
        return work_class is not None and work_class.kind in _BATCH_KINDS

    def _avoided(self, item: WorkItem, now: Seconds) -> frozenset[WorkerId]:
        """Return the workers to avoid; waiting long is worse than them."""
        waited = now - item.queued_at
        return item.avoid if waited < _AVOID_FOR else frozenset()

    def _kept_from(self, item: WorkItem) -> frozenset[WorkerId]:
        if not self._is_batch(item):
            return frozenset()
        promised = frozenset(
            worker
            for worker, promise in self._promise_by_worker.items()
            if promise.item is not item
        )
        if self.work_class(item.class_name).urgent:
            return promised
        return promised | self._earmarked_from(item)

    def _earmarked_from(self, item: WorkItem) -> frozenset[WorkerId]:
        earmark = self._earmark
        if earmark is None or earmark.item is item:
            return frozenset()
        if not earmark.item.waiting:
            # It went elsewhere, or was given up.
            self._earmark = None
            return frozenset()
        expected = self.run_times.quantile(
            item.tenant,
            item.class_name,
            _RUN_TIME_SHARE,
            math.inf,
        )
        return frozenset() if expected < _EARMARK_AFTER else earmark.workers

    def _soonest_free(self, item: WorkItem) -> frozenset[WorkerId]:
        """Return the open places where the item would fit with least taken."""
        fitting = [
            place
            for place in self.shard.roomiest()
            if place.open and item.size.fits(place.ledger.capacity)
        ]
        per_place = [
            _times(item.size + NOTHING, place.ledger.capacity)
            for place in fitting
        ]
        chosen: list[WorkerId] = []
        room = 0
        for place, count in zip(fitting, per_place, strict=True):
            if room >= item.gang:
                break
            chosen.append(place.worker)
            room += count
        return frozenset(chosen)

    def _plan_for(
        self,
        item: WorkItem,
        work_class: WorkClass,
        now: Seconds,
    ) -> VictimPlan | None:
        if self._is_promised(item, now):
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
            self._promise_by_worker[plan.worker] = _Promise(item, now)
        return plan

    def _is_promised(self, item: WorkItem, now: Seconds) -> bool:
        """Tell whether room is being made for an item; drop old promises."""
        self._promise_by_worker = {
            worker: promise
            for worker, promise in self._promise_by_worker.items()
            if promise.item.waiting and now - promise.at < _PROMISE_LASTS
        }
        promises = self._promise_by_worker.values()
        return any(promise.item is item for promise in promises)

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

    def _is_stuck(self, item: WorkItem) -> bool:
        """Tell whether a request had better go to another scheduler.

        While none of them could take it either, it keeps its turn here.
        Tasks of jobs wait: their owner offers them to others meanwhile.
        """
        work_class = self.find_class(item.class_name)
        if work_class is None or work_class.kind is not WorkKind.REQUEST:
            return False
        if self.shard.open_fits(item.size):
            return False
        return any(item.size.fits(shape) for shape in self.peer_shapes)

    def _pass_on(self, item: WorkItem) -> Declined:
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
        known = self._bundle.tenants.get(tenant)
        if known is None or known.quota == _NO_QUOTA:
            return True
        wanted = used
        for _ in range(item.gang):
            wanted = wanted + item.size
        return _under(known.quota, wanted)

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
            # One probe at a time; its end opens the place again.
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


def _times(size: Resources, room: Resources) -> int:
    """Return how often `size` fits into `room`."""
    pairs = zip(size.amounts(), room.amounts(), strict=True)
    counts = [int(whole // part) for part, whole in pairs if part > 0]
    return min(counts, default=1)


def _under(quota: Quota, wanted: Resources) -> bool:
    pairs = (
        (quota.cores, wanted.cores),
        (quota.memory, wanted.memory),
        (quota.accelerators, wanted.accelerators),
    )
    return all(not limit or amount <= limit for limit, amount in pairs)
