"""Injects seeded faults, one after another and overlapping."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

from soak.proxy import LinkFault, Proxy
from soak.system import Instance
from soak.workers import WorkerStandIn

#: Share of the crashed workers that restart under the same name.
_KEEPS_NAME_SHARE = 0.7
#: Seconds until a worker crashes again: before the next poll, between two
#: polls, or after it has started tasks.
_CRASH_INTERVALS = (0.01, 0.3, 1.5)
#: Share of the foreign entries that overwrite a worker's entry.
_OVERWRITE_SHARE = 0.3
#: Seconds for which workers fail every run, and how many at once.
_BREAK_SECONDS = (2.0, 4.0)
_MAX_BROKEN = 3
_FOREIGN_ENTRIES = (
    b'\xff\xfe',
    b'[]',
    b'{"service":"service"}',
    b'{"service":"service","address":"127.0.0.1:1","zone":"zone-0",'
    b'"state":"resting","capacity":{"cpu":64000,"memMb":64000},"labels":[]}',
    b'{"service":"service","address":"","zone":"zone-0","state":"ready",'
    b'"capacity":{"cpu":64000,"memMb":64000},"labels":[]}',
    b'{"service":"other","address":"127.0.0.1:1","zone":"zone-0",'
    b'"state":"ready","capacity":{"cpu":64000,"memMb":64000},"labels":[]}',
)
_LINK_FAULTS = (
    LinkFault.DELAY,
    LinkFault.RESET,
    LinkFault.STALL,
    LinkFault.STALL_RESPONSES,
)


class Faults:
    """Injects faults into processes, links and workers."""

    def __init__(
        self,
        instances: list[Instance],
        workers: list[WorkerStandIn],
        worker_links: list[Proxy],
        random: Random,
        restarts: Random | None = None,
    ) -> None:
        """Inject nothing yet.

        With `restarts`, crashed workers may keep their names and crash again.
        """
        self._restarts = restarts
        self.count: Counter[str] = Counter()
        self._instances = instances
        self._workers = workers
        self._worker_links = worker_links
        self._random = random
        self._kinds: tuple[Callable[[], Awaitable[None]], ...] = (
            self._kill,
            self._kill,
            self._kill_many,
            self._stop,
            self._roll,
            self._pause,
            self._pause,
            self._reload,
            self._disrupt_store_of_one,
            self._disrupt_store_of_one,
            self._disrupt_store_of_all,
            self._disrupt_workers,
            self._crash_worker,
            self._drain_worker,
        )

    async def run(self, until: float) -> None:
        """Inject faults until a monotonic time, then await their ends."""
        started = []
        while time.monotonic() < until:
            fault = self._random.choice(self._kinds)
            self.count[fault.__name__.strip('_')] += 1
            started.append(asyncio.ensure_future(fault()))
            await asyncio.sleep(self._random.uniform(0.3, 2.5))
        await asyncio.gather(*started)
        for instance in self._instances:
            instance.signal(signal.SIGCONT)
            await instance.start()

    async def shrink_capacities(
        self, until: float, random: Random | None
    ) -> None:
        """Halve the capacity of a worker at random times."""
        while random is not None and time.monotonic() < until:
            await asyncio.sleep(random.uniform(0, 4))
            self.count['shrink_room'] += 1
            await random.choice(self._workers).shrink_capacity(
                random.uniform(0, 4)
            )

    async def write_entries(self, until: float, random: Random | None) -> None:
        """Write foreign entries, some over entries of workers."""
        while random is not None and time.monotonic() < until:
            await asyncio.sleep(random.uniform(0, 3))
            self.count['foreign_entry'] += 1
            worker = random.choice(self._workers)
            raw = random.choice(_FOREIGN_ENTRIES)
            if random.random() < _OVERWRITE_SHARE:
                worker.overwrite_entry(raw)
                await asyncio.sleep(random.uniform(0, 3))
                worker.write_entry('ready')
            else:
                worker.overwrite_entry(raw, f'x-{random.randint(1, 9)}')

    async def break_workers(self, until: float, random: Random | None) -> None:
        """Have some workers fail every run they start, at random times."""
        while random is not None and time.monotonic() < until:
            await asyncio.sleep(random.uniform(1, 4))
            self.count['break_workers'] += 1
            seconds = random.uniform(*_BREAK_SECONDS)
            broken = random.randint(1, _MAX_BROKEN)
            for worker in random.sample(self._workers, broken):
                worker.break_for(seconds)
            await asyncio.sleep(seconds)

    def _draw_seconds(self, maximum: float = 5) -> float:
        return self._random.uniform(0.3, maximum)

    async def _kill(self) -> None:
        instance = self._random.choice(self._instances)
        await instance.kill()
        await asyncio.sleep(self._draw_seconds(3))
        await instance.start()

    async def _kill_many(self) -> None:
        count = self._random.randint(2, len(self._instances))
        chosen = self._random.sample(self._instances, count)
        await asyncio.gather(*(instance.kill() for instance in chosen))
        await asyncio.sleep(self._draw_seconds(2))
        await asyncio.gather(*(instance.start() for instance in chosen))

    async def _stop(self) -> None:
        instance = self._random.choice(self._instances)
        await instance.stop()
        await instance.start()

    async def _roll(self) -> None:
        for instance in self._random.sample(self._instances, 3):
            await instance.stop()
            await instance.start()
            await asyncio.sleep(0.5)

    async def _pause(self) -> None:
        instance = self._random.choice(self._instances)
        instance.signal(signal.SIGSTOP)
        await asyncio.sleep(self._draw_seconds())
        instance.signal(signal.SIGCONT)

    async def _reload(self) -> None:
        for instance in self._instances:
            instance.write_settings()
            if self._random.random() < 0.7:
                instance.signal(signal.SIGHUP)

    async def _disrupt_store_of_one(self) -> None:
        instance = self._random.choice(self._instances)
        await self._disrupt([instance.store])

    async def _disrupt_store_of_all(self) -> None:
        await self._disrupt([instance.store for instance in self._instances])

    async def _disrupt_workers(self) -> None:
        count = self._random.randint(1, len(self._worker_links) // 2)
        await self._disrupt(self._random.sample(self._worker_links, count))

    async def _disrupt(self, links: list[Proxy]) -> None:
        link_fault = self._random.choice(_LINK_FAULTS)
        for link in links:
            link.delay = self._random.uniform(0.02, 0.3)
            link.set_fault(link_fault)
        await asyncio.sleep(self._draw_seconds())
        for link in links:
            link.set_fault(LinkFault.NONE)
            if link_fault is LinkFault.STALL:
                # Stalled bytes must not arrive after their sender timed out.
                link.reset_all()

    async def _crash_worker(self) -> None:
        worker = self._random.choice(self._workers)
        if self._restarts is None:
            worker.crash()
        else:
            await self._crash_again(worker, self._restarts)

    async def _crash_again(self, worker: WorkerStandIn, random: Random) -> None:
        """Crash a worker up to three times, also while it reconnects."""
        for _ in range(random.randint(1, 3)):
            keeps_name = random.random() < _KEEPS_NAME_SHARE
            self.count['return_under_name'] += keeps_name
            worker.crash(keeps_name=keeps_name)
            await asyncio.sleep(random.choice(_CRASH_INTERVALS))

    async def _drain_worker(self) -> None:
        worker = self._random.choice(self._workers)
        await worker.drain(silently=self._random.random() < 0.3)
