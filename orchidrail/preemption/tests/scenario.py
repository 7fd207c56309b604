"""Scenario of placement passes with preemption and fake workers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import msgspec

from orchidrail.journal import JournalView, JournalWriter
from orchidrail.journal.writer import take_over
from orchidrail.metrics import InstanceMetrics
from orchidrail.preemption.candidates import StopCost
from orchidrail.preemption.preemptor import Preemptor
from orchidrail.shard.advice_dispatcher import AdviceDispatcher
from orchidrail.shard.placer import Placer
from orchidrail.shard.runs import RunTracker
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.store import Topic
from orchidrail.store.memory import MemoryStore
from orchidrail.testing import AsyncTestCase
from orchidrail.types import Address, Epoch, InstanceId, JobId, Seconds
from orchidrail.work.job import Job
from orchidrail.work.model import MemberInfo, StepSpec
from orchidrail.work.records import TaskPhase
from orchidrail.work.size import Size
from orchidrail.work.step import Task
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import (
    Advice,
    OrderAnswer,
    OrderResult,
    RunEnding,
    RunKey,
    WorkerEntry,
)
from orchidrail.workers.run_lease import RunLease
from orchidrail.workers.session import WorkerSession
from orchidrail.workers.tests.fakes import FakeWorker, make_entry

_ME = MemberInfo(InstanceId('me'), Address('me:1'), 'zone', 'me-1')
#: Time after which a pass and the orders that it gives are over.
SOON: Seconds = 0.25
#: Estimate of a long task, and time for which it may be late, seconds.
_LONG: Seconds = 20
_MAX_STOP: Seconds = 0.4
_RESUME: Seconds = 0.1
#: Time for which runs have worked when the urgent work comes.
_WORKED: Seconds = 5


class SlowlyStoppingWorker(FakeWorker):
    """Lists the end of a stopped run only when the test says so."""

    def __init__(self) -> None:
        super().__init__()
        #: Whether the stop orders get no answer.
        self.ignores_stops = False

    async def stop(
        self,
        entry: WorkerEntry,
        key: RunKey,
        epoch: Epoch,
        timeout: Seconds,
    ) -> OrderAnswer:
        """See `WorkerCalls.stop`; the run goes on for the time being."""
        self.stops.append(key)
        lost = OrderResult.UNKNOWN if self.ignores_stops else OrderResult.TAKEN
        return OrderAnswer(lost, self.clock)


def long_job(
    name: str = 'a',
    count: int = 1,
    cores: int = 60,
    spare: Seconds = 60,
    **options: object,
) -> Job:
    """Return a job of long tasks with checkpoints and time to spare."""
    spec = StepSpec(
        count, Size(cores * 1000, 1), estimate=_LONG, keeps_checkpoint=True
    )
    spec = msgspec.structs.replace(spec, **options)
    return _with_queue(name, spec, 1, spare)


def urgent_job(
    name: str = 'f',
    cores: int = 40,
    spare: Seconds = 2,
    **options: object,
) -> Job:
    """Return an urgent job that has to start within `spare` seconds."""
    spec = StepSpec(1, Size(cores * 1000, 1), estimate=1)
    spec = msgspec.structs.replace(spec, **options)
    return _with_queue(name, spec, 0, spare)


def _with_queue(
    name: str, spec: StepSpec, priority: int, spare: Seconds
) -> Job:
    job = make_job(spec)
    queue = msgspec.structs.replace(job.queue, priority=priority, target=spare)
    record = msgspec.structs.replace(
        job.record, queue=queue, accepted_at=time.time()
    )
    return Job(JobId(name * 16), record)


def first_task(job: Job, index: int = 0) -> Task:
    """Return a task of a job's first step."""
    return job.steps(0)[0].tasks[index]


def is_placed(job: Job) -> bool:
    """Whether the first task of a job is on a worker."""
    return first_task(job).phase is TaskPhase.PLACED


class Scenario:
    """Workers, a placer with preemption, and what runs on the workers."""

    def __init__(self, writer: JournalWriter, *, enabled: bool = True) -> None:
        self.state = ShardState(
            writer, time.monotonic, time.time, InstanceMetrics()
        )
        self.runs = RunTracker(self.state, lambda: None, _MAX_STOP)
        dispatcher = AdviceDispatcher(_no_advice, time.monotonic)
        cost = StopCost(_MAX_STOP, _RESUME)
        preemptor = Preemptor(self.state, self.runs, cost, enabled=enabled)
        self.placer = Placer(self.state, self.runs, dispatcher, preemptor)
        self.worker_by_name: dict[str, SlowlyStoppingWorker] = {}

    async def add_worker(self, name: str) -> None:
        worker = SlowlyStoppingWorker()
        session = WorkerSession(
            make_entry(name),
            worker,
            self.state.writer.owner.epoch,
            RunLease(6, 0),
            self.runs,
            time.monotonic,
            lambda: True,
        )
        self.worker_by_name[session.worker] = worker
        self.state.tracked_by_worker[session.worker] = TrackedWorker(session)
        await session._poll()

    def add(self, *jobs: Job) -> None:
        for job in jobs:
            self.state.job_by_id[job.job_id] = job
            self.state.mark_changed(job)

    async def run_long(self, *jobs: Job) -> None:
        """Have jobs running for a while."""
        for job in jobs:
            job.record = msgspec.structs.replace(
                job.record, accepted_at=job.record.accepted_at - _WORKED
            )
        self.add(*jobs)
        await asyncio.sleep(SOON)
        for tracked in self.state.tracked_by_worker.values():
            for run in tracked.run_by_key.values():
                run.confirmed_at -= _WORKED
                run.placed_at -= _WORKED

    def run_of(self, job: Job, index: int = 0) -> PlacedRun:
        task = first_task(job, index)
        tracked = self.state.tracked_by_worker[task.worker]
        return next(
            run for run in tracked.run_by_key.values() if run.task is task
        )

    def stopped(self) -> list[str]:
        """Return the tasks for which a stop was ordered."""
        return sorted(
            {
                key.task
                for worker in self.worker_by_name.values()
                for key in worker.stops
            }
        )

    async def end_stopped(
        self, job: Job, index: int = 0, saved: str = '5'
    ) -> None:
        """List the end of a run that was told to stop."""
        run = self.run_of(job, index)
        worker = self.worker_by_name[first_task(job, index).worker]
        worker.end(run.key, RunEnding.STOPPED, saved)
        await self.poll()

    async def finish(self, job: Job) -> None:
        """List the success of a job's first task."""
        run = self.run_of(job)
        self.worker_by_name[first_task(job).worker].end(run.key, RunEnding.DONE)
        await self.poll()

    async def poll(self) -> None:
        """Read the listings of all workers, and place what is possible."""
        for tracked in self.state.tracked_by_worker.values():
            await tracked.session._poll()
        await asyncio.sleep(SOON)


async def _no_advice(*_: object) -> Advice:
    return Advice({}, 0)


class ScenarioTestCase(AsyncTestCase):
    """Runs scenarios with a journal writer and a placer."""

    def run_scenario(
        self,
        scenario: Callable[[Scenario], Awaitable[None]],
        *,
        enabled: bool = True,
    ) -> None:
        async def run() -> None:
            view = JournalView(MemoryStore(), Topic('journal'))
            writer = await take_over(view, _ME, time.monotonic, Epoch(0))
            shard = Scenario(writer, enabled=enabled)
            tasks = [
                asyncio.create_task(work)
                for work in (writer.run(), shard.placer.run())
            ]
            try:
                await scenario(shard)
            finally:
                shard.placer.close()
                shard.runs.close()
                for task in tasks:
                    task.cancel()

        self.run_async(run())
