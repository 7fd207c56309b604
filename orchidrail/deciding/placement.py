"""Placement policies, dispatched on the type of the policy record.

See Also
--------
orchidrail.bundles.model.WaitingPolicy
orchidrail.bundles.model.PackingPolicy
"""

from __future__ import annotations

import itertools
from functools import singledispatch

import msgspec

from orchidrail.bundles.model import PackingPolicy, Policy, WaitingPolicy
from orchidrail.deciding.shard import Place, Shard
from orchidrail.resources import NOTHING, Resources
from orchidrail.types import WorkerId

#: Places examined in the index when no sampled place fits.
_FALLBACK_PLACES = 16


class Demand(msgspec.Struct, frozen=True):
    """Requirements of one placement.

    Parameters
    ----------
    size : Resources
        Capacity to allocate.
    headroom : Resources
        Capacity that must stay free beside it.
    avoid : frozenset of WorkerId
        Workers that must not be used.
    crowded_racks : frozenset of str
        Racks to be used only if no place found is in another rack.
    """

    size: Resources
    headroom: Resources = NOTHING
    avoid: frozenset[WorkerId] = frozenset()
    crowded_racks: frozenset[str] = frozenset()

    def allows(self, place: Place) -> bool:
        """Return whether `place` is eligible."""
        return (
            place.open
            and place.trusted
            and place.has_room(self.size, self.headroom)
            and place.worker not in self.avoid
        )


@singledispatch
def choose_place(policy: Policy, shard: Shard, demand: Demand) -> Place | None:
    """Return an eligible place for the demand, or None.

    Raises
    ------
    TypeError
        If no implementation is registered for the type of `policy`.
    """
    raise TypeError(f'expected a placement policy, got {policy!r}')


@choose_place.register
def _(policy: WaitingPolicy, shard: Shard, demand: Demand) -> Place | None:
    """Choose the least loaded sampled place (power of two choices)."""
    fitting = [
        place for place in shard.sample(policy.sample) if demand.allows(place)
    ]
    if not fitting:
        return _first_allowed(shard, demand)
    return min(fitting, key=lambda place: _spread_key(place, demand))


@choose_place.register
def _(policy: PackingPolicy, shard: Shard, demand: Demand) -> Place | None:
    """Choose the best fit on the dominant resource among the fullest."""
    cores = demand.size.cores + demand.headroom.cores
    examined = itertools.islice(
        shard.by_fewest_free_cores(cores),
        _FALLBACK_PLACES * policy.candidates,
    )
    allowed = filter(demand.allows, examined)
    scored = list(itertools.islice(allowed, policy.candidates))
    if not scored:
        return _first_allowed(shard, demand)
    return min(scored, key=lambda place: _fit_key(place, demand))


def _first_allowed(shard: Shard, demand: Demand) -> Place | None:
    examined = itertools.islice(shard.by_most_free_cores(), _FALLBACK_PLACES)
    allowed = [place for place in examined if demand.allows(place)]
    if not allowed:
        return None
    return min(allowed, key=lambda place: _spread_key(place, demand))


def _spread_key(place: Place, demand: Demand) -> tuple[bool, float]:
    return (place.rack in demand.crowded_racks, place.load)


def _fit_key(place: Place, demand: Demand) -> tuple[bool, float, float]:
    remaining = place.ledger.free - demand.size
    shares = (
        remaining.cores / (place.ledger.capacity.cores or 1),
        remaining.memory / (place.ledger.capacity.memory or 1),
    )
    # A remainder with few cores but much memory, or the reverse, is hard
    # to use: prefer small and balanced remainders.
    imbalance = abs(shares[0] - shares[1])
    return (
        place.rack in demand.crowded_racks,
        max(shares) + imbalance,
        shares[0],
    )
