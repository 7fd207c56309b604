"""State shared by the components of a shard owner."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

import msgspec
import structlog

from orchidrail.evacuation import ZoneGate
from orchidrail.journal import JournalWriter
from orchidrail.journal.writer import Commit
from orchidrail.metrics import InstanceMetrics
from orchidrail.shard.fair_shares import FairShares
from orchidrail.shard.pending_advice import PendingAdviceRequests
from orchidrail.shard.start_pacing import StartPacer
from orchidrail.shard.tenant_ledger import (
    FindTenant,
    TenantLedger,
    find_no_tenant,
)
from orchidrail.shard.tracked_worker import TrackedWorker
from orchidrail.shard.unresolved_runs import UnresolvedRuns
from orchidrail.shard.worker_speed import SpeedEstimator
from orchidrail.types import (
    FIRST_BLOCK,
    BlockNumber,
    Epoch,
    JobId,
    Seconds,
    TaskKey,
    WorkerId,
)
from orchidrail.work.job import Job
from orchidrail.work.records import (
    FENCE_KEY,
    EndedRecord,
    LingeringRun,
    TaskRow,
    encode,
    encode_progress,
    job_key,
    orphaned_progress,
    progress_key,
    worker_key,
)
from orchidrail.work.step import Task
from orchidrail.workers.incarnations import split_incarnation_id
from orchidrail.workers.port import WorkerEntry

_log = structlog.get_logger()
_KEY_PARTS = 4


def _lingering_runs(job: Job) -> tuple[LingeringRun, ...]:
    """Return the runs of a job that may outlive it, for the next owner.

    It counts them against their tenant's limit until their workers respond.
    """
    if not job.tenant.name:
        return ()
    return tuple(
        LingeringRun(
            task.key,
            task.run,
            task.step.spec.size,
            *split_incarnation_id(task.worker),
        )
        for task in job.placed_tasks()
    )


class ShardState:
    """Jobs, workers and the journal of one shard.

    Parameters
    ----------
    writer : JournalWriter
    clock : callable
        Monotonic seconds.
    wall_clock : callable
        Seconds since 1970.
    metrics : InstanceMetrics
    find_tenant : callable
        Returns a tenant of the current configuration.
    zone_gate : ZoneGate, optional
        Keeps starts out of evacuated zones.
    """

    def __init__(
        self,
        writer: JournalWriter,
        clock: Callable[[], Seconds],
        wall_clock: Callable[[], Seconds],
        metrics: InstanceMetrics,
        find_tenant: FindTenant = find_no_tenant,
        zone_gate: ZoneGate | None = None,
    ) -> None:
        """Start without jobs and workers."""
        self.ledger = TenantLedger(find_tenant, clock)
        self.shares = FairShares(clock)
        self.zone_gate = zone_gate or ZoneGate(clock)
        self.metrics = metrics
        metrics.epoch.set(writer.owner.epoch)
        self.writer = writer
        self.clock = clock
        self.wall_clock = wall_clock
        self.started_at = clock()
        self.start_pacer = StartPacer()
        self.pending_advice = PendingAdviceRequests(clock, metrics)
        self.job_by_id: dict[JobId, Job] = {}
        self.tracked_by_worker: dict[WorkerId, TrackedWorker] = {}
        #: Runs that a previous owner placed on workers that have not responded.
        self.unresolved_runs = UnresolvedRuns(self.ledger)
        self.speeds = SpeedEstimator()
        #: Set when tasks may have become placeable.
        self.pass_requested = asyncio.Event()
        #: Set when urgent tasks may have become placeable.
        self.urgent_pass_requested = asyncio.Event()
        self.changed_jobs: set[JobId] = set()
        #: Set when the incarnation of a worker has ended.
        self.incarnation_ended = asyncio.Event()
        self._highest_fence = writer.owner.epoch
        self._fence_commit: Commit | None = None

    def find_task(self, key: TaskKey) -> Task | None:
        """Return a task of an open job, None if there is none."""
        parts = key.split('.')
        if len(parts) != _KEY_PARTS:
            return None
        job = self.job_by_id.get(JobId(parts[0]))
        if job is None:
            return None
        return job.find_task(int(parts[1]), int(parts[2]), int(parts[3]))

    def is_unreachable(self, worker: WorkerId) -> bool:
        """Whether a worker does not respond or was never contacted."""
        tracked = self.tracked_by_worker.get(worker)
        return tracked is None or not tracked.session.reachable

    def save_worker(self, entry: WorkerEntry) -> None:
        """Write a worker's entry to the journal, for the next owner."""
        key, value = worker_key(entry.name), encode(entry)
        if self.writer.view.value_by_key.get(key) != value:
            self.writer.put(key, value)

    async def reserve_fencing_token(self, token: Epoch) -> bool:
        """Record a fencing token, so that the next owner uses a higher one.

        Returns
        -------
        False if another owner has taken over; the token must not be used.
        """
        if token > self._highest_fence:
            self._highest_fence = token
            self._fence_commit = self.writer.put(FENCE_KEY, encode(token))
        if token == self.writer.owner.epoch or self._fence_commit is None:
            return True
        return await self._fence_commit.wait()

    def remove_orphans(self) -> None:
        """Remove what a failed owner left of values that are gone.

        These are the progress of jobs that are over, and parts of values.
        """
        view = self.writer.view
        for key in orphaned_progress(view.value_by_key, self.job_by_id):
            self.writer.put(key, b'')
        for key in view.orphaned_parts():
            self.writer.put(key, b'')

    def delete_worker(self, tracked: TrackedWorker) -> None:
        """Delete a worker from the journal: its incarnation has ended."""
        self.writer.put(worker_key(tracked.entry.name), b'')
        self.speeds.forget(tracked.worker)

    def mark_changed(self, job: Job) -> None:
        """Have the steps of a job considered in the next placement pass."""
        self.changed_jobs.add(job.job_id)
        self.pass_requested.set()

    def request_pass(self, job: Job) -> None:
        """Have a pass run soon, since tasks of a job may be placeable."""
        self.pass_requested.set()
        if job.urgent:
            self.urgent_pass_requested.set()

    def observe_job_duration(self, job: Job) -> None:
        """Observe the duration of a job that has ended."""
        duration = self.wall_clock() - job.record.accepted_at
        self.metrics.job_seconds.labels(
            self.metrics.tenant_label(job.tenant.name),
            self.metrics.queue_label(job.queue.name),
            job.phase.name.lower(),
        ).observe(max(0, duration))

    def save(self, job: Job) -> Commit:
        """Write the progress of a job, or its end, to the journal."""
        if job.ended:
            return self._save_end(job)
        # Without a change the first block is written again, for its commit.
        commits = [
            self.writer.put_lazily(
                progress_key(job.job_id, block),
                partial(self._encode_block, job, block),
            )
            for block in job.take_changed_blocks() or [FIRST_BLOCK]
        ]
        return commits[-1]

    def _encode_block(self, job: Job, block: BlockNumber) -> bytes:
        """Encode a block of a job's progress, for the next owner.

        Checkpoints that don't fit the store are left out: the tasks would start
        over under the next owner, but no run is lost.
        """
        rows = job.short_rows(block)
        value = encode_progress(rows)
        if len(value) <= self.writer.limits.max_value_bytes:
            return value
        _log.warning(
            'checkpoints too large for the journal',
            job=job.job_id,
            block=block,
            size=len(value),
            limit=self.writer.limits.max_value_bytes,
        )
        for row in rows:
            if isinstance(row, TaskRow):
                row.checkpoint = ''
        return encode_progress(rows)

    def _save_end(self, job: Job) -> Commit:
        record = EndedRecord(
            job.phase,
            self.wall_clock(),
            job.queue.name,
            job.cause,
            job.tenant,
            _lingering_runs(job),
        )
        value = encode(record)
        if len(value) > self.writer.limits.max_value_bytes:
            _log.warning(
                'stopping runs of an ended job are not recorded',
                job=job.job_id,
                runs=len(record.lingering_runs),
            )
            value = encode(msgspec.structs.replace(record, lingering_runs=()))
        commit = self.writer.put(job_key(job.job_id), value)
        # Removed after that: both may be written by different appends, and
        # without progress an open job would run its tasks again.
        for block in job.blocks() or [FIRST_BLOCK]:
            self.writer.put(progress_key(job.job_id, block), b'')
        return commit

    def withdraw(self, job: Job) -> bool:
        """Withdraw a job from the journal; False if it may be in the store."""
        if not self.writer.withdraw(job_key(job.job_id)):
            return False
        for block in job.blocks():
            self.writer.withdraw(progress_key(job.job_id, block))
        return True
