"""What each tenant has running, as far as anything of it may run."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from orchidrail.types import TenantId
from orchidrail.work.job import StepState, Task
from orchidrail.work.size import Size
from orchidrail.work.tenant import Tenant

FindTenant = Callable[[TenantId], Tenant | None]


class Holding(NamedTuple):
    """What one run takes of its tenant's limit.

    It is all that the task asks for, also where part of that is not counted
    against its worker's room.
    """

    tenant: TenantId
    size: Size


def holding_of(task: Task) -> Holding:
    """Return what a run of a task takes of its tenant's limit."""
    return Holding(task.step.job.tenant.name, task.step.spec.size)


def unknown_tenant(name: TenantId) -> Tenant | None:
    """Know no tenant but from the jobs."""


class TenantLedger:
    """Adds up, for each tenant, every run that may be going on.

    A run counts from the moment it is placed, before its start is ordered,
    until it has surely ended: an order without an answer counts, a run that is
    being stopped, and one whose worker is cut off while its lease may last.

    Parameters
    ----------
    find_tenant : callable
        Returns a tenant as the configuration in force has it, None if it has
        none of that name. What is left of such a tenant's work goes by its
        limit at the time when its jobs were accepted.

    Examples
    --------
    >>> ledger = TenantLedger()
    >>> tenant = Tenant(TenantId('stores'), 1, Size(1000, 0))
    >>> ledger.take(Holding(tenant.name, Size(700, 10)))
    >>> ledger.more(tenant, Size(300, 10)), ledger.more(tenant, Size(301, 10))
    (1, 0)
    """

    def __init__(self, find_tenant: FindTenant = unknown_tenant) -> None:
        """Start with nothing running."""
        self.used_by_tenant: dict[TenantId, Size] = {}
        self._find_tenant = find_tenant

    def current(self, tenant: Tenant) -> Tenant:
        """Return a tenant as it is now."""
        if not tenant.name:
            return tenant
        return self._find_tenant(tenant.name) or tenant

    def take(self, holding: Holding) -> None:
        """Count a run."""
        if holding.tenant:
            self.used_by_tenant[holding.tenant] = (
                self.used(holding.tenant) + holding.size
            )

    def give_back(self, holding: Holding) -> None:
        """Take that a run which was counted has surely ended."""
        if not holding.tenant:
            return
        left = self.used(holding.tenant) - holding.size
        if any(left):
            self.used_by_tenant[holding.tenant] = left
        else:
            self.used_by_tenant.pop(holding.tenant)

    def used(self, name: TenantId) -> Size:
        """Return what a tenant may have running."""
        return self.used_by_tenant.get(name, Size())

    def more(self, tenant: Tenant, size: Size) -> int:
        """Return how many more tasks of a size a tenant may have running.

        A limit that was lowered is heeded by what starts; what runs goes on.
        """
        current = self.current(tenant)
        return current.more_within(self.used(tenant.name), size)

    def allow(self, step: StepState, tasks: list[Task]) -> list[Task]:
        """Return the tasks that the tenant's limit lets start; gangs whole."""
        tenant = step.job.tenant
        if not tenant.name:
            return tasks
        more = self.more(tenant, step.spec.size)
        if step.spec.gang:
            return tasks if more >= len(tasks) else []
        return tasks[:more]
