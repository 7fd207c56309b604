"""Resource vectors: the capacity of a worker and the demand of a task."""

from __future__ import annotations

import msgspec


class Resources(msgspec.Struct, frozen=True, rename='camel'):
    """A vector of five amounts.

    Parameters
    ----------
    cores : float
        Processor cores.
    memory : float
        Gigabytes.
    accelerators : int
        Number of accelerators.
    slots : int
        Short requests that run concurrently.
    connections : int
        Open connections.

    Examples
    --------
    >>> Resources(cores=4) + Resources(cores=2, slots=1)
    Resources(cores=6, memory=0, accelerators=0, slots=1, connections=0)
    >>> Resources(cores=4).fits(Resources(cores=3))
    False
    """

    cores: float = 0
    memory: float = 0
    accelerators: int = 0
    slots: int = 0
    connections: int = 0

    def __add__(self, other: Resources) -> Resources:
        """Return the sum by component."""
        return Resources(
            self.cores + other.cores,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
            self.connections + other.connections,
        )

    def __sub__(self, other: Resources) -> Resources:
        """Return the difference by component; it may be negative."""
        return Resources(
            self.cores - other.cores,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
            self.connections - other.connections,
        )

    def fits(self, capacity: Resources) -> bool:
        """Whether every component is at most that of `capacity`."""
        return (
            self.cores <= capacity.cores
            and self.memory <= capacity.memory
            and self.accelerators <= capacity.accelerators
            and self.slots <= capacity.slots
            and self.connections <= capacity.connections
        )

    def amounts(self) -> tuple[float, float, int, int, int]:
        """Return the five components in order of declaration."""
        return (
            self.cores,
            self.memory,
            self.accelerators,
            self.slots,
            self.connections,
        )

    def dominant_share(self, total: Resources) -> float:
        """Return the dominant share: the largest fraction of `total`.

        A component that `total` lacks counts as a share of 1 if requested.
        """
        pairs = zip(self.amounts(), total.amounts(), strict=True)
        return max(_share(part, whole) for part, whole in pairs)


NOTHING = Resources()


def _share(part: float, whole: float) -> float:
    if part <= 0:
        return 0
    return part / whole if whole > 0 else 1
