"""Arithmetic of the lease under which a worker runs what it was given.

The lease's end is a time on the worker's own clock. Its clock may run slow,
so a lease has surely ended only some time after our clock says so.
"""

from __future__ import annotations

import math

from orchidrail.types import Seconds

#: Share by which a worker's clock may run slow, as the platform states.
MAX_CLOCK_SLOWDOWN = 0.02
_NEVER: Seconds = math.inf


class RunLease:
    """What is known of one worker's clock and of its latest lease.

    Parameters
    ----------
    max_duration : float
        Seconds that one renewal may last.
    prior_leases_end : float
        Our clock's time before which a renewal by an earlier owner of the
        worker may still last.

    Examples
    --------
    >>> lease = RunLease(max_duration=6, prior_leases_end=0)
    >>> lease.observe(clock=100, at=50)
    >>> lease.renew(now=51)
    107
    >>> lease.expired(now=57), lease.expired(now=58)
    (False, True)
    """

    def __init__(
        self, max_duration: Seconds, prior_leases_end: Seconds
    ) -> None:
        """Start without knowing the worker's clock."""
        self._longest = max_duration
        self._prior_leases_end = prior_leases_end
        self._clock: Seconds | None = None
        self._observed_at: Seconds = 0
        self._latest: Seconds = -_NEVER

    @property
    def clock_known(self) -> bool:
        """Whether the worker's clock was ever read."""
        return self._clock is not None

    def observe(self, clock: Seconds, at: Seconds) -> None:
        """Note what the worker's clock showed in an answer got at `at`.

        Answers may overtake one another; the latest estimate is kept.
        """
        if self._clock is None or clock >= self.clock_at(at):
            self._clock = clock
            self._observed_at = at

    def clock_at(self, now: Seconds) -> Seconds:
        """Return a time that the worker's clock has reached by `now`."""
        if self._clock is None:
            return -_NEVER
        passed = now - self._observed_at
        return self._clock + passed

    def renew(self, now: Seconds) -> Seconds:
        """Return the end to ask for, on the worker's clock."""
        return self.extend_to(self.clock_at(now) + self._longest)

    def extend_to(self, deadline: Seconds) -> Seconds:
        """Note that an order with this deadline is about to be sent."""
        self._latest = max(self._latest, deadline)
        return deadline

    def adopt(self, now: Seconds) -> None:
        """Note that runs were found, leased by an earlier owner."""
        self.extend_to(self.clock_at(now) + self._longest)

    def expired(self, now: Seconds) -> bool:
        """Tell whether all that ran under the lease has surely ended.

        A worker that has answered takes no renewal of an earlier owner any
        more: only one that never did is left to `prior_leases_end`.
        """
        if self._clock is None:
            return now > self._prior_leases_end
        passed = (now - self._observed_at) * (1 - MAX_CLOCK_SLOWDOWN)
        return self._clock + passed > self._latest
