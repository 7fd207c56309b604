"""Metrics of the daemons, for Prometheus."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

if TYPE_CHECKING:
    from orchidrail.types import ClassName, Seconds, TenantId

#: Number of distinct label values; all further values share one label.
_MAX_LABEL_VALUES = 200
_OTHER = 'other'
_TENANT = 'tenant'
_QUEUE = 'queue'
_WAIT_BUCKETS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2,
    5,
    10,
    60,
)


class LabelLimiter:
    """Bounds the number of distinct values of a label.

    Examples
    --------
    >>> cap = LabelLimiter(1)
    >>> cap.label('a'), cap.label('b'), cap.label('a')
    ('a', 'other', 'a')
    """

    def __init__(self, max_values: int) -> None:
        """Allow `max_values` distinct values."""
        self._max_values = max_values
        self._labels: set[str] = set()

    def label(self, name: str) -> str:
        """Return the label for a value."""
        if name in self._labels:
            return name
        if len(self._labels) >= self._max_values:
            return _OTHER
        self._labels.add(name)
        return name


class GatewayMetrics:
    """Metrics of a gateway."""

    def __init__(self) -> None:
        """Register the metrics in a registry of their own."""
        self.registry = CollectorRegistry()
        self._tenant_labels = LabelLimiter(_MAX_LABEL_VALUES)
        self.waiting = Histogram(
            'orchidrail_waiting_seconds',
            'From arrival to the start at a worker.',
            (_TENANT, 'class_name'),
            buckets=_WAIT_BUCKETS,
            registry=self.registry,
        )
        self.running = Histogram(
            'orchidrail_running_seconds',
            'From the start at a worker to its answer.',
            (_TENANT, 'class_name'),
            buckets=_WAIT_BUCKETS,
            registry=self.registry,
        )
        self.replies = Counter(
            'orchidrail_replies',
            'Replies to callers by verdict.',
            (_TENANT, 'class_name', 'verdict'),
            registry=self.registry,
        )
        self.bundle_version = Gauge(
            'orchidrail_bundle_version',
            'Version in force.',
            registry=self.registry,
        )
        self.broken_invariants = Gauge(
            'orchidrail_broken_invariants',
            'Checks that failed, by invariant.',
            ('invariant',),
            registry=self.registry,
        )

    def observe_wait(
        self,
        tenant: TenantId,
        class_name: ClassName,
        seconds: Seconds,
    ) -> None:
        """Observe one waiting time."""
        label = self._tenant_labels.label(tenant)
        self.waiting.labels(label, class_name).observe(seconds)

    def observe_run(
        self,
        tenant: TenantId,
        class_name: ClassName,
        seconds: Seconds,
    ) -> None:
        """Observe one run time."""
        label = self._tenant_labels.label(tenant)
        self.running.labels(label, class_name).observe(seconds)

    def count_reply(
        self,
        tenant: TenantId,
        class_name: ClassName,
        verdict: str,
    ) -> None:
        """Count one reply."""
        label = self._tenant_labels.label(tenant)
        self.replies.labels(label, class_name, verdict).inc()


class SchedulerMetrics:
    """Metrics of a scheduler."""

    def __init__(self, zone: str) -> None:
        """Register the metrics in a registry of their own."""
        self.registry = CollectorRegistry()
        self._zone = zone
        self.decision = Histogram(
            'orchidrail_decision_seconds',
            'Time of one decision.',
            buckets=(1e-5, 5e-5, 1e-4, 5e-4, 1e-3, 5e-3, 1e-2, 0.1),
            registry=self.registry,
        )
        self.packing = self._gauge('packing', 'Dominant share in use, by zone.')
        self.queued = self._gauge('queued', 'Work that waits here.')
        self.held_workers = self._gauge('held_workers', 'Worker leases held.')
        self.bundle_version = self._gauge('bundle_version', 'Version in force.')
        self.log_connected = self._gauge('log_connected', 'Log reached: 1.')
        self.wire_bytes = Gauge(
            'orchidrail_wire_bytes',
            'Bytes sent and received, by message type.',
            ('message',),
            registry=self.registry,
        )
        self.broken_invariants = Gauge(
            'orchidrail_broken_invariants',
            'Checks that failed, by invariant.',
            ('invariant',),
            registry=self.registry,
        )

    def set_packing(self, share: float) -> None:
        """Set the fraction of this scheduler's workers in use, 0 to 1."""
        self.packing.labels(self._zone).set(share)

    def set_gauge(self, gauge: Gauge, number: float) -> None:
        """Set a gauge of this zone."""
        gauge.labels(self._zone).set(number)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(
            f'orchidrail_{name}',
            text,
            ('zone',),
            registry=self.registry,
        )


class PreemptionMetrics:
    """Metrics of the runs stopped for more urgent work."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics."""
        self.stopped_runs = Counter(
            'orchidrail_preempted_runs',
            'Runs stopped for more urgent work, by their queue.',
            (_QUEUE,),
            registry=registry,
        )
        self.lost_core_seconds = Counter(
            'orchidrail_preemption_lost_core_seconds',
            'Estimated core-seconds lost by stops for more urgent work, by '
            'the queue of the stopped runs.',
            (_QUEUE,),
            registry=registry,
        )


class EvacuationMetrics:
    """Metrics of the evacuation of zones."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics."""
        self.zones = Gauge(
            'orchidrail_evacuated_zones',
            'Zones on whose workers nothing is started.',
            registry=registry,
        )
        self.held_starts = Counter(
            'orchidrail_held_starts',
            'Placed starts that were not sent because of an evacuation.',
            registry=registry,
        )


class ListingMetrics:
    """Metrics of what workers list of their runs."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics."""
        self.runs_missing = Counter(
            'orchidrail_runs_not_listed',
            'Runs taken for gone since their worker listed no end of them.',
            registry=registry,
        )
        self.superseded = Counter(
            'orchidrail_superseded_listings',
            'Listings of workers that arrived after a newer one.',
            registry=registry,
        )
        self.incomplete = Counter(
            'orchidrail_incomplete_listings',
            'Listings of workers that left out ends for want of space.',
            registry=registry,
        )
        self.runs_not_stopped = Counter(
            'orchidrail_runs_not_stopped',
            'Runs that their worker kept although it answered several stop '
            'orders.',
            registry=registry,
        )


class StoreMetrics:
    """Metrics of the calls to the store."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics."""
        self.calls = Counter(
            'orchidrail_store_calls',
            'Calls to the store, by way (direct or relay) and status.',
            ('way', 'status'),
            registry=registry,
        )
        self.refused_values = Counter(
            'orchidrail_refused_values',
            'Values of the journal that the store will never accept.',
            registry=registry,
        )


class InstanceMetrics:
    """Metrics of the process of one instance."""

    def __init__(self) -> None:
        """Register the metrics in a registry of their own."""
        self.registry = CollectorRegistry()
        self._queue_labels = LabelLimiter(_MAX_LABEL_VALUES)
        self._tenant_labels = LabelLimiter(_MAX_LABEL_VALUES)
        self.preemption = PreemptionMetrics(self.registry)
        self.evacuation = EvacuationMetrics(self.registry)
        self.listings = ListingMetrics(self.registry)
        self.store = StoreMetrics(self.registry)
        self.submissions = self._counter(
            'submissions',
            'Submissions answered to callers, by queue and outcome.',
            _QUEUE,
            'outcome',
        )
        self.rejected_calls = self._counter(
            'calls_turned_away',
            'Calls that did not come in, by reason.',
            'reason',
        )
        self.worker_starts = self._counter(
            'worker_orders',
            'Starts ordered from workers, by result.',
            'result',
        )
        self.runs_ended = self._counter(
            'runs_ended',
            'Runs that ended, by queue and how.',
            _QUEUE,
            'ending',
        )
        self.rejected_entries = self._counter(
            'worker_entries_passed_over',
            'Entries that name no worker which could be used, by flaw; each '
            'is counted once while it has the same one.',
            'flaw',
        )
        self.task_crashes = self._counter(
            'task_crashes',
            'Runs under which a worker ended, by queue and what became of '
            'their task.',
            _QUEUE,
            'outcome',
        )
        self.workers_ended = self._counter(
            'workers_ended',
            'Lives of workers that ended, by how.',
            'how',
        )
        self.connections_dropped = self._counter(
            'connections_dropped',
            'Pools of connections dropped because one of them was silent, '
            'by whether that one was the own or another one.',
            'reason',
        )
        self.submission_seconds = self._histogram(
            'accepting_seconds',
            'From a submission to its answer, by queue.',
            _QUEUE,
        )
        self.first_start_seconds = self._histogram(
            'first_start_seconds',
            'From acceptance to the first placement, by tenant and queue.',
            _TENANT,
            _QUEUE,
        )
        self.task_wait_seconds = self._histogram(
            'task_waiting_seconds',
            'From the moment at which a task may start, the first time or '
            'again, to its placement, by tenant and queue.',
            _TENANT,
            _QUEUE,
        )
        self.advice_queue_seconds = self._histogram(
            'advice_line_seconds',
            'For how long questions for advice waited for a lane, by queue.',
            _QUEUE,
        )
        self.advice_call_seconds = self._histogram(
            'advice_call_seconds',
            'From the beginning of a call for advice to its answer, or until '
            'it was given up, by queue.',
            _QUEUE,
        )
        self.job_seconds = self._histogram(
            'job_seconds',
            'From acceptance to the end, by tenant, queue and final state.',
            _TENANT,
            _QUEUE,
            'phase',
        )
        self.takeover_seconds = self._histogram(
            'take_over_seconds',
            'From the decision to take the shard over to owning it.',
        )
        self.epoch = self._gauge(
            'owner_epoch', 'Epoch of the shard owned here.'
        )
        self.journal_unconfirmed = self._gauge(
            'journal_unconfirmed_seconds',
            'Age of the last proof that this process owns the shard.',
        )
        self.config_version = self._gauge(
            'config_version',
            'Version of the configuration in force.',
        )
        self.workers = self._gauge(
            'workers',
            'Workers of the shard owned here, by standing.',
            'standing',
        )
        self.tenant_running = self._gauge(
            'tenant_running',
            'What a tenant may have running, by tenant and resource.',
            _TENANT,
            'resource',
        )
        self.tenant_limit = self._gauge(
            'tenant_limit',
            'The most that a tenant may have running, 0 for no limit.',
            _TENANT,
            'resource',
        )
        self.tenant_waiting = self._gauge(
            'tenant_waiting_jobs',
            'Jobs of a tenant none of whose tasks has begun.',
            _TENANT,
        )
        self.longest_task_wait = self._gauge(
            'longest_task_wait_seconds',
            'Longest time for which a task whose turn has come waits now.',
            _QUEUE,
        )
        self.oldest_advice_request = self._gauge(
            'oldest_question_seconds',
            'Longest time for which a question for advice waits for a lane.',
        )
        self.waiting_tasks = self._gauge(
            'waiting_tasks',
            'Tasks of the shard owned here that could start now.',
        )

    def queue_label(self, name: str) -> str:
        """Return the label for a queue."""
        return self._queue_labels.label(name)

    def tenant_label(self, name: str) -> str:
        """Return the label for a tenant, empty for the anonymous tenant."""
        return self._tenant_labels.label(name)

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(
            f'orchidrail_{name}',
            text,
            labels,
            registry=self.registry,
        )

    def _histogram(self, name: str, text: str, *labels: str) -> Histogram:
        return Histogram(
            f'orchidrail_{name}',
            text,
            labels,
            buckets=_WAIT_BUCKETS,
            registry=self.registry,
        )

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f'orchidrail_{name}', text, labels, registry=self.registry)
