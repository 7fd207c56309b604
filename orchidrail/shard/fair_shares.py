"""Who goes first when there is not room for all: tenants by their weights.

A tenant is owed as many jobs a second as its weight says. What it sends beyond
that is taken where there is room, and starts behind all that is owed.
"""

from __future__ import annotations

from collections.abc import Callable

from orchidrail.access import RateLimit
from orchidrail.types import Seconds, TenantId
from orchidrail.work.tenant import Tenant

#: Seconds of its rate that a tenant may send at once, and jobs besides: callers
#: come by chance, so a clump of a few says nothing of a small tenant's rate (on
#: a modelled day, seven within 1.2 s of one that sends one a second).
_BURST: Seconds = 3.0
_CLUMP = 8


class FairShares:
    """Counts what each tenant hands in against what it is owed.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.

    Examples
    --------
    >>> shares = FairShares(lambda: 0)
    >>> tenant = Tenant(TenantId('stores'), weight=2)
    >>> sum(shares.take(tenant) for _ in range(20))
    14
    """

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        """Owe everybody a burst: an owner before may have served it."""
        self._clock = clock
        self._rate_by_tenant: dict[TenantId, RateLimit] = {}

    def take(self, tenant: Tenant) -> bool:
        """Count a job; tell whether it is owed."""
        if not tenant.name:
            return True
        return self._rate_of(tenant).take(self._clock())

    def time_until_within_share(self, tenant: Tenant) -> Seconds:
        """Return after how long the next job of a tenant is owed, 0 for now."""
        if not tenant.name:
            return 0
        return self._rate_of(tenant).ready_in(self._clock())

    def _rate_of(self, tenant: Tenant) -> RateLimit:
        rate = self._rate_by_tenant.get(tenant.name)
        if rate is None or rate.rate != tenant.weight:
            burst = tenant.weight * _BURST + _CLUMP
            rate = RateLimit(tenant.weight, burst)
            self._rate_by_tenant[tenant.name] = rate
        return rate
