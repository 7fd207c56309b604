"""Questions for advice, spread over the machines of the system.

The service deals with one call at a time for each machine that calls. So each
machine is a lane with at most one call in it, the rest wait here, most urgent
first. Long calls keep out of as many lanes as short ones used at their last
peak, so that short ones find a lane at once.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
from collections.abc import Awaitable, Callable
from operator import attrgetter
from typing import NamedTuple

import structlog

from orchidrail.shard.fading_peak import FadingPeak
from orchidrail.tasks import TaskSet
from orchidrail.types import InstanceId, Seconds, WorkerId
from orchidrail.workers.port import Advice

_log = structlog.get_logger()
#: Calls above this length keep out of the quick lanes.
_LONG: Seconds = 0.15
#: Most of the lanes that are ever kept from long calls, as a share.
_MOST_KEPT = 0.4
#: Of so many calls one goes to the question that has waited longest, so that
#: none waits for good while more pressing ones keep coming.
_OLDEST_EVERY = 4
#: Time beyond the expected one after which a call is given up.
_SLACK: Seconds = 1.0
#: Factor on the expected time, since the service may be slow.
_PATIENCE = 2
#: For how long a lane that failed is not used.
_LANE_REST: Seconds = 1.0
_TRIES = 4

AskThrough = Callable[
    [InstanceId, str, list[WorkerId], Seconds],
    Awaitable[Advice | None],
]


def _always() -> bool:
    return True


class Question(NamedTuple):
    """Which of `workers` may run the step; `rank` orders the questions.

    Parameters
    ----------
    needed : callable
        Whether the answer would still be of use.
    """

    step_key: str
    workers: list[WorkerId]
    duration: Seconds
    rank: tuple[float, ...]
    needed: Callable[[], bool] = _always


class _Waiting(NamedTuple):
    rank: tuple[float, ...]
    number: int
    question: Question
    answer: asyncio.Future[Advice | None]


class AdviceDesk:
    """Deals questions out to lanes.

    Parameters
    ----------
    ask : callable
        Asks through the named machine.
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, ask: AskThrough, clock: Callable[[], Seconds]) -> None:
        """Start without lanes."""
        self._ask = ask
        self._clock = clock
        self._numbers = itertools.count()
        self._waiting: list[_Waiting] = []
        self._lanes: list[InstanceId] = []
        self._busy: set[InstanceId] = set()
        self._rests_until_by_lane: dict[InstanceId, Seconds] = {}
        self._short_calls = 0
        self._calls = 0
        self._short_peak = FadingPeak()
        self._tasks = TaskSet('call for advice')

    def use_lanes(self, lanes: list[InstanceId]) -> None:
        """Use these machines from now on."""
        self._lanes = sorted(lanes)
        self._deal()

    @property
    def idle_lanes(self) -> int:
        """How many machines could be asked through at once now."""
        taken = len(self._busy) + len(self._waiting)
        return max(0, len(self._lanes) - taken)

    async def ask(self, question: Question) -> Advice | None:
        """Return the advice, or None if it can't be had."""
        for _ in range(_TRIES):
            answer: asyncio.Future[Advice | None] = (
                asyncio.get_running_loop().create_future()
            )
            waiting = _Waiting(
                question.rank,
                next(self._numbers),
                question,
                answer,
            )
            heapq.heappush(self._waiting, waiting)
            self._deal()
            advice = await answer
            if advice is not None or not question.needed():
                return advice
        return None

    def load(self) -> dict[str, int]:
        """Return how busy the lanes are."""
        return {
            'lanes': len(self._lanes),
            'busy_lanes': len(self._busy),
            'questions': len(self._waiting),
        }

    def close(self) -> None:
        """Give up all calls in progress."""
        self._tasks.close()

    def _kept_from_long(self) -> int:
        """Return how many lanes long calls leave to short ones."""
        count = len(self._lanes)
        wanted = math.ceil(self._short_peak.at(self._clock()))
        return max(min(count - 1, 1), min(wanted, int(count * _MOST_KEPT)))

    def _deal(self) -> None:
        postponed: list[_Waiting] = []
        while self._waiting:
            waiting = self._take_next()
            if not waiting.question.needed():
                waiting.answer.set_result(None)
                continue
            lane = self._free_lane(waiting.question.duration)
            if lane is None:
                postponed.append(waiting)
                if len(postponed) > len(self._lanes):
                    break
                continue
            self._calls += 1
            self._busy.add(lane)
            self._tasks.spawn(self._call(lane, waiting))
        for waiting in postponed:
            heapq.heappush(self._waiting, waiting)

    def _take_next(self) -> _Waiting:
        """Take the most pressing question, now and then the oldest."""
        if (self._calls + 1) % _OLDEST_EVERY:
            return heapq.heappop(self._waiting)
        oldest = min(self._waiting, key=attrgetter('number'))
        self._waiting.remove(oldest)
        heapq.heapify(self._waiting)
        return oldest

    def _free_lane(self, duration: Seconds) -> InstanceId | None:
        now = self._clock()
        count = len(self._lanes)
        usable = self._lanes
        if duration > _LONG and count > 1:
            usable = self._lanes[: count - self._kept_from_long()]
        elif count > 1:
            # Short calls leave the lanes of long ones to the last.
            usable = list(reversed(self._lanes))
        for lane in usable:
            rests = self._rests_until_by_lane.get(lane, 0) > now
            if lane not in self._busy and not rests:
                return lane
        return None

    async def _call(self, lane: InstanceId, waiting: _Waiting) -> None:
        question = waiting.question
        advice = None
        short = question.duration <= _LONG
        self._short_calls += short
        self._short_peak.note(self._short_calls, self._clock())
        try:
            advice = await self._ask(
                lane,
                question.step_key,
                question.workers,
                question.duration * _PATIENCE + _SLACK,
            )
        finally:
            self._busy.discard(lane)
            self._short_calls -= short
            if not waiting.answer.done():
                waiting.answer.set_result(advice)
        if advice is None:
            _log.info('no advice', lane=lane, step=question.step_key)
            self._rests_until_by_lane[lane] = self._clock() + _LANE_REST
            asyncio.get_running_loop().call_later(_LANE_REST, self._deal)
        self._deal()
