"""Which zones are evacuated, by the newest operator's records known."""

from __future__ import annotations

import math
from typing import NamedTuple

from orchidrail.types import Offset, Seconds, ZoneId

_NOTHING_READ = Offset(0)


class ZoneSnapshot(NamedTuple):
    """Zones that are evacuated at an offset of the operator's records.

    Parameters
    ----------
    offset : int
        End of the records read; orders the snapshots of all instances.
    zones : frozenset of str
    """

    offset: Offset
    zones: frozenset[ZoneId]


class ZoneChanges(NamedTuple):
    """Zones whose evacuation began or ended with a snapshot."""

    evacuated: frozenset[ZoneId] = frozenset()
    returned: frozenset[ZoneId] = frozenset()


class EvacuatedZones:
    """Applies snapshots in the order of their offsets.

    Several zones may be evacuated at once. A snapshot may come from the store
    or from a peer; reads may be stale, so an older one changes nothing.

    Examples
    --------
    >>> zones = EvacuatedZones()
    >>> newer = ZoneSnapshot(Offset(7), frozenset((ZoneId('z-1'),)))
    >>> zones.apply(newer, now=1.0).evacuated
    frozenset({'z-1'})
    >>> zones.apply(ZoneSnapshot(Offset(5), frozenset()), now=2.0)
    ZoneChanges(evacuated=frozenset(), returned=frozenset())
    >>> zones.snapshot.zones
    frozenset({'z-1'})
    """

    def __init__(self) -> None:
        """Start with nothing read and no zone evacuated."""
        self.snapshot = ZoneSnapshot(_NOTHING_READ, frozenset())
        self._returned_at_by_zone: dict[ZoneId, Seconds] = {}

    def apply(self, snapshot: ZoneSnapshot, now: Seconds) -> ZoneChanges:
        """Apply a snapshot unless a newer one is known."""
        if snapshot.offset <= self.snapshot.offset:
            return ZoneChanges()
        evacuated = snapshot.zones - self.snapshot.zones
        returned = self.snapshot.zones - snapshot.zones
        self.snapshot = snapshot
        for zone in evacuated:
            self._returned_at_by_zone.pop(zone, None)
        self._returned_at_by_zone.update(dict.fromkeys(returned, now))
        return ZoneChanges(evacuated, returned)

    def is_evacuated(self, zone: ZoneId) -> bool:
        """Whether a zone is evacuated."""
        return zone in self.snapshot.zones

    def time_since_return(self, zone: ZoneId, now: Seconds) -> Seconds:
        """Return the time since a zone was taken back, seconds.

        Infinite if it has never been evacuated; zero while it is.
        """
        if self.is_evacuated(zone):
            return 0
        return now - self._returned_at_by_zone.get(zone, -math.inf)
