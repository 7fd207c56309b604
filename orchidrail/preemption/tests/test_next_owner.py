"""Tests of owners that change while a run is being stopped for urgent work."""

from __future__ import annotations

import asyncio

from orchidrail.shard.owner import ShardOwner
from orchidrail.shard.tests.fleet_case import JOB, READ_WAIT, FleetTestCase
from orchidrail.work.records import TaskPhase
from orchidrail.work.step import Task
from orchidrail.workers.port import ActiveRun, RunEnding, RunKey
from orchidrail.workers.tests.fakes import FakeWorker


class NextOwnerTest(FleetTestCase):
    """The owner is killed after the stop order, before the run has ended."""

    async def stop_and_replace(
        self, owner: ShardOwner, worker: FakeWorker
    ) -> tuple[Task, asyncio.Task[None]]:
        """Stop the run of a job; return its task at the next owner."""
        task = await self.submit(owner)
        tracked = owner.state.tracked_by_worker[task.worker]
        key = RunKey(task.key, task.run)
        owner.runs.stop(tracked, tracked.run_by_key[key])
        owner.resign()
        if not worker.ended:
            worker.active[key] = ActiveRun(key, '', 50)
        next_owner = await self.take_ownership(1, worker)
        running = asyncio.create_task(next_owner.run())
        await asyncio.sleep(READ_WAIT)
        restored = next_owner.state.job_by_id[JOB].find_task(0, 0, 0)
        assert restored is not None
        return restored, running

    def test_a_run_that_is_still_listed_is_an_ordinary_run(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            worker = FakeWorker()
            task, running = await self.stop_and_replace(owner, worker)
            self.assertEqual((TaskPhase.PLACED, 1), (task.phase, task.run))
            # The stop takes effect now: the task resumes, without a failure.
            worker.end(RunKey(task.key, task.run), RunEnding.STOPPED, 'half')
            await asyncio.sleep(READ_WAIT)
            self.assertEqual(
                (TaskPhase.PLACED, 2, 0), (task.phase, task.run, task.failures)
            )
            self.assertEqual('half', worker.starts[-1].checkpoint)
            running.cancel()

        self.run_scenario(scenario)

    def test_a_run_that_has_stopped_resumes_once(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            worker = FakeWorker()
            key = RunKey(f'{JOB}.0.0.0', 1)  # type: ignore[arg-type]
            worker.end(key, RunEnding.STOPPED, 'half')
            task, running = await self.stop_and_replace(owner, worker)
            self.assertEqual((TaskPhase.PLACED, 2), (task.phase, task.run))
            starts = [(one.key.run, one.checkpoint) for one in worker.starts]
            self.assertEqual([(2, 'half')], starts)
            running.cancel()

        self.run_scenario(scenario)
