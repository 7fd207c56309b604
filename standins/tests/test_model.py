"""Tests of loads that overloaded a large cell, in virtual time.

The users' cell has 270 workers, 97 instances that call the advice service, and
advice calls of at least 0.6 s; sizes are scaled down for the tests.
"""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile

import msgspec
from testtools import TestCase

from standins.model import CellLoad, CellModel, Outcome, QueueLoad, Surge
from standins.model.load import Draw, Outage, Shrinkage

_URGENT = QueueLoad(
    name='urgent',
    per_s=6,
    worth=1,
    priority=0,
    stretch=1.5,
    target=0.25,
    tasks=Draw(3, 0.8, 12),
    cores=Draw(16, 0.45, 47),
    megabytes=Draw(8000),
    work=Draw(0.8, 0.5, 2),
    estimate_off=0.5,
    advice=(0.016, 0.00023, 1.5),
    good=0.7,
)
_WIDE = QueueLoad(
    name='wide',
    per_s=0.3,
    worth=9,
    priority=1,
    stretch=2.2,
    target=1,
    tasks=Draw(20, 0.8, 60),
    cores=Draw(18, 0.4, 30),
    megabytes=Draw(8000),
    work=Draw(6.2, 0.5, 16),
    fails=0.05,
    estimate_off=0.5,
    advice=(0.6, 0.0086, 1.5),
    good=0.25,
)
_SMALL_DAY = """
workers = 4
lasts = 2
[[queues]]
name = "quick"
per_s = 4
worth = 1
priority = 0
stretch = 2
target = 0.5
tasks = { mean = 2 }
cores = { mean = 4 }
megabytes = { mean = 1000 }
work = { mean = 0.3 }
"""
#: Timeout for two short days, each in a separate process, seconds.
_LONGEST = 60
_CELL = CellLoad([_URGENT, _WIDE], workers=40, lanes=14, lasts=15)


def _simulate(load: CellLoad, seed: int = 1) -> Outcome:
    return CellModel(load, seed).play()


class ModelTest(TestCase):
    def test_a_day_repeats_for_its_seed(self) -> None:
        load = msgspec.structs.replace(_CELL, lasts=4)
        first, again = _simulate(load), _simulate(load)
        self.assertEqual(
            first._replace(processor_s=0),
            again._replace(processor_s=0),
        )

    def test_no_guarantee_is_violated_beside_unresponsive_workers(self) -> None:
        load = msgspec.structs.replace(
            _CELL,
            outages=[Outage(at=4, lasts=3, share=0.2)],
        )
        outcome = _simulate(load)
        self.assertEqual((0, 0), (outcome.overfull, outcome.doubled))

    def test_no_worker_is_overfilled_whose_capacity_shrinks(self) -> None:
        load = msgspec.structs.replace(
            _CELL,
            shrinkages=[Shrinkage(at=3, lasts=8, share=0.5, left=0.4)],
        )
        self.assertEqual(0, _simulate(load).overfull)


class ExperimentTest(TestCase):
    def test_the_command_prints_a_row_for_each_seed(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'calm.toml'
            path.write_text(_SMALL_DAY)
            ran = subprocess.run(
                [sys.executable, '-m', 'standins.model', path, '--seeds', '2'],
                capture_output=True,
                text=True,
                timeout=_LONGEST,
                check=True,
            )
        self.assertEqual(2, ran.stdout.count('calm.toml'))
        self.assertIn('mean worth', ran.stdout)


class LargeCellTest(TestCase):
    def test_wide_steps_and_urgent_tasks_share_a_cell_near_its_limit(
        self,
    ) -> None:
        """Permitted workers of wide steps are full, others have capacity."""
        outcome = _simulate(_CELL)
        self.assertGreater(outcome.by_queue['urgent'].worth, 0.95)
        self.assertGreater(outcome.by_queue['wide'].worth, 0.8)

    def test_a_burst_of_urgent_tasks_meets_a_cell_filled_by_long_work(
        self,
    ) -> None:
        load = msgspec.structs.replace(
            _CELL,
            surges=[Surge('urgent', 6, 4, 2)],
        )
        outcome = _simulate(load)
        self.assertGreater(outcome.by_queue['urgent'].worth, 0.9)

    def test_late_work_does_not_starve_what_can_be_in_time(self) -> None:
        """Work exceeds the capacity by far; urgent work must stay in time."""
        load = msgspec.structs.replace(
            _CELL,
            surges=[Surge('wide', 0, 15, 3)],
        )
        outcome = _simulate(load)
        self.assertGreater(outcome.by_queue['urgent'].worth, 0.9)
        self.assertGreater(outcome.by_queue['wide'].worth, 0.25)
