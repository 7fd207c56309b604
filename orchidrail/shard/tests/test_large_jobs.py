"""Tests of jobs whose records exceed what the store takes at once.

The progress of a job of 12,000 tasks was one record, larger than the store
accepts. The refused append was repeated for ever, so nothing else was written:
no job started, and none was accepted any more, under any owner.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from unittest import mock

from orchidrail.shard import admission, open_task_count
from orchidrail.shard.owner import ShardOwner
from orchidrail.shard.tests.fleet_case import FleetTestCase
from orchidrail.store import (
    AppendOutcome,
    KeyedRecord,
    Refused,
    Topic,
)
from orchidrail.store.memory import MemoryStore
from orchidrail.types import (
    JobId,
    Offset,
    RunNumber,
    TenantId,
    WorkCode,
    WorkerId,
)
from orchidrail.work import progress_blocks
from orchidrail.work.job import Job
from orchidrail.work.model import JobSpec, StepSpec
from orchidrail.work.records import (
    FailureCause,
    JobPhase,
    TaskPhase,
    decode_progress,
    encode_progress,
    progress_key,
)
from orchidrail.work.size import Size
from orchidrail.work.tenant import ANONYMOUS_TENANT, Tenant
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import RunEnding

_LARGE = JobId('f' * 16)
_SMALL = JobId('0' * 16)
_QUEUE = make_job(StepSpec(1)).queue
_WORKER = WorkerId('w-1@1712345678901')
_TENANT = Tenant(TenantId('t'), 1, Size(10**9, 10**9))
#: More than one record holds, at about 24 bytes for each task placed.
_MANY = 12_000
#: Tasks fit no worker: the tests place them.
_STEP = StepSpec(_MANY, Size(10**8, 1))


class _SelectiveStore(MemoryStore):
    """Refuses records of some keys, whatever their size."""

    def __init__(self) -> None:
        super().__init__()
        self.refused_prefix = ''

    async def append(
        self,
        topic: Topic,
        records: list[KeyedRecord],
        expected_end: Offset | None = None,
    ) -> AppendOutcome:
        prefix = self.refused_prefix
        if prefix and any(one.key.startswith(prefix) for one in records):
            self.refusals += 1
            return Refused('not these')
        return await super().append(topic, records, expected_end)


def _place_all(job: Job) -> None:
    for step in job.steps(0):
        for task in step.tasks:
            job.place(task, RunNumber(1), _WORKER)


class LargeJobsTest(FleetTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = _SelectiveStore()

    def run_with_job(
        self, scenario: Callable[[ShardOwner, Job], Awaitable[None]]
    ) -> None:
        """Run a scenario with a large job, accepted and not started."""

        async def run(owner: ShardOwner) -> None:
            spec = JobSpec('text', (_STEP,))
            self.assertTrue(await owner.submit(_LARGE, _QUEUE, spec))
            await scenario(owner, owner.state.job_by_id[_LARGE])

        self.run_scenario(run)

    async def submit_small(self, owner: ShardOwner) -> bool | None:
        spec = JobSpec('text', (StepSpec(1),))
        return await owner.submit(_SMALL, _QUEUE, spec)

    def test_progress_of_a_large_job_leaves_the_others_writable(self) -> None:
        async def scenario(owner: ShardOwner, large: Job) -> None:
            _place_all(large)
            owner.state.save(large)
            self.assertTrue(await self.submit_small(owner))
            self.assertTrue(await owner.writer.flush())
            self.assertEqual(0, self.store.refusals)
            following = await self.take_ownership(1)
            restored = following.state.job_by_id[_LARGE]
            self.assertEqual(large.rows(), restored.rows())

        self.run_with_job(scenario)

    def test_a_change_is_written_without_the_whole_job(self) -> None:
        async def scenario(owner: ShardOwner, large: Job) -> None:
            _place_all(large)
            owner.state.save(large)
            self.assertTrue(await owner.writer.flush())
            before = len(self.store.records_by_topic[Topic('journal')])
            task = large.steps(0)[0].tasks[-1]
            large.end_run(task, task.run, RunEnding.DONE, '')
            owner.state.save(large)
            self.assertTrue(await owner.writer.flush())
            written = self.store.records_by_topic[Topic('journal')][before:]
            keys = [one.key for one in written if one.key.startswith('p')]
            self.assertEqual([progress_key(_LARGE, large.blocks()[-1])], keys)

        self.run_with_job(scenario)

    def test_the_end_of_a_large_job_removes_all_of_it(self) -> None:
        async def scenario(owner: ShardOwner, large: Job) -> None:
            _place_all(large)
            owner.state.save(large)
            self.assertTrue(await owner.writer.flush())
            await owner.cancel(_LARGE)
            self.assertTrue(await owner.writer.flush())
            value_by_key = owner.writer.view.value_by_key
            self.assertEqual(
                [], [key for key in value_by_key if key.startswith('p')]
            )
            self.assertIs(JobPhase.CANCELLED, owner.phase(_LARGE))

        self.run_with_job(scenario)

    def test_the_end_of_a_tenants_large_job_is_written(self) -> None:
        """Its record lists the runs that may still be stopping."""

        async def scenario(owner: ShardOwner) -> None:
            spec = JobSpec('text', (_STEP,))
            accepted = await owner.submit(_LARGE, _QUEUE, spec, tenant=_TENANT)
            self.assertTrue(accepted)
            _place_all(owner.state.job_by_id[_LARGE])
            await owner.cancel(_LARGE)
            self.assertEqual(0, self.store.refusals)
            following = await self.take_ownership(1)
            lingering = following.state.unresolved_runs._lingering_by_worker
            self.assertEqual(_MANY, len(lingering[_WORKER]))

        self.run_scenario(scenario)

    def test_checkpoints_that_do_not_fit_are_left_out(self) -> None:
        """The tasks start over under the next owner, but no run is lost."""

        async def scenario(owner: ShardOwner, large: Job) -> None:
            for task in large.steps(0)[0].tasks[:1024]:
                large.place(task, RunNumber(1), _WORKER)
                large.note_checkpoint(task, 'x' * 3000)
            owner.state.save(large)
            self.assertTrue(await owner.writer.flush())
            following = await self.take_ownership(1)
            rows = following.state.job_by_id[_LARGE].rows()
            self.assertEqual(1024, len(rows))
            self.assertEqual({''}, {row.checkpoint for row in rows})

        self.run_with_job(scenario)

    def test_a_job_fails_whose_progress_the_store_never_accepts(self) -> None:
        """The next owner would run its tasks again; others go on."""

        async def scenario(owner: ShardOwner, large: Job) -> None:
            self.store.refused_prefix = progress_key(_LARGE)
            _place_all(large)
            owner.state.save(large)
            self.assertTrue(await self.submit_small(owner))
            await asyncio.sleep(0.5)
            state = owner.job_state(_LARGE)
            assert state is not None
            self.assertEqual(
                (JobPhase.FAILED, FailureCause.NOT_STORABLE),
                (state.phase, state.cause),
            )
            self.assertFalse(owner.writer.fenced.is_set())
            refused = owner.state.metrics.store.refused_values
            self.assertGreater(refused._value.get(), 0)
            refusals = self.store.refusals
            await asyncio.sleep(5)
            self.assertEqual(refusals, self.store.refusals)

        self.run_with_job(scenario)

    def test_a_submission_that_the_store_never_accepts_is_rejected(
        self,
    ) -> None:
        async def scenario(owner: ShardOwner) -> None:
            self.store.refused_prefix = f'j{_LARGE}'
            spec = JobSpec('text', (StepSpec(1),))
            both = asyncio.gather(
                owner.submit(_LARGE, _QUEUE, spec), self.submit_small(owner)
            )
            await asyncio.sleep(0)
            # It is placed while its record is being written.
            job = owner.state.job_by_id[_LARGE]
            _place_all(job)
            owner.state.save(job)
            self.assertEqual([False, True], await both)
            self.assertIsNone(owner.phase(_LARGE))
            self.assertNotIn(_LARGE, owner.state.job_by_id)
            await owner.writer.flush()
            self.assertNotIn(
                progress_key(_LARGE), owner.writer.view.value_by_key
            )

        self.run_scenario(scenario)

    def test_jobs_that_can_not_be_kept_are_rejected_at_once(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            steps = tuple(StepSpec(1) for _ in range(100_000))
            for spec in (
                JobSpec('text', (StepSpec(1_000_000),)),
                JobSpec('text', steps),
            ):
                self.assertIs(WorkCode.NEVER_FITS, self.reject(owner, spec))
            self.assertIsNone(self.reject(owner, JobSpec('text', steps[:5000])))

        self.run_scenario(scenario)

    def test_jobs_beyond_an_owners_memory_wait_for_others_to_end(
        self,
    ) -> None:
        async def scenario(owner: ShardOwner) -> None:
            spec = JobSpec('text', (StepSpec(6, Size(10**8, 1)),))
            self.assertIsNone(self.reject(owner, spec))
            self.assertTrue(await owner.submit(_LARGE, _QUEUE, spec))
            self.assertIs(WorkCode.REJECTED, self.reject(owner, spec))
            await owner.cancel(_LARGE)
            await asyncio.sleep(1)
            self.assertIsNone(self.reject(owner, spec))

        for module in (admission, open_task_count):
            patcher = mock.patch.object(module, 'MAX_OPEN_TASKS', 10)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.run_scenario(scenario)

    def reject(self, owner: ShardOwner, spec: JobSpec) -> WorkCode | None:
        found = owner.find_rejection(_SMALL, _QUEUE, spec, ANONYMOUS_TENANT)
        return None if found is None else found.code

    def test_a_gang_is_done_if_one_of_its_blocks_says_so(self) -> None:
        """Blocks are written by different appends, of which the last may lack.

        A gang of which one member is done and another is not would never start
        again and never be completed.
        """
        self.patch(progress_blocks, 'TASKS_PER_BLOCK', 2)
        job = make_job(StepSpec(4, gang=True))
        _place_all(job)
        first, second = job.blocks()
        placed = encode_progress(job.short_rows(second))
        job.end_run(job.steps(0)[0].tasks[0], RunNumber(1), RunEnding.DONE, '')
        done = encode_progress(job.short_rows(first))
        restored = make_job(StepSpec(4, gang=True))
        restored.restore(decode_progress(done), first)
        restored.restore(decode_progress(placed), second)
        phases = {task.phase for task in restored.steps(0)[0].tasks}
        self.assertEqual({TaskPhase.DONE}, phases)
