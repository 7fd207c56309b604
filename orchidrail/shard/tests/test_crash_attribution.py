"""Tests of what a crashed worker tells of the tasks that were there.

A task that ends each worker that starts it was started some thirty times on an
archive's cell, since only ends that workers tell of were counted (the whole
story: standins/tests/test_crashing_tasks.py). Here each way in which a run can
end without a word is tried by itself, and what must not be held against a task.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import msgspec

from orchidrail.shard.crash_evidence import (
    CrashWatch,
    IncarnationEnd,
    LostRun,
    suspicion_of,
)
from orchidrail.shard.tests.test_runs import Shard, ShardTestCase
from orchidrail.shard.tests.test_worker_selection import make_books, make_step
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

_SOON = 0.12
_ONE_TASK = StepSpec(1)
#: Crashes after which users allow two more starts.
_MOST_CRASHES = 4


def _crash_once(step: StepState, suspicion: int = 2) -> None:
    """Start all waiting tasks, and lose the worker of the first."""
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
    """Return a step whose task was ordered and has had time to start."""
    step = shard.add(make_job(spec))
    step.tasks[0].suspicion = suspicion
    shard.launch(step)
    await asyncio.sleep(_SOON)
    return step


def _restored(job: Job) -> Job:
    """Return the job as the next owner reads it from the journal."""
    again = Job(job.job_id, job.record)
    again.restore(Progress(job.rows()))
    return again


class JobCrashTest(ShardTestCase):
    def test_the_count_outlives_owners(self) -> None:
        """One owner after another takes over, each in the middle of a crash."""
        job = make_job(StepSpec(1))
        for crashes in range(1, _MOST_CRASHES):
            _crash_once(next(job.open_steps(0)))
            job = _restored(job)
            task = next(job.open_steps(0)).tasks[0]
            self.assertEqual(crashes, task.crashes)
        _crash_once(next(job.open_steps(0)))
        self.assertIs(JobPhase.FAILED, job.phase)
        self.assertIs(FailureCause.CRASHED_WORKERS, job.cause)

    def test_in_a_gang_only_the_member_that_was_there_is_blamed(self) -> None:
        """A wide sound gang loses some member to each crash by chance."""
        job = make_job(StepSpec(5, gang=True))
        for member in range(5):
            step = next(job.open_steps(0))
            place_all(step)
            job.note_crash(step.tasks[member], step.tasks[member].run, 2)
            for task in step.tasks:
                job.end_run(task, task.run, RunEnding.LAPSED, '')
        self.assertFalse(job.ended)
        self.assertEqual({1}, {task.crashes for task in step.tasks})

    def test_each_round_has_a_count_of_its_own(self) -> None:
        job = make_job(StepSpec(1), repeats=2)
        first, second = job.open_steps(1000)
        _crash_once(first)
        self.assertEqual(1, first.tasks[0].crashes)
        self.assertEqual(0, second.tasks[0].crashes)

    def test_a_lasting_task_that_crashes_workers_is_given_up(self) -> None:
        job = make_job(StepSpec(1, lasting=True))
        for _ in range(_MOST_CRASHES):
            _crash_once(next(job.open_steps(0)))
        self.assertIs(JobPhase.FAILED, job.phase)

    def test_a_run_that_was_settled_before_counts_no_more(self) -> None:
        job = make_job(StepSpec(1))
        step = next(job.open_steps(0))
        place_all(step)
        job.end_run(step.tasks[0], RunNumber(1), RunEnding.FAILED, '')
        self.assertFalse(job.note_crash(step.tasks[0], RunNumber(1), 2))


class SuspicionTest(ShardTestCase):
    def test_a_crash_and_two_trials_are_enough_in_calm_times(self) -> None:
        """Two are not: workers may crash twice by chance.

        Seen in the soak: two did within half a second, 0.03 and 0.5 s after
        starts of a sound task, and its job was given up.
        """
        task = make_step(StepSpec(1)).tasks[0]
        first = LostRun(task, RunNumber(1), young=True, trial=False)
        trial = LostRun(task, RunNumber(2), young=True, trial=True)
        added = [
            suspicion_of(lost, IncarnationEnd.CRASHED, calm=True)
            for lost in (first, trial, trial)
        ]
        self.assertLess(sum(added[:2]), SUSPICION_LIMIT)
        self.assertGreaterEqual(sum(added), SUSPICION_LIMIT)

    def test_a_task_that_crashes_workers_at_once_is_soon_given_up(self) -> None:
        """Whatever else goes on, users allow two starts after the third."""
        task = make_step(StepSpec(1)).tasks[0]
        unannounced = (
            IncarnationEnd.CRASHED,
            IncarnationEnd.LEASE_EXPIRED,
            IncarnationEnd.NEVER_REACHED,
        )
        for end, trial, calm in itertools.product(
            unannounced,
            (True, False),
            (True, False),
        ):
            lost = LostRun(task, RunNumber(1), young=True, trial=trial)
            added = suspicion_of(lost, end, calm)
            self.assertGreaterEqual(_MOST_CRASHES * added, SUSPICION_LIMIT)

    def test_work_of_seconds_is_not_blamed_while_many_crash(self) -> None:
        task = make_step(StepSpec(1)).tasks[0]
        lost = LostRun(task, RunNumber(1), young=False, trial=False)
        self.assertEqual(
            0, suspicion_of(lost, IncarnationEnd.CRASHED, calm=False)
        )

    def test_crashes_under_a_trial_do_not_make_times_unquiet(self) -> None:
        watch = CrashWatch()
        every = [make_books(f'w-{number}') for number in range(10)]
        on_trial = make_books('w-trial')
        task = make_step(StepSpec(1)).tasks[0]
        key = RunKey(task.key, RunNumber(1))
        on_trial.allocate(PlacedRun(key, Size(1), task, 0, trial=True), 'step')
        for _ in range(3):
            watch.note_end(on_trial, now=1)
        self.assertTrue(watch.calm(every, now=1))
        for _ in range(3):
            watch.note_end(every[0], now=1)
        self.assertFalse(watch.calm(every, now=1))
        self.assertTrue(watch.calm(every, now=20))


class TrialTest(ShardTestCase):
    def test_a_suspect_goes_where_least_is_at_stake(self) -> None:
        step = make_step(StepSpec(1, size=Size(1000)))
        step.tasks[0].suspicion = 2
        busy, idle = make_books('a'), make_books('b')
        other = make_step(StepSpec(1, size=Size(1000))).tasks[0]
        run = PlacedRun(RunKey(other.key, RunNumber(1)), Size(1000), other, 0)
        busy.allocate(run, 'other')
        chosen = choose_workers(step, step.startable(), [busy, idle])
        self.assertEqual(['b'], [one.tracked.worker for one in chosen])

    def test_it_does_not_go_where_a_worker_has_just_crashed(self) -> None:
        """Such a worker is empty, and may go down again by itself."""
        step = make_step(StepSpec(1, size=Size(1000)))
        step.tasks[0].suspicion = 2
        restarted, steady = make_books('a'), make_books('b')
        restarted.crashed_at = 50
        chosen = choose_workers(step, step.startable(), [restarted, steady])
        self.assertEqual(['b'], [one.tracked.worker for one in chosen])

    def test_suspects_and_sound_tasks_share_no_worker(self) -> None:
        step = make_step(StepSpec(4, size=Size(1000)))
        for task in step.tasks[:2]:
            task.suspicion = 2
        every = [make_books(name) for name in 'abc']
        chosen = choose_workers(step, step.startable(), every)
        by_worker: dict[WorkerId, list[Task]] = {}
        for task, tracked in chosen:
            by_worker.setdefault(tracked.worker, []).append(task)
        suspects = [tasks for tasks in by_worker.values() if tasks[0].suspected]
        self.assertEqual([1, 1], [len(tasks) for tasks in suspects])
        self.assertEqual(4, len(chosen))

    def test_a_worker_is_closed_for_the_time_of_a_trial(self) -> None:
        async def scenario(shard: Shard) -> None:
            await _started(shard, suspicion=2)
            await shard.poll()
            self.assertFalse(shard.tracked.accepts_work(shard.state.clock()))
            self.assertEqual(0, shard.tracked.slots_for('other', Size(1), 0))
            await asyncio.sleep(STARTUP_CRASH_WINDOW)
            await shard.poll()
            self.assertTrue(shard.tracked.accepts_work(shard.state.clock()))

        self.run_scenario(scenario)

    def test_a_trial_that_ends_otherwise_frees_the_worker(self) -> None:
        async def scenario(shard: Shard) -> None:
            await _started(shard, suspicion=2)
            shard.worker.end(shard.worker.starts[0].key, RunEnding.DONE)
            await shard.poll()
            self.assertTrue(shard.tracked.accepts_work(shard.state.clock()))

        self.run_scenario(scenario)


class LostWorkerTest(ShardTestCase):
    def test_a_crash_at_the_start_is_held_against_the_task(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = await _started(shard)
            await shard.crash()
            self.assertTrue(step.tasks[0].suspected)

        self.run_scenario(scenario)

    def test_so_is_one_that_took_the_answer_with_it(self) -> None:
        async def scenario(shard: Shard) -> None:
            shard.worker.start_result = OrderResult.UNKNOWN
            step = await _started(shard)
            await shard.crash()
            self.assertTrue(step.tasks[0].suspected)

        self.run_scenario(scenario)

    def test_so_is_one_that_kept_its_gang_from_starting(self) -> None:
        """The other member's start was not sent: its connection had ended."""

        async def scenario(shard: Shard) -> None:
            step = shard.add(make_job(StepSpec(2, gang=True)))
            take = shard.worker.start

            async def crash_at(*words: Any) -> OrderAnswer:
                answer = await take(*words)
                shard.worker.start_result = OrderResult.NOT_SENT
                return answer

            self.patch(shard.worker, 'start', crash_at)
            shard.launch(step)
            await asyncio.sleep(_SOON)
            await shard.crash()
            self.assertEqual([1, 0], [task.crashes for task in step.tasks])

        self.run_scenario(scenario)

    def test_a_start_that_another_life_refused_is_not(self) -> None:
        async def scenario(shard: Shard) -> None:
            shard.worker.start_result = OrderResult.OTHER_INCARNATION
            step = await _started(shard)
            self.assertTrue(shard.tracked.session.terminated)
            self.assertEqual(0, step.tasks[0].crashes)

        self.run_scenario(scenario)

    def test_nor_is_the_end_of_a_worker_that_leaves(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = await _started(shard)
            shard.tracked.entry = msgspec.structs.replace(
                shard.tracked.entry,
                state=WorkerState.DRAINING,
            )
            await shard.crash()
            self.assertEqual(0, step.tasks[0].crashes)

        self.run_scenario(scenario)

    def test_a_worker_that_was_cut_off_clears_its_tasks(self) -> None:
        """Its leases ended; then the same life is heard again."""

        async def scenario(shard: Shard) -> None:
            step = await _started(shard)
            worker = shard.tracked.worker
            shard.runs.give_up_worker(worker, IncarnationEnd.LEASE_EXPIRED)
            self.assertEqual(1, step.tasks[0].crashes)
            await shard.poll()
            self.assertEqual(0, step.tasks[0].crashes)
            self.assertFalse(step.tasks[0].suspected)

        self.run_scenario(scenario)

    def test_a_worker_that_crashed_before_tells_little(self) -> None:
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

    def test_a_crash_in_the_middle_of_a_take_over_counts(self) -> None:
        """The worker that an earlier owner gave the task to is never met."""

        async def scenario(shard: Shard) -> None:
            task = shard.add(make_job(StepSpec(1))).tasks[0]
            gone = WorkerId('gone')
            task.step.job.place(task, RunNumber(1), gone)
            shard.state.unresolved_runs[gone] = [(task, task.run)]
            shard.runs.give_up_worker(gone, IncarnationEnd.NEVER_REACHED)
            self.assertEqual(1, task.crashes)

        self.run_scenario(scenario)

    def test_what_is_given_up_says_why(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = await _started(shard, suspicion=SUSPICION_LIMIT - 2)
            await shard.crash()
            self.assertIs(JobPhase.FAILED, step.job.phase)
            self.assertIs(FailureCause.CRASHED_WORKERS, step.job.cause)
            self.assertNotIn(step.job.job_id, shard.state.job_by_id)

        self.run_scenario(scenario)

    def test_a_task_that_worked_for_long_is_cleared(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = await _started(shard, StepSpec(1, lasting=True), suspicion=3)
            run = next(iter(shard.tracked.run_by_key.values()))
            run.confirmed_at -= 60
            await shard.poll()
            self.assertEqual(0, step.tasks[0].suspicion)

        self.run_scenario(scenario)
