"""A task that crashes each worker that starts it.

Seen: on an archive's cell three quick tasks were started some thirty times
each; each start ended its worker within 10 ms, and quick work beside them was
late or failed. How it came about: a run whose worker was gone was put back
among those that wait, as if it had been cut off from its owner. Cause: only
ends that a worker tells of were counted against a job, and a crashed worker
tells of none. What proved it: the same kind of day played here, in virtual time
around one real owner, starts such a task as often as workers come back, each
time by a decision of its own.
"""

from __future__ import annotations

import pathlib

from testtools import TestCase

from standins.model import CellModel, Outcome
from standins.model.load import read_load

_DAYS = pathlib.Path(__file__).parents[1] / 'model' / 'days'


def _play(day: str, seed: int) -> Outcome:
    return CellModel(read_load(str(_DAYS / f'{day}.toml')), seed).play()


class CrashingTaskTest(TestCase):
    def test_it_is_not_started_for_ever(self) -> None:
        outcome = _play('crashing', seed=1)
        self.assertGreater(outcome.crashes.crashing, 0)
        self.assertEqual(0, outcome.crashes.over_budget)

    def test_no_sound_job_is_given_up_where_workers_crash_anyway(self) -> None:
        """30% of them each 3 s, or two of them again and again."""
        for day in ('crashes_by_chance', 'flapping'):
            crashes = [_play(day, seed).crashes for seed in (1, 2, 3, 4)]
            self.assertGreater(sum(one.lost_beside for one in crashes), 0)
            errors = [one.given_up_in_error for one in crashes]
            self.assertEqual([0, 0, 0, 0], errors)

    def test_both_kinds_of_crashes_are_told_apart(self) -> None:
        crashes = _play('crashes_of_both_kinds', seed=3).crashes
        self.assertGreater(crashes.crashing, 0)
        self.assertEqual(0, crashes.over_budget)
        self.assertEqual(0, crashes.given_up_in_error)
