"""Tests of the log lines on long waits."""

from __future__ import annotations

import time
from typing import Any
from unittest import mock

from structlog.testing import capture_logs

from orchidrail.shard import long_waits
from orchidrail.shard.long_waits import LongWaitReporter, WaitingWork
from orchidrail.shard.tests.test_candidate_workers import advised_step, fill
from orchidrail.shard.tests.test_runs import Shard, ShardTestCase
from orchidrail.types import RunNumber, Seconds, WorkerId
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size
from orchidrail.work.step import StepState
from orchidrail.work.tests.test_job import make_job

_TASK = Size(4000)
_WAITED: Seconds = 3


def _report_wait(shard: Shard, step: StepState) -> dict[str, Any]:
    """Return the log line on a step that has waited for long."""
    now = time.monotonic()
    for task in step.startable():
        task.waiting_since = now
    shard.state.clock = lambda: now + _WAITED
    with capture_logs() as lines:
        LongWaitReporter(shard.state).report(
            WaitingWork([step], frozenset(), {})
        )
    logged = [line for line in lines if line['event'] == 'tasks wait']
    return dict(logged[0])


class LongWaitsTest(ShardTestCase):
    def test_permitted_workers_with_free_capacity_are_named(self) -> None:
        async def scenario(shard: Shard) -> None:
            worker = shard.tracked.worker
            step = advised_step(StepSpec(1, _TASK), worker)
            step.permits.drop_ticket(worker)
            logged = _report_wait(shard, step)
            self.assertEqual({worker: 'ticket'}, logged['idle'])
            fill(shard.tracked, 62)
            self.assertEqual({}, _report_wait(shard, step)['idle'])

        self.run_scenario(scenario)

    def test_the_log_line_distinguishes_gangs(self) -> None:
        async def scenario(shard: Shard) -> None:
            for gang, expected in ((True, 'gang'), (False, 'alone')):
                step = shard.add(make_job(StepSpec(2, _TASK, gang=gang)))
                self.assertEqual(expected, _report_wait(shard, step)['starts'])

        self.run_scenario(scenario)

    def test_a_pending_advice_request_is_logged_with_its_state(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = advised_step(StepSpec(1, _TASK))
            self.assertNotIn('question', _report_wait(shard, step))
            with shard.state.pending_advice.track(step) as request:
                logged = _report_wait(shard, step)
                self.assertEqual('line', logged['question_state'])
                for name in ('question', 'question_in_state'):
                    self.assertAlmostEqual(_WAITED, logged[name], delta=0.5)
                request.since -= 10
                with request.during_call():
                    logged = _report_wait(shard, step)
                self.assertEqual('call', logged['question_state'])
                self.assertAlmostEqual(
                    10 + _WAITED, logged['question'], delta=0.5
                )
                self.assertLess(logged['question_in_state'], _WAITED + 0.5)

        self.run_scenario(scenario)

    def test_workers_with_a_hold_are_counted(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = shard.add(make_job(StepSpec(1, _TASK)))
            shard.tracked.hold('other', shard.tracked.free)
            logged = _report_wait(shard, step)
            self.assertEqual(1, logged['held'])
            self.assertEqual({'held': 1}, logged['workers'])

        self.run_scenario(scenario)

    def test_the_silence_of_workers_with_tasks_of_the_step_is_logged(
        self,
    ) -> None:
        async def scenario(shard: Shard) -> None:
            step = shard.add(make_job(StepSpec(2, _TASK)))
            self.assertNotIn('unheard', _report_wait(shard, step))
            step.job.place(step.tasks[0], RunNumber(1), shard.tracked.worker)
            logged = _report_wait(shard, step)
            self.assertAlmostEqual(_WAITED, logged['unheard'], delta=0.5)
            shard.tracked.session.last_response_at = shard.state.clock()
            self.assertNotIn('unheard', _report_wait(shard, step))

        self.run_scenario(scenario)

    def test_a_worker_never_reached_is_silent_since_the_owner_started(
        self,
    ) -> None:
        async def scenario(shard: Shard) -> None:
            step = shard.add(make_job(StepSpec(2, _TASK)))
            step.job.place(step.tasks[0], RunNumber(1), WorkerId('unmet'))
            shard.state.started_at -= 10
            logged = _report_wait(shard, step)
            self.assertAlmostEqual(10 + _WAITED, logged['unheard'], delta=0.5)

        self.run_scenario(scenario)

    def test_steps_that_examine_many_workers_are_logged_in_turn(
        self,
    ) -> None:
        async def scenario(shard: Shard) -> None:
            steps = [
                shard.add(make_job(StepSpec(1, _TASK), job_id=name * 16))
                for name in 'ab'
            ]
            for number, step in enumerate(steps):
                step.tasks[0].waiting_since = time.monotonic() - 10 + number
            waits = LongWaitReporter(shard.state)
            logged = []
            with mock.patch.object(long_waits, '_MAX_EXAMINED', 1):
                for _ in range(3):
                    with capture_logs() as lines:
                        waits.report(WaitingWork(steps, frozenset(), {}))
                    logged.append([line['job'] for line in lines])
            self.assertEqual([['a' * 16], ['b' * 16], []], logged)

        self.run_scenario(scenario)
