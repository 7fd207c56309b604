"""Standing of a tenant, as seen by decisions between its work and others'."""

from __future__ import annotations

from enum import IntEnum
from typing import Protocol

from orchidrail.work.tenant import Tenant


class Standing(IntEnum):
    """How a tenant's use compares with its fair share.

    Work of the lower standing gives way first.
    """

    OVER_SHARE = 0
    WITHIN_SHARE = 1


class Standings(Protocol):
    """Tells the standing of each tenant."""

    def standing_of(self, tenant: Tenant) -> Standing:
        """Return the standing of a tenant now."""
