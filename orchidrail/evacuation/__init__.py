"""Evacuation of availability zones: which zones get no new work, and when."""

from orchidrail.evacuation.follower import EvacuationFollower
from orchidrail.evacuation.gate import ZoneGate
from orchidrail.evacuation.warmup import cold_slots
from orchidrail.evacuation.zones import (
    EvacuatedZones,
    ZoneChanges,
    ZoneSnapshot,
)

__all__ = [
    'EvacuatedZones',
    'EvacuationFollower',
    'ZoneChanges',
    'ZoneGate',
    'ZoneSnapshot',
    'cold_slots',
]
