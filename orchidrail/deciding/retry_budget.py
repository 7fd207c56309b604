"""Retry budget: limits retries to a share of successes."""

from __future__ import annotations

_MAX_TOKENS = 20.0
#: Tolerance for rounding errors in sums of shares.
_ROUNDING_TOLERANCE = 1e-9


class RetryBudget:
    """Token bucket that successes fill and retries drain.

    Parameters
    ----------
    share : float
        Tokens per success: retries per success in the long run.

    Examples
    --------
    >>> budget = RetryBudget(share=0.1, initial=1)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> for _ in range(10):
    ...     budget.earn()
    >>> budget.spend()
    True
    """

    def __init__(self, share: float = 0.1, initial: float = 10) -> None:
        """Start with `initial` tokens."""
        self._share = share
        self._tokens = initial

    def earn(self) -> None:
        """Add the tokens of one success, up to the limit."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self._share)

    def spend(self) -> bool:
        """Take the token of one retry; return False if there is none."""
        if self._tokens < 1 - _ROUNDING_TOLERANCE:
            return False
        self._tokens -= 1
        return True
