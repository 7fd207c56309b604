"""The last peak of a figure, which is forgotten by and by."""

from __future__ import annotations

import math

from orchidrail.types import Seconds

#: Time in which the memory of a peak falls to a third. Bursts on the users'
#: sites last 4 s, and the next comes within 10 to 15 s.
_FORGETS_IN: Seconds = 10.0


class DecayingPeak:
    """Follows one figure.

    Examples
    --------
    >>> peak = DecayingPeak()
    >>> peak.note(8, now=0)
    >>> peak.note(3, now=0)
    >>> peak.at(now=0), round(peak.at(now=10), 1)
    (8, 2.9)
    """

    def __init__(self) -> None:
        """Start without a peak."""
        self._peak: float = 0
        self._noted_at: Seconds = 0

    def note(self, figure: float, now: Seconds) -> None:
        """Take the figure of this moment."""
        self._peak = max(figure, self.at(now))
        self._noted_at = now

    def at(self, now: Seconds) -> float:
        """Return what is left of the peak."""
        if now <= self._noted_at:
            return self._peak
        return self._peak * math.exp((self._noted_at - now) / _FORGETS_IN)
