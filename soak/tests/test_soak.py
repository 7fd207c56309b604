"""A short soak run, and regression runs of seeds that failed before."""

from __future__ import annotations

import pathlib

from testtools import TestCase

from soak.run import Outcome, run_seed

_SEEDS = pathlib.Path(__file__).parents[1] / 'seeds.txt'
_SHORT_SECONDS = 6
#: Seconds of faults in a regression run; the seed determines the order of the
#: faults, but the timing depends on real processes.
_REGRESSION_SECONDS = 20
#: Loopback networks that the command line doesn't use.
_SLOT, _OTHER_SLOT = 201, 202


def _regression_seeds() -> list[int]:
    lines = _SEEDS.read_text().splitlines()
    return [
        int(line.partition(' ')[0])
        for line in lines
        if line and not line.startswith('#')
    ]


class SoakTest(TestCase):
    def check(self, outcome: Outcome) -> None:
        self.assertEqual([], outcome.violations)
        self.assertGreater(outcome.accepted, 0)
        self.assertGreater(sum(outcome.faults.values()), 0)

    def test_short_run_has_no_violations(self) -> None:
        self.check(run_seed(7, _SLOT, _SHORT_SECONDS))

    def test_regression_seeds_have_no_violations(self) -> None:
        for seed in _regression_seeds():
            with self.subTest(seed=seed):
                outcome = run_seed(
                    seed, _OTHER_SLOT, _REGRESSION_SECONDS, crashing=False
                )
                self.check(outcome)
