"""Why the tasks of a job were not placed, summed up over its lifetime."""

from __future__ import annotations

from collections import defaultdict
from enum import Enum

from orchidrail.types import Seconds


class WaitReason(Enum):
    """What a task that is ready waits for."""

    #: Advice on its permitted workers.
    ADVICE = 'advice'
    #: Free capacity on an eligible worker.
    ROOM = 'room'
    #: Free capacity other than the headroom for urgent work.
    HEADROOM = 'headroom'
    #: An eligible worker that accepts work.
    WORKERS = 'workers'
    #: A response of the journal, on which a start depends.
    JOURNAL = 'journal'
    #: Its tenant to fall below its limit.
    LIMIT = 'limit'
    #: Starts in flight to be answered: the next ones follow them.
    STARTS = 'starts'
    #: The unreachable worker on which it is placed.
    LOST_WORKER = 'lostWorker'


class WaitTimes:
    """Wait times of one job by reason, in seconds.

    Examples
    --------
    >>> waits = WaitTimes()
    >>> waits.record(WaitReason.ADVICE, now=10)
    >>> waits.record(None, now=12.5)
    >>> waits.describe(now=20)
    {'advice': 2.5}
    """

    def __init__(self) -> None:
        """Start without a wait."""
        self._seconds_by_reason: dict[WaitReason, Seconds] = defaultdict(float)
        self._reason: WaitReason | None = None
        self._since: Seconds = 0

    def record(self, reason: WaitReason | None, now: Seconds) -> None:
        """Record what the job waits for from `now` on, None for nothing."""
        if reason is self._reason:
            return
        if self._reason is not None:
            self.add(self._reason, now - self._since)
        self._reason = reason
        self._since = now

    def add(self, reason: WaitReason, seconds: Seconds) -> None:
        """Add a wait that has ended."""
        self._seconds_by_reason[reason] += seconds

    def describe(self, now: Seconds) -> dict[str, Seconds]:
        """Return the seconds by reason for a log line, the longest first."""
        seconds_by_reason = dict(self._seconds_by_reason)
        if self._reason is not None:
            accumulated = seconds_by_reason.get(self._reason, 0)
            seconds_by_reason[self._reason] = accumulated + now - self._since
        longest_first = sorted(
            seconds_by_reason.items(),
            key=lambda pair: -pair[1],
        )
        return {
            reason.value: round(seconds, 3) for reason, seconds in longest_first
        }
