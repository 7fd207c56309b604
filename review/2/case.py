"""A worker that was cut off has more ends to list than one answer holds.

Exit code 0: TWICE held; 1: it was broken; 2: the case could not run.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys

from review.case import BROKEN, HELD, NOT_RUN, play_case
from review.cell import Cell
from review.record import Record

_WORKERS = 6
_MACHINES = 3
_JOBS = 25
_TASKS = 25
_PHASES: list[dict[str, object]] = [
    {'count': _TASKS, 'cpu': 100, 'memMb': 50, 'estimatedMs': 9000}
]
_WORK_SECONDS = 9.0
_BETWEEN_JOBS = 0.1
#: Dose of `node_cut` with `servers` on the site: a share of 0.17, for 5.5 s.
_CUT_SECONDS = 5.0
_ALL_STARTED_WITHIN = 8.0
_ALL_DONE_WITHIN = 30.0
_ENDS_IN_ONE_ANSWER = 500


def _job(number: int) -> str:
    return f'{number + 1:016x}'


async def _submit_all(cell: Cell) -> bool:
    for number in range(_JOBS):
        status = await cell.submit(_job(number), _PHASES, number % _MACHINES)
        if status != 200:
            return False
        await asyncio.sleep(_BETWEEN_JOBS)
    return True


async def _play(record: Record, trouble: bool) -> int:
    async with Cell(
        record, _WORKERS, _MACHINES, lambda _: _WORK_SECONDS
    ) as cell:
        await asyncio.sleep(2)
        began = record.now()
        if not await _submit_all(cell):
            record.note('a submission was not accepted')
            return NOT_RUN
        while record.now() - began < _ALL_STARTED_WITHIN:
            await asyncio.sleep(0.05)
            if len(record.runs) == _JOBS * _TASKS:
                break
        busiest = max(cell.workers, key=lambda worker: worker.active_runs)
        record.note(
            f'{len(record.runs)} of {_JOBS * _TASKS} tasks begun, '
            f'{busiest.active_runs} on {busiest.name}'
        )
        if busiest.active_runs <= _ENDS_IN_ONE_ANSWER:
            record.note('the tasks do not stand on one worker')
            return NOT_RUN
        first = min(runs[0].started_at for runs in record.runs.values())
        last = max(runs[0].started_at for runs in record.runs.values())
        await asyncio.sleep(first + _WORK_SECONDS - 0.5 - record.now())
        link = cell.links[cell.workers.index(busiest)]
        if trouble:
            link.cut = True
            record.note(f'{busiest.name} is cut off and runs on')
        await asyncio.sleep(_CUT_SECONDS)
        record.note(
            f'{busiest.ends_not_noted} ends not noted on {busiest.name}; '
            f'starts took {last - first:.2f} s'
        )
        link.cut = False
        record.note('the cut is over')
        open_jobs = {_job(number) for number in range(_JOBS)}
        until = record.now() + _ALL_DONE_WITHIN
        while open_jobs and record.now() < until:
            await asyncio.sleep(0.5)
            for job in sorted(open_jobs):
                if await cell.state(job) in {'completed', 'failed'}:
                    open_jobs.discard(job)
        await asyncio.sleep(1)
    breaches = record.find_twice()
    record.note(f'jobs not shown as ended: {len(open_jobs)}')
    record.note(f'TWICE broken {len(breaches)} times')
    for breach in breaches:
        record.note(f'TWICE {breach}')
    return BROKEN if breaches else HELD


if __name__ == '__main__':
    sys.exit(play_case(pathlib.Path(__file__).parent, _play))
