"""Test of advice requests with few lanes.

With two instances left, no advice was requested for some steps for 20 s, though
a lane was idle and most workers were free.
"""

from __future__ import annotations

from testtools import TestCase

from standins.model import CellLoad, CellModel, QueueLoad
from standins.model.load import Draw

_SEEDS = (1, 4, 6)
#: Its advice calls take at least 0.56 s, so they need more than one lane.
_LONG = QueueLoad(
    name='long',
    per_s=2,
    worth=1,
    priority=1,
    stretch=4,
    target=3,
    tasks=Draw(3, 0.5, 9),
    cores=Draw(1),
    megabytes=Draw(500),
    work=Draw(1, 0.5, 4),
    fails=0.01,
    estimate_off=0.2,
    advice=(0.49, 0.007, 2.0),
    good=0.5,
)
#: Its advice calls take 0.02 s.
_SHORT = QueueLoad(
    name='short',
    per_s=4,
    worth=1,
    priority=0,
    stretch=1.5,
    target=0.25,
    tasks=Draw(3, 0.5, 9),
    cores=Draw(1),
    megabytes=Draw(500),
    work=Draw(0.5, 0.5, 2),
    estimate_off=0.2,
    advice=(0.013, 0.0002, 2.0),
    good=0.7,
)


class FewLanesTest(TestCase):
    def test_long_calls_may_use_all_of_two_lanes(self) -> None:
        """Guards against a lane kept idle while late advice requests wait."""
        load = CellLoad([_LONG, _SHORT], workers=20, lanes=2, lasts=20)
        for seed in _SEEDS:
            model = CellModel(load, seed)
            model.play()
            self.assertEqual((seed, []), (seed, model.starvation.starved))
