"""Headroom: capacity left free for urgent work to come.

Urgent tasks are short and arrive in bursts, and their objective leaves no time
to wait until other work ends. Work that can wait leaves as much capacity free
as urgent work used at its recent peak.
"""

from __future__ import annotations

from collections import defaultdict

from orchidrail.shard.decaying_peak import DecayingPeak
from orchidrail.shard.tracked_worker import TrackedWorker
from orchidrail.types import Seconds, ServiceName

#: Maximum share of a service's usable capacity that is kept as headroom.
_MAX_SHARE = 0.25


class Headroom:
    """Tracks the capacity that urgent work uses in each service."""

    def __init__(self) -> None:
        """Start with a peak of zero."""
        self._peak_by_service: dict[ServiceName, DecayingPeak] = defaultdict(
            DecayingPeak
        )
        self._now: Seconds = 0

    def record_usage(
        self, accepting: list[TrackedWorker], now: Seconds
    ) -> None:
        """Record what urgent work uses now."""
        used: dict[ServiceName, int] = defaultdict(int)
        for tracked in accepting:
            used[tracked.entry.service] += tracked.urgent_millicores
        self._now = now
        for service, millicores in used.items():
            self._peak_by_service[service].record(millicores, now)

    def available_to_others(
        self,
        service: ServiceName,
        usable: list[TrackedWorker],
    ) -> int:
        """Return how many millicores other work may still use.

        Parameters
        ----------
        usable : list of TrackedWorker
            The workers of the service that accept work.
        """
        free, total, used = 0, 0, 0
        for tracked in usable:
            free += tracked.free.millicores
            total += tracked.entry.capacity.millicores
            used += tracked.urgent_millicores
        return int(free - self._reserved(service, total, used))

    def reserved(self, service: ServiceName, total: int, used: int) -> int:
        """Return how many millicores are left to urgent work.

        Parameters
        ----------
        total, used : int
            Millicores of the workers that accept work, and what urgent work
            uses of them.
        """
        return int(self._reserved(service, total, used))

    def _reserved(self, service: ServiceName, total: int, used: int) -> float:
        last_peak = self._peak_by_service[service].at(self._now)
        peak = min(last_peak, _MAX_SHARE * total)
        return max(0, peak - used)
