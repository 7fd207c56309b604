"""Tests of placement passes with a real journal and fake workers."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec
from structlog.testing import capture_logs

from orchidrail.journal import JournalView, JournalWriter
from orchidrail.journal.writer import take_over
from orchidrail.metrics import InstanceMetrics
from orchidrail.shard.advice_dispatcher import AdviceDispatcher
from orchidrail.shard.long_waits import LongWaitReporter, WaitingWork
from orchidrail.shard.placer import Placer
from orchidrail.shard.runs import RunTracker
from orchidrail.shard.state import ShardState
from orchidrail.shard.tests.test_due_times import make_timed_job
from orchidrail.shard.tracked_worker import TrackedWorker
from orchidrail.store import Topic
from orchidrail.store.memory import MemoryStore, StoreFault
from orchidrail.testing import TEST_TIMEOUT, AsyncTestCase, ReturnT
from orchidrail.types import (
    Address,
    Epoch,
    InstanceId,
    JobId,
    Seconds,
    WorkerId,
)
from orchidrail.work.job import Job
from orchidrail.work.model import AdviceCost, MemberInfo, StepSpec
from orchidrail.work.records import TaskPhase
from orchidrail.work.size import Size
from orchidrail.work.step import StepState
from orchidrail.work.tests.test_job import make_job
from orchidrail.work.wait_times import WaitReason
from orchidrail.workers.port import Advice
from orchidrail.workers.run_lease import RunLease
from orchidrail.workers.session import WorkerSession
from orchidrail.workers.tests.fakes import FakeWorker, make_entry
from standins.model.loop import run_in_virtual_time

_ME = MemberInfo(InstanceId('me'), Address('me:1'), 'zone', 'me-1')
_COST = AdviceCost(0.5, 0.007, 1.5)
#: The shortest time by which two jobs may be accepted apart, in seconds.
_MOMENT = 0.001
_SOON = 0.05
#: Maximum number of workers in one call to the advice service.
_MAX_IN_CALL = 100
#: Tasks of a step that needs more than one call.
_WIDE = 130
#: Clocks that start at 0 would hide times that were never set.
_STARTED_AT: Seconds = 1000
#: Jobs are accepted one after another, also at one virtual time: the order
#: decides between steps of the same rank.
_acceptance_delays = itertools.count(step=1e-6)


def _clock() -> Seconds:
    """Return the wall clock and the monotonic clock of the shard."""
    return _STARTED_AT + asyncio.get_running_loop().time()


def _make_job(name: str, spec: StepSpec, priority: int, advice: bool) -> Job:
    job = make_job(spec)
    queue = msgspec.structs.replace(
        job.queue,
        priority=priority,
        advice=_COST if advice else None,
    )
    record = msgspec.structs.replace(
        job.record,
        queue=queue,
        accepted_at=_clock() + next(_acceptance_delays),
    )
    return Job(JobId(name), record)


class _Scenario:
    """Workers, a placer, and advice requests that the test answers."""

    def __init__(self, writer: JournalWriter) -> None:
        self.state = ShardState(
            writer,
            _clock,
            _clock,
            InstanceMetrics(),
        )
        self.runs = RunTracker(self.state, self._note_fence, 0)
        self.dispatcher = AdviceDispatcher(self._call_advice, _clock)
        self.placer = Placer(self.state, self.runs, self.dispatcher)
        self.requests: list[tuple[list[WorkerId], asyncio.Future[Advice]]] = []

    def _note_fence(self) -> None:
        self.fenced = True

    async def _call_advice(
        self,
        lane: InstanceId,
        step_key: str,
        workers: list[WorkerId],
        timeout: Seconds,
    ) -> Advice:
        answer: asyncio.Future[Advice] = (
            asyncio.get_running_loop().create_future()
        )
        self.requests.append((workers, answer))
        return await answer

    async def add_worker(self, name: str) -> None:
        session = WorkerSession(
            make_entry(name),
            FakeWorker(),
            self.state.writer.owner.epoch,
            RunLease(6, 0),
            self.runs,
            _clock,
            lambda: True,
        )
        tracked = TrackedWorker(session)
        self.state.tracked_by_worker[session.worker] = tracked
        await session._poll()

    def add(self, job: Job) -> None:
        self.state.job_by_id[job.job_id] = job
        self.state.mark_changed(job)

    async def answer(self, number: int, valid: Seconds) -> None:
        """Grant tickets for all workers that a request names."""
        workers, answer = self.requests[number]
        answer.set_result(Advice(dict.fromkeys(workers, 'ticket'), valid))
        await asyncio.sleep(_SOON)


class PlacerTest(AsyncTestCase):
    """Runs in virtual time, so its waits don't depend on the machine's load."""

    def run_async(self, work: Coroutine[Any, Any, ReturnT]) -> ReturnT:
        """See `AsyncTestCase.run_async`."""
        return run_in_virtual_time(asyncio.wait_for(work, TEST_TIMEOUT))

    def run_scenario(
        self, scenario: Callable[[_Scenario], Awaitable[None]]
    ) -> None:
        """Run a scenario with a journal writer and a placer running."""

        async def run() -> None:
            view = JournalView(MemoryStore(), Topic('journal'))
            writer = await take_over(view, _ME, _clock, Epoch(0))
            setting = _Scenario(writer)
            tasks = [
                asyncio.create_task(work)
                for work in (writer.run(), setting.placer.run())
            ]
            try:
                await scenario(setting)
            finally:
                setting.placer.close()
                setting.runs.close()
                for task in tasks:
                    task.cancel()

        self.run_async(run())

    def test_a_gang_is_placed_on_its_hold_when_tickets_arrive(
        self,
    ) -> None:
        async def scenario(shard: _Scenario) -> None:
            await shard.add_worker('w-1')
            shard.dispatcher.set_advice_lanes([InstanceId('lane')])
            gang = _make_job(
                'a' * 16,
                StepSpec(2, Size(20_000, 1), gang=True),
                1,
                advice=True,
            )
            shard.add(gang)
            await asyncio.sleep(_SOON)
            # The tickets expire at once, so the gang requests them again.
            await shard.answer(0, valid=0)
            self.assertEqual(2, len(shard.requests))
            urgent = _make_job(
                'b' * 16,
                StepSpec(1, Size(30_000, 1)),
                0,
                advice=False,
            )
            shard.add(urgent)
            await asyncio.sleep(_SOON)
            await shard.answer(1, valid=1.5)
            phases = {task.phase for task in gang.steps(0)[0].tasks}
            self.assertEqual({TaskPhase.PLACED}, phases)

        self.run_scenario(scenario)

    def test_a_hold_is_not_used_beside_a_new_best_effort_task(
        self,
    ) -> None:
        """Guards against a best-effort task colocated during a hold.

        It is allocated no processor time, so the hold does not keep it away.
        """

        async def scenario(shard: _Scenario) -> None:
            await shard.add_worker('w-1')
            shard.dispatcher.set_advice_lanes([InstanceId('lane')])
            latency_sensitive_spec = StepSpec(
                1, Size(20_000, 1), lasting=True, target=0.1
            )
            latency_sensitive_job = _make_job(
                'a' * 16, latency_sensitive_spec, 1, advice=True
            )
            shard.add(latency_sensitive_job)
            await asyncio.sleep(_SOON)
            # The tickets expire at once, so the step requests them again.
            await shard.answer(0, valid=0)
            best_effort_spec = StepSpec(1, Size(4000, 1), best_effort=True)
            best_effort_job = _make_job(
                'b' * 16, best_effort_spec, 1, advice=False
            )
            shard.add(best_effort_job)
            await asyncio.sleep(_SOON)
            await shard.answer(1, valid=1.5)
            phases = [
                job.steps(0)[0].tasks[0].phase
                for job in (latency_sensitive_job, best_effort_job)
            ]
            self.assertEqual([TaskPhase.WAITING, TaskPhase.PLACED], phases)

        self.run_scenario(scenario)

    def test_a_step_uses_several_lanes_if_there_are_many(self) -> None:
        async def scenario(shard: _Scenario) -> None:
            for number in range(24):
                await shard.add_worker(f'w-{number}')
            shard.dispatcher.set_advice_lanes(
                [InstanceId(f'l-{lane}') for lane in range(12)]
            )
            spec = StepSpec(2, Size(20_000, 1), gang=True)
            shard.add(_make_job('a' * 16, spec, 1, advice=True))
            await asyncio.sleep(_SOON)
            requested = [len(workers) for workers, _ in shard.requests]
            self.assertEqual([12, 12], requested)

        self.run_scenario(scenario)

    def test_a_step_uses_one_lane_while_the_others_are_busy(
        self,
    ) -> None:
        async def scenario(shard: _Scenario) -> None:
            for number in range(24):
                await shard.add_worker(f'w-{number}')
            shard.dispatcher.set_advice_lanes(
                [InstanceId(f'l-{lane}') for lane in range(9)]
            )
            spec = StepSpec(2, Size(20_000, 1), gang=True)
            for name in ('a', 'b'):
                shard.add(_make_job(name * 16, spec, 1, advice=True))
                await asyncio.sleep(_SOON)
            requested = [len(workers) for workers, _ in shard.requests]
            self.assertEqual([12, 12, 24], requested)

        self.run_scenario(scenario)

    def test_a_gang_requests_more_candidates_than_other_steps(self) -> None:
        """Guards against gangs that wait for workers they have not checked.

        About a quarter of a busy cell's workers is permitted for each gang of
        twenty. Their permitted workers were full, and each further advice call
        took 0.9 s. The same step without a gang requests as many workers as
        before.
        """

        async def scenario(shard: _Scenario) -> None:
            for number in range(90):
                await shard.add_worker(f'w-{number:02d}')
            lanes = [InstanceId(f'lane-{lane}') for lane in range(40)]
            shard.dispatcher.set_advice_lanes(lanes)
            requested: list[int] = []
            for name, gang in (('a' * 16, False), ('b' * 16, True)):
                spec = StepSpec(80, Size(8000, 1), gang=gang)
                before = len(shard.requests)
                shard.add(_make_job(name, spec, 2, advice=True))
                await asyncio.sleep(_SOON)
                new = shard.requests[before:]
                requested.append(
                    len({one for names, _ in new for one in names})
                )
            self.assertGreaterEqual(requested[1], min(90, 2 * requested[0]))

        self.run_scenario(scenario)

    async def wait_with_expired_tickets(
        self, shard: _Scenario, spec: StepSpec
    ) -> StepState:
        """Let a wide step wait all of whose tickets have expired."""
        for number in range(_WIDE):
            await shard.add_worker(f'w-{number}')
        shard.dispatcher.set_advice_lanes(
            [InstanceId('first'), InstanceId('second')]
        )
        job = _make_job('a' * 16, spec, 1, advice=True)
        step = job.steps(0)[0]
        all_workers = list(shard.state.tracked_by_worker)
        step.permits.record_advice(
            all_workers, dict.fromkeys(all_workers, 'old'), 0
        )
        shard.add(job)
        await asyncio.sleep(_SOON)
        return step

    def assert_placed(self, step: StepState) -> None:
        phases = {task.phase for task in step.tasks}
        self.assertEqual({TaskPhase.PLACED}, phases)

    def test_no_call_names_more_workers_than_the_maximum(self) -> None:
        """Guards against calls that the advice service always rejects."""

        async def scenario(shard: _Scenario) -> None:
            spec = StepSpec(_WIDE, Size(1000), most_per_worker=1)
            step = await self.wait_with_expired_tickets(shard, spec)
            requested = [len(workers) for workers, _ in shard.requests]
            self.assertLessEqual(max(requested), _MAX_IN_CALL)
            self.assertEqual(_WIDE, sum(requested))
            for number, _ in enumerate(requested):
                await shard.answer(number, valid=1.5)
            self.assert_placed(step)

        self.run_scenario(scenario)

    def test_a_wide_gang_keeps_its_holds_until_the_last_answer(self) -> None:
        async def scenario(shard: _Scenario) -> None:
            spec = StepSpec(_WIDE, Size(1000), gang=True, most_per_worker=1)
            step = await self.wait_with_expired_tickets(shard, spec)
            calls = len(shard.requests)
            for number in range(calls - 1):
                await shard.answer(number, valid=1.5)
            held = [
                bool(tracked.held_by_step)
                for tracked in shard.state.tracked_by_worker.values()
            ]
            self.assertEqual(_WIDE, sum(held))
            await shard.answer(calls - 1, valid=1.5)
            self.assert_placed(step)
            self.assertEqual(calls, len(shard.requests))

        self.run_scenario(scenario)

    def test_a_gang_that_loses_a_hold_starts_on_other_tickets(self) -> None:
        """Guards against a gang deferred by each quarantined worker."""

        async def scenario(shard: _Scenario) -> None:
            for name in ('w-1', 'w-2', 'w-3', 'w-4'):
                await shard.add_worker(name)
            shard.dispatcher.set_advice_lanes([InstanceId('lane')])
            gang = StepSpec(2, Size(60_000, 1), gang=True)
            job = _make_job('a' * 16, gang, 1, advice=True)
            shard.add(job)
            await asyncio.sleep(_SOON)
            await shard.answer(0, valid=0)
            renewed = shard.requests[1][0]
            self.assertEqual(4, len(renewed))
            removed = shard.state.tracked_by_worker[renewed[0]]
            removed.listed = False
            await shard.answer(1, valid=5)
            workers = {task.worker for task in job.steps(0)[0].tasks}
            self.assertEqual(2, len(workers - {'', removed.worker}))

        self.run_scenario(scenario)

    def test_a_long_wait_is_logged_with_its_reasons(self) -> None:
        async def scenario(shard: _Scenario) -> None:
            await shard.add_worker('w-1')
            spec = StepSpec(3, Size(1000), lasting=True, most_per_worker=1)
            job = _make_job('a' * 16, spec, 1, advice=False)
            shard.add(job)
            await asyncio.sleep(_SOON)
            waits = LongWaitReporter(shard.state)
            step = job.steps(0)[0]
            reason_by_job = {job.job_id: WaitReason.ROOM}
            work = WaitingWork([step], frozenset(), reason_by_job)
            with capture_logs() as lines:
                waits.report(work)
                shard.state.clock = lambda: _clock() + 3
                for _ in range(2):
                    waits.report(work)
            logged = [line for line in lines if line['event'] == 'tasks wait']
            self.assertEqual(
                [(2, 'room')],
                [(line['tasks'], line['reason']) for line in logged],
            )
            self.assertEqual({'copies': 1}, logged[0]['workers'])
            self.assertGreaterEqual(logged[0]['seconds'], 3)
            waiting = shard.state.metrics.registry.get_sample_value(
                'orchidrail_longest_task_wait_seconds',
                {'queue': job.queue.name},
            )
            self.assertGreaterEqual(waiting, 3)

        self.run_scenario(scenario)

    def test_the_wait_gauge_is_zero_for_a_queue_without_jobs(
        self,
    ) -> None:
        async def scenario(shard: _Scenario) -> None:
            await shard.add_worker('w-1')
            spec = StepSpec(3, Size(1000), lasting=True, most_per_worker=1)
            job = _make_job('a' * 16, spec, 1, advice=False)
            shard.add(job)
            await asyncio.sleep(_SOON)
            waits = LongWaitReporter(shard.state)
            shard.state.clock = lambda: _clock() + 3
            waits.report(WaitingWork(job.steps(0), frozenset(), {}))
            shard.state.job_by_id.pop(job.job_id)
            waits.report(WaitingWork([], frozenset(), {}))
            waiting = shard.state.metrics.registry.get_sample_value(
                'orchidrail_longest_task_wait_seconds',
                {'queue': job.queue.name},
            )
            self.assertEqual(0, waiting)

        self.run_scenario(scenario)

    def test_a_backlog_sends_no_more_requests_than_lanes_can_take(self) -> None:
        """After a power failure, hundreds of steps need advice at once."""

        async def scenario(shard: _Scenario) -> None:
            await shard.add_worker('w-1')
            lanes = [InstanceId(f'l-{lane}') for lane in range(4)]
            shard.dispatcher.set_advice_lanes(lanes)
            spec = StepSpec(2, Size(20_000, 1))
            for number in range(40):
                shard.add(_make_job(f'{number:016x}', spec, 1, advice=True))
            await asyncio.sleep(_SOON)
            load = shard.dispatcher.load()
            self.assertLessEqual(load['questions'], len(lanes) + 1)
            urgent = _make_job('f' * 16, spec, 0, advice=True)
            shard.add(urgent)
            await asyncio.sleep(_SOON)
            self.assertEqual(1, urgent.steps(0)[0].permits.calls_in_flight)

        self.run_scenario(scenario)

    def test_an_overdue_step_requests_advice_despite_a_full_queue(self) -> None:
        """Urgent steps request advice at once, and may keep arriving."""

        async def scenario(shard: _Scenario) -> None:
            await shard.add_worker('w-1')
            shard.dispatcher.set_advice_lanes([InstanceId('lane')])
            spec = StepSpec(1, Size(1000))
            for number in range(4):
                shard.add(_make_job(f'{number:016x}', spec, 0, advice=True))
            late = _make_job('f' * 16, spec, 1, advice=True)
            shard.add(late)
            await asyncio.sleep(_SOON)
            step = late.steps(0)[0]
            step.tasks[0].waiting_since = _clock() - 3
            await asyncio.sleep(4 * _SOON)
            self.assertEqual(1, step.permits.calls_in_flight)

        self.run_scenario(scenario)

    def test_a_deferred_request_is_sent_when_lanes_are_free(
        self,
    ) -> None:
        """More steps wait than may request advice, and nothing changes."""

        async def scenario(shard: _Scenario) -> None:
            await shard.add_worker('w-1')
            shard.dispatcher.set_advice_lanes([InstanceId('lane')])
            spec = StepSpec(1, Size(1_000, 1))
            jobs = [
                _make_job(f'{number:016x}', spec, 1, advice=True)
                for number in range(6)
            ]
            for job in jobs:
                shard.add(job)
            await asyncio.sleep(_SOON)
            for number, _ in enumerate(jobs):
                await shard.answer(number, valid=1.5)
                await asyncio.sleep(3 * _SOON)
            phases = {job.steps(0)[0].tasks[0].phase for job in jobs}
            self.assertEqual({TaskPhase.PLACED}, phases)

        self.run_scenario(scenario)

    def test_a_blocked_step_falls_back_to_a_worker_that_failed_it(
        self,
    ) -> None:
        """The only other permitted worker leaves."""

        async def scenario(shard: _Scenario) -> None:
            await shard.add_worker('w-1')
            await shard.add_worker('w-2')
            full = _make_job('a' * 16, StepSpec(1, Size(60_000, 1)), 1, False)
            shard.add(full)
            await asyncio.sleep(_SOON)
            full_worker = full.steps(0)[0].tasks[0].worker
            blocked = _make_job('b' * 16, StepSpec(1, Size(9_000, 1)), 1, False)
            other = (shard.state.tracked_by_worker.keys() - {full_worker}).pop()
            blocked.steps(0)[0].failed_workers.note_failure(
                other,
                _clock(),
            )
            shard.add(blocked)
            await asyncio.sleep(_SOON)
            task = blocked.steps(0)[0].tasks[0]
            self.assertIs(TaskPhase.WAITING, task.phase)
            shard.state.tracked_by_worker[full_worker].listed = False
            shard.state.pass_requested.set()
            await asyncio.sleep(_SOON)
            self.assertEqual(other, task.worker)

        self.run_scenario(scenario)

    def test_a_blocked_step_is_placed_when_capacity_is_freed(self) -> None:
        """Hundreds of steps wait, and few workers gain free capacity."""

        async def scenario(shard: _Scenario) -> None:
            await shard.add_worker('w-1')
            full = _make_job('a' * 16, StepSpec(1, Size(60_000, 1)), 1, False)
            blocked = _make_job('b' * 16, StepSpec(1, Size(9_000, 1)), 1, False)
            shard.add(full)
            await asyncio.sleep(_SOON)
            shard.add(blocked)
            await asyncio.sleep(_SOON)
            task = blocked.steps(0)[0].tasks[0]
            self.assertIs(TaskPhase.WAITING, task.phase)
            tracked = next(iter(shard.state.tracked_by_worker.values()))
            for key in list(tracked.run_by_key):
                tracked.release(key)
            shard.state.pass_requested.set()
            await asyncio.sleep(_SOON)
            self.assertIs(TaskPhase.PLACED, task.phase)

        self.run_scenario(scenario)

    def test_nothing_is_placed_while_the_journal_is_unresponsive(self) -> None:
        async def scenario(shard: _Scenario) -> None:
            await shard.add_worker('w-1')
            store = shard.state.writer.view.store
            assert isinstance(store, MemoryStore)
            store.fault = StoreFault.REFUSES
            shard.state.writer.confirmed_at -= 1
            waiting = _make_job('a' * 16, StepSpec(1), 1, advice=False)
            shard.add(waiting)
            await asyncio.sleep(_SOON)
            task = waiting.steps(0)[0].tasks[0]
            self.assertIs(TaskPhase.WAITING, task.phase)
            store.fault = None
            await asyncio.sleep(0.4)
            self.assertIs(TaskPhase.PLACED, task.phase)
            self.assertIn('journal', waiting.wait_times.describe(_clock()))

        self.run_scenario(scenario)

    def test_small_tasks_do_not_starve_a_large_one(self) -> None:
        async def scenario(shard: _Scenario) -> None:
            await shard.add_worker('w-1')
            first = _make_job('a' * 16, StepSpec(2, Size(20_000)), 1, False)
            shard.add(first)
            await asyncio.sleep(_SOON)
            large = _make_job('b' * 16, StepSpec(1, Size(40_000)), 1, False)
            # Jobs accepted at the same moment have no order.
            await asyncio.sleep(_MOMENT)
            small = _make_job('c' * 16, StepSpec(1, Size(20_000)), 2, False)
            # Their objectives leave no time, so both are late by then.
            await asyncio.sleep(_MOMENT)
            shard.add(large)
            shard.add(small)
            await asyncio.sleep(_SOON)
            phases = [job.steps(0)[0].tasks[0].phase for job in (large, small)]
            self.assertEqual([TaskPhase.WAITING, TaskPhase.WAITING], phases)

        self.run_scenario(scenario)

    def test_no_worker_is_reserved_while_capacity_is_free(self) -> None:
        async def scenario(shard: _Scenario) -> None:
            for number in range(3):
                await shard.add_worker(f'w-{number}')
            on_each = StepSpec(3, Size(30_000), most_per_worker=1)
            shard.add(_make_job('a' * 16, on_each, 1, False))
            await asyncio.sleep(_SOON)
            large = _make_job('b' * 16, StepSpec(9, Size(60_000)), 1, False)
            small = _make_job('c' * 16, StepSpec(1, Size(1_000)), 2, False)
            shard.add(large)
            shard.add(small)
            await asyncio.sleep(_SOON)
            phases = [job.steps(0)[0].tasks[0].phase for job in (large, small)]
            self.assertEqual([TaskPhase.WAITING, TaskPhase.PLACED], phases)

        self.run_scenario(scenario)

    def test_a_round_starts_in_time_under_constant_changes(
        self,
    ) -> None:
        async def keep_changing(shard: _Scenario) -> None:
            while True:
                shard.state.pass_requested.set()
                await asyncio.sleep(_SOON / 5)

        async def scenario(shard: _Scenario) -> None:
            await shard.add_worker('w-1')
            timed = make_timed_job('a' * 16, _clock() + _SOON, 100)
            shard.add(timed)
            changing = asyncio.create_task(keep_changing(shard))
            await asyncio.sleep(3 * _SOON)
            changing.cancel()
            task = timed.steps(0)[0].tasks[0]
            self.assertIsNot(TaskPhase.WAITING, task.phase)

        self.run_scenario(scenario)

    def test_a_pass_in_which_the_process_stood_still_delays_the_next_little(
        self,
    ) -> None:
        """Guards against a placer that sleeps as long as its process did.

        A process that is paused, or blocked on its disk, in a pass measures a
        pass of that duration.
        """

        async def scenario(shard: _Scenario) -> None:
            await shard.add_worker('w-1')
            stood_still: list[Seconds] = []
            place_all = shard.placer.place_all

            def stand_still() -> None:
                place_all()
                shard.placer.place_all = place_all  # type: ignore[method-assign]
                stood_still.append(10)

            shard.state.clock = lambda: _clock() + sum(stood_still)
            shard.placer.place_all = stand_still  # type: ignore[method-assign]
            shard.state.pass_requested.set()
            await asyncio.sleep(_SOON)
            self.assertEqual([10], stood_still)
            job = _make_job('a' * 16, StepSpec(1, Size(1000)), 1, advice=False)
            shard.add(job)
            await asyncio.sleep(1)
            task = job.steps(0)[0].tasks[0]
            self.assertIs(TaskPhase.PLACED, task.phase)

        self.run_scenario(scenario)

    def test_a_job_records_its_wait_reasons(self) -> None:
        async def scenario(shard: _Scenario) -> None:
            await shard.add_worker('w-1')
            shard.dispatcher.set_advice_lanes([InstanceId('lane')])
            asking = _make_job('a' * 16, StepSpec(1, Size(1, 1)), 1, True)
            shard.add(asking)
            full = StepSpec(2, Size(64_000, 1))
            full_step_job = _make_job('b' * 16, full, 1, advice=False)
            shard.add(full_step_job)
            await asyncio.sleep(_SOON)
            await shard.answer(0, valid=1.5)
            shard.placer.place_all()
            shard.placer.place_all()
            self.assertIn('advice', asking.wait_times.describe(_clock()))
            self.assertIn('room', full_step_job.wait_times.describe(_clock()))

        self.run_scenario(scenario)
