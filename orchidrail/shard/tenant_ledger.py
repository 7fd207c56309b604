"""Usage of each tenant, by all runs that may be active."""

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

#: Maximum share of a tenant's limit reserved for its urgent work, which can't
#: wait until something ends. On modelled days with twenty tenants, 0.016 of the
#: total worth depends on it where the cell is near its limit, 0.004 elsewhere.
_MAX_URGENT_RESERVE = 0.25
FindTenant = Callable[[TenantId], Tenant | None]


class QuotaUsage(NamedTuple):
    """Usage of a tenant's limit by one run.

    It is the whole size that the task requests, even where part of that is not
    charged to its worker's capacity.
    """

    tenant: TenantId
    size: Size
    #: Whether its queue is urgent: it goes before all others.
    urgent: bool = False
    #: Whether it runs until its job is cancelled.
    lasting: bool = False


def quota_usage_of(task: Task) -> QuotaUsage:
    """Return the usage of its tenant's limit by a run of a task."""
    job, spec = task.step.job, task.step.spec
    return QuotaUsage(job.tenant.name, spec.size, job.urgent, spec.lasting)


def find_no_tenant(name: TenantId) -> Tenant | None:
    """Find no tenant: tenants are known from their jobs only."""


class TenantLedger:
    """Sums, for each tenant, the sizes of all runs that may be active.

    A run counts from its placement, before its start is ordered, until it has
    certainly ended. So a start with an unknown outcome counts, and so do a run
    that is being stopped and one whose worker is partitioned while its lease
    may last.

    Parameters
    ----------
    find_tenant : callable
        Returns a tenant as of the configuration in force, None if it has none
        of that name. The remaining work of such a tenant is bound by the limit
        at the time when its jobs were accepted.
    clock : callable
        Monotonic seconds.

    Examples
    --------
    >>> ledger = TenantLedger()
    >>> tenant = Tenant(TenantId('stores'), 1, Size(1000, 0))
    >>> ledger.add_usage(QuotaUsage(tenant.name, Size(700, 10)))
    >>> ledger.remaining_count(tenant, Size(300, 10))
    1
    >>> ledger.remaining_count(tenant, Size(301, 10))
    0
    """

    def __init__(
        self,
        find_tenant: FindTenant = find_no_tenant,
        clock: Callable[[], Seconds] = float,
    ) -> None:
        """Start with no usage."""
        self.used_by_tenant: dict[TenantId, Size] = {}
        self._find_tenant = find_tenant
        self._clock = clock
        self._urgent_by_tenant: defaultdict[TenantId, Size] = defaultdict(Size)
        self._lasting_by_tenant: defaultdict[TenantId, Size] = defaultdict(Size)
        #: Usage that a tenant's waiting gang does not keep from coming back.
        self._kept_by_tenant: defaultdict[TenantId, Size] = defaultdict(Size)
        self._peak_by_tenant: defaultdict[TenantId, _Peaks] = defaultdict(
            _Peaks
        )

    def current(self, tenant: Tenant) -> Tenant:
        """Return a tenant as of the configuration in force."""
        if not tenant.name:
            return tenant
        return self._find_tenant(tenant.name) or tenant

    def add_usage(self, usage: QuotaUsage) -> None:
        """Add the usage of a run."""
        name = usage.tenant
        if not name:
            return
        self.used_by_tenant[name] = self.used(name) + usage.size
        if usage.urgent or usage.lasting:
            self._kept_by_tenant[name] += usage.size
        if usage.lasting:
            self._lasting_by_tenant[name] += usage.size
        if usage.urgent:
            self._urgent_by_tenant[name] += usage.size
            urgent = self._urgent_by_tenant[name]
            self._peak_by_tenant[name].record(urgent, self._clock())

    def remove_usage(self, usage: QuotaUsage) -> None:
        """Remove the usage of a run that has certainly ended."""
        if not usage.tenant:
            return
        remaining = self.used(usage.tenant) - usage.size
        if usage.urgent or usage.lasting:
            self._kept_by_tenant[usage.tenant] -= usage.size
        if usage.urgent:
            self._urgent_by_tenant[usage.tenant] -= usage.size
        if usage.lasting:
            self._lasting_by_tenant[usage.tenant] -= usage.size
        if any(remaining):
            self.used_by_tenant[usage.tenant] = remaining
        else:
            self.used_by_tenant.pop(usage.tenant)

    def used(self, name: TenantId) -> Size:
        """Return the size of all runs of a tenant that may be active."""
        return self.used_by_tenant.get(name, Size())

    def remaining_count(self, tenant: Tenant, size: Size) -> int:
        """Return how many more tasks of a size fit a tenant's limit.

        A lowered limit applies to new starts only; active runs continue.
        """
        current = self.current(tenant)
        return current.count_within_limit(self.used(tenant.name), size)

    def within_limit(self, step: StepState, tasks: list[Task]) -> list[Task]:
        """Return the tasks that may start within the limit; gangs as a whole.

        Work that is not urgent leaves the share of the limit that the tenant's
        urgent work used at its last peak.
        """
        tenant = self.current(step.job.tenant)
        if not tenant.limited:
            return tasks
        used = self.used(tenant.name)
        if not step.job.urgent:
            used += self._reserved_from(tenant, step)
        fitting = tenant.count_within_limit(used, step.spec.size)
        if step.spec.gang:
            return tasks if fitting >= len(tasks) else []
        return tasks[:fitting]

    def needs_most_of_limit(self, step: StepState) -> bool:
        """Whether what must start together exceeds half of the limit.

        Such a step fits only while little else of its tenant runs, even where
        the tenant uses less than half. A step that a lowered limit does not
        allow at all, or not besides the long-running tasks, does not count:
        nothing should wait for it, since nobody knows for how long.
        """
        tenant = self.current(step.job.tenant)
        if not tenant.limited:
            return False
        at_once = concurrent_size(step.spec)
        lasting = self._lasting_by_tenant[tenant.name]
        fits = tenant.count_within_limit(lasting, at_once) > 0
        return fits and not tenant.ever_fits(at_once + at_once)

    def fits_once_others_end(self, step: StepState) -> bool:
        """Whether a step fits once all work ends that can be kept waiting.

        What its tenant's urgent and long-running tasks use does not become
        free by keeping other work waiting, nor does the reserve for urgent
        work.
        """
        tenant = self.current(step.job.tenant)
        kept = self._kept_by_tenant[tenant.name]
        kept += self._reserved_from(tenant, step)
        at_once = concurrent_size(step.spec)
        return tenant.count_within_limit(kept, at_once) > 0

    def _reserved_from(self, tenant: Tenant, step: StepState) -> Size:
        """Return the size reserved from a step, none if it would never fit."""
        reserved = self._reserved_for_urgent(tenant)
        fits = (
            tenant.count_within_limit(reserved, concurrent_size(step.spec)) > 0
        )
        return reserved if fits else Size()

    def _reserved_for_urgent(self, tenant: Tenant) -> Size:
        """Return what urgent work is expected to use on top of its usage."""
        peak = self._peak_by_tenant[tenant.name].at(self._clock())
        in_use = self._urgent_by_tenant[tenant.name]
        return Size(
            *(
                max(0, min(high, int(_MAX_URGENT_RESERVE * limit)) - used)
                for high, limit, used in zip(
                    peak,
                    tenant.maximum,
                    in_use,
                    strict=True,
                )
            )
        )


class _Peaks:
    """Decaying peak of each component of a size."""

    def __init__(self) -> None:
        self._peaks = tuple(DecayingPeak() for _ in Size())

    def record(self, size: Size, now: Seconds) -> None:
        """Record the current usage."""
        for peak, part in zip(self._peaks, size, strict=True):
            peak.record(part, now)

    def at(self, now: Seconds) -> Size:
        """Return the decayed peaks."""
        return Size(*(int(peak.at(now)) for peak in self._peaks))
