"""Choice of the runs to stop on a worker.

Load: long tasks hold all capacity of a service while short urgent tasks
arrive whose objective leaves less time than the long ones have left.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, TypeVar

from orchidrail.sharing.standing import Standing
from orchidrail.types import Seconds, WorkerId
from orchidrail.work.size import Size
from orchidrail.workers.port import RunKey

VictimT = TypeVar('VictimT')


class Candidate(NamedTuple):
    """A run that may be stopped; a gang counts as one.

    Parameters
    ----------
    members : tuple of (WorkerId, RunKey)
        All runs that have to be stopped together.
    size : Size
        Capacity that the stop frees on the worker examined.
    priority : int
        Priority of its queue; 0 is the highest.
    standing : Standing
        Standing of its tenant.
    time_left : float
        Seconds until it is expected to end by itself.
    late : bool
        Whether its objective has passed.
    slack : float
        Seconds by which it may be delayed and still meet its objective.
    loss : float
        Core-seconds that have to be repeated, or pass without progress.
    """

    members: tuple[tuple[WorkerId, RunKey], ...]
    size: Size
    priority: int
    standing: Standing
    time_left: Seconds
    late: bool
    slack: Seconds
    loss: float

    @property
    def cost(self) -> tuple[int, float]:
        """Sort key, the cheapest first.

        Work that is late already and work over its tenant's share give way
        first, then what loses least.
        """
        gives_way = self.late or self.standing is Standing.OVER_SHARE
        return (0 if gives_way else 1), self.loss


class VictimPlan(NamedTuple):
    """Runs to stop on one worker, and how many tasks that makes room for."""

    worker: WorkerId
    victims: tuple[Candidate, ...]
    slots: int

    @property
    def loss(self) -> float:
        """Core-seconds lost by all stops."""
        return sum(victim.loss for victim in self.victims)

    @property
    def cost(self) -> tuple[int, float]:
        """Sort key, the cheapest first: worst victim, loss for each slot."""
        worst = max(victim.cost[0] for victim in self.victims)
        return worst, self.loss / self.slots


def choose_victims(
    size: Any,
    free: Any,
    candidates: Sequence[VictimT],
    size_of: Callable[[VictimT], Any],
) -> list[VictimT]:
    """Choose victims that free capacity for `size`, preferring the first.

    Parameters
    ----------
    size, free : Size or Resources
        Capacity needed, and free without any stop.
    candidates : sequence
        In order of preference.

    Returns
    -------
    Empty if all of them together free too little, or none is needed.

    Examples
    --------
    >>> sizes = [Size(2), Size(1), Size(6)]
    >>> choose_victims(Size(8), Size(1), sizes, lambda size: size)
    [Size(millicores=2, megabytes=0, accelerators=0), \
Size(millicores=6, megabytes=0, accelerators=0)]
    """
    chosen: list[VictimT] = []
    for candidate in candidates:
        if size.fits(free):
            break
        chosen.append(candidate)
        free = free + size_of(candidate)
    if not size.fits(free):
        return []
    # What a larger victim has made superfluous, the dearest first.
    for candidate in reversed(chosen):
        without = free - size_of(candidate)
        if size.fits(without):
            chosen.remove(candidate)
            free = without
    return chosen


def plan_on_worker(
    worker: WorkerId,
    size: Size,
    free: Size,
    candidates: list[Candidate],
    max_slots: int,
) -> VictimPlan | None:
    """Return the cheapest stops that make room for a task on a worker.

    Parameters
    ----------
    max_slots : int
        Largest number of the tasks that may start there.
    """
    if max_slots < 1:
        return None
    ordered = sorted(candidates, key=lambda candidate: candidate.cost)
    chosen = choose_victims(
        size, free, ordered, lambda candidate: candidate.size
    )
    if not chosen:
        return None
    freed = sum((victim.size for victim in chosen), free)
    slots = min(max_slots, size.copies_in(freed))
    return VictimPlan(worker, tuple(chosen), slots)


def cover_shortage(
    missing: int,
    plans: list[VictimPlan],
    *,
    all_or_none: bool,
) -> list[VictimPlan]:
    """Choose the cheapest plans that make room for `missing` tasks.

    A gang on several of the workers is stopped once; a second plan with it is
    dropped, as it would count its loss twice.

    Parameters
    ----------
    all_or_none : bool
        Whether room for a part of the tasks is of no use.
    """
    chosen: list[VictimPlan] = []
    stopped: set[RunKey] = set()
    for plan in sorted(plans, key=lambda plan: plan.cost):
        if missing <= 0:
            break
        keys = {key for victim in plan.victims for _, key in victim.members}
        if keys & stopped:
            continue
        stopped |= keys
        chosen.append(plan)
        missing -= plan.slots
    return [] if all_or_none and missing > 0 else chosen
