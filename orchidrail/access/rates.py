"""How often something may happen."""

from __future__ import annotations

from orchidrail.types import Seconds


class RateLimit:
    """A token bucket.

    Examples
    --------
    >>> limit = RateLimit(rate=1, burst=1)
    >>> limit.take(now=0), limit.take(now=0), limit.take(now=1)
    (True, False, True)
    """

    def __init__(self, rate: float, burst: float) -> None:
        """Start with a full bucket of `burst` tokens."""
        self.rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at: Seconds | None = None

    def take(self, now: Seconds) -> bool:
        """Take one token; return False if there is none."""
        self._fill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def ready_in(self, now: Seconds) -> Seconds:
        """Return after how many seconds there is a token, 0 if there is one."""
        self._fill(now)
        return max(0, 1 - self._tokens) / self.rate

    def _fill(self, now: Seconds) -> None:
        if self._filled_at is not None:
            earned = (now - self._filled_at) * self.rate
            self._tokens = min(self._burst, self._tokens + earned)
        self._filled_at = now
