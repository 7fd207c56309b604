"""Early refusal: by expected wait against the caller's patience."""

from __future__ import annotations

from random import Random

from orchidrail.jitter import jitter
from orchidrail.types import ClassName, Seconds

_SMOOTHING = 0.05
#: Starts of a backlog that are needed to tell its pace.
_MIN_STARTS = 10
_MIN_RETRY_AFTER: Seconds = 0.2
_MAX_RETRY_AFTER: Seconds = 30


class _Pace:
    """How fast the queue of one class moves in its present backlog."""

    def __init__(self) -> None:
        self.starts = 0
        self.interval: Seconds = 0
        self._last: Seconds = 0

    def note(self, queued_at: Seconds, now: Seconds) -> None:
        """Count a start of an item that was queued at `queued_at`."""
        if queued_at >= self._last:
            # The queue had run empty: another backlog has begun.
            self.starts = 0
        else:
            interval = now - self._last
            weight = max(_SMOOTHING, 1 / (self.starts + 1))
            self.interval += weight * (interval - self.interval)
            self.starts += 1
        self._last = now


class Admission:
    """Expected waits by class, from the rate at which its work starts.

    Parameters
    ----------
    random : Random
        Spreads the times to come back.
    """

    def __init__(self, random: Random) -> None:
        """Start with no measurement; everything is admitted."""
        self._random = random
        self._pace_by_class: dict[ClassName, _Pace] = {}

    def note_start(
        self,
        class_name: ClassName,
        queued_at: Seconds,
        now: Seconds,
    ) -> None:
        """Learn from one start out of the queue how fast the queue moves.

        Only starts of one unbroken backlog show that rate.
        """
        pace = self._pace_by_class.setdefault(class_name, _Pace())
        pace.note(queued_at, now)

    def expected_wait(self, class_name: ClassName, ahead: int) -> Seconds:
        """Return the wait behind `ahead` others of the class."""
        pace = self._pace_by_class.get(class_name)
        if pace is None or pace.starts < _MIN_STARTS:
            return 0
        return ahead * pace.interval

    def retry_after(self, expected_wait: Seconds) -> Seconds:
        """Return when to come back: about the wait, spread by half."""
        wanted = expected_wait + _MIN_RETRY_AFTER
        return jitter(self._random, min(_MAX_RETRY_AFTER, wanted))
