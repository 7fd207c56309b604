"""Lease durations, and how long an owner renews without the store.

A start is in the journal before it is sent, so a new owner knows of all runs
that may be active. An owner that can't write keeps renewing leases for
`renewal_grace`, then steps down. A new owner that can't reach a worker waits
for that period and for the longest lease before it presumes the worker's runs
ended. While the store is unreachable for all peers, and peers of all zones send
heartbeats, no takeover can have happened, and the owner keeps renewing. A new
owner contacts all peers as it takes over, so within `MIN_RENEWAL_PERIOD` the
previous owner learns of it from a peer, or receives no heartbeat.
"""

from __future__ import annotations

from orchidrail.types import Seconds
from orchidrail.workers.run_lease import MAX_CLOCK_SLOWDOWN

#: Maximum lease, though the platform may allow more: a long-running task should
#: run again within 10 s of its worker's loss, and the end of a lease is
#: followed by a sweep (0.35 s), an advice request and a start (1 s). It
#: outlasts partitions of 6 s, as the last renewal is at most 0.8 s old.
_MAX_LEASE: Seconds = 8.0
#: How long runs are kept alive without the store: the longest partitions and
#: outages of the site files last 9 s, and the takeover after them takes 1 s
#: more.
_SURVIVED_OUTAGE: Seconds = 11.0
#: Renewals continue for at least this long; a peer counts as live for 1.2 s
#: after its heartbeat.
MIN_RENEWAL_PERIOD: Seconds = 2.0


def lease_duration(longest_allowed: Seconds) -> Seconds:
    """Return the duration of a lease, given the longest the platform allows.

    Examples
    --------
    >>> lease_duration(longest_allowed=6), lease_duration(longest_allowed=10)
    (6, 8.0)
    """
    return min(longest_allowed, _MAX_LEASE)


def renewal_grace(longest_lease: Seconds) -> Seconds:
    """Return how long after its last append an owner renews leases.

    The last renewal holds for a whole lease, so long leases need fewer.

    Examples
    --------
    >>> renewal_grace(longest_lease=6), renewal_grace(longest_lease=10)
    (5.0, 2.0)
    """
    return max(MIN_RENEWAL_PERIOD, _SURVIVED_OUTAGE - longest_lease)


def prior_leases_end(taken_over_at: Seconds, longest_lease: Seconds) -> Seconds:
    """Return when all runs leased by a previous owner have certainly ended.

    Examples
    --------
    >>> round(prior_leases_end(taken_over_at=100, longest_lease=6), 1)
    111.1
    """
    max_remaining = longest_lease / (1 - MAX_CLOCK_SLOWDOWN)
    return taken_over_at + renewal_grace(longest_lease) + max_remaining
