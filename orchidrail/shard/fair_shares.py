"""Fair shares: which jobs take precedence when capacity is scarce.

The fair share of a tenant is as many jobs a second as its weight. Jobs over the
fair share are accepted while there is capacity, and start after all jobs within
the shares.
"""

from __future__ import annotations

from collections.abc import Callable

from orchidrail.access import RateLimit
from orchidrail.types import Seconds, TenantId
from orchidrail.work.tenant import Tenant

#: A tenant may submit at once its rate times this many seconds, and
#: `_BURST_JOBS` jobs besides. Callers arrive at random, so a cluster of a few
#: jobs says little about a small tenant's rate: on a simulated day, a tenant of
#: one job a second submitted seven within 1.2 s.
_BURST_DURATION: Seconds = 3.0
_BURST_JOBS = 8


class FairShares:
    """Compares what each tenant submits with its fair share.

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
        """Grant each tenant a full burst; a previous owner may have done so."""
        self._clock = clock
        self._rate_by_tenant: dict[TenantId, RateLimit] = {}

    def take(self, tenant: Tenant) -> bool:
        """Count a job; return whether it is within the fair share."""
        if not tenant.name:
            return True
        return self._rate_of(tenant).take(self._clock())

    def time_until_within_share(self, tenant: Tenant) -> Seconds:
        """Return the seconds until a tenant's next job is within its share."""
        if not tenant.name:
            return 0
        return self._rate_of(tenant).ready_in(self._clock())

    def _rate_of(self, tenant: Tenant) -> RateLimit:
        rate = self._rate_by_tenant.get(tenant.name)
        if rate is None or rate.rate != tenant.weight:
            burst = tenant.weight * _BURST_DURATION + _BURST_JOBS
            rate = RateLimit(tenant.weight, burst)
            self._rate_by_tenant[tenant.name] = rate
        return rate
