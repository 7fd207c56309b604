"""Durations of tasks relative to their callers' estimates, by queue."""

from __future__ import annotations

from typing import NamedTuple

from orchidrail.decaying_histogram import DecayingHistogram
from orchidrail.types import QueueName, Seconds

#: Bounds of the ratios that are told apart: a hundredth to a hundred.
_MIN_RATIO = 0.01
_GROWTH = 1.1
_BUCKETS = 97
#: Number of tasks at which older ones lose half of their weight.
_MAX_TOTAL = 256
#: Number of tasks before a queue's own ratios are used.
_MIN_TASKS = 16
#: Quantiles between which a ratio is taken to be.
_LOW_SHARE, _HIGH_SHARE = 0.1, 0.9
_MEDIAN_SHARE = 0.5


class RatioRange(NamedTuple):
    """Range of a task's duration as a multiple of its estimate."""

    low: float
    median: float
    high: float


#: Estimates are rough: without observations they may be off by a factor of two.
_UNKNOWN = RatioRange(0.5, 1, 2)


class DurationRatios:
    """Learns by queue how far callers' estimates are off.

    Examples
    --------
    >>> ratios = DurationRatios()
    >>> ratios.of(QueueName('q'))
    RatioRange(low=0.5, median=1, high=2)
    >>> for _ in range(40):
    ...     ratios.note(QueueName('q'), duration=3.0, estimate=1.0)
    >>> 2.9 < ratios.of(QueueName('q')).median < 3.4
    True
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._histogram_by_queue: dict[QueueName, DecayingHistogram] = {}
        self._range_by_queue: dict[QueueName, RatioRange] = {}

    def note(
        self, queue: QueueName, duration: Seconds, estimate: Seconds
    ) -> None:
        """Record the duration of a task that succeeded."""
        if duration <= 0 or estimate <= 0:
            return
        histogram = self._histogram_by_queue.get(queue)
        if histogram is None:
            histogram = DecayingHistogram(
                _MIN_RATIO, _GROWTH, _BUCKETS, _MAX_TOTAL
            )
            self._histogram_by_queue[queue] = histogram
        histogram.add(duration / estimate)
        self._range_by_queue.pop(queue, None)

    def of(self, queue: QueueName) -> RatioRange:
        """Return the range of ratios of a queue."""
        found = self._range_by_queue.get(queue)
        if found is None:
            found = self._compute(queue)
            self._range_by_queue[queue] = found
        return found

    def _compute(self, queue: QueueName) -> RatioRange:
        histogram = self._histogram_by_queue.get(queue)
        if histogram is None or histogram.total < _MIN_TASKS:
            return _UNKNOWN
        return RatioRange(
            histogram.quantile(_LOW_SHARE),
            histogram.quantile(_MEDIAN_SHARE),
            histogram.quantile(_HIGH_SHARE),
        )
