"""Durations of tasks as predicted from their callers' estimates, by queue."""

from __future__ import annotations

import math
from typing import NamedTuple

from orchidrail.types import QueueName, Seconds

#: Weight of one task in the moments of its queue: some hundred tasks count.
_WEIGHT = 0.01
#: Number of tasks before a queue's own moments are used.
_MIN_TASKS = 16
#: Standard deviations to the 0.1 and 0.9 quantiles of a normal distribution.
_QUANTILE_DEVIATIONS = 1.28
#: Variance of the logarithm of estimates below which they all count as equal.
_MIN_VARIANCE = 1e-6


class RatioRange(NamedTuple):
    """Range of a task's duration as a multiple of its estimate."""

    low: float
    median: float
    high: float


#: Estimates are rough: without observations they may be off by a factor of two.
_UNKNOWN = RatioRange(0.5, 1, 2)


class _Moments:
    """Decaying moments of the logarithms of estimates and durations."""

    def __init__(self) -> None:
        self.count = 0
        self.estimate: float = 0
        self.duration: float = 0
        self.estimate_variance: float = 0
        self.duration_variance: float = 0
        self.covariance: float = 0

    def add(self, estimate: float, duration: float) -> None:
        self.count += 1
        weight = max(_WEIGHT, 1 / self.count)
        kept = 1 - weight
        off_estimate = estimate - self.estimate
        off_duration = duration - self.duration
        self.estimate += weight * off_estimate
        self.duration += weight * off_duration
        self.estimate_variance = kept * (
            self.estimate_variance + weight * off_estimate**2
        )
        self.duration_variance = kept * (
            self.duration_variance + weight * off_duration**2
        )
        self.covariance = kept * (
            self.covariance + weight * off_estimate * off_duration
        )

    def predict(self, estimate: float) -> tuple[float, float]:
        """Return the mean and deviation of a duration's logarithm."""
        if self.estimate_variance < _MIN_VARIANCE:
            mean = self.duration + estimate - self.estimate
            return mean, math.sqrt(self.duration_variance)
        slope = self.covariance / self.estimate_variance
        left = self.duration_variance - slope * self.covariance
        mean = self.duration + slope * (estimate - self.estimate)
        return mean, math.sqrt(max(0, left))


class TaskDurations:
    """Learns by queue what tasks take, and what their estimates say of it.

    Durations are predicted by a linear regression of logarithms, since the
    durations of a queue may vary less than the estimates: a task with a very
    short estimate then is not much shorter than the others.

    Examples
    --------
    >>> durations = TaskDurations()
    >>> durations.of(QueueName('q'), estimate=1.0)
    RatioRange(low=0.5, median=1, high=2)
    >>> for _ in range(40):
    ...     durations.note(QueueName('q'), duration=3.0, estimate=1.0)
    >>> round(durations.of(QueueName('q'), estimate=1.0).median, 3)
    3.0
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._moments_by_queue: dict[QueueName, _Moments] = {}

    def note(
        self, queue: QueueName, duration: Seconds, estimate: Seconds
    ) -> None:
        """Record the duration of a task that succeeded."""
        if duration <= 0 or estimate <= 0:
            return
        moments = self._moments_by_queue.get(queue)
        if moments is None:
            moments = _Moments()
            self._moments_by_queue[queue] = moments
        moments.add(math.log(estimate), math.log(duration))

    def of(self, queue: QueueName, estimate: Seconds) -> RatioRange:
        """Return the range of a task's duration relative to its estimate."""
        moments = self._moments_by_queue.get(queue)
        known = moments is not None and moments.count >= _MIN_TASKS
        if moments is None or not known or estimate <= 0:
            return _UNKNOWN
        mean, deviation = moments.predict(math.log(estimate))
        median = math.exp(mean) / estimate
        factor = math.exp(_QUANTILE_DEVIATIONS * deviation)
        return RatioRange(median / factor, median, median * factor)

    def longest(self, queue: QueueName) -> Seconds:
        """Return the 0.9 quantile of durations; 0 if they are not known."""
        moments = self._moments_by_queue.get(queue)
        if moments is None or moments.count < _MIN_TASKS:
            return 0
        deviation = math.sqrt(moments.duration_variance)
        return math.exp(moments.duration + _QUANTILE_DEVIATIONS * deviation)
