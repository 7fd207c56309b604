"""Estimates of queue waits, for rejection of work that would time out."""

from __future__ import annotations

from random import Random

from orchidrail.jitter import jitter
from orchidrail.types import ClassName, Seconds

_SMOOTHING = 0.05
#: Starts within one backlog before its drain rate is used.
_MIN_STARTS = 10
_MIN_RETRY_AFTER: Seconds = 0.2
_MAX_RETRY_AFTER: Seconds = 30


class _DrainRate:
    """Smoothed interval between starts in the current backlog of a class."""

    def __init__(self) -> None:
        self.starts = 0
        self.interval: Seconds = 0
        self._last: Seconds = 0

    def record_start(self, queued_at: Seconds, now: Seconds) -> None:
        """Record the start of an item that was queued at `queued_at`."""
        if queued_at >= self._last:
            # The queue was empty in between: a new backlog starts.
            self.starts = 0
        else:
            interval = now - self._last
            weight = max(_SMOOTHING, 1 / (self.starts + 1))
            self.interval += weight * (interval - self.interval)
            self.starts += 1
        self._last = now


class Admission:
    """Expected waits by class, from the drain rate of its queue.

    Parameters
    ----------
    random : Random
        Random source for the jitter of retry delays.
    """

    def __init__(self, random: Random) -> None:
        """Start without measurements: every expected wait is 0."""
        self._random = random
        self._drain_rate_by_class: dict[ClassName, _DrainRate] = {}

    def note_start(
        self,
        class_name: ClassName,
        queued_at: Seconds,
        now: Seconds,
    ) -> None:
        """Update the drain rate of a class with one start from its queue.

        Only starts within one uninterrupted backlog show that rate.
        """
        drain_rate = self._drain_rate_by_class.setdefault(
            class_name, _DrainRate()
        )
        drain_rate.record_start(queued_at, now)

    def expected_wait(self, class_name: ClassName, ahead: int) -> Seconds:
        """Return the expected wait in seconds behind `ahead` queued items.

        It is 0 until the current backlog has had enough starts.
        """
        drain_rate = self._drain_rate_by_class.get(class_name)
        if drain_rate is None or drain_rate.starts < _MIN_STARTS:
            return 0
        return ahead * drain_rate.interval

    def retry_after(self, expected_wait: Seconds) -> Seconds:
        """Return a retry delay: the bounded wait, with jitter of up to 50 %."""
        delay = expected_wait + _MIN_RETRY_AFTER
        return jitter(self._random, min(_MAX_RETRY_AFTER, delay))
