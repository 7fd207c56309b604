"""Queue of waiting work: classes by priority, tenants by fair share."""

from __future__ import annotations

import heapq
import itertools
import math
from collections import deque
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from sortedcontainers import SortedList

from orchidrail.resources import NOTHING, Resources
from orchidrail.types import ClassName, Seconds, TenantId

if TYPE_CHECKING:
    from collections.abc import Callable


class QueueItem(Protocol):
    """Interface of a queued item."""

    @property
    def tenant(self) -> TenantId:
        """Tenant that the item is charged to."""

    @property
    def class_name(self) -> ClassName:
        """Work class of the item."""

    @property
    def queued_at(self) -> Seconds:
        """Monotonic time of the enqueueing, in seconds."""

    @property
    def deadline(self) -> Seconds:
        """Monotonic time at which the caller times out, in seconds."""

    waiting: bool


ItemT = TypeVar('ItemT', bound=QueueItem)


class TenantShares:
    """Weighted dominant share of each tenant.

    Parameters
    ----------
    total : Resources
        Total capacity that the shares refer to.
    """

    def __init__(self, total: Resources = NOTHING) -> None:
        """Start without usage."""
        self.total = total
        self.weight_by_tenant: dict[TenantId, float] = {}
        self._used_by_tenant: dict[TenantId, Resources] = {}

    def used(self, tenant: TenantId) -> Resources:
        """Return the current usage of `tenant`."""
        return self._used_by_tenant.get(tenant, NOTHING)

    def add(self, tenant: TenantId, size: Resources) -> None:
        """Add `size` to the usage of `tenant`."""
        self._used_by_tenant[tenant] = self.used(tenant) + size

    def remove(self, tenant: TenantId, size: Resources) -> None:
        """Subtract `size` from the usage of `tenant`."""
        self._used_by_tenant[tenant] = self.used(tenant) - size

    def weighted(self, tenant: TenantId) -> float:
        """Return the tenant's dominant share divided by its weight."""
        weight = self.weight_by_tenant.get(tenant, 1)
        return self.used(tenant).dominant_share(self.total) / weight


class _ClassQueue(Generic[ItemT]):
    """Waiting items of one class, in a FIFO queue for each tenant."""

    def __init__(self, priority: int, ageing: Seconds) -> None:
        self.priority = priority
        self.ageing = ageing
        self.items_by_tenant: dict[TenantId, deque[ItemT]] = {}
        self.size = 0
        self._order: SortedList = SortedList()
        self._key_by_tenant: dict[TenantId, float] = {}

    def refresh(self, tenant: TenantId, share: float) -> None:
        """Reorder `tenant` by its `share`."""
        previous = self._key_by_tenant.pop(tenant, None)
        if previous is not None:
            self._order.remove((previous, tenant))
        if self.items_by_tenant.get(tenant):
            self._order.add((share, tenant))
            self._key_by_tenant[tenant] = share

    def drop_removed(self, tenant: TenantId) -> None:
        """Discard removed items from the head of a tenant's queue."""
        items = self.items_by_tenant.get(tenant)
        while items and not items[0].waiting:
            items.popleft()

    def waiting_items(self) -> list[ItemT]:
        """Return all waiting items."""
        queues = self.items_by_tenant.values()
        return [item for items in queues for item in items if item.waiting]

    def tenants(self) -> list[TenantId]:
        """Return the tenants with waiting items, lowest share first."""
        return [tenant for _, tenant in self._order]

    def first_tenant(self) -> TenantId | None:
        """Return the tenant with waiting items and the lowest share."""
        return self._order[0][1] if self._order else None

    def urgency(self, now: Seconds) -> float:
        """Return the priority, raised by the wait of the oldest item."""
        heads = (items[0] for items in self.items_by_tenant.values() if items)
        oldest = min((head.queued_at for head in heads), default=now)
        return self.priority + (now - oldest) / self.ageing


class FairQueue(Generic[ItemT]):
    """Waiting work in scheduling order.

    Classes are ordered by priority, which grows with the wait (aging), tenants
    of a class by ascending weighted dominant share, and items of a tenant
    first in, first out.

    Parameters
    ----------
    shares : TenantShares
        Usage by tenant; call `refresh` when that of a tenant changes.
    """

    def __init__(self, shares: TenantShares) -> None:
        """Start empty."""
        self.shares = shares
        self._queue_by_class: dict[ClassName, _ClassQueue[ItemT]] = {}
        self._size = 0
        self._sequence = itertools.count()
        self._by_deadline: list[tuple[Seconds, int, ItemT]] = []

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return self._size

    def length_of(self, class_name: ClassName) -> int:
        """Return the number of waiting items of one class."""
        class_queue = self._queue_by_class.get(class_name)
        return 0 if class_queue is None else class_queue.size

    def set_class(
        self,
        class_name: ClassName,
        priority: int,
        ageing: Seconds,
    ) -> None:
        """Add a class, or change its priority and aging."""
        class_queue = self._queue_by_class.get(class_name)
        if class_queue is None:
            class_queue = _ClassQueue(priority, ageing)
            self._queue_by_class[class_name] = class_queue
        class_queue.priority = priority
        class_queue.ageing = ageing

    def push(self, item: ItemT) -> None:
        """Append an item to the queue of its tenant and class."""
        class_queue = self._queue_by_class[item.class_name]
        class_queue.items_by_tenant.setdefault(item.tenant, deque()).append(
            item
        )
        item.waiting = True
        class_queue.size += 1
        self._size += 1
        if item.deadline < math.inf:
            entry = (item.deadline, next(self._sequence), item)
            heapq.heappush(self._by_deadline, entry)
        class_queue.refresh(item.tenant, self.shares.weighted(item.tenant))

    def heads(self, now: Seconds) -> list[ItemT]:
        """Return the first item of each class, most urgent class first."""
        found = []
        for class_queue in self._by_urgency(now):
            tenant = class_queue.first_tenant()
            if tenant is not None:
                found.append(class_queue.items_by_tenant[tenant][0])
        return found

    def candidates(self, now: Seconds) -> list[ItemT]:
        """Return the first item of each tenant and class, in order."""
        return [
            class_queue.items_by_tenant[tenant][0]
            for class_queue in self._by_urgency(now)
            for tenant in class_queue.tenants()
        ]

    def remove(self, item: ItemT) -> bool:
        """Remove an item; return False if it wasn't waiting.

        Removed items inside a tenant's queue are discarded once they reach
        its head, so that a removal needs no search.
        """
        if not item.waiting:
            return False
        item.waiting = False
        class_queue = self._queue_by_class[item.class_name]
        class_queue.size -= 1
        self._size -= 1
        class_queue.drop_removed(item.tenant)
        class_queue.refresh(item.tenant, self.shares.weighted(item.tenant))
        return True

    def remove_expired(self, now: Seconds) -> list[ItemT]:
        """Remove and return the items whose deadline has passed."""
        expired = []
        while self._by_deadline and self._by_deadline[0][0] <= now:
            _, _, item = heapq.heappop(self._by_deadline)
            if self.remove(item):
                expired.append(item)
        return expired

    def drain(self) -> list[ItemT]:
        """Remove and return all waiting items."""
        return self.remove_where(lambda _: True)

    def remove_where(self, chosen: Callable[[ItemT], bool]) -> list[ItemT]:
        """Remove and return the waiting items that `chosen` accepts."""
        removed = [
            item
            for class_queue in self._queue_by_class.values()
            for item in class_queue.waiting_items()
            if chosen(item)
        ]
        for item in removed:
            self.remove(item)
        return removed

    def refresh(self, tenant: TenantId) -> None:
        """Reorder a tenant in all classes after a change of its share."""
        share = self.shares.weighted(tenant)
        for class_queue in self._queue_by_class.values():
            class_queue.refresh(tenant, share)

    def _by_urgency(self, now: Seconds) -> list[_ClassQueue[ItemT]]:
        waiting = [
            class_queue
            for class_queue in self._queue_by_class.values()
            if class_queue.first_tenant() is not None
        ]
        return sorted(
            waiting, key=lambda class_queue: -class_queue.urgency(now)
        )
