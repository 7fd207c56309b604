"""Asynchronous access to the placement engine of one daemon."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from typing import TYPE_CHECKING

from orchidrail.deciding.engine import (
    Declined,
    Engine,
    Placed,
    Queued,
    WorkItem,
    member_key,
)
from orchidrail.leasing.ledger import Proof
from orchidrail.types import RefusalCode, Seconds

if TYPE_CHECKING:
    from collections.abc import Callable

    from orchidrail.deciding.preemption import VictimPlan

#: Maximum time between two queue passes.
_QUEUE_INTERVAL: Seconds = 0.05
#: The same while the queue is empty.
_EMPTY_QUEUE_INTERVAL: Seconds = 0.5
#: Interval of the checks for ejected workers that may be readmitted.
_EJECTION_CHECK_INTERVAL: Seconds = 0.5

Outcome = Placed | Declined


def _ignore_duration(_seconds: Seconds) -> None:
    """Discard the duration: default observer."""


class Dispatcher:
    """Places work; callers wait while their work is queued.

    Parameters
    ----------
    engine : Engine
        Makes the decisions; used only from this dispatcher's event loop.
    clock : callable
        Monotonic clock, seconds.
    on_preempt : callable
        Stops the tasks of a preemption plan.
    """

    def __init__(
        self,
        engine: Engine,
        clock: Callable[[], Seconds],
        on_preempt: Callable[[VictimPlan], None],
    ) -> None:
        """Create a dispatcher without waiting callers."""
        self.engine = engine
        #: Called with the duration of each decision, seconds.
        self.observe: Callable[[Seconds], None] = _ignore_duration
        self._clock = clock
        self._on_preempt = on_preempt
        self._waiting_by_item: dict[int, asyncio.Future[Outcome]] = {}
        self._pass_requested = asyncio.Event()
        self._ejections_checked_at: Seconds = 0

    async def place(self, item: WorkItem) -> Outcome:
        """Wait until the item is placed or declined.

        A cancelled caller leaves no queued work and no allocation behind.
        """
        started = time.perf_counter()
        decision = self.engine.offer(item, self._clock())
        self.observe(time.perf_counter() - started)
        if not isinstance(decision, Queued):
            return decision
        waiting: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting_by_item[id(item)] = waiting
        self._pass_requested.set()
        try:
            return await waiting
        except asyncio.CancelledError:
            self._cancel_waiting(item, waiting)
            raise
        finally:
            self._waiting_by_item.pop(id(item), None)

    def pass_on(self) -> None:
        """Decline all queued work, so that callers try other schedulers."""
        for declined in self.engine.decline_all():
            self._resolve(declined.item, declined)

    def wake(self) -> None:
        """Request a queue pass: capacity was freed, or workers were added."""
        self._pass_requested.set()

    async def run(self) -> None:
        """Run queue passes until cancelled."""
        while True:
            pause = (
                _QUEUE_INTERVAL
                if len(self.engine.queue)
                else _EMPTY_QUEUE_INTERVAL
            )
            with suppress(TimeoutError, asyncio.TimeoutError):
                await asyncio.wait_for(self._pass_requested.wait(), pause)
            self._pass_requested.clear()
            self._run_pass()

    def _run_pass(self) -> None:
        now = self._clock()
        if now - self._ejections_checked_at > _EJECTION_CHECK_INTERVAL:
            self._ejections_checked_at = now
            self.engine.refresh_standing(now)
        for placed in self.engine.pump(now):
            self._resolve(placed.item, placed)
        for stuck in self.engine.decline_stuck(now):
            self._resolve(stuck.item, stuck)
        for late in self.engine.expired(now):
            self._resolve(late, self._decline_late(late))
        self.engine.earmark_for(now)
        plan = self.engine.preempt_for(now)
        if plan is not None:
            self._on_preempt(plan)

    def _resolve(self, item: WorkItem, outcome: Outcome) -> None:
        waiting = self._waiting_by_item.pop(id(item), None)
        if waiting is not None and not waiting.done():
            waiting.set_result(outcome)
        elif isinstance(outcome, Placed):
            self.undo(outcome)

    def undo(self, placed: Placed) -> None:
        """Release the capacity of work that was placed but never sent."""
        for index, place in enumerate(placed.places):
            key = member_key(placed.item, index)
            self.engine.give_back(place.worker, key, Proof.NEVER_SENT)
        self.wake()

    def _cancel_waiting(
        self,
        item: WorkItem,
        waiting: asyncio.Future[Outcome],
    ) -> None:
        settled = waiting.done() and not waiting.cancelled()
        if settled and isinstance(waiting.result(), Placed):
            self.undo(waiting.result())  # type: ignore[arg-type]
        else:
            self.engine.cancel(item)

    def _decline_late(self, item: WorkItem) -> Declined:
        queued_ahead = self.engine.queue.length_of(item.class_name)
        admission = self.engine.admission
        wait = admission.expected_wait(item.class_name, queued_ahead)
        return Declined(
            item,
            RefusalCode.DEADLINE,
            'no place became free in time',
            admission.retry_after(wait),
        )
