"""A worker's lease as seen by its holder.

The holder measures the lease from before it sent the renewal, less a margin
for clock drift; the worker measures it from when the renewal arrived. So the
lease always expires first at the holder, also after the holder was paused.
"""

from __future__ import annotations

import msgspec

from orchidrail.types import Epoch, Seconds

#: Assumed maximum fraction by which one monotonic clock outruns another.
MAX_CLOCK_DRIFT = 0.01


class HeldLease(msgspec.Struct, frozen=True):
    """One period of authority over a worker.

    Parameters
    ----------
    epoch : Epoch
        Given by the worker at acquisition.
    sequence : int
        Number of the latest renewal granted.
    sent_at : float
        Monotonic time in seconds just before that renewal was sent.
    ttl : float
        Seconds that the renewal requested.

    Examples
    --------
    >>> lease = HeldLease(epoch=Epoch(3), sequence=1, sent_at=10.0, ttl=2.0)
    >>> lease.valid(11.9), lease.valid(11.99)
    (True, False)
    >>> round(lease.remaining(11.0), 2)
    0.98
    """

    epoch: Epoch
    sequence: int
    sent_at: Seconds
    ttl: Seconds

    def remaining(self, now: Seconds) -> Seconds:
        """Return the seconds until the lease expires, never below zero."""
        return max(0, self.sent_at + self.ttl * (1 - MAX_CLOCK_DRIFT) - now)

    def valid(self, now: Seconds) -> bool:
        """Return whether the holder may act at monotonic time `now`."""
        return self.remaining(now) > 0

    def renewed(self, sequence: int, sent_at: Seconds) -> HeldLease:
        """Return the lease after the worker granted renewal `sequence`."""
        if sequence <= self.sequence:
            return self
        return msgspec.structs.replace(self, sequence=sequence, sent_at=sent_at)

    def ended(self) -> HeldLease:
        """Return the lease, expired."""
        return msgspec.structs.replace(self, ttl=0)
