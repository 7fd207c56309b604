"""For whom jobs are run, and how much of the cell each may use."""

from __future__ import annotations

import msgspec

from orchidrail.types import TenantId
from orchidrail.work.size import Size

#: Tasks that a limit leaves room for where it doesn't bound them at all.
_UNLIMITED = 1_000_000_000


class Tenant(msgspec.Struct, frozen=True, array_like=True):
    """One customer of the cell.

    Parameters
    ----------
    name : str
        Empty for nobody in particular: where callers need no key.
    weight : float
        Its share when all is full, against the weights of the others; also the
        jobs a second that it is owed.
    maximum : Size
        The most that it may have running; a component of 0 is not limited.

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
        """Whether anything bounds what it may have running."""
        return any(self.maximum)

    def count_within_limit(self, used: Size, size: Size) -> int:
        """Return how many more tasks may run beside what it uses."""
        counts = [
            (most - taken) // part
            for most, taken, part in zip(self.maximum, used, size, strict=True)
            if most and part
        ]
        return max(0, min(counts, default=_UNLIMITED))

    def ever_fits(self, size: Size) -> bool:
        """Whether so much may run for it when nothing else does."""
        return self.count_within_limit(Size(), size) > 0


#: Whose jobs are those of callers that need no key.
ANONYMOUS_TENANT = Tenant()
