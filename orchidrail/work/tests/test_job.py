"""Tests of the job state machine."""

from __future__ import annotations

from testtools import TestCase

from orchidrail.types import (
    JobId,
    QueueName,
    RunNumber,
    ServiceName,
    WorkerId,
)
from orchidrail.work.job import Job
from orchidrail.work.model import JobSpec, QueueSettings, StepSpec
from orchidrail.work.records import (
    JobPhase,
    JobRecord,
    Progress,
    TaskPhase,
    TaskRow,
)
from orchidrail.work.size import Size
from orchidrail.work.step import StepState
from orchidrail.workers.port import RunEnding

_WORKER = WorkerId('w-1')


def make_job(
    *steps: StepSpec,
    attempts: int = 2,
    repeats: int = 0,
    job_id: str = '0123456789abcdef',
) -> Job:
    """Return an accepted job with these steps."""
    queue = QueueSettings(
        QueueName('queue'),
        'host',
        '/q/',
        ServiceName('service'),
        max_attempts=attempts,
    )
    spec = JobSpec('text', steps, repeats, first_at=100, interval=10)
    return Job(JobId(job_id), JobRecord(queue, spec, 0))


def place_all(step: StepState) -> None:
    """Place all waiting tasks of a step under one run."""
    run = step.next_run(step.tasks)
    for task in step.startable():
        step.job.place(task, run, _WORKER)


class JobTest(TestCase):
    def test_step_waits_for_the_steps_it_depends_on(self) -> None:
        job = make_job(StepSpec(2), StepSpec(1, after=(0,)))
        first = next(job.open_steps(0))
        self.assertEqual(0, first.number)
        place_all(first)
        job.end_run(first.tasks[0], first.tasks[0].run, RunEnding.DONE, '')
        self.assertEqual([0], [step.number for step in job.open_steps(0)])
        job.end_run(first.tasks[1], first.tasks[1].run, RunEnding.DONE, '')
        self.assertEqual([1], [step.number for step in job.open_steps(0)])

    def test_job_is_completed_when_all_tasks_are(self) -> None:
        job = make_job(StepSpec(1))
        step = next(job.open_steps(0))
        place_all(step)
        self.assertEqual(JobPhase.RUNNING, job.phase)
        job.end_run(step.tasks[0], step.tasks[0].run, RunEnding.DONE, '')
        self.assertEqual(JobPhase.COMPLETED, job.phase)

    def test_only_failures_count_as_attempts(self) -> None:
        job = make_job(StepSpec(1), attempts=2)
        step = next(job.open_steps(0))
        task = step.tasks[0]
        for ending in (
            RunEnding.LAPSED,
            RunEnding.STOPPED,
            RunEnding.FAILED,
            RunEnding.BROKEN,
        ):
            place_all(step)
            job.end_run(task, task.run, ending, '')
            self.assertEqual(JobPhase.RUNNING, job.phase)
        place_all(step)
        job.end_run(task, task.run, RunEnding.FAILED, '')
        self.assertEqual(JobPhase.FAILED, job.phase)

    def test_end_reported_twice_counts_once(self) -> None:
        job = make_job(StepSpec(1), attempts=2)
        step = next(job.open_steps(0))
        place_all(step)
        task = step.tasks[0]
        job.end_run(task, task.run, RunEnding.FAILED, '')
        job.end_run(task, task.run, RunEnding.FAILED, '')
        self.assertEqual(1, task.failures)

    def test_end_of_an_older_run_is_ignored(self) -> None:
        job = make_job(StepSpec(1))
        step = next(job.open_steps(0))
        place_all(step)
        task = step.tasks[0]
        old = task.run
        job.end_run(task, old, RunEnding.LAPSED, '')
        place_all(step)
        job.end_run(task, old, RunEnding.DONE, '')
        self.assertIs(TaskPhase.PLACED, task.phase)

    def test_gang_starts_as_a_whole_and_completes_with_one_task(self) -> None:
        job = make_job(StepSpec(3, gang=True))
        step = next(job.open_steps(0))
        self.assertEqual(3, len(step.startable()))
        place_all(step)
        self.assertEqual(1, len({task.run for task in step.tasks}))
        job.end_run(step.tasks[0], step.tasks[0].run, RunEnding.BROKEN, 'c')
        self.assertEqual([], step.startable())
        job.end_run(step.tasks[1], step.tasks[1].run, RunEnding.DONE, '')
        self.assertEqual(JobPhase.COMPLETED, job.phase)

    def test_gang_failure_counts_once_per_run(self) -> None:
        job = make_job(StepSpec(2, gang=True), attempts=2)
        step = next(job.open_steps(0))
        place_all(step)
        for task in step.tasks:
            job.end_run(task, task.run, RunEnding.FAILED, '')
        self.assertEqual({1}, {task.failures for task in step.tasks})
        self.assertEqual(JobPhase.RUNNING, job.phase)

    def test_long_running_task_waiting_longest_starts_first(
        self,
    ) -> None:
        step = next(make_job(StepSpec(3, lasting=True)).open_steps(0))
        for task, since in zip(step.tasks, (30, 10, None), strict=True):
            task.waiting_since = since
        ordered = [task.index for task in step.startable()]
        self.assertEqual([1, 0, 2], ordered)

    def test_long_running_task_is_always_restarted(self) -> None:
        job = make_job(StepSpec(1, lasting=True), attempts=1)
        step = next(job.open_steps(0))
        task = step.tasks[0]
        for _ in range(3):
            place_all(step)
            job.end_run(task, task.run, RunEnding.FAILED, '')
        self.assertEqual([task], step.startable())
        self.assertEqual(JobPhase.RUNNING, job.phase)

    def test_rounds_are_due_at_their_scheduled_times(self) -> None:
        job = make_job(StepSpec(1), repeats=3)
        self.assertEqual([], list(job.open_steps(99)))
        rounds = [step.round_number for step in job.open_steps(111)]
        self.assertEqual([0, 1], rounds)

    def test_progress_is_restored_from_the_journal(self) -> None:
        steps = StepSpec(3, size=Size(5)), StepSpec(1, after=(0,))
        job = make_job(*steps)
        first = next(job.open_steps(0))
        place_all(first)
        job.end_run(first.tasks[1], first.tasks[1].run, RunEnding.DONE, '')
        job.end_run(first.tasks[2], first.tasks[2].run, RunEnding.FAILED, 'c')
        restored = make_job(*steps)
        restored.restore(Progress(job.rows()))
        self.assertEqual(job.rows(), restored.rows())
        self.assertEqual(JobPhase.RUNNING, restored.phase)

    def test_failures_under_a_previous_owner_count_in_any_order(self) -> None:
        job = make_job(StepSpec(1))
        row = TaskRow(0, 0, 0, TaskPhase.PLACED, RunNumber(1), _WORKER)
        job.restore(Progress([row]))
        task = job.steps(0)[0].tasks[0]
        job.end_run(task, RunNumber(3), RunEnding.FAILED, '')
        self.assertIs(JobPhase.RUNNING, job.phase)
        job.end_run(task, RunNumber(1), RunEnding.FAILED, '')
        self.assertIs(JobPhase.FAILED, job.phase)

    def test_failure_of_an_abandoned_run_does_not_count(
        self,
    ) -> None:
        job = make_job(StepSpec(1))
        task = job.steps(0)[0].tasks[0]
        job.place(task, RunNumber(1), _WORKER)
        job.end_run(task, RunNumber(1), RunEnding.LAPSED, '')
        job.place(task, RunNumber(2), _WORKER)
        job.end_run(task, RunNumber(1), RunEnding.FAILED, '')
        self.assertEqual(0, task.failures)

    def test_end_processed_by_a_previous_owner_is_not_counted_again(
        self,
    ) -> None:
        job = make_job(StepSpec(1))
        row = TaskRow(
            0, 0, 0, TaskPhase.WAITING, RunNumber(2), _WORKER, failures=1
        )
        job.restore(Progress([row]))
        task = job.steps(0)[0].tasks[0]
        job.end_run(task, RunNumber(2), RunEnding.FAILED, '')
        job.end_run(task, RunNumber(1), RunEnding.FAILED, '')
        self.assertEqual(1, task.failures)
