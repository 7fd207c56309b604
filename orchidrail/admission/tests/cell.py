"""A cell as admission control sees it, without a shard."""

from __future__ import annotations

import math

import msgspec

from orchidrail.admission import (
    AdmissionControl,
    AdmissionSources,
    ForecastAccuracy,
    LoadSources,
    Rejection,
    TaskDurations,
    TenantRoom,
)
from orchidrail.metrics import InstanceMetrics
from orchidrail.types import JobId, RunNumber, Seconds, TaskKey
from orchidrail.work.job import Job
from orchidrail.work.model import JobSpec, QueueSettings
from orchidrail.work.objectives import critical_path_s, objective_s
from orchidrail.work.records import JobRecord
from orchidrail.work.size import Size
from orchidrail.work.step import StepState, Task
from orchidrail.work.tenant import ANONYMOUS_TENANT, Tenant
from orchidrail.workers.port import RunKey, WorkerEntry
from orchidrail.workers.tests.fakes import make_entry


class FakeTiming(msgspec.Struct):
    """Implements `TimingView`."""

    latest_start: Seconds
    deadline: Seconds
    urgent: bool
    over_share: bool = False


class FakeWaiting(msgspec.Struct):
    """Implements `WaitingView`."""

    timing: FakeTiming
    step: StepState
    tasks: list[Task]


class FakeRun(msgspec.Struct):
    """Implements `RunView`."""

    size: Size | None
    task: Task | None
    confirmed_at: Seconds
    share_done: float = 0


class FakeTracked(msgspec.Struct):
    """Implements `WorkerView`."""

    entry: WorkerEntry
    free: Size
    urgent_millicores: int = 0
    run_by_key: dict[RunKey, FakeRun] = {}
    accepting: bool = True

    def accepts_work(self, now: Seconds) -> bool:
        """See `WorkerView`."""
        return self.accepting


class CellView:
    """Workers of ten cores each and what waits; tests set the clock."""

    def __init__(self, workers: int = 10) -> None:
        """Start idle."""
        self.now: Seconds = 100
        self.unconfirmed: Seconds = 0
        self.over_share_for: Seconds = 0
        self.walks = 0
        self.room = TenantRoom()
        self.workers = [
            FakeTracked(make_entry(f'w-{number}', 10), Size(10_000, 100_000))
            for number in range(workers)
        ]
        self.waiting: list[FakeWaiting] = []
        self.durations = TaskDurations()
        self.accuracy = ForecastAccuracy()
        self.metrics = InstanceMetrics()
        self.control = AdmissionControl(
            AdmissionSources(
                LoadSources(
                    self._list_workers,
                    lambda: self.waiting,
                    lambda service, total, used: 0,
                    lambda: self.now,
                    lambda: self.now,
                    self.durations,
                ),
                self.accuracy,
                self,
                lambda tenant: tenant,
                lambda tenant: self.room,
                lambda queue: 1,
                lambda: self.unconfirmed,
                self.metrics,
            )
        )

    def find(
        self,
        job: str,
        queue: QueueSettings,
        spec: JobSpec,
        tenant: Tenant = ANONYMOUS_TENANT,
        patience: Seconds = math.inf,
    ) -> Rejection | None:
        """Judge a job; count it if it is accepted."""
        job_id = JobId(job)
        found = self.control.find(job_id, queue, spec, tenant, patience)
        if found is None:
            self.control.note_accepted(job_id, queue, spec, over_share=False)
        return found

    def queue_up(
        self, queue: QueueSettings, spec: JobSpec, count: int = 1
    ) -> None:
        """Let jobs wait that were accepted now."""
        for _ in range(count):
            job = Job(JobId('waiting'), JobRecord(queue, spec, self.now))
            step = job.steps(0)[0]
            deadline = self.now + objective_s(spec, queue)
            timing = FakeTiming(
                deadline - critical_path_s(spec, queue), deadline, job.urgent
            )
            self.waiting.append(FakeWaiting(timing, step, step.tasks))

    def fill_workers(self, queue: QueueSettings, spec: JobSpec) -> None:
        """Give each worker one task that uses all its room from now on."""
        job = Job(JobId('running'), JobRecord(queue, spec, self.now))
        for number, worker in enumerate(self.workers):
            task = job.steps(0)[0].tasks[0]
            key = RunKey(TaskKey(f'running.0.0.{number}'), RunNumber(1))
            worker.free = Size()
            worker.run_by_key = {key: FakeRun(Size(10_000, 10), task, self.now)}

    def empty_workers(self) -> None:
        """Let all runs end, and nothing wait."""
        self.waiting = []
        for worker in self.workers:
            worker.free = worker.entry.capacity
            worker.run_by_key = {}

    def time_until_within_share(self, tenant: Tenant) -> Seconds:
        """See `Standing`."""
        return self.over_share_for

    def _list_workers(self) -> list[FakeTracked]:
        self.walks += 1
        return self.workers
