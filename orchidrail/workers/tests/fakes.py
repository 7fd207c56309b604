"""In-memory worker for tests."""

from __future__ import annotations

import asyncio

from orchidrail.types import Address, Epoch, Seconds, ServiceName, WorkerName
from orchidrail.work.size import Size
from orchidrail.workers.port import (
    ActiveRun,
    EndedRun,
    HoldOrder,
    Listing,
    OrderAnswer,
    OrderResult,
    RunEnding,
    RunKey,
    StartOrder,
    WorkerEntry,
)

_POLL_DURATION: Seconds = 0.01


def make_entry(name: str = 'w-1', cores: int = 64) -> WorkerEntry:
    """Return the entry of a worker with free capacity."""
    return WorkerEntry(
        name=WorkerName(name),
        service=ServiceName('service'),
        address=Address(f'{name}:1'),
        zone='zone',
        capacity=Size(cores * 1000, 100_000),
        labels=('kind', 'rack-1'),
    )


class FakeWorker:
    """Implements `WorkerCalls` for one worker; tests set its clock."""

    def __init__(self) -> None:
        """Start idle at clock 100."""
        self.clock: Seconds = 100
        self.epoch = Epoch(0)
        self.active: dict[RunKey, ActiveRun] = {}
        self.ended: list[EndedRun] = []
        self.holds: list[HoldOrder] = []
        self.starts: list[StartOrder] = []
        self.stops: list[RunKey] = []
        self.start_result = OrderResult.TAKEN
        #: Start of the incarnation, as reported in its listings.
        self.born: int | None = None
        #: Number of endings in one listing at most.
        self.max_listed_endings: int | None = None
        #: Result of all polls, if set.
        self.hold_result: OrderResult | None = None

    def end(self, key: RunKey, ending: RunEnding, saved: str = '') -> None:
        """End a run and list its ending."""
        self.active.pop(key, None)
        number = len(self.ended) + 1
        self.ended.append(EndedRun(number, key, ending, saved))

    async def start(
        self,
        entry: WorkerEntry,
        order: StartOrder,
        timeout: Seconds,
    ) -> OrderAnswer:
        """See `WorkerCalls.start`."""
        self.starts.append(order)
        if self.start_result is OrderResult.TAKEN:
            self.active[order.key] = ActiveRun(order.key, '', 0)
        return OrderAnswer(self.start_result, self.clock)

    async def stop(
        self,
        entry: WorkerEntry,
        key: RunKey,
        epoch: Epoch,
        timeout: Seconds,
    ) -> OrderAnswer:
        """See `WorkerCalls.stop`; the test lists the ending."""
        self.stops.append(key)
        self.active.pop(key, None)
        return OrderAnswer(OrderResult.TAKEN, self.clock)

    async def hold(
        self,
        entry: WorkerEntry,
        order: HoldOrder,
        timeout: Seconds,
    ) -> Listing | OrderAnswer:
        """See `WorkerCalls.hold`."""
        self.holds.append(order)
        await asyncio.sleep(_POLL_DURATION)
        if self.hold_result is not None:
            return OrderAnswer(self.hold_result)
        self.epoch = max(self.epoch, order.epoch)
        kept = [end for end in self.ended if end.number > order.last_seen]
        active = list(self.active.values())
        listed = kept[: self.max_listed_endings]
        complete = len(listed) == len(kept)
        return Listing(self.clock, active, listed, self.born, complete)
