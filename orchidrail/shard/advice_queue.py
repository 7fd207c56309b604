"""Priority queue of advice requests that wait for a lane."""

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

#: Every n-th request dequeued is the oldest one, whatever its rank.
_OLDEST_FIRST_INTERVAL = 4
#: Requests that have been queued for longer go first, oldest first. A task may
#: be stalled for 3 s, of which the call and a possible retry take the rest.
MAX_QUEUE_WAIT: Seconds = 1.0


def _always() -> bool:
    return True


class AdviceRequest(NamedTuple):
    """Asks which of `workers` may run a step.

    Parameters
    ----------
    step_key : str
    workers : list of str
    duration : float
        Expected duration of the call, seconds.
    rank : tuple of float
        Requests of lower rank go first.
    needed : callable
        Returns whether the advice would still be used.
    during_call : callable
        Returns a context manager that is entered while a call is in flight.
    """

    step_key: str
    workers: list[WorkerId]
    duration: Seconds
    rank: tuple[float, ...]
    needed: Callable[[], bool] = _always
    during_call: Callable[[], AbstractContextManager[None]] = nullcontext


class PendingReply:
    """The reply to a request, for which several calls may be made."""

    def __init__(self) -> None:
        """Create a future for the reply."""
        self.future: asyncio.Future[Advice | None] = (
            asyncio.get_running_loop().create_future()
        )
        self.calls = 0

    def end_call(self, advice: Advice | None) -> None:
        """Resolve with the first advice, or None after the last failed call."""
        self.calls -= 1
        if self.future.done():
            return
        if advice is not None or not self.calls:
            self.future.set_result(advice)


class QueuedAdviceRequest:
    """A request that is queued for a lane or whose call is in flight.

    Parameters
    ----------
    request : AdviceRequest
    pending : PendingReply
        Receives the reply.
    since : float
        When it was queued, monotonic seconds.
    """

    def __init__(
        self,
        request: AdviceRequest,
        pending: PendingReply,
        since: Seconds,
    ) -> None:
        """Register a call with the pending reply."""
        pending.calls += 1
        self.since = since
        self.request = request
        self.pending = pending
        self.dequeued = False

    def is_needed(self) -> bool:
        """Whether the reply is still awaited and needed."""
        return not self.pending.future.done() and self.request.needed()


class AdviceQueue:
    """Advice requests ordered by rank, with aging.

    The most urgent requests go first, but none is starved by a steady flow of
    others: overdue work has the lowest urgency and would be stalled.

    Each operation takes logarithmic time, as hundreds of steps request advice
    at once after a power failure.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        """Start empty."""
        self._clock = clock
        self._sequence = itertools.count()
        self._by_rank: list[
            tuple[tuple[float, ...], int, QueuedAdviceRequest]
        ] = []
        self._by_age: deque[QueuedAdviceRequest] = deque()
        self._waiting = 0
        self._dequeue_count = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self._waiting

    def oldest_since(self) -> Seconds | None:
        """Return when the oldest request was queued, None if there is none."""
        while self._by_age and self._by_age[0].dequeued:
            self._by_age.popleft()
        return self._by_age[0].since if self._by_age else None

    def put(self, queued: QueuedAdviceRequest) -> None:
        """Add a request to the queue."""
        self._waiting += 1
        entry = (queued.request.rank, next(self._sequence), queued)
        heapq.heappush(self._by_rank, entry)
        self._by_age.append(queued)

    def take(self) -> QueuedAdviceRequest | None:
        """Remove the next request that is still needed; drop the others."""
        while self._waiting:
            oldest = self._oldest_is_next()
            queued = self._pop_oldest() if oldest else self._pop_most_urgent()
            self._waiting -= 1
            queued.dequeued = True
            if queued.is_needed():
                self._dequeue_count += 1
                return queued
            queued.pending.end_call(None)
        return None

    def _oldest_is_next(self) -> bool:
        if not (self._dequeue_count + 1) % _OLDEST_FIRST_INTERVAL:
            return True
        since = self.oldest_since()
        return since is not None and self._clock() - since > MAX_QUEUE_WAIT

    def _pop_most_urgent(self) -> QueuedAdviceRequest:
        queued = heapq.heappop(self._by_rank)[-1]
        while queued.dequeued:
            queued = heapq.heappop(self._by_rank)[-1]
        return queued

    def _pop_oldest(self) -> QueuedAdviceRequest:
        queued = self._by_age.popleft()
        while queued.dequeued:
            queued = self._by_age.popleft()
        return queued
