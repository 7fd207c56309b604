"""What admission control learns from a shard."""

from __future__ import annotations

from orchidrail.admission import AdmissionSources, LoadSources, TenantRoom
from orchidrail.shard.placer import Placer
from orchidrail.shard.state import ShardState
from orchidrail.work.tenant import Tenant


def admission_sources(state: ShardState, placer: Placer) -> AdmissionSources:
    """Return the sources of a shard's admission control."""

    def tenant_room(tenant: Tenant) -> TenantRoom:
        return TenantRoom(
            state.ledger.used(tenant.name).millicores,
            state.ledger.current(tenant).maximum.millicores,
        )

    return AdmissionSources(
        LoadSources(
            state.tracked_by_worker.values,
            placer.waiting_steps,
            placer.reserved_for_urgent,
            state.clock,
            state.wall_clock,
            state.durations,
        ),
        state.accuracy,
        state.shares,
        state.ledger.current,
        tenant_room,
        placer.permitted_share,
        state.writer.time_since_confirmed,
        state.metrics,
    )
