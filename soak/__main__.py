"""Command line of the soak test."""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor

import fire

from soak.run import Outcome, run_seed


def main(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 20,
    jobs: int = 1,
    logs: str = '',
    per_zone: int = 2,
) -> None:
    """Run `seeds` seeds from `seed` on, `jobs` of them in parallel.

    Each run has `per_zone` processes in each of three zones.
    """
    violations = 0
    with ProcessPoolExecutor(jobs) as pool:
        numbers = range(seed, seed + seeds)
        runs = [
            pool.submit(
                run_seed,
                number,
                1 + index % 200,
                seconds,
                f'{logs}/{number}' if logs else '',
                per_zone=per_zone,
                evacuating=True,
            )
            for index, number in enumerate(numbers)
        ]
        for number, run in zip(numbers, runs, strict=True):
            outcome = run.result()
            violations += len(outcome.violations)
            print(_summary_line(number, outcome), flush=True)
    print(f'{seeds} seeds, {violations} promises broken')
    sys.exit(bool(violations))


def _summary_line(seed: int, outcome: Outcome) -> str:
    text = (
        f'seed {seed}: {outcome.jobs} jobs, {outcome.accepted} accepted, '
        f'{sum(outcome.faults.values())} faults, '
        f'{outcome.lasting} lasting ({outcome.lasting_failures} failed runs, '
        f'away for {outcome.longest_interruption:.1f} s at the most), '
        f'{outcome.gang_failures} failed runs of gangs, '
        f'idle for {outcome.longest_idle:.1f} s at the most, '
        f'{outcome.evacuations} evacuations, '
        f'{outcome.pauses} pauses of the soak itself, '
        f'{len(outcome.violations)} broken'
    )
    return '\n    '.join([text, *outcome.violations[:5]])


if __name__ == '__main__':
    fire.Fire(main)
