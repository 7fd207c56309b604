"""Ten minutes without the platform: short requests go on, work is kept."""

from __future__ import annotations

import asyncio
import logging
import sys
from collections import Counter

import fire
import structlog

from orchidrail.types import FINAL_JOB_STATES, Seconds, Verdict
from proving.cell import VirtualCell
from proving.load import Asked, Load, bundle_change
from standins.model.loop import VirtualLoop

_BEFORE: Seconds = 60
_OUTAGE: Seconds = 600
_AFTER: Seconds = 60
_SETTLE: Seconds = 5
_DRAIN: Seconds = 120
_REQUESTS = frozenset(('tag-check', 'preview'))


async def run(seed: int) -> int:
    """Run the outage and return the exit code."""
    cell = VirtualCell(seed)
    cell.start()
    cell.publish(bundle_change(cell))
    await asyncio.sleep(_SETTLE)
    load = Load(cell, _BEFORE + _OUTAGE + _AFTER)
    began = cell.now() + _BEFORE
    loading = asyncio.create_task(load.run())
    await asyncio.sleep(_BEFORE)
    _switch(cell, down=True)
    await asyncio.sleep(_OUTAGE)
    _switch(cell, down=False)
    await loading
    end = cell.now() + _DRAIN
    while not await load.refresh() and cell.now() < end:
        await asyncio.sleep(1)
    code = _tell(load, began, began + _OUTAGE)
    await cell.stop()
    return code


def _switch(cell: VirtualCell, *, down: bool) -> None:
    cell.log.faults.down = down
    cell.list_down = down


def _tell(load: Load, began: Seconds, ended: Seconds) -> int:
    """Print requests and jobs by phase; return 1 if a bound is broken."""
    phases = {
        'before': (0.0, began),
        'during': (began, ended),
        'after': (ended, float('inf')),
    }
    refused = {}
    for name, (start, end) in phases.items():
        asked = [one for one in load.asked if start <= one.sent_at < end]
        requests = [one for one in asked if one.class_name in _REQUESTS]
        jobs = [one for one in asked if one.class_name not in _REQUESTS]
        refused[name] = _share_refused(requests)
        _say(
            f'{name}: {len(requests)} requests, {refused[name]:.2%} not '
            f'answered; {len(jobs)} jobs, verdicts {_verdicts(jobs)}',
        )
    open_jobs = [
        one for one in load.jobs() if one.state not in FINAL_JOB_STATES
    ]
    _say(f'accepted jobs that have not ended: {len(open_jobs)}')
    worse = refused['during'] > refused['before'] + 0.01
    return int(worse or bool(open_jobs))


def _share_refused(requests: list[Asked]) -> float:
    answered = [one for one in requests if one.verdicts[:1] == [Verdict.RAN]]
    return 1 - len(answered) / max(1, len(requests))


def _verdicts(jobs: list[Asked]) -> dict[str, int]:
    found = Counter(
        one.verdicts[-1].value if one.verdicts else 'no key' for one in jobs
    )
    return dict(found)


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')


def main(seed: int = 1) -> None:
    """Run one seed in virtual time."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
    )
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        sys.exit(runner.run(run(seed)))


if __name__ == '__main__':
    fire.Fire(main)
