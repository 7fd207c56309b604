"""Evidence that a task crashes the workers that run it.

A worker that crashes reports no ends, so its owner goes by what it observed. A
task that crashes its workers does so soon after its start; a task whose startup
window the worker survived is hardly the cause. A suspected task is retried in
isolation, on the worker where a crash would affect the fewest other runs, and
that worker gets no other work until the startup window is past. Only a worker
that ends during an isolated retry, while few others end, is strong evidence.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.types import RunNumber, Seconds
from orchidrail.work.step import Task

#: Period over which ends of other workers are counted as background crash rate:
#: some workers crash, are back after 3 s and crash again.
_CRASH_RATE_WINDOW: Seconds = 10.0
#: Maximum share of the workers that may have ended within that period for the
#: crash rate to count as low. A worker then ends by chance within the second of
#: an isolated retry at most once in 65 times.
_MAX_LOW_SHARE = 0.15


class IncarnationEnd(Enum):
    """How an incarnation of a worker ended, as observed by its owner."""

    #: Another incarnation responds at its address, and it had not left
    #: voluntarily before.
    CRASHED = 'crashed'
    #: It had announced, or shown, that it leaves.
    LEFT = 'left'
    #: All leases have expired without a response: it may be partitioned, and
    #: alive.
    LEASE_EXPIRED = 'lease ended'
    #: A worker of a previous owner that this one has never reached.
    NEVER_REACHED = 'never met'


class LostRun(NamedTuple):
    """A run whose worker's incarnation has ended, and the evidence on it.

    Parameters
    ----------
    recent : bool
        The worker did not respond for long enough after the run's start.
    isolated : bool
        It was an isolated retry, so that the end is evidence against it.
    """

    task: Task
    run: RunNumber
    recent: bool
    isolated: bool


class _Evidence(NamedTuple):
    """Evidence by which the suspicion that an end adds is chosen."""

    recent: bool
    isolated: bool
    low_crash_rate: bool


#: Suspicion that one end adds. `SUSPICION_LIMIT` is reached by a first crash
#: and two isolated retries while the crash rate is low, since two crashes may
#: be a coincidence. It is reached by four crashes at the latest, however many
#: workers crash by chance: users allow two starts after the third. A task that
#: crashes its workers only after seconds is detected only while the crash rate
#: is low.
_SUSPICION_BY_EVIDENCE = {
    _Evidence(recent=True, isolated=True, low_crash_rate=True): 5,
    _Evidence(recent=True, isolated=True, low_crash_rate=False): 2,
    _Evidence(recent=True, isolated=False, low_crash_rate=True): 2,
    _Evidence(recent=True, isolated=False, low_crash_rate=False): 2,
    _Evidence(recent=False, isolated=True, low_crash_rate=True): 3,
    _Evidence(recent=False, isolated=True, low_crash_rate=False): 0,
    _Evidence(recent=False, isolated=False, low_crash_rate=True): 1,
    _Evidence(recent=False, isolated=False, low_crash_rate=False): 0,
}


def lost_runs(tracked: TrackedWorker) -> list[LostRun]:
    """Return the runs of a worker that may have caused its end.

    Runs that are being stopped are included: the crash may have interrupted the
    starts of other members of a gang, for which its run there was to be
    stopped.
    """
    runs = [run for run in tracked.run_by_key.values() if run.ordered]
    recent = [run for run in runs if not tracked.survived_startup(run)]
    return [
        LostRun(
            run.task,
            run.key.run,
            not tracked.survived_startup(run),
            run.isolated and _is_evidence(run, recent),
        )
        for run in runs
        if run.task is not None
    ]


def _is_evidence(retry: PlacedRun, recent: list[PlacedRun]) -> bool:
    """Whether a crash during an isolated retry is evidence against it.

    While the retry itself is recent, no other run may be, except members of its
    own gang. Later, other runs start beside it all the time in a busy cell, so
    a task that crashes its workers after seconds would never be alone.
    """
    if retry not in recent:
        return True
    return all(_same_gang(run, retry) for run in recent)


def _same_gang(one: PlacedRun, other: PlacedRun) -> bool:
    if one is other:
        return True
    if one.task is None or other.task is None:
        return False
    return one.task.step is other.task.step and one.task.step.spec.gang


class CrashRateMonitor:
    """Tracks the rate at which workers end without a suspected task."""

    def __init__(self) -> None:
        """Start without ends."""
        self._end_times: deque[Seconds] = deque()

    def record_end(self, tracked: TrackedWorker | None, now: Seconds) -> None:
        """Record the unannounced end of an incarnation."""
        if tracked is None or not tracked.has_suspected_run:
            self._end_times.append(now)

    def is_low(
        self, tracked_workers: Iterable[TrackedWorker], now: Seconds
    ) -> bool:
        """Whether few workers ended recently or are unresponsive now."""
        while self._end_times and now - self._end_times[0] > _CRASH_RATE_WINDOW:
            self._end_times.popleft()
        workers = list(tracked_workers)
        unresponsive = sum(
            tracked.session.stopped_responding and not tracked.has_suspected_run
            for tracked in workers
        )
        return len(self._end_times) + unresponsive < _MAX_LOW_SHARE * len(
            workers
        )


def added_suspicion(
    lost: LostRun, end: IncarnationEnd, low_crash_rate: bool
) -> int:
    """Return the suspicion that a worker's end adds to a task."""
    if end is IncarnationEnd.LEFT:
        return 0
    # A partition ends many runs at once, and the workers may be alive.
    low_crash_rate = low_crash_rate and end is IncarnationEnd.CRASHED
    return _SUSPICION_BY_EVIDENCE[
        _Evidence(lost.recent, lost.isolated, low_crash_rate)
    ]
