"""Tests of forecasts: bursts that fill the room, wide steps, scattered room."""

from __future__ import annotations

import math

import msgspec
from testtools import TestCase

from orchidrail.admission.durations import RatioRange
from orchidrail.admission.forecast import (
    JobNeed,
    StartRange,
    TenantRoom,
    applies_to,
    assess,
    forecast_duration,
    forecast_limit_wait,
    forecast_start,
    job_need,
)
from orchidrail.admission.service_load import (
    Ahead,
    RankClass,
    ServiceLoad,
    SizeClass,
    WaitingRow,
)
from orchidrail.types import Seconds, TenantId
from orchidrail.work.model import JobSpec, QueueSettings, StepSpec
from orchidrail.work.size import Size
from orchidrail.work.tests.test_job import make_job

CORE = 1000
_EXACT = RatioRange(1, 1, 1)
_NO_CORRECTION = StartRange(0, 0)


def make_queue(
    priority: int = 1, stretch: float = 2, target: Seconds = 1
) -> QueueSettings:
    """Return a queue without advice."""
    queue = make_job(StepSpec(1)).queue
    return msgspec.structs.replace(
        queue, priority=priority, stretch=stretch, target=target
    )


def make_spec(
    count: int, cores: int = 1, estimate: Seconds = 1, gang: bool = False
) -> JobSpec:
    """Return a job of one step."""
    step = StepSpec(count, Size(cores * CORE, 10), estimate=estimate, gang=gang)
    return JobSpec('text', (step,))


def make_load(workers: int = 10, free_cores: int = 10) -> ServiceLoad:
    """Return a service of workers with ten cores each."""
    load = ServiceLoad(0)
    for _ in range(workers):
        load.add_worker(10 * CORE, free_cores * CORE)
    load.detect_pressure()
    return load


def waiting(
    cores: int,
    latest_start: Seconds = 0,
    rank: RankClass = RankClass.OTHER,
    duration: Seconds = 1,
    need: int = 50_000,
) -> WaitingRow:
    """Return waiting work of a wide step, by default."""
    return WaitingRow(rank, latest_start, cores * CORE, duration, need)


class ForecastTest(TestCase):
    def start_of(
        self,
        load: ServiceLoad,
        spec: JobSpec,
        queue: QueueSettings | None = None,
        permitted_share: float = 1,
    ) -> Seconds:
        need = job_need(spec, queue or make_queue(), load, 0, permitted_share)
        ahead = load.ahead_of(need.rank, need.latest_start, need.size_class)
        return forecast_start(need, load, ahead)

    def test_with_free_room_every_job_starts_at_once(self) -> None:
        for count in (1, 10, 100):
            spec = make_spec(count, gang=True)
            self.assertEqual(0, self.start_of(make_load(), spec))

    def test_a_full_service_starts_what_its_runs_leave(self) -> None:
        load = make_load(free_cores=0)
        load.add_release(2.1, 50 * CORE)
        load.add_release(4.1, 50 * CORE)
        self.assertEqual(2.25, self.start_of(load, make_spec(40, gang=True)))
        self.assertEqual(4.25, self.start_of(load, make_spec(60, gang=True)))

    def test_room_is_handed_out_again_to_a_long_queue(self) -> None:
        """A hundred cores that are released each second serve 300 in three."""
        load = make_load(free_cores=0)
        load.add_release(0.9, 100 * CORE)
        load.add_waiting(waiting(300, latest_start=-1))
        start = self.start_of(load, make_spec(1, estimate=3))
        self.assertEqual(
            0, load.ahead_of(RankClass.OTHER, 9, SizeClass.SMALL).millicores
        )
        wide = self.start_of(load, make_spec(60, gang=True))
        self.assertLess(start, 1.1)
        self.assertTrue(3 <= wide <= 5, wide)

    def test_only_what_ranks_before_a_job_delays_it(self) -> None:
        load = make_load(free_cores=0)
        load.add_release(0.9, 100 * CORE)
        load.add_waiting(waiting(500, latest_start=50))
        early = self.start_of(load, make_spec(60, gang=True))
        late_queue = make_queue(stretch=100)
        late = self.start_of(load, make_spec(60, gang=True), late_queue)
        self.assertLess(early, 2)
        self.assertGreater(late, 5)

    def test_urgent_work_waits_for_urgent_work_only(self) -> None:
        load = make_load(free_cores=0)
        load.add_release(0.9, 100 * CORE)
        load.add_waiting(waiting(900, latest_start=-9))
        urgent = make_queue(priority=0)
        self.assertLess(self.start_of(load, make_spec(1), urgent), 1.1)
        load.add_waiting(waiting(500, -9, RankClass.URGENT, need=CORE))
        self.assertGreater(self.start_of(load, make_spec(1), urgent), 4)

    def test_wide_work_does_not_hold_up_a_narrow_job(self) -> None:
        load = make_load(free_cores=0)
        load.add_release(0.9, 100 * CORE)
        load.add_waiting(waiting(900, latest_start=-9))
        self.assertLess(self.start_of(load, make_spec(1)), 1.1)
        self.assertGreater(self.start_of(load, make_spec(60, gang=True)), 8)

    def test_headroom_is_left_to_urgent_work(self) -> None:
        load = make_load(free_cores=2)
        load.headroom = 20 * CORE
        self.assertEqual(
            0, self.start_of(load, make_spec(1), make_queue(priority=0))
        )
        self.assertGreater(self.start_of(load, make_spec(1)), 0)

    def test_a_whole_worker_is_not_found_in_scattered_room(self) -> None:
        """Half of each worker is free, but the task needs a whole one."""
        load = make_load(free_cores=5)
        load.add_release(1.9, 50 * CORE)
        self.assertEqual(0, self.start_of(load, make_spec(1, cores=5)))
        self.assertGreater(self.start_of(load, make_spec(1, cores=10)), 0)

    def test_a_gang_needs_more_where_few_workers_are_permitted(self) -> None:
        load = make_load(free_cores=5)
        load.add_release(1.9, 50 * CORE)
        gang = make_spec(20, gang=True)
        self.assertEqual(0, self.start_of(load, gang))
        self.assertGreater(self.start_of(load, gang, permitted_share=0.3), 1)

    def test_a_step_wider_than_the_room_runs_in_waves(self) -> None:
        load = make_load()
        queue = make_queue()
        narrow = forecast_duration(make_spec(100), queue, load, 1)
        wide = forecast_duration(make_spec(300), queue, load, 1)
        self.assertEqual((1, 3), (narrow, wide))

    def test_a_service_without_workers_has_no_early_start(self) -> None:
        self.assertGreater(self.start_of(ServiceLoad(0), make_spec(1)), 10)

    def test_additions_count_without_a_new_snapshot(self) -> None:
        load = make_load(free_cores=0)
        load.add_release(0.9, 100 * CORE)
        load.add_waiting(waiting(100, latest_start=-1))
        before = self.start_of(load, make_spec(60, gang=True))
        load.add_accepted(waiting(300, latest_start=-1))
        self.assertGreater(
            self.start_of(load, make_spec(60, gang=True)), before + 2
        )

    def test_a_tenants_limit_delays_its_work(self) -> None:
        load = make_load(free_cores=5)
        tenant = TenantId('stores')
        load.add_running(tenant, 20 * CORE)
        load.add_waiting(waiting(40)._replace(tenant=tenant))
        need = JobNeed(RankClass.OTHER, 0, CORE, CORE, CORE, SizeClass.SMALL)
        room = TenantRoom(used=20 * CORE, limit=20 * CORE)
        wait = forecast_limit_wait(tenant, need, load, room)
        self.assertTrue(2 <= wait <= 3, wait)
        for other in (TenantRoom(), TenantRoom(5 * CORE, 20 * CORE)):
            self.assertEqual(0, forecast_limit_wait(tenant, need, load, other))


class UsefulnessTest(TestCase):
    def test_the_latest_useful_start_follows_from_the_objective(self) -> None:
        """Objective 2 x 1 + 1; of use until 9 s, so it may start at 8 s."""
        load, spec, queue = make_load(), make_spec(1), make_queue()
        need = job_need(spec, queue, load, 0)
        forecast = assess(spec, queue, load, need, _EXACT, _NO_CORRECTION)
        self.assertEqual(8, forecast.latest_useful_start)
        self.assertEqual(3, forecast.objective)
        self.assertEqual((0, 1), (forecast.start.expected, forecast.end))

    def test_longer_tasks_have_a_longer_objective(self) -> None:
        load, spec, queue = make_load(), make_spec(1), make_queue()
        need = job_need(spec, queue, load, 0)
        ratios = RatioRange(0.5, 1, 2)
        forecast = assess(spec, queue, load, need, ratios, _NO_CORRECTION)
        self.assertEqual(8, forecast.latest_useful_start)
        self.assertEqual(13, forecast.latest_possible_start)

    def test_scheduled_and_long_running_jobs_are_not_judged(self) -> None:
        spec = make_spec(1)
        lasting = msgspec.structs.replace(spec.steps[0], lasting=True)
        self.assertTrue(applies_to(spec))
        self.assertFalse(applies_to(JobSpec('text', (lasting,))))
        self.assertFalse(
            applies_to(msgspec.structs.replace(spec, repeats=2, interval=5))
        )

    def test_nothing_ahead_has_no_duration(self) -> None:
        self.assertEqual(0, Ahead().duration)
        self.assertFalse(math.isnan(Ahead(0, 0).duration))
