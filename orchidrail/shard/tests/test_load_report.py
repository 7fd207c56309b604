"""Tests of the periodic load report."""

from __future__ import annotations

import time

from structlog.testing import capture_logs

from orchidrail.shard.advice_dispatcher import AdviceDispatcher
from orchidrail.shard.load_report import LoadReport
from orchidrail.shard.placer import Placer
from orchidrail.shard.tests.test_candidate_workers import advised_step
from orchidrail.shard.tests.test_runs import Shard, ShardTestCase
from orchidrail.types import InstanceId, Seconds
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size

_TASK = Size(4000)
_WAITED: Seconds = 3


class LoadReportTest(ShardTestCase):
    def test_the_load_report_includes_advice_requests_and_calls(self) -> None:
        async def scenario(shard: Shard) -> None:
            dispatcher = AdviceDispatcher(self.fail, time.monotonic)
            dispatcher.set_advice_lanes([InstanceId('lane')])
            placer = Placer(shard.state, shard.runs, dispatcher)
            step = advised_step(StepSpec(1, _TASK))
            with shard.state.pending_advice.track(step) as request:
                request.state_since -= _WAITED
                with capture_logs() as lines:
                    LoadReport(shard.state, placer, dispatcher).report()
            logged = lines[-1]
            self.assertAlmostEqual(
                _WAITED,
                logged['oldest_question'],
                delta=0.5,
            )
            self.assertEqual(
                (0, 0),
                (logged['short_calls'], logged['long_calls']),
            )
            gauge = shard.state.metrics.registry.get_sample_value(
                'orchidrail_oldest_question_seconds',
            )
            self.assertAlmostEqual(_WAITED, gauge or 0, delta=0.5)

        self.run_scenario(scenario)
