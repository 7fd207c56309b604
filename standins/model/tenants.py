"""Tenants of a modelled day: their shares, limits, and spells of heat."""

from __future__ import annotations

from collections import defaultdict
from random import Random

import msgspec

from orchidrail.types import Seconds, TenantId
from orchidrail.work.size import Size

_MILLI = 1000
#: What may run above a limit: a tenth of it, and the task that starts.
_OVERSHOOT = 0.1
#: Time for which a limit that was lowered still counts, from the operator's
#: change: the users' bound on applying a configuration.
_APPLIED_WITHIN: Seconds = 3.0


class TenantLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One tenant of a day.

    Parameters
    ----------
    share : float
        Of the day's usual jobs.
    weight : float
        Its share of the cell when all is full.
    cores, megabytes : float
        Most that it may have running, 0 for no limit.
    """

    name: str
    share: float
    weight: float = 1
    cores: float = 0
    megabytes: int = 0


class HotSpell(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant sends many times its usual for a while."""

    tenant: str
    at: Seconds
    lasts: Seconds
    times: float


class LimitChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operator gives a tenant another limit.

    Parameters
    ----------
    heard_after : float
        Seconds until the owner knows.
    """

    tenant: str
    at: Seconds
    cores: float
    heard_after: Seconds = 0.5


def draw_tenant(tenants: list[TenantLoad], random: Random) -> TenantId:
    """Return whose job the next one is; days without tenants draw nothing."""
    if not tenants:
        return TenantId('')
    shares = [tenant.share for tenant in tenants]
    return TenantId(random.choices(tenants, shares)[0].name)


class LimitJudge:
    """Counts starts past what a tenant may have running.

    Parameters
    ----------
    tenants : list of TenantLoad
    changes : list of LimitChange
    lead : float
        Time of day at which the traffic starts.
    """

    def __init__(
        self,
        tenants: list[TenantLoad],
        changes: list[LimitChange],
        lead: Seconds,
    ) -> None:
        """Start with nothing running."""
        self._cores_by_tenant = {one.name: one.cores for one in tenants}
        self._megabytes_by_tenant = {one.name: one.megabytes for one in tenants}
        self._changes = sorted(changes, key=lambda change: change.at)
        self._lead = lead
        self._used_by_tenant: defaultdict[str, Size] = defaultdict(Size)
        self.over = 0

    def start(self, tenant: str, size: Size, now: Seconds) -> None:
        """Judge a start."""
        self._used_by_tenant[tenant] += size
        limit = self._highest(tenant, now) * _MILLI
        used = self._used_by_tenant[tenant]
        over = limit and _passes(used.millicores, limit, size.millicores)
        megabytes = self._megabytes_by_tenant.get(tenant, 0)
        if megabytes:
            over = over or _passes(used.megabytes, megabytes, size.megabytes)
        self.over += bool(over)

    def end(self, tenant: str, size: Size) -> None:
        """Take that a run is over."""
        self._used_by_tenant[tenant] -= size

    def known(self, tenant: str, now: Seconds) -> Size:
        """Return the limit that the owner knows of."""
        cores = self._known_cores(tenant, now)
        megabytes = self._megabytes_by_tenant.get(tenant, 0)
        return Size(round(cores * _MILLI), megabytes)

    def _known_cores(self, tenant: str, now: Seconds) -> float:
        cores = self._cores_by_tenant.get(tenant, 0)
        for change in self._changes:
            heard_at = self._lead + change.at + change.heard_after
            if change.tenant == tenant and heard_at <= now:
                cores = change.cores
        return cores

    def _highest(self, tenant: str, now: Seconds) -> float:
        """Return the highest limit that may be in force."""
        in_force = [self._cores_by_tenant.get(tenant, 0)]
        for change in self._changes:
            begins = self._lead + change.at
            if change.tenant != tenant or begins > now:
                continue
            if begins + _APPLIED_WITHIN < now:
                in_force.clear()
            in_force.append(change.cores)
        return 0 if 0 in in_force else max(in_force)


def _passes(used: int, limit: float, task: int) -> bool:
    """Whether a start of a task brings what runs past what is allowed."""
    return used > limit * (1 + _OVERSHOOT) + task
