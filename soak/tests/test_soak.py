"""A short soak run, and regression runs of seeds that failed before."""

from __future__ import annotations

import pathlib

import pytest

from soak.networks import claim_network
from soak.run import Outcome, run_seed

_SEEDS = pathlib.Path(__file__).parents[1] / 'seeds.txt'
_SHORT_SECONDS = 6
#: Seconds of faults in a regression run; the seed determines the order of the
#: faults, but the timing depends on real processes.
_REGRESSION_SECONDS = 20


def _regression_seeds() -> list[int]:
    lines = _SEEDS.read_text().splitlines()
    return [
        int(line.partition(' ')[0])
        for line in lines
        if line and not line.startswith('#')
    ]


def _check(outcome: Outcome) -> None:
    assert outcome.violations == []
    assert outcome.accepted > 0
    assert sum(outcome.faults.values()) > 0


def test_short_run_has_no_violations() -> None:
    with claim_network() as slot:
        _check(run_seed(7, slot, _SHORT_SECONDS))


@pytest.mark.parametrize('seed', _regression_seeds())
def test_regression_seed_has_no_violations(seed: int) -> None:
    with claim_network() as slot:
        _check(run_seed(seed, slot, _REGRESSION_SECONDS, crashing=False))
