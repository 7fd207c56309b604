"""One incarnation of a simulated worker."""

from __future__ import annotations

import asyncio
import math

from orchidrail.types import Epoch, RunNumber, Seconds, TaskKey
from orchidrail.workers.port import (
    ActiveRun,
    EndedRun,
    Listing,
    OrderResult,
    RunEnding,
    RunKey,
    StartOrder,
    WorkerEntry,
)

#: Initial value of the monotonic clocks of the first incarnations.
CLOCK_START: Seconds = 1000
_LONGEST_LEASE: Seconds = 6.0
_ALL_PERCENT = 100


class ModelRun:
    """One run on a worker.

    Parameters
    ----------
    key : RunKey
    duration : float
        Seconds of work until it ends by itself; infinite if long-running.
    ending : RunEnding
        How it ends by itself.
    crashes_after : float
        Seconds of work until it crashes its worker; infinite if it does not.
    saved : float
        Seconds of work done by earlier runs, which `duration` does not
        include.
    """

    def __init__(
        self,
        key: RunKey,
        duration: Seconds,
        ending: RunEnding,
        crashes_after: Seconds = math.inf,
        saved: Seconds = 0,
    ) -> None:
        """Create a run that has not begun; its worker begins and ends it."""
        self.key = key
        self.duration = duration
        self.ending = ending
        self.crashes_after = crashes_after
        self.saved = saved
        #: Whether a stop is under way.
        self.stopping = False
        #: Time at which it began to work; infinite before.
        self.started_at: Seconds = math.inf
        self.timer: asyncio.TimerHandle | None = None

    def cancel(self) -> None:
        """Cancel the timer of its end."""
        if self.timer is not None:
            self.timer.cancel()

    def percent(self, now: Seconds) -> float:
        """Return the percentage done; 100 for a long-running one at once.

        A member of a gang may stay at 100 while it waits for slower ones.
        """
        if now < self.started_at:
            return 0
        if math.isinf(self.duration):
            return _ALL_PERCENT
        done = self.work_done(now)
        return min(_ALL_PERCENT, _ALL_PERCENT * done / self.total)

    @property
    def total(self) -> Seconds:
        """Seconds of work of this run and the earlier ones."""
        return self.saved + self.duration

    def work_done(self, now: Seconds) -> Seconds:
        """Return the seconds of work done by this run and earlier ones."""
        return self.saved + max(0, now - self.started_at)


class ModelWorker:
    """One incarnation of a worker: its runs, ends, lease, fence and clock.

    Parameters
    ----------
    entry : WorkerEntry
    slowness : float
        Factor on the duration of each run.
    clock_offset : float
        Offset of its monotonic clock from the loop's, seconds.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        slowness: float,
        clock_offset: Seconds = CLOCK_START,
    ) -> None:
        """Start idle."""
        self.entry = entry
        self.slowness = slowness
        self.unresponsive_until: Seconds = 0
        #: Time until which every task that it starts fails.
        self.broken_until: Seconds = 0
        self.run_by_key: dict[RunKey, ModelRun] = {}
        self.ended: list[EndedRun] = []
        self.changed = asyncio.Event()
        self.crashed = False
        #: Time since which it has the capacity of its entry.
        self.capacity_since: Seconds = -math.inf
        #: Whether an order has reached this incarnation in time. One that is
        #: executed late was made for a previous incarnation, so no owner has
        #: contacted this one through it.
        self.contacted = False
        #: Runs that are done and whose end was acknowledged here.
        self.acknowledged: set[RunKey] = set()
        self._clock_offset = clock_offset
        self._leased_until: Seconds = -math.inf
        self._unreported: set[RunKey] = set()
        self._number = 0
        self._fence = Epoch(0)
        #: Run number of each task up to which starts are rejected.
        self._newest_ended_by_task: dict[TaskKey, RunNumber] = {}

    def crash(self) -> list[RunKey]:
        """End this incarnation; return the runs lost."""
        self.crashed = True
        for run in self.run_by_key.values():
            run.cancel()
        lost = list(self.run_by_key)
        self.run_by_key.clear()
        self.changed.set()
        return lost

    def end(self, key: RunKey, ending: RunEnding, checkpoint: str = '') -> bool:
        """End a run and list its end; return whether it was running."""
        run = self.run_by_key.pop(key, None)
        if run is None:
            return False
        run.cancel()
        self.reject(key)
        self._number += 1
        self.ended.append(EndedRun(self._number, key, ending, checkpoint))
        self.changed.set()
        return True

    def renew(self, deadline: Seconds | None, now: Seconds) -> None:
        """Renew the lease, and mark ends unreported before it lapsed.

        The tasks of these may be started again, even if the ends are reported
        later, so they do not count as acknowledged.
        """
        clock = self.clock(now)
        if self._leased_until < clock:
            self._unreported.update(end.key for end in self.ended)
        if deadline is not None:
            until = min(deadline, clock + _LONGEST_LEASE)
            self._leased_until = max(self._leased_until, until)

    def accepts_epoch(self, epoch: Epoch) -> bool:
        """Return whether no higher epoch was seen; raise the fence to it."""
        self._fence = max(self._fence, epoch)
        return epoch == self._fence

    def accept_order(self, epoch: Epoch) -> bool:
        """Record a timely order; return whether its epoch is accepted."""
        self.contacted = True
        return self.accepts_epoch(epoch)

    def reject(self, key: RunKey) -> None:
        """Reject starts of a task up to this run number from now on."""
        newest = self._newest_ended_by_task.get(key.task, RunNumber(0))
        self._newest_ended_by_task[key.task] = max(newest, key.run)

    def rejection(self, order: StartOrder, now: Seconds) -> OrderResult | None:
        """Return why a start is rejected, None if it is not."""
        if order.deadline < self.clock(now):
            return OrderResult.LATE
        if order.key.run <= self._newest_ended_by_task.get(order.key.task, 0):
            return OrderResult.OLD_RUN
        return None

    def forget(self, last_seen: int) -> None:
        """Discard the acknowledged ends, up to number `last_seen`."""
        self.acknowledged.update(
            end.key
            for end in self.ended
            if end.number <= last_seen
            and end.ending is RunEnding.DONE
            and end.key not in self._unreported
        )
        self.ended = [end for end in self.ended if end.number > last_seen]

    def listing(self, now: Seconds) -> Listing:
        """Return the active runs and the ends not acknowledged yet."""
        active = [
            ActiveRun(run.key, '', run.percent(now))
            for run in self.run_by_key.values()
        ]
        clock = self.clock(now)
        return Listing(clock, active, list(self.ended), self.entry.born)

    def clock(self, now: Seconds) -> Seconds:
        """Return the reading of its monotonic clock."""
        return self._clock_offset + now
