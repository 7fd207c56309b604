"""Authentication of tenants by bearer key, and their rate limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from orchidrail.access import KeyRing, RateLimit
from orchidrail.types import Seconds, TenantId

if TYPE_CHECKING:
    from orchidrail.bundles.model import Bundle

#: Burst size of a tenant, in seconds of its rate.
_BURST_SECONDS: Seconds = 1


class Access:
    """Authenticates and rate-limits the tenants of the current bundle."""

    def __init__(self) -> None:
        """Start without tenants."""
        self._keys = KeyRing()
        self._limit_by_tenant: dict[TenantId, RateLimit] = {}

    def use_bundle(self, bundle: Bundle) -> None:
        """Replace the keys and update the rates by those of `bundle`."""
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
                burst = max(1, tenant.rate * _BURST_SECONDS)
                limit = RateLimit(tenant.rate, burst)
                self._limit_by_tenant[name] = limit
            limit.rate = tenant.rate

    def identify(self, authorization: str) -> TenantId | None:
        """Return the tenant of an ``Authorization`` header, None if unknown."""
        return self._keys.identify(authorization)

    def admit(self, tenant: TenantId, now: Seconds) -> bool:
        """Count a request; return False if the tenant exceeds its rate."""
        return self._limit_by_tenant[tenant].take(now)
