"""What admission control knows of its shard."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from orchidrail.admission.accuracy import ForecastAccuracy
from orchidrail.admission.forecast import TenantRoom
from orchidrail.admission.load_tracker import LoadSources
from orchidrail.metrics import InstanceMetrics
from orchidrail.types import QueueName, Seconds
from orchidrail.work.tenant import Tenant


class Standing(Protocol):
    """Which of a tenant's jobs go before those of others."""

    def time_until_within_share(self, tenant: Tenant) -> Seconds:
        """Return the seconds until a tenant's next job is within its share."""


class AdmissionSources(NamedTuple):
    """What admission control knows of its shard.

    Parameters
    ----------
    load : LoadSources
    accuracy : ForecastAccuracy
    standing : Standing
    current_tenant : callable
        Returns a tenant with the share and limit now in force.
    tenant_room : callable
        Returns what a tenant uses of its limit.
    permitted_share : callable
        Returns the share of the workers that advice permits for a queue.
    unconfirmed : callable
        Returns the seconds for which the journal has not confirmed a write.
    metrics : InstanceMetrics
    """

    load: LoadSources
    accuracy: ForecastAccuracy
    standing: Standing
    current_tenant: Callable[[Tenant], Tenant]
    tenant_room: Callable[[Tenant], TenantRoom]
    permitted_share: Callable[[QueueName], float]
    unconfirmed: Callable[[], Seconds]
    metrics: InstanceMetrics
