"""Selection of the schedulers that a gateway calls."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from orchidrail.types import Address, Seconds, ZoneId

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

#: How long a failed scheduler is called only after all others.
_FAILURE_BACKOFF: Seconds = 1


class SchedulerDirectory:
    """Schedulers of each zone, with the calls in flight to each.

    Parameters
    ----------
    addresses_by_zone : dict
        Scheduler addresses by zone, from the settings.
    """

    def __init__(
        self,
        addresses_by_zone: dict[ZoneId, list[Address]],
        random: Random,
        clock: Callable[[], Seconds],
    ) -> None:
        """Start without calls in flight or schedulers in backoff."""
        self._addresses_by_zone = addresses_by_zone
        self._random = random
        self._clock = clock
        self._backoff_until: dict[Address, Seconds] = {}
        self._in_flight: dict[Address, int] = defaultdict(int)

    def order(self, zone: ZoneId) -> list[Address]:
        """Return a zone's schedulers in the order to call them.

        Of two random schedulers, the one with fewer calls in flight comes
        first (power of two choices). Schedulers in backoff come last.
        """
        addresses = list(self._addresses_by_zone.get(zone, ()))
        self._random.shuffle(addresses)
        two_choices = sorted(addresses[:2], key=self._in_flight.__getitem__)
        now = self._clock()
        return sorted(
            two_choices + addresses[2:],
            key=lambda address: self._backoff_until.get(address, 0) > now,
        )

    def call_started(self, address: Address) -> None:
        """Record the start of a call to a scheduler."""
        self._in_flight[address] += 1

    def call_ended(self, address: Address, *, ok: bool) -> None:
        """Record the end of a call; a failed one starts the backoff."""
        self._in_flight[address] -= 1
        if ok:
            self._backoff_until.pop(address, None)
        else:
            self._backoff_until[address] = self._clock() + _FAILURE_BACKOFF
