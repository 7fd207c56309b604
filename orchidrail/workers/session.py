"""One owner's dealings with one life of a worker.

The session keeps the lease alive, hears of ends and acknowledges them once
they are in the journal. It reports to an observer and decides nothing. A worker
that is back under its name gets a session of its own: numbers of ends, clock
and fence begin anew there, and an acknowledgement that outlived its life made
ends vanish (up to 38 tasks started again on a modelled day of 30 s).
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
import structlog

from orchidrail.background_tasks import BackgroundTasks
from orchidrail.types import Epoch, Seconds, WorkerId
from orchidrail.workers.incarnations import incarnation_id
from orchidrail.workers.port import (
    HoldOrder,
    Listing,
    OrderAnswer,
    OrderResult,
    RunKey,
    StartOrder,
    WorkerCalls,
    WorkerEntry,
)
from orchidrail.workers.run_lease import RunLease

_log = structlog.get_logger()
#: How long a worker may hold a look open; the lease is renewed with each.
_POLL_WAIT: Seconds = 0.8
#: Time beyond the wait after which a look counts as unanswered; an answer
#: takes 1 to 4 ms, and until the next look no end is heard of.
_POLL_SLACK: Seconds = 0.25
#: Looks in a row that must fail before a worker counts as lost.
_FAILED_POLLS_UNTIL_LOST = 2
#: Pause after a look that failed.
_FAILED_PAUSE: Seconds = 0.2
#: Longest wait for the journal before the lease is renewed again.
_JOURNAL_WAIT: Seconds = 0.5
#: Time in which a start must reach its worker, on the worker's clock; later
#: the worker refuses it, so that a late copy harms nothing.
START_VALIDITY: Seconds = 0.4
_START_TIMEOUT: Seconds = 0.35
#: Added where a time on the worker's clock is waited for.
_CLOCK_SLACK: Seconds = 0.02
_STOP_TIMEOUT: Seconds = 0.7


class Observer(Protocol):
    """Hears what a session finds out."""

    def on_listing(
        self,
        session: WorkerSession,
        listing: Listing,
        sent_at: Seconds,
    ) -> list[Awaitable[bool]]:
        """Take a listing.

        Returns
        -------
        The writes that must end before its ends may be acknowledged.
        """

    def on_incarnation_ended(self, session: WorkerSession) -> None:
        """Take that nothing of this life runs any more."""

    def on_fenced(self, session: WorkerSession) -> None:
        """Take that the worker has seen a newer owner."""


async def _always(token: Epoch) -> bool:
    """Allow any fencing token."""
    return True


class WorkerSession:
    """Holds one worker for one owner.

    Parameters
    ----------
    entry : WorkerEntry
    calls : WorkerCalls
    epoch : int
        Fencing token of all orders.
    lease : RunLease
    observer : Observer
    clock : callable
        Monotonic seconds.
    may_renew : callable
        Whether this owner may still keep runs alive.
    may_use_fence : callable
        Whether orders may carry a higher fencing token, once that is known.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        calls: WorkerCalls,
        epoch: Epoch,
        lease: RunLease,
        observer: Observer,
        clock: Callable[[], Seconds],
        may_renew: Callable[[], bool],
        may_use_fence: Callable[[Epoch], Awaitable[bool]] = _always,
    ) -> None:
        """Start without having heard of the worker."""
        self.entry = entry
        #: The life that this session deals with.
        self.worker: WorkerId = entry.worker
        self.lease = lease
        self.epoch = epoch
        self.terminated = False
        #: Start of the life that came after this one under the same name.
        self.next_born: int | None = None
        #: Whether the latest look was answered.
        self.reachable = False
        #: Whether any look was answered: older orders are void since then.
        self.fence_raised = False
        self.lost_at: Seconds | None = clock()
        #: When this life answered last.
        self.last_response_at: Seconds = -math.inf
        self._calls = calls
        self._observer = observer
        self._clock = clock
        self._may_renew = may_renew
        self._may_use_fence = may_use_fence
        self._raising = BackgroundTasks('fencing token')
        self._extra_polls = BackgroundTasks('look')
        self._failures = 0
        self._last_seen = 0
        self._last_heard = 0

    @property
    def next_incarnation(self) -> WorkerId | None:
        """The life that came after this one under the same name, if known."""
        if self.next_born is None:
            return None
        return incarnation_id(self.entry.name, self.next_born)

    @property
    def stopped_responding(self) -> bool:
        """Whether the worker answered before and does not now."""
        return self.fence_raised and not self.reachable and not self.terminated

    @property
    def ending_progress(self) -> tuple[int, int]:
        """Number of the last end that was acknowledged, and of that heard."""
        return self._last_seen, self._last_heard

    async def run(self) -> None:
        """Look again and again until this life of the worker is over."""
        while not self.terminated:
            await self._poll()

    async def start(
        self,
        key: RunKey,
        text: str,
        checkpoint: str,
        ticket: str,
    ) -> tuple[OrderAnswer, Seconds]:
        """Order a start; also return its deadline on the worker's clock.

        The caller passes the answer on to `handle_answer`, once it has noted
        for the run what it says: it may end this life and all that runs here.
        """
        deadline = self.lease.clock_at(self._clock()) + START_VALIDITY
        self.lease.extend_to(deadline)
        order = StartOrder(key, text, deadline, self.epoch, checkpoint, ticket)
        answer = await self._calls.start(self.entry, order, _START_TIMEOUT)
        answer = self._reclassify_own_fence(answer, order.epoch)
        if answer.result is OrderResult.UNKNOWN:
            # A look after the deadline tells whether the run is there.
            left = deadline - self.lease.clock_at(self._clock())
            loop = asyncio.get_running_loop()
            loop.call_later(left + _CLOCK_SLACK, self.poll_soon)
        return answer, deadline

    async def stop(self, key: RunKey) -> OrderAnswer:
        """Order a stop; the run's end shows in a later listing."""
        epoch = self.epoch
        answer = await self._calls.stop(
            self.entry,
            key,
            epoch,
            _STOP_TIMEOUT,
        )
        answer = self._reclassify_own_fence(answer, epoch)
        self.handle_answer(answer)
        return answer

    def poll_soon(self) -> None:
        """Look beside the look that waits, to learn something at once.

        The look that waits may be on a connection that went silent.
        """
        if not self.terminated and not self._extra_polls:
            self._extra_polls.spawn(self._poll_once(0))

    def invalidate_orders(self) -> None:
        """Have what was ordered so far refused, soon, if it comes late.

        The deadline of a start in doubt binds this life alone. A next one under
        the same name hears of the higher token with the first look at it, also
        if the look's answer is lost.
        """
        if not self._raising:
            self._raising.spawn(self._raise_fence())

    async def _raise_fence(self) -> None:
        token = Epoch(self.epoch + 1)
        if await self._may_use_fence(token):
            self.epoch = token

    def _reclassify_own_fence(
        self, answer: OrderAnswer, epoch: Epoch
    ) -> OrderAnswer:
        """Take an order that this owner itself has fenced off for too late."""
        if answer.result is OrderResult.FENCED and epoch < self.epoch:
            return answer._replace(result=OrderResult.LATE)
        return answer

    def matches_incarnation(self, born: int | None) -> bool:
        """Tell whether what says that it was born then may be this life.

        What is heard first is taken for it, where the entry names no start. Who
        names none is believed.
        """
        if born is None:
            return True
        if self.entry.born is None and not self.fence_raised:
            self.entry = msgspec.structs.replace(self.entry, born=born)
        return born == self.entry.born

    def end_incarnation(self, next_born: int | None = None) -> None:
        """Note that this life is over, and which one came after it."""
        if not self.terminated:
            self.next_born = next_born
            self.terminated = True
            self.reachable = False
            self._observer.on_incarnation_ended(self)

    def close(self) -> None:
        """Take no further answers; what runs there may run on."""
        self.terminated = True
        self.reachable = False

    def handle_answer(self, answer: OrderAnswer) -> None:
        """Take what an answer tells of the worker's life and clock."""
        if answer.clock is not None:
            self.last_response_at = self._clock()
            self.lease.observe(answer.clock, self.last_response_at)
        if answer.result is OrderResult.OTHER_INCARNATION:
            self._note_other_life(answer.born, answer.clock)
        elif answer.result is OrderResult.FENCED:
            self._observer.on_fenced(self)

    async def _poll(self) -> None:
        behind = self._last_heard > self._last_seen
        doubted = behind or self._failures or not self.reachable
        await self._poll_once(0 if doubted else _POLL_WAIT)

    async def _poll_once(self, wait: Seconds) -> None:
        sent_at = self._clock()
        # A renewal without an answer may count all the same, so a worker that
        # is lost gets none: else its lease would never surely end.
        renews = self.reachable and self._may_renew()
        deadline = self.lease.renew(sent_at) if renews else None
        order = HoldOrder(self.epoch, deadline, self._last_seen, wait)
        answer = await self._calls.hold(
            self.entry,
            order,
            wait + _POLL_SLACK,
        )
        if self.terminated:
            # What an answer says of a life that is over helps nobody.
            return
        if isinstance(answer, Listing):
            await self._take_listing(answer, sent_at)
        else:
            await self._take_failure(
                self._reclassify_own_fence(answer, order.epoch)
            )

    async def _take_listing(self, listing: Listing, sent_at: Seconds) -> None:
        if not self.matches_incarnation(listing.born):
            self._note_other_life(listing.born, listing.clock)
            return
        first = not self.lease.clock_known
        self.last_response_at = self._clock()
        self.lease.observe(listing.clock, self.last_response_at)
        if first:
            self.lease.adopt(self._clock())
        if not self.reachable:
            _log.info(
                'worker reached',
                worker=self.worker,
                born=listing.born,
                clock=round(listing.clock, 3),
            )
        self.reachable = True
        self._failures = 0
        self.fence_raised = True
        self.lost_at = None
        writes = self._observer.on_listing(self, listing, sent_at)
        numbers = [ended.number for ended in listing.ended]
        if not numbers:
            return
        self._last_heard = max(self._last_heard, *numbers)
        if await _all_written(writes):
            self._last_seen = max(self._last_seen, *numbers)

    def _note_other_life(
        self,
        born: int | None,
        clock: Seconds | None,
    ) -> None:
        if not self.terminated:
            _log.info(
                'worker has started again',
                worker=self.worker,
                born=born,
                clock=clock,
                expected_clock=self._expected_clock(),
                acknowledged=self._last_seen,
            )
        self.end_incarnation(born)

    def _expected_clock(self) -> Seconds | None:
        if not self.lease.clock_known:
            return None
        return round(self.lease.clock_at(self._clock()), 3)

    async def _take_failure(self, answer: OrderAnswer) -> None:
        self.handle_answer(answer)
        self._failures += 1
        if self._failures < _FAILED_POLLS_UNTIL_LOST and not self.terminated:
            return
        if self.reachable:
            _log.info(
                'worker lost',
                worker=self.worker,
                result=answer.result.value,
            )
            self.lost_at = self._clock()
        self.reachable = False
        await asyncio.sleep(_FAILED_PAUSE)


async def _all_written(writes: list[Awaitable[bool]]) -> bool:
    """Wait a while for writes; False if one is not in the journal by then."""
    try:
        async with asyncio.timeout(_JOURNAL_WAIT):
            return all([await write for write in writes])
    except TimeoutError:
        return False
