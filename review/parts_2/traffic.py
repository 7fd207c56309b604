"""Ordinary jobs of a case, and whether they were kept."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from review.parts_2.cell import Cell, Machine, chain, job_id

_WORK_SECONDS = 0.2
_STEP_SECONDS = 1.0
_JOB_INTERVAL = 0.5
_DEADLINE_MS = 3000
#: `finish_s`, in which each accepted job has to be answered.
_FINISH_SECONDS = 14.0
#: LOST: nothing runs for 3 s after 4 calm s, while there is room.
CALM_SECONDS, IDLE_SECONDS = 4.0, 3.0


class Sent(NamedTuple):
    """A job that was accepted."""

    job_id: str
    accepted_at: float


async def send_ordinary(cell: Cell, seconds: float) -> list[Sent]:
    """Submit small jobs for some seconds; return those accepted."""
    accepted: list[Sent] = []
    calls = []
    ends_at = cell.record.now + seconds
    number = 0
    while cell.record.now < ends_at:
        machine = cell.machines[number % len(cell.machines)]
        calls.append(asyncio.create_task(_submit(cell, machine, accepted)))
        number += 1
        await asyncio.sleep(_JOB_INTERVAL)
    await asyncio.gather(*calls)
    return accepted


async def send_chains(cell: Cell, count: int, steps: int) -> list[Sent]:
    """Submit jobs whose steps of a second run one after the other."""
    accepted: list[Sent] = []
    for number in range(count):
        machine = cell.machines[number % len(cell.machines)]
        await _submit(cell, machine, accepted, steps, _STEP_SECONDS)
    return accepted


async def _submit(
    cell: Cell,
    machine: Machine,
    accepted: list[Sent],
    steps: int = 1,
    seconds: float = _WORK_SECONDS,
) -> None:
    name = job_id()
    cell.durations[name] = seconds
    cell.last_step_by_job[name] = steps - 1
    body = chain(steps, seconds)
    status = await cell.submit(name, body, machine, _DEADLINE_MS)
    if status // 100 == 2:
        accepted.append(Sent(name, cell.record.now))


async def judge(
    cell: Cell, others: list[Sent], ordinary: list[Sent], calm_from: float
) -> str:
    """Return how LOST was broken, empty if it held.

    Parameters
    ----------
    others : list of Sent
        Accepted jobs of which only an answer is expected.
    ordinary : list of Sent
        Accepted jobs for which there is room at any time.
    calm_from : float
        When the last disruption was over.
    """
    idle = _find_idle(cell, ordinary, calm_from)
    unanswered = await _ask_all(cell, others + ordinary)
    cell.record.write(
        'checked',
        accepted=len(others + ordinary),
        unanswered=len(unanswered),
        idle=len(idle),
    )
    if unanswered:
        return f'LOST: {len(unanswered)} accepted jobs got no answer in time'
    if idle:
        return f'LOST: nothing ran for {len(idle)} accepted jobs'
    return ''


async def _ask_all(cell: Cell, jobs: list[Sent]) -> list[Sent]:
    """Return the jobs that aren't answered as known within `finish_s`."""
    ends_at = cell.record.now + _FINISH_SECONDS
    answers = await asyncio.gather(
        *(_is_answered(cell, sent, ends_at) for sent in jobs)
    )
    return [
        sent
        for sent, answered in zip(jobs, answers, strict=True)
        if not answered
    ]


async def _is_answered(cell: Cell, sent: Sent, ends_at: float) -> bool:
    number = int(sent.job_id, 16)
    while cell.record.now < ends_at:
        machine = cell.machines[number % len(cell.machines)]
        number += 1
        status, _ = await cell.get(sent.job_id, machine, _DEADLINE_MS)
        if status == 200:
            return True
        await asyncio.sleep(1)
    return False


def _find_idle(cell: Cell, jobs: list[Sent], calm_from: float) -> list[Sent]:
    """Return the jobs that had nothing running although there was room."""
    now = cell.record.now
    idle = []
    for sent in jobs:
        since = max(sent.accepted_at, calm_from + CALM_SECONDS)
        last = cell.last_step_by_job[sent.job_id]
        until = cell.ended_at.get(f'{sent.job_id}.0.{last}.0', now)
        longest = cell.activity.longest_idle(sent.job_id, since, until)
        if longest > IDLE_SECONDS:
            idle.append(sent)
            cell.record.write(
                'nothing ran', job=sent.job_id, seconds=round(longest, 1)
            )
    return idle
