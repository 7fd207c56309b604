"""Test that tasks do not starve while there is free capacity.

Guards against a task of a whole worker, one of three in a step without a gang,
that failed twice and was not started a third time in 9.3 s, though most of the
capacity of its service was free. It takes steps of whole workers, few of which
are permitted, and jobs that always fail and have many attempts.
"""

from __future__ import annotations

from testtools import TestCase

from standins.model import CellLoad, CellModel
from standins.tests.loads import ACCELERATORS, LARGE, SMALL

_SEEDS = (17, 23, 107, 112)


class StarvationTest(TestCase):
    def test_tasks_of_whole_workers_start_while_half_the_capacity_is_free(
        self,
    ) -> None:
        """Guards against tasks starved by others that fail repeatedly."""
        load = CellLoad(
            [LARGE, SMALL],
            workers=8,
            cores=64,
            megabytes=131_072,
            accelerators=ACCELERATORS,
            rack=3,
            lanes=9,
            lasts=25,
            slow_share=0.3,
        )
        for seed in _SEEDS:
            model = CellModel(load, seed)
            outcome = model.play()
            self.assertEqual((seed, []), (seed, model.starvation.starved))
            self.assertEqual((0, 0), (outcome.overfull, outcome.doubled))
