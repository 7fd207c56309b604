"""``make demo``: two zones on loopback under load, with a scheduler killed.

Exits with 1 if work was lost, ran twice or did not finish, or if a process
logged a fault. With ``--keep`` it sends no load, prints commands to try and
runs until it is interrupted.
"""

from __future__ import annotations

import asyncio
import sys
from contextlib import AsyncExitStack

from rich.console import Console
from rich.table import Table

from tools.callers import Caller, judge
from tools.cell import Cell, open_cell, small_bundle

_TAG_CHECKS = 120
_PREVIEWS = 120
_KILLED_SCHEDULER = 'scheduler-hall-1-0'
_COLUMNS = (
    'class',
    'sent',
    'answered',
    'refused, not run',
    'may have run',
    'wait p50',
    'wait p99',
)


async def _requests(caller: Caller) -> None:
    async with asyncio.TaskGroup() as group:
        for number in range(max(_TAG_CHECKS, _PREVIEWS)):
            if number < _TAG_CHECKS:
                checking = caller.request('tag-check', 0.01, keyed=True)
                group.create_task(checking)
            if number < _PREVIEWS:
                previewing = caller.request('preview', 0.05, keyed=False)
                group.create_task(previewing)
            await asyncio.sleep(0.04)


async def _jobs(caller: Caller) -> None:
    async with asyncio.TaskGroup() as group:
        group.create_task(caller.job('markdown', 2, count=12))
        group.create_task(caller.job('stack', 3))
        group.create_task(caller.job('gang', 2, count=4))
        huge = {'cores': 500.0, 'memory': 1.0}
        group.create_task(caller.job('stack', 1, size=huge))


async def _kill(cell: Cell) -> None:
    await asyncio.sleep(2)
    cell.by_name[_KILLED_SCHEDULER].process.kill()
    print(f'demo: killed {_KILLED_SCHEDULER}')


async def _load(cell: Cell, caller: Caller) -> None:
    async with asyncio.TaskGroup() as group:
        group.create_task(_requests(caller))
        group.create_task(_jobs(caller))
        group.create_task(_kill(cell))


def _print_table(caller: Caller) -> None:
    table = Table(title='requests and jobs by class')
    for column in _COLUMNS:
        table.add_column(column)
    for row in caller.tally.rows():
        table.add_row(*row)
    Console(width=110).print(table)
    for entry in caller.tally.sent:
        if entry.verdict == 'notRun':
            print(f'refused: {entry.class_name}: {entry.detail}')


def _print_usage(cell: Cell) -> None:
    settings = cell.operator_settings('alice')
    print(f'export ORCHIDRAIL_SETTINGS={settings}')
    print('orchidrail status')
    print('orchidrail instance list')
    print('orchidrail job submit stack --payload \'{"seconds": 5}\'')
    for zone, addresses in cell.gateways.items():
        print(f'gateways of {zone}: {addresses}')
    print(f'bearer key: {cell.tenant_key}')
    print('stop with Ctrl-C')


async def demo(*, keep: bool) -> int:
    """Run the demo and return the exit code."""
    async with AsyncExitStack() as stack:
        cell = await open_cell(stack)
        print(f'demo: {len(cell.by_name)} processes are ready')
        print(await cell.publish(small_bundle(cell)))
        await cell.wait_serving()
        caller = Caller(cell.all_gateways(), cell.tenant_key)
        stack.push_async_callback(caller.close)
        if keep:
            _print_usage(cell)
            await asyncio.Event().wait()
        await _load(cell, caller)
        _print_table(caller)
        return _conclude(cell, caller)


def _conclude(cell: Cell, caller: Caller) -> int:
    judgement = judge(caller.tally, cell.journal())
    for text in (*judgement.lost, *judgement.doubled, *cell.faults()):
        print(f'demo: {text}')
    sent = len(caller.tally.sent)
    answered = caller.tally.count('ran')
    lost = len(judgement.lost)
    doubled = len(judgement.doubled)
    unfinished = [
        entry
        for entry in caller.tally.sent
        if entry.state and entry.state != 'done'
    ]
    for entry in unfinished:
        print(f'demo: {entry.class_name} is {entry.state}: {entry.detail}')
    print(
        f'demo: {sent} sent, {answered} answered, {sent - answered} refused, '
        f'{lost} lost, {doubled} doubled',
    )
    return int(bool(lost or doubled or unfinished or cell.faults()))


if __name__ == '__main__':
    sys.exit(asyncio.run(demo(keep='--keep' in sys.argv)))
