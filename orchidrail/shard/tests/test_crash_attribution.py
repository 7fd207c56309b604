"""Tests of the attribution of worker crashes to tasks.

Without attribution, a task that crashes every worker that starts it is started
again about thirty times, since only ends that workers report are counted
(`standins/tests/test_crashing_tasks.py` reproduces this). Here each way in
which a run can end without a report is tested by itself, and so is what must
not be attributed to a task.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import msgspec

from orchidrail.shard.crash_evidence import (
    CrashRateMonitor,
    IncarnationEnd,
    LostRun,
    added_suspicion,
)
from orchidrail.shard.tests.test_runs import Shard, ShardTestCase
from orchidrail.shard.tests.test_worker_selection import (
    make_step,
    make_tracked_worker,
)
from orchidrail.shard.tracked_worker import STARTUP_CRASH_WINDOW, PlacedRun
from orchidrail.shard.worker_selection import choose_workers
from orchidrail.types import RunNumber, WorkerId
from orchidrail.work.job import SUSPICION_LIMIT, Job
from orchidrail.work.model import StepSpec
from orchidrail.work.records import FailureCause, JobPhase, Progress
from orchidrail.work.size import Size
from orchidrail.work.step import StepState, Task
from orchidrail.work.tests.test_job import make_job, place_all
from orchidrail.workers.port import (
    OrderAnswer,
    OrderResult,
    RunEnding,
    RunKey,
    WorkerState,
)

_ORDER_WAIT = 0.12
_ONE_TASK = StepSpec(1)
#: Number of crashes by which a task must be abandoned: users allow two starts
#: after the third.
_MAX_CRASHES = 4


def _crash_once(step: StepState, suspicion: int = 2) -> None:
    """Start all waiting tasks, then crash the worker of the first."""
    place_all(step)
    task = step.tasks[0]
    step.job.note_crash(task, task.run, suspicion)
    for member in step.tasks:
        step.job.end_run(member, member.run, RunEnding.LAPSED, '')


async def _started(
    shard: Shard,
    spec: StepSpec = _ONE_TASK,
    suspicion: int = 0,
) -> StepState:
    """Return a step whose tasks were ordered and have had time to start."""
    step = shard.add(make_job(spec))
    step.tasks[0].suspicion = suspicion
    shard.launch(step)
    await asyncio.sleep(_ORDER_WAIT)
    return step


def _restored(job: Job) -> Job:
    """Return the job as the next owner reads it from the journal."""
    again = Job(job.job_id, job.record)
    again.restore(Progress(job.rows()))
    return again


class JobCrashTest(ShardTestCase):
    def test_crash_count_survives_takeovers(self) -> None:
        """One owner after another takes over, each just after a crash."""
        job = make_job(StepSpec(1))
        for crashes in range(1, _MAX_CRASHES):
            _crash_once(next(job.open_steps(0)))
            job = _restored(job)
            task = next(job.open_steps(0)).tasks[0]
            self.assertEqual(crashes, task.crashes)
        _crash_once(next(job.open_steps(0)))
        self.assertIs(JobPhase.FAILED, job.phase)
        self.assertIs(FailureCause.CRASHED_WORKERS, job.cause)

    def test_crash_is_attributed_only_to_gang_member_there(self) -> None:
        """A wide healthy gang loses some member to each chance crash."""
        job = make_job(StepSpec(5, gang=True))
        for member in range(5):
            step = next(job.open_steps(0))
            place_all(step)
            job.note_crash(step.tasks[member], step.tasks[member].run, 2)
            for task in step.tasks:
                job.end_run(task, task.run, RunEnding.LAPSED, '')
        self.assertFalse(job.ended)
        self.assertEqual({1}, {task.crashes for task in step.tasks})

    def test_each_round_counts_crashes_separately(self) -> None:
        job = make_job(StepSpec(1), repeats=2)
        first, second = job.open_steps(1000)
        _crash_once(first)
        self.assertEqual(1, first.tasks[0].crashes)
        self.assertEqual(0, second.tasks[0].crashes)

    def test_crashing_long_running_task_is_abandoned(self) -> None:
        job = make_job(StepSpec(1, lasting=True))
        for _ in range(_MAX_CRASHES):
            _crash_once(next(job.open_steps(0)))
        self.assertIs(JobPhase.FAILED, job.phase)

    def test_crash_of_ended_run_does_not_count(self) -> None:
        job = make_job(StepSpec(1))
        step = next(job.open_steps(0))
        place_all(step)
        job.end_run(step.tasks[0], RunNumber(1), RunEnding.FAILED, '')
        self.assertFalse(job.note_crash(step.tasks[0], RunNumber(1), 2))


class SuspicionTest(ShardTestCase):
    def test_crash_and_two_retries_suffice_at_low_crash_rate(self) -> None:
        """One crash and one retry are not: workers may crash twice by chance.

        Two workers crashed within half a second, 0.03 and 0.5 s after starts of
        a healthy task, and its job was abandoned.
        """
        task = make_step(StepSpec(1)).tasks[0]
        first = LostRun(task, RunNumber(1), recent=True, isolated=False)
        retry = LostRun(task, RunNumber(2), recent=True, isolated=True)
        added = [
            added_suspicion(lost, IncarnationEnd.CRASHED, low_crash_rate=True)
            for lost in (first, retry, retry)
        ]
        self.assertLess(sum(added[:2]), SUSPICION_LIMIT)
        self.assertGreaterEqual(sum(added), SUSPICION_LIMIT)

    def test_task_crashing_at_start_is_abandoned_soon(self) -> None:
        """At any crash rate, users allow two starts after the third."""
        task = make_step(StepSpec(1)).tasks[0]
        unannounced = (
            IncarnationEnd.CRASHED,
            IncarnationEnd.LEASE_EXPIRED,
            IncarnationEnd.NEVER_REACHED,
        )
        for end, isolated, low_crash_rate in itertools.product(
            unannounced,
            (True, False),
            (True, False),
        ):
            lost = LostRun(task, RunNumber(1), recent=True, isolated=isolated)
            added = added_suspicion(lost, end, low_crash_rate)
            self.assertGreaterEqual(_MAX_CRASHES * added, SUSPICION_LIMIT)

    def test_older_run_is_not_suspected_at_high_crash_rate(self) -> None:
        task = make_step(StepSpec(1)).tasks[0]
        lost = LostRun(task, RunNumber(1), recent=False, isolated=False)
        self.assertEqual(
            0,
            added_suspicion(lost, IncarnationEnd.CRASHED, low_crash_rate=False),
        )

    def test_crashes_of_isolated_retries_keep_crash_rate_low(self) -> None:
        monitor = CrashRateMonitor()
        every = [make_tracked_worker(f'w-{number}') for number in range(10)]
        retrying = make_tracked_worker('w-trial')
        task = make_step(StepSpec(1)).tasks[0]
        key = RunKey(task.key, RunNumber(1))
        retrying.allocate(
            PlacedRun(key, Size(1), task, 0, isolated=True), 'step'
        )
        for _ in range(3):
            monitor.record_end(retrying, now=1)
        self.assertTrue(monitor.is_low(every, now=1))
        for _ in range(3):
            monitor.record_end(every[0], now=1)
        self.assertFalse(monitor.is_low(every, now=1))
        self.assertTrue(monitor.is_low(every, now=20))


class IsolatedRetryTest(ShardTestCase):
    def test_suspected_task_goes_to_idle_worker(self) -> None:
        step = make_step(StepSpec(1, size=Size(1000)))
        step.tasks[0].suspicion = 2
        busy, idle = make_tracked_worker('a'), make_tracked_worker('b')
        other = make_step(StepSpec(1, size=Size(1000))).tasks[0]
        run = PlacedRun(RunKey(other.key, RunNumber(1)), Size(1000), other, 0)
        busy.allocate(run, 'other')
        chosen = choose_workers(step, step.startable(), [busy, idle])
        self.assertEqual(['b'], [one.tracked.worker for one in chosen])

    def test_suspected_task_avoids_recently_crashed_worker(self) -> None:
        """Such a worker is empty, and may crash again by itself."""
        step = make_step(StepSpec(1, size=Size(1000)))
        step.tasks[0].suspicion = 2
        restarted, steady = make_tracked_worker('a'), make_tracked_worker('b')
        restarted.crashed_at = 50
        chosen = choose_workers(step, step.startable(), [restarted, steady])
        self.assertEqual(['b'], [one.tracked.worker for one in chosen])

    def test_suspected_tasks_share_no_worker(self) -> None:
        step = make_step(StepSpec(4, size=Size(1000)))
        for task in step.tasks[:2]:
            task.suspicion = 2
        every = [make_tracked_worker(name) for name in 'abc']
        chosen = choose_workers(step, step.startable(), every)
        by_worker: dict[WorkerId, list[Task]] = {}
        for task, tracked in chosen:
            by_worker.setdefault(tracked.worker, []).append(task)
        suspects = [tasks for tasks in by_worker.values() if tasks[0].suspected]
        self.assertEqual([1, 1], [len(tasks) for tasks in suspects])
        self.assertEqual(4, len(chosen))

    def test_worker_accepts_no_work_during_isolated_retry(self) -> None:
        async def scenario(shard: Shard) -> None:
            await _started(shard, suspicion=2)
            await shard.poll()
            self.assertFalse(shard.tracked.accepts_work(shard.state.clock()))
            self.assertEqual(0, shard.tracked.slots_for('other', Size(1), 0))
            await asyncio.sleep(STARTUP_CRASH_WINDOW)
            await shard.poll()
            self.assertTrue(shard.tracked.accepts_work(shard.state.clock()))

        self.run_scenario(scenario)

    def test_end_of_isolated_retry_frees_worker(self) -> None:
        async def scenario(shard: Shard) -> None:
            await _started(shard, suspicion=2)
            shard.worker.end(shard.worker.starts[0].key, RunEnding.DONE)
            await shard.poll()
            self.assertTrue(shard.tracked.accepts_work(shard.state.clock()))

        self.run_scenario(scenario)


class LostWorkerTest(ShardTestCase):
    def test_crash_at_start_makes_task_suspected(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = await _started(shard)
            await shard.crash()
            self.assertTrue(step.tasks[0].suspected)

        self.run_scenario(scenario)

    def test_crash_before_start_answer_makes_task_suspected(self) -> None:
        async def scenario(shard: Shard) -> None:
            shard.worker.start_result = OrderResult.UNKNOWN
            step = await _started(shard)
            await shard.crash()
            self.assertTrue(step.tasks[0].suspected)

        self.run_scenario(scenario)

    def test_crash_that_interrupts_gang_start_counts(self) -> None:
        """The other member's start was not sent: its connection had closed."""

        async def scenario(shard: Shard) -> None:
            step = shard.add(make_job(StepSpec(2, gang=True)))
            original_start = shard.worker.start

            async def start_then_disconnect(*order: Any) -> OrderAnswer:
                answer = await original_start(*order)
                shard.worker.start_result = OrderResult.NOT_SENT
                return answer

            self.patch(shard.worker, 'start', start_then_disconnect)
            shard.launch(step)
            await asyncio.sleep(_ORDER_WAIT)
            await shard.crash()
            self.assertEqual([1, 0], [task.crashes for task in step.tasks])

        self.run_scenario(scenario)

    def test_start_rejected_by_other_incarnation_does_not_count(self) -> None:
        async def scenario(shard: Shard) -> None:
            shard.worker.start_result = OrderResult.OTHER_INCARNATION
            step = await _started(shard)
            self.assertTrue(shard.tracked.session.terminated)
            self.assertEqual(0, step.tasks[0].crashes)

        self.run_scenario(scenario)

    def test_end_of_draining_worker_does_not_count(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = await _started(shard)
            shard.tracked.entry = msgspec.structs.replace(
                shard.tracked.entry,
                state=WorkerState.DRAINING,
            )
            await shard.crash()
            self.assertEqual(0, step.tasks[0].crashes)

        self.run_scenario(scenario)

    def test_partitioned_worker_clears_its_tasks(self) -> None:
        """Its leases expired; then the same incarnation responds again."""

        async def scenario(shard: Shard) -> None:
            step = await _started(shard)
            worker = shard.tracked.worker
            shard.runs.presume_worker_lost(worker, IncarnationEnd.LEASE_EXPIRED)
            self.assertEqual(1, step.tasks[0].crashes)
            await shard.poll()
            self.assertEqual(0, step.tasks[0].crashes)
            self.assertFalse(step.tasks[0].suspected)

        self.run_scenario(scenario)

    def test_crash_at_unstable_address_is_weak_evidence(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = await _started(shard, suspicion=2)
            shard.tracked.crashed_at = shard.state.clock()
            await shard.crash()
            self.assertLess(step.tasks[0].suspicion, SUSPICION_LIMIT)
            worker = shard.tracked.worker
            address = shard.tracked.entry.address
            self.assertEqual(
                shard.state.tracked_by_worker[worker].crashed_at,
                shard.runs.last_crash_at(address),
            )

        self.run_scenario(scenario)

    def test_crash_during_takeover_counts(self) -> None:
        """The worker to which a previous owner gave the task never responds."""

        async def scenario(shard: Shard) -> None:
            task = shard.add(make_job(StepSpec(1))).tasks[0]
            lost_worker = WorkerId('gone')
            task.step.job.place(task, RunNumber(1), lost_worker)
            shard.state.unresolved_runs[lost_worker] = [(task, task.run)]
            shard.runs.presume_worker_lost(
                lost_worker, IncarnationEnd.NEVER_REACHED
            )
            self.assertEqual(1, task.crashes)

        self.run_scenario(scenario)

    def test_abandoned_job_has_failure_cause(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = await _started(shard, suspicion=SUSPICION_LIMIT - 2)
            await shard.crash()
            self.assertIs(JobPhase.FAILED, step.job.phase)
            self.assertIs(FailureCause.CRASHED_WORKERS, step.job.cause)
            self.assertNotIn(step.job.job_id, shard.state.job_by_id)

        self.run_scenario(scenario)

    def test_task_is_cleared_after_long_run(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = await _started(shard, StepSpec(1, lasting=True), suspicion=3)
            run = next(iter(shard.tracked.run_by_key.values()))
            run.confirmed_at -= 60
            await shard.poll()
            self.assertEqual(0, step.tasks[0].suspicion)

        self.run_scenario(scenario)
