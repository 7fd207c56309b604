"""Free capacity, allocated runs and availability of each worker."""

from __future__ import annotations

import math
from collections import Counter
from enum import Enum

import msgspec

from orchidrail.clocks import elapsed
from orchidrail.evacuation import ZoneGate, cold_slots
from orchidrail.shard.tenant_ledger import (
    QuotaUsage,
    TenantLedger,
    quota_usage_of,
)
from orchidrail.shard.worker_speed import SpeedClass
from orchidrail.types import Seconds, WorkerId, ZoneId
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size
from orchidrail.work.step import Task
from orchidrail.workers.port import RunKey, WorkerEntry, WorkerState
from orchidrail.workers.session import WorkerSession

#: Duration of the quarantine after a refused or failed order.
_ORDER_FAILURE_QUARANTINE: Seconds = 1.5
#: Minimum time without progress after which a run counts as stalled. Resuming
#: from a checkpoint takes up to 0.6 s, and a listing arrives at least every
#: 1.2 s.
_STALLED_AFTER: Seconds = 1.5
#: Progress, in percent, that a run should make within that time. Progress may
#: be reported in whole percents, and a task's speed and estimate are
#: approximate.
_STALLED_PROGRESS = 3
_PERCENT = 100


#: Time after its start during which a run is a possible cause of its worker's
#: crash: a hundred times the delay observed in practice. A longer window
#: attributes crashes to runs that merely started shortly before, and prolongs
#: isolated retries.
STARTUP_CRASH_WINDOW: Seconds = 1.0


class QosClass(Enum):
    """Quality-of-service class of a task, which decides colocation."""

    PLAIN = 'plain'
    #: Uses processor time that others leave, and slows down latency-sensitive
    #: tasks.
    BEST_EFFORT = 'fills'
    #: Serves requests of its own users; its response times have a target.
    LATENCY_SENSITIVE = 'serves'


#: Progress, in percent, from which a gang member may wait for the others to
#: end.
_NEARLY_DONE = 99
#: Classes that are separated where possible: a best-effort task slows down a
#: latency-sensitive one by an amount that changes within seconds.
_SEPARATED_FROM = {
    QosClass.BEST_EFFORT: QosClass.LATENCY_SENSITIVE,
    QosClass.LATENCY_SENSITIVE: QosClass.BEST_EFFORT,
}


def qos_class_of(spec: StepSpec) -> QosClass:
    """Return the QoS class of a step's tasks.

    Examples
    --------
    >>> qos_class_of(StepSpec(1, best_effort=True))
    <QosClass.BEST_EFFORT: 'fills'>
    """
    if spec.best_effort:
        return QosClass.BEST_EFFORT
    return QosClass.LATENCY_SENSITIVE if spec.target else QosClass.PLAIN


class PlacedRun(msgspec.Struct):
    """A run that is allocated on a worker until it has certainly ended.

    Parameters
    ----------
    confirmed_at : float
        When the worker acknowledged the start; infinite before that.
    start_deadline : float
        Time on the worker's clock after which an unacknowledged start can't be
        executed any more; infinite while the order is in flight.
    """

    key: RunKey
    #: None for an inherited run whose job has ended. Its size is unknown, so
    #: the worker gets no work while the run is there.
    size: Size | None
    task: Task | None
    placed_at: Seconds
    confirmed_at: Seconds = math.inf
    start_deadline: Seconds = math.inf
    stopping: bool = False
    #: Whether the worker has confirmed a stop order.
    stop_confirmed: bool = False
    #: Whether the start order was sent, or the run was found on the worker;
    #: otherwise the worker does not know of it.
    ordered: bool = False
    #: Whether a previous owner started it, at an unknown time.
    inherited: bool = False
    #: Whether the task is suspected and retried in isolation.
    isolated: bool = False
    #: Since when the task had waited when the run was placed; None if unknown.
    waited_since: Seconds | None = None
    share_done: float = 0
    #: When `share_done` last changed; 0 before the first listing shows the run.
    progress_at: Seconds = 0
    #: Usage of its tenant's limit, where there is no task to derive it from.
    left: QuotaUsage | None = None
    #: Whether the run has been counted as a success of its worker: its task is
    #: long-running and has been at work for long enough.
    counted_as_success: bool = False
    #: Since when its response times exceed their target; infinite if they
    #: don't.
    late_since: Seconds = math.inf

    @property
    def quota_usage(self) -> QuotaUsage | None:
        """Usage of its tenant's limit, None if unknown."""
        return self.left if self.task is None else quota_usage_of(self.task)

    @property
    def is_unconfirmed(self) -> bool:
        """Whether its start was sent and its outcome is unknown."""
        return self.ordered and self.confirmed_at == math.inf

    def stalled(self, now: Seconds) -> bool:
        """Whether the run should have made progress but has not.

        Gang members wait for the last one, and long-running tasks stay at
        100 %.
        """
        if self.task is None or self.stopping or not self.progress_at:
            return False
        spec = self.task.step.spec
        if spec.lasting or (spec.gang and self._waits_for_gang()):
            return False
        expected = _STALLED_PROGRESS * self._seconds_per_percent(spec.estimate)
        return now - self.progress_at > max(_STALLED_AFTER, expected)

    def _seconds_per_percent(self, estimate: Seconds) -> Seconds:
        """Return the seconds that one percent takes, by speed and estimate."""
        measured: Seconds = 0
        if self.share_done and self.confirmed_at < self.progress_at:
            measured = (self.progress_at - self.confirmed_at) / self.share_done
        return max(measured, estimate / _PERCENT)

    def _waits_for_gang(self) -> bool:
        """Whether other members may not have started or ended yet."""
        return not self.share_done or self.share_done >= _NEARLY_DONE


def note_progress(run: PlacedRun, share_done: float, now: Seconds) -> None:
    """Record the progress of a run."""
    if share_done != run.share_done or not run.progress_at:
        run.share_done = share_done
        run.progress_at = now


def note_latency(run: PlacedRun, tail: Seconds, now: Seconds) -> None:
    """Record the tail latency of a run, in seconds, if it has a target."""
    target = run.task.step.spec.target if run.task else 0
    if not target or tail <= target:
        run.late_since = math.inf
    else:
        run.late_since = min(run.late_since, now)


def _urgent_millicores(run: PlacedRun) -> int:
    """Return the millicores that a run uses for an urgent queue."""
    if run.task is None or run.size is None:
        return 0
    return run.size.millicores if run.task.step.job.urgent else 0


class TrackedWorker:
    """Capacity, runs and availability of one worker.

    Parameters
    ----------
    session : WorkerSession
    ledger : TenantLedger, optional
        Counts the usage of each tenant on this worker.
    zone_gate : ZoneGate, optional
        Keeps new work out of evacuated zones.
    """

    def __init__(
        self,
        session: WorkerSession,
        ledger: TenantLedger | None = None,
        zone_gate: ZoneGate | None = None,
    ) -> None:
        """Start with the whole capacity free."""
        self.session = session
        self._ledger = ledger or TenantLedger()
        self._zone_gate = zone_gate or ZoneGate(elapsed)
        self.entry: WorkerEntry = session.entry
        self.worker: WorkerId = session.entry.worker
        self.free: Size = session.entry.capacity
        self.run_by_key: dict[RunKey, PlacedRun] = {}
        self.held_by_step: dict[str, Size] = {}
        self.count_by_step: Counter[str] = Counter()
        #: Number of tasks of each QoS class.
        self.count_by_qos_class: Counter[QosClass] = Counter()
        #: Millicores used by tasks of urgent queues.
        self.urgent_millicores = 0
        self.quarantined_until: Seconds = 0
        #: Whether a run on this worker makes no progress.
        self.stalled = False
        #: When a worker at this address last crashed.
        self.crashed_at: Seconds = -math.inf
        #: Isolated retries that are still within their startup window.
        self.isolated_runs: set[RunKey] = set()
        self._unsized_runs = 0
        self.speed_class = SpeedClass.TYPICAL
        #: No best-effort task is colocated with latency-sensitive ones until
        #: then.
        self.best_effort_barred_until: Seconds = 0
        #: False while the worker has no usable entry: it has left, or is about
        #: to leave without having announced it.
        self.listed = True
        #: Since when the store has no entry of the worker; None if it has one.
        self.entry_missing_since: Seconds | None = None
        #: Whether the entry was removed; an entry that expired, or that this
        #: owner never saw being written, is not known to be.
        self.entry_removed = False

    def left_voluntarily(self) -> bool:
        """Whether the worker announced, or showed, that it leaves.

        A worker that leaves without an announcement removes its entry and keeps
        running for seconds; the entry of a crashed worker disappears seconds
        after the crash. An entry that is missing for another reason shows
        nothing.
        """
        if self.entry.state is WorkerState.DRAINING:
            return True
        lost_at = self.session.lost_at
        if self.entry_missing_since is None or not self.entry_removed:
            return False
        return lost_at is None or self.entry_missing_since < lost_at

    def accepts_work(self, now: Seconds) -> bool:
        """Whether the worker may be given new work."""
        return now >= self.quarantined_until and self.available

    @property
    def available(self) -> bool:
        """Whether the worker could take new work but for a quarantine."""
        session = self.session
        responsive = session.reachable and not session.terminated
        if not responsive or not self.listed:
            return False
        occupied = self._unsized_runs or self.isolated_runs
        if occupied or self.stalled or self.evacuated:
            return False
        return self.entry.state is WorkerState.READY

    @property
    def shows_runs(self) -> bool:
        """Whether the worker responds and, as far as known, runs tasks."""
        return self.session.reachable and bool(self.run_by_key)

    @property
    def in_service(self) -> bool:
        """Whether its capacity is part of its service's, open or closed."""
        if self._unsized_runs:
            # How much of it is in use is unknown.
            return False
        return self.listed and not self.session.terminated

    @property
    def evacuated(self) -> bool:
        """Whether the worker's zone is evacuated."""
        return self.entry.zone in self._zone_gate.closed

    @property
    def usable_share(self) -> float:
        """Share of the processor time that may be used, 1 unless cold.

        Only workers of a zone that was taken back count as cold.
        """
        if not self.entry.warmup_left:
            return 1
        return self._zone_gate.usable_share(ZoneId(self.entry.zone))

    def apply_entry(self, entry: WorkerEntry) -> None:
        """Apply a new entry of the worker; its capacity may have changed.

        Runs keep their allocation: `free` is negative until enough of them end.
        """
        self.free += entry.capacity - self.entry.capacity
        self.entry = entry

    @property
    def overcommitted(self) -> bool:
        """Whether the allocations exceed the worker's current capacity."""
        return min(self.free) < 0

    def quarantine(
        self, now: Seconds, seconds: Seconds = _ORDER_FAILURE_QUARANTINE
    ) -> None:
        """Give the worker no new work for some seconds."""
        self.quarantined_until = max(self.quarantined_until, now + seconds)

    def holds(self, run: PlacedRun) -> bool:
        """Whether exactly this run is allocated here.

        A run of another job may have the same key: a job that was withdrawn and
        submitted again under its id numbers its runs from 1 again.
        """
        return self.run_by_key.get(run.key) is run

    def allocate(self, run: PlacedRun, step_key: str) -> None:
        """Allocate capacity for a run; no-op if its key is already known."""
        if run.key in self.run_by_key:
            return
        self.run_by_key[run.key] = run
        if run.quota_usage is not None:
            self._ledger.add_usage(run.quota_usage)
        if run.size is None:
            self._unsized_runs += 1
        else:
            self.free -= run.size
        self.count_by_step[step_key] += 1
        if run.isolated:
            self.isolated_runs.add(run.key)
        if run.task is not None:
            self.count_by_qos_class[qos_class_of(run.task.step.spec)] += 1
            self.urgent_millicores += _urgent_millicores(run)

    def release(self, key: RunKey) -> PlacedRun | None:
        """Free the allocation of a run that has certainly ended."""
        run = self.run_by_key.pop(key, None)
        if run is None:
            return None
        self.isolated_runs.discard(key)
        if run.quota_usage is not None:
            self._ledger.remove_usage(run.quota_usage)
        if run.size is None:
            self._unsized_runs -= 1
        else:
            self.free += run.size
        step_key = key.task.rpartition('.')[0]
        self.count_by_step[step_key] -= 1
        if run.task is not None:
            self.count_by_qos_class[qos_class_of(run.task.step.spec)] -= 1
            self.urgent_millicores -= _urgent_millicores(run)
        if not self.count_by_step[step_key]:
            self.count_by_step.pop(step_key)
        return run

    def hold(self, step_key: str, size: Size) -> None:
        """Hold capacity for a step while its tickets are requested."""
        self.free -= size
        self.held_by_step[step_key] = size

    @property
    def held(self) -> Size:
        """Capacity held for steps whose tickets are requested."""
        return sum(self.held_by_step.values(), Size())

    def release_hold(self, step_key: str) -> bool:
        """Release the hold of a step; return whether there was one."""
        size = self.held_by_step.pop(step_key, None)
        if size is None:
            return False
        self.free += size
        return True

    def isolation_cost(self) -> tuple[int, Seconds, int]:
        """Return the sort key for an isolated retry, lowest first.

        Workers are ordered by the number of recently started runs, to which a
        crash would be attributed as well; then by the last crash at the
        address, since a worker that crashes repeatedly is empty and would
        incriminate healthy tasks; then by the number of runs.
        """
        runs = self.run_by_key.values()
        recent = sum(not self.survived_startup(run) for run in runs)
        return recent, self.crashed_at, len(runs)

    @property
    def has_suspected_run(self) -> bool:
        """Whether a suspected task runs here, also after its isolated retry."""
        return any(run.isolated for run in self.run_by_key.values())

    def uptime_since_start(self, run: PlacedRun) -> Seconds:
        """Return the seconds between a run's start and the last response.

        It is 0 if there was none since: the worker may have ended with the
        start.
        """
        return max(0, self.session.last_response_at - run.confirmed_at)

    def survived_startup(self, run: PlacedRun) -> bool:
        """Whether the worker has survived the startup window of a run.

        A task that crashes its workers does so about 10 ms after each start.
        """
        return self.uptime_since_start(run) >= STARTUP_CRASH_WINDOW

    def is_compatible(self, spec: StepSpec) -> bool:
        """Whether the QoS class of a step is compatible with what runs here."""
        other = _SEPARATED_FROM.get(qos_class_of(spec))
        return other is None or not self.count_by_qos_class[other]

    def slots_for(self, step_key: str, size: Size, max_count: int) -> int:
        """Return how many more tasks of a step fit on the worker."""
        if self.isolated_runs:
            return 0
        fitting = size.copies_in(self.free)
        share = self.usable_share
        if share < 1:
            capacity = self.entry.capacity
            fitting = min(fitting, cold_slots(size, capacity, self.free, share))
        if max_count:
            return min(fitting, max_count - self.count_by_step[step_key])
        return fitting
