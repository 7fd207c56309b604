"""Tests of stops for urgent work, over placement passes and fake workers."""

from __future__ import annotations

import asyncio
import math

from orchidrail.preemption.candidates import MAX_STOPS
from orchidrail.preemption.tests.scenario import (
    Scenario,
    ScenarioTestCase,
    first_task,
    is_placed,
    long_job,
    urgent_job,
)
from orchidrail.shard.crash_evidence import IncarnationEnd
from orchidrail.types import WorkerId
from orchidrail.work.job import Job
from orchidrail.work.records import JobPhase, TaskPhase

_W1 = WorkerId('w-1')
#: Interval at which a stop order is repeated, seconds.
_STOP_INTERVAL = 0.3


class PreemptorTest(ScenarioTestCase):
    def assert_not_stopped(self, running: Job, urgent: Job) -> None:
        """Assert that nothing is stopped for urgent work."""

        async def scenario(shard: Scenario) -> None:
            await shard.add_worker()
            await shard.run_long(running)
            self.assertTrue(is_placed(running))
            await shard.add(urgent)
            await shard.wait_until_due(urgent)
            self.assertFalse(is_placed(urgent))
            self.assertEqual([], shard.stopped())

        self.run_scenario(scenario)

    def test_urgent_work_gets_the_room_of_a_stopped_task(self) -> None:
        async def scenario(shard: Scenario) -> None:
            await shard.add_worker()
            running, urgent = long_job(), urgent_job()
            await shard.run_long(running)
            await shard.add(urgent)
            await shard.wait_until_due(urgent)
            self.assertEqual([first_task(running).key], shard.stopped())
            # The room is charged until the end is known.
            self.assertFalse(is_placed(urgent))
            await shard.end_stopped(running)
            self.assertTrue(is_placed(urgent))
            task = first_task(running)
            self.assertEqual(TaskPhase.WAITING, task.phase)
            self.assertEqual(
                (0, JobPhase.RUNNING), (task.failures, running.phase)
            )

        self.run_scenario(scenario)

    def test_a_stopped_task_resumes_before_newer_work_of_its_kind(self) -> None:
        async def scenario(shard: Scenario) -> None:
            await shard.add_worker()
            running, urgent = long_job(cores=40), urgent_job()
            await shard.run_long(running)
            newer = long_job('b', cores=40)
            await shard.add(urgent)
            await shard.wait_until_due(urgent)
            await shard.end_stopped(running, saved='progress')
            await shard.add(newer)
            worker = shard.worker_by_name[_W1]
            await shard.finish(urgent)
            self.assertEqual(
                (True, False), (is_placed(running), is_placed(newer))
            )
            self.assertEqual('progress', worker.starts[-1].checkpoint)

        self.run_scenario(scenario)

    def test_nothing_is_stopped_without_pressure(self) -> None:
        async def scenario(shard: Scenario) -> None:
            await shard.add_worker()
            await shard.add_worker('w-2')
            urgent = urgent_job()
            await shard.run_long(long_job())
            await shard.add(urgent)
            await shard.wait_until_due(urgent)
            self.assertTrue(is_placed(urgent))
            self.assertEqual([], shard.stopped())

        self.run_scenario(scenario)

    def test_nothing_is_stopped_if_the_setting_is_off(self) -> None:
        async def scenario(shard: Scenario) -> None:
            await shard.add_worker()
            shard.enable(preemption=False)
            urgent = urgent_job()
            await shard.run_long(long_job())
            await shard.add(urgent)
            await shard.wait_until_due(urgent)
            self.assertEqual([], shard.stopped())

        self.run_scenario(scenario)

    def test_nothing_is_stopped_for_work_that_is_late_anyway(self) -> None:
        """A stop takes up to 0.4 s, which is longer than this one can wait."""
        self.assert_not_stopped(long_job(), urgent_job(spare=0.2))

    def test_nothing_is_stopped_if_room_frees_in_time(self) -> None:
        async def scenario(shard: Scenario) -> None:
            await shard.add_worker()
            running, urgent = long_job(), urgent_job()
            await shard.run_long(running)
            await shard.add(urgent)
            shard.report_progress(running, 97)
            await shard.wait_until_due(urgent)
            self.assertEqual([], shard.stopped())

        self.run_scenario(scenario)

    def test_a_task_that_would_be_late_for_it_is_not_stopped(self) -> None:
        self.assert_not_stopped(long_job(spare=1), urgent_job())

    def test_tasks_that_serve_or_last_are_not_stopped(self) -> None:
        self.assert_not_stopped(
            long_job(lasting=True, may_miss=1), urgent_job()
        )
        self.assert_not_stopped(
            long_job(lasting=True, target=0.1), urgent_job()
        )

    def test_urgent_work_does_not_stop_urgent_work(self) -> None:
        running = urgent_job('a', cores=60, estimate=20, keeps_checkpoint=True)
        self.assert_not_stopped(running, urgent_job())

    def test_a_long_run_without_a_checkpoint_is_not_thrown_away(self) -> None:
        self.assert_not_stopped(long_job(keeps_checkpoint=False), urgent_job())

    def test_no_task_is_stopped_again_and_again(self) -> None:
        running = long_job()
        first_task(running).preemptions = MAX_STOPS
        self.assert_not_stopped(running, urgent_job())

    def test_freed_room_is_not_taken_by_a_third(self) -> None:
        """Guards against a stop that frees room for somebody else.

        Two runs have to end for the urgent task. A small task would fit as soon
        as the first has ended.
        """

        async def scenario(shard: Scenario) -> None:
            await shard.add_worker()
            running = long_job(count=2, cores=30)
            urgent, third = urgent_job(cores=50), long_job('b', cores=20)
            await shard.run_long(running)
            await shard.add(urgent)
            await shard.wait_until_due(urgent)
            self.assertEqual(2, len(shard.stopped()))
            await shard.add(third)
            await shard.end_stopped(running, 0)
            self.assertFalse(is_placed(third))
            await shard.end_stopped(running, 1)
            self.assertEqual(
                (True, False), (is_placed(urgent), is_placed(third))
            )

        self.run_scenario(scenario)

    def test_the_reservation_ends_with_the_need(self) -> None:
        async def scenario(shard: Scenario) -> None:
            await shard.add_worker()
            running = long_job(count=2, cores=30)
            urgent = urgent_job(cores=50)
            await shard.run_long(running)
            await shard.add(urgent)
            await shard.wait_until_due(urgent)
            urgent.phase = JobPhase.CANCELLED
            shard.state.job_by_id.pop(urgent.job_id)
            shard.state.mark_changed(urgent)
            # The other run is still being stopped.
            await shard.end_stopped(running, 0)
            self.assertTrue(is_placed(running))

        self.run_scenario(scenario)

    def test_a_gang_is_stopped_as_a_whole(self) -> None:
        async def scenario(shard: Scenario) -> None:
            await shard.add_worker()
            await shard.add_worker('w-2')
            gang = long_job(count=2, cores=40, gang=True)
            await shard.run_long(gang)
            # The stop loses time of both members, so it needs more gain.
            urgent = urgent_job(cores=60, estimate=3)
            await shard.add(urgent)
            await shard.wait_until_due(urgent)
            self.assertEqual(
                [task.key for task in gang.steps(0)[0].tasks], shard.stopped()
            )

        self.run_scenario(scenario)

    def test_room_that_is_not_needed_does_not_pay_for_a_stop(self) -> None:
        """Guards against a wide stop for one task of a step of many.

        The stop made room for all tasks of the step, of which one was missing.
        """

        async def scenario(shard: Scenario) -> None:
            await shard.add_worker()
            running = long_job(cores=60)
            urgent = urgent_job(cores=4, count=8, estimate=0.5)
            await shard.run_long(running)
            for task in urgent.steps(0)[0].tasks[1:]:
                task.phase = TaskPhase.DONE
            # One task fits beside the long one: 4 cores are free.
            other = urgent_job('g', cores=4, estimate=5)
            await shard.add(other)
            await shard.add(urgent)
            await shard.wait_until_due(urgent)
            self.assertTrue(is_placed(other))
            self.assertEqual([], shard.stopped())

        self.run_scenario(scenario)

    def test_a_gang_that_is_not_complete_is_left_alone(self) -> None:
        async def scenario(shard: Scenario) -> None:
            await shard.add_worker()
            await shard.add_worker('w-2')
            gang = long_job(count=2, cores=40, gang=True)
            await shard.run_long(gang)
            shard.run_of(gang, 1).confirmed_at = math.inf
            urgent = urgent_job(cores=60, estimate=3)
            await shard.add(urgent)
            await shard.wait_until_due(urgent)
            self.assertEqual([], shard.stopped())

        self.run_scenario(scenario)


class StopFailureTest(ScenarioTestCase):
    def test_a_stop_without_answer_is_repeated_and_room_stays_charged(
        self,
    ) -> None:
        async def scenario(shard: Scenario) -> None:
            await shard.add_worker()
            running, urgent = long_job(), urgent_job()
            await shard.run_long(running)
            shard.worker_by_name[_W1].ignores_stops = True
            await shard.add(urgent)
            await shard.wait_until_due(urgent)
            # Orders are repeated in real time.
            await asyncio.sleep(2 * _STOP_INTERVAL)
            worker = shard.worker_by_name[_W1]
            self.assertGreater(len(worker.stops), 1)
            await shard.poll()
            self.assertFalse(is_placed(urgent))
            self.assertTrue(is_placed(running))

        self.run_scenario(scenario)

    def test_the_end_of_the_worker_ends_the_stop(self) -> None:
        """Its tasks start again elsewhere, and nothing stays reserved."""

        async def scenario(shard: Scenario) -> None:
            await shard.add_worker()
            running, urgent = long_job(), urgent_job()
            await shard.run_long(running)
            await shard.add(urgent)
            await shard.wait_until_due(urgent)
            shard.runs.presume_worker_lost(_W1, IncarnationEnd.CRASHED)
            shard.state.tracked_by_worker.pop(_W1)
            await shard.add_worker('w-2')
            await shard.add_worker('w-3')
            await shard.place()
            self.assertEqual(
                (True, True), (is_placed(urgent), is_placed(running))
            )

        self.run_scenario(scenario)

    def test_a_run_that_ends_before_its_stop_is_done(self) -> None:
        async def scenario(shard: Scenario) -> None:
            await shard.add_worker()
            running, urgent = long_job(), urgent_job()
            await shard.run_long(running)
            await shard.add(urgent)
            await shard.wait_until_due(urgent)
            await shard.finish(running)
            self.assertEqual(JobPhase.COMPLETED, running.phase)
            self.assertTrue(is_placed(urgent))

        self.run_scenario(scenario)
