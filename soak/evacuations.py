"""Simulated evacuations of availability zones by the operator."""

from __future__ import annotations

import asyncio
import time
from random import Random

from soak.ledger import Ledger
from soak.store import StoreStandIn

#: Seconds after its acknowledgement from which an evacuation is in force.
_BOUND = 5.0
#: Seconds between two evacuations, and for which one lasts.
_INTERVAL = (0.5, 1.5)
_DURATION = (6.0, 12.0)


class Evacuations:
    """Evacuates zones at random and checks starts against that.

    Parameters
    ----------
    store : StoreStandIn
        Acknowledges each record as soon as it is written.
    ledger : Ledger
    zones : list of str
    random : Random, optional
        None if no zone is evacuated.
    """

    def __init__(
        self,
        store: StoreStandIn,
        ledger: Ledger,
        zones: list[str],
        random: Random | None,
    ) -> None:
        """Start with no zone evacuated."""
        self._store = store
        self._ledger = ledger
        self._zones = zones
        self._random = random
        #: Times of the monotonic clock.
        self._acknowledged_at_by_zone: dict[str, float] = {}
        #: Number of zones that were evacuated so far.
        self.count = 0

    async def run(self, until: float) -> None:
        """Evacuate zones until a monotonic time, then take all back."""
        random = self._random
        running: list[asyncio.Task[None]] = []
        while random is not None and time.monotonic() < until:
            zone = random.choice(self._zones)
            if zone not in self._acknowledged_at_by_zone:
                duration = random.uniform(*_DURATION)
                left = until - time.monotonic()
                evacuation = self._evacuate_for(zone, min(duration, left))
                running.append(asyncio.create_task(evacuation))
            await asyncio.sleep(random.uniform(*_INTERVAL))
        await asyncio.gather(*running)

    async def _evacuate_for(self, zone: str, seconds: float) -> None:
        self.evacuate(zone)
        await asyncio.sleep(seconds)
        self.take_back(zone)

    def evacuate(self, zone: str) -> None:
        """Write the record of an evacuation."""
        self.count += 1
        self._store.put('keyed.op', f'evacuate/{zone}', b'{}')
        self._acknowledged_at_by_zone[zone] = time.monotonic()

    def take_back(self, zone: str) -> None:
        """Remove the record of an evacuation."""
        self._acknowledged_at_by_zone.pop(zone)
        self._store.put('keyed.op', f'evacuate/{zone}', b'')

    def record_start(self, task: str, zone: str) -> None:
        """Check the start of a task on a worker of a zone."""
        since = self._acknowledged_at_by_zone.get(zone)
        if since is None:
            return
        late_by = time.monotonic() - since - _BOUND
        if late_by > 0:
            self._ledger.report_violation(
                'EVAC',
                f'{task} started in {zone}, {late_by:.1f} s past the bound',
            )
