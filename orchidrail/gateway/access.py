"""Who calls: tenants by their bearer keys, and their rates."""

from __future__ import annotations

from typing import TYPE_CHECKING

from orchidrail.access import KeyRing, RateLimit
from orchidrail.types import Seconds, TenantId

if TYPE_CHECKING:
    from orchidrail.bundles.model import Bundle

#: Seconds of a tenant's rate that may come at once.
_BURST: Seconds = 1


class Access:
    """Tenants of the bundle in force."""

    def __init__(self) -> None:
        """Start with no tenant."""
        self._keys = KeyRing()
        self._limit_by_tenant: dict[TenantId, RateLimit] = {}

    def use_bundle(self, bundle: Bundle) -> None:
        """Know the tenants of `bundle` from now on."""
        self._keys = KeyRing(
            {
                digest: name
                for name, tenant in bundle.tenants.items()
                for digest in tenant.keys
            }
        )
        for name, tenant in bundle.tenants.items():
            limit = self._limit_by_tenant.get(name)
            if limit is None:
                burst = max(1, tenant.rate * _BURST)
                limit = RateLimit(tenant.rate, burst)
                self._limit_by_tenant[name] = limit
            limit.rate = tenant.rate

    def identify(self, authorization: str) -> TenantId | None:
        """Return the tenant of an ``Authorization`` header, if it has one."""
        return self._keys.identify(authorization)

    def take(self, tenant: TenantId, now: Seconds) -> bool:
        """Count a request of a tenant; return False if it is over its rate."""
        return self._limit_by_tenant[tenant].take(now)
