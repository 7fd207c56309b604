"""A short run of the soak, and the seeds that once failed."""

from __future__ import annotations

import pathlib

from testtools import TestCase

from soak.run import Outcome, play

_SEEDS = pathlib.Path(__file__).parents[1] / 'seeds.txt'
_SHORT = 6
#: Seconds of faults of a seed that once failed; the seed gives their order,
#: real processes their timing.
_AGAIN = 20
#: Loopback networks that runs by hand don't use.
_SLOT, _OTHER_SLOT = 201, 202


def _failed_seeds() -> list[int]:
    lines = _SEEDS.read_text().splitlines()
    return [
        int(line.partition(' ')[0])
        for line in lines
        if line and not line.startswith('#')
    ]


class SoakTest(TestCase):
    def check(self, outcome: Outcome) -> None:
        self.assertEqual([], outcome.broken)
        self.assertGreater(outcome.accepted, 0)
        self.assertGreater(sum(outcome.faults.values()), 0)

    def test_a_short_run_breaks_no_promise(self) -> None:
        self.check(play(7, _SLOT, _SHORT))

    def test_seeds_that_once_failed_break_no_promise(self) -> None:
        for seed in _failed_seeds():
            with self.subTest(seed=seed):
                outcome = play(seed, _OTHER_SLOT, _AGAIN, crashing=False)
                self.check(outcome)
