"""Refusals by an instance that does not ask the shard's owner.

Answers callers who would be held for an owner that is away or too busy to
answer, while their jobs could not be served anyway.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from orchidrail.admission.digest import find_gate, remaining_use
from orchidrail.admission.outages import (
    EARLY_SHARE,
    expected_remaining,
    worth_waiting,
)
from orchidrail.admission.refusal_log import RefusalLog
from orchidrail.admission.return_times import return_time
from orchidrail.metrics import InstanceMetrics
from orchidrail.peers.pinger import OWNER_PING_INTERVAL
from orchidrail.peers.table import PeerTable
from orchidrail.types import JobId, Seconds
from orchidrail.work.model import JobSpec, QueueSettings
from orchidrail.work.objectives import (
    USELESS_AFTER,
    critical_path_s,
    objective_s,
)
from orchidrail.work.tenant import Tenant

_log = structlog.get_logger()
#: Weight of one reply in the mean time of the owner's replies.
_REPLY_WEIGHT = 0.2
#: Interval at which a newer digest is looked for.
_LOOK_INTERVAL: Seconds = 0.02
#: Number of heartbeats waited for: a ping may just have been sent.
_MAX_HEARTBEATS = 2
#: Usual time from the loss of an owner until the next one accepts jobs.
_USUAL_TAKEOVER: Seconds = 1.0


class LoadRefusals:
    """Decides when to refuse a job without a reply of the owner.

    Parameters
    ----------
    table : PeerTable
    metrics : InstanceMetrics
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        table: PeerTable,
        metrics: InstanceMetrics,
        clock: Callable[[], Seconds],
    ) -> None:
        """Assume that the owner replies at once."""
        self._table = table
        self._metrics = metrics
        self._clock = clock
        self._reply_s: Seconds = 0
        self._refusals = RefusalLog()

    def note_reply(self, took: Seconds) -> None:
        """Record how long the owner took to reply to a submission."""
        self._reply_s += _REPLY_WEIGHT * (took - self._reply_s)

    async def find_by_digest(
        self,
        job_id: JobId,
        queue: QueueSettings,
        spec: JobSpec,
        tenant: Tenant,
        arrived_at: Seconds,
    ) -> int:
        """Return the seconds after which a refused caller should return.

        The refusal holds only if no earlier attempt of the caller can have
        been accepted: the digest has to be newer than the request. While the
        owner replies sooner than it would send the next digest, it is asked.

        Returns
        -------
        0 if the job is not refused.
        """
        wait = EARLY_SHARE * objective_s(spec, queue)
        heartbeat = OWNER_PING_INTERVAL + self._table.owner_ping_delay
        until = arrived_at + min(wait, _MAX_HEARTBEATS * heartbeat)
        while self._may_refuse(job_id, queue, spec):
            received = self._table.load_digest
            if received is not None and received.covers(
                arrived_at, self._table.claim.epoch
            ):
                return self._refuse(job_id, queue, spec, tenant)
            if self._reply_s <= heartbeat or self._clock() >= until:
                return 0
            await asyncio.sleep(_LOOK_INTERVAL)
        return 0

    def find_by_outage(
        self,
        job_id: JobId,
        queue: QueueSettings,
        spec: JobSpec,
        elapsed: Seconds,
        remaining: Seconds,
    ) -> int:
        """Return the seconds after which to return, 0 to hold the caller.

        A caller is refused early or held on: one who has waited longer is
        harmed by a refusal, and the owner may be back at any time.

        Parameters
        ----------
        elapsed, remaining : float
            Seconds for which the caller has waited, and will wait.
        """
        away_for = self._table.owner_silence()
        objective = objective_s(spec, queue)
        if elapsed > EARLY_SHARE * objective or not away_for:
            return 0
        useful = USELESS_AFTER * objective - critical_path_s(spec, queue)
        can_wait = min(remaining, useful - elapsed)
        if worth_waiting(away_for, can_wait, _USUAL_TAKEOVER):
            return 0
        label = self._metrics.queue_label(queue.name)
        self._metrics.admission.refusals.labels(label, 'owner').inc()
        clear_in = expected_remaining(away_for, _USUAL_TAKEOVER)
        return return_time(job_id, clear_in, 0, useful - elapsed)

    def _may_refuse(
        self, job_id: JobId, queue: QueueSettings, spec: JobSpec
    ) -> bool:
        """Whether the last digest of the owner in charge refuses the job."""
        received = self._table.load_digest
        if received is None or received.digest.epoch != self._table.claim.epoch:
            return False
        return find_gate(received.digest, job_id, queue, spec) is not None

    def _refuse(
        self, job_id: JobId, queue: QueueSettings, spec: JobSpec, tenant: Tenant
    ) -> int:
        received = self._table.load_digest
        assert received is not None
        gate = find_gate(received.digest, job_id, queue, spec)
        assert gate is not None
        useful = remaining_use(gate, queue, spec)
        retry_after = return_time(
            job_id, gate.start - useful, gate.returning_takes, useful
        )
        now = self._clock()
        self._metrics.admission.digest_age.observe(now - received.requested_at)
        label = self._metrics.queue_label(queue.name)
        self._metrics.admission.refusals.labels(label, 'digest').inc()
        count = self._refusals.count(tenant.name, queue.name, now)
        if count:
            _log.info(
                'job refused by digest',
                job=job_id,
                queue=queue.name,
                tenant=tenant.name,
                count=count,
                start=gate.start,
                useful_until=round(useful, 3),
                refusing_for=gate.for_s,
                digest_age=round(now - received.requested_at, 3),
                epoch=received.digest.epoch,
                retry_after=retry_after,
            )
        return retry_after
