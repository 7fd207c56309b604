"""Test of urgent work while long advice calls occupy the few lanes.

Urgent work needs short advice calls, for which some lanes are reserved.
"""

from __future__ import annotations

import msgspec
from testtools import TestCase

from standins.model import CellLoad, CellModel, QueueLoad
from standins.model.load import Draw
from standins.tests.loads import ACCELERATORS, LARGE, SMALL

_SEEDS = (1, 2, 3, 4, 5, 6, 7, 8)
_LARGE = msgspec.structs.replace(LARGE, per_s=1.8)
_SMALL = msgspec.structs.replace(SMALL, per_s=0.9)
_URGENT = QueueLoad(
    name='urgent',
    per_s=3,
    worth=1,
    priority=0,
    stretch=1.5,
    target=0.25,
    tasks=Draw(1),
    cores=Draw(1),
    megabytes=Draw(500),
    work=Draw(0.2, 0.2, 0.5),
    advice=(0.016, 0.0002, 2.0),
    good=0.5,
)


class UrgentBesideLateCallsTest(TestCase):
    def test_most_urgent_work_is_in_time_while_long_calls_are_late(
        self,
    ) -> None:
        """Guards against late long calls that occupy the reserved lanes."""
        load = CellLoad(
            [_LARGE, _SMALL, _URGENT],
            workers=16,
            cores=64,
            megabytes=131_072,
            accelerators=ACCELERATORS,
            rack=3,
            lanes=3,
            lasts=25,
            slow_share=0.3,
        )
        jobs, late = 0, 0
        for seed in _SEEDS:
            outcome = CellModel(load, seed).play().by_queue['urgent']
            jobs += outcome.jobs
            late += outcome.late
        self.assertLessEqual(late, jobs / 10, f'{late} of {jobs}')
