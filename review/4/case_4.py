"""A task of a draining worker that is cut off runs twice after a takeover."""

from __future__ import annotations

import asyncio
import pathlib

from review.parts_2.case import run
from review.parts_2.cell import Cell, job_id, one_step
from review.parts_2.record import Record
from review.parts_2.worker import Worker

_TASK_SECONDS = 20.0
#: The worker drains for long, as the pages say that it may.
_REMAINING_MS = 12_000
_CUT_AFTER = 0.4
#: Seconds from the cut to the planned stop of the owner, and to its end.
_STOP_AFTER = 2.6
_CUT_SECONDS = 5.5


async def case(record: Record, trouble: bool) -> str:
    """Return how the rule was broken, empty if it held."""
    async with Cell(record, workers=8) as cell:
        name = job_id()
        cell.durations[name] = _TASK_SECONDS
        body = one_step(estimated_ms=int(_TASK_SECONDS * 1000))
        await cell.submit(name, body, cell.machines[0])
        await asyncio.sleep(1)
        [worker] = _running(cell, name)
        owner = await cell.owner()
        worker.drain(_REMAINING_MS)
        await asyncio.sleep(_CUT_AFTER)
        if trouble:
            worker.set_cut(cut=True)
        cut_at = record.now
        await asyncio.sleep(_STOP_AFTER)
        # Planned work, which is no trouble by itself.
        restarting = asyncio.create_task(owner.stop_and_restart())
        twice = ''
        while record.now < cut_at + _CUT_SECONDS:
            workers = _running(cell, name)
            if len(workers) > 1 and not twice:
                twice = ' and '.join(one.name for one in workers)
                record.write('two runs at once', workers=twice)
            await asyncio.sleep(0.02)
        if trouble:
            worker.set_cut(cut=False)
        await restarting
        await asyncio.sleep(3)
        return f'TWICE: on {twice} at once' if twice else ''


def _running(cell: Cell, name: str) -> list[Worker]:
    """Return the workers that run the task of a job."""
    return [
        worker
        for worker in cell.workers
        if any(task.startswith(name) for task, _ in worker.run_by_key)
    ]


if __name__ == '__main__':
    run(case, pathlib.Path(__file__).parent)
