"""Why a job is not taken, where that is known as it comes."""

from __future__ import annotations

from typing import NamedTuple

import structlog

from orchidrail.shard.state import ShardState
from orchidrail.shard.stored_state import StoredState
from orchidrail.types import Seconds, TenantId, WorkCode
from orchidrail.work.model import JobSpec, QueueSettings, concurrent_size
from orchidrail.work.tenant import Tenant

_log = structlog.get_logger()
#: Part of a service's room that stays free of what is beyond its tenant's
#: share: work of others that comes next needs it, and a task that runs is not
#: stopped for them. On modelled days of a tenant at six times its usual this
#: costs the others nothing; a tenth costs them 0.011 and 0.014 of their worth
#: (means of eight days), and 0.033 on the worst three.
_SPARED = 0.2
#: Least time between two lines on a tenant's refusals, which may be hundreds.
_TELL_EVERY: Seconds = 1.0


class Rejection(NamedTuple):
    """Why a job is refused; nothing of it will ever run.

    Parameters
    ----------
    code : WorkCode
    retry_after : float
        Seconds after which it may be taken; 0 if no time helps.
    """

    code: WorkCode
    retry_after: Seconds = 0


def check_known_job(known: StoredState, tenant: Tenant) -> Rejection | None:
    """Return why a job that comes again is refused: it is another tenant's."""
    if known.tenant and known.tenant != tenant.name:
        return Rejection(WorkCode.ID_CONFLICT)
    return None


class AdmissionControl:
    """Looks for reasons to refuse new jobs.

    Parameters
    ----------
    state : ShardState
    """

    def __init__(self, state: ShardState) -> None:
        """Go by the limits in force."""
        self._state = state
        #: When the refusals of each tenant were told last, and how many since.
        self._refused_by_tenant: dict[TenantId, tuple[Seconds, int]] = {}

    def find(
        self,
        queue: QueueSettings,
        spec: JobSpec,
        tenant: Tenant,
    ) -> Rejection | None:
        """Return why a job can't be taken, if there is a reason.

        A task, or a gang, above its tenant's limit would wait for ever; its
        caller is told at once. One that was accepted before the limit fell
        below it stays: the limit may rise again. What is beyond its tenant's
        share is refused where others may need the room.
        """
        current = self._state.ledger.current(tenant)
        if not self._fits(spec, current):
            return Rejection(WorkCode.NEVER_FITS)
        time_until_within_share = self._state.shares.time_until_within_share(
            current
        )
        if time_until_within_share and not self._room_to_spare(queue):
            self._tell_refused(current, time_until_within_share)
            return Rejection(WorkCode.OVER_SHARE, time_until_within_share)
        return None

    def _tell_refused(
        self, tenant: Tenant, time_until_within_share: Seconds
    ) -> None:
        """Tell of refusals, at most each second for each tenant."""
        now = self._state.clock()
        told_at, untold = self._refused_by_tenant.get(tenant.name, (-1.0, 0))
        if now - told_at < _TELL_EVERY:
            self._refused_by_tenant[tenant.name] = told_at, untold + 1
            return
        self._refused_by_tenant[tenant.name] = now, 0
        _log.info(
            'jobs beyond their share refused',
            tenant=tenant.name,
            weight=tenant.weight,
            count=untold + 1,
            owed_in=round(time_until_within_share, 3),
        )

    def _fits(self, spec: JobSpec, current: Tenant) -> bool:
        for number, step in enumerate(spec.steps):
            at_once = concurrent_size(step)
            if not current.ever_fits(at_once):
                _log.info(
                    'job never fits its tenant',
                    tenant=current.name,
                    step=number,
                    needs=at_once,
                    maximum=current.maximum,
                )
                return False
        return True

    def _room_to_spare(self, queue: QueueSettings) -> bool:
        """Whether enough of a service's room is free."""
        free, whole = 0, 0
        now = self._state.clock()
        for tracked in self._state.tracked_by_worker.values():
            if tracked.entry.service == queue.service and tracked.accepts_work(
                now
            ):
                free += tracked.free.millicores
                whole += tracked.entry.capacity.millicores
        return free > whole * _SPARED
