"""What each worker of the shard has room for and what is placed on it."""

from __future__ import annotations

import math
from collections import Counter
from enum import Enum

import msgspec

from orchidrail.shard.tenant_ledger import (
    QuotaUsage,
    TenantLedger,
    quota_usage_of,
)
from orchidrail.shard.worker_speed import SpeedClass
from orchidrail.types import Seconds, WorkerId
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size
from orchidrail.work.step import Task
from orchidrail.workers.port import RunKey, WorkerEntry, WorkerState
from orchidrail.workers.session import WorkerSession

#: How long a worker gets no new work after it refused or failed an order.
_REST: Seconds = 1.5
#: Least time without progress after which a run stands still: resuming from a
#: checkpoint takes up to 0.6 s, and a listing comes at least every 1.2 s.
_STALLED_AFTER: Seconds = 1.5
#: Percents that a run should have moved on by then: they may be listed whole,
#: and a task's pace and estimate are rough.
_STALLED_PERCENTS = 3
_WHOLE = 100


#: Time after its start within which a run counts as a cause of its worker's
#: crash, a hundred times what it took where it was met. Longer, more runs are
#: suspected that only happened to begin then, and trials last longer.
STARTUP_CRASH_WINDOW: Seconds = 1.0


class TaskRole(Enum):
    """How a task gets on with others on its worker."""

    PLAIN = 'plain'
    #: Uses what others leave, and slows those that serve.
    BEST_EFFORT = 'fills'
    #: Serves users of its own, whose answers must stay quick.
    LATENCY_SENSITIVE = 'serves'


#: Share from which a gang's member may wait for the others to end.
_ALL_BUT_DONE = 99
#: Roles that are never put beside each other: a task that fills slows one
#: that serves by an amount that shifts within seconds.
_KEPT_APART = {
    TaskRole.BEST_EFFORT: TaskRole.LATENCY_SENSITIVE,
    TaskRole.LATENCY_SENSITIVE: TaskRole.BEST_EFFORT,
}


def role_of(spec: StepSpec) -> TaskRole:
    """Return the role of a step's tasks.

    Examples
    --------
    >>> role_of(StepSpec(1, best_effort=True))
    <TaskRole.BEST_EFFORT: 'fills'>
    """
    if spec.best_effort:
        return TaskRole.BEST_EFFORT
    return TaskRole.LATENCY_SENSITIVE if spec.target else TaskRole.PLAIN


class PlacedRun(msgspec.Struct):
    """A run that takes room of a worker until it has surely ended.

    Parameters
    ----------
    confirmed_at : float
        When the worker's answer to the start came; infinite before.
    start_deadline : float
        Time on the worker's clock after which a start that got no answer
        can't be carried out any more; infinite while the order is under way.
    """

    key: RunKey
    #: None for a run of an earlier owner whose job has ended: its room is
    #: not known, so the worker gets nothing while it is there.
    size: Size | None
    task: Task | None
    placed_at: Seconds
    confirmed_at: Seconds = math.inf
    start_deadline: Seconds = math.inf
    stopping: bool = False
    #: Whether the order to start it went out, or it was found there: else the
    #: worker has never heard of it.
    ordered: bool = False
    #: Whether the task is suspected, and tried apart from others.
    trial: bool = False
    share_done: float = 0
    #: When `share_done` changed last; 0 before the first listing shows it.
    progress_at: Seconds = 0
    #: What it takes of its tenant's limit, where no task tells.
    left: QuotaUsage | None = None
    #: Whether its worker was found sound by it: it lasts, and worked on.
    sound: bool = False
    #: Since when its answers take longer than its target; infinite if they
    #: don't.
    late_since: Seconds = math.inf

    @property
    def holding(self) -> QuotaUsage | None:
        """What it takes of its tenant's limit, as far as that is known."""
        return self.left if self.task is None else quota_usage_of(self.task)

    @property
    def in_doubt(self) -> bool:
        """Whether its start went out and no answer tells what came of it."""
        return self.ordered and self.confirmed_at == math.inf

    def stalled(self, now: Seconds) -> bool:
        """Whether the run should have moved on and has not.

        Gangs wait for their last member, and lasting tasks stay at 100.
        """
        if self.task is None or self.stopping or not self.progress_at:
            return False
        spec = self.task.step.spec
        if spec.lasting or (spec.gang and self._waits_for_gang()):
            return False
        percents = _STALLED_PERCENTS * self._percent_takes(spec.estimate)
        return now - self.progress_at > max(_STALLED_AFTER, percents)

    def _percent_takes(self, estimate: Seconds) -> Seconds:
        """Return how long one percent takes, by its pace and its estimate."""
        pace: Seconds = 0
        if self.share_done and self.confirmed_at < self.progress_at:
            pace = (self.progress_at - self.confirmed_at) / self.share_done
        return max(pace, estimate / _WHOLE)

    def _waits_for_gang(self) -> bool:
        """Whether other members may not have come or not have ended yet."""
        return not self.share_done or self.share_done >= _ALL_BUT_DONE


def note_progress(run: PlacedRun, share_done: float, now: Seconds) -> None:
    """Take how much of a run is done."""
    if share_done != run.share_done or not run.progress_at:
        run.share_done = share_done
        run.progress_at = now


def note_latency(run: PlacedRun, tail: Seconds, now: Seconds) -> None:
    """Take how long the slowest answers of a run take, if it gives any."""
    target = run.task.step.spec.target if run.task else 0
    if not target or tail <= target:
        run.late_since = math.inf
    else:
        run.late_since = min(run.late_since, now)


def _urgent_share(run: PlacedRun) -> int:
    """Return the millicores that a run uses for an urgent queue."""
    if run.task is None or run.size is None:
        return 0
    return run.size.millicores if run.task.step.job.urgent else 0


class TrackedWorker:
    """Room, runs and standing of one worker.

    Parameters
    ----------
    session : WorkerSession
    ledger : TenantLedger, optional
        Counts what is placed here for each tenant.
    """

    def __init__(
        self,
        session: WorkerSession,
        ledger: TenantLedger | None = None,
    ) -> None:
        """Start with all room free."""
        self.session = session
        self._ledger = ledger or TenantLedger()
        self.entry: WorkerEntry = session.entry
        self.worker: WorkerId = session.entry.worker
        self.free: Size = session.entry.capacity
        self.run_by_key: dict[RunKey, PlacedRun] = {}
        self.held_by_step: dict[str, Size] = {}
        self.count_by_step: Counter[str] = Counter()
        #: Tasks here that fill, and tasks whose answers' times are watched.
        self.count_by_qos_class: Counter[TaskRole] = Counter()
        #: What tasks of urgent queues use here.
        self.urgent_millicores = 0
        self.quarantined_until: Seconds = 0
        #: Whether something that runs here makes no progress.
        self.stalled = False
        #: When a worker at this address crashed last.
        self.crashed_at: Seconds = -math.inf
        #: Suspected runs that have not outlived their start.
        self.isolated_runs: set[RunKey] = set()
        self._unsized = 0
        self.speed_class = SpeedClass.TYPICAL
        #: Until then nothing that fills is put beside what serves here.
        self.best_effort_barred_until: Seconds = 0
        #: False once the worker's entry is gone for good: it has left, or
        #: leaves without having said so.
        self.listed = True
        #: Since when the worker has no entry in the store, if it has none.
        self.missing_since: Seconds | None = None

    def left_voluntarily(self) -> bool:
        """Whether the worker had said, or shown, that it leaves.

        One that leaves without a word takes its entry away and serves on for
        seconds; the entry of one that has crashed goes seconds after it.
        """
        if self.entry.state is WorkerState.DRAINING:
            return True
        lost_at = self.session.lost_at
        if self.missing_since is None:
            return False
        return lost_at is None or self.missing_since < lost_at

    def accepts_work(self, now: Seconds) -> bool:
        """Whether new work may go to the worker."""
        return now >= self.quarantined_until and self.available

    @property
    def available(self) -> bool:
        """Whether it could take new work, were it not for a rest."""
        session = self.session
        answers = session.reachable and not session.terminated
        if not answers or not self.listed:
            return False
        if self._unsized or self.stalled or self.isolated_runs:
            return False
        return self.entry.state is WorkerState.READY

    def take_entry(self, entry: WorkerEntry) -> None:
        """Take what the worker says of itself now; its room may have changed.

        What runs keeps its room: `free` is negative until enough has ended.
        """
        self.free += entry.capacity - self.entry.capacity
        self.entry = entry

    @property
    def overcommitted(self) -> bool:
        """Whether more is placed here than the worker has room for now."""
        return min(self.free) < 0

    def quarantine(self, now: Seconds, seconds: Seconds = _REST) -> None:
        """Give the worker no new work for a while."""
        self.quarantined_until = max(self.quarantined_until, now + seconds)

    def has(self, run: PlacedRun) -> bool:
        """Whether just this run takes room here.

        Another job's may have the same key: one that was withdrawn, and is
        handed in again under its id, counts its runs from 1 again.
        """
        return self.run_by_key.get(run.key) is run

    def allocate(self, run: PlacedRun, step_key: str) -> None:
        """Take room for a run; one that is known already is left alone."""
        if run.key in self.run_by_key:
            return
        self.run_by_key[run.key] = run
        if run.holding is not None:
            self._ledger.add_usage(run.holding)
        if run.size is None:
            self._unsized += 1
        else:
            self.free -= run.size
        self.count_by_step[step_key] += 1
        if run.trial:
            self.isolated_runs.add(run.key)
        if run.task is not None:
            self.count_by_qos_class[role_of(run.task.step.spec)] += 1
            self.urgent_millicores += _urgent_share(run)

    def release(self, key: RunKey) -> PlacedRun | None:
        """Free the room of a run that has surely ended."""
        run = self.run_by_key.pop(key, None)
        if run is None:
            return None
        self.isolated_runs.discard(key)
        if run.holding is not None:
            self._ledger.remove_usage(run.holding)
        if run.size is None:
            self._unsized -= 1
        else:
            self.free += run.size
        step_key = key.task.rpartition('.')[0]
        self.count_by_step[step_key] -= 1
        if run.task is not None:
            self.count_by_qos_class[role_of(run.task.step.spec)] -= 1
            self.urgent_millicores -= _urgent_share(run)
        if not self.count_by_step[step_key]:
            self.count_by_step.pop(step_key)
        return run

    def hold(self, step_key: str, size: Size) -> None:
        """Keep room for a step that waits for its tickets."""
        self.free -= size
        self.held_by_step[step_key] = size

    @property
    def held(self) -> Size:
        """The room that is kept for steps that wait for their tickets."""
        return sum(self.held_by_step.values(), Size())

    def release_hold(self, step_key: str) -> bool:
        """Give back the room that was kept for a step; tell if there was."""
        size = self.held_by_step.pop(step_key, None)
        if size is None:
            return False
        self.free += size
        return True

    def isolation_cost(self) -> tuple[int, Seconds, int]:
        """Return how ill a trial would go here, the least first.

        That is by the young runs that a crash here would involve; then by when
        a worker at this address crashed last, since one that crashes again and
        again is empty, and would speak against sound tasks; then by all runs.
        """
        runs = self.run_by_key.values()
        young = sum(not self.proven(run) for run in runs)
        return young, self.crashed_at, len(runs)

    @property
    def runs_suspect(self) -> bool:
        """Whether a suspected task runs here, also one past its trial."""
        return any(run.trial for run in self.run_by_key.values())

    def outlived(self, run: PlacedRun) -> Seconds:
        """Return for how long the worker was heard after a run's start.

        It is 0 if it was not: the worker may have ended with the start.
        """
        return max(0, self.session.last_response_at - run.confirmed_at)

    def proven(self, run: PlacedRun) -> bool:
        """Whether the worker has outlived the start of a run.

        A task that ends its workers does so at once: 10 ms after each start
        where it was met.
        """
        return self.outlived(run) >= STARTUP_CRASH_WINDOW

    def is_compatible(self, spec: StepSpec) -> bool:
        """Whether a step's tasks get on with what runs here."""
        other = _KEPT_APART.get(role_of(spec))
        return other is None or not self.count_by_qos_class[other]

    def slots_for(self, step_key: str, size: Size, most: int) -> int:
        """Return how many more tasks of a step have room here."""
        if self.isolated_runs:
            return 0
        fitting = size.copies_in(self.free)
        if most:
            return min(fitting, most - self.count_by_step[step_key])
        return fitting
