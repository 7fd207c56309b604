"""Run-time estimates by tenant and class."""

from __future__ import annotations

import math

from orchidrail.types import ClassName, Seconds, TenantId

_BUCKETS = 48
_MIN_BOUND: Seconds = 0.001
_GROWTH = 1.5
#: Counts are halved at this total, so that old values lose weight.
_MAX_TOTAL = 1024


class _Histogram:
    """Histogram with geometrically growing bucket bounds."""

    def __init__(self) -> None:
        self.counts = [0 for _ in range(_BUCKETS)]
        self.total = 0

    def add(self, value: Seconds) -> None:
        """Count one value, in seconds."""
        self.counts[_bucket(value)] += 1
        self.total += 1
        if self.total >= _MAX_TOTAL:
            self.counts = [count // 2 for count in self.counts]
            self.total = sum(self.counts)

    def quantile(self, share: float) -> Seconds:
        """Return the upper bound of the bucket of quantile `share`."""
        target = share * self.total
        cumulative = 0
        for index, count in enumerate(self.counts):
            cumulative += count
            if cumulative >= target:
                return _MIN_BOUND * _GROWTH**index
        return _MIN_BOUND * _GROWTH ** (_BUCKETS - 1)


def _bucket(value: Seconds) -> int:
    if value <= _MIN_BOUND:
        return 0
    index = math.ceil(math.log(value / _MIN_BOUND, _GROWTH))
    return min(_BUCKETS - 1, index)


class RunTimes:
    """Bounded histograms of run times by tenant and class.

    Examples
    --------
    >>> times = RunTimes()
    >>> for _ in range(10):
    ...     times.add('uni', 'stack', 2.0)
    >>> 2.0 <= times.quantile('uni', 'stack', 0.5, default=0) < 3.0
    True
    >>> times.quantile('uni', 'other', 0.5, default=7)
    7
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._by_origin: dict[tuple[str, str], _Histogram] = {}

    def add(
        self,
        tenant: TenantId,
        class_name: ClassName,
        seconds: Seconds,
    ) -> None:
        """Record one run time."""
        histogram = self._by_origin.setdefault(
            (tenant, class_name), _Histogram()
        )
        histogram.add(seconds)

    def quantile(
        self,
        tenant: TenantId,
        class_name: ClassName,
        share: float,
        default: Seconds,
    ) -> Seconds:
        """Return a quantile of the run times; `default` if there are none."""
        histogram = self._by_origin.get((tenant, class_name))
        if histogram is None or histogram.total == 0:
            return default
        return histogram.quantile(share)
