"""Scenario of placement passes with preemption and fake workers."""

from __future__ import annotations

import asyncio
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
    ActiveRun,
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
#: Real time in which fake workers answer what is already on its way.
_SETTLE: Seconds = 0.02
#: Reading of both clocks when a scenario begins.
START: Seconds = 1000
#: Estimate of a long task, and time for which it may be late, seconds.
_LONG: Seconds = 20
_MAX_STOP: Seconds = 0.4
_RESUME: Seconds = 0.1
#: Time before the last moment for a stop at which tests have it decided.
_MARGIN: Seconds = 0.1
#: Time for which runs have worked when the urgent work comes.
_WORKED: Seconds = 5


class ManualClock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.now: Seconds = START

    def __call__(self) -> Seconds:
        return self.now


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
    spare: Seconds = 1.5,
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
    record = msgspec.structs.replace(job.record, queue=queue, accepted_at=START)
    return Job(JobId(name * 16), record)


def first_task(job: Job, index: int = 0) -> Task:
    """Return a task of a job's first step."""
    return job.steps(0)[0].tasks[index]


def is_placed(job: Job) -> bool:
    """Whether the first task of a job is on a worker."""
    return first_task(job).phase is TaskPhase.PLACED


class Scenario:
    """Workers, passes with preemption, and what runs on the workers.

    Time stands still unless the test advances it, however slow the machine is.
    """

    def __init__(self, writer: JournalWriter, clock: ManualClock) -> None:
        self.clock = clock
        self.state = ShardState(writer, clock, clock, InstanceMetrics())
        self.runs = RunTracker(self.state, lambda: None, _MAX_STOP)
        self._dispatcher = AdviceDispatcher(_no_advice, clock)
        self.enable(preemption=True)
        self.worker_by_name: dict[str, SlowlyStoppingWorker] = {}

    def enable(self, *, preemption: bool) -> None:
        """Switch preemption on or off."""
        cost = StopCost(_MAX_STOP, _RESUME)
        preemptor = Preemptor(self.state, self.runs, cost, enabled=preemption)
        self.placer = Placer(self.state, self.runs, self._dispatcher, preemptor)

    async def add_worker(self, name: str = 'w-1') -> None:
        """Add an idle worker of 64 cores."""
        worker = SlowlyStoppingWorker()
        session = WorkerSession(
            make_entry(name),
            worker,
            self.state.writer.owner.epoch,
            RunLease(6, 0),
            self.runs,
            self.clock,
            lambda: True,
        )
        self.worker_by_name[session.worker] = worker
        self.state.tracked_by_worker[session.worker] = TrackedWorker(session)
        await session._poll()

    async def add(self, *jobs: Job) -> None:
        """Accept jobs now, and place what is possible."""
        for job in jobs:
            job.record = msgspec.structs.replace(
                job.record, accepted_at=self.clock()
            )
            self.state.job_by_id[job.job_id] = job
            self.state.mark_changed(job)
        await self.place()

    async def run_long(self, *jobs: Job) -> None:
        """Have jobs running for a while."""
        await self.add(*jobs)
        self.clock.now += _WORKED
        await self.poll()

    async def place(self) -> None:
        """Run a pass, and let its orders be carried out."""
        # The journal confirms in no time, also after the clock was set.
        self.state.writer.confirmed_at = self.clock()
        self.placer.place_all()
        await self.state.writer.flush()
        await asyncio.sleep(_SETTLE)

    async def wait_until_due(self, urgent: Job) -> None:
        """Let an urgent job wait for as long as a stop may still help it."""
        spare = urgent.queue.target - _MAX_STOP
        self.clock.now = urgent.record.accepted_at + spare - _MARGIN
        await self.poll()

    def run_of(self, job: Job, index: int = 0) -> PlacedRun:
        """Return the run of a placed task."""
        task = first_task(job, index)
        tracked = self.state.tracked_by_worker[task.worker]
        return next(
            run for run in tracked.run_by_key.values() if run.task is task
        )

    def report_progress(self, job: Job, percent: float) -> None:
        """Have a worker report the progress of a job's first task."""
        key = self.run_of(job).key
        worker = self.worker_by_name[first_task(job).worker]
        worker.active[key] = ActiveRun(key, '', percent)

    def stopped(self) -> list[str]:
        """Return the tasks for which a stop was ordered."""
        workers = self.worker_by_name.values()
        return sorted({key.task for worker in workers for key in worker.stops})

    async def end_stopped(
        self, job: Job, index: int = 0, saved: str = '5'
    ) -> None:
        """List the end of a run that was told to stop."""
        await self._end(job, index, RunEnding.STOPPED, saved)

    async def finish(self, job: Job) -> None:
        """List the success of a job's first task."""
        await self._end(job, 0, RunEnding.DONE, '')

    async def _end(
        self, job: Job, index: int, ending: RunEnding, saved: str
    ) -> None:
        run = self.run_of(job, index)
        worker = self.worker_by_name[first_task(job, index).worker]
        worker.end(run.key, ending, saved)
        await self.poll()

    async def poll(self) -> None:
        """Read the listings of all workers, and place what is possible."""
        for tracked in self.state.tracked_by_worker.values():
            await tracked.session._poll()
        await self.place()


async def _no_advice(*_: object) -> Advice:
    return Advice({}, 0)


class ScenarioTestCase(AsyncTestCase):
    """Runs scenarios with a journal writer."""

    def run_scenario(
        self, scenario: Callable[[Scenario], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            clock = ManualClock()
            view = JournalView(MemoryStore(), Topic('journal'))
            writer = await take_over(view, _ME, clock, Epoch(0))
            shard = Scenario(writer, clock)
            writing = asyncio.create_task(writer.run())
            try:
                await scenario(shard)
            finally:
                shard.placer.close()
                shard.runs.close()
                writing.cancel()

        self.run_async(run())
