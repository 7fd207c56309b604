"""When a caller that was refused should come back."""

from __future__ import annotations

import math

from orchidrail.types import Seconds

#: Refusals name at least this; the header knows whole seconds only.
_LEAST: Seconds = 1
#: The longest outages of the site files last 9 s.
_MOST: Seconds = 4
#: Share of the time that refusals have lasted already which a caller is asked
#: to wait: what has lasted long may well last on, and callers try a few times.
_SHARE = 0.5


class ComeBack:
    """Follows for how long one gateway has had to refuse.

    Examples
    --------
    >>> come_back = ComeBack()
    >>> come_back.refuse(now=10), come_back.refuse(now=13)
    (1, 2)
    >>> come_back.accept()
    >>> come_back.refuse(now=14)
    1
    """

    def __init__(self) -> None:
        """Start without refusals."""
        self._since: Seconds | None = None

    def accept(self) -> None:
        """Take that a submission was accepted."""
        self._since = None

    def refuse(self, now: Seconds) -> Seconds:
        """Return after how many seconds a caller should come back."""
        if self._since is None:
            self._since = now
        wait = math.ceil(_SHARE * (now - self._since))
        return min(_MOST, max(_LEAST, wait))
