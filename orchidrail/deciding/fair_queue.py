"""The queue of waiting work: classes by priority, tenants by fair share."""

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


class Waiting(Protocol):
    """What the queue needs to know of an item."""

    @property
    def tenant(self) -> TenantId:
        """Who it is for."""

    @property
    def class_name(self) -> ClassName:
        """Its class of work."""

    @property
    def queued_at(self) -> Seconds:
        """Monotonic time at which it was put in the queue."""

    @property
    def deadline(self) -> Seconds:
        """Monotonic time at which its caller's patience ends."""

    waiting: bool


ItemT = TypeVar('ItemT', bound=Waiting)


class TenantShares:
    """Dominant share of each tenant, divided by its weight.

    Parameters
    ----------
    total : Resources
        Capacity that the shares are of.
    """

    def __init__(self, total: Resources = NOTHING) -> None:
        """Start with nothing in use."""
        self.total = total
        self.weight_by_tenant: dict[TenantId, float] = {}
        self._used_by_tenant: dict[TenantId, Resources] = {}

    def used(self, tenant: TenantId) -> Resources:
        """Return what `tenant` uses now."""
        return self._used_by_tenant.get(tenant, NOTHING)

    def add(self, tenant: TenantId, size: Resources) -> None:
        """Charge `tenant` with `size`."""
        self._used_by_tenant[tenant] = self.used(tenant) + size

    def remove(self, tenant: TenantId, size: Resources) -> None:
        """Give `size` back to `tenant`."""
        self._used_by_tenant[tenant] = self.used(tenant) - size

    def weighted(self, tenant: TenantId) -> float:
        """Return the tenant's dominant share divided by its weight."""
        weight = self.weight_by_tenant.get(tenant, 1)
        return self.used(tenant).dominant_share(self.total) / weight


class _ClassLine(Generic[ItemT]):
    """Waiting items of one class, a line for each tenant."""

    def __init__(self, priority: int, ageing: Seconds) -> None:
        self.priority = priority
        self.ageing = ageing
        self.line_by_tenant: dict[TenantId, deque[ItemT]] = {}
        self.size = 0
        self._order: SortedList = SortedList()
        self._key_by_tenant: dict[TenantId, float] = {}

    def refresh(self, tenant: TenantId, share: float) -> None:
        """Move `tenant` to its place in the order of shares."""
        known = self._key_by_tenant.pop(tenant, None)
        if known is not None:
            self._order.remove((known, tenant))
        if self.line_by_tenant.get(tenant):
            self._order.add((share, tenant))
            self._key_by_tenant[tenant] = share

    def drop_gone(self, tenant: TenantId) -> None:
        """Take items that no longer wait from the head of a line."""
        items = self.line_by_tenant.get(tenant)
        while items and not items[0].waiting:
            items.popleft()

    def waiting_items(self) -> list[ItemT]:
        """Return all items that wait."""
        lines = self.line_by_tenant.values()
        return [item for items in lines for item in items if item.waiting]

    def tenants(self) -> list[TenantId]:
        """Return the waiting tenants, the one with least share first."""
        return [tenant for _, tenant in self._order]

    def first_tenant(self) -> TenantId | None:
        """Return the waiting tenant with least share."""
        return self._order[0][1] if self._order else None

    def urgency(self, now: Seconds) -> float:
        """Return the priority, raised by how long the oldest has waited."""
        heads = (line[0] for line in self.line_by_tenant.values() if line)
        oldest = min((head.queued_at for head in heads), default=now)
        return self.priority + (now - oldest) / self.ageing


class FairQueue(Generic[ItemT]):
    """Waiting work in the order in which it should go.

    Classes go by priority, which grows with waiting; within a class the
    tenant with the least weighted dominant share goes first; within a tenant
    the oldest.

    Parameters
    ----------
    shares : TenantShares
        What each tenant uses; `refresh` must be called when it changes.
    """

    def __init__(self, shares: TenantShares) -> None:
        """Start empty."""
        self.shares = shares
        self._line_by_class: dict[ClassName, _ClassLine[ItemT]] = {}
        self._size = 0
        self._numbers = itertools.count()
        self._by_deadline: list[tuple[Seconds, int, ItemT]] = []

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return self._size

    def length_of(self, class_name: ClassName) -> int:
        """Return how many items of one class wait."""
        line = self._line_by_class.get(class_name)
        return 0 if line is None else line.size

    def set_class(
        self,
        class_name: ClassName,
        priority: int,
        ageing: Seconds,
    ) -> None:
        """Declare a class, or change its priority."""
        line = self._line_by_class.get(class_name)
        if line is None:
            line = _ClassLine(priority, ageing)
            self._line_by_class[class_name] = line
        line.priority = priority
        line.ageing = ageing

    def push(self, item: ItemT) -> None:
        """Put an item at the end of its tenant's line."""
        line = self._line_by_class[item.class_name]
        line.line_by_tenant.setdefault(item.tenant, deque()).append(item)
        item.waiting = True
        line.size += 1
        self._size += 1
        if item.deadline < math.inf:
            entry = (item.deadline, next(self._numbers), item)
            heapq.heappush(self._by_deadline, entry)
        line.refresh(item.tenant, self.shares.weighted(item.tenant))

    def heads(self, now: Seconds) -> list[ItemT]:
        """Return the first item of each class, the most urgent first."""
        found = []
        for line in self._by_urgency(now):
            tenant = line.first_tenant()
            if tenant is not None:
                found.append(line.line_by_tenant[tenant][0])
        return found

    def candidates(self, now: Seconds) -> list[ItemT]:
        """Return the first item of each tenant in each class, in order."""
        return [
            line.line_by_tenant[tenant][0]
            for line in self._by_urgency(now)
            for tenant in line.tenants()
        ]

    def remove(self, item: ItemT) -> bool:
        """Take an item out in constant time; return False if it was out."""
        if not item.waiting:
            return False
        item.waiting = False
        line = self._line_by_class[item.class_name]
        line.size -= 1
        self._size -= 1
        line.drop_gone(item.tenant)
        line.refresh(item.tenant, self.shares.weighted(item.tenant))
        return True

    def remove_expired(self, now: Seconds) -> list[ItemT]:
        """Take out and return the items whose deadline has passed."""
        late = []
        while self._by_deadline and self._by_deadline[0][0] <= now:
            _, _, item = heapq.heappop(self._by_deadline)
            if self.remove(item):
                late.append(item)
        return late

    def drain(self) -> list[ItemT]:
        """Take everything out."""
        return self.remove_where(lambda _: True)

    def remove_where(self, chosen: Callable[[ItemT], bool]) -> list[ItemT]:
        """Take out and return the waiting items that are chosen."""
        taken = [
            item
            for line in self._line_by_class.values()
            for item in line.waiting_items()
            if chosen(item)
        ]
        for item in taken:
            self.remove(item)
        return taken

    def refresh(self, tenant: TenantId) -> None:
        """Reorder a tenant after its share has changed."""
        share = self.shares.weighted(tenant)
        for line in self._line_by_class.values():
            line.refresh(tenant, share)

    def _by_urgency(self, now: Seconds) -> list[_ClassLine[ItemT]]:
        waiting = [
            line
            for line in self._line_by_class.values()
            if line.first_tenant() is not None
        ]
        return sorted(waiting, key=lambda line: -line.urgency(now))
