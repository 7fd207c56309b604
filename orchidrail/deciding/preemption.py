"""Preemption: selects running work to stop in favor of urgent work."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import msgspec

from orchidrail.preemption import choose_victims
from orchidrail.resources import Resources
from orchidrail.types import Seconds, TaskId, WorkerId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from orchidrail.deciding.shard import Place, Shard

#: Workers examined for victims.
_SAMPLED_PLACES = 8


class Victim(msgspec.Struct, frozen=True):
    """A running task that may be preempted."""

    task: TaskId
    worker: WorkerId
    size: Resources
    priority: int
    #: Work lost by preemption: seconds since the last checkpoint.
    lost: Seconds


class VictimPlan(msgspec.Struct, frozen=True):
    """Tasks to preempt on one worker."""

    worker: WorkerId
    victims: tuple[Victim, ...]

    @property
    def cost(self) -> tuple[int, Seconds]:
        """Highest priority among the victims, then core-seconds lost."""
        highest = max(victim.priority for victim in self.victims)
        lost = sum(victim.lost * victim.size.cores for victim in self.victims)
        return (highest, lost)


def plan_preemption(
    shard: Shard,
    size: Resources,
    priority: int,
    victims_by_worker: dict[WorkerId, list[Victim]],
) -> VictimPlan | None:
    """Return the cheapest sampled plan that frees capacity for `size`.

    Parameters
    ----------
    size : Resources
        Capacity that the urgent task needs.
    priority : int
        Only tasks of lower priority are preempted.
    victims_by_worker : dict
        Preemptible tasks by worker.
    """
    with_victims = (
        shard.place_by_worker[worker]
        for worker in victims_by_worker
        if worker in shard.place_by_worker
    )
    sampled = itertools.islice(with_victims, _SAMPLED_PLACES)
    plans = (
        _plan_for(place, size, priority, victims_by_worker[place.worker])
        for place in sampled
        if place.open
    )
    found = [plan for plan in plans if plan is not None]
    return min(found, key=lambda plan: plan.cost, default=None)


def _plan_for(
    place: Place,
    size: Resources,
    priority: int,
    victims: Iterable[Victim],
) -> VictimPlan | None:
    preemptible = [victim for victim in victims if victim.priority < priority]
    preemptible.sort(key=lambda victim: (victim.priority, victim.lost))
    chosen = choose_victims(
        size, place.ledger.free, preemptible, lambda victim: victim.size
    )
    return VictimPlan(place.worker, tuple(chosen)) if chosen else None
