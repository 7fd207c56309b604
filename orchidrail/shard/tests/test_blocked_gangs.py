"""Tests of the log lines on gangs blocked by an unreachable worker."""

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

_SILENCE = 5


class BlockedGangsTest(ShardTestCase):
    def make_gang(self, shard: Shard, *, gang: bool = True) -> StepState:
        """Place a step of three tasks, the first of which ends and waits."""
        step = shard.add(make_job(StepSpec(3, gang=gang)))
        place_all(step)
        first, *others = step.tasks
        for task in others:
            task.worker = shard.tracked.worker
        step.job.end_run(first, first.run, RunEnding.STOPPED, '')
        return step

    def logged(
        self,
        gangs: BlockedGangs,
        *steps: StepState,
    ) -> list[dict[str, Any]]:
        """Return the log lines on the gangs of some jobs."""
        with capture_logs() as lines:
            gangs.report([step.job for step in steps])
        return [dict(line) for line in lines]

    def test_a_blocked_gang_is_logged_with_its_unreachable_worker(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = self.make_gang(shard)
            session = shard.tracked.session
            session.reachable = False
            now = shard.state.clock()
            shard.state.started_at = now - 2 * _SILENCE
            session.last_response_at = now - _SILENCE
            lines = self.logged(BlockedGangs(shard.state), step)
            logged = lines.pop()
            self.assertEqual([], lines)
            self.assertEqual('gang held back', logged['event'])
            self.assertEqual((1, 2), (logged['waiting'], logged['placed']))
            self.assertEqual([session.worker], logged['lost'])
            self.assertAlmostEqual(_SILENCE, logged['unheard'], delta=0.5)

        self.run_scenario(scenario)

    def test_a_blocked_gang_is_logged_every_four_seconds(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = self.make_gang(shard)
            shard.tracked.session.reachable = False
            gangs = BlockedGangs(shard.state)
            started = shard.state.clock()
            counts = []
            for elapsed in (0, 1, 3, 4.5):
                shard.state.clock = lambda after=elapsed: started + after
                counts.append(len(self.logged(gangs, step)))
            self.assertEqual([1, 0, 0, 1], counts)

        self.run_scenario(scenario)

    def test_a_gang_on_reachable_workers_is_not_logged(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = self.make_gang(shard)
            self.assertEqual([], self.logged(BlockedGangs(shard.state), step))

        self.run_scenario(scenario)

    def test_a_step_without_a_gang_is_not_logged(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = self.make_gang(shard, gang=False)
            shard.tracked.session.reachable = False
            self.assertEqual([], self.logged(BlockedGangs(shard.state), step))

        self.run_scenario(scenario)

    def test_a_running_gang_is_not_logged(self) -> None:
        async def scenario(shard: Shard) -> None:
            step = shard.add(make_job(StepSpec(1, gang=True)))
            step.job.place(step.tasks[0], RunNumber(1), WorkerId('unmet'))
            self.assertEqual([], self.logged(BlockedGangs(shard.state), step))

        self.run_scenario(scenario)
