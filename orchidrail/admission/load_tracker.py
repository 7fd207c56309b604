"""Keeps the snapshots of all services up to date at a bounded cost."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple, Protocol

from orchidrail.admission.durations import TaskDurations
from orchidrail.admission.service_load import (
    RankClass,
    ServiceLoad,
    WaitingRow,
)
from orchidrail.types import Seconds, ServiceName
from orchidrail.work.model import StepSpec, concurrent_size
from orchidrail.work.size import Size
from orchidrail.work.step import StepState, Task
from orchidrail.workers.port import RunKey, WorkerEntry

#: Least age at which a snapshot is replaced: a fraction of the shortest
#: objectives of callers.
_MIN_INTERVAL: Seconds = 0.2
_MAX_INTERVAL: Seconds = 1.0
#: Time between two walks as a multiple of a walk's duration.
_INTERVAL_FACTOR = 20
#: Progress from which the remaining time of a run is extrapolated.
_MIN_PROGRESS = 0.05
#: Deferral of work past its deadline, as in the order of placement.
LATE_DEFERRAL: Seconds = 15.0


class RunView(Protocol):
    """A run that occupies room on a worker."""

    @property
    def size(self) -> Size | None:
        """Its size, None if unknown."""

    @property
    def task(self) -> Task | None:
        """Its task, None if its job has ended."""

    @property
    def confirmed_at(self) -> Seconds:
        """When its start was acknowledged, infinite before."""

    @property
    def share_done(self) -> float:
        """Its progress, 0 to 1."""


class WorkerView(Protocol):
    """A worker, its free room and its runs."""

    @property
    def entry(self) -> WorkerEntry:
        """Its registration."""

    @property
    def free(self) -> Size:
        """Its free room."""

    @property
    def urgent_millicores(self) -> int:
        """What urgent work uses there."""

    @property
    def run_by_key(self) -> Mapping[RunKey, RunView]:
        """Its runs."""

    def accepts_work(self, now: Seconds) -> bool:
        """Whether it may be given new work."""


class TimingView(Protocol):
    """Order of a waiting step."""

    @property
    def latest_start(self) -> Seconds:
        """Wall clock time of its latest start."""

    @property
    def deadline(self) -> Seconds:
        """Wall clock time of its round's deadline."""

    @property
    def urgent(self) -> bool:
        """Whether its queue has the highest priority."""

    @property
    def over_share(self) -> bool:
        """Whether its job is over its tenant's fair share."""


class WaitingView(Protocol):
    """A step with tasks that wait."""

    @property
    def timing(self) -> TimingView:
        """Its place in the order."""

    @property
    def step(self) -> StepState:
        """The step."""

    @property
    def tasks(self) -> Sequence[Task]:
        """Its tasks that wait."""


class LoadSources(NamedTuple):
    """Where a snapshot is taken from.

    Parameters
    ----------
    workers, waiting : callable
        Return all workers, and all steps that wait.
    reserved : callable
        Returns the millicores of a service left to urgent work, by its total
        and by what urgent work uses.
    clock, wall_clock : callable
        Monotonic seconds, and seconds since 1970.
    """

    workers: Callable[[], Iterable[WorkerView]]
    waiting: Callable[[], Iterable[WaitingView]]
    reserved: Callable[[ServiceName, int, int], int]
    clock: Callable[[], Seconds]
    wall_clock: Callable[[], Seconds]
    durations: TaskDurations


class LoadTracker:
    """Snapshots of the services, replaced when outdated.

    Parameters
    ----------
    sources : LoadSources
    """

    def __init__(self, sources: LoadSources) -> None:
        """Start without snapshots."""
        self._sources = sources
        self._load_by_service: dict[ServiceName, ServiceLoad] = {}
        self._valid_until: Seconds = -math.inf

    def load_of(self, service: ServiceName) -> ServiceLoad:
        """Return the snapshot of a service, taken anew if outdated."""
        now = self._sources.clock()
        if now >= self._valid_until:
            self._load_by_service = self._walk(now)
            walk_s = self._sources.clock() - now
            pause = max(_MIN_INTERVAL, _INTERVAL_FACTOR * walk_s)
            self._valid_until = now + min(_MAX_INTERVAL, pause)
        return self._load_by_service.setdefault(service, ServiceLoad(now))

    def _walk(self, now: Seconds) -> dict[ServiceName, ServiceLoad]:
        workers = [
            worker
            for worker in self._sources.workers()
            if worker.accepts_work(now)
        ]
        load_by_service: dict[ServiceName, ServiceLoad] = {}
        urgent_by_service: dict[ServiceName, int] = {}
        for worker in workers:
            service = worker.entry.service
            load = load_by_service.setdefault(service, ServiceLoad(now))
            load.add_worker(
                worker.entry.capacity.millicores, worker.free.millicores
            )
            urgent_by_service[service] = (
                urgent_by_service.get(service, 0) + worker.urgent_millicores
            )
        for service, load in load_by_service.items():
            load.headroom = self._sources.reserved(
                service, load.capacity, urgent_by_service[service]
            )
        self._add_waiting(load_by_service)
        for load in load_by_service.values():
            load.detect_pressure()
        for worker in workers:
            load = load_by_service[worker.entry.service]
            if load.pressed:
                self._add_releases(load, worker, now)
        return load_by_service

    def _add_waiting(
        self, load_by_service: dict[ServiceName, ServiceLoad]
    ) -> None:
        wall = self._sources.wall_clock()
        for waiting in self._sources.waiting():
            queue = waiting.step.job.queue
            load = load_by_service.get(queue.service)
            if load is None:
                continue
            spec, count = waiting.step.spec, len(waiting.tasks)
            ratio = self._sources.durations.of(queue.name, spec.estimate).median
            rank, latest_start = _order(waiting.timing, wall)
            row = waiting_row(rank, latest_start, spec, count, ratio)
            load.add_waiting(row._replace(tenant=waiting.step.job.tenant.name))

    def _add_releases(
        self, load: ServiceLoad, worker: WorkerView, now: Seconds
    ) -> None:
        for run in worker.run_by_key.values():
            if run.task is None or run.size is None:
                continue
            spec, job = run.task.step.spec, run.task.step.job
            if spec.lasting:
                continue
            ratio = self._sources.durations.of(
                job.queue.name, spec.estimate
            ).median
            remaining = _remaining_s(run, ratio * spec.estimate, now)
            load.add_release(remaining, run.size.millicores, job.urgent)
            load.add_running(job.tenant.name, remaining * run.size.millicores)


def waiting_row(
    rank: RankClass,
    latest_start: Seconds,
    spec: StepSpec,
    count: int,
    ratio: float,
) -> WaitingRow:
    """Return the row of a step of which `count` tasks wait."""
    task = spec.charged.millicores
    return WaitingRow(
        rank,
        latest_start,
        count * task,
        ratio * spec.estimate,
        concurrent_size(spec).millicores if task else 0,
    )


def _order(timing: TimingView, wall: Seconds) -> tuple[RankClass, Seconds]:
    """Return a waiting step's place; see `orchidrail.shard.ranking`."""
    if timing.over_share:
        return RankClass.OVER_SHARE, timing.latest_start
    if wall > timing.deadline:
        return RankClass.OTHER, timing.deadline + LATE_DEFERRAL
    if timing.urgent:
        return RankClass.URGENT, timing.latest_start
    return RankClass.OTHER, timing.latest_start


def _remaining_s(run: RunView, expected: Seconds, now: Seconds) -> Seconds:
    """Return the expected seconds until a run ends."""
    if math.isinf(run.confirmed_at):
        return expected
    elapsed = now - run.confirmed_at
    if run.share_done >= _MIN_PROGRESS:
        expected = elapsed / run.share_done
    # A run past its expected end lasts as long again, in the median.
    return expected - elapsed if elapsed < expected else elapsed - expected
