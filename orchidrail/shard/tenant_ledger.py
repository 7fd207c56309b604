"""What each tenant has running, as far as anything of it may run."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from orchidrail.shard.decaying_peak import DecayingPeak
from orchidrail.types import Seconds, TenantId
from orchidrail.work.model import concurrent_size
from orchidrail.work.size import Size
from orchidrail.work.step import StepState, Task
from orchidrail.work.tenant import Tenant

#: Most of a tenant's limit that is ever kept for its urgent work, which has no
#: time to wait until something ends: on modelled days of twenty tenants 0.016
#: of the worth where the cell is near its limit, 0.004 where it isn't.
_MOST_KEPT = 0.25
FindTenant = Callable[[TenantId], Tenant | None]


class QuotaUsage(NamedTuple):
    """What one run takes of its tenant's limit.

    It is all that the task asks for, also where part of that is not counted
    against its worker's room.
    """

    tenant: TenantId
    size: Size
    #: Whether it is of a queue that goes before all others.
    urgent: bool = False
    #: Whether it goes on until its job is cancelled.
    lasting: bool = False


def quota_usage_of(task: Task) -> QuotaUsage:
    """Return what a run of a task takes of its tenant's limit."""
    job, spec = task.step.job, task.step.spec
    return QuotaUsage(job.tenant.name, spec.size, job.urgent, spec.lasting)


def find_no_tenant(name: TenantId) -> Tenant | None:
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
    clock : callable
        Monotonic seconds.

    Examples
    --------
    >>> ledger = TenantLedger()
    >>> tenant = Tenant(TenantId('stores'), 1, Size(1000, 0))
    >>> ledger.add_usage(QuotaUsage(tenant.name, Size(700, 10)))
    >>> ledger.more(tenant, Size(300, 10)), ledger.more(tenant, Size(301, 10))
    (1, 0)
    """

    def __init__(
        self,
        find_tenant: FindTenant = find_no_tenant,
        clock: Callable[[], Seconds] = float,
    ) -> None:
        """Start with nothing running."""
        self.used_by_tenant: dict[TenantId, Size] = {}
        self._find_tenant = find_tenant
        self._clock = clock
        self._urgent_by_tenant: defaultdict[TenantId, Size] = defaultdict(Size)
        self._lasting_by_tenant: defaultdict[TenantId, Size] = defaultdict(Size)
        self._peak_by_tenant: defaultdict[TenantId, _Peaks] = defaultdict(
            _Peaks
        )

    def current(self, tenant: Tenant) -> Tenant:
        """Return a tenant as it is now."""
        if not tenant.name:
            return tenant
        return self._find_tenant(tenant.name) or tenant

    def add_usage(self, holding: QuotaUsage) -> None:
        """Count a run."""
        name = holding.tenant
        if not name:
            return
        self.used_by_tenant[name] = self.used(name) + holding.size
        if holding.lasting:
            self._lasting_by_tenant[name] += holding.size
        if holding.urgent:
            self._urgent_by_tenant[name] += holding.size
            urgent = self._urgent_by_tenant[name]
            self._peak_by_tenant[name].note(urgent, self._clock())

    def remove_usage(self, holding: QuotaUsage) -> None:
        """Take that a run which was counted has surely ended."""
        if not holding.tenant:
            return
        left = self.used(holding.tenant) - holding.size
        if holding.urgent:
            self._urgent_by_tenant[holding.tenant] -= holding.size
        if holding.lasting:
            self._lasting_by_tenant[holding.tenant] -= holding.size
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
        return current.count_within_limit(self.used(tenant.name), size)

    def within_limit(self, step: StepState, tasks: list[Task]) -> list[Task]:
        """Return the tasks that the tenant's limit lets start; gangs whole.

        Work that has time leaves of the limit what the tenant's urgent work
        used at its last peak.
        """
        tenant = self.current(step.job.tenant)
        if not tenant.limited:
            return tasks
        used = self.used(tenant.name)
        if not step.job.urgent:
            used += self._kept_beside(tenant, step)
        more = tenant.count_within_limit(used, step.spec.size)
        if step.spec.gang:
            return tasks if more >= len(tasks) else []
        return tasks[:more]

    def needs_most_of_limit(self, step: StepState) -> bool:
        """Whether what must start together is over half of its tenant's limit.

        It finds room only while little else of its tenant runs, also where the
        tenant uses less than half. One that a lowered limit does not allow at
        all, or not beside what lasts, is none of these: nothing is to wait for
        it, since nobody knows for how long.
        """
        tenant = self.current(step.job.tenant)
        if not tenant.limited:
            return False
        at_once = concurrent_size(step.spec)
        lasting = self._lasting_by_tenant[tenant.name]
        fits = tenant.count_within_limit(lasting, at_once) > 0
        return fits and not tenant.ever_fits(at_once + at_once)

    def _kept_beside(self, tenant: Tenant, step: StepState) -> Size:
        """Return what is kept from a step; nothing if it would never fit."""
        kept = self._kept_for_urgent(tenant)
        fits = tenant.count_within_limit(kept, concurrent_size(step.spec)) > 0
        return kept if fits else Size()

    def _kept_for_urgent(self, tenant: Tenant) -> Size:
        """Return what urgent work is about to use besides what it uses."""
        peak = self._peak_by_tenant[tenant.name].at(self._clock())
        now = self._urgent_by_tenant[tenant.name]
        return Size(
            *(
                max(0, min(high, int(_MOST_KEPT * most)) - taken)
                for high, most, taken in zip(
                    peak,
                    tenant.maximum,
                    now,
                    strict=True,
                )
            )
        )


class _Peaks:
    """The last peak of each part of a size."""

    def __init__(self) -> None:
        self._peaks = tuple(DecayingPeak() for _ in Size())

    def note(self, size: Size, now: Seconds) -> None:
        """Take what is used at this moment."""
        for peak, part in zip(self._peaks, size, strict=True):
            peak.note(part, now)

    def at(self, now: Seconds) -> Size:
        """Return what is left of the peaks."""
        return Size(*(int(peak.at(now)) for peak in self._peaks))
