"""Tests of tasks that crash each worker that starts them.

Guards against unlimited restarts: on an archive's cell three quick tasks were
started some thirty times each, and each start crashed its worker within 10 ms;
quick work colocated with them was late or failed. Only ends that a worker
reports were counted as attempts, and a crashed worker reports none. So a run
whose worker was gone was queued again, as if its worker were just unreachable,
as often as workers restarted.
"""

from __future__ import annotations

import pathlib

from testtools import TestCase

from standins.model import CellModel, Outcome
from standins.model.load import read_load

_DAYS = pathlib.Path(__file__).parents[1] / 'model' / 'days'


def _simulate(day: str, seed: int) -> Outcome:
    return CellModel(read_load(str(_DAYS / f'{day}.toml')), seed).play()


class CrashingTaskTest(TestCase):
    def test_it_is_not_started_forever(self) -> None:
        outcome = _simulate('crashing', seed=1)
        self.assertGreater(outcome.crashes.crashing, 0)
        self.assertEqual(0, outcome.crashes.over_budget)

    def test_no_healthy_job_fails_where_workers_crash_anyway(self) -> None:
        """30% of the workers crash every 3 s, or the same two repeatedly."""
        for day in ('crashes_by_chance', 'flapping'):
            crashes = [_simulate(day, seed).crashes for seed in (1, 2, 3, 4)]
            self.assertGreater(
                sum(one.lost_to_other_crashes for one in crashes), 0
            )
            errors = [one.failed_in_error for one in crashes]
            self.assertEqual([0, 0, 0, 0], errors)

    def test_both_kinds_of_crashes_are_distinguished(self) -> None:
        crashes = _simulate('crashes_of_both_kinds', seed=3).crashes
        self.assertGreater(crashes.crashing, 0)
        self.assertEqual(0, crashes.over_budget)
        self.assertEqual(0, crashes.failed_in_error)
