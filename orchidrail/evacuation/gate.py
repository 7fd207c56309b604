"""Decides whether tasks may be started on the workers of a zone."""

from __future__ import annotations

import math
from collections.abc import Callable

from orchidrail.evacuation.zones import (
    EvacuatedZones,
    ZoneChanges,
    ZoneSnapshot,
)
from orchidrail.types import Seconds, ZoneId

#: Part of the bound that is left for a start to reach its worker: a worker
#: rejects starts that arrive more than 0.4 s after they were sent.
_ORDER_MARGIN: Seconds = 1.0
#: Time over which the share of cold workers that may be used rises to the
#: whole. Work with capacity for it may wait for 3 s, which includes an advice
#: request.
_RAMP_DURATION: Seconds = 2.0


class ZoneGate:
    """Keeps new starts out of evacuated zones.

    Answers an operator who takes a zone away: nothing may be started there once
    a bound after the acknowledgement of the request has passed. The gate closes
    a zone as soon as an evacuation is known. If the operator's records have not
    been read for nearly the bound, any zone may have been evacuated by now, and
    nothing is started until they are read again.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.
    bound : float
        Time after which an evacuation must be in force, seconds; 0 if the
        operator sets none. Without it, outdated records hold nothing.
    """

    def __init__(
        self, clock: Callable[[], Seconds], bound: Seconds = 0
    ) -> None:
        """Start with nothing read and no zone evacuated."""
        self._clock = clock
        self._max_age = (
            max(bound - _ORDER_MARGIN, bound / 2) if bound else math.inf
        )
        self._zones = EvacuatedZones()
        #: Zones that are known to be evacuated. A plain attribute, as each
        #: placement pass looks at it for each worker.
        self.closed: frozenset[ZoneId] = frozenset()
        self._confirmed_at: Seconds = -math.inf

    @property
    def snapshot(self) -> ZoneSnapshot:
        """The newest snapshot known."""
        return self._zones.snapshot

    def apply(self, snapshot: ZoneSnapshot) -> ZoneChanges:
        """Apply a snapshot of this instance or of a peer."""
        changes = self._zones.apply(snapshot, self._clock())
        self.closed = self._zones.snapshot.zones
        return changes

    def confirm(self, read_at: Seconds) -> None:
        """Record that all records written before a time have been applied."""
        self._confirmed_at = max(self._confirmed_at, read_at)

    def is_evacuated(self, zone: ZoneId) -> bool:
        """Whether a zone is known to be evacuated."""
        return zone in self.closed

    @property
    def is_outdated(self) -> bool:
        """Whether any zone may be evacuated by now without being known."""
        if self._max_age == math.inf:
            return False
        return self._clock() - self._confirmed_at > self._max_age

    def may_start_in(self, zone: ZoneId) -> bool:
        """Whether a start on a worker of a zone may be sent now."""
        return not self.is_evacuated(zone) and not self.is_outdated

    def usable_share(self, zone: ZoneId) -> float:
        """Return the share of a cold worker's capacity that may be used.

        Workers of a zone that was taken back may be cold, and are all empty at
        once. The share rises from 0 to 1, so that the work that waits does not
        fill them in one placement pass.
        """
        elapsed = self._zones.time_since_return(zone, self._clock())
        return min(1, elapsed / _RAMP_DURATION)
