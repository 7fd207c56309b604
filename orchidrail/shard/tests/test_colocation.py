"""Tests of tasks that serve and tasks that fill on one worker."""

from __future__ import annotations

import asyncio

from testtools import TestCase

from orchidrail.shard.candidate_workers import CandidateWorkers
from orchidrail.shard.tests.test_candidate_workers import advised
from orchidrail.shard.tests.test_runs import Shard, ShardTestCase
from orchidrail.shard.tests.test_worker_selection import make_books, make_step
from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.types import JobId, RunNumber, Seconds
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size
from orchidrail.work.step import StepState
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import ActiveRun, RunKey

_SOON: Seconds = 0.12
_NOW: Seconds = 100.0
_LONG: Seconds = 2.0
_SERVING = StepSpec(1, Size(1000), lasting=True, target=0.1)
_FILLING = StepSpec(1, Size(1000), best_effort=True)
_FILLING_MAY_MISS = StepSpec(
    1,
    Size(1000),
    best_effort=True,
    lasting=True,
    may_miss=1,
)
_IN_TIME, _LATE = 80, 120


def _holding(spec: StepSpec) -> TrackedWorker:
    """Return the books of a worker that runs a task."""
    tracked = make_books('w')
    task = make_step(spec).tasks[0]
    key = RunKey(task.key, RunNumber(1))
    tracked.allocate(PlacedRun(key, spec.charged, task, 0), task.step.key)
    return tracked


def _waiting(spec: StepSpec, waited: Seconds) -> StepState:
    step = make_step(spec)
    step.tasks[0].waiting_since = _NOW - waited
    return step


class SharingTest(TestCase):
    def with_free_capacity(
        self,
        spec: StepSpec,
        *every: TrackedWorker,
        waited: Seconds = _LONG,
    ) -> list[str]:
        """Return where a task goes that has waited for some time."""
        workers = CandidateWorkers(list(every), _NOW)
        found = workers.with_free_capacity(_waiting(spec, waited))
        return [tracked.worker for tracked in found]

    def test_both_kinds_are_kept_apart_at_first(self) -> None:
        for spec, other in ((_SERVING, _FILLING), (_FILLING, _SERVING)):
            tracked = _holding(other)
            self.assertEqual(
                [], self.with_free_capacity(spec, tracked, waited=0)
            )
            self.assertEqual(['w'], self.with_free_capacity(spec, tracked))

    def test_they_stay_apart_while_another_worker_has_room(self) -> None:
        found = self.with_free_capacity(
            _FILLING, _holding(_SERVING), make_books('v')
        )
        self.assertEqual(['v'], found)

    def test_a_gang_shares_if_the_other_workers_do_not_hold_it(self) -> None:
        gang = StepSpec(
            2,
            Size(1000),
            gang=True,
            best_effort=True,
            most_per_worker=1,
        )
        serving = _holding(_SERVING)
        found = self.with_free_capacity(gang, serving, make_books('v'))
        self.assertEqual(['v', 'w'], sorted(found))
        both = self.with_free_capacity(
            gang, serving, make_books('v'), make_books('u')
        )
        self.assertEqual(['u', 'v'], sorted(both))

    def test_what_may_not_be_stopped_is_not_put_beside(self) -> None:
        self.assertEqual(
            [],
            self.with_free_capacity(_FILLING_MAY_MISS, _holding(_SERVING)),
        )
        self.assertEqual(
            [],
            self.with_free_capacity(_SERVING, _holding(_FILLING_MAY_MISS)),
        )

    def test_nothing_is_put_beside_where_answers_were_late(self) -> None:
        tracked = _holding(_SERVING)
        tracked.best_effort_barred_until = _NOW + 1
        self.assertEqual([], self.with_free_capacity(_FILLING, tracked))

    def test_a_step_that_waits_too_long_asks_about_such_workers(self) -> None:
        workers = CandidateWorkers([_holding(_SERVING)], _NOW)
        step = advised(_FILLING)
        self.assertEqual([], workers.unknown(step))
        step.tasks[0].waiting_since = _NOW - _LONG
        self.assertEqual(1, len(workers.unknown(step)))


class LateAnswersTest(ShardTestCase):
    async def start_both(self, shard: Shard) -> tuple[RunKey, RunKey]:
        """Have a task that serves and one that fills share the worker."""
        for number, spec in enumerate((_SERVING, _FILLING)):
            job = make_job(spec)
            job.job_id = JobId(f'{number:016x}')
            shard.launch(shard.add(job))
            await asyncio.sleep(_SOON)
        serving, filling = (order.key for order in shard.worker.starts)
        return serving, filling

    async def answer_in(
        self,
        shard: Shard,
        serving: RunKey,
        *tails: int,
    ) -> None:
        """List the tail of the answers' times, a while between each two."""
        for tail in tails:
            shard.tracked.run_by_key[serving].late_since -= 1
            listed = ActiveRun(serving, '', 100, tail)
            shard.worker.active[serving] = listed
            await shard.poll()
            await asyncio.sleep(_SOON)

    def test_what_fills_is_stopped_if_answers_stay_late(self) -> None:
        async def scenario(shard: Shard) -> None:
            serving, filling = await self.start_both(shard)
            await self.answer_in(shard, serving, _IN_TIME, _LATE)
            self.assertEqual([], shard.worker.stops)
            await self.answer_in(shard, serving, _LATE)
            self.assertEqual([filling], shard.worker.stops)
            self.assertGreater(shard.tracked.best_effort_barred_until, 0)

        self.run_scenario(scenario)

    def test_answers_that_are_in_time_again_stop_nothing(self) -> None:
        async def scenario(shard: Shard) -> None:
            serving, _ = await self.start_both(shard)
            await self.answer_in(shard, serving, _LATE, _IN_TIME, _LATE)
            self.assertEqual([], shard.worker.stops)

        self.run_scenario(scenario)

    def test_what_serves_alone_is_not_stopped(self) -> None:
        async def scenario(shard: Shard) -> None:
            shard.launch(shard.add(make_job(_SERVING)))
            await asyncio.sleep(_SOON)
            serving = shard.worker.starts[0].key
            await self.answer_in(shard, serving, _LATE, _LATE, _LATE)
            self.assertEqual([], shard.worker.stops)
            self.assertEqual(0, shard.tracked.best_effort_barred_until)

        self.run_scenario(scenario)
