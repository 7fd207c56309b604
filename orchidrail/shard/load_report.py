"""What an owner tells of its load: gauges, and a log line now and then."""

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
_REPORT_EVERY: Seconds = 1.0
_MILLIS = 1000
_RESOURCES = ('millicores', 'megabytes', 'accelerators')


class LoadReport:
    """Tells of a shard's load now and then, for those who look back.

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
        """Start with nothing told."""
        self._state = state
        self._placer = placer
        self._dispatcher = dispatcher
        self._long_waits = LongWaitReporter(state)
        self._held_back_gangs = BlockedGangs(state)

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(_REPORT_EVERY)
            self._note_lost_workers()
            self.report()

    def report(self) -> None:
        """Tell of the load as it is now."""
        state = self._state
        now = state.clock()
        every = list(state.tracked_by_worker.values())
        work = self._placer.waiting_work()
        waiting_tasks = self._placer.waiting_tasks()
        update_worker_gauges(state, waiting_tasks)
        update_tenant_gauges(state)
        self._long_waits.report(work)
        oldest_advice_request = state.pending_advice.longest_queue_wait()
        state.metrics.oldest_advice_request.set(oldest_advice_request)
        free = sum(tracked.free.millicores for tracked in every)
        _log.info(
            'shard load',
            jobs=len(state.job_by_id),
            waiting_tasks=waiting_tasks,
            waiting_steps=len(work.steps),
            asking=sum(step.permits.calls_in_flight for step in work.steps),
            workers=len(every),
            open_workers=sum(tracked.accepts_work(now) for tracked in every),
            free_cores=free // _MILLIS,
            unconfirmed=round(state.writer.unconfirmed_for(), 3),
            oldest_question=round(oldest_advice_request, 3),
            **self._dispatcher.load(),
        )

    def _note_lost_workers(self) -> None:
        """Add up and tell, once a report, what waits for lost workers."""
        held_up = [
            job
            for job in self._state.job_by_id.values()
            if any(map(self._state.is_unreachable, job.placed_on()))
        ]
        for job in held_up:
            job.wait_times.add(WaitReason.LOST_WORKER, _REPORT_EVERY)
        self._held_back_gangs.report(held_up)


def update_worker_gauges(state: ShardState, waiting_tasks: int) -> None:
    """Set the gauges of workers and of what waits for them."""
    metrics = state.metrics
    now = state.clock()
    every = state.tracked_by_worker.values()
    open_count = sum(tracked.accepts_work(now) for tracked in every)
    metrics.workers.labels('open').set(open_count)
    metrics.workers.labels('closed').set(len(every) - open_count)
    metrics.waiting_tasks.set(waiting_tasks)
    metrics.journal_unconfirmed.set(state.writer.unconfirmed_for())


def update_tenant_gauges(state: ShardState) -> None:
    """Set the gauges of what tenants run, may run, and wait for."""
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
        most = state.ledger.current(tenant).maximum
        for resource, taken, limit in zip(
            _RESOURCES,
            used,
            most,
            strict=True,
        ):
            metrics.tenant_running.labels(label, resource).set(taken)
            metrics.tenant_limit.labels(label, resource).set(limit)
