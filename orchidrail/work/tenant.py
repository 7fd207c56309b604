"""Tenants and their shares and limits."""

from __future__ import annotations

import msgspec

from orchidrail.types import TenantId
from orchidrail.work.size import Size

#: Number of tasks within a limit that does not bound them.
_UNLIMITED_TASKS = 1_000_000_000


class Tenant(msgspec.Struct, frozen=True, array_like=True):
    """One customer of the cell.

    Parameters
    ----------
    name : str
        Empty for the anonymous tenant, whose callers need no key.
    weight : float
        Its fair share under full load, relative to the weights of the others;
        also its fair share of accepted jobs, per second.
    maximum : Size
        Limit of the resources that it may use; a component of 0 is unlimited.

    Examples
    --------
    >>> tenant = Tenant(TenantId('stores'), 2, Size(1000, 0))
    >>> tenant.count_within_limit(Size(200, 50), Size(300, 50))
    2
    >>> tenant.ever_fits(Size(1001, 0))
    False
    """

    name: TenantId = TenantId('')
    weight: float = 1
    maximum: Size = Size()

    @property
    def limited(self) -> bool:
        """Whether any resource is limited."""
        return any(self.maximum)

    def count_within_limit(self, used: Size, size: Size) -> int:
        """Return how many tasks fit within the limit beside what is used."""
        counts = [
            (limit - taken) // part
            for limit, taken, part in zip(self.maximum, used, size, strict=True)
            if limit and part
        ]
        return max(0, min(counts, default=_UNLIMITED_TASKS))

    def ever_fits(self, size: Size) -> bool:
        """Whether the limit allows this size with nothing else running."""
        return self.count_within_limit(Size(), size) > 0


#: Tenant of the jobs of callers that need no key.
ANONYMOUS_TENANT = Tenant()
