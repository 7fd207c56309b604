"""Stop orders, repeated until the end of their run is known."""

from __future__ import annotations

import asyncio

import structlog

from orchidrail.background_tasks import BackgroundTasks
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.types import Seconds
from orchidrail.workers.port import OrderResult

_log = structlog.get_logger()
_STOP_INTERVAL: Seconds = 0.3
#: How often the interval doubles while the worker answers.
_MAX_STOP_DOUBLINGS = 3
#: Number of answered stop orders after which a run still active is reported.
_REPORTED_STOPS = 6
#: Results after which the same order may soon succeed.
_TRANSIENT_RESULTS = frozenset(
    (OrderResult.NOT_SENT, OrderResult.UNKNOWN, OrderResult.UNHEALTHY)
)


class RunStops:
    """Orders stops, and records from when an absent run has ended.

    Parameters
    ----------
    state : ShardState
    stop_duration : float
        Seconds after which a stopped run has certainly ended.
    """

    def __init__(self, state: ShardState, stop_duration: Seconds) -> None:
        """Start without stop orders."""
        self._state = state
        self._stop_duration = stop_duration
        self._tasks = BackgroundTasks('stop order')

    def close(self) -> None:
        """Cancel all orders in flight."""
        self._tasks.close()

    def order(self, tracked: TrackedWorker, run: PlacedRun) -> None:
        """Order the stop of a run; no-op if it was ordered before."""
        if not run.stopping:
            run.stopping = True
            self._tasks.spawn(self._repeat(tracked, run))

    async def _repeat(self, tracked: TrackedWorker, run: PlacedRun) -> None:
        """Repeat the stop order until the end is known.

        The lease is renewed meanwhile. A run that continues stays allocated,
        and may keep its whole worker from getting work.
        """
        answered = 0
        while tracked.holds(run) and not tracked.session.terminated:
            answer = await tracked.session.stop(run.key)
            if answer.result is OrderResult.FENCED:
                return
            if answer.result is OrderResult.TAKEN and not run.stop_confirmed:
                # The worker won't start the run any more; an active run stays
                # allocated until it has stopped. Only the first confirmation
                # counts, or each would postpone the release of an absent run.
                run.stop_confirmed = True
                run.confirmed_at = self._state.clock() + self._stop_duration
            if answer.result not in _TRANSIENT_RESULTS:
                answered += 1
                if answered == _REPORTED_STOPS:
                    self._report_not_stopped(tracked, run, answer.result)
            await asyncio.sleep(_stop_interval(answered))

    def _report_not_stopped(
        self, tracked: TrackedWorker, run: PlacedRun, result: OrderResult
    ) -> None:
        self._state.metrics.listings.runs_not_stopped.inc()
        _log.warning(
            'run not stopped',
            task=run.key.task,
            run=run.key.run,
            worker=tracked.worker,
            orders=_REPORTED_STOPS,
            result=result.value,
        )


def _stop_interval(answered: int) -> Seconds:
    """Return the pause after a stop order, by how many were answered.

    Examples
    --------
    >>> [_stop_interval(answered) for answered in (0, 1, 2, 3, 4, 9)]
    [0.3, 0.3, 0.6, 1.2, 2.4, 2.4]
    """
    doublings = min(_MAX_STOP_DOUBLINGS, max(0, answered - 1))
    return _STOP_INTERVAL * 2**doublings
