"""Room that is kept free for urgent work which is about to come.

Urgent tasks are short and come in bursts, and their objective leaves no time
to wait until something ends. Work that has time leaves as much room as urgent
work used at its last peak.
"""

from __future__ import annotations

from collections import defaultdict

from orchidrail.shard.decaying_peak import DecayingPeak
from orchidrail.shard.tracked_worker import TrackedWorker
from orchidrail.types import Seconds, ServiceName

#: Most of the service's open room that is ever kept.
_MOST_SHARE = 0.25


class Headroom:
    """Follows what urgent work uses of each service's workers."""

    def __init__(self) -> None:
        """Start without a peak."""
        self._peak_by_service: dict[ServiceName, DecayingPeak] = defaultdict(
            DecayingPeak
        )
        self._now: Seconds = 0

    def note(self, open_books: list[TrackedWorker], now: Seconds) -> None:
        """Take what urgent work uses now."""
        used: dict[ServiceName, int] = defaultdict(int)
        for tracked in open_books:
            used[tracked.entry.service] += tracked.urgent_millicores
        self._now = now
        for service, millicores in used.items():
            self._peak_by_service[service].note(millicores, now)

    def available_to_others(
        self,
        service: ServiceName,
        usable: list[TrackedWorker],
    ) -> int:
        """Return how many millicores other work may still take.

        Parameters
        ----------
        usable : list of TrackedWorker
            The open workers of the service.
        """
        free, whole, used = 0, 0, 0
        for tracked in usable:
            free += tracked.free.millicores
            whole += tracked.entry.capacity.millicores
            used += tracked.urgent_millicores
        last_peak = self._peak_by_service[service].at(self._now)
        peak = min(last_peak, _MOST_SHARE * whole)
        return int(free - max(0, peak - used))
