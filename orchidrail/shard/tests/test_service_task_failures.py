"""Tests of what tasks that last tell of their workers."""

from __future__ import annotations

import asyncio
import time

from orchidrail.shard.tests.test_runs import Shard, ShardTestCase
from orchidrail.types import JobId, Seconds, WorkerId
from orchidrail.work.model import StepSpec
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import RunEnding

_SOON: Seconds = 0.12
_LONG: Seconds = 5.0
_LASTING = StepSpec(1, lasting=True)
_SHORT = StepSpec(1)


async def _start(shard: Shard, number: int, spec: StepSpec) -> None:
    """Have a job's only task run on the worker."""
    job = make_job(spec)
    job.job_id = JobId(f'{number:016x}')
    shard.launch(shard.add(job))
    await asyncio.sleep(_SOON)
    await shard.poll()


async def _fail_last(shard: Shard) -> None:
    """Let the run that was started last fail."""
    shard.worker.end(shard.worker.starts[-1].key, RunEnding.FAILED)
    await shard.poll()


def _age_last(shard: Shard) -> None:
    """Let the run that was started last be at work for long."""
    key = shard.worker.starts[-1].key
    shard.tracked.run_by_key[key].confirmed_at -= _LONG


class SoundRunsTest(ShardTestCase):
    def add_others(self, shard: Shard) -> None:
        """Have more workers, so that one of them may rest."""
        for number in range(2, 12):
            name = WorkerId(f'w-{number}')
            shard.state.tracked_by_worker[name] = shard.tracked

    def assert_open(self, shard: Shard, expected: bool) -> None:
        self.assertIs(expected, shard.tracked.accepts_work(time.monotonic()))

    def test_one_that_works_on_clears_its_worker(self) -> None:
        async def scenario(shard: Shard) -> None:
            self.add_others(shard)
            await _start(shard, 1, _SHORT)
            await _fail_last(shard)
            await _start(shard, 2, _LASTING)
            _age_last(shard)
            await shard.poll()
            await _start(shard, 3, _SHORT)
            await _fail_last(shard)
            self.assert_open(shard, expected=True)

        self.run_scenario(scenario)

    def test_one_that_fails_after_long_says_nothing(self) -> None:
        async def scenario(shard: Shard) -> None:
            self.add_others(shard)
            for number in range(3):
                await _start(shard, number, _LASTING)
                _age_last(shard)
                await shard.poll()
                await _fail_last(shard)
            self.assert_open(shard, expected=True)

        self.run_scenario(scenario)

    def test_one_that_fails_after_long_does_not_lengthen_a_rest(self) -> None:
        async def scenario(shard: Shard) -> None:
            self.add_others(shard)
            await _start(shard, 1, _LASTING)
            key = shard.worker.starts[-1].key
            _age_last(shard)
            await shard.poll()
            for number in (2, 3):
                await _start(shard, number, _SHORT)
                await _fail_last(shard)
            until = shard.tracked.quarantined_until
            shard.worker.end(key, RunEnding.FAILED)
            await shard.poll()
            self.assertEqual(until, shard.tracked.quarantined_until)

        self.run_scenario(scenario)

    def test_one_that_worked_before_does_not_clear_it_again(self) -> None:
        """It runs on where whatever is started fails from some time on."""

        async def scenario(shard: Shard) -> None:
            self.add_others(shard)
            await _start(shard, 1, _LASTING)
            _age_last(shard)
            await shard.poll()
            for number in (2, 3):
                await _start(shard, number, _SHORT)
                await _fail_last(shard)
            self.assert_open(shard, expected=False)

        self.run_scenario(scenario)
