"""Tests of workers that restart under the same name."""

from __future__ import annotations

import asyncio

from orchidrail.shard.owner import ShardOwner
from orchidrail.shard.tests.fleet_case import (
    JOB,
    READ_WAIT,
    FleetTestCase,
)
from orchidrail.types import (
    WorkerId,
)
from orchidrail.work.model import JobSpec, StepSpec
from orchidrail.work.records import TaskPhase
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import (
    ActiveRun,
    OrderResult,
    RunKey,
)
from orchidrail.workers.tests.fakes import FakeWorker


class NextIncarnationTest(FleetTestCase):
    def test_entry_of_next_incarnation_ends_previous_one(self) -> None:
        """The entry may be read before the worker is polled again."""

        async def scenario(owner: ShardOwner) -> None:
            await self.write_incarnation_entry(1000)
            worker = owner._ports.worker_calls
            assert isinstance(worker, FakeWorker)
            task = await self.submit(owner)
            worker.active.clear()
            worker.born = 900
            await self.write_incarnation_entry(900)
            await asyncio.sleep(READ_WAIT)
            self.assertEqual(['w-1@900'], list(owner.state.tracked_by_worker))
            self.assertEqual(('w-1@900', 2), (task.worker, task.run))
            self.assertEqual(1, task.crashes)

        self.run_scenario(scenario)

    def test_ended_incarnation_gets_no_new_session(self) -> None:
        """Its last entry may be read after the next incarnation responded."""

        async def scenario(owner: ShardOwner) -> None:
            worker = owner._ports.worker_calls
            assert isinstance(worker, FakeWorker)
            worker.born = 1000
            await self.write_incarnation_entry(1000)
            await asyncio.sleep(READ_WAIT)
            worker.born = 2000
            await asyncio.sleep(2 * READ_WAIT)
            workers_in_session = owner.state.tracked_by_worker
            self.assertEqual(['w-1@2000'], list(workers_in_session))
            await self.write_incarnation_entry(1000)
            self.assertEqual(['w-1@2000'], list(workers_in_session))
            current = workers_in_session[WorkerId('w-1@2000')]
            self.assertTrue(current.session.reachable)
            self.assertFalse(current.accepts_work(self.clock()))
            await self.write_incarnation_entry(2000)
            self.assertEqual([current], list(workers_in_session.values()))
            self.assertTrue(current.accepts_work(self.clock()))

        self.run_scenario(scenario)

    def test_next_owner_finds_next_incarnation(self) -> None:
        """Runs of the previous incarnation restart at once, and count."""

        async def scenario(owner: ShardOwner) -> None:
            await self.write_incarnation_entry(1000)
            await self.submit(owner)
            owner.resign()
            await self.write_incarnation_entry(2000)
            workers = FakeWorker()
            workers.born = 2000
            next_owner = await self.take_ownership(1, workers)
            running = asyncio.create_task(next_owner.run())
            await asyncio.sleep(READ_WAIT)
            task = next_owner.state.job_by_id[JOB].find_task(0, 0, 0)
            assert task is not None
            self.assertEqual(('w-1@2000', 2), (task.worker, task.run))
            self.assertEqual(1, task.crashes)
            running.cancel()

        self.run_scenario(scenario)

    def test_journal_without_incarnations_is_read(self) -> None:
        """An older version placed a run on a worker that still runs it."""

        async def scenario(owner: ShardOwner) -> None:
            task = await self.submit(owner)
            self.assertEqual('w-1', task.worker)
            owner.resign()
            await self.write_incarnation_entry(1000)
            workers = FakeWorker()
            workers.born = 1000
            key = RunKey(task.key, task.run)
            workers.active[key] = ActiveRun(key, '', 50)
            next_owner = await self.take_ownership(1, workers)
            running = asyncio.create_task(next_owner.run())
            await asyncio.sleep(READ_WAIT)
            restored = next_owner.state.job_by_id[JOB].find_task(0, 0, 0)
            assert restored is not None
            self.assertEqual(
                (TaskPhase.PLACED, 1), (restored.phase, restored.run)
            )
            self.assertEqual([], workers.starts)
            self.assertEqual(1, len(next_owner.state.tracked_by_worker))
            running.cancel()

        self.run_scenario(scenario)

    def test_next_incarnation_gets_higher_fencing_token(self) -> None:
        """It exceeds all earlier ones; the next owner's exceeds it too."""

        async def scenario(owner: ShardOwner) -> None:
            worker = owner._ports.worker_calls
            assert isinstance(worker, FakeWorker)
            worker.born = 1000
            await self.write_incarnation_entry(1000)
            epochs = [worker.holds[-1].epoch]
            for born in (2000, 1500):
                worker.born = born
                await asyncio.sleep(2 * READ_WAIT)
                epochs.append(worker.holds[-1].epoch)
            self.assertEqual([1, 2, 3], [one - epochs[0] + 1 for one in epochs])
            next_owner = await self.take_ownership(1)
            self.assertGreater(next_owner.writer.owner.epoch, epochs[-1])

        self.run_scenario(scenario)

    def test_unconfirmed_start_waits_for_next_incarnation(self) -> None:
        """It may be executed there; then it is the active run."""

        async def scenario(owner: ShardOwner) -> None:
            worker = owner._ports.worker_calls
            assert isinstance(worker, FakeWorker)
            worker.born = 1000
            await self.write_incarnation_entry(1000)
            worker.start_result = OrderResult.UNKNOWN
            spec = JobSpec('text', (StepSpec(1),))
            queue = make_job(StepSpec(1)).queue
            self.assertTrue(await owner.submit(JOB, queue, spec))
            task = owner.state.job_by_id[JOB].find_task(0, 0, 0)
            assert task is not None
            while not worker.starts:
                await asyncio.sleep(0.01)
            key = worker.starts[0].key
            worker.born = 2000
            worker.active[key] = ActiveRun(key, '', 10)
            await asyncio.sleep(2 * READ_WAIT)
            self.assertEqual(1, len(worker.starts))
            placed = (TaskPhase.PLACED, 1, 'w-1@2000')
            self.assertEqual(placed, (task.phase, task.run, task.worker))

        self.run_scenario(scenario)
