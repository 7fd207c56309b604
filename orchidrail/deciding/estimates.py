"""Run-time estimates by tenant and class."""

from __future__ import annotations

from orchidrail.decaying_histogram import DecayingHistogram
from orchidrail.types import ClassName, Seconds, TenantId

_BUCKETS = 48
_MIN_BOUND: Seconds = 0.001
_GROWTH = 1.5


def _new_histogram() -> DecayingHistogram:
    return DecayingHistogram(_MIN_BOUND, _GROWTH, _BUCKETS)


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
        self._by_origin: dict[tuple[str, str], DecayingHistogram] = {}

    def add(
        self,
        tenant: TenantId,
        class_name: ClassName,
        seconds: Seconds,
    ) -> None:
        """Record one run time."""
        histogram = self._by_origin.setdefault(
            (tenant, class_name), _new_histogram()
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
