"""Tenants of a simulated day: their shares, limits, and load spikes."""

from __future__ import annotations

from collections import defaultdict
from random import Random

import msgspec

from orchidrail.types import Seconds, TenantId
from orchidrail.work.size import Size

_MILLI = 1000
#: Allowed excess over a limit, as a share, in addition to one task.
_ALLOWED_OVERSHOOT = 0.1
#: Seconds after a limit is lowered for which the previous one is accepted:
#: the users' bound on applying a configuration.
_APPLIED_WITHIN: Seconds = 3.0


class TenantLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One tenant of a day.

    Parameters
    ----------
    share : float
        Share of the day's usual jobs.
    weight : float
        Weight of its fair share of a full cell.
    cores, megabytes : float
        Limits on its running tasks, 0 for no limit.
    """

    name: str
    share: float
    weight: float = 1
    cores: float = 0
    megabytes: int = 0


class HotSpell(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant submits a multiple of its usual load for `lasts` seconds."""

    tenant: str
    at: Seconds
    lasts: Seconds
    times: float


class LimitChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operator changes a tenant's limit.

    Parameters
    ----------
    heard_after : float
        Seconds until the owner applies the change.
    """

    tenant: str
    at: Seconds
    cores: float
    heard_after: Seconds = 0.5


def draw_tenant(tenants: list[TenantLoad], random: Random) -> TenantId:
    """Draw the tenant of the next job; nothing is drawn without tenants."""
    if not tenants:
        return TenantId('')
    shares = [tenant.share for tenant in tenants]
    return TenantId(random.choices(tenants, shares)[0].name)


class LimitChecker:
    """Counts starts that exceed the limit of their tenant.

    Parameters
    ----------
    tenants : list of TenantLoad
    changes : list of LimitChange
    warm_up : float
        Time on the loop's clock at which the traffic starts, seconds.
    """

    def __init__(
        self,
        tenants: list[TenantLoad],
        changes: list[LimitChange],
        warm_up: Seconds,
    ) -> None:
        """Start with no task running."""
        self._cores_by_tenant = {one.name: one.cores for one in tenants}
        self._megabytes_by_tenant = {one.name: one.megabytes for one in tenants}
        self._changes = sorted(changes, key=lambda change: change.at)
        self._warm_up = warm_up
        self._used_by_tenant: defaultdict[str, Size] = defaultdict(Size)
        self.violations = 0

    def start(self, tenant: str, size: Size, now: Seconds) -> None:
        """Account for a start, and count it if it exceeds the limit."""
        self._used_by_tenant[tenant] += size
        limit = self._highest_limit(tenant, now) * _MILLI
        used = self._used_by_tenant[tenant]
        over = limit and _exceeds(used.millicores, limit, size.millicores)
        megabytes = self._megabytes_by_tenant.get(tenant, 0)
        if megabytes:
            over = over or _exceeds(used.megabytes, megabytes, size.megabytes)
        self.violations += bool(over)

    def end(self, tenant: str, size: Size) -> None:
        """Account for the end of a run."""
        self._used_by_tenant[tenant] -= size

    def known_limit(self, tenant: str, now: Seconds) -> Size:
        """Return the limit that the owner knows now."""
        cores = self._known_core_limit(tenant, now)
        megabytes = self._megabytes_by_tenant.get(tenant, 0)
        return Size(round(cores * _MILLI), megabytes)

    def _known_core_limit(self, tenant: str, now: Seconds) -> float:
        cores = self._cores_by_tenant.get(tenant, 0)
        for change in self._changes:
            known_at = self._warm_up + change.at + change.heard_after
            if change.tenant == tenant and known_at <= now:
                cores = change.cores
        return cores

    def _highest_limit(self, tenant: str, now: Seconds) -> float:
        """Return the highest limit that may be in force, 0 for none."""
        in_force = [self._cores_by_tenant.get(tenant, 0)]
        for change in self._changes:
            begins = self._warm_up + change.at
            if change.tenant != tenant or begins > now:
                continue
            if begins + _APPLIED_WITHIN < now:
                in_force.clear()
            in_force.append(change.cores)
        return 0 if 0 in in_force else max(in_force)


def _exceeds(used: int, limit: float, task: int) -> bool:
    """Whether usage exceeds the limit by more than the allowance and a task."""
    return used > limit * (1 + _ALLOWED_OVERSHOOT) + task
