"""Why a job's tasks were not placed, summed up over its life."""

from __future__ import annotations

from collections import defaultdict
from enum import Enum

from orchidrail.types import Seconds


class WaitReason(Enum):
    """What a task whose turn has come waits for."""

    #: The advice service has not said yet who may run it.
    ADVICE = 'advice'
    #: Workers that may run it have no room.
    ROOM = 'room'
    #: What is free is kept for urgent work.
    HEADROOM = 'headroom'
    #: No worker that may run it takes new work.
    WORKERS = 'workers'
    #: The journal does not answer, and a start waits for it.
    JOURNAL = 'journal'
    #: Its tenant has as much running as it may.
    LIMIT = 'limit'
    #: It was given to a worker that does not answer.
    LOST_WORKER = 'lostWorker'


class WaitTimes:
    """Seconds that one job has waited, by reason.

    Examples
    --------
    >>> waits = WaitTimes()
    >>> waits.note(WaitReason.ADVICE, now=10)
    >>> waits.note(None, now=12.5)
    >>> waits.describe(now=20)
    {'advice': 2.5}
    """

    def __init__(self) -> None:
        """Wait for nothing."""
        self._seconds_by_reason: dict[WaitReason, Seconds] = defaultdict(float)
        self._reason: WaitReason | None = None
        self._since: Seconds = 0

    def note(self, reason: WaitReason | None, now: Seconds) -> None:
        """Take what the job waits for from now on, None for nothing."""
        if reason is self._reason:
            return
        if self._reason is not None:
            self.add(self._reason, now - self._since)
        self._reason = reason
        self._since = now

    def add(self, reason: WaitReason, seconds: Seconds) -> None:
        """Add a wait that is over."""
        self._seconds_by_reason[reason] += seconds

    def describe(self, now: Seconds) -> dict[str, Seconds]:
        """Return the seconds by reason, the longest first, for a log line."""
        seconds_by_reason = dict(self._seconds_by_reason)
        if self._reason is not None:
            before = seconds_by_reason.get(self._reason, 0)
            seconds_by_reason[self._reason] = before + now - self._since
        longest_first = sorted(
            seconds_by_reason.items(),
            key=lambda pair: -pair[1],
        )
        return {
            reason.value: round(seconds, 3) for reason, seconds in longest_first
        }
