"""Seeded faults, in series and overlapping."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

from soak.proxy import Harm, Proxy
from soak.system import Instance
from soak.workers import WorkerStandIn

#: Share of the crashed workers that are back under their names.
_KEEPS_NAME = 0.7
#: Seconds until a worker crashes again: before it is looked at again, between
#: two looks, and once it is at work.
_CRASH_AGAIN = (0.01, 0.3, 1.5)
#: Share of the entries by another writer that replace a worker's.
_OVERWRITES = 0.3
#: Seconds for which workers fail all that they start, and how many at once.
_BROKEN_FOR = (2.0, 4.0)
_MOST_BROKEN = 3
_FOREIGN = (
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
_HARMS = (Harm.DELAY, Harm.RESET, Harm.SILENCE, Harm.MUTE_ANSWERS)


class Faults:
    """Does one thing after another to processes, links and workers."""

    def __init__(
        self,
        instances: list[Instance],
        workers: list[WorkerStandIn],
        worker_links: list[Proxy],
        random: Random,
        returns: Random | None = None,
    ) -> None:
        """Do nothing yet; `returns` has crashed workers keep their names."""
        self._returns = returns
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
            self._harm_store_of_one,
            self._harm_store_of_one,
            self._harm_store_of_all,
            self._harm_workers,
            self._crash_worker,
            self._drain_worker,
        )

    async def run(self, until: float) -> None:
        """Begin faults until a time of the steady clock; await their ends."""
        begun = []
        while time.monotonic() < until:
            fault = self._random.choice(self._kinds)
            self.count[fault.__name__.strip('_')] += 1
            begun.append(asyncio.ensure_future(fault()))
            await asyncio.sleep(self._random.uniform(0.3, 2.5))
        await asyncio.gather(*begun)
        for instance in self._instances:
            instance.signal(signal.SIGCONT)
            await instance.start()

    async def shrink_rooms(self, until: float, random: Random | None) -> None:
        """Have workers lose half of their room now and then."""
        while random is not None and time.monotonic() < until:
            await asyncio.sleep(random.uniform(0, 4))
            self.count['shrink_room'] += 1
            await random.choice(self._workers).shrink(random.uniform(0, 4))

    async def write_entries(self, until: float, random: Random | None) -> None:
        """Write entries as somebody else would, some over those of workers."""
        while random is not None and time.monotonic() < until:
            await asyncio.sleep(random.uniform(0, 3))
            self.count['foreign_entry'] += 1
            worker = random.choice(self._workers)
            raw = random.choice(_FOREIGN)
            if random.random() < _OVERWRITES:
                worker.overwrite_entry(raw)
                await asyncio.sleep(random.uniform(0, 3))
                worker.enter('ready')
            else:
                worker.overwrite_entry(raw, f'x-{random.randint(1, 9)}')

    async def break_workers(self, until: float, random: Random | None) -> None:
        """Have some workers fail all that they start, now and then."""
        while random is not None and time.monotonic() < until:
            await asyncio.sleep(random.uniform(1, 4))
            self.count['break_workers'] += 1
            seconds = random.uniform(*_BROKEN_FOR)
            broken = random.randint(1, _MOST_BROKEN)
            for worker in random.sample(self._workers, broken):
                worker.break_for(seconds)
            await asyncio.sleep(seconds)

    def _some_time(self, most: float = 5) -> float:
        return self._random.uniform(0.3, most)

    async def _kill(self) -> None:
        instance = self._random.choice(self._instances)
        await instance.kill()
        await asyncio.sleep(self._some_time(3))
        await instance.start()

    async def _kill_many(self) -> None:
        count = self._random.randint(2, len(self._instances))
        chosen = self._random.sample(self._instances, count)
        await asyncio.gather(*(instance.kill() for instance in chosen))
        await asyncio.sleep(self._some_time(2))
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
        await asyncio.sleep(self._some_time())
        instance.signal(signal.SIGCONT)

    async def _reload(self) -> None:
        for instance in self._instances:
            instance.write_settings()
            if self._random.random() < 0.7:
                instance.signal(signal.SIGHUP)

    async def _harm_store_of_one(self) -> None:
        instance = self._random.choice(self._instances)
        await self._harm([instance.store])

    async def _harm_store_of_all(self) -> None:
        await self._harm([instance.store for instance in self._instances])

    async def _harm_workers(self) -> None:
        count = self._random.randint(1, len(self._worker_links) // 2)
        await self._harm(self._random.sample(self._worker_links, count))

    async def _harm(self, links: list[Proxy]) -> None:
        harm = self._random.choice(_HARMS)
        for link in links:
            link.delay = self._random.uniform(0.02, 0.3)
            link.set_harm(harm)
        await asyncio.sleep(self._some_time())
        for link in links:
            link.set_harm(Harm.NONE)
            if harm is Harm.SILENCE:
                # What a cut held up is lost when its sender gave up.
                link.reset_all()

    async def _crash_worker(self) -> None:
        worker = self._random.choice(self._workers)
        if self._returns is None:
            worker.crash()
        else:
            await self._crash_again(worker, self._returns)

    async def _crash_again(self, worker: WorkerStandIn, random: Random) -> None:
        """Crash a worker once, or again while it is met again."""
        for _ in range(random.randint(1, 3)):
            keeps_name = random.random() < _KEEPS_NAME
            self.count['return_under_name'] += keeps_name
            worker.crash(keeps_name=keeps_name)
            await asyncio.sleep(random.choice(_CRASH_AGAIN))

    async def _drain_worker(self) -> None:
        worker = self._random.choice(self._workers)
        await worker.drain(silently=self._random.random() < 0.3)
