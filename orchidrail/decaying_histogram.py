"""Histogram with geometric buckets in which old values lose weight."""

from __future__ import annotations

import math

#: Counts are halved at this total.
_MAX_TOTAL = 1024


class DecayingHistogram:
    """Counts positive values in geometrically growing buckets.

    Parameters
    ----------
    min_bound : float
        Upper bound of the lowest bucket.
    growth : float
        Ratio of the bounds of adjacent buckets.
    buckets : int
    max_total : int
        Number of values at which all counts are halved.

    Examples
    --------
    >>> histogram = DecayingHistogram(0.001, 1.5, 48)
    >>> for _ in range(10):
    ...     histogram.add(2.0)
    >>> 2.0 <= histogram.quantile(0.5) < 3.0
    True
    """

    def __init__(
        self,
        min_bound: float,
        growth: float,
        buckets: int,
        max_total: int = _MAX_TOTAL,
    ) -> None:
        """Start without values."""
        self._min_bound = min_bound
        self._growth = growth
        self._max_total = max_total
        self.counts = [0 for _ in range(buckets)]
        self.total = 0

    def add(self, value: float) -> None:
        """Count one value."""
        self.counts[self._bucket(value)] += 1
        self.total += 1
        if self.total >= self._max_total:
            self.counts = [count // 2 for count in self.counts]
            self.total = sum(self.counts)

    def quantile(self, share: float) -> float:
        """Return the upper bound of the bucket of quantile `share`."""
        target = share * self.total
        cumulative = 0
        for index, count in enumerate(self.counts):
            cumulative += count
            if cumulative >= target:
                return self._bound(index)
        return self._bound(len(self.counts) - 1)

    def _bound(self, index: int) -> float:
        return float(self._min_bound * self._growth**index)

    def _bucket(self, value: float) -> int:
        if value <= self._min_bound:
            return 0
        index = math.ceil(math.log(value / self._min_bound, self._growth))
        return min(len(self.counts) - 1, index)
