"""Peak value that decays exponentially over time."""

from __future__ import annotations

import math

from orchidrail.types import Seconds

#: Time in which a recorded peak decays to 1/e, about a third. Bursts at the
#: users' sites last 4 s, and the next one follows within 10 to 15 s.
_DECAY_TIME: Seconds = 10.0


class DecayingPeak:
    """Peak of one value.

    Examples
    --------
    >>> peak = DecayingPeak()
    >>> peak.record(8, now=0)
    >>> peak.record(3, now=0)
    >>> peak.at(now=0), round(peak.at(now=10), 1)
    (8, 2.9)
    """

    def __init__(self) -> None:
        """Start with a peak of zero."""
        self._peak: float = 0
        self._recorded_at: Seconds = 0

    def record(self, value: float, now: Seconds) -> None:
        """Record the current value."""
        self._peak = max(value, self.at(now))
        self._recorded_at = now

    def at(self, now: Seconds) -> float:
        """Return the decayed peak."""
        if now <= self._recorded_at:
            return self._peak
        return self._peak * math.exp((self._recorded_at - now) / _DECAY_TIME)
