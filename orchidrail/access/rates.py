"""Rate limiting."""

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
        self._refilled_at: Seconds | None = None

    def take(self, now: Seconds) -> bool:
        """Take one token; return False if the bucket is empty."""
        self._refill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def ready_in(self, now: Seconds) -> Seconds:
        """Return the seconds until a token is available, 0 if one is."""
        self._refill(now)
        return max(0, 1 - self._tokens) / self.rate

    def _refill(self, now: Seconds) -> None:
        if self._refilled_at is not None:
            earned = (now - self._refilled_at) * self.rate
            self._tokens = min(self._burst, self._tokens + earned)
        self._refilled_at = now
