"""Spreading times, so that many callers or daemons don't act at once."""

from __future__ import annotations

from random import Random

from orchidrail.types import Seconds

_LEAST = 0.5
_MOST = 1.5


def jitter(random: Random, seconds: Seconds) -> Seconds:
    """Return a time between half of `seconds` and one and a half of it.

    Examples
    --------
    >>> 1 <= jitter(Random(1), 2) <= 3
    True
    """
    return round(seconds * random.uniform(_LEAST, _MOST), 3)
