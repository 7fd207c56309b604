"""One large job whose record is more than the store takes in one piece.

Exit code 0: LOST held; 1: it was broken; 2: the case could not run.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys

from review.case import BROKEN, HELD, NOT_RUN, play_case
from review.cell import Cell
from review.record import Record

_WORKERS = 24
_MACHINES = 3
_WORK_SECONDS = 3.0
_LARGE_JOB = 'f' * 16
_LARGE_COUNT = 12_000
#: Together 1,200 of the 1,536 cores.
_LARGE: list[dict[str, object]] = [
    {'count': _LARGE_COUNT, 'cpu': 100, 'memMb': 50, 'estimatedMs': 3000}
]
_USUAL: list[dict[str, object]] = [
    {'count': 4, 'cpu': 500, 'memMb': 256, 'estimatedMs': 3000},
    {
        'count': 4,
        'cpu': 500,
        'memMb': 256,
        'estimatedMs': 3000,
        'afterRevision': [0],
    },
]
_USUAL_JOBS = 6
#: LOST: a job has nothing running for 3 s, while a task's turn has come.
_IDLE_SECONDS = 3.0
#: The sheet's retries of a client, and the `Retry-After` of a refusal.
_CLIENT_TRIES = 5
_RETRY_SECONDS = 1.0
_WATCH_SECONDS = 30.0
_LOOKS_BETWEEN_JOBS = 20
_TICK = 0.1
#: Tasks of 0.5 cores that take up half of the service's 1,536 cores.
_HALF_OF_CAPACITY = 1536


def _job(number: int) -> str:
    return f'{number + 1:016x}'


def _next_step(record: Record, job: str, steps: int) -> int | None:
    """Return the step whose turn has come, None after the last one."""
    for step in range(steps):
        done = {
            run.task
            for run in record.started(job)
            if run.ending == 'done' and run.task.startswith(f'{job}.0.{step}.')
        }
        count = _LARGE_COUNT if job == _LARGE_JOB else 4
        if len(done) < count:
            return step
    return None


class _Watch:
    """Looks for accepted jobs of which nothing runs though it could."""

    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self._idle_since: dict[str, float] = {}
        self.breaches: list[str] = []

    def look(self, jobs: dict[str, int]) -> None:
        record = self._cell.record
        now = record.now()
        active = sum(worker.active_runs for worker in self._cell.workers)
        for job, steps in jobs.items():
            step = _next_step(record, job, steps)
            if step is None or record.running(job):
                self._idle_since.pop(job, None)
                continue
            since = self._idle_since.setdefault(job, now)
            known = any(job in breach for breach in self.breaches)
            idle = now - since > _IDLE_SECONDS and active < _HALF_OF_CAPACITY
            if idle and not known:
                self.breaches.append(
                    f'{job}: nothing runs since {since:.3f}, step {step} could;'
                    f' {active} tasks run on all workers'
                )


async def _play(record: Record, trouble: bool) -> int:
    async with Cell(
        record, _WORKERS, _MACHINES, lambda _: _WORK_SECONDS
    ) as cell:
        await asyncio.sleep(2)
        watch = _Watch(cell)
        accepted: dict[str, int] = {}
        for number in range(_USUAL_JOBS):
            job = _job(number)
            if await cell.submit(job, _USUAL, number % _MACHINES) != 200:
                record.note('a job was not accepted in the calm')
                return NOT_RUN
            accepted[job] = len(_USUAL)
        await asyncio.sleep(1)
        if trouble:
            for _ in range(_CLIENT_TRIES):
                status = await cell.submit(_LARGE_JOB, _LARGE, 1)
                if status == 200:
                    accepted[_LARGE_JOB] = 1
                    break
                await asyncio.sleep(_RETRY_SECONDS)
        until = record.now() + _WATCH_SECONDS
        later = _USUAL_JOBS
        while record.now() < until:
            for _ in range(_LOOKS_BETWEEN_JOBS):
                await asyncio.sleep(_TICK)
                watch.look(accepted)
            await cell.submit(_job(later), _USUAL, later % _MACHINES)
            later += 1
        answers = {job: await cell.state(job) for job in accepted}
        record.note(f'states {answers}')
        record.note(
            f'store refused {cell.store.refused_appends} appends, largest '
            f'record {cell.store.largest_refused} bytes'
        )
    record.note(f'LOST broken {len(watch.breaches)} times')
    for breach in watch.breaches:
        record.note(f'LOST {breach}')
    return BROKEN if watch.breaches else HELD


if __name__ == '__main__':
    sys.exit(play_case(pathlib.Path(__file__).parent, _play))
