"""Bound on the work that preemption may throw away."""

from __future__ import annotations

from orchidrail.types import Seconds

#: Share of a service's cores that may go to work repeated after stops. It
#: keeps a stream of urgent work from consuming what the others have left.
_MAX_SHARE = 0.02
#: Time over which an unused budget accumulates. Urgent work comes in bursts of
#: a few seconds.
_WINDOW: Seconds = 5.0


class LossBudget:
    """Core-seconds that preemption may lose in one service.

    Examples
    --------
    >>> budget = LossBudget()
    >>> [budget.take(60, cores=1000, now=0) for _ in range(2)]
    [True, False]
    >>> budget.take(60, cores=1000, now=1)
    True
    """

    def __init__(self) -> None:
        """Start with a full budget."""
        self._spent: float = 0
        self._now: Seconds = 0

    def take(self, loss: float, cores: float, now: Seconds) -> bool:
        """Take `loss` core-seconds; return False if they exceed the budget.

        A full budget allows any single loss, which may be large for a small
        cell.

        Parameters
        ----------
        cores : float
            Cores of the service's workers.
        now : float
            Monotonic seconds.
        """
        rate = _MAX_SHARE * cores
        self._spent = max(0, self._spent - (now - self._now) * rate)
        self._now = now
        if self._spent and self._spent + loss > rate * _WINDOW:
            return False
        self._spent += loss
        return True
