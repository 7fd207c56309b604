"""Room that is kept free for urgent work which is about to come.

Urgent tasks are short and come in bursts, and their objective leaves no time
to wait until something ends. Work that has time leaves as much room as urgent
work used at its last peak.
"""

from __future__ import annotations

import math
from collections import defaultdict

from orchidrail.shard.books import WorkerBooks
from orchidrail.types import Seconds, ServiceName

#: Time in which the memory of a peak falls to a third.
_FORGETS_IN: Seconds = 10.0
#: Most of the service's open room that is ever kept.
_MOST_SHARE = 0.25


class Headroom:
    """Follows what urgent work uses of each service's workers."""

    def __init__(self) -> None:
        """Start without a peak."""
        self._peak_by_service: dict[ServiceName, float] = defaultdict(float)
        self._noted_at: Seconds = 0

    def note(self, open_books: list[WorkerBooks], now: Seconds) -> None:
        """Take what urgent work uses now."""
        used: dict[ServiceName, int] = defaultdict(int)
        for books in open_books:
            used[books.entry.service] += books.urgent_millicores
        fading = math.exp((self._noted_at - now) / _FORGETS_IN)
        self._noted_at = now
        for service in self._peak_by_service.keys() | used.keys():
            faded = self._peak_by_service[service] * fading
            self._peak_by_service[service] = max(used[service], faded)

    def left_for_others(
        self,
        service: ServiceName,
        usable: list[WorkerBooks],
    ) -> int:
        """Return how many millicores other work may still take.

        Parameters
        ----------
        usable : list of WorkerBooks
            The open workers of the service.
        """
        free = sum(books.free.millicores for books in usable)
        whole = sum(books.entry.capacity.millicores for books in usable)
        used = sum(books.urgent_millicores for books in usable)
        peak = min(self._peak_by_service[service], _MOST_SHARE * whole)
        return int(free - max(0, peak - used))
