"""Feeds a zone gate from the operator's records and from peers."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import structlog

from orchidrail.evacuation.gate import ZoneGate
from orchidrail.evacuation.zones import ZoneSnapshot
from orchidrail.metrics import InstanceMetrics
from orchidrail.types import Offset, Seconds, ZoneId

_log = structlog.get_logger()


class EvacuationFollower:
    """Applies snapshots to a gate, and reports the changes.

    Parameters
    ----------
    gate : ZoneGate
    find_zones : callable
        Returns the evacuated zones by the operator's records.
    metrics : InstanceMetrics
    """

    def __init__(
        self,
        gate: ZoneGate,
        find_zones: Callable[[Mapping[str, bytes]], frozenset[ZoneId]],
        metrics: InstanceMetrics,
    ) -> None:
        """Store the dependencies."""
        self.gate = gate
        self._find_zones = find_zones
        self._metrics = metrics

    def on_read(
        self, value_by_key: Mapping[str, bytes], end: Offset, read_at: Seconds
    ) -> None:
        """Apply the operator's records of a read that began at `read_at`."""
        zones = self._find_zones(value_by_key)
        self._apply(ZoneSnapshot(end, zones), 'store')
        self.gate.confirm(read_at)

    def on_peer(self, end: int, zones: Iterable[str]) -> None:
        """Apply what a peer has read of the operator's records."""
        known = frozenset(ZoneId(zone) for zone in zones)
        self._apply(ZoneSnapshot(Offset(end), known), 'peer')

    def _apply(self, snapshot: ZoneSnapshot, source: str) -> None:
        changes = self.gate.apply(snapshot)
        self._metrics.evacuation.zones.set(len(self.gate.snapshot.zones))
        for zone in sorted(changes.evacuated):
            _log.info('zone evacuated', evacuated=zone, source=source)
        for zone in sorted(changes.returned):
            _log.info('zone taken back', evacuated=zone, source=source)
