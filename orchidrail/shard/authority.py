"""For how long an owner may act without hearing that it still owns.

Three times that belong together. A start is in the journal before it is sent,
so a new owner knows of it. While the store is away for all, an owner may start
unlogged work after `UNLOGGED_AFTER`; a new owner that saw the journal move
more recently than that knows that there is none. An owner that can't write
keeps runs alive for `RENEW_FOR`, then lets go; a new owner waits for that
before it gives up a run at a worker that it can't reach.
"""

from __future__ import annotations

from orchidrail.types import Seconds
from orchidrail.workers.lease import SLOWEST_CLOCK

#: Silence of the store after which starts go out unlogged. A peer's detection
#: of a dead owner (about 1 s) and its reading interval (0.5 s) stay below.
UNLOGGED_AFTER: Seconds = 2.0
#: The longest cuts and outages of the site files last 9 s.
RENEW_FOR: Seconds = 10.0


def doubt_until(taken_over_at: Seconds, longest_lease: Seconds) -> Seconds:
    """Return when runs leased by an earlier owner have surely ended.

    Examples
    --------
    >>> round(doubt_until(taken_over_at=100, longest_lease=6), 1)
    116.1
    """
    return taken_over_at + RENEW_FOR + longest_lease / (1 - SLOWEST_CLOCK)
