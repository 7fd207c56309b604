"""For how long an owner may act without hearing that it still owns.

A start is in the journal before it is sent, so a new owner knows of all that
may run. An owner that can't write goes on renewing leases for `renewal_grace`,
then lets go; a new owner that can't reach a worker waits for that, and for the
longest lease, before it gives up what runs there. While the store answers none
of the peers, and peers of all zones are heard, nobody can have taken over, and
the owner goes on renewing: a new one speaks to all as it takes over, so within
`LEAST_RENEWALS` the former hears of it from somebody, or hears nobody.
"""

from __future__ import annotations

from orchidrail.types import Seconds
from orchidrail.workers.run_lease import MAX_CLOCK_SLOWDOWN

#: Leases are no longer than this, though the platform may allow more: a task
#: that lasts is to run again within 10 s of its worker's loss, and the end of a
#: lease is followed by a sweep (0.35 s), advice and a start (1 s). Cuts of 6 s
#: are outlived: the last renewal is 0.8 s old at the most.
_LONGEST_LEASE: Seconds = 8.0
#: What runs is kept alive for so long without the store: the longest cuts and
#: outages of the site files last 9 s, a take-over after them 1 s more.
_OUTLIVES: Seconds = 11.0
#: Renewals go on for this long in any case; a peer counts as heard for 1.2 s.
LEAST_RENEWALS: Seconds = 2.0


def lease_duration(longest_allowed: Seconds) -> Seconds:
    """Return how long a lease lasts where the platform allows so much.

    Examples
    --------
    >>> lease_duration(longest_allowed=6), lease_duration(longest_allowed=10)
    (6, 8.0)
    """
    return min(longest_allowed, _LONGEST_LEASE)


def renewal_grace(longest_lease: Seconds) -> Seconds:
    """Return for how long after its last append an owner renews leases.

    The last renewal holds for a whole lease, so long leases need few.

    Examples
    --------
    >>> renewal_grace(longest_lease=6), renewal_grace(longest_lease=10)
    (5.0, 2.0)
    """
    return max(LEAST_RENEWALS, _OUTLIVES - longest_lease)


def prior_leases_end(taken_over_at: Seconds, longest_lease: Seconds) -> Seconds:
    """Return when runs leased by an earlier owner have surely ended.

    Examples
    --------
    >>> round(prior_leases_end(taken_over_at=100, longest_lease=6), 1)
    111.1
    """
    lasts = longest_lease / (1 - MAX_CLOCK_SLOWDOWN)
    return taken_over_at + renewal_grace(longest_lease) + lasts
