"""The engine as a service to the tasks of one daemon."""

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

#: Longest time between two looks at the queue.
_IDLE: Seconds = 0.05
#: The same while nothing waits.
_QUIET: Seconds = 0.5
#: Between two looks at which ejected workers may come back.
_STANDING_INTERVAL: Seconds = 0.5

Outcome = Placed | Declined


def _ignore(_seconds: Seconds) -> None:
    """Stand for an observer that nobody has set."""


class Dispatcher:
    """Places work, letting callers wait for their turn.

    Parameters
    ----------
    engine : Engine
        Decides; owned by this dispatcher's event loop.
    clock : callable
        Monotonic seconds.
    on_preempt : callable
        Stops the tasks of a plan.
    """

    def __init__(
        self,
        engine: Engine,
        clock: Callable[[], Seconds],
        on_preempt: Callable[[VictimPlan], None],
    ) -> None:
        """Start with nobody waiting."""
        self.engine = engine
        #: Told how long each decision took, seconds.
        self.observe: Callable[[Seconds], None] = _ignore
        self._clock = clock
        self._on_preempt = on_preempt
        self._waiting_by_item: dict[int, asyncio.Future[Outcome]] = {}
        self._freed = asyncio.Event()
        self._standing_read_at: Seconds = 0

    async def place(self, item: WorkItem) -> Outcome:
        """Wait until the item is placed or declined.

        A caller that is cancelled leaves nothing behind.
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
        self._freed.set()
        try:
            return await waiting
        except asyncio.CancelledError:
            self._abandon(item, waiting)
            raise
        finally:
            self._waiting_by_item.pop(id(item), None)

    def pass_on(self) -> None:
        """Decline all that waits, so that callers go to other schedulers."""
        for declined in self.engine.decline_all():
            self._settle(declined.item, declined)

    def wake(self) -> None:
        """Look at the queue again: room was freed, or workers came."""
        self._freed.set()

    async def run(self) -> None:
        """Serve the queue until cancelled."""
        while True:
            pause = _IDLE if len(self.engine.queue) else _QUIET
            with suppress(TimeoutError, asyncio.TimeoutError):
                await asyncio.wait_for(self._freed.wait(), pause)
            self._freed.clear()
            self._serve()

    def _serve(self) -> None:
        now = self._clock()
        if now - self._standing_read_at > _STANDING_INTERVAL:
            self._standing_read_at = now
            self.engine.refresh_standing(now)
        for placed in self.engine.pump(now):
            self._settle(placed.item, placed)
        for stuck in self.engine.decline_stuck(now):
            self._settle(stuck.item, stuck)
        for late in self.engine.expired(now):
            self._settle(late, self._too_late(late))
        self.engine.earmark_for(now)
        plan = self.engine.preempt_for(now)
        if plan is not None:
            self._on_preempt(plan)

    def _settle(self, item: WorkItem, outcome: Outcome) -> None:
        waiting = self._waiting_by_item.pop(id(item), None)
        if waiting is not None and not waiting.done():
            waiting.set_result(outcome)
        elif isinstance(outcome, Placed):
            self.undo(outcome)

    def undo(self, placed: Placed) -> None:
        """Give back the room of work that was placed but never sent."""
        for index, place in enumerate(placed.places):
            key = member_key(placed.item, index)
            self.engine.give_back(place.worker, key, Proof.NEVER_SENT)
        self.wake()

    def _abandon(
        self,
        item: WorkItem,
        waiting: asyncio.Future[Outcome],
    ) -> None:
        settled = waiting.done() and not waiting.cancelled()
        if settled and isinstance(waiting.result(), Placed):
            self.undo(waiting.result())  # type: ignore[arg-type]
        else:
            self.engine.cancel(item)

    def _too_late(self, item: WorkItem) -> Declined:
        ahead = self.engine.queue.length_of(item.class_name)
        admission = self.engine.admission
        wait = admission.expected_wait(item.class_name, ahead)
        return Declined(
            item,
            RefusalCode.DEADLINE,
            'no place became free in time',
            admission.retry_after(wait),
        )
