"""A worker that is well gets no work any more after its links lost packets.

Exit code 0: LOST held; 1: it was broken; 2: the case could not run.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
from collections import Counter

from review.case import BROKEN, HELD, play_case
from review.cell import ESTRELA, Cell
from review.record import Record

_WORKERS = 6
_MACHINES = 4
_WORK_SECONDS = 0.64
_PER_SECOND = 40
#: Of the six workers one has this label.
_LABEL = 'r0-0'
_PHASES: list[dict[str, object]] = [
    {
        'count': 1,
        'cpu': 1000,
        'memMb': 256,
        'estimatedMs': 640,
        'requirements': _LABEL,
    }
]
#: `srv_cut` with `some lossy`: three packets in ten, for 5 s, on the links of a
#: share of 0.2 of the workers. Here it is one of six.
_LOSS = 0.3
_LOSS_SECONDS = 5.0
#: It may come more than once.
_TIMES = 3
_PAUSE_SECONDS = 8.0
#: LOST holds at any time if the 3 s and the 4 s before them are calm.
_CALM_SECONDS = 4.0
_IDLE_SECONDS = 3.0


class _Load:
    """Submits jobs and remembers when each was accepted."""

    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self._sent = 0
        self.accepted_at: dict[str, float] = {}
        self.answers: Counter[int] = Counter()

    async def run(self, seconds: float) -> None:
        until = self._cell.record.now() + seconds
        calls = []
        while self._cell.record.now() < until:
            self._sent += 1
            calls.append(asyncio.create_task(self._submit(self._sent)))
            await asyncio.sleep(1 / _PER_SECOND)
        await asyncio.gather(*calls)

    async def _submit(self, number: int) -> None:
        job = f'{number:016x}'
        status = await self._cell.submit(job, _PHASES, number % _MACHINES)
        self.answers[status] += 1
        if status == 200:
            self.accepted_at[job] = self._cell.record.now()


def _find_waiting(record: Record, load: _Load, calm_since: float) -> list[str]:
    """Return the jobs that had nothing running for too long in the calm."""
    now = record.now()
    found = []
    for job, accepted_at in load.accepted_at.items():
        runs = record.started(job)
        since = max(accepted_at, calm_since + _CALM_SECONDS)
        begun_at = min((run.started_at for run in runs), default=None)
        waited = (now if begun_at is None else begun_at) - since
        if waited > _IDLE_SECONDS:
            begun = 'never' if begun_at is None else f'at {begun_at:.3f}'
            found.append(
                f'{job}: accepted at {accepted_at:.3f}, first start {begun}'
            )
    return found


async def _play(record: Record, trouble: bool) -> int:
    async with Cell(
        record, _WORKERS, _MACHINES, lambda _: _WORK_SECONDS, ESTRELA
    ) as cell:
        await asyncio.sleep(2)
        load = _Load(cell)
        labelled = cell.workers[0]
        await load.run(3)
        calm_since = record.now()
        for _ in range(_TIMES):
            if trouble:
                cell.links[0].loss = _LOSS
                record.note(f'links to {labelled.name} lose packets')
            await load.run(_LOSS_SECONDS)
            cell.links[0].loss = 0
            record.note('no more loss')
            calm_since = record.now()
            await load.run(_PAUSE_SECONDS)
        await asyncio.sleep(_IDLE_SECONDS + 1)
        record.note(
            f'{labelled.active_runs} tasks run on {labelled.name}, '
            f'{labelled.ends_not_noted} ends not noted'
        )
        breaches = _find_waiting(record, load, calm_since)
        waiting = [job for job in load.accepted_at if not record.started(job)]
        for job in waiting[:3]:
            await cell.state(job)
        stops = Counter(
            line.split(None, 1)[1] for line in record.lines if ' stop ' in line
        )
        record.note(f'answers to submissions {dict(load.answers)}')
        record.note(f'most repeated stops {stops.most_common(3)}')
    record.note(f'LOST broken for {len(breaches)} jobs')
    for breach in breaches:
        record.note(f'LOST {breach}')
    return BROKEN if breaches else HELD


if __name__ == '__main__':
    sys.exit(play_case(pathlib.Path(__file__).parent, _play))
