"""Random jitter, so that many callers or daemons don't act at the same time."""

from __future__ import annotations

from random import Random

from orchidrail.types import Seconds

_MIN_FACTOR = 0.5
_MAX_FACTOR = 1.5


def jitter(random: Random, seconds: Seconds) -> Seconds:
    """Return a random duration between 0.5 and 1.5 times `seconds`.

    Examples
    --------
    >>> 1 <= jitter(Random(1), 2) <= 3
    True
    """
    return round(seconds * random.uniform(_MIN_FACTOR, _MAX_FACTOR), 3)
