"""After a takeover, jobs that haven't begun are missing from `pending`."""

from __future__ import annotations

import asyncio
import pathlib

from review.parts_2.case import run
from review.parts_2.cell import Cell, Machine, job_id, one_step
from review.parts_2.record import Record

#: One of them is lost: `srv_crash` strikes up to 0.14 of a service's workers.
_WORKERS = 8
_JOBS = 32
#: A quarter of a worker, so that the jobs take all of them.
_CPU = 16_000
_TASK_SECONDS = 25.0
#: Seconds from the loss of the worker to the death of the owner.
_KILL_AFTER = 1.0
#: `visible_ms` + 2 s, after which a job that hasn't begun must be counted, and
#: `contactTimeoutMs`.
_VISIBLE_SECONDS = 5.0
_CONTACT_SECONDS = 3.0
_LOOKS = 3
#: A count may be 2 s old.
_LOOK_INTERVAL = 1.0


async def case(record: Record, trouble: bool) -> str:
    """Return how the rule was broken, empty if it held."""
    async with Cell(record, workers=_WORKERS) as cell:
        owner = await cell.owner()
        if trouble:
            # Lost for good, and silent.
            cell.workers[0].set_cut(cut=True)
        accepted = await _submit_all(cell)
        accepted_at = record.now
        if trouble:
            await asyncio.sleep(_KILL_AFTER)
            await owner.kill()
            await owner.restart()
        settled_at = max(
            accepted_at + _VISIBLE_SECONDS, record.now + _CONTACT_SECONDS
        )
        await asyncio.sleep(settled_at - record.now)
        others = [one for one in cell.machines if one is not owner]
        return await _compare(cell, others, accepted)


async def _submit_all(cell: Cell) -> list[str]:
    names = [job_id() for _ in range(_JOBS)]
    cell.durations.update(dict.fromkeys(names, _TASK_SECONDS))
    body = one_step(cpu=_CPU, estimated_ms=int(_TASK_SECONDS * 1000))
    statuses = await asyncio.gather(
        *(
            cell.submit(name, body, cell.machines[number % 3])
            for number, name in enumerate(names)
        )
    )
    pairs = zip(names, statuses, strict=True)
    return [name for name, status in pairs if status // 100 == 2]


async def _compare(
    cell: Cell, machines: list[Machine], accepted: list[str]
) -> str:
    """Compare what machines list with what the workers have begun."""
    short: list[str] = []
    for _ in range(_LOOKS):
        for machine in machines:
            status, text = await cell.get('', machine)
            not_begun = [
                one for one in accepted if one not in cell.activity.began_at
            ]
            cell.record.write(
                'look',
                machine=machine.name,
                status=status,
                listed=text,
                not_begun=len(not_begun),
            )
            listed = int(text.rpartition(':')[2].strip(' }') or 0)
            if status == 200 and listed < len(not_begun) / 2:
                short.append(f'{listed} of {len(not_begun)}')
        await asyncio.sleep(_LOOK_INTERVAL)
    if len(short) == _LOOKS * len(machines):
        return f'MIXED: {short[-1]} waiting jobs listed, each time'
    return ''


if __name__ == '__main__':
    run(case, pathlib.Path(__file__).parent)
