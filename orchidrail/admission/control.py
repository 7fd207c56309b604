"""Admission control: decides which new jobs a shard rejects."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

import structlog

from orchidrail.admission.digest import RefusingGate, encode_digest
from orchidrail.admission.durations import RatioRange
from orchidrail.admission.forecast import (
    Forecast,
    JobNeed,
    applies_to,
    assess,
    correct_start,
    forecast_limit_wait,
    forecast_start,
    job_need,
    rank_class,
)
from orchidrail.admission.load_tracker import (
    LoadTracker,
    waiting_row,
)
from orchidrail.admission.outages import expected_remaining, worth_waiting
from orchidrail.admission.policy import AdmissionPolicy, Gate, GateKey
from orchidrail.admission.recent_jobs import RecentJobs
from orchidrail.admission.refusal_log import RefusalLog
from orchidrail.admission.rejections import Rejection
from orchidrail.admission.return_times import return_time
from orchidrail.admission.service_load import RankClass, ServiceLoad
from orchidrail.admission.sources import AdmissionSources
from orchidrail.types import (
    Epoch,
    JobId,
    QueueName,
    Seconds,
    ServiceName,
    WorkCode,
)
from orchidrail.work.model import JobSpec, QueueSettings, concurrent_size
from orchidrail.work.tenant import Tenant

_log = structlog.get_logger()
#: Share of a service's capacity that jobs over their tenant's fair share leave
#: free: other tenants need it for work to come, and running tasks are not
#: preempted for them. In simulations with one tenant at six times its usual
#: load this costs the other tenants nothing. A share of 0.1 costs them 0.011
#: and 0.014 of their value (means over eight days), and 0.033 on the worst
#: three days.
_MIN_FREE_SHARE = 0.2
#: Time without a confirmation after which the journal counts as away. It
#: usually confirms within 8 ms, within 0.3 s when it is slow.
_JOURNAL_AWAY_AFTER: Seconds = 0.7
#: Age at which a digest is composed again; it is asked for by each heartbeat.
_DIGEST_INTERVAL: Seconds = 0.1
#: Number of refused jobs whose first refusal is remembered.
_MAX_REFUSED = 4096


class _NewJob(NamedTuple):
    """A job that may be rejected."""

    job_id: JobId
    queue: QueueSettings
    spec: JobSpec
    tenant: Tenant
    over_share: bool

    def gate_key(self, forecast: Forecast) -> GateKey:
        """Return the jobs together with which it is judged."""
        rank = rank_class(self.queue, self.over_share)
        return GateKey(self.queue.name, forecast.size_class, rank)


class AdmissionControl:
    """Finds reasons to reject new jobs.

    Parameters
    ----------
    sources : AdmissionSources
    """

    def __init__(self, sources: AdmissionSources) -> None:
        """Start without refusals."""
        self._sources = sources
        self._clock = sources.load.clock
        self._tracker = LoadTracker(sources.load)
        self._policy = AdmissionPolicy()
        self._known_jobs = RecentJobs()
        self._refusals = RefusalLog()
        #: When the callers of refused jobs were refused first.
        self._refused_at_by_job: OrderedDict[JobId, Seconds] = OrderedDict()
        self._queue_by_name: dict[QueueName, QueueSettings] = {}
        #: Gates of the last digest, and when they were described.
        self._gates: tuple[Seconds, list[RefusingGate]] = -math.inf, []

    def find(
        self,
        job_id: JobId,
        queue: QueueSettings,
        spec: JobSpec,
        tenant: Tenant,
        patience: Seconds = math.inf,
    ) -> Rejection | None:
        """Return why a job is rejected, None if it is accepted.

        A task or gang above its tenant's limit would wait forever, so its
        caller is told at once. One that was accepted before the limit was
        lowered stays: the limit may be raised again. Work over its tenant's
        fair share is rejected if others may need the capacity. Work that can't
        be of use to its caller by the forecast is rejected.

        Parameters
        ----------
        patience : float
            Seconds for which the caller waits for the acceptance.
        """
        current = self._sources.current_tenant(tenant)
        if not self._fits(spec, current):
            return Rejection(WorkCode.NEVER_FITS)
        standing = self._sources.standing
        time_until_within_share = standing.time_until_within_share(current)
        if time_until_within_share and not self._has_spare_capacity(queue):
            self._log_over_share(current, time_until_within_share)
            return Rejection(WorkCode.OVER_SHARE, time_until_within_share)
        if not applies_to(spec):
            return None
        over_share = time_until_within_share > 0
        return self._find_by_forecast(
            _NewJob(job_id, queue, spec, tenant, over_share), patience
        )

    def note_accepted(
        self,
        job_id: JobId,
        queue: QueueSettings,
        spec: JobSpec,
        over_share: bool,
    ) -> None:
        """Count a job that goes to the journal."""
        now = self._clock()
        self._known_jobs.add(job_id, now)
        self._refused_at_by_job.pop(job_id, None)
        if not applies_to(spec):
            return
        load = self._tracker.load_of(queue.service)
        need = self._need(queue, spec, load, over_share)
        start: Seconds = 0
        if load.pressed:
            ahead = load.ahead_of(need.rank, need.latest_start, need.size_class)
            start = forecast_start(need, load, ahead)
        self._sources.accuracy.expect(job_id, queue.name, start, now)
        for step in spec.steps:
            if not step.after:
                ratio = self._ratios(queue, step.estimate).median
                row = waiting_row(
                    need.rank, need.latest_start, step, step.count, ratio
                )
                load.add_accepted(row)

    def note_known(self, job_id: JobId) -> None:
        """Note a job that a previous owner accepted."""
        self._known_jobs.add(job_id, self._clock())

    def digest(self, epoch: Epoch) -> bytes:
        """Return the digest for the other instances; see `digest`.

        The filter of known jobs is never older than the call.
        """
        now = self._clock()
        described_at, gates = self._gates
        if now - described_at >= _DIGEST_INTERVAL:
            gates = [
                self._describe(key, gate, now)
                for key, gate in self._policy.refusing(now).items()
                if key.rank is not RankClass.OVER_SHARE
            ]
            self._gates = now, gates
        known = self._known_jobs.to_bytes(now) if gates else b''
        return encode_digest(epoch, gates, known)

    def _find_by_forecast(
        self, job: _NewJob, patience: Seconds
    ) -> Rejection | None:
        load = self._tracker.load_of(job.queue.service)
        unconfirmed = self._sources.unconfirmed()
        journal_away = unconfirmed > _JOURNAL_AWAY_AFTER
        if not load.pressed and not journal_away:
            return None
        if journal_away:
            self._sources.accuracy.discard_open()
        now = self._clock()
        forecast = self._forecast(job, load)
        elapsed = now - self._refused_at_by_job.get(job.job_id, now)
        useful = forecast.latest_useful_start - elapsed
        possible = forecast.latest_possible_start - elapsed
        if journal_away and not worth_waiting(
            unconfirmed, min(patience, possible)
        ):
            back_in = return_time(
                job.job_id, expected_remaining(unconfirmed), 0, useful
            )
            return self._reject(job, forecast, 'journal', back_in)
        if load.pressed and self._gate_refuses(job, forecast, elapsed):
            takes = self._refused_takes(job.gate_key(forecast), load)
            clear_in = forecast.start.expected - useful
            back_in = return_time(job.job_id, clear_in, takes, useful)
            return self._reject(job, forecast, 'forecast', back_in)
        return None

    def _gate_refuses(
        self, job: _NewJob, forecast: Forecast, elapsed: Seconds
    ) -> bool:
        return self._policy.refuses(
            job.gate_key(forecast),
            forecast,
            self._clock(),
            elapsed,
            _core_time(job.spec),
        )

    def _refused_takes(self, key: GateKey, load: ServiceLoad) -> Seconds:
        """Return how long a service needs for the work that was refused."""
        gate = self._policy.gate_by_key[key]
        return gate.refused_core_time / max(1, load.capacity)

    def _reject(
        self, job: _NewJob, forecast: Forecast, reason: str, back_in: int
    ) -> Rejection:
        now = self._clock()
        queue = job.queue
        self._queue_by_name[queue.name] = queue
        self._refused_at_by_job.setdefault(job.job_id, now)
        if len(self._refused_at_by_job) > _MAX_REFUSED:
            self._refused_at_by_job.popitem(last=False)
        metrics = self._sources.metrics
        label = metrics.queue_label(queue.name)
        metrics.admission.refusals.labels(label, reason).inc()
        self._refusals.log(
            now, job.job_id, queue, job.tenant, forecast, reason, back_in
        )
        return Rejection(WorkCode.REJECTED, back_in)

    def _forecast(self, job: _NewJob, load: ServiceLoad) -> Forecast:
        queue = job.queue
        need = self._need(queue, job.spec, load, job.over_share)
        room = self._sources.tenant_room(job.tenant)
        return assess(
            job.spec,
            queue,
            load,
            need,
            self._ratios(queue, max(step.estimate for step in job.spec.steps)),
            self._sources.accuracy.correction(queue.name, self._clock()),
            self._permitted_share(queue),
            forecast_limit_wait(job.tenant.name, need, load, room),
        )

    def _need(
        self,
        queue: QueueSettings,
        spec: JobSpec,
        load: ServiceLoad,
        over_share: bool,
    ) -> JobNeed:
        return job_need(
            spec,
            queue,
            load,
            self._sources.load.wall_clock(),
            self._permitted_share(queue),
            over_share,
        )

    def _ratios(self, queue: QueueSettings, estimate: Seconds) -> RatioRange:
        return self._sources.load.durations.of(queue.name, estimate)

    def _permitted_share(self, queue: QueueSettings) -> float:
        if queue.advice is None:
            return 1
        return self._sources.permitted_share(queue.name)

    def _describe(self, key: GateKey, gate: Gate, now: Seconds) -> RefusingGate:
        """Describe a gate by the first job that it might accept."""
        queue = self._queue_by_name[key.queue]
        load = self._tracker.load_of(queue.service)
        wall = self._sources.load.wall_clock()
        need = JobNeed(key.rank, wall, 0, 0, 0, key.size_class)
        ahead = load.ahead_of(key.rank, wall, key.size_class)
        correction = self._sources.accuracy.correction(key.queue, now)
        start = correct_start(
            forecast_start(need, load, ahead), correction
        ).earliest
        return RefusingGate(
            key.queue,
            int(key.size_class),
            round(now - gate.since, 2),
            round(start, 2),
            round(self._refused_takes(key, load), 2),
            round(self._sources.load.durations.longest(key.queue), 2),
            load.capacity,
        )

    def _log_over_share(
        self, tenant: Tenant, time_until_within_share: Seconds
    ) -> None:
        """Log rejected jobs, at most once a second for each tenant."""
        count = self._refusals.count(tenant.name, '', self._clock())
        if count:
            _log.info(
                'jobs beyond their share refused',
                tenant=tenant.name,
                weight=tenant.weight,
                count=count,
                owed_in=round(time_until_within_share, 3),
            )

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
        free, total = self._free_and_total(queue.service)
        return free > total * _MIN_FREE_SHARE

    def _free_and_total(self, service: ServiceName) -> tuple[int, int]:
        free, total = 0, 0
        now = self._clock()
        for worker in self._sources.load.workers():
            if worker.entry.service == service and worker.accepts_work(now):
                free += worker.free.millicores
                total += worker.entry.capacity.millicores
        return free, total


def _core_time(spec: JobSpec) -> float:
    """Return the estimated millicore-seconds of a job."""
    return sum(
        step.count * step.charged.millicores * step.estimate
        for step in spec.steps
    )
