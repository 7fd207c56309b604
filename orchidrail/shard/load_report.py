"""What an owner tells of its load: gauges, and a log line now and then."""

from __future__ import annotations

from collections import Counter

from orchidrail.shard.state import ShardState
from orchidrail.types import TenantId
from orchidrail.work.tenant import Tenant

_RESOURCES = ('millicores', 'megabytes', 'accelerators')


def gauge_workers(state: ShardState, waiting_tasks: int) -> None:
    """Set the gauges of workers and of what waits for them."""
    metrics = state.metrics
    now = state.clock()
    every = state.books_by_worker.values()
    open_count = sum(books.open(now) for books in every)
    metrics.workers.labels('open').set(open_count)
    metrics.workers.labels('closed').set(len(every) - open_count)
    metrics.waiting_tasks.set(waiting_tasks)
    metrics.unconfirmed.set(state.writer.unconfirmed_for())


def gauge_tenants(state: ShardState) -> None:
    """Set the gauges of what tenants run, may run, and wait for."""
    metrics = state.metrics
    tenant_by_name: dict[TenantId, Tenant] = {}
    waiting: Counter[TenantId] = Counter()
    for job in state.job_by_id.values():
        if job.tenant.name:
            tenant_by_name[job.tenant.name] = job.tenant
            waiting[job.tenant.name] += not job.begun
    for name, tenant in tenant_by_name.items():
        label = metrics.tenant(name)
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
