"""Dispatches advice requests over the instances of the cell.

The advice service handles one call at a time per calling instance. Each
instance is therefore a lane with at most one call in flight; other requests
are queued here, most urgent first. As many lanes as short calls used at their
last peak are reserved for them, so that a short call gets a lane at once.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable

import structlog

from orchidrail.background_tasks import BackgroundTasks
from orchidrail.shard.advice_queue import (
    MAX_QUEUE_WAIT,
    AdviceQueue,
    AdviceRequest,
    PendingReply,
    QueuedAdviceRequest,
)
from orchidrail.shard.decaying_peak import DecayingPeak
from orchidrail.types import InstanceId, Seconds, WorkerId
from orchidrail.workers.port import Advice

_log = structlog.get_logger()
#: Calls expected to take longer than this may not use the reserved lanes.
_LONG_CALL: Seconds = 0.15
#: Largest share of the lanes that is reserved for short calls.
_MAX_RESERVED_SHARE = 0.4
#: Part of the call timeout that does not depend on the expected duration.
_TIMEOUT_MARGIN: Seconds = 1.0
#: Call timeout as a multiple of the expected duration: the service may be slow.
_TIMEOUT_FACTOR = 2
#: A call is hedged through a second lane once it exceeds its expected duration
#: by this factor plus this margin. Network latency is only 4 ms, and an urgent
#: job has 0.3 to 0.6 s of slack.
_HEDGE_FACTOR = 1.25
_HEDGE_MARGIN: Seconds = 0.15
_TIMER_MARGIN: Seconds = 0.01
#: When a long request that is still queued may take any lane.
_LONG_OVERDUE_AFTER: Seconds = MAX_QUEUE_WAIT + _TIMER_MARGIN
#: For how long a lane is not used after a failed call.
_LANE_BACKOFF: Seconds = 1.0
_MAX_ATTEMPTS = 4

CallAdvice = Callable[
    [InstanceId, str, list[WorkerId], Seconds],
    Awaitable[Advice | None],
]


class AdviceDispatcher:
    """Assigns advice requests to lanes.

    Parameters
    ----------
    ask : callable
        Calls the advice service through the given instance.
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, ask: CallAdvice, clock: Callable[[], Seconds]) -> None:
        """Start without lanes."""
        self._ask = ask
        self._clock = clock
        self._short_queue = AdviceQueue(clock)
        self._long_queue = AdviceQueue(clock)
        self._lanes: set[InstanceId] = set()
        self._idle: list[InstanceId] = []
        self._busy: set[InstanceId] = set()
        self._in_backoff: set[InstanceId] = set()
        self._short_calls = 0
        self._long_calls = 0
        self._short_peak = DecayingPeak()
        self._tasks = BackgroundTasks('advice call')

    def set_advice_lanes(self, lanes: list[InstanceId]) -> None:
        """Replace the set of lanes."""
        self._lanes = set(lanes)
        free = self._lanes - self._busy - self._in_backoff
        self._idle = sorted(free)
        self._dispatch()

    @property
    def lanes(self) -> int:
        """Number of instances through which the service can be called."""
        return len(self._lanes)

    async def ask(self, request: AdviceRequest) -> Advice | None:
        """Return the advice, None if it is unavailable or no longer needed."""
        for _ in range(_MAX_ATTEMPTS):
            pending = PendingReply()
            self._enqueue(request, pending)
            advice = await pending.future
            if advice is not None or not request.needed():
                return advice
        return None

    def load(self) -> dict[str, int]:
        """Return the utilization of the lanes, for the load report."""
        return {
            'lanes': len(self._lanes),
            'busy_lanes': len(self._busy),
            'short_calls': self._short_calls,
            'long_calls': self._long_calls,
            'questions': len(self._short_queue) + len(self._long_queue),
        }

    def close(self) -> None:
        """Cancel all calls in flight."""
        self._tasks.close()

    def _enqueue(self, request: AdviceRequest, pending: PendingReply) -> None:
        queued = QueuedAdviceRequest(request, pending, self._clock())
        long = request.duration > _LONG_CALL
        (self._long_queue if long else self._short_queue).put(queued)
        self._dispatch()
        if long:
            loop = asyncio.get_running_loop()
            loop.call_later(_LONG_OVERDUE_AFTER, self._dispatch)

    def _reserved_for_short(self) -> int:
        """Return how many lanes are reserved for short calls."""
        count = len(self._lanes)
        wanted = math.ceil(self._short_peak.at(self._clock()))
        return max(
            min(count - 1, 1), min(wanted, int(count * _MAX_RESERVED_SHARE))
        )

    def _dispatch(self) -> None:
        """Assign queued requests to idle lanes."""
        while self._idle:
            queued = self._next_request()
            if queued is None:
                return
            lane = self._idle.pop()
            self._busy.add(lane)
            self._tasks.spawn(self._call(lane, queued))

    def _next_request(self) -> QueuedAdviceRequest | None:
        """Dequeue a short request, else a long one.

        A long request that is overdue may take any idle lane. With a single
        lane it goes first, as short requests could otherwise starve it.
        """
        queues = [self._short_queue]
        if self._long_is_overdue():
            queues.insert(0 if len(self._lanes) == 1 else 1, self._long_queue)
        elif self._long_may_start():
            queues.append(self._long_queue)
        dequeued = (queue.take() for queue in queues)
        return next(filter(None, dequeued), None)

    def _long_is_overdue(self) -> bool:
        since = self._long_queue.oldest_since()
        return since is not None and self._clock() - since > MAX_QUEUE_WAIT

    def _long_may_start(self) -> bool:
        return self._long_calls < len(self._lanes) - self._reserved_for_short()

    async def _call(
        self, lane: InstanceId, queued: QueuedAdviceRequest
    ) -> None:
        request = queued.request
        advice: Advice | None = None
        self._count_call(request, 1)
        self._short_peak.record(self._short_calls, self._clock())
        hedge_timer = asyncio.get_running_loop().call_later(
            request.duration * _HEDGE_FACTOR + _HEDGE_MARGIN,
            self._hedge,
            queued,
        )
        try:
            with request.during_call():
                advice = await self._ask(
                    lane,
                    request.step_key,
                    request.workers,
                    request.duration * _TIMEOUT_FACTOR + _TIMEOUT_MARGIN,
                )
        finally:
            hedge_timer.cancel()
            self._end_call(lane, queued, advice)
        if advice is None:
            _log.info('no advice', lane=lane, step=request.step_key)
        self._dispatch()

    def _hedge(self, queued: QueuedAdviceRequest) -> None:
        """Repeat a slow call through another lane.

        The lane's instance or a connection on the route may have stopped
        responding. Calls are idempotent; the first reply is used.
        """
        if queued.pending.calls == 1 and queued.is_needed():
            self._enqueue(queued.request, queued.pending)

    def _end_call(
        self,
        lane: InstanceId,
        queued: QueuedAdviceRequest,
        advice: Advice | None,
    ) -> None:
        self._count_call(queued.request, -1)
        queued.pending.end_call(advice)
        self._release_lane(lane, failed=advice is None)

    def _count_call(self, request: AdviceRequest, change: int) -> None:
        if request.duration > _LONG_CALL:
            self._long_calls += change
        else:
            self._short_calls += change

    def _release_lane(self, lane: InstanceId, *, failed: bool) -> None:
        self._busy.discard(lane)
        if failed:
            self._in_backoff.add(lane)
            loop = asyncio.get_running_loop()
            loop.call_later(_LANE_BACKOFF, self._end_backoff, lane)
        elif lane in self._lanes:
            self._idle.append(lane)

    def _end_backoff(self, lane: InstanceId) -> None:
        self._in_backoff.discard(lane)
        if lane in self._lanes and lane not in self._busy:
            self._idle.append(lane)
        self._dispatch()
