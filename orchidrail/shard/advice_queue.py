"""Questions that wait for a lane, most pressing first."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections import deque
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from typing import NamedTuple

from orchidrail.types import Seconds, WorkerId
from orchidrail.workers.port import Advice

#: Of so many questions taken one is the one that has waited longest.
_OLDEST_EVERY = 4
#: A question that has waited for longer goes first, the oldest of them. Work
#: may stand still for 3 s; the call itself, and a second one, take the rest.
MAX_QUEUE_WAIT: Seconds = 1.0


def _always() -> bool:
    return True


class Question(NamedTuple):
    """Which of `workers` may run the step; `rank` orders the questions.

    Parameters
    ----------
    needed : callable
        Whether the answer would still be of use.
    during_call : callable
        Returns what is entered for as long as it is being asked.
    """

    step_key: str
    workers: list[WorkerId]
    duration: Seconds
    rank: tuple[float, ...]
    needed: Callable[[], bool] = _always
    during_call: Callable[[], AbstractContextManager[None]] = nullcontext


class PendingAnswer:
    """Where the answer to a question goes that may be asked twice."""

    def __init__(self) -> None:
        """Wait for the answer."""
        self.future: asyncio.Future[Advice | None] = (
            asyncio.get_running_loop().create_future()
        )
        self.calls = 0

    def end_call(self, advice: Advice | None) -> None:
        """Take how a call ended; the first answer counts, or the last end."""
        self.calls -= 1
        if self.future.done():
            return
        if advice is not None or not self.calls:
            self.future.set_result(advice)


class QueuedAdviceRequest:
    """A question that waits for a lane or is being asked.

    Parameters
    ----------
    question : Question
    pending : PendingAnswer
        Where the answer goes.
    since : float
        When it began to wait, seconds of the steady clock.
    """

    def __init__(
        self,
        question: Question,
        pending: PendingAnswer,
        since: Seconds,
    ) -> None:
        """Count as one call."""
        pending.calls += 1
        self.since = since
        self.question = question
        self.pending = pending
        self.taken = False

    def of_use(self) -> bool:
        """Whether somebody waits for the answer and needs it."""
        return not self.pending.future.done() and self.question.needed()


class AdviceQueue:
    """Questions in order of their rank, and of their age.

    The most pressing go first, but none waits for long while others keep
    coming: late work is the least pressing, and would stand still.

    Each operation takes a time that grows with the logarithm of what waits:
    after a loss of power hundreds of steps ask at once.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        """Start empty."""
        self._clock = clock
        self._numbers = itertools.count()
        self._by_rank: list[
            tuple[tuple[float, ...], int, QueuedAdviceRequest]
        ] = []
        self._by_age: deque[QueuedAdviceRequest] = deque()
        self._waiting = 0
        self._taken = 0

    def __len__(self) -> int:
        """Return how many questions wait."""
        return self._waiting

    def oldest_since(self) -> Seconds | None:
        """Return since when the oldest question waits, None if none does."""
        while self._by_age and self._by_age[0].taken:
            self._by_age.popleft()
        return self._by_age[0].since if self._by_age else None

    def put(self, waiting: QueuedAdviceRequest) -> None:
        """Let a question wait."""
        self._waiting += 1
        entry = (waiting.question.rank, next(self._numbers), waiting)
        heapq.heappush(self._by_rank, entry)
        self._by_age.append(waiting)

    def take(self) -> QueuedAdviceRequest | None:
        """Take the next question of use; drop those that are not."""
        while self._waiting:
            oldest = self._is_turn_of_oldest()
            waiting = self._pop_oldest() if oldest else self._pop_first()
            self._waiting -= 1
            waiting.taken = True
            if waiting.of_use():
                self._taken += 1
                return waiting
            waiting.pending.end_call(None)
        return None

    def _is_turn_of_oldest(self) -> bool:
        if not (self._taken + 1) % _OLDEST_EVERY:
            return True
        since = self.oldest_since()
        return since is not None and self._clock() - since > MAX_QUEUE_WAIT

    def _pop_first(self) -> QueuedAdviceRequest:
        waiting = heapq.heappop(self._by_rank)[-1]
        while waiting.taken:
            waiting = heapq.heappop(self._by_rank)[-1]
        return waiting

    def _pop_oldest(self) -> QueuedAdviceRequest:
        waiting = self._by_age.popleft()
        while waiting.taken:
            waiting = self._by_age.popleft()
        return waiting
