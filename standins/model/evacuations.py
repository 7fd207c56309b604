"""Evacuations of zones on a simulated day, and a check of starts there."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from orchidrail.evacuation import ZoneGate, ZoneSnapshot
from orchidrail.types import Offset, Seconds, ZoneId


class Evacuation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A zone in which nothing may be started for a while.

    Parameters
    ----------
    at, lasts : float
        Seconds from the start of the traffic, and its duration.
    zone : str
    known_after : float
        Seconds until the owner has read the operator's record.
    """

    at: Seconds
    lasts: Seconds
    zone: ZoneId
    known_after: Seconds = 0.01


class ModelEvacuations:
    """Evacuates zones, and counts starts there that are too late.

    Parameters
    ----------
    evacuations : sequence of Evacuation
    bound : float
        Seconds after which an evacuation must be in force.
    """

    def __init__(
        self, evacuations: Sequence[Evacuation], bound: Seconds = 5
    ) -> None:
        """Start with no zone evacuated."""
        self._evacuations = evacuations
        self._bound = bound
        self._since_by_zone: dict[ZoneId, Seconds] = {}
        #: Starts in a zone later than the bound.
        self.late_starts = 0

    async def run(self, gate: ZoneGate, begins_at: Seconds) -> None:
        """Evacuate the zones; traffic begins at a time of the loop."""
        await asyncio.gather(
            *(
                self._run_one(gate, one, begins_at + one.at)
                for one in self._evacuations
            )
        )

    async def _run_one(
        self, gate: ZoneGate, evacuation: Evacuation, begins_at: Seconds
    ) -> None:
        loop = asyncio.get_running_loop()
        zone = evacuation.zone
        await asyncio.sleep(max(0, begins_at - loop.time()))
        self._since_by_zone[zone] = loop.time()
        await asyncio.sleep(evacuation.known_after)
        _apply(gate, gate.snapshot.zones | {zone})
        await asyncio.sleep(evacuation.lasts)
        self._since_by_zone.pop(zone)
        _apply(gate, gate.snapshot.zones - {zone})

    def record_start(self, zone: str) -> None:
        """Check a start on a worker of a zone."""
        since = self._since_by_zone.get(ZoneId(zone))
        if since is None:
            return
        elapsed = asyncio.get_running_loop().time() - since
        self.late_starts += elapsed > self._bound


def _apply(gate: ZoneGate, zones: frozenset[ZoneId]) -> None:
    gate.apply(ZoneSnapshot(Offset(gate.snapshot.offset + 1), zones))
