"""A shorter run with real processes, signals and closed sockets."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections import Counter
from contextlib import AsyncExitStack
from random import Random

import fire
import httpx

from tools.callers import Caller, Sent, judge
from tools.cell import Cell, open_cell, small_bundle

_LEASE = 3
_GAP = 2.0
_SETTLE = 3.0
_END_WAIT = 90
_JOBS = (('markdown', 3), ('stack', 1), ('gang', 3))


class Faults:
    """Signals to the processes of a cell, one after another."""

    def __init__(self, cell: Cell, random: Random) -> None:
        self.count: Counter[str] = Counter()
        self._cell = cell
        self._random = random

    async def kill_scheduler(self) -> None:
        """SIGKILL a scheduler; start it again with an empty memory."""
        zone, number = self._pick()
        process = self._cell.by_name[f'scheduler-{zone}-{number}'].process
        process.kill()
        await process.wait()
        await asyncio.sleep(self._random.uniform(0.5, 4))
        await self._cell.start_scheduler(zone, number)

    async def stop_scheduler(self) -> None:
        """SIGTERM a scheduler: it hands over; start it again."""
        zone, number = self._pick()
        process = self._cell.by_name[f'scheduler-{zone}-{number}'].process
        process.send_signal(signal.SIGTERM)
        await process.wait()
        await self._cell.start_scheduler(zone, number)

    async def pause_scheduler(self) -> None:
        """SIGSTOP a scheduler for longer than a lease."""
        zone, number = self._pick()
        await self._pause(f'scheduler-{zone}-{number}', 1.5 * _LEASE)

    async def pause_worker(self) -> None:
        """SIGSTOP a worker for longer than a lease."""
        zone, _ = self._pick()
        number = self._random.randrange(4)
        await self._pause(f'w-{zone}-{number}', 1.5 * _LEASE)

    async def pause_platform(self) -> None:
        """SIGSTOP the platform."""
        await self._pause('platform', self._random.uniform(2, 6))

    async def lose_acknowledgements(self) -> None:
        """Have appends take effect without an answer."""
        faults = {'down': False, 'lose_acknowledgements': 2, 'delay': 0}
        async with httpx.AsyncClient(trust_env=False) as client:
            await client.put(f'{self._cell.platform}/faults', json=faults)

    async def inject(self, seconds: float) -> None:
        """Bring about faults for some seconds, each after the one before."""
        clock = asyncio.get_running_loop().time
        end = clock() + seconds
        faults = (
            self.kill_scheduler,
            self.stop_scheduler,
            self.pause_scheduler,
            self.pause_worker,
            self.pause_platform,
            self.lose_acknowledgements,
        )
        while clock() < end:
            fault = self._random.choice(faults)
            self.count[fault.__name__] += 1
            await fault()
            await asyncio.sleep(self._random.uniform(0, _GAP))

    def _pick(self) -> tuple[str, int]:
        zone = self._random.choice(('hall-1', 'hall-2'))
        return zone, self._random.randrange(2)

    async def _pause(self, name: str, seconds: float) -> None:
        pid = self._cell.by_name[name].process.pid
        os.kill(pid, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        os.kill(pid, signal.SIGCONT)


async def _load(caller: Caller, random: Random, seconds: float) -> None:
    clock = asyncio.get_running_loop().time
    end = clock() + seconds
    tasks = []
    while clock() < end:
        await asyncio.sleep(random.expovariate(20))
        if random.random() < 0.02:
            kind, count = random.choice(
                (('markdown', 3), ('stack', 1), ('gang', 3))
            )
            work = caller.job(kind, random.uniform(0.5, 3), count=count)
        elif random.random() < 0.5:
            work = caller.request('tag-check', 0.05, keyed=True)
        else:
            work = caller.request('preview', 0.1, keyed=False)
        tasks.append(asyncio.create_task(work))
    done, pending = await asyncio.wait(tasks, timeout=_END_WAIT)
    for task in pending:
        task.cancel()
    print(f'real: {len(done)} ended, {len(pending)} did not')


async def run(seconds: float, seed: int) -> int:
    """Run a cell under load and faults; return the exit code."""
    random = Random(seed)
    async with AsyncExitStack() as stack:
        cell = await open_cell(stack)
        await cell.publish(small_bundle(cell))
        await cell.wait_serving()
        await asyncio.sleep(_SETTLE)
        caller = Caller(cell.all_gateways(), cell.tenant_key)
        stack.push_async_callback(caller.close)
        faults = Faults(cell, random)
        loading = asyncio.create_task(_load(caller, random, seconds))
        await faults.inject(seconds)
        await loading
        return _conclude(cell, caller, faults)


def _conclude(cell: Cell, caller: Caller, faults: Faults) -> int:
    judgement = judge(caller.tally, cell.journal())
    problems = [*judgement.lost, *judgement.doubled, *cell.faults()]
    problems.extend(_not_ended(entry) for entry in _open_jobs(caller))
    for text in problems:
        print(f'real: {text}')
    for row in caller.tally.rows():
        print('real: ' + ' | '.join(row))
    total = faults.count.total()
    print(f'real: faults {dict(faults.count)}')
    print(
        f'real: 1 run, {total} faults, {len(caller.tally.sent)} sent, '
        f'{len(problems)} violations',
    )
    return int(bool(problems))


def _open_jobs(caller: Caller) -> list[Sent]:
    jobs = {'markdown', 'stack', 'gang'}
    return [
        entry
        for entry in caller.tally.sent
        if entry.class_name in jobs
        and entry.verdict == 'ran'
        and entry.state not in {'done', 'failed'}
    ]


def _not_ended(entry: Sent) -> str:
    return f'{entry.class_name} {entry.key} has not ended: {entry.state!r}'


def main(seconds: float = 30, seed: int = 1) -> None:
    """Run for some seconds."""
    sys.exit(asyncio.run(run(seconds, seed)))


if __name__ == '__main__':
    fire.Fire(main)
