"""The workers that one scheduler leases, indexed by free capacity."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from sortedcontainers import SortedKeyList

from orchidrail.resources import NOTHING, Resources
from orchidrail.types import WorkerId

if TYPE_CHECKING:
    from collections.abc import Iterator

    from orchidrail.leasing.ledger import Ledger


class Place:
    """One worker as a placement target.

    Parameters
    ----------
    worker : WorkerId
    rack : str
        Name of the rack of the worker.
    ledger : Ledger
        Allocations of its capacity.
    """

    def __init__(self, worker: WorkerId, rack: str, ledger: Ledger) -> None:
        """Start open and trusted."""
        self.worker = worker
        self.rack = rack
        self.ledger = ledger
        #: False while the worker is leaving, ejected or without a lease.
        self.open = True
        #: False while ejected, or while a probe runs during probation.
        self.trusted = True

    @property
    def load(self) -> float:
        """Dominant share of the allocated capacity."""
        allocated = self.ledger.capacity - self.ledger.free
        return allocated.dominant_share(self.ledger.capacity)

    def has_room(self, size: Resources, headroom: Resources = NOTHING) -> bool:
        """Return whether `size` fits and leaves `headroom` free."""
        free = self.ledger.free
        if headroom is NOTHING:
            return size.fits(free)
        return (size + headroom).fits(free)


class Shard:
    """Places by worker, with an index by free cores.

    The index has a bucket for each whole number of free cores, so the cost
    of a lookup doesn't grow with the number of places.

    Parameters
    ----------
    random : Random
        Random source for sampling.
    """

    def __init__(self, random: Random) -> None:
        """Start without places."""
        self.place_by_worker: dict[WorkerId, Place] = {}
        self.capacity = NOTHING
        self._random = random
        self._order: list[WorkerId] = []
        self._position_by_worker: dict[WorkerId, int] = {}
        #: Workers by whole free cores, each bucket in insertion order.
        self._workers_by_cores: list[dict[WorkerId, None]] = []
        self._cores_by_worker: dict[WorkerId, int] = {}
        self._by_shape: SortedKeyList = SortedKeyList(key=_shape_key)

    def __len__(self) -> int:
        """Return the number of places."""
        return len(self._order)

    def add(self, place: Place) -> None:
        """Add a place, replacing that of the same worker."""
        self.remove(place.worker)
        self.place_by_worker[place.worker] = place
        self._position_by_worker[place.worker] = len(self._order)
        self._order.append(place.worker)
        self.capacity = self.capacity + place.ledger.capacity
        self._by_shape.add(place.ledger.capacity)
        self.refresh(place.worker)

    def remove(self, worker: WorkerId) -> None:
        """Remove the place of a worker, if there is one."""
        place = self.place_by_worker.pop(worker, None)
        if place is None:
            return
        self._swap_out(worker)
        self.capacity = self.capacity - place.ledger.capacity
        self._by_shape.remove(place.ledger.capacity)
        cores = self._cores_by_worker.pop(worker)
        self._workers_by_cores[cores].pop(worker)

    def refresh(self, worker: WorkerId) -> None:
        """Update the index after a change to the worker's ledger."""
        place = self.place_by_worker.get(worker)
        if place is None:
            return
        previous = self._cores_by_worker.get(worker)
        cores = max(0, int(place.ledger.free.cores))
        if previous == cores:
            return
        if previous is not None:
            self._workers_by_cores[previous].pop(worker)
        self._bucket(cores)[worker] = None
        self._cores_by_worker[worker] = cores

    def sample(self, count: int) -> Iterator[Place]:
        """Yield up to `count` places, drawn with replacement."""
        if not self._order:
            return
        size = len(self._order)
        for _ in range(count):
            # random() is several times cheaper than randrange().
            index = int(self._random.random() * size)
            yield self.place_by_worker[self._order[index]]

    def by_fewest_free_cores(self, cores: float) -> Iterator[Place]:
        """Yield places with at least `int(cores)` cores free, fewest first."""
        for workers in self._workers_by_cores[int(cores) :]:
            for worker in workers:
                yield self.place_by_worker[worker]

    def by_most_free_cores(self) -> Iterator[Place]:
        """Yield places in descending order of whole free cores."""
        for workers in reversed(self._workers_by_cores):
            for worker in workers:
                yield self.place_by_worker[worker]

    def largest_free(self) -> Resources:
        """Return the free capacity of the open place with most free cores."""
        for place in self.by_most_free_cores():
            if place.open:
                return place.ledger.free
        return NOTHING

    def largest_open(self) -> Resources:
        """Return the capacity of the open place with most cores."""
        shapes = (
            place.ledger.capacity
            for place in self.place_by_worker.values()
            if place.open
        )
        return max(shapes, key=_shape_key, default=NOTHING)

    def total_free(self) -> Resources:
        """Return the sum of the free capacity of all places."""
        total = NOTHING
        for place in self.place_by_worker.values():
            total = total + place.ledger.free
        return total

    def ever_fits(self, size: Resources) -> bool:
        """Return whether `size` fits the full capacity of any worker."""
        largest = reversed(self._by_shape)
        return any(size.fits(shape) for shape in largest)

    def fits_open_worker(self, size: Resources) -> bool:
        """Return whether `size` fits the full capacity of an open worker."""
        return any(
            place.open and size.fits(place.ledger.capacity)
            for place in self.place_by_worker.values()
        )

    def _bucket(self, cores: int) -> dict[WorkerId, None]:
        while len(self._workers_by_cores) <= cores:
            self._workers_by_cores.append({})
        return self._workers_by_cores[cores]

    def _swap_out(self, worker: WorkerId) -> None:
        position = self._position_by_worker.pop(worker)
        last = self._order.pop()
        if last != worker:
            self._order[position] = last
            self._position_by_worker[last] = position


def _shape_key(shape: Resources) -> tuple[float, float, int]:
    return (shape.cores, shape.memory, shape.accelerators)
