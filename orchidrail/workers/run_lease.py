"""Expiry of the lease under which a worker keeps its runs.

The lease's deadline is a time on the worker's own clock. That clock may run
slow, so a lease counts as expired only after a margin on the owner's clock.
"""

from __future__ import annotations

import math

from orchidrail.types import Seconds

#: Fraction by which a worker's clock may run slow, as the platform states.
MAX_CLOCK_SLOWDOWN = 0.02
_NEVER: Seconds = math.inf


class RunLease:
    """Estimate of one worker's clock, and the deadline of its latest lease.

    Parameters
    ----------
    max_duration : float
        Seconds by which one renewal extends the lease.
    prior_leases_end : float
        Time on the owner's clock until which a lease renewed by a previous
        owner of the worker may still run.

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
        """Start without a reading of the worker's clock."""
        self._max_duration = max_duration
        self._prior_leases_end = prior_leases_end
        self._clock: Seconds | None = None
        self._observed_at: Seconds = 0
        self._deadline: Seconds = -_NEVER

    @property
    def clock_known(self) -> bool:
        """Whether the worker's clock was ever read."""
        return self._clock is not None

    def observe(self, clock: Seconds, at: Seconds) -> None:
        """Record the worker's clock from a response received at `at`.

        Responses may arrive out of order; the latest estimate is kept.
        """
        if self._clock is None or clock >= self.clock_at(at):
            self._clock = clock
            self._observed_at = at

    def clock_at(self, now: Seconds) -> Seconds:
        """Return the estimate of the worker's clock at `now`."""
        if self._clock is None:
            return -_NEVER
        since_observed = now - self._observed_at
        return self._clock + since_observed

    def renew(self, now: Seconds) -> Seconds:
        """Return the deadline to request, on the worker's clock."""
        return self.extend_to(self.clock_at(now) + self._max_duration)

    def extend_to(self, deadline: Seconds) -> Seconds:
        """Extend the lease to the deadline of an order about to be sent."""
        self._deadline = max(self._deadline, deadline)
        return deadline

    def adopt(self, now: Seconds) -> None:
        """Account for inherited runs, which a previous owner has leased."""
        self.extend_to(self.clock_at(now) + self._max_duration)

    def expired(self, now: Seconds) -> bool:
        """Return whether every run under the lease has certainly ended.

        A worker that has responded accepts no more renewals from a previous
        owner, so `prior_leases_end` applies only to one that never did.
        """
        if self._clock is None:
            return now > self._prior_leases_end
        since_observed = (now - self._observed_at) * (1 - MAX_CLOCK_SLOWDOWN)
        return self._clock + since_observed > self._deadline
