"""Whether tasks that last are at work, and cancelled ones gone.

It goes by what the workers saw, and by how much room they have.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from soak.ledger import CANCEL_WITHIN, Ledger, SentJob

#: Seconds for which a task that lasts may be away after its last run.
MOST_AWAY = 6.0
#: Seconds for which there must be room for it then.
ROOM_FOR = 3.0
#: Seconds for which a fault tells on the moments after it.
CALM_AFTER = 4.0
#: Room for a task must be there as many times.
_TIMES_OVER = 2
#: Seconds that a stop may take.
STOP_WITHIN = 0.2
#: Seconds of calm in which a cancel is to be acknowledged.
_ACKNOWLEDGED_WITHIN = 4.0


class Rooms(Protocol):
    """A worker that tells what it could take."""

    def rooms_for(self, step_key: str, step: dict[str, Any]) -> int:
        """Return how many more tasks of a step it could run now."""


class LastingWatch:
    """Looks at the tasks that last, again and again.

    Parameters
    ----------
    ledger : Ledger
    workers : list of Rooms

    Attributes
    ----------
    longest : float
        The longest that a task was away with room for it in calm, in seconds.
    """

    def __init__(self, ledger: Ledger, workers: Iterable[Rooms]) -> None:
        """Start with nothing seen, while faults may act."""
        #: Time of the steady clock since when no fault acts.
        self.calm_since: float | None = None
        self.longest: float = 0
        self._ledger = ledger
        self._workers = list(workers)
        self._room_since_by_task: dict[str, float] = {}
        self._told: set[str] = set()

    def look(self, now: float) -> None:
        """Judge what runs now, at a time of the steady clock."""
        for job in self._ledger.job_by_id.values():
            if job.lasting and job.accepted and not job.cancel_sent:
                self._look_for_absent(job, now)
            elif job.cancel_sent and self.calm_since is not None:
                self._look_for_remains(job, now, self.calm_since)

    def _look_for_absent(self, job: SentJob, now: float) -> None:
        for task in job.tasks:
            since = self._ledger.away_since(task)
            if since is None:
                self._told.discard(task)
            if since is None or not self._roomy(job, task, now):
                self._room_since_by_task.pop(task, None)
                continue
            self.longest = max(self.longest, now - since)
            if now - since <= MOST_AWAY:
                self._room_since_by_task.pop(task, None)
                continue
            room_since = self._room_since_by_task.setdefault(task, now)
            if now - room_since > ROOM_FOR:
                starts = self._ledger.task_by_key[task].starts
                detail = f'away for {now - since:.1f} s after {starts} starts'
                self._tell('LOST', task, detail)

    def _roomy(self, job: SentJob, task: str, now: float) -> bool:
        """Whether it is calm and there is room for a task twice over."""
        if self.calm_since is None or now - self.calm_since < CALM_AFTER:
            return False
        step_key, step = task.rpartition('.')[0], job.step_of(task)
        rooms = (worker.rooms_for(step_key, step) for worker in self._workers)
        return sum(rooms) >= _TIMES_OVER

    def _look_for_remains(
        self,
        job: SentJob,
        now: float,
        calm_since: float,
    ) -> None:
        since = job.cancelled_at
        if since is None and job.lasting and job.accepted:
            sent_at = max(job.cancel_sent_at or now, calm_since)
            since = sent_at + _ACKNOWLEDGED_WITHIN
        if since is None:
            return
        gone_at = max(since, calm_since) + CANCEL_WITHIN + STOP_WITHIN
        for task in job.tasks:
            running = self._ledger.task_by_key[task].running
            if running and now > gone_at:
                detail = f'runs on {sorted(running)} after its cancel'
                self._tell('UNASKED', task, detail)

    def _tell(self, rule: str, task: str, detail: str) -> None:
        if task not in self._told:
            self._told.add(task)
            self._ledger.breach(rule, f'{task} {detail}')
