"""Compares placements with and without preemption where room is left."""

from __future__ import annotations

from random import Random

from structlog.testing import capture_logs

from orchidrail.preemption.tests.scenario import (
    Scenario,
    ScenarioTestCase,
    is_placed,
    long_job,
    urgent_job,
)
from orchidrail.work.job import Job

_WORKERS = 4
_JOBS = 24
_NAMES = '0123456789abcdefghijklmn'


def _draw_job(random: Random, name: str) -> Job:
    make = random.choice((long_job, urgent_job))
    return make(name, cores=random.randint(2, 20))


class WithoutPressureTest(ScenarioTestCase):
    def place_all(self, seed: int, *, preemption: bool) -> list[object]:
        """Return the placements of some jobs that come one after another."""
        placements: list[object] = []

        async def scenario(shard: Scenario) -> None:
            shard.enable(preemption=preemption)
            for number in range(_WORKERS):
                await shard.add_worker(f'w-{number}')
            random = Random(seed)
            running: list[Job] = []
            with capture_logs() as lines:
                for name in _NAMES[:_JOBS]:
                    running.append(_draw_job(random, name))
                    await shard.add(running[-1])
                    # Runs without progress for 1.5 s would be stopped.
                    shard.clock.now += random.random() / _JOBS
                    if len(running) > 2 * _WORKERS:
                        ended = running.pop(0)
                        self.assertTrue(is_placed(ended))
                        await shard.finish(ended)
            self.assertEqual([], shard.stopped())
            placements.extend(
                (line['step'], line['workers'])
                for line in lines
                if line['event'] == 'placed'
            )

        self.run_scenario(scenario)
        return placements

    def test_placements_are_the_same(self) -> None:
        for seed in range(3):
            with_preemption = self.place_all(seed, preemption=True)
            self.assertEqual(_JOBS, len(with_preemption))
            without = self.place_all(seed, preemption=False)
            self.assertEqual(without, with_preemption)
