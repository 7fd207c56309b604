"""Periodic report of an owner's load: gauges and a log line."""

from __future__ import annotations

import asyncio
from collections import Counter

import structlog

from orchidrail.shard.advice_dispatcher import AdviceDispatcher
from orchidrail.shard.blocked_gangs import BlockedGangs
from orchidrail.shard.long_waits import LongWaitReporter
from orchidrail.shard.placer import Placer
from orchidrail.shard.state import ShardState
from orchidrail.types import Seconds, TenantId
from orchidrail.work.tenant import Tenant
from orchidrail.work.wait_times import WaitReason

_log = structlog.get_logger()
_REPORT_INTERVAL: Seconds = 1.0
_MILLIS = 1000
_RESOURCES = ('millicores', 'megabytes', 'accelerators')


class LoadReport:
    """Reports a shard's load periodically, for later analysis.

    Parameters
    ----------
    state : ShardState
    placer : Placer
    dispatcher : AdviceDispatcher
    """

    def __init__(
        self,
        state: ShardState,
        placer: Placer,
        dispatcher: AdviceDispatcher,
    ) -> None:
        """Create a report that has logged nothing yet."""
        self._state = state
        self._placer = placer
        self._dispatcher = dispatcher
        self._long_waits = LongWaitReporter(state)
        self._blocked_gangs = BlockedGangs(state)

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(_REPORT_INTERVAL)
            self._record_lost_workers()
            self.report()

    def report(self) -> None:
        """Log the current load."""
        state = self._state
        now = state.clock()
        tracked_workers = list(state.tracked_by_worker.values())
        work = self._placer.waiting_work()
        waiting_tasks = self._placer.waiting_tasks()
        update_worker_gauges(state, waiting_tasks)
        update_tenant_gauges(state)
        self._long_waits.report(work)
        oldest_advice_request = state.pending_advice.longest_queue_wait()
        state.metrics.oldest_advice_request.set(oldest_advice_request)
        free = sum(tracked.free.millicores for tracked in tracked_workers)
        _log.info(
            'shard load',
            jobs=len(state.job_by_id),
            waiting_tasks=waiting_tasks,
            waiting_steps=len(work.steps),
            asking=sum(step.permits.calls_in_flight for step in work.steps),
            workers=len(tracked_workers),
            open_workers=sum(
                tracked.accepts_work(now) for tracked in tracked_workers
            ),
            free_cores=free // _MILLIS,
            unconfirmed=round(state.writer.time_since_confirmed(), 3),
            oldest_question=round(oldest_advice_request, 3),
            **self._dispatcher.load(),
        )

    def _record_lost_workers(self) -> None:
        """Record jobs on unreachable workers, and log blocked gangs.

        Called once per report, so each call adds one interval to their waits.
        """
        blocked = [
            job
            for job in self._state.job_by_id.values()
            if any(map(self._state.is_unreachable, job.placed_on()))
        ]
        for job in blocked:
            job.wait_times.add(WaitReason.LOST_WORKER, _REPORT_INTERVAL)
        self._blocked_gangs.report(blocked)


def update_worker_gauges(state: ShardState, waiting_tasks: int) -> None:
    """Set the gauges of workers and of tasks that wait for them."""
    metrics = state.metrics
    now = state.clock()
    tracked_workers = state.tracked_by_worker.values()
    open_count = sum(tracked.accepts_work(now) for tracked in tracked_workers)
    metrics.workers.labels('open').set(open_count)
    metrics.workers.labels('closed').set(len(tracked_workers) - open_count)
    metrics.waiting_tasks.set(waiting_tasks)
    metrics.journal_unconfirmed.set(state.writer.time_since_confirmed())


def update_tenant_gauges(state: ShardState) -> None:
    """Set the gauges of each tenant's running work, limits and queue."""
    metrics = state.metrics
    tenant_by_name: dict[TenantId, Tenant] = {}
    waiting: Counter[TenantId] = Counter()
    for job in state.job_by_id.values():
        if job.tenant.name:
            tenant_by_name[job.tenant.name] = job.tenant
            waiting[job.tenant.name] += not job.started
    for name, tenant in tenant_by_name.items():
        label = metrics.tenant_label(name)
        metrics.tenant_waiting.labels(label).set(waiting[name])
        used = state.ledger.used(name)
        limits = state.ledger.current(tenant).maximum
        for resource, amount, limit in zip(
            _RESOURCES,
            used,
            limits,
            strict=True,
        ):
            metrics.tenant_running.labels(label, resource).set(amount)
            metrics.tenant_limit.labels(label, resource).set(limit)
