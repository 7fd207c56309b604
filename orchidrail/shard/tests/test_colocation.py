"""Tests of colocated best-effort and latency-sensitive tasks."""

from __future__ import annotations

import asyncio

from testtools import TestCase

from orchidrail.shard.candidate_workers import CandidateWorkers
from orchidrail.shard.tests.test_candidate_workers import advised_step
from orchidrail.shard.tests.test_runs import Shard, ShardTestCase
from orchidrail.shard.tests.test_worker_selection import (
    make_step,
    make_tracked_worker,
)
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
_LATENCY_SENSITIVE = StepSpec(1, Size(1000), lasting=True, target=0.1)
_BEST_EFFORT = StepSpec(1, Size(1000), best_effort=True)
_PROTECTED_BEST_EFFORT = StepSpec(
    1,
    Size(1000),
    best_effort=True,
    lasting=True,
    may_miss=1,
)
_IN_TIME, _LATE = 80, 120


def _running(spec: StepSpec) -> TrackedWorker:
    """Return a worker that runs a task."""
    tracked = make_tracked_worker('w')
    task = make_step(spec).tasks[0]
    key = RunKey(task.key, RunNumber(1))
    tracked.allocate(PlacedRun(key, spec.charged, task, 0), task.step.key)
    return tracked


def _waiting(spec: StepSpec, waited: Seconds) -> StepState:
    step = make_step(spec)
    step.tasks[0].waiting_since = _NOW - waited
    return step


class ColocationTest(TestCase):
    def with_free_capacity(
        self,
        spec: StepSpec,
        *tracked_workers: TrackedWorker,
        waited: Seconds = _LONG,
    ) -> list[str]:
        """Return the workers that a task may use after some wait."""
        workers = CandidateWorkers(list(tracked_workers), _NOW)
        found = workers.with_free_capacity(_waiting(spec, waited))
        return [tracked.worker for tracked in found]

    def test_both_classes_are_separated_at_first(self) -> None:
        for spec, other in (
            (_LATENCY_SENSITIVE, _BEST_EFFORT),
            (_BEST_EFFORT, _LATENCY_SENSITIVE),
        ):
            tracked = _running(other)
            self.assertEqual(
                [], self.with_free_capacity(spec, tracked, waited=0)
            )
            self.assertEqual(['w'], self.with_free_capacity(spec, tracked))

    def test_they_stay_separated_while_another_worker_has_capacity(
        self,
    ) -> None:
        found = self.with_free_capacity(
            _BEST_EFFORT, _running(_LATENCY_SENSITIVE), make_tracked_worker('v')
        )
        self.assertEqual(['v'], found)

    def test_a_gang_is_colocated_if_other_workers_do_not_suffice(self) -> None:
        gang = StepSpec(
            2,
            Size(1000),
            gang=True,
            best_effort=True,
            most_per_worker=1,
        )
        latency_sensitive = _running(_LATENCY_SENSITIVE)
        found = self.with_free_capacity(
            gang, latency_sensitive, make_tracked_worker('v')
        )
        self.assertEqual(['v', 'w'], sorted(found))
        both = self.with_free_capacity(
            gang,
            latency_sensitive,
            make_tracked_worker('v'),
            make_tracked_worker('u'),
        )
        self.assertEqual(['u', 'v'], sorted(both))

    def test_best_effort_that_may_not_be_stopped_is_not_colocated(self) -> None:
        self.assertEqual(
            [],
            self.with_free_capacity(
                _PROTECTED_BEST_EFFORT, _running(_LATENCY_SENSITIVE)
            ),
        )
        self.assertEqual(
            [],
            self.with_free_capacity(
                _LATENCY_SENSITIVE, _running(_PROTECTED_BEST_EFFORT)
            ),
        )

    def test_best_effort_is_barred_after_late_responses(self) -> None:
        tracked = _running(_LATENCY_SENSITIVE)
        tracked.best_effort_barred_until = _NOW + 1
        self.assertEqual([], self.with_free_capacity(_BEST_EFFORT, tracked))

    def test_an_overdue_step_checks_workers_of_the_other_class(self) -> None:
        workers = CandidateWorkers([_running(_LATENCY_SENSITIVE)], _NOW)
        step = advised_step(_BEST_EFFORT)
        self.assertEqual([], workers.unchecked(step))
        step.tasks[0].waiting_since = _NOW - _LONG
        self.assertEqual(1, len(workers.unchecked(step)))


class LateResponsesTest(ShardTestCase):
    async def start_both(self, shard: Shard) -> tuple[RunKey, RunKey]:
        """Start a latency-sensitive and a best-effort task on the worker."""
        for number, spec in enumerate((_LATENCY_SENSITIVE, _BEST_EFFORT)):
            job = make_job(spec)
            job.job_id = JobId(f'{number:016x}')
            shard.launch(shard.add(job))
            await asyncio.sleep(_SOON)
        latency_sensitive, best_effort = (
            order.key for order in shard.worker.starts
        )
        return latency_sensitive, best_effort

    async def report_tails(
        self,
        shard: Shard,
        latency_sensitive: RunKey,
        *tails: int,
    ) -> None:
        """Report tail response times of a run, with time in between."""
        for tail in tails:
            shard.tracked.run_by_key[latency_sensitive].late_since -= 1
            listed = ActiveRun(latency_sensitive, '', 100, tail)
            shard.worker.active[latency_sensitive] = listed
            await shard.poll()
            await asyncio.sleep(_SOON)

    def test_best_effort_is_stopped_if_responses_stay_late(self) -> None:
        async def scenario(shard: Shard) -> None:
            latency_sensitive, best_effort = await self.start_both(shard)
            await self.report_tails(shard, latency_sensitive, _IN_TIME, _LATE)
            self.assertEqual([], shard.worker.stops)
            await self.report_tails(shard, latency_sensitive, _LATE)
            self.assertEqual([best_effort], shard.worker.stops)
            self.assertGreater(shard.tracked.best_effort_barred_until, 0)

        self.run_scenario(scenario)

    def test_nothing_is_stopped_if_responses_recover(self) -> None:
        async def scenario(shard: Shard) -> None:
            latency_sensitive, _ = await self.start_both(shard)
            await self.report_tails(
                shard, latency_sensitive, _LATE, _IN_TIME, _LATE
            )
            self.assertEqual([], shard.worker.stops)

        self.run_scenario(scenario)

    def test_a_late_task_without_best_effort_is_not_stopped(self) -> None:
        async def scenario(shard: Shard) -> None:
            shard.launch(shard.add(make_job(_LATENCY_SENSITIVE)))
            await asyncio.sleep(_SOON)
            latency_sensitive = shard.worker.starts[0].key
            await self.report_tails(
                shard, latency_sensitive, _LATE, _LATE, _LATE
            )
            self.assertEqual([], shard.worker.stops)
            self.assertEqual(0, shard.tracked.best_effort_barred_until)

        self.run_scenario(scenario)
