"""Tests of gangs on the simulated workers, and of the checks on them."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from math import inf
from random import Random
from typing import Any

import msgspec
from testtools import TestCase

from orchidrail.types import Epoch, JobId, RunNumber, Seconds, TaskKey
from orchidrail.work.model import JobSpec, StepSpec
from orchidrail.work.size import Size
from orchidrail.workers.port import (
    OrderAnswer,
    OrderResult,
    RunKey,
    StartOrder,
    WorkerEntry,
)
from standins.model import CellLoad, CellModel, QueueLoad
from standins.model.gangs import GANG_WAIT
from standins.model.load import Breakage, Crashes, Draw, DrawnJob, Outage
from standins.model.loop import run_in_virtual_time
from standins.model.starvation import StarvationWatch
from standins.model.worker import CLOCK_START, ModelWorker
from standins.model.workers import ModelWorkers

_QUEUE = QueueLoad(
    name='gangs',
    per_s=1,
    worth=1,
    priority=1,
    stretch=4,
    target=2,
    tasks=Draw(3),
    cores=Draw(8),
    megabytes=Draw(500),
    work=Draw(1),
    gang=1,
)
_LOAD = CellLoad([_QUEUE], workers=3)
_COUNT = 3
_FIRST = RunNumber(1)
_LEASE = 100
_ALL_DONE = [['done'], ['done'], ['done']]
_TIMEOUT: Seconds = 1


class _Cell:
    """Three workers, and one gang with a member for each."""

    def __init__(
        self,
        slowness: tuple[float, ...] = (1, 1, 1),
        fails: float = 0,
        long_running: bool = False,
    ) -> None:
        queue = msgspec.structs.replace(
            _QUEUE,
            fails=fails,
            stays=Draw(60) if long_running else None,
        )
        step = StepSpec(
            _COUNT, Size(1000, 100), 1, gang=True, lasting=long_running
        )
        job = DrawnJob(
            queue,
            0,
            JobSpec('text', (step,)),
            [[1, 1, 1]],
            frozenset(),
            objective=4,
            worth=1,
        )
        self.job = job
        self.workers = ModelWorkers(_LOAD, Random(1), lambda _: job)
        self.all_workers: list[ModelWorker] = list(
            self.workers.by_name.values()
        )
        for worker, slow in zip(self.all_workers, slowness, strict=True):
            worker.slowness = slow

    async def start(self, *members: int, run: RunNumber = _FIRST) -> None:
        for member in members:
            entry, order = self.all_workers[member].entry, _order(member, run)
            answer = await self.workers.start(entry, order, _TIMEOUT)
            if answer.result is not OrderResult.TAKEN:
                raise AssertionError(answer)

    def endings(self) -> list[list[str]]:
        """Return how the runs on each worker ended."""
        return [
            [end.ending.value for end in worker.ended]
            for worker in self.all_workers
        ]

    def percents(self) -> list[float]:
        """Return the percentage done of the runs on each worker."""
        now = asyncio.get_running_loop().time()
        listings = [worker.listing(now) for worker in self.all_workers]
        return [run.share_done for one in listings for run in one.active]


def _key(member: int, run: RunNumber = _FIRST) -> RunKey:
    return RunKey(TaskKey(f'job.0.0.{member}'), run)


def _order(member: int, run: RunNumber = _FIRST) -> StartOrder:
    key = _key(member, run)
    return StartOrder(key, 'text', CLOCK_START + _LEASE, Epoch(1))


def _in_virtual_time(work: Coroutine[Any, Any, None]) -> None:
    run_in_virtual_time(work)


class GangMembersTest(TestCase):
    def test_no_member_works_before_all_are_present(self) -> None:
        async def run_scenario() -> None:
            cell = _Cell()
            await cell.start(0, 1)
            await asyncio.sleep(2)
            self.assertEqual([0, 0], cell.percents())
            await cell.start(2)
            await asyncio.sleep(0.5)
            self.assertEqual([50, 50, 50], list(map(round, cell.percents())))
            await asyncio.sleep(0.6)
            self.assertEqual(_ALL_DONE, cell.endings())

        _in_virtual_time(run_scenario())

    def test_a_member_that_waits_in_vain_ends_as_alone(self) -> None:
        """Members that start later wait for the full time again."""

        async def run_scenario() -> None:
            cell = _Cell()
            await cell.start(0)
            await asyncio.sleep(GANG_WAIT - 0.01)
            self.assertEqual([[], [], []], cell.endings())
            await asyncio.sleep(0.02)
            self.assertEqual([['alone'], [], []], cell.endings())
            await cell.start(1, 2)
            await asyncio.sleep(GANG_WAIT - 0.1)
            self.assertEqual([['alone'], [], []], cell.endings())
            await asyncio.sleep(0.2)
            self.assertEqual(
                [['alone'], ['alone'], ['broken']],
                cell.endings(),
            )
            lone = [end.key for end in cell.workers.gangs.lone_ends]
            self.assertEqual([_key(0), _key(1)], lone)

        _in_virtual_time(run_scenario())

    def test_members_of_another_run_do_not_complete_a_gang(self) -> None:
        async def run_scenario() -> None:
            cell = _Cell()
            await cell.start(0, 1)
            await cell.start(2, run=RunNumber(2))
            await asyncio.sleep(2)
            self.assertEqual([0, 0, 0], cell.percents())

        _in_virtual_time(run_scenario())

    def test_members_are_done_with_the_slowest(self) -> None:
        async def run_scenario() -> None:
            cell = _Cell(slowness=(1, 3, 2))
            await cell.start(0, 1, 2)
            await asyncio.sleep(2.9)
            self.assertEqual([[], [], []], cell.endings())
            self.assertEqual([100, 97, 100], list(map(round, cell.percents())))
            await asyncio.sleep(0.2)
            self.assertEqual(_ALL_DONE, cell.endings())

        _in_virtual_time(run_scenario())

    def test_a_member_that_fails_breaks_the_others(self) -> None:
        async def run_scenario() -> None:
            cell = _Cell()
            cell.all_workers[1].broken_until = 10
            await cell.start(0, 1, 2)
            await asyncio.sleep(1.1)
            self.assertEqual(
                [['broken'], ['failed'], ['broken']], cell.endings()
            )

        _in_virtual_time(run_scenario())

    def test_only_the_first_failing_member_ends_as_failed(self) -> None:
        async def run_scenario() -> None:
            cell = _Cell(fails=1)
            await cell.start(0, 1, 2)
            await asyncio.sleep(1.1)
            self.assertEqual(
                [['broken'], ['broken'], ['failed']],
                sorted(cell.endings()),
            )

        _in_virtual_time(run_scenario())

    def test_a_member_that_is_stopped_breaks_the_others(self) -> None:
        """Also before all members have started."""

        async def run_scenario(present: int) -> None:
            cell = _Cell()
            await cell.start(*range(present))
            entry = cell.all_workers[0].entry
            await cell.workers.stop(entry, _key(0), Epoch(1), _TIMEOUT)
            broken = [['broken'] for _ in range(1, present)]
            self.assertEqual([['stopped'], *broken], cell.endings()[:present])

        _in_virtual_time(run_scenario(_COUNT))
        _in_virtual_time(run_scenario(_COUNT - 1))

    def test_a_crash_under_a_member_breaks_the_others(self) -> None:
        async def run_scenario() -> None:
            cell = _Cell()
            await cell.start(0, 1, 2)
            cell.workers.crash_all([cell.all_workers[2].entry.address])
            self.assertEqual([['broken'], ['broken'], []], cell.endings())
            self.assertFalse(cell.workers.history.is_running(_key(2).task))
            await asyncio.sleep(2)
            self.assertEqual([['broken'], ['broken'], []], cell.endings())

        _in_virtual_time(run_scenario())

    def test_members_on_unresponsive_workers_end_too(self) -> None:
        """Such a worker lists the end for when it responds again."""

        async def run_scenario() -> None:
            cell = _Cell()
            await cell.start(0, 1, 2)
            cell.all_workers[0].unresponsive_until = 10
            entry = cell.all_workers[1].entry
            await cell.workers.stop(entry, _key(1), Epoch(1), _TIMEOUT)
            self.assertEqual(
                [['broken'], ['stopped'], ['broken']],
                cell.endings(),
            )

        _in_virtual_time(run_scenario())

    def test_a_member_started_late_ends_no_newer_run(self) -> None:
        """It waits for members that have ended long before."""

        async def run_scenario() -> None:
            cell = _Cell()
            await cell.start(0, 1, 2, run=RunNumber(2))
            late = _order(0)
            await cell.workers.start(cell.all_workers[1].entry, late, _TIMEOUT)
            await asyncio.sleep(1.1)
            self.assertEqual(_ALL_DONE, cell.endings())
            await asyncio.sleep(GANG_WAIT)
            self.assertEqual(
                [['done'], ['done', 'alone'], ['done']],
                cell.endings(),
            )

        _in_virtual_time(run_scenario())

    def test_a_long_running_gang_works_until_it_is_stopped(self) -> None:
        async def run_scenario() -> None:
            cell = _Cell(long_running=True)
            await cell.start(0, 1, 2)
            await asyncio.sleep(30)
            self.assertEqual([100, 100, 100], cell.percents())
            entry = cell.all_workers[0].entry
            await cell.workers.stop(entry, _key(0), Epoch(1), _TIMEOUT)
            self.assertEqual(
                [['stopped'], ['broken'], ['broken']],
                cell.endings(),
            )

        _in_virtual_time(run_scenario())

    def test_a_member_started_again_after_the_gang_was_done_is_repeated(
        self,
    ) -> None:
        """One end as done counts for all members, even if no other is known."""

        async def run_scenario() -> None:
            cell = _Cell()
            await cell.start(0, 1, 2)
            await asyncio.sleep(1.1)
            cell.all_workers[0].forget(1)
            await cell.start(1, run=RunNumber(2))
            self.assertEqual(1, cell.workers.repeated)

        _in_virtual_time(run_scenario())


class GangWaitTest(TestCase):
    async def _sample(
        self,
        cell: _Cell,
        watch: StarvationWatch,
        duration: Seconds,
    ) -> None:
        """Take four samples per second, as a simulated day does."""
        loop = asyncio.get_running_loop()
        for _ in range(int(duration * 4)):
            await asyncio.sleep(0.25)
            watch.sample(
                {JobId('job'): cell.job}, loop.time(), inf, fault_free=True
            )

    def test_a_starved_gang_is_reported_once(self) -> None:
        """Also while a started member waits for the others."""

        async def run_scenario() -> None:
            cell = _Cell()
            watch = StarvationWatch(cell.workers)
            await self._sample(cell, watch, 2)
            await cell.start(0)
            await self._sample(cell, watch, 2)
            self.assertEqual(
                [_key(0).task],
                [starved.task for starved in watch.starved],
            )

        _in_virtual_time(run_scenario())

    def test_a_run_between_two_samples_ends_a_wait(self) -> None:
        async def run_scenario() -> None:
            cell = _Cell()
            watch = StarvationWatch(cell.workers)
            for number in (1, 2, 3):
                await self._sample(cell, watch, 2)
                run = RunNumber(number)
                await cell.start(0, 1, 2, run=run)
                entry = cell.all_workers[0].entry
                stopped = _key(0, run)
                await cell.workers.stop(entry, stopped, Epoch(1), _TIMEOUT)
            self.assertEqual([], watch.starved)

        _in_virtual_time(run_scenario())


_ADVISED = msgspec.structs.replace(
    _QUEUE,
    fails=0.2,
    attempts=20,
    advice=(0.1, 0.002, 2.0),
    good=0.6,
)
_FAULTS = CellLoad(
    [_ADVISED],
    workers=12,
    lasts=20,
    slow_share=0.3,
    outages=[Outage(at=4, lasts=2, share=0.25)],
    crashes=[Crashes(at=9, lasts=3, every=1, share=0.1)],
    breakages=[Breakage(at=14, lasts=2, share=0.3)],
)


async def _never_answer(*question: object) -> None:
    """Accept an advice request, and never answer."""
    await asyncio.sleep(_TIMEOUT)


class _UnresponsiveWorkers:
    """Ignores starts of the second member of a gang, and all stops."""

    def __init__(self, workers: ModelWorkers) -> None:
        self._start = workers.start

    async def start(
        self,
        entry: WorkerEntry,
        order: StartOrder,
        timeout: Seconds,
    ) -> OrderAnswer:
        if order.key.task.endswith('.1'):
            return OrderAnswer(OrderResult.UNKNOWN)
        return await self._start(entry, order, timeout)

    async def stop(self, *order: object) -> OrderAnswer:
        return OrderAnswer(OrderResult.UNKNOWN)


class GangDayTest(TestCase):
    def test_no_guarantee_is_violated_where_gangs_and_workers_fail(
        self,
    ) -> None:
        for seed in (1, 2, 3):
            model = CellModel(_FAULTS, seed)
            outcome = model.play()
            violations = outcome.overfull, outcome.doubled, outcome.repeated
            self.assertEqual((seed, (0, 0, 0)), (seed, violations))
            self.assertEqual((seed, 0), (seed, outcome.alone))
            self.assertEqual(0, outcome.by_queue['gangs'].unfinished)

    def test_members_left_alone_are_counted_only_where_no_fault_is_near(
        self,
    ) -> None:
        queue = msgspec.structs.replace(_QUEUE, per_s=0.5)
        without_faults = CellLoad([queue], workers=8, lasts=8)
        outage = Outage(at=0, lasts=60, share=0)
        for load, counted in (
            (without_faults, True),
            (msgspec.structs.replace(without_faults, outages=[outage]), False),
            (msgspec.structs.replace(without_faults, late_share=1e-9), False),
        ):
            model = CellModel(load, seed=1)
            deaf = _UnresponsiveWorkers(model.workers)
            self.patch(model.workers, 'start', deaf.start)
            self.patch(model.workers, 'stop', deaf.stop)
            outcome = model.play()
            self.assertTrue(model.workers.gangs.lone_ends)
            self.assertEqual(counted, outcome.alone > 0)

    def test_a_gang_without_tickets_is_reported_once(self) -> None:
        queue = msgspec.structs.replace(_ADVISED, per_s=0.3)
        model = CellModel(CellLoad([queue], workers=12, lasts=8), seed=1)
        self.patch(model.workers.advice, 'ask', _never_answer)
        model.play()
        starved = [one.task for one in model.starvation.starved]
        self.assertTrue(starved)
        self.assertEqual(
            [f'{task.rpartition(".")[0]}.0' for task in starved],
            starved,
        )
        self.assertEqual(len(set(starved)), len(starved))
