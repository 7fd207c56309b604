"""Tests of days on which zones are evacuated, in virtual time."""

from __future__ import annotations

import msgspec
from testtools import TestCase

from orchidrail.types import ZoneId
from standins.model import CellLoad, CellModel, QueueLoad
from standins.model.evacuations import Evacuation
from standins.model.load import Draw, Outage

_QUEUE = QueueLoad(
    name='plain',
    per_s=6,
    worth=1,
    priority=1,
    stretch=3,
    target=1,
    tasks=Draw(4, 0.5, 9),
    cores=Draw(6, 0.4, 12),
    megabytes=Draw(4000),
    work=Draw(1, 0.5, 3),
    fails=0.05,
    gang=0.2,
)
_CELL = CellLoad([_QUEUE], workers=15, cores=32, lasts=20)
#: Zones of the model's workers.
_ZONES = [ZoneId(f'zone-{number}') for number in range(5)]


class EvacuationsTest(TestCase):
    def check(self, load: CellLoad) -> None:
        """Check that no start comes late, and that all work ends."""
        for seed in (1, 2):
            model = CellModel(load, seed)
            outcome = model.play()
            self.assertEqual((seed, 0), (seed, outcome.late_in_zone))
            self.assertEqual((0, 0), (outcome.overfull, outcome.doubled))
            self.assertEqual([], model.starvation.starved)
            self.assertEqual({}, model._open_by_id)

    def test_overlapping_evacuations_hold_new_starts(self) -> None:
        self.check(
            msgspec.structs.replace(
                _CELL,
                append_takes=0.3,
                outages=[Outage(at=9, lasts=3, share=0.2)],
                evacuations=[
                    Evacuation(2, 12, _ZONES[0]),
                    Evacuation(3, 9, _ZONES[1], known_after=4),
                ],
            )
        )

    def test_work_waits_while_all_zones_are_evacuated(self) -> None:
        self.check(
            msgspec.structs.replace(
                _CELL,
                evacuations=[Evacuation(4, 8, zone) for zone in _ZONES],
            )
        )

    def test_an_evacuation_known_too_late_is_counted(self) -> None:
        load = msgspec.structs.replace(
            _CELL, evacuations=[Evacuation(2, 4, _ZONES[0], known_after=8)]
        )
        self.assertGreater(CellModel(load, 1).play().late_in_zone, 0)
