"""Questions for advice, spread over the machines of the system.

The service deals with one call at a time for each machine that calls. So each
machine is a lane with at most one call in it, the rest wait here, most urgent
first. Long calls keep out of as many lanes as short ones used at their last
peak, so that short ones find a lane at once.
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
    PendingAnswer,
    Question,
    QueuedAdviceRequest,
)
from orchidrail.shard.decaying_peak import DecayingPeak
from orchidrail.types import InstanceId, Seconds, WorkerId
from orchidrail.workers.port import Advice

_log = structlog.get_logger()
#: Calls above this length keep out of the quick lanes.
_LONG_CALL: Seconds = 0.15
#: Most of the lanes that are ever kept from long calls, as a share.
_MAX_RESERVED_SHARE = 0.4
#: Time beyond the expected one after which a call is given up.
_TIMEOUT_MARGIN: Seconds = 1.0
#: Factor on the expected time, since the service may be slow.
_TIMEOUT_FACTOR = 2
#: A call that takes longer than so many times what is expected, and this much
#: more, is made through another lane as well: its answer travels in 4 ms, and
#: an urgent job has 0.3 to 0.6 s to spare.
_LATE_FACTOR = 1.25
_LATE_AFTER: Seconds = 0.15
_MOMENT: Seconds = 0.01
#: When a long question that still waits may take any lane.
_LATE_LONG_AFTER: Seconds = MAX_QUEUE_WAIT + _MOMENT
#: For how long a lane that failed is not used.
_LANE_BACKOFF: Seconds = 1.0
_TRIES = 4

CallAdvice = Callable[
    [InstanceId, str, list[WorkerId], Seconds],
    Awaitable[Advice | None],
]


class AdviceDispatcher:
    """Deals questions out to lanes.

    Parameters
    ----------
    ask : callable
        Asks through the named machine.
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, ask: CallAdvice, clock: Callable[[], Seconds]) -> None:
        """Start without lanes."""
        self._ask = ask
        self._clock = clock
        self._short = AdviceQueue(clock)
        self._long = AdviceQueue(clock)
        self._lanes: set[InstanceId] = set()
        self._idle: list[InstanceId] = []
        self._busy: set[InstanceId] = set()
        self._resting: set[InstanceId] = set()
        self._short_calls = 0
        self._long_calls = 0
        self._short_peak = DecayingPeak()
        self._tasks = BackgroundTasks('call for advice')

    def set_advice_lanes(self, lanes: list[InstanceId]) -> None:
        """Use these machines from now on."""
        self._lanes = set(lanes)
        free = self._lanes - self._busy - self._resting
        self._idle = sorted(free)
        self._deal()

    @property
    def lanes(self) -> int:
        """How many machines can be asked through."""
        return len(self._lanes)

    async def ask(self, question: Question) -> Advice | None:
        """Return the advice, or None if it can't be had."""
        for _ in range(_TRIES):
            pending = PendingAnswer()
            self._put(question, pending)
            advice = await pending.future
            if advice is not None or not question.needed():
                return advice
        return None

    def load(self) -> dict[str, int]:
        """Return how busy the lanes are."""
        return {
            'lanes': len(self._lanes),
            'busy_lanes': len(self._busy),
            'short_calls': self._short_calls,
            'long_calls': self._long_calls,
            'questions': len(self._short) + len(self._long),
        }

    def close(self) -> None:
        """Give up all calls in progress."""
        self._tasks.close()

    def _put(self, question: Question, pending: PendingAnswer) -> None:
        waiting = QueuedAdviceRequest(question, pending, self._clock())
        long = question.duration > _LONG_CALL
        (self._long if long else self._short).put(waiting)
        self._deal()
        if long:
            loop = asyncio.get_running_loop()
            loop.call_later(_LATE_LONG_AFTER, self._deal)

    def _kept_from_long(self) -> int:
        """Return how many lanes long calls leave to short ones."""
        count = len(self._lanes)
        wanted = math.ceil(self._short_peak.at(self._clock()))
        return max(
            min(count - 1, 1), min(wanted, int(count * _MAX_RESERVED_SHARE))
        )

    def _deal(self) -> None:
        """Give idle lanes what waits."""
        while self._idle:
            waiting = self._take()
            if waiting is None:
                return
            lane = self._idle.pop()
            self._busy.add(lane)
            self._tasks.spawn(self._call(lane, waiting))

    def _take(self) -> QueuedAdviceRequest | None:
        """Take a short call, else a long one.

        One that is late may take any lane that is idle. Where there is but one
        lane it goes first, since short ones would else keep it for good.
        """
        lines = [self._short]
        if self._long_is_late():
            lines.insert(0 if len(self._lanes) == 1 else 1, self._long)
        elif self._long_allowed():
            lines.append(self._long)
        taken = (line.take() for line in lines)
        return next(filter(None, taken), None)

    def _long_is_late(self) -> bool:
        since = self._long.oldest_since()
        return since is not None and self._clock() - since > MAX_QUEUE_WAIT

    def _long_allowed(self) -> bool:
        return self._long_calls < len(self._lanes) - self._kept_from_long()

    async def _call(
        self, lane: InstanceId, waiting: QueuedAdviceRequest
    ) -> None:
        question = waiting.question
        advice: Advice | None = None
        self._count_call(question, 1)
        self._short_peak.note(self._short_calls, self._clock())
        late = asyncio.get_running_loop().call_later(
            question.duration * _LATE_FACTOR + _LATE_AFTER,
            self._ask_again,
            waiting,
        )
        try:
            with question.during_call():
                advice = await self._ask(
                    lane,
                    question.step_key,
                    question.workers,
                    question.duration * _TIMEOUT_FACTOR + _TIMEOUT_MARGIN,
                )
        finally:
            late.cancel()
            self._end_call(lane, waiting, advice)
        if advice is None:
            _log.info('no advice', lane=lane, step=question.step_key)
        self._deal()

    def _ask_again(self, waiting: QueuedAdviceRequest) -> None:
        """Ask through another lane beside a call that is late.

        The lane's machine, or a connection on the way, may be silent for good.
        Asking twice changes nothing; the first answer counts.
        """
        if waiting.pending.calls == 1 and waiting.of_use():
            self._put(waiting.question, waiting.pending)

    def _end_call(
        self,
        lane: InstanceId,
        waiting: QueuedAdviceRequest,
        advice: Advice | None,
    ) -> None:
        self._count_call(waiting.question, -1)
        waiting.pending.end_call(advice)
        self._free(lane, rests=advice is None)

    def _count_call(self, question: Question, change: int) -> None:
        if question.duration > _LONG_CALL:
            self._long_calls += change
        else:
            self._short_calls += change

    def _free(self, lane: InstanceId, *, rests: bool) -> None:
        self._busy.discard(lane)
        if rests:
            self._resting.add(lane)
            loop = asyncio.get_running_loop()
            loop.call_later(_LANE_BACKOFF, self._end_rest, lane)
        elif lane in self._lanes:
            self._idle.append(lane)

    def _end_rest(self, lane: InstanceId) -> None:
        self._resting.discard(lane)
        if lane in self._lanes and lane not in self._busy:
            self._idle.append(lane)
        self._deal()
