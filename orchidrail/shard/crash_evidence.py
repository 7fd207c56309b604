"""Workers that end while tasks run there, and which task is to blame.

A worker that crashes tells of no end, so its owner judges by what it saw. A
task that crashes its workers does so soon after its start; one whose start the
worker outlived is hardly the cause. A task that may be the cause is tried again
apart: on the worker with the fewest others at stake, to which nothing else goes
until the trial is past. Only a worker that ends under a trial, while few others
end, is strong evidence.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.types import RunNumber, Seconds
from orchidrail.work.step import Task

#: Ends of others within this time tell whether workers crash anyway: some
#: crash, are back after 3 s and crash again.
_LATELY: Seconds = 10.0
#: Share of the workers that may have ended lately in calm times. A worker then
#: ends by chance within a trial's second once in 65 times at the most.
_CALM_SHARE = 0.15


class IncarnationEnd(Enum):
    """How a worker's life ended, as its owner saw it."""

    #: Another life answers at its address, and it had not left by itself.
    CRASHED = 'crashed'
    #: It had said, or shown, that it leaves.
    LEFT = 'left'
    #: All leases have run out unheard: it may be cut off, and alive.
    LEASE_EXPIRED = 'lease ended'
    #: A worker of an earlier owner that this one has never reached.
    NEVER_REACHED = 'never met'


class LostRun(NamedTuple):
    """A run whose worker's life has ended, and what was known of it.

    Parameters
    ----------
    young : bool
        The worker was not heard for long enough after its start.
    trial : bool
        It was tried apart, so that the end tells of it.
    """

    task: Task
    run: RunNumber
    young: bool
    trial: bool


class _Sight(NamedTuple):
    """What an end is judged by; `calm` says that few others ended."""

    young: bool
    trial: bool
    calm: bool


#: Suspicion that one end adds. `SUSPICION_LIMIT` is reached by a first crash
#: and two trials in calm times, since two crashes may be chance, and by four
#: at the latest, however many workers crash by chance: users allow two starts
#: after the third. A task that ends its workers after seconds is found so in
#: calm times only.
_SUSPICION_BY_SIGHT = {
    _Sight(young=True, trial=True, calm=True): 5,
    _Sight(young=True, trial=True, calm=False): 2,
    _Sight(young=True, trial=False, calm=True): 2,
    _Sight(young=True, trial=False, calm=False): 2,
    _Sight(young=False, trial=True, calm=True): 3,
    _Sight(young=False, trial=True, calm=False): 0,
    _Sight(young=False, trial=False, calm=True): 1,
    _Sight(young=False, trial=False, calm=False): 0,
}


def lost_runs(tracked: TrackedWorker) -> list[LostRun]:
    """Return the runs of a worker that may have to do with its end.

    Also those that are being stopped: the crash may have broken off the starts
    of a gang's other members, for which its run there was to be stopped.
    """
    runs = [run for run in tracked.run_by_key.values() if run.ordered]
    young = [run for run in runs if not tracked.proven(run)]
    return [
        LostRun(
            run.task,
            run.key.run,
            not tracked.proven(run),
            run.trial and _tells(run, young),
        )
        for run in runs
        if run.task is not None
    ]


def _tells(trial: PlacedRun, young: list[PlacedRun]) -> bool:
    """Whether a crash under a trial tells of it, and not of another run.

    While the trial is young no other run may be, but for the members of its own
    gang. Later others begin beside it all the time in a busy cell, so a task
    that ends its workers after seconds would never be alone.
    """
    if trial not in young:
        return True
    return all(_same_gang(run, trial) for run in young)


def _same_gang(one: PlacedRun, other: PlacedRun) -> bool:
    if one is other:
        return True
    if one.task is None or other.task is None:
        return False
    return one.task.step is other.task.step and one.task.step.spec.gang


class CrashWatch:
    """Knows whether workers end without a task that is suspected."""

    def __init__(self) -> None:
        """Start with no end seen."""
        self._ends: deque[Seconds] = deque()

    def note_end(self, tracked: TrackedWorker | None, now: Seconds) -> None:
        """Take a life's end that nobody announced."""
        if tracked is None or not tracked.runs_suspect:
            self._ends.append(now)

    def calm(self, every: Iterable[TrackedWorker], now: Seconds) -> bool:
        """Whether few workers have ended lately, or are silent now."""
        while self._ends and now - self._ends[0] > _LATELY:
            self._ends.popleft()
        workers = list(every)
        silent = sum(
            tracked.session.stopped_responding and not tracked.runs_suspect
            for tracked in workers
        )
        return len(self._ends) + silent < _CALM_SHARE * len(workers)


def suspicion_of(lost: LostRun, end: IncarnationEnd, calm: bool) -> int:
    """Return what a worker's end adds to the suspicion of a task."""
    if end is IncarnationEnd.LEFT:
        return 0
    # Behind a cut many runs go at once, and the workers may be alive.
    calm = calm and end is IncarnationEnd.CRASHED
    return _SUSPICION_BY_SIGHT[_Sight(lost.young, lost.trial, calm)]
