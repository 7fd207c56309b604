"""Tests of what the line on a long wait tells of its causes."""

from __future__ import annotations

import time
from typing import Any
from unittest import mock

from structlog.testing import capture_logs

from orchidrail.shard import long_waits
from orchidrail.shard.long_waits import LongWaitReporter, WaitingWork
from orchidrail.shard.tests.test_candidate_workers import advised, fill
from orchidrail.shard.tests.test_runs import Shard, ShardTestCase
from orchidrail.types import RunNumber, Seconds, WorkerId
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size
from orchidrail.work.step import StepState
from orchidrail.work.tests.test_job import make_job

_TASK = Size(4000)
_WAITED: Seconds = 3


def _wait(shard: Shard, step: StepState) -> dict[str, Any]:
    """Return what is told of a step once it has waited for long."""
    now = time.monotonic()
    for task in step.startable():
        task.waiting_since = now
    shard.state.clock = lambda: now + _WAITED
    with capture_logs() as lines:
        LongWaitReporter(shard.state).report(
            WaitingWork([step], frozenset(), {})
        )
    told = [line for line in lines if line['event'] == 'tasks wait']
    return dict(told[0])


class LongWaitsTest(ShardTestCase):
    def test_permitted_workers_with_room_are_named(self) -> None:
        async def scenario(shard: Shard) -> None:
            worker = shard.tracked.worker
            step = advised(StepSpec(1, _TASK), worker)
            step.permits.drop_ticket(worker)
            told = _wait(shard, step)
            self.assertEqual({worker: 'ticket'}, told['idle'])
            fill(shard.tracked, 62)
            self.assertEqual({}, _wait(shard, step)['idle'])

        self.run_scenario(scenario)

    def test_a_gang_is_told_from_tasks_that_start_alone(self) -> None:
        async def scenario(shard: Shard) -> None:
            for gang, expected in ((True, 'gang'), (False, 'alone')):
                step = shard.add(make_job(StepSpec(2, _TASK, gang=gang)))
                self.assertEqual(expected, _wait(shard, step)['starts'])

        self.run_scenario(scenario)

    def test_a_question_is_told_with_what_it_waits_for(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = advised(StepSpec(1, _TASK))
            self.assertNotIn('question', _wait(shard, step))
            with shard.state.pending_advice.track(step) as question:
                told = _wait(shard, step)
                self.assertEqual('line', told['question_state'])
                for name in ('question', 'question_in_state'):
                    self.assertAlmostEqual(_WAITED, told[name], delta=0.5)
                question.since -= 10
                with question.during_call():
                    told = _wait(shard, step)
                self.assertEqual('call', told['question_state'])
                self.assertAlmostEqual(
                    10 + _WAITED, told['question'], delta=0.5
                )
                self.assertLess(told['question_in_state'], _WAITED + 0.5)

        self.run_scenario(scenario)

    def test_room_held_for_questions_is_counted(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = shard.add(make_job(StepSpec(1, _TASK)))
            shard.tracked.hold('other', shard.tracked.free)
            told = _wait(shard, step)
            self.assertEqual(1, told['held'])
            self.assertEqual({'held': 1}, told['workers'])

        self.run_scenario(scenario)

    def test_the_silence_of_workers_with_tasks_of_the_step_is_told(
        self,
    ) -> None:
        async def scenario(shard: Shard) -> None:
            step = shard.add(make_job(StepSpec(2, _TASK)))
            self.assertNotIn('unheard', _wait(shard, step))
            step.job.place(step.tasks[0], RunNumber(1), shard.tracked.worker)
            told = _wait(shard, step)
            self.assertAlmostEqual(_WAITED, told['unheard'], delta=0.5)
            shard.tracked.session.last_response_at = shard.state.clock()
            self.assertNotIn('unheard', _wait(shard, step))

        self.run_scenario(scenario)

    def test_a_worker_that_was_never_met_is_silent_since_the_owner_began(
        self,
    ) -> None:
        async def scenario(shard: Shard) -> None:
            step = shard.add(make_job(StepSpec(2, _TASK)))
            step.job.place(step.tasks[0], RunNumber(1), WorkerId('unmet'))
            shard.state.started_at -= 10
            told = _wait(shard, step)
            self.assertAlmostEqual(10 + _WAITED, told['unheard'], delta=0.5)

        self.run_scenario(scenario)

    def test_steps_that_look_at_many_workers_are_told_one_after_another(
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
            told = []
            with mock.patch.object(long_waits, '_MOST_EXAMINED', 1):
                for _ in range(3):
                    with capture_logs() as lines:
                        waits.report(WaitingWork(steps, frozenset(), {}))
                    told.append([line['job'] for line in lines])
            self.assertEqual([['a' * 16], ['b' * 16], []], told)

        self.run_scenario(scenario)
