"""Tests of starts, stops and ends over a real journal and a fake worker."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Awaitable, Callable
from unittest import mock

from structlog.testing import capture_logs

from orchidrail.journal import JournalView, JournalWriter
from orchidrail.journal.writer import take_over
from orchidrail.metrics import InstanceMetrics
from orchidrail.shard import run_stops
from orchidrail.shard.crash_evidence import IncarnationEnd
from orchidrail.shard.runs import RunTracker
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import (
    PlacedRun,
    TrackedWorker,
    note_progress,
)
from orchidrail.shard.worker_selection import Placement
from orchidrail.store import Topic
from orchidrail.store.memory import MemoryStore, StoreFault
from orchidrail.testing import AsyncTestCase
from orchidrail.types import (
    Address,
    Epoch,
    InstanceId,
    JobId,
    RunNumber,
    TaskKey,
    WorkerId,
)
from orchidrail.work.job import Job
from orchidrail.work.model import MemberInfo, StepSpec
from orchidrail.work.records import JobPhase, TaskPhase
from orchidrail.work.size import Size
from orchidrail.work.step import StepState
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import (
    ActiveRun,
    OrderAnswer,
    OrderResult,
    RunEnding,
    RunKey,
)
from orchidrail.workers.run_lease import RunLease
from orchidrail.workers.session import WorkerSession
from orchidrail.workers.tests.fakes import FakeWorker, make_entry

_ME = MemberInfo(InstanceId('me'), Address('me:1'), 'zone', 'me-1')
_ORDER_WAIT = 0.12


class Shard:
    """One worker, one journal and the tracker between them."""

    def __init__(self, writer: JournalWriter) -> None:
        self.store = writer.view.store
        self.fenced = 0
        self.worker = FakeWorker()
        self.state = ShardState(
            writer, time.monotonic, time.time, InstanceMetrics()
        )
        self.runs = RunTracker(
            self.state,
            self._count_fence,
            0,
        )
        session = WorkerSession(
            make_entry(),
            self.worker,
            writer.owner.epoch,
            RunLease(6, 0),
            self.runs,
            time.monotonic,
            lambda: True,
        )
        self.tracked = TrackedWorker(session)
        self.state.tracked_by_worker[session.worker] = self.tracked

    def _count_fence(self) -> None:
        self.fenced += 1

    def add(self, job: Job) -> StepState:
        self.state.job_by_id[job.job_id] = job
        return next(job.open_steps(time.time()))

    def launch(self, step: StepState) -> None:
        chosen = [Placement(task, self.tracked) for task in step.startable()]
        self.runs.launch(step, chosen)

    async def poll(self) -> None:
        await self.tracked.session._poll()

    async def crash(self) -> None:
        """End the worker's incarnation; another responds at its address."""
        self.worker.hold_result = OrderResult.OTHER_INCARNATION
        await self.poll()


class ShardTestCase(AsyncTestCase):
    """Runs scenarios against one tracker."""

    def run_scenario(
        self, scenario: Callable[[Shard], Awaitable[None]]
    ) -> None:
        """Run a scenario while the journal's writer runs."""

        async def run() -> None:
            view = JournalView(MemoryStore(), Topic('journal'))
            writer = await take_over(view, _ME, time.monotonic, Epoch(0))
            shard = Shard(writer)
            writing = asyncio.create_task(writer.run())
            await shard.poll()
            try:
                await scenario(shard)
            finally:
                shard.runs.close()
                writing.cancel()

        self.run_async(run())


class RunsTest(ShardTestCase):
    def test_start_is_sent_after_journal_write(self) -> None:
        async def scenario(shard: Shard) -> None:
            store = shard.store
            assert isinstance(store, MemoryStore)
            store.fault = StoreFault.REFUSES
            shard.launch(shard.add(make_job(StepSpec(1))))
            await asyncio.sleep(_ORDER_WAIT * 3)
            self.assertEqual([], shard.worker.starts)
            store.fault = None
            await asyncio.sleep(_ORDER_WAIT * 6)
            self.assertEqual(1, len(shard.worker.starts))

        self.run_scenario(scenario)

    def test_end_frees_capacity_and_completes_job(self) -> None:
        async def scenario(shard: Shard) -> None:
            job = make_job(StepSpec(1, size=Size(500)))
            shard.launch(shard.add(job))
            self.assertEqual(63_500, shard.tracked.free.millicores)
            await asyncio.sleep(_ORDER_WAIT)
            shard.worker.end(shard.worker.starts[0].key, RunEnding.DONE)
            await shard.poll()
            self.assertEqual(64_000, shard.tracked.free.millicores)
            self.assertIs(JobPhase.COMPLETED, job.phase)

        self.run_scenario(scenario)

    def test_unconfirmed_start_is_allocated_until_deadline(self) -> None:
        async def scenario(shard: Shard) -> None:
            shard.worker.start_result = OrderResult.UNKNOWN
            step = shard.add(make_job(StepSpec(1, size=Size(500))))
            shard.launch(step)
            await asyncio.sleep(_ORDER_WAIT)
            await shard.poll()
            self.assertEqual(63_500, shard.tracked.free.millicores)
            self.assertIs(TaskPhase.PLACED, step.tasks[0].phase)
            shard.worker.clock += 2
            await shard.poll()
            self.assertEqual(64_000, shard.tracked.free.millicores)
            self.assertIs(TaskPhase.WAITING, step.tasks[0].phase)

        self.run_scenario(scenario)

    def test_failed_start_order_is_repeated(self) -> None:
        async def scenario(shard: Shard) -> None:
            async def fail(*_: object) -> None:
                raise ValueError('not understood')

            shard.worker.start = fail  # type: ignore[assignment,method-assign]
            step = shard.add(make_job(StepSpec(1)))
            shard.launch(step)
            await asyncio.sleep(_ORDER_WAIT)
            run = next(iter(shard.tracked.run_by_key.values()))
            self.assertLess(run.start_deadline, math.inf)
            shard.worker.clock = run.start_deadline + 0.001
            await shard.poll()
            self.assertEqual(step.tasks, step.startable())

        self.run_scenario(scenario)

    def test_rejected_start_frees_capacity_at_once(self) -> None:
        async def scenario(shard: Shard) -> None:
            shard.worker.start_result = OrderResult.LATE
            step = shard.add(make_job(StepSpec(1, size=Size(500))))
            shard.launch(step)
            await asyncio.sleep(_ORDER_WAIT)
            self.assertEqual(64_000, shard.tracked.free.millicores)
            self.assertIs(TaskPhase.WAITING, step.tasks[0].phase)
            self.assertFalse(step.job.started)
            shard.worker.start_result = OrderResult.TAKEN
            shard.launch(step)
            await asyncio.sleep(_ORDER_WAIT)
            self.assertTrue(step.job.started)

        self.run_scenario(scenario)

    def test_resumed_run_shows_no_speed(self) -> None:
        """Its worker was taken for fast, as the run took less than its task."""

        async def scenario(shard: Shard) -> None:
            step = shard.add(make_job(StepSpec(2, estimate=1)))
            step.tasks[0].checkpoint = 'saved'
            shard.launch(step)
            await asyncio.sleep(_ORDER_WAIT)
            with mock.patch.object(shard.state.speeds, 'note') as note:
                for task in step.tasks:
                    shard.worker.end(RunKey(task.key, task.run), RunEnding.DONE)
                    await shard.poll()
            note.assert_called_once()

        self.run_scenario(scenario)

    def test_inherited_run_shows_no_speed(self) -> None:
        """Its worker was taken for fast, as its start was not observed."""

        async def scenario(shard: Shard) -> None:
            job = make_job(StepSpec(1, estimate=1))
            step = shard.add(job)
            task = step.tasks[0]
            job.place(task, RunNumber(1), shard.tracked.worker)
            key = RunKey(task.key, task.run)
            shard.worker.active[key] = ActiveRun(key, '', 50)
            await shard.poll()
            shard.worker.end(key, RunEnding.DONE)
            with mock.patch.object(shard.state.speeds, 'note') as note:
                await shard.poll()
            note.assert_not_called()
            self.assertIs(TaskPhase.DONE, task.phase)

        self.run_scenario(scenario)

    def test_unknown_run_blocks_worker_until_it_ends(self) -> None:
        async def scenario(shard: Shard) -> None:
            key = RunKey(TaskKey('f' * 16 + '.0.0.0'), RunNumber(1))
            shard.worker.active[key] = ActiveRun(key, '', 0)
            await shard.poll()
            self.assertFalse(shard.tracked.accepts_work(time.monotonic()))
            await asyncio.sleep(_ORDER_WAIT)
            self.assertEqual([key], shard.worker.stops)
            shard.worker.end(key, RunEnding.STOPPED)
            await shard.poll()
            self.assertTrue(shard.tracked.accepts_work(time.monotonic()))

        self.run_scenario(scenario)

    def test_inherited_run_is_adopted(self) -> None:
        async def scenario(shard: Shard) -> None:
            job = make_job(StepSpec(1, size=Size(500)))
            step = shard.add(job)
            task = step.tasks[0]
            job.place(task, RunNumber(1), shard.tracked.worker)
            shard.state.unresolved_runs[shard.tracked.worker] = [
                (task, task.run)
            ]
            key = RunKey(task.key, RunNumber(1))
            shard.worker.active[key] = ActiveRun(key, '', 50)
            await shard.poll()
            self.assertEqual(63_500, shard.tracked.free.millicores)
            self.assertIs(TaskPhase.PLACED, task.phase)

        self.run_scenario(scenario)

    def test_inherited_run_not_listed_is_restarted(self) -> None:
        async def scenario(shard: Shard) -> None:
            job = make_job(StepSpec(1))
            step = shard.add(job)
            task = step.tasks[0]
            job.place(task, RunNumber(1), shard.tracked.worker)
            shard.state.unresolved_runs[shard.tracked.worker] = [
                (task, task.run)
            ]
            await shard.poll()
            self.assertEqual([task], step.startable())
            self.assertEqual(2, step.next_run([task]))

        self.run_scenario(scenario)

    def test_run_missing_from_incomplete_listing_is_not_restarted(
        self,
    ) -> None:
        """After a partition a worker may have more ends than one listing holds.

        A run that the listing left out had ended as done, was taken for lost
        and started again.
        """

        async def scenario(shard: Shard) -> None:
            step = shard.add(make_job(StepSpec(3)))
            shard.launch(step)
            await asyncio.sleep(_ORDER_WAIT)
            await shard.poll()
            for order in shard.worker.starts:
                shard.worker.end(order.key, RunEnding.DONE)
            shard.worker.max_listed_endings = 1
            for ended in range(1, 4):
                await shard.poll()
                phases = [task.phase for task in step.tasks]
                self.assertEqual(ended, phases.count(TaskPhase.DONE))
                self.assertEqual([], step.startable())
            self.assertEqual([], shard.worker.stops)
            self.assertIs(JobPhase.COMPLETED, step.job.phase)

        self.run_scenario(scenario)

    def test_inherited_run_missing_from_incomplete_listing_is_kept(
        self,
    ) -> None:
        """The same after a takeover, whose first listing may be incomplete."""

        async def scenario(shard: Shard) -> None:
            step = shard.add(make_job(StepSpec(2)))
            first, second = step.tasks
            worker = shard.tracked.worker
            for task in step.tasks:
                step.job.place(task, RunNumber(1), worker)
                key = RunKey(task.key, RunNumber(1))
                shard.worker.end(key, RunEnding.DONE)
            shard.state.unresolved_runs[worker] = [
                (task, task.run) for task in step.tasks
            ]
            shard.worker.max_listed_endings = 1
            await shard.poll()
            self.assertIs(TaskPhase.DONE, first.phase)
            self.assertIs(TaskPhase.PLACED, second.phase)
            unresolved = shard.state.unresolved_runs[worker]
            self.assertEqual([(second, second.run)], unresolved)
            await shard.poll()
            self.assertIs(TaskPhase.DONE, second.phase)
            self.assertEqual({}, shard.state.unresolved_runs.data)

        self.run_scenario(scenario)

    def test_run_just_placed_is_not_stalled(self) -> None:
        async def scenario(shard: Shard) -> None:
            shard.worker.start_result = OrderResult.UNKNOWN
            shard.launch(shard.add(make_job(StepSpec(1))))
            await shard.poll()
            self.assertFalse(shard.tracked.stalled)

        self.run_scenario(scenario)

    def test_stalled_run_is_stopped_and_worker_avoided(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = shard.add(make_job(StepSpec(1)))
            shard.launch(step)
            await asyncio.sleep(_ORDER_WAIT)
            await shard.poll()
            run = next(iter(shard.tracked.run_by_key.values()))
            run.progress_at -= 2
            await shard.poll()
            self.assertTrue(shard.tracked.stalled)
            await asyncio.sleep(_ORDER_WAIT)
            self.assertEqual([run.key], shard.worker.stops)
            now = shard.state.clock()
            avoided = step.failed_workers.avoids(shard.tracked.worker, now)
            self.assertTrue(avoided)

        self.run_scenario(scenario)

    def test_stalled_best_effort_run_does_not_block_worker(
        self,
    ) -> None:
        """It stalls while others use all processor time, and is moved."""

        async def scenario(shard: Shard) -> None:
            shard.launch(shard.add(make_job(StepSpec(1, best_effort=True))))
            await asyncio.sleep(_ORDER_WAIT)
            await shard.poll()
            run = next(iter(shard.tracked.run_by_key.values()))
            run.progress_at -= 2
            await shard.poll()
            self.assertFalse(shard.tracked.stalled)
            await asyncio.sleep(_ORDER_WAIT)
            self.assertEqual([run.key], shard.worker.stops)

        self.run_scenario(scenario)

    def test_long_run_progresses_by_whole_percents(self) -> None:
        """One of 200 s needs 2 s for each; its estimate may be far off."""
        for share, estimate in ((0, 200), (3, 200), (3, 1)):
            task = make_job(StepSpec(1, estimate=estimate)).steps(0)[0].tasks[0]
            key = RunKey(task.key, RunNumber(1))
            run = PlacedRun(key, Size(), task, 0, confirmed_at=1)
            note_progress(run, share, now=1 + 2 * share)
            last = run.progress_at
            self.assertFalse(run.stalled(last + 2.5), (share, estimate))
            self.assertTrue(run.stalled(last + 9), (share, estimate))

    def test_worker_that_fails_two_jobs_is_quarantined(self) -> None:
        async def scenario(shard: Shard) -> None:
            for number in range(2, 5):
                name = WorkerId(f'w-{number}')
                shard.state.tracked_by_worker[name] = shard.tracked
            for number in range(2):
                job = make_job(StepSpec(1))
                job.job_id = JobId(f'{number:016x}')
                shard.launch(shard.add(job))
                await asyncio.sleep(_ORDER_WAIT)
                self.assertTrue(shard.tracked.accepts_work(time.monotonic()))
                shard.worker.end(shard.worker.starts[-1].key, RunEnding.FAILED)
                await shard.poll()
            self.assertFalse(shard.tracked.accepts_work(time.monotonic()))

        self.run_scenario(scenario)

    def test_stop_is_repeated_while_worker_rejects_it(self) -> None:
        """Its lease is renewed with that of all others there."""

        async def scenario(shard: Shard) -> None:
            self.patch(run_stops, '_STOP_INTERVAL', 0.001)
            shard.launch(shard.add(make_job(StepSpec(1))))
            await asyncio.sleep(_ORDER_WAIT)
            stop = shard.worker.stop
            run = next(iter(shard.tracked.run_by_key.values()))

            async def refuse(*_: object) -> OrderAnswer:
                return OrderAnswer(OrderResult.UNHEALTHY)

            shard.worker.stop = refuse  # type: ignore[method-assign]
            shard.runs.stop(shard.tracked, run)
            await asyncio.sleep(2 * _ORDER_WAIT)
            shard.worker.stop = stop  # type: ignore[method-assign]
            await shard.poll()
            await asyncio.sleep(_ORDER_WAIT)
            self.assertIn(run.key, shard.worker.stops)

        self.run_scenario(scenario)

    def test_stopped_run_without_an_end_is_released(self) -> None:
        """Repeated stop orders must not postpone its release.

        Each confirmation moved the time from which a listing without the run
        counts. With stops more often than they take, no listing ever did, and
        the worker, which had nothing running, got no work any more.
        """

        async def scenario(shard: Shard) -> None:
            self.patch(run_stops, '_STOP_INTERVAL', 0.01)
            shard.runs._stops._stop_duration = 10 * 0.01
            key = RunKey(TaskKey('f' * 16 + '.0.0.0'), RunNumber(1))
            shard.worker.active[key] = ActiveRun(key, '', 0)
            await shard.poll()
            self.assertFalse(shard.tracked.accepts_work(time.monotonic()))
            await asyncio.sleep(2 * _ORDER_WAIT)
            await shard.poll()
            self.assertTrue(shard.tracked.accepts_work(time.monotonic()))

        self.run_scenario(scenario)

    def test_stop_without_effect_is_reported(self) -> None:
        """The worker confirms the stops but keeps the run active."""

        async def scenario(shard: Shard) -> None:
            self.patch(run_stops, '_STOP_INTERVAL', 0.001)
            shard.launch(shard.add(make_job(StepSpec(1))))
            await asyncio.sleep(_ORDER_WAIT)
            await shard.poll()
            run = next(iter(shard.tracked.run_by_key.values()))

            async def confirm(*_: object) -> OrderAnswer:
                return OrderAnswer(OrderResult.TAKEN, shard.worker.clock)

            shard.worker.stop = confirm  # type: ignore[method-assign]
            with capture_logs() as lines:
                shard.runs.stop(shard.tracked, run)
                await asyncio.sleep(_ORDER_WAIT)
            reported = [
                line['task']
                for line in lines
                if line['event'] == 'run not stopped'
            ]
            self.assertEqual([run.key.task], reported)
            self.assertTrue(shard.tracked.holds(run))

        self.run_scenario(scenario)

    def test_ended_run_missing_from_journal_counts(self) -> None:
        async def scenario(shard: Shard) -> None:
            job = make_job(StepSpec(1))
            step = shard.add(job)
            key = RunKey(step.tasks[0].key, RunNumber(2))
            shard.worker.end(key, RunEnding.DONE)
            await shard.poll()
            self.assertIs(JobPhase.COMPLETED, job.phase)

        self.run_scenario(scenario)

    def test_run_missing_from_journal_replaces_older_run(self) -> None:
        async def scenario(shard: Shard) -> None:
            job = make_job(StepSpec(1, size=Size(500)))
            task = shard.add(job).tasks[0]
            lost_worker = WorkerId('gone')
            job.place(task, RunNumber(1), lost_worker)
            shard.state.unresolved_runs[lost_worker] = [(task, task.run)]
            key = RunKey(task.key, RunNumber(2))
            shard.worker.active[key] = ActiveRun(key, '', 50)
            await shard.poll()
            self.assertEqual(2, task.run)
            shard.runs.presume_worker_lost(
                lost_worker, IncarnationEnd.LEASE_EXPIRED
            )
            self.assertIs(TaskPhase.PLACED, task.phase)

        self.run_scenario(scenario)

    def test_gang_that_lost_a_member_is_stopped(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = shard.add(make_job(StepSpec(2, gang=True)))
            shard.launch(step)
            await asyncio.sleep(_ORDER_WAIT)
            first, second = (order.key for order in shard.worker.starts)
            shard.worker.end(first, RunEnding.LAPSED)
            await shard.poll()
            await asyncio.sleep(_ORDER_WAIT)
            self.assertEqual([second], shard.worker.stops)

        self.run_scenario(scenario)
