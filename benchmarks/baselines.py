"""Baseline schedulers: first fit and power of two choices, both FIFO."""

from __future__ import annotations

from collections import deque
from random import Random

from orchidrail.deciding.engine import Engine, Placed, WorkItem, member_key
from orchidrail.deciding.shard import Place
from orchidrail.leasing.ledger import Proof
from orchidrail.types import Seconds, TaskId, WorkerId


class FirstFit:
    """Serves one FIFO queue and picks the first place that fits."""

    name = 'first fit'

    def __init__(self, random: Random) -> None:
        self._random = random
        self._places: list[Place] = []
        self._place_by_worker: dict[WorkerId, Place] = {}
        self._waiting: deque[WorkItem] = deque()

    def add_place(self, place: Place) -> None:
        """Add a worker."""
        self._places.append(place)
        self._place_by_worker[place.worker] = place

    def offer(self, item: WorkItem, now: Seconds) -> list[Placed]:
        """Queue an item and return what starts."""
        self._waiting.append(item)
        return self.pump(now)

    def pump(self, now: Seconds) -> list[Placed]:
        """Start items from the head of the queue until one does not fit."""
        placed = []
        while self._waiting:
            found = self._place(self._waiting[0])
            if found is None:
                break
            self._waiting.popleft()
            placed.append(found)
        return placed

    def end(
        self,
        worker: WorkerId,
        task: TaskId,
        *,
        ok: bool,
        now: Seconds,
    ) -> None:
        """Release the resources of an ended task."""
        self._place_by_worker[worker].ledger.release(task, Proof.ENDED)

    def expired(self, now: Seconds) -> list[WorkItem]:
        """Remove and return items at the head whose deadline has passed."""
        expired_items = []
        while self._waiting and self._waiting[0].deadline <= now:
            expired_items.append(self._waiting.popleft())
        return expired_items

    def choose(self, item: WorkItem) -> Place | None:
        """Return the first place that fits."""
        for place in self._places:
            if place.has_room(item.size) and place.worker not in item.avoid:
                return place
        return None

    def _place(self, item: WorkItem) -> Placed | None:
        places: list[Place] = []
        for index in range(item.gang):
            place = self.choose(item)
            if place is None:
                for number, reserved in enumerate(places):
                    key = member_key(item, number)
                    reserved.ledger.release(key, Proof.NEVER_SENT)
                return None
            place.ledger.reserve(member_key(item, index), item.size)
            places.append(place)
        return Placed(item, tuple(places))


class RandomOfTwo(FirstFit):
    """Picks the less loaded of two random places, else the first fit."""

    name = 'random of two'

    def choose(self, item: WorkItem) -> Place | None:
        """Return the less loaded of two random places, or the first fit."""
        drawn = self._random.sample(self._places, 2)
        fitting = [
            place
            for place in drawn
            if place.has_room(item.size) and place.worker not in item.avoid
        ]
        if fitting:
            return min(fitting, key=lambda place: place.load)
        return super().choose(item)


class EngineDecider:
    """Adapts the engine to the interface of the baselines."""

    name = 'orchidrail'

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.declined: list[WorkItem] = []

    def add_place(self, place: Place) -> None:
        """Add a worker."""
        self.engine.add_place(place)

    def offer(self, item: WorkItem, now: Seconds) -> list[Placed]:
        """Offer an item and return what starts."""
        decision = self.engine.offer(item, now)
        if isinstance(decision, Placed):
            return [decision]
        if decision.__class__.__name__ == 'Declined':
            self.declined.append(item)
        return []

    def pump(self, now: Seconds) -> list[Placed]:
        """Return the waiting items that start."""
        return self.engine.pump(now)

    def end(
        self,
        worker: WorkerId,
        task: TaskId,
        *,
        ok: bool,
        now: Seconds,
    ) -> None:
        """Report the end of a task to the engine."""
        self.engine.note_end(worker, task, ok=ok, now=now)

    def expired(self, now: Seconds) -> list[WorkItem]:
        """Return the items whose deadline has passed."""
        return self.engine.expired(now)
