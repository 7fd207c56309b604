"""Tests of how ends of long-running tasks affect their worker."""

from __future__ import annotations

import asyncio
import time

from orchidrail.shard.tests.test_runs import Shard, ShardTestCase
from orchidrail.types import JobId, Seconds, WorkerId
from orchidrail.work.model import StepSpec
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import RunEnding

_ORDER_WAIT: Seconds = 0.12
_LONG_RUN: Seconds = 5.0
_LONG_RUNNING_TASK = StepSpec(1, lasting=True)
_SHORT_TASK = StepSpec(1)


async def _start(shard: Shard, number: int, spec: StepSpec) -> None:
    """Start a job's only task on the worker."""
    job = make_job(spec)
    job.job_id = JobId(f'{number:016x}')
    shard.launch(shard.add(job))
    await asyncio.sleep(_ORDER_WAIT)
    await shard.poll()


async def _fail_last(shard: Shard) -> None:
    """Fail the run that was started last."""
    shard.worker.end(shard.worker.starts[-1].key, RunEnding.FAILED)
    await shard.poll()


def _age_last(shard: Shard) -> None:
    """Make the run that was started last look older."""
    key = shard.worker.starts[-1].key
    shard.tracked.run_by_key[key].confirmed_at -= _LONG_RUN


class LongRunningTaskTest(ShardTestCase):
    def add_others(self, shard: Shard) -> None:
        """Add workers, so that one of them may be quarantined."""
        for number in range(2, 12):
            name = WorkerId(f'w-{number}')
            shard.state.tracked_by_worker[name] = shard.tracked

    def assert_accepts_work(self, shard: Shard, expected: bool) -> None:
        self.assertIs(expected, shard.tracked.accepts_work(time.monotonic()))

    def test_long_running_task_clears_its_worker(self) -> None:
        async def scenario(shard: Shard) -> None:
            self.add_others(shard)
            await _start(shard, 1, _SHORT_TASK)
            await _fail_last(shard)
            await _start(shard, 2, _LONG_RUNNING_TASK)
            _age_last(shard)
            await shard.poll()
            await _start(shard, 3, _SHORT_TASK)
            await _fail_last(shard)
            self.assert_accepts_work(shard, expected=True)

        self.run_scenario(scenario)

    def test_late_failure_does_not_quarantine_worker(self) -> None:
        async def scenario(shard: Shard) -> None:
            self.add_others(shard)
            for number in range(3):
                await _start(shard, number, _LONG_RUNNING_TASK)
                _age_last(shard)
                await shard.poll()
                await _fail_last(shard)
            self.assert_accepts_work(shard, expected=True)

        self.run_scenario(scenario)

    def test_late_failure_does_not_extend_quarantine(self) -> None:
        async def scenario(shard: Shard) -> None:
            self.add_others(shard)
            await _start(shard, 1, _LONG_RUNNING_TASK)
            key = shard.worker.starts[-1].key
            _age_last(shard)
            await shard.poll()
            for number in (2, 3):
                await _start(shard, number, _SHORT_TASK)
                await _fail_last(shard)
            until = shard.tracked.quarantined_until
            shard.worker.end(key, RunEnding.FAILED)
            await shard.poll()
            self.assertEqual(until, shard.tracked.quarantined_until)

        self.run_scenario(scenario)

    def test_long_running_task_counts_as_success_once(self) -> None:
        """It continues on a worker that fails everything it starts later."""

        async def scenario(shard: Shard) -> None:
            self.add_others(shard)
            await _start(shard, 1, _LONG_RUNNING_TASK)
            _age_last(shard)
            await shard.poll()
            for number in (2, 3):
                await _start(shard, number, _SHORT_TASK)
                await _fail_last(shard)
            self.assert_accepts_work(shard, expected=False)

        self.run_scenario(scenario)
