"""Whether to wait for something that is away: an owner, or the journal.

Answers a change of the owner and an outage of the store, in which callers
could be held until they give up.
"""

from __future__ import annotations

from orchidrail.types import Seconds

#: Share of its objective up to which a caller may be told at once that its job
#: is not accepted. A later refusal has cost it the time to go elsewhere.
EARLY_SHARE = 0.25


def expected_remaining(away_for: Seconds, usual: Seconds = 0) -> Seconds:
    """Return how much longer an outage lasts, in the median.

    Nothing is known about how long outages last, so one that has lasted s
    seconds is as likely to end within s more as not. Up to its usual duration
    it is expected to last that long.

    Examples
    --------
    >>> expected_remaining(away_for=2), expected_remaining(0.5, usual=1)
    (2, 0.5)
    """
    return usual - away_for if away_for < usual else away_for


def worth_waiting(
    away_for: Seconds,
    can_wait: Seconds,
    usual: Seconds = 0,
) -> bool:
    """Whether a caller is held until an outage ends.

    Parameters
    ----------
    can_wait : float
        Seconds for which the caller waits and its job stays of use.

    Examples
    --------
    >>> worth_waiting(1, can_wait=2.9), worth_waiting(4, can_wait=2.9)
    (True, False)
    """
    return expected_remaining(away_for, usual) <= can_wait
