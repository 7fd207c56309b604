"""One randomised run: a cell, a load, faults, and the judgement."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from orchidrail.types import Seconds
from proving.cell import GatewayNode, SchedulerNode, VirtualCell
from proving.faults import FAULTS, PLANNED, race_publishers
from proving.judges import JUDGES, ROLL_OUT_LIMIT
from proving.load import Load, bundle_change
from standins.model.loop import VirtualLoop

Fault = Callable[[VirtualCell], Awaitable[None]]

_SETTLE: Seconds = 5
_LOAD: Seconds = 40
#: Virtual time within which accepted jobs must end once all is healed.
_DRAIN: Seconds = 240
_SAMPLE: Seconds = 0.1
_GAP: Seconds = 4
_RETENTION: Seconds = 3600
#: One seed in so many has a log that is trimmed all the time.
_SHORT_RETENTION_EVERY = 5
_SHORT_RETENTION: Seconds = 30


class Verdicts(NamedTuple):
    """Outcome of one run."""

    seed: int
    problems: dict[str, list[str]]
    faults: Counter[str]
    asked: int
    ran: int
    roll_outs: list[Seconds]
    take_overs: list[Seconds]


class Run:
    """One run of one seed."""

    def __init__(self, seed: int, faults: tuple[Fault, ...] = FAULTS) -> None:
        short = seed % _SHORT_RETENTION_EVERY == 1
        retention = _SHORT_RETENTION if short else _RETENTION
        self.cell = VirtualCell(seed, retention)
        self.load = Load(self.cell, 0)
        self.injected: Counter[str] = Counter()
        self.versions: dict[str, list[int]] = {}
        self.roll_outs: dict[int, Seconds] = {}
        self.take_overs: list[Seconds] = []
        self.only_planned_stops = set(faults) <= set(PLANNED)
        self._seed = seed
        self._faults = faults
        self._busy: set[asyncio.Task[None]] = set()
        self._first_seen: dict[int, Seconds] = {}
        self._broken: Counter[str] = Counter()

    async def run(self) -> Verdicts:
        """Run to the end and judge."""
        self.cell.workers_know = not self.only_planned_stops
        self.cell.start()
        self.cell.publish(bundle_change(self.cell))
        watching = asyncio.create_task(self._watch())
        await asyncio.sleep(_SETTLE)
        self.load = Load(self.cell, _LOAD)
        loading = asyncio.create_task(self.load.run())
        await self._inject()
        await asyncio.gather(*self._busy)
        self._heal()
        await loading
        await self._drain()
        await self._publish_last()
        watching.cancel()
        verdicts = self._judge()
        await self.cell.stop()
        return verdicts

    def broken_invariants(self) -> Counter[str]:
        """Return broken invariants by daemon, over all its starts."""
        found = Counter(self._broken)
        for node in self._daemons():
            found[node.name] += node.daemon.invariants.broken
            # A daemon that ended by itself has broken everything at once.
            found[node.name] += node.task.done() and not node.node.dead
        return +found

    async def _inject(self) -> None:
        random = self.cell.random
        end = self.cell.now() + _LOAD
        while self.cell.now() < end:
            await asyncio.sleep(random.expovariate(1 / _GAP))
            if self.only_planned_stops:
                # One after another, as operators do it.
                await asyncio.gather(*self._busy)
            for _ in range(self._how_many()):
                self._start(random.choice(self._faults))

    def _how_many(self) -> int:
        """Return 1 or 2: faults come alone, in pairs, and twice over."""
        if not self._faults:
            return 0
        if self.only_planned_stops:
            return 1
        return self.cell.random.choice((1, 1, 2))

    def _start(self, fault: Fault) -> None:
        name = getattr(fault, '__name__', repr(fault))
        self.injected[name] += 1
        task = asyncio.ensure_future(fault(self.cell))
        self._busy.add(task)
        task.add_done_callback(self._busy.discard)

    def _heal(self) -> None:
        self.cell.network.heal()
        self.cell.log.faults.down = False
        self.cell.log.faults.delay = 0
        self.cell.list_down = False

    async def _drain(self) -> None:
        end = self.cell.now() + _DRAIN
        while self.cell.now() < end:
            if await self.load.refresh():
                return
            await asyncio.sleep(1)

    async def _publish_last(self) -> None:
        """Publish once more and wait until every daemon has it, or too long."""
        await race_publishers(self.cell)
        newest = self.cell.fold().version
        end = self.cell.now() + ROLL_OUT_LIMIT + 2
        while self.cell.now() < end:
            versions = [node.daemon.bundle.version for node in self._daemons()]
            if min(versions) >= newest:
                break
            await asyncio.sleep(_SAMPLE)
        await asyncio.sleep(2 * _SAMPLE)

    async def _watch(self) -> None:
        """Sample the versions in force and the leases held."""
        unheld: dict[str, Seconds] = {}
        while True:
            self._sample_versions()
            self._sample_leases(unheld)
            await asyncio.sleep(_SAMPLE)

    def _sample_versions(self) -> None:
        newest = self.cell.fold().version if not self._log_hidden() else 0
        now = self.cell.now()
        everywhere = True
        for node in self._daemons():
            version = node.daemon.bundle.version
            # A new start is a new process, with a history of its own.
            name = f'{node.name}/{id(node.daemon)}'
            known = self.versions.setdefault(name, [])
            if not known or known[-1] != version:
                known.append(version)
            everywhere = everywhere and version >= newest
        if newest:
            self._note_roll_out(newest, now, everywhere)

    def _note_roll_out(
        self,
        newest: int,
        now: Seconds,
        everywhere: bool,
    ) -> None:
        """Count the time during which nothing hindered the roll-out."""
        spent = self.roll_outs.get(newest, 0)
        if newest in self._first_seen:
            return
        if everywhere:
            self._first_seen[newest] = now
            self.roll_outs[newest] = spent
        elif not self._hindered():
            self.roll_outs[newest] = spent + _SAMPLE
        else:
            self.roll_outs[newest] = 0

    def _hindered(self) -> bool:
        nodes = [node.node for node in self._daemons()]
        stopped = any(node.dead or not node.running.is_set() for node in nodes)
        network = self.cell.network
        noisy = network.late_share or network.answer_loss_share
        return bool(stopped or network.cuts or self._log_hidden() or noisy)

    def _log_hidden(self) -> bool:
        return self.cell.log.faults.down or bool(self.cell.log.faults.delay)

    def _sample_leases(self, unheld: dict[str, Seconds]) -> None:
        """Measure how long workers stay without a holder."""
        now = self.cell.now()
        held = {
            name
            for scheduler in self.cell.schedulers.values()
            if not scheduler.node.dead
            for name, worker in scheduler.daemon.keeper.held_by_worker.items()
            if worker.authorised()
        }
        for name, worker in self.cell.workers.items():
            usable = not worker.node.dead and not self._hindered_worker(worker)
            if name in held or not usable:
                since = unheld.pop(name, None)
                if since is not None and name in held:
                    self.take_overs.append(now - since)
            else:
                unheld.setdefault(name, now)

    def _hindered_worker(self, worker: object) -> bool:
        return bool(self.cell.network.cuts) or self._hindered()

    def _daemons(self) -> list[SchedulerNode | GatewayNode]:
        return [*self.cell.schedulers.values(), *self.cell.gateways.values()]

    def _judge(self) -> Verdicts:
        problems = {name: judge(self) for name, judge in JUDGES.items()}
        faults = self.injected + self.cell.network.faults
        ran = sum(
            verdict.value == 'ran'
            for asked in self.load.asked
            for verdict in asked.verdicts
        )
        return Verdicts(
            self._seed,
            problems,
            faults,
            len(self.load.asked),
            ran,
            list(self.roll_outs.values()),
            self.take_overs,
        )


def run_seed(seed: int, faults: tuple[Fault, ...] = FAULTS) -> Verdicts:
    """Run one seed in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(_run(seed, faults))


async def _run(seed: int, faults: tuple[Fault, ...]) -> Verdicts:
    return await Run(seed, faults).run()
