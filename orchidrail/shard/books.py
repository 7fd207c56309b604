"""What each worker of the shard has room for and what is placed on it."""

from __future__ import annotations

import math
from collections import Counter

import msgspec

from orchidrail.types import Seconds, WorkerId
from orchidrail.work.job import Task
from orchidrail.work.model import Size
from orchidrail.workers.port import RunKey, WorkerEntry, WorkerState
from orchidrail.workers.session import WorkerSession

#: How long a worker gets no new work after it refused or failed an order.
_REST: Seconds = 1.5


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
    share_done: float = 0


class WorkerBooks:
    """Room, runs and standing of one worker.

    Parameters
    ----------
    session : WorkerSession
    """

    def __init__(self, session: WorkerSession) -> None:
        """Start with all room free."""
        self.session = session
        self.entry: WorkerEntry = session.entry
        self.free: Size = session.entry.capacity
        self.run_by_key: dict[RunKey, PlacedRun] = {}
        self.held_by_step: dict[str, Size] = {}
        self.count_by_step: Counter[str] = Counter()
        self.rests_until: Seconds = 0
        self._unsized = 0
        #: Whether the store still lists this life.
        self.listed = True
        #: Grows whenever room is freed or the standing changes.
        self.changes = 0

    @property
    def worker(self) -> WorkerId:
        """The worker's id."""
        return self.entry.worker

    def open(self, now: Seconds) -> bool:
        """Whether new work may go to the worker."""
        return (
            self.session.reachable
            and not self.session.over
            and not self._unsized
            and self.entry.state is WorkerState.READY
            and now >= self.rests_until
        )

    def rest(self, now: Seconds) -> None:
        """Give the worker no new work for a while."""
        self.rests_until = now + _REST

    def charge(self, run: PlacedRun, step_key: str) -> None:
        """Take room for a run; one that is known already is left alone."""
        if run.key in self.run_by_key:
            return
        self.run_by_key[run.key] = run
        if run.size is None:
            self._unsized += 1
        else:
            self.free -= run.size
        self.count_by_step[step_key] += 1

    def release(self, key: RunKey) -> PlacedRun | None:
        """Free the room of a run that has surely ended."""
        run = self.run_by_key.pop(key, None)
        if run is None:
            return None
        if run.size is None:
            self._unsized -= 1
        else:
            self.free += run.size
        step_key = key.task.rpartition('.')[0]
        self.count_by_step[step_key] -= 1
        if not self.count_by_step[step_key]:
            self.count_by_step.pop(step_key)
        self.changes += 1
        return run

    def hold(self, step_key: str, size: Size) -> None:
        """Keep room for a step that waits for its tickets."""
        self.free -= size
        self.held_by_step[step_key] = size

    def unhold(self, step_key: str) -> None:
        """Give back the room that was kept for a step."""
        size = self.held_by_step.pop(step_key, None)
        if size is not None:
            self.free += size
            self.changes += 1

    def copies(self, step_key: str, size: Size, most: int) -> int:
        """Return how many more tasks of a step have room here."""
        fitting = size.times_in(self.free)
        if most:
            return min(fitting, most - self.count_by_step[step_key])
        return fitting
