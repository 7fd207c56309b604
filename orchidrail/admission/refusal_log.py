"""Log lines on refused jobs, which may be hundreds a second."""

from __future__ import annotations

import math
from typing import NamedTuple

import structlog

from orchidrail.admission.forecast import Forecast
from orchidrail.types import JobId, QueueName, Seconds, TenantId
from orchidrail.work.model import QueueSettings
from orchidrail.work.tenant import Tenant

_log = structlog.get_logger()
#: Minimum interval between two lines on the same tenant and queue.
_INTERVAL: Seconds = 1.0
_MILLIS = 1000


class _Counted(NamedTuple):
    logged_at: Seconds
    unlogged: int


_NOT_COUNTED = _Counted(-math.inf, 0)


class RefusalLog:
    """Counts refusals by tenant and queue, and logs them from time to time."""

    def __init__(self) -> None:
        """Start without refusals."""
        self._counted_by_origin: dict[tuple[TenantId, str], _Counted] = {}

    def count(
        self, tenant: TenantId, queue: QueueName | str, now: Seconds
    ) -> int:
        """Count a refusal; return how many to log now, 0 for none."""
        origin = tenant, queue
        counted = self._counted_by_origin.get(origin, _NOT_COUNTED)
        if now - counted.logged_at < _INTERVAL:
            self._counted_by_origin[origin] = counted._replace(
                unlogged=counted.unlogged + 1
            )
            return 0
        self._counted_by_origin[origin] = _Counted(now, 0)
        return 1 + counted.unlogged

    def log(
        self,
        now: Seconds,
        job_id: JobId,
        queue: QueueSettings,
        tenant: Tenant,
        forecast: Forecast,
        reason: str,
        retry_after: Seconds,
    ) -> None:
        """Log a job refused by forecast, if none was lately."""
        count = self.count(tenant.name, queue.name, now)
        if not count:
            return
        _log.info(
            'job refused by forecast',
            job=job_id,
            queue=queue.name,
            tenant=tenant.name,
            reason=reason,
            count=count,
            size=forecast.size_class.name.lower(),
            start=round(forecast.start.expected, 3),
            earliest=round(forecast.start.earliest, 3),
            end=round(forecast.end, 3),
            objective=round(forecast.objective, 3),
            useful_until=round(forecast.latest_useful_start, 3),
            ahead_cores=round(forecast.ahead.millicores / _MILLIS),
            ahead_core_seconds=round(forecast.ahead.core_time / _MILLIS),
            retry_after=retry_after,
        )
