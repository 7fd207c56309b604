"""A cell for tests of placement passes: no network, and a clock of its own."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any, cast

from orchidrail.metrics import InstanceMetrics
from orchidrail.shard.advice_dispatcher import AdviceDispatcher
from orchidrail.shard.placer import Placer
from orchidrail.shard.ranking import Rank, is_overdue
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.shard.worker_selection import Placement
from orchidrail.types import (
    Epoch,
    JobId,
    QueueName,
    Seconds,
    ServiceName,
    TenantId,
)
from orchidrail.work.job import Job
from orchidrail.work.model import AdviceCost, JobSpec, QueueSettings, StepSpec
from orchidrail.work.records import JobRecord, TaskPhase
from orchidrail.work.size import Size
from orchidrail.work.step import StepState
from orchidrail.work.tenant import ANONYMOUS_TENANT, Tenant
from orchidrail.workers.port import RunEnding, RunKey
from orchidrail.workers.run_lease import RunLease
from orchidrail.workers.session import WorkerSession
from orchidrail.workers.tests.fakes import FakeWorker, make_entry

_WORKERS = 8
_CORES = 64
_TICKET_VALIDITY: Seconds = 2.0
_MAX_CALLS = 2
_LIMITED = Tenant(TenantId('t'), 1, Size(3 * _CORES * 1000, 1000))
_WAITING_SIZES = (4, 10, 18, 26, 48, 64)


class _FakeRequester:
    """Sends no request; a reply comes when the cell asks for it."""

    def __init__(self, cell: PassCell) -> None:
        self.pending: list[tuple[StepState, list[TrackedWorker], bool]] = []
        self._cell = cell

    def accepts_request(self, rank: Rank, step: StepState) -> bool:
        limit = 2 * _MAX_CALLS if is_overdue(rank) else _MAX_CALLS
        return step.job.urgent or len(self.pending) < limit

    def request_candidates(
        self,
        rank: Rank,
        step: StepState,
        missing: int,
        unchecked: list[TrackedWorker],
    ) -> None:
        if unchecked:
            unchecked.sort(key=lambda tracked: -tracked.free.millicores)
            self._send(step, unchecked[:4], held=False)

    def renew_tickets(
        self,
        rank: Rank,
        step: StepState,
        chosen: list[Placement],
        missing: int,
    ) -> None:
        workers = list(
            {tracked.worker: tracked for _, tracked in chosen}.values()
        )
        for tracked in workers:
            tracked.hold(step.key, step.spec.charged)
        self._send(step, workers, held=True)

    def reply(self) -> None:
        """Answer the oldest request; about half of the workers may be used."""
        if not self.pending:
            return
        step, workers, held = self.pending.pop(0)
        step.permits.calls_in_flight -= 1
        if held:
            for tracked in workers:
                tracked.release_hold(step.key)
        names = [tracked.worker for tracked in workers]
        permitted = {
            name: 'ticket'
            for name in names
            if Random(f'{step.key} {name}').random() < 0.5
        }
        until = self._cell.now + _TICKET_VALIDITY
        step.permits.record_advice(names, permitted, until)

    def _send(
        self, step: StepState, workers: list[TrackedWorker], *, held: bool
    ) -> None:
        names = [tracked.worker for tracked in workers]
        self._cell.decisions.append(('advice', step.key, names))
        step.permits.calls_in_flight += 1
        self.pending.append((step, workers, held))


class PassCell:
    """A cell without a network, at a clock of its own."""

    def __init__(self, seed: int) -> None:
        self.now: Seconds = 100.0
        self.random = Random(seed)
        self.decisions: list[Any] = []
        self.placed: list[tuple[TrackedWorker, RunKey]] = []
        self._jobs = 0
        writer = SimpleNamespace(
            owner=SimpleNamespace(epoch=Epoch(1)),
            time_since_confirmed=float,
        )
        self.state = ShardState(
            cast('Any', writer),
            lambda: self.now,
            lambda: self.now,
            InstanceMetrics(),
        )
        self.placer = Placer(
            self.state,
            cast('Any', self),
            AdviceDispatcher(cast('Any', None), lambda: self.now),
        )
        self.requester = _FakeRequester(self)
        self.placer._advice_requester = cast('Any', self.requester)
        for number in range(_WORKERS):
            self._add_worker(f'w-{number}')

    def launch(self, step: StepState, chosen: list[Placement]) -> None:
        """Allocate capacity as the run tracker does, but send no orders."""
        run = step.next_run([placement.task for placement in chosen])
        for task, tracked in chosen:
            key = RunKey(task.key, run)
            placed = PlacedRun(
                key, step.spec.charged, task, self.now, confirmed_at=self.now
            )
            tracked.allocate(placed, step.key)
            step.job.place(task, run, tracked.worker)
            self.placed.append((tracked, key))
            self.decisions.append(('start', task.key, tracked.worker))
        self.state.changed_jobs.add(step.job.job_id)

    def advance(self) -> None:
        """Let something happen, then run a pass."""
        for _ in range(self.random.randint(0, 3)):
            self.random.choice(
                (
                    self._add_job,
                    self.end_run,
                    self.end_run,
                    self.end_run,
                    self._fail_run,
                    self._quarantine,
                    self.requester.reply,
                    self.requester.reply,
                )
            )()
        self.now += self.random.choice((0.004, 0.004, 0.02, 0.1, 0.6))
        if self.random.random() < 0.4:
            self.placer.place_urgent()
        else:
            self.placer.place_all()
        self.decisions.append(
            (sorted(self.placer._reserved), dict(self.placer._reason_by_job))
        )

    def _add_worker(self, name: str) -> None:
        session = WorkerSession(
            make_entry(name, _CORES),
            FakeWorker(),
            Epoch(1),
            RunLease(6, 0),
            cast('Any', None),
            lambda: self.now,
            lambda: True,
        )
        session.reachable = True
        tracked = TrackedWorker(session, self.state.ledger)
        self.state.tracked_by_worker[session.worker] = tracked

    def _add_job(self) -> None:
        draw = self.random
        step = StepSpec(
            draw.randint(1, 6),
            Size(draw.choice(_WAITING_SIZES) * 1000, 1),
            gang=draw.random() < 0.2,
            estimate=draw.choice((0.5, 3, 10)),
            most_per_worker=draw.choice((0, 0, 1)),
        )
        self._submit(
            step,
            draw.choice((None, AdviceCost(0.1, 0.001, 1))),
            priority=draw.choice((0, 1, 2)),
            tenant=draw.choice((ANONYMOUS_TENANT, _LIMITED)),
        )

    def _submit(
        self,
        step: StepSpec,
        advice: AdviceCost | None,
        priority: int = 1,
        tenant: Tenant = ANONYMOUS_TENANT,
    ) -> None:
        self._jobs += 1
        queue = QueueSettings(
            name=QueueName('q'),
            host='',
            path_prefix='',
            service=ServiceName('service'),
            priority=priority,
            stretch=2,
            target=1,
            max_attempts=4,
            advice=advice,
        )
        record = JobRecord(queue, JobSpec('', (step,)), self.now, tenant)
        job = Job(JobId(f'{self._jobs:016x}'), record)
        self.state.job_by_id[job.job_id] = job
        self.state.changed_jobs.add(job.job_id)

    def add_plain_job(self) -> None:
        """Add a job of tasks that need no advice, half a worker each."""
        self._submit(StepSpec(4, Size(_CORES * 500, 1), estimate=10), None)

    def end_run(self) -> None:
        """End a run with success."""
        self._finish(RunEnding.DONE)

    def _fail_run(self) -> None:
        self._finish(RunEnding.FAILED)

    def _finish(self, ending: RunEnding) -> None:
        if not self.placed:
            return
        index = self.random.randrange(len(self.placed))
        tracked, key = self.placed.pop(index)
        run = tracked.release(key)
        assert run is not None
        task = run.task
        assert task is not None
        job = task.step.job
        if ending is RunEnding.FAILED:
            task.step.failed_workers.note_failure(tracked.worker, self.now)
        if task.phase is TaskPhase.PLACED and task.run == key.run:
            job.end_run(task, key.run, ending, '')
        if job.ended:
            self.state.job_by_id.pop(job.job_id, None)
        self.state.changed_jobs.add(job.job_id)

    def _quarantine(self) -> None:
        workers = list(self.state.tracked_by_worker.values())
        tracked = self.random.choice(workers)
        tracked.quarantine(self.now, self.random.choice((0.05, 0.4, 2)))
