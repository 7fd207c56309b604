"""``make prove``: randomised runs, counted by promise.

Ends with 1 on a violation, and prints the seed that repeats it. With a break
it ends with 1 unless the broken promise's check has caught the break.
"""

from __future__ import annotations

import itertools
import logging
import os
import statistics
import sys
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack

import fire
import structlog

from proving.breaks import BREAKS
from proving.faults import FAULTS, PLANNED
from proving.judges import PROMISES
from proving.run import Verdicts, run_seed

#: One run in so many has planned stops alone.
_PLANNED_EVERY = 4
_SHOWN = 5
_MAX_PROCESSES = 6


def run_one(seed: int, broken: str) -> Verdicts:
    """Run one seed in this process."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
    )
    planned = seed % _PLANNED_EVERY == 0 or broken == 'P7'
    with ExitStack() as stack:
        if broken:
            BREAKS[broken](stack)
        return run_seed(seed, PLANNED if planned else FAULTS)


class Summary:
    """Counts over many runs."""

    def __init__(self) -> None:
        self.runs = 0
        self.faults: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()
        self.asked = 0
        self.ran = 0
        self._roll_outs: list[float] = []
        self._take_overs: list[float] = []

    def add(self, verdicts: Verdicts) -> None:
        """Count one run; tell of its violations."""
        self.runs += 1
        self.faults += verdicts.faults
        self.asked += verdicts.asked
        self.ran += verdicts.ran
        self._roll_outs.extend(verdicts.roll_outs)
        self._take_overs.extend(verdicts.take_overs)
        for promise, problems in verdicts.problems.items():
            self.violations[promise] += len(problems)
            for problem in problems[:_SHOWN]:
                _say(f'seed {verdicts.seed}: {promise}: {problem}')

    def tell(self) -> None:
        """Print the counts."""
        for name, count in sorted(self.faults.items()):
            _say(f'fault {name}: {count} times')
        _say(f'requests and jobs: {self.asked}; replies RAN: {self.ran}')
        _say(f'roll-out, unhindered time: {_quantiles(self._roll_outs)}')
        _say(f'workers without a holder: {_quantiles(self._take_overs)}')
        faults = self.faults.total()
        for promise in PROMISES:
            _say(
                f'{promise}: {self.runs} runs, {faults} faults, '
                f'{self.violations[promise]} violations',
            )


def prove(
    seconds: float = 60,
    seed: int = 1,
    broken: str = '',
    runs: int = 0,
) -> None:
    """Run seeds for some seconds, or a number of them.

    Parameters
    ----------
    seconds : float
        Real time to spend.
    seed : int
        The first seed.
    broken : str
        Promise whose mechanism is switched off, such as ``P2``.
    runs : int
        How many seeds; until the time is over if 0.
    """
    summary = Summary()
    end = time.monotonic() + seconds
    processes = min(_MAX_PROCESSES, max(1, (os.cpu_count() or 2) - 2))
    seeds = itertools.count(seed) if not runs else range(seed, seed + runs)
    with ProcessPoolExecutor(processes) as pool:
        for batch in _batches(seeds, processes):
            for verdicts in pool.map(run_one, batch, [broken] * len(batch)):
                summary.add(verdicts)
            caught = broken and summary.violations[broken]
            if time.monotonic() >= end or caught:
                break
    summary.tell()
    sys.exit(_exit_code(summary, broken))


def _batches(seeds: Iterable[int], size: int) -> Iterator[list[int]]:
    remaining = iter(seeds)
    while batch := list(itertools.islice(remaining, size)):
        yield batch


def _exit_code(summary: Summary, broken: str) -> int:
    if broken:
        caught = summary.violations[broken]
        _say(f'break {broken}: caught {caught} times')
        return int(not caught)
    return int(bool(summary.violations.total()))


def _quantiles(sample: list[float]) -> str:
    if not sample:
        return 'none'
    ordered = sorted(sample)
    high = ordered[int(len(ordered) * 0.99)]
    return (
        f'{len(ordered)} samples, p50 {statistics.median(ordered):.2f} s, '
        f'p99 {high:.2f} s, most {ordered[-1]:.2f} s'
    )


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    fire.Fire(prove)
