"""Correction of forecasts by how earlier ones turned out.

Answers delays that the model of the room does not know: waits for advice, a
busy owner, workers that are slower than expected. Jobs that an outage of the
journal held up say nothing about those that come after it.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from orchidrail.admission.forecast import StartRange
from orchidrail.types import JobId, QueueName, Seconds

#: Weight of one job in the mean error of its queue.
_WEIGHT = 0.1
#: Time in which a correction decays to a half without observations: about the
#: time in which a burst comes and goes.
_HALF_LIFE: Seconds = 5.0
#: Bounds of the correction. A longer delay than the upper one shows in the
#: model as waiting work.
_MIN_BIAS: Seconds = -2.0
_MAX_BIAS: Seconds = 5.0
#: Spread of the error of a queue without observations.
_UNKNOWN_SPREAD: Seconds = 1.0
#: Number of forecasts whose outcome is awaited.
_MAX_OPEN = 4096


class _OpenForecast(NamedTuple):
    queue: QueueName
    made_at: Seconds
    start: Seconds


class _Error(NamedTuple):
    bias: Seconds
    deviation: Seconds
    noted_at: Seconds


class ForecastAccuracy:
    """Mean and deviation of the forecast error by queue, decaying.

    Examples
    --------
    >>> accuracy, queue = ForecastAccuracy(), QueueName('q')
    >>> for number in range(60):
    ...     accuracy.expect(JobId(str(number)), queue, start=0.0, now=0.0)
    ...     error = accuracy.note_start(JobId(str(number)), now=1.0)
    >>> round(accuracy.correction(queue, now=1.0).expected, 1)
    1.0
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._open_by_job: OrderedDict[JobId, _OpenForecast] = OrderedDict()
        self._error_by_queue: dict[QueueName, _Error] = {}

    def expect(
        self, job_id: JobId, queue: QueueName, start: Seconds, now: Seconds
    ) -> None:
        """Record the modelled start of an accepted job."""
        self._open_by_job[job_id] = _OpenForecast(queue, now, start)
        if len(self._open_by_job) > _MAX_OPEN:
            self._open_by_job.popitem(last=False)

    def note_start(self, job_id: JobId, now: Seconds) -> Seconds | None:
        """Record a job's first start; return the error of its forecast.

        Returns
        -------
        Seconds by which it started later than modelled, None if there was no
        forecast.
        """
        forecast = self._open_by_job.pop(job_id, None)
        if forecast is None:
            return None
        error = now - forecast.made_at - forecast.start
        known = self._decayed(forecast.queue, now)
        difference = error - known.bias
        bias = known.bias + _WEIGHT * difference
        deviation = known.deviation + _WEIGHT * (
            abs(difference) - known.deviation
        )
        self._error_by_queue[forecast.queue] = _Error(
            max(_MIN_BIAS, min(_MAX_BIAS, bias)), deviation, now
        )
        return error

    def discard_open(self) -> None:
        """Drop the open forecasts: something else held up their jobs."""
        self._open_by_job.clear()

    def correction(self, queue: QueueName, now: Seconds) -> StartRange:
        """Return what is to be added to a modelled start, seconds."""
        known = self._decayed(queue, now)
        return StartRange(known.bias - known.deviation, known.bias)

    def _decayed(self, queue: QueueName, now: Seconds) -> _Error:
        known = self._error_by_queue.get(queue)
        if known is None:
            return _Error(0, _UNKNOWN_SPREAD, now)
        kept = 2 ** (-max(0, now - known.noted_at) / _HALF_LIFE)
        deviation = _UNKNOWN_SPREAD + kept * (known.deviation - _UNKNOWN_SPREAD)
        return _Error(known.bias * kept, deviation, now)
