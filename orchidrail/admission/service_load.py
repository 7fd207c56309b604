"""Snapshot of the room and the work of one service.

Answers a load that competes for too little room: what runs, what waits and in
which order it will be placed. Times are seconds from the snapshot.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from enum import IntEnum
from typing import NamedTuple

from orchidrail.types import Seconds, TenantId

#: Width of the bins in which running tasks release their room. It is below
#: the waits that matter to a caller with an objective of a second.
BIN_S: Seconds = 0.25
#: Number of bins; later releases count in the last one.
BINS = 64
#: Number of classes by which workers are counted by their free room.
_ROOM_CLASSES = 16
_SMALL_SHARE, _MEDIUM_SHARE = 0.02, 0.125


class SizeClass(IntEnum):
    """Size of what a job needs at once, compared with its service's room.

    Ordinary turnover frees a fiftieth of the room within a fraction of a
    task's duration; an eighth has to be collected.
    """

    SMALL = 0
    MEDIUM = 1
    LARGE = 2


def size_class_of(need: float, capacity: float) -> SizeClass:
    """Return the size class of a need, both in millicores.

    Examples
    --------
    >>> size_class_of(10, 1000), size_class_of(500, 1000)
    (<SizeClass.SMALL: 0>, <SizeClass.LARGE: 2>)
    """
    if need <= _SMALL_SHARE * capacity:
        return SizeClass.SMALL
    if need <= _MEDIUM_SHARE * capacity:
        return SizeClass.MEDIUM
    return SizeClass.LARGE


class RankClass(IntEnum):
    """Order in which waiting work is placed."""

    URGENT = 0
    OTHER = 1
    OVER_SHARE = 2


class WaitingRow(NamedTuple):
    """Work that waits for room.

    Parameters
    ----------
    rank : RankClass
    latest_start : float
        Wall clock time by which it is ordered within its class, seconds.
    millicores : int
        Room of all its tasks.
    duration : float
        Expected duration of a task, seconds.
    need : int
        Millicores that it needs at once.
    tenant : str
    """

    rank: RankClass
    latest_start: Seconds
    millicores: int
    duration: Seconds
    need: int
    tenant: TenantId = TenantId('')


class Ahead(NamedTuple):
    """What goes before a job.

    Parameters
    ----------
    millicores : float
    core_time : float
        Millicores times seconds.
    """

    millicores: float = 0
    core_time: float = 0

    @property
    def duration(self) -> Seconds:
        """Mean duration of the work, weighted by its room, seconds."""
        return self.core_time / self.millicores if self.millicores else 0

    def plus(self, other: Ahead) -> Ahead:
        """Return the sum of two amounts of work."""
        return Ahead(
            self.millicores + other.millicores,
            self.core_time + other.core_time,
        )


class _RankedWork:
    """Waiting work of one rank and size class, ordered by latest start.

    What is added after the first question is kept apart, so that an addition
    costs the same however much waits.
    """

    def __init__(self) -> None:
        self._rows: list[tuple[Seconds, Ahead]] = []
        self._starts: list[Seconds] = []
        self._sums: list[Ahead] = []
        self._recent: list[tuple[Seconds, Ahead]] = []

    def add(self, row: WaitingRow) -> None:
        work = Ahead(row.millicores, row.millicores * row.duration)
        rows = self._recent if self._sums else self._rows
        rows.append((row.latest_start, work))

    def before(self, latest_start: Seconds) -> Ahead:
        """Return the work with no later latest start."""
        if not self._sums:
            self._sum_up()
        ahead = self._sums[bisect_right(self._starts, latest_start)]
        for start, work in self._recent:
            if start <= latest_start:
                ahead = ahead.plus(work)
        return ahead

    def _sum_up(self) -> None:
        self._rows.sort()
        self._starts = [start for start, _ in self._rows]
        self._sums = [Ahead()]
        for _, work in self._rows:
            self._sums.append(self._sums[-1].plus(work))


class ServiceLoad:
    """Room and work of one service at one moment.

    Parameters
    ----------
    taken_at : float
        Monotonic seconds.
    """

    def __init__(self, taken_at: Seconds) -> None:
        """Start without workers and work."""
        self.taken_at = taken_at
        self.workers = 0
        #: Millicores of the workers that accept work, and what is free there.
        self.capacity = 0
        self.free = 0
        #: Millicores of the largest of these workers.
        self.largest_worker = 0
        #: Room that only urgent work may use.
        self.headroom = 0
        self.waiting_rows = 0
        #: Whether room was scarce when the snapshot was taken; only then is it
        #: known when running tasks release theirs.
        self.pressed = False
        #: Millicore-seconds that run or wait, by tenant, and those of them that
        #: wait and are urgent.
        self.running_by_tenant: dict[TenantId, float] = {}
        self.waiting_by_tenant: dict[tuple[TenantId, bool], float] = {}
        self._released: list[float] = [0 for _ in range(BINS)]
        self._released_by_urgent: list[float] = [0 for _ in range(BINS)]
        self._room_by_class: list[tuple[int, int]] = [
            (0, 0) for _ in range(_ROOM_CLASSES)
        ]
        self._work_by_class: dict[tuple[RankClass, SizeClass], _RankedWork] = {}

    def detect_pressure(self) -> bool:
        """Find out whether work waits, or less than half of the room is free.

        Called once everything but the releases has been counted.
        """
        self.pressed = self.waiting_rows > 0 or 2 * self.free < self.capacity
        return self.pressed

    def add_worker(self, capacity: int, free: int) -> None:
        """Count a worker that accepts work."""
        self.workers += 1
        self.capacity += capacity
        self.free += max(0, free)
        self.largest_worker = max(self.largest_worker, capacity)
        if capacity <= 0 or free <= 0:
            return
        index = min(_ROOM_CLASSES - 1, free * _ROOM_CLASSES // capacity)
        count, room = self._room_by_class[index]
        self._room_by_class[index] = count + 1, room + free

    def add_release(
        self, within: Seconds, millicores: int, urgent: bool = False
    ) -> None:
        """Count room that a running task releases."""
        released = self._released_by_urgent if urgent else self._released
        released[min(BINS - 1, int(max(0, within) / BIN_S))] += millicores

    def add_running(self, tenant: TenantId, core_time: float) -> None:
        """Count the remaining millicore-seconds of a tenant's run."""
        self.running_by_tenant[tenant] = (
            self.running_by_tenant.get(tenant, 0) + core_time
        )

    def add_waiting(self, row: WaitingRow) -> None:
        """Count work that waits, or that was accepted since the snapshot."""
        size_class = size_class_of(row.need, self.capacity)
        work = self._work_by_class.setdefault(
            (row.rank, size_class), _RankedWork()
        )
        work.add(row)
        self.waiting_rows += 1
        tenant = row.tenant, row.rank is RankClass.URGENT
        self.waiting_by_tenant[tenant] = (
            self.waiting_by_tenant.get(tenant, 0)
            + row.millicores * row.duration
        )

    def add_accepted(self, row: WaitingRow) -> None:
        """Count work accepted since the snapshot.

        It takes free room at once if it fits, and waits otherwise.
        """
        if self.waiting_rows or row.millicores > self.free - self.headroom:
            self.add_waiting(row)
            return
        self.free -= row.millicores
        self.add_release(row.duration, row.millicores)

    def ahead_of(
        self, rank: RankClass, latest_start: Seconds, size_class: SizeClass
    ) -> Ahead:
        """Return the work that goes before a job.

        Urgent work is placed in the order of arrival, so all that waits goes
        before a new job. Wider work that finds no room does not hold up a
        narrow job.
        """
        ahead = Ahead()
        for (other, size), work in self._work_by_class.items():
            if other > rank or size > size_class:
                continue
            by_start = other == rank and rank is not RankClass.URGENT
            until = latest_start if by_start else math.inf
            ahead = ahead.plus(work.before(until))
        return ahead

    def slots(self, millicores: int) -> int:
        """Return about how many tasks of a size fit on the workers now."""
        if millicores <= 0:
            return self.workers
        return sum(
            count * int(room / count // millicores)
            for count, room in self._room_by_class
            if count
        )

    def usable_share(self, millicores: int) -> float:
        """Return the share of an empty worker that tasks of a size can use.

        Examples
        --------
        >>> load = ServiceLoad(0)
        >>> load.add_worker(64000, 64000)
        >>> load.usable_share(20000)
        0.9375
        """
        if not 0 < millicores <= self.largest_worker:
            return 1
        copies = self.largest_worker // millicores
        return copies * millicores / self.largest_worker

    def free_by_bin(self, urgent: bool) -> list[float]:
        """Return the room at the end of each bin if nothing starts.

        Room that urgent work releases is taken by urgent work to come.
        """
        room: float = self.free
        released = self._released
        if urgent:
            released = [
                sum(parts)
                for parts in zip(
                    self._released, self._released_by_urgent, strict=True
                )
            ]
        else:
            room -= self.headroom
        free: list[float] = []
        for part in released:
            room += part
            free.append(max(0, room))
        return free
