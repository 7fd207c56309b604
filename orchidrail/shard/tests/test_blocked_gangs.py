"""Tests of what is told of gangs that a lost worker holds back."""

from __future__ import annotations

from typing import Any

from structlog.testing import capture_logs

from orchidrail.shard.blocked_gangs import BlockedGangs
from orchidrail.shard.tests.test_runs import Shard, ShardTestCase
from orchidrail.types import RunNumber, WorkerId
from orchidrail.work.model import StepSpec
from orchidrail.work.step import StepState
from orchidrail.work.tests.test_job import make_job, place_all
from orchidrail.workers.port import RunEnding

_SILENT = 5


class HeldBackGangsTest(ShardTestCase):
    def make_gang(self, shard: Shard, *, gang: bool = True) -> StepState:
        """Place a step of three, one of which then ends and waits."""
        step = shard.add(make_job(StepSpec(3, gang=gang)))
        place_all(step)
        first, *others = step.tasks
        for task in others:
            task.worker = shard.tracked.worker
        step.job.end_run(first, first.run, RunEnding.STOPPED, '')
        return step

    def told(
        self,
        gangs: BlockedGangs,
        *steps: StepState,
    ) -> list[dict[str, Any]]:
        """Return what is told of the gangs of some jobs."""
        with capture_logs() as lines:
            gangs.report([step.job for step in steps])
        return [dict(line) for line in lines]

    def test_a_gang_is_told_with_the_worker_that_holds_it_back(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = self.make_gang(shard)
            session = shard.tracked.session
            session.reachable = False
            now = shard.state.clock()
            shard.state.started_at = now - 2 * _SILENT
            session.last_response_at = now - _SILENT
            lines = self.told(BlockedGangs(shard.state), step)
            told = lines.pop()
            self.assertEqual([], lines)
            self.assertEqual('gang held back', told['event'])
            self.assertEqual((1, 2), (told['waiting'], told['placed']))
            self.assertEqual([session.worker], told['lost'])
            self.assertAlmostEqual(_SILENT, told['unheard'], delta=0.5)

        self.run_scenario(scenario)

    def test_a_gang_is_told_every_four_seconds(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = self.make_gang(shard)
            shard.tracked.session.reachable = False
            gangs = BlockedGangs(shard.state)
            began = shard.state.clock()
            counts = []
            for later in (0, 1, 3, 4.5):
                shard.state.clock = lambda after=later: began + after
                counts.append(len(self.told(gangs, step)))
            self.assertEqual([1, 0, 0, 1], counts)

        self.run_scenario(scenario)

    def test_a_gang_whose_workers_answer_is_not_told(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = self.make_gang(shard)
            self.assertEqual([], self.told(BlockedGangs(shard.state), step))

        self.run_scenario(scenario)

    def test_tasks_that_start_alone_are_not_held_back(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = self.make_gang(shard, gang=False)
            shard.tracked.session.reachable = False
            self.assertEqual([], self.told(BlockedGangs(shard.state), step))

        self.run_scenario(scenario)

    def test_a_gang_at_work_is_not_held_back(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = shard.add(make_job(StepSpec(1, gang=True)))
            step.job.place(step.tasks[0], RunNumber(1), WorkerId('unmet'))
            self.assertEqual([], self.told(BlockedGangs(shard.state), step))

        self.run_scenario(scenario)
