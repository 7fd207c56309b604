"""Updates the metrics of a scheduler."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from orchidrail.metrics import SchedulerMetrics
from orchidrail.types import Seconds

if TYPE_CHECKING:
    from orchidrail.scheduler.daemon import SchedulerDaemon
    from orchidrail.wire.transport import TrafficCounter

_REPORT_INTERVAL: Seconds = 2


class MetricsReporter:
    """Copies counts of a daemon into its metrics periodically."""

    def __init__(
        self,
        daemon: SchedulerDaemon,
        traffic: TrafficCounter,
    ) -> None:
        """Create the metrics of a daemon and observe its decisions."""
        self.metrics = SchedulerMetrics(daemon.settings.zone)
        daemon.dispatcher.observe = self.metrics.decision.observe
        self._daemon = daemon
        self._traffic = traffic

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            self.report()
            await asyncio.sleep(_REPORT_INTERVAL)

    def report(self) -> None:
        """Update all metrics once."""
        daemon = self._daemon
        metrics = self.metrics
        shard = daemon.engine.shard
        allocated = shard.capacity - shard.total_free()
        metrics.set_packing(allocated.dominant_share(shard.capacity))
        metrics.set_gauge(metrics.queued, len(daemon.engine.queue))
        metrics.set_gauge(
            metrics.held_workers, len(daemon.keeper.held_by_worker)
        )
        metrics.set_gauge(metrics.bundle_version, daemon.bundle.version)
        connected = daemon.bundle_follower.connected
        metrics.set_gauge(metrics.log_connected, int(connected))
        for name, size in self._traffic.bytes_by_type.items():
            metrics.wire_bytes.labels(name).set(size)
        counts = daemon.invariants.count_by_invariant
        for invariant, count in counts.items():
            metrics.broken_invariants.labels(invariant.value).set(count)
