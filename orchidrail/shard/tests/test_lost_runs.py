"""Tests of the logs about runs whose worker is gone."""

from __future__ import annotations

import asyncio

import msgspec
from structlog.testing import capture_logs

from orchidrail.shard.tests.test_runs import Shard, ShardTestCase
from orchidrail.work.model import StepSpec
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import OrderResult, WorkerState

_ORDER_WAIT = 0.12


class LostRunsTest(ShardTestCase):
    def test_log_distinguishes_recently_started_run(self) -> None:
        async def scenario(shard: Shard) -> None:
            older = shard.add(make_job(StepSpec(1)))
            shard.launch(older)
            await asyncio.sleep(_ORDER_WAIT)
            await shard.poll()
            newer = shard.add(make_job(StepSpec(1), job_id='f' * 16))
            shard.launch(newer)
            await asyncio.sleep(_ORDER_WAIT)
            with capture_logs() as lines:
                await shard.crash()
            outlived_by_task = {
                line['task']: line['outlived']
                for line in lines
                if line['event'] == 'run lost'
            }
            self.assertEqual(0, outlived_by_task[newer.tasks[0].key])
            self.assertGreater(outlived_by_task[older.tasks[0].key], 0)

        self.run_scenario(scenario)

    def test_log_distinguishes_announced_end_from_crash(self) -> None:
        async def scenario(shard: Shard) -> None:
            shard.launch(shard.add(make_job(StepSpec(1))))
            await asyncio.sleep(_ORDER_WAIT)
            shard.tracked.entry = msgspec.structs.replace(
                shard.tracked.entry,
                state=WorkerState.DRAINING,
            )
            with capture_logs() as lines:
                await shard.crash()
            reasons = {line['reason'] for line in lines if 'reason' in line}
            self.assertEqual({'left'}, reasons)

        self.run_scenario(scenario)

    def test_entry_missing_after_crash_is_no_voluntary_leave(self) -> None:
        async def scenario(shard: Shard) -> None:
            shard.worker.hold_result = OrderResult.UNKNOWN
            await shard.poll()
            await shard.poll()
            shard.tracked.entry_missing_since = shard.state.clock()
            shard.tracked.entry_removed = True
            self.assertFalse(shard.tracked.left_voluntarily())

        self.run_scenario(scenario)

    def test_entry_missing_before_crash_is_voluntary_leave(self) -> None:
        async def scenario(shard: Shard) -> None:
            shard.tracked.entry_missing_since = shard.state.clock()
            shard.tracked.entry_removed = True
            shard.worker.hold_result = OrderResult.UNKNOWN
            await shard.poll()
            await shard.poll()
            self.assertTrue(shard.tracked.left_voluntarily())

        self.run_scenario(scenario)
