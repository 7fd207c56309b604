"""Runs simulated days in parallel and prints a table of the outcomes."""

from __future__ import annotations

import multiprocessing
import statistics

from rich.console import Console
from rich.table import Table

from standins.model.cell import CellModel
from standins.model.evaluation import CrashOutcome, Outcome
from standins.model.load import read_load

#: Width of the printed table, characters.
_WIDTH = 160


def _simulate(day: tuple[str, int]) -> Outcome:
    path, seed = day
    return CellModel(read_load(path), seed).play()


def experiment(
    *files: str,
    seeds: int = 3,
    first: int = 1,
    jobs: int = 2,
) -> None:
    """Simulate the day of each file once for each seed.

    Parameters
    ----------
    files : str
        Paths of TOML files that describe a day each.
    seeds, first : int
        Number of seeds, and the first one.
    jobs : int
        Number of days simulated in parallel.
    """
    days = [
        (path, seed) for path in files for seed in range(first, first + seeds)
    ]
    with multiprocessing.get_context('spawn').Pool(jobs) as pool:
        outcomes = pool.map(_simulate, days, chunksize=1)
    Console(width=_WIDTH).print(_table(days, outcomes))


def _table(days: list[tuple[str, int]], outcomes: list[Outcome]) -> Table:
    table = Table(
        'day',
        'seed',
        'worth',
        'by queue',
        'busy',
        'idle',
        'violations',
        'crashes',
        'cpu s',
    )
    for (path, seed), one in zip(days, outcomes, strict=True):
        queues = [
            f'{name} {queue.worth} ({queue.late}/{queue.jobs} late, '
            f'{queue.failed} failed, x{queue.median_lateness})'
            for name, queue in one.by_queue.items()
        ]
        table.add_row(
            path.rpartition('/')[2],
            str(seed),
            str(one.worth),
            '\n'.join(queues),
            str(one.busy_share),
            str(one.idle_waiting_share),
            f'{one.overfull}+{one.doubled}+{one.refused_tickets}, '
            f'{one.left_waiting} left waiting, {one.alone} alone, '
            f'{one.refused} refused',
            _show_crashes(one.crashes),
            str(one.processor_s),
        )
    mean = statistics.fmean(one.worth for one in outcomes)
    table.caption = f'mean worth {mean:.4f}'
    return table


def _show_crashes(crashes: CrashOutcome) -> str:
    return (
        f'{crashes.crashing} crashing, most {crashes.most_crashes}, '
        f'{crashes.over_budget} over budget\n'
        f'{crashes.failed_in_error} failed in error, '
        f'{crashes.lost_to_other_crashes} lost to other crashes'
    )
