"""Admission control: decides which new jobs a shard rejects."""

from __future__ import annotations

from typing import NamedTuple

import structlog

from orchidrail.shard.open_task_count import (
    MAX_OPEN_TASKS,
    OpenTaskCount,
    count_tasks,
)
from orchidrail.shard.state import ShardState
from orchidrail.shard.stored_state import StoredState
from orchidrail.types import Seconds, TenantId, WorkCode
from orchidrail.work.model import JobSpec, QueueSettings, concurrent_size
from orchidrail.work.records import encode
from orchidrail.work.tenant import Tenant

_log = structlog.get_logger()
#: Share of a service's capacity that jobs over their tenant's fair share leave
#: free: other tenants need it for work to come, and running tasks are not
#: preempted for them. In simulations with one tenant at six times its usual
#: load this costs the other tenants nothing. A share of 0.1 costs them 0.011
#: and 0.014 of their value (means over eight days), and 0.033 on the worst
#: three days.
_MIN_FREE_SHARE = 0.2
#: Minimum interval between two log lines on a tenant's rejected jobs, which may
#: be hundreds.
_LOG_INTERVAL: Seconds = 1.0
#: Bytes of a job's record beside its specification: queue, tenant and times.
_RECORD_RESERVE = 4096


class Rejection(NamedTuple):
    """Why a job is rejected; no part of it will ever run.

    Parameters
    ----------
    code : WorkCode
    retry_after : float
        Seconds after which it may be accepted; 0 if waiting does not help.
    """

    code: WorkCode
    retry_after: Seconds = 0


def check_known_job(known: StoredState, tenant: Tenant) -> Rejection | None:
    """Reject a resubmitted job that belongs to another tenant."""
    if known.tenant and known.tenant != tenant.name:
        return Rejection(WorkCode.ID_CONFLICT)
    return None


class AdmissionControl:
    """Finds reasons to reject new jobs.

    Parameters
    ----------
    state : ShardState
    """

    def __init__(self, state: ShardState) -> None:
        """Use the limits and fair shares of `state`."""
        self._state = state
        self._task_count = OpenTaskCount(state)
        #: Per tenant: time of the last log line on rejected jobs, and how many
        #: were rejected since.
        self._rejected_by_tenant: dict[TenantId, tuple[Seconds, int]] = {}

    def find(
        self,
        queue: QueueSettings,
        spec: JobSpec,
        tenant: Tenant,
    ) -> Rejection | None:
        """Return why a job is rejected, None if it is accepted.

        A task or gang above its tenant's limit would wait forever, and a job
        too large for the journal or an owner's memory could not be kept, so
        their callers are told at once. A job that was accepted before the limit
        was lowered stays: the limit may be raised again. Work over its tenant's
        fair share is rejected if others may need the capacity.
        """
        current = self._state.ledger.current(tenant)
        if not (self._is_storable(spec) and self._fits(spec, current)):
            return Rejection(WorkCode.NEVER_FITS)
        if not self._task_count.reserve(spec):
            return Rejection(WorkCode.REJECTED)
        time_until_within_share = self._state.shares.time_until_within_share(
            current
        )
        if time_until_within_share and not self._has_spare_capacity(queue):
            self._log_rejected(current, time_until_within_share)
            return Rejection(WorkCode.OVER_SHARE, time_until_within_share)
        return None

    def _log_rejected(
        self, tenant: Tenant, time_until_within_share: Seconds
    ) -> None:
        """Log rejected jobs, at most once a second for each tenant."""
        now = self._state.clock()
        logged_at, unlogged = self._rejected_by_tenant.get(
            tenant.name, (-1.0, 0)
        )
        if now - logged_at < _LOG_INTERVAL:
            self._rejected_by_tenant[tenant.name] = logged_at, unlogged + 1
            return
        self._rejected_by_tenant[tenant.name] = now, 0
        _log.info(
            'jobs beyond their share refused',
            tenant=tenant.name,
            weight=tenant.weight,
            count=unlogged + 1,
            owed_in=round(time_until_within_share, 3),
        )

    def _is_storable(self, spec: JobSpec) -> bool:
        """Whether the journal and the memory of an owner can hold a job."""
        tasks = count_tasks(spec)
        size = len(encode(spec)) + _RECORD_RESERVE
        if (
            tasks <= MAX_OPEN_TASKS
            and size <= self._state.writer.limits.max_value_bytes
        ):
            return True
        _log.info(
            'job too large',
            tasks=tasks,
            maximum_tasks=MAX_OPEN_TASKS,
            size=size,
            maximum_size=self._state.writer.limits.max_value_bytes,
        )
        return False

    def _fits(self, spec: JobSpec, current: Tenant) -> bool:
        for number, step in enumerate(spec.steps):
            concurrent = concurrent_size(step)
            if not current.ever_fits(concurrent):
                _log.info(
                    'job never fits its tenant',
                    tenant=current.name,
                    step=number,
                    needs=concurrent,
                    maximum=current.maximum,
                )
                return False
        return True

    def _has_spare_capacity(self, queue: QueueSettings) -> bool:
        """Whether enough of a service's capacity is free."""
        free, total = 0, 0
        now = self._state.clock()
        for tracked in self._state.tracked_by_worker.values():
            if tracked.entry.service == queue.service and tracked.accepts_work(
                now
            ):
                free += tracked.free.millicores
                total += tracked.entry.capacity.millicores
        return free > total * _MIN_FREE_SHARE
