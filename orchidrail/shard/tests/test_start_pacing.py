"""Tests of the pace at which the tasks of large jobs are started."""

from __future__ import annotations

import asyncio

from orchidrail.shard.owner import ShardOwner
from orchidrail.shard.start_pacing import StartPacer
from orchidrail.shard.tests.fleet_case import FleetTestCase
from orchidrail.types import JobId, Seconds
from orchidrail.work.job import Job
from orchidrail.work.model import JobSpec, StepSpec
from orchidrail.work.size import Size
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import OrderAnswer, StartOrder, WorkerEntry
from orchidrail.workers.tests.fakes import FakeWorker

_QUEUE = make_job(StepSpec(1)).queue
_SIZE = Size(1, 1)
#: Started in less time than that after which runs count as stalled.
_MANY = 2_000


class _SlowWorker(FakeWorker):
    """Answers each start after a while, and counts those that wait."""

    def __init__(self) -> None:
        super().__init__()
        self.waiting = 0
        self.most_waiting = 0

    async def start(
        self, entry: WorkerEntry, order: StartOrder, timeout: Seconds
    ) -> OrderAnswer:
        """See `WorkerCalls.start`."""
        self.waiting += 1
        self.most_waiting = max(self.most_waiting, self.waiting)
        await asyncio.sleep(0.05)
        self.waiting -= 1
        return await super().start(entry, order, timeout)


class StartPacingTest(FleetTestCase):
    """A large job was started all at once.

    Its owner answered nobody for seconds, most orders timed out, and each next
    owner did the same.
    """

    async def submit_job(
        self, owner: ShardOwner, name: str, step: StepSpec
    ) -> Job:
        spec = JobSpec('text', (step,))
        self.assertTrue(await owner.submit(JobId(name * 16), _QUEUE, spec))
        return owner.state.job_by_id[JobId(name * 16)]

    def run_with_slow_worker(self, step: StepSpec) -> _SlowWorker:
        """Start all tasks of a large job and of a small one behind it."""
        worker = _SlowWorker()

        async def run() -> None:
            await self.write_entry(listed=True)
            owner = await self.take_ownership(0, worker)
            running = asyncio.create_task(owner.run())
            await asyncio.sleep(0.5)
            large = await self.submit_job(owner, 'f', step)
            small = await self.submit_job(owner, '0', StepSpec(1, _SIZE))
            await asyncio.sleep(0.3)
            self.assertEqual(1, len(small.placed_tasks()))
            while len(worker.starts) <= step.count:
                await asyncio.sleep(0.1)
            self.assertEqual(step.count, len(large.placed_tasks()))
            running.cancel()

        self.run_async(run())
        return worker

    def test_a_small_job_starts_beside_a_large_one(self) -> None:
        worker = self.run_with_slow_worker(StepSpec(_MANY, _SIZE))
        self.assertLessEqual(worker.most_waiting, 128)

    def test_a_gang_is_placed_at_once_and_started_at_the_same_pace(
        self,
    ) -> None:
        worker = self.run_with_slow_worker(StepSpec(700, _SIZE, gang=True))
        self.assertLessEqual(worker.most_waiting, 128)

    def test_each_job_leaves_half_of_the_rest_to_the_others(self) -> None:
        pacer = StartPacer(limit=64)
        jobs = [
            make_job(StepSpec(1), job_id=f'{number:016x}')
            for number in range(8)
        ]
        shares = []
        for job in jobs:
            shares.append(pacer.allowance(job))
            pacer.add(shares[-1], job)
        self.assertEqual([32, 16, 8, 4, 2, 1, 1, 0], shares)
        self.assertFalse(pacer.remove(jobs[0]))
        pacer.note_limited()
        self.assertTrue(pacer.remove(jobs[0]))
        self.assertEqual(1, pacer.allowance(jobs[-1]))
