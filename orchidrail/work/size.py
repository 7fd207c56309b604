"""Resource amounts of workers and tasks."""

from __future__ import annotations

from typing import NamedTuple

_HALVES = 2


class Size(NamedTuple):
    """Resource amounts in integral units, so that sums are exact.

    Parameters
    ----------
    millicores : int
        Thousandths of a processor core.
    megabytes : int
    accelerators : int

    Examples
    --------
    >>> Size(500, 256) + Size(250, 0)
    Size(millicores=750, megabytes=256, accelerators=0)
    """

    millicores: int = 0
    megabytes: int = 0
    accelerators: int = 0

    def __add__(self, other: Size) -> Size:  # type: ignore[override]
        """Return the sum by component."""
        return Size(
            self[0] + other[0],
            self[1] + other[1],
            self[2] + other[2],
        )

    def __sub__(self, other: Size) -> Size:
        """Return the difference by component; it may be negative."""
        return Size(
            self[0] - other[0],
            self[1] - other[1],
            self[2] - other[2],
        )

    def fits(self, capacity: Size) -> bool:
        """Whether each component is at most that of `capacity`."""
        return (
            self.millicores <= capacity.millicores
            and self.megabytes <= capacity.megabytes
            and self.accelerators <= capacity.accelerators
        )

    def copies_in(self, capacity: Size) -> int:
        """Return how many copies of this size fit into `capacity`.

        Examples
        --------
        >>> Size(2, 1).copies_in(Size(7, 2))
        2
        """
        counts = [
            whole // part
            for part, whole in zip(self, capacity, strict=True)
            if part > 0
        ]
        return max(0, min(counts, default=_UNLIMITED_COPIES))


def half_is_free(used: Size, whole: Size) -> bool:
    """Whether less than half of each resource is in use.

    Resources with a capacity of 0 are ignored.

    Examples
    --------
    >>> half_is_free(Size(3, 1), Size(8, 4))
    True
    >>> half_is_free(Size(3, 2), Size(8, 4))
    False
    """
    return all(
        _HALVES * part < capacity
        for part, capacity in zip(used, whole, strict=True)
        if capacity
    )


#: Copies per worker of a task that requests no resources.
_UNLIMITED_COPIES = 1000
