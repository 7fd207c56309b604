"""The owner of one shard, from takeover until it is replaced."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Collection
from contextlib import AsyncExitStack
from typing import NamedTuple

import structlog

from orchidrail.evacuation import ZoneGate
from orchidrail.journal import JournalView, JournalWriter
from orchidrail.journal.writer import Commit
from orchidrail.metrics import InstanceMetrics
from orchidrail.preemption.candidates import StopCost
from orchidrail.preemption.preemptor import Preemptor
from orchidrail.shard.admission import (
    AdmissionControl,
    Rejection,
    check_known_job,
)
from orchidrail.shard.advice_dispatcher import AdviceDispatcher, CallAdvice
from orchidrail.shard.fleet import EntryDecoder, Fleet
from orchidrail.shard.lease_timing import prior_leases_end, renewal_grace
from orchidrail.shard.load_report import LoadReport
from orchidrail.shard.placer import Placer
from orchidrail.shard.runs import RunTracker
from orchidrail.shard.state import ShardState
from orchidrail.shard.stored_state import StoredState, read_state
from orchidrail.shard.tenant_ledger import (
    FindTenant,
    QuotaUsage,
    find_no_tenant,
)
from orchidrail.types import (
    InstanceId,
    JobId,
    Seconds,
    ServiceName,
)
from orchidrail.work.job import Job
from orchidrail.work.model import JobSpec, QueueSettings
from orchidrail.work.records import (
    ENDED_PHASES,
    EndedRecord,
    FailureCause,
    JobPhase,
    JobRecord,
    encode,
    find_job_id,
    job_key,
    progress_key,
    read_jobs,
    read_records,
)
from orchidrail.work.tenant import ANONYMOUS_TENANT, Tenant
from orchidrail.workers.incarnations import incarnation_id
from orchidrail.workers.port import RunKey, WorkerCalls

_log = structlog.get_logger()
#: Time budget of a submission whose caller names none.
_DEFAULT_TIMEOUT: Seconds = 0.7
#: Part of the time budget that is left for the reply to reach the caller.
_REPLY_MARGIN: Seconds = 0.1
#: How often a withdrawal is tried again: between two attempts to append, the
#: writer pauses for longer.
_WITHDRAWAL_INTERVAL: Seconds = 0.03
#: Bytes that may be queued while the journal does not respond; beyond it jobs
#: are rejected at once. This is the size of one append.
_MAX_UNWRITTEN_BYTES = 1_000_000
_EXPIRY_TICK: Seconds = 1.0
#: How long a count of the waiting jobs is used: hundreds of heartbeats a second
#: carry it in a large cell, but to each peer at most one in 0.1 s.
_COUNT_VALIDITY: Seconds = 0.1


def _services_unknown() -> None:
    """Return None: the services are not known."""


class OwnerPorts(NamedTuple):
    """External dependencies of a shard owner."""

    worker_view: JournalView
    worker_calls: WorkerCalls
    decode_entry: EntryDecoder
    ask: CallAdvice
    clock: Callable[[], Seconds]
    wall_clock: Callable[[], Seconds]
    #: Whether the store responds to no instance, so that none can take over.
    store_unreachable: Callable[[], bool]
    longest_lease: Seconds
    stop_takes: Seconds
    status_kept: Seconds
    metrics: InstanceMetrics
    #: Services of the queues currently configured; None if not known yet.
    services: Callable[[], Collection[ServiceName] | None] = _services_unknown
    #: Returns a tenant of the current configuration.
    find_tenant: FindTenant = find_no_tenant
    #: Keeps starts out of evacuated zones; None if no zone is evacuated.
    zone_gate: ZoneGate | None = None
    #: Longest time that a run takes to resume from a checkpoint.
    restore_takes: Seconds = 0
    #: Whether runs may be stopped for more urgent work.
    preemption: bool = True


class ShardOwner:
    """Schedules the jobs of one shard while its journal writer is not fenced.

    Parameters
    ----------
    writer : JournalWriter
        Writer of a journal that has just been taken over.
    ports : OwnerPorts
    """

    def __init__(self, writer: JournalWriter, ports: OwnerPorts) -> None:
        """Restore the jobs from the journal."""
        self.writer = writer
        self._ports = ports
        now = ports.clock()
        self.state = ShardState(
            writer,
            ports.clock,
            ports.wall_clock,
            ports.metrics,
            ports.find_tenant,
            ports.zone_gate,
        )
        self._admission = AdmissionControl(self.state)
        self._counted_at: Seconds = -math.inf
        self._waiting_by_queue: Counter[str] = Counter()
        self.runs = RunTracker(
            self.state,
            self.resign,
            ports.stop_takes,
        )
        self.dispatcher = AdviceDispatcher(ports.ask, ports.clock)
        self.placer = Placer(
            self.state,
            self.runs,
            self.dispatcher,
            Preemptor(
                self.state,
                self.runs,
                StopCost(ports.stop_takes, ports.restore_takes),
                enabled=ports.preemption,
            ),
        )
        has_predecessor = writer.owner.epoch > 1
        prior_leases_until = (
            prior_leases_end(now, ports.longest_lease) if has_predecessor else 0
        )
        self._fleet = Fleet(
            self.state,
            self.runs,
            ports.worker_view,
            ports.worker_calls,
            ports.decode_entry,
            serves=self._is_served,
            longest_lease=ports.longest_lease,
            prior_leases_end=prior_leases_until,
            may_renew=self._may_renew,
        )
        writer.on_refused = self._handle_refused
        self._restore()

    async def run(self) -> None:
        """Run until fenced or cancelled."""
        async with AsyncExitStack() as stack:
            stack.callback(self.placer.close)
            stack.callback(self.runs.close)
            stack.callback(self.dispatcher.close)
            tasks = [
                asyncio.create_task(work)
                for work in (
                    self.writer.run(),
                    self._fleet.run(),
                    self.placer.run(),
                    LoadReport(self.state, self.placer, self.dispatcher).run(),
                    self._expire_jobs(),
                )
            ]
            for task in tasks:
                stack.callback(task.cancel)
            fenced: asyncio.Task[bool] = asyncio.create_task(
                self.writer.fenced.wait()
            )
            stack.callback(fenced.cancel)
            done, _ = await asyncio.wait(
                [*tasks, fenced],
                return_when=asyncio.FIRST_COMPLETED,
            )
            failures = [task.exception() for task in tasks if task in done]
            for failure in filter(None, failures):
                _log.error('owner failed', exc_info=failure)
        _log.info('owner ends', epoch=self.writer.owner.epoch)

    def resign(self) -> None:
        """Stop scheduling: another instance owns the shard."""
        self.writer.fenced.set()

    def find_rejection(
        self,
        job_id: JobId,
        queue: QueueSettings,
        spec: JobSpec,
        tenant: Tenant,
    ) -> Rejection | None:
        """Return why a job is rejected, None if it may be accepted."""
        known = self.job_state(job_id)
        if known is not None:
            return check_known_job(known, tenant)
        return self._admission.find(queue, spec, tenant)

    async def submit(
        self,
        job_id: JobId,
        queue: QueueSettings,
        spec: JobSpec,
        time_budget: Seconds = _DEFAULT_TIMEOUT,
        tenant: Tenant = ANONYMOUS_TENANT,
    ) -> bool | None:
        """Accept a job.

        While the journal does not respond, the job is queued for as long as its
        caller waits, so that it is accepted once the journal responds again.

        Returns
        -------
        True once it is in the journal, False if it is not and never will be,
        None if the outcome is unknown.
        """
        if self.knows(job_id):
            return await self._wait_known(job_id)
        full = self.writer.waiting_bytes > _MAX_UNWRITTEN_BYTES
        if full or self.writer.fenced.is_set():
            _log.info(
                'job refused',
                job=job_id,
                queue=queue.name,
                waiting=self.writer.waiting_bytes,
                trouble=self.writer.last_error,
            )
            return False
        over_share = not self.state.shares.take(
            self.state.ledger.current(tenant)
        )
        record = JobRecord(
            queue,
            spec,
            self._ports.wall_clock(),
            tenant,
            over_share,
        )
        job = Job(job_id, record)
        self.state.job_by_id[job_id] = job
        commit = self.writer.put(job_key(job_id), encode(record))
        # Its first steps may be placed while it is being written: a start waits
        # for its own record, which is never written before that of the job.
        self.state.mark_changed(job)
        self.state.request_pass(job)
        # A callback, as the caller may disconnect before the reply.
        commit.on_decided(lambda committed: self._accept(job, committed))
        waiting = asyncio.ensure_future(commit.wait())
        wait_time = max(0, time_budget - _REPLY_MARGIN)
        done, _ = await asyncio.wait((waiting,), timeout=wait_time)
        # An append in flight can't be withdrawn, but the store may reject it.
        while not done:
            if self._withdraw(job, commit):
                waiting.cancel()
                return False
            done, _ = await asyncio.wait(
                (waiting,), timeout=_WITHDRAWAL_INTERVAL
            )
        if await waiting:
            return job_key(job_id) not in commit.refused_keys
        return None if commit.may_be_written else False

    def _withdraw(self, job: Job, commit: Commit) -> bool:
        """Withdraw a job that is queued behind an append without a response.

        Its caller then gets a definite rejection: the job has not run.
        """
        if job.ended or commit.may_be_written:
            return False
        if not self.state.withdraw(job):
            return False
        self._drop(job)
        _log.info(
            'job withdrawn',
            job=job.job_id,
            queue=job.queue.name,
            unconfirmed=round(self.writer.time_since_confirmed(), 3),
            trouble=self.writer.last_error,
        )
        return True

    def _drop(self, job: Job) -> None:
        """Drop a job that is not in the journal; none of its tasks has run."""
        job.phase = JobPhase.CANCELLED
        self.state.job_by_id.pop(job.job_id, None)
        self.state.mark_changed(job)
        self.runs.release_job(job)

    def _handle_refused(self, key: str) -> None:
        """Handle that the store will never accept a value.

        A submission is rejected. An accepted job whose progress can't be kept
        fails: the next owner would run its tasks again.
        """
        self.state.metrics.store.refused_values.inc()
        job_id = find_job_id(key)
        job = None if job_id is None else self.state.job_by_id.get(job_id)
        if job is None:
            return
        if key == job_key(job.job_id):
            self._drop(job)
            # It may have been written without its job.
            for block in job.blocks():
                self.writer.put(progress_key(job.job_id, block), b'')
        else:
            self.runs.fail_job(job, FailureCause.NOT_STORABLE)

    def _accept(self, job: Job, committed: bool) -> None:
        job.accepted = committed and not job.ended
        if not job.accepted:
            return
        _log.info(
            'job accepted',
            job=job.job_id,
            queue=job.queue.name,
            tenant=job.tenant.name,
            beyond=job.record.over_share,
            tasks=sum(step.count for step in job.spec.steps),
            epoch=self.writer.owner.epoch,
        )

    def knows(self, job_id: JobId) -> bool:
        """Whether a job with this id was accepted or is being written."""
        committed = job_key(job_id) in self.writer.view.value_by_key
        return committed or job_id in self.state.job_by_id

    def phase(self, job_id: JobId) -> JobPhase | None:
        """Return the phase reported to callers, None if there is no job."""
        state = self.job_state(job_id)
        return None if state is None else state.phase

    def job_state(self, job_id: JobId) -> StoredState | None:
        """Return a job's state in the journal, or the one being written."""
        stored = read_state(job_id, self.writer.view.value_by_key)
        job = self.state.job_by_id.get(job_id)
        if stored is not None or job is None:
            return stored
        return StoredState(JobPhase.QUEUED, tenant=job.tenant.name)

    async def cancel(self, job_id: JobId) -> JobPhase | None:
        """Cancel a job; return its final phase, None if there is no job."""
        job = self.state.job_by_id.get(job_id)
        if job is None:
            return await self._written_phase(job_id)
        job.phase = JobPhase.CANCELLED
        commit = self.state.save(job)
        self.state.job_by_id.pop(job_id, None)
        self.state.mark_changed(job)
        self.runs.stop_job(job)
        _log.info('job cancelled', job=job_id)
        if not await commit.wait():
            raise ConnectionAbortedError(
                f'cancellation of job {job_id!r} not written to the journal'
            )
        return JobPhase.CANCELLED

    async def _written_phase(self, job_id: JobId) -> JobPhase | None:
        """Return the phase of a job that is no longer open.

        Its end may not be in the journal yet, in which case the next owner
        would restore the job as open: flush the journal first.
        """
        phase = self.phase(job_id)
        if phase is None or phase in ENDED_PHASES:
            return phase
        if not await self.writer.flush():
            raise ConnectionAbortedError(
                f'end of job {job_id!r} not written to the journal'
            )
        return self.phase(job_id)

    def waiting_by_queue(self) -> Counter[str]:
        """Count the jobs of each queue that have started no task.

        The count is up to `_COUNT_VALIDITY` old.
        """
        now = self.state.clock()
        if now - self._counted_at >= _COUNT_VALIDITY:
            self._counted_at = now
            self._waiting_by_queue = Counter(
                job.queue.name
                for job in self.state.job_by_id.values()
                if not job.started
            )
        return self._waiting_by_queue

    def set_advice_lanes(self, lanes: list[InstanceId]) -> None:
        """Request advice through these instances."""
        self.dispatcher.set_advice_lanes(lanes)

    def check_connections_soon(self) -> None:
        """Poll the workers soon, as several connections stopped responding."""
        self._fleet.poll_soon()

    async def _wait_known(self, job_id: JobId) -> bool | None:
        if job_key(job_id) in self.writer.view.value_by_key:
            return True
        await self.writer.flush()
        return job_key(job_id) in self.writer.view.value_by_key or None

    def _is_served(self, service: ServiceName) -> bool:
        """Whether a service runs a configured queue or that of an open job."""
        services = self._ports.services()
        if services is None or service in services:
            return True
        jobs = self.state.job_by_id.values()
        return any(job.queue.service == service for job in jobs)

    def _may_renew(self) -> bool:
        if self.writer.fenced.is_set():
            return False
        longest = renewal_grace(self._ports.longest_lease)
        confirmed = self.writer.time_since_confirmed() < longest
        return confirmed or self._ports.store_unreachable()

    def _restore(self) -> None:
        for stored in read_jobs(self.writer.view.value_by_key):
            if isinstance(stored.record, EndedRecord):
                self._restore_lingering_runs(stored.record)
                continue
            job = Job(stored.job_id, stored.record)
            for block, progress in sorted(stored.progress_by_block.items()):
                job.restore(progress, block)
            job.accepted = True
            self.state.job_by_id[stored.job_id] = job
            self.state.mark_changed(job)
            for task in job.placed_tasks():
                self.state.unresolved_runs.add(task.worker, [(task, task.run)])
        self.state.remove_orphans()
        _log.info(
            'jobs restored',
            jobs=len(self.state.job_by_id),
            epoch=self.writer.owner.epoch,
        )

    def _restore_lingering_runs(self, ended: EndedRecord) -> None:
        """Count lingering runs of an ended job until their workers respond."""
        for run in ended.lingering_runs:
            self.state.unresolved_runs.add_lingering(
                incarnation_id(run.worker, run.born),
                RunKey(run.task, run.run),
                QuotaUsage(ended.tenant.name, run.size),
            )

    async def _expire_jobs(self) -> None:
        """Delete the records of ended jobs after their retention period."""
        while True:
            await asyncio.sleep(_EXPIRY_TICK * 10)
            before = self._ports.wall_clock() - 2 * self._ports.status_kept
            records = read_records(self.writer.view.value_by_key)
            for job_id, record in records.items():
                if isinstance(record, EndedRecord) and (
                    record.ended_at < before
                ):
                    self.writer.put(job_key(job_id), b'')
