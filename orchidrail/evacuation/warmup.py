"""Gradual use of workers that are cold after the evacuation of their zone."""

from __future__ import annotations

from orchidrail.work.size import Size


def cold_slots(size: Size, capacity: Size, free: Size, share: float) -> int:
    """Return how many tasks may be added to a cold worker.

    Answers a zone that comes back with all of its workers empty and cold: the
    work that waits would fill them at once, and be slow there. An empty worker
    takes one task, however small the share is, so that a large task isn't kept
    from starting.

    Parameters
    ----------
    size : Size
        Of one task.
    capacity, free : Size
        Of the worker.
    share : float
        Share of the worker's processor time that may be used, 0 to 1.

    Examples
    --------
    >>> cold_slots(Size(1000), Size(8000), Size(8000), share=0.5)
    4
    >>> cold_slots(Size(6000), Size(8000), Size(8000), share=0.5)
    1
    >>> cold_slots(Size(1000), Size(8000), Size(4000), share=0.5)
    0
    """
    used = capacity.millicores - free.millicores
    usable = int(share * capacity.millicores) - used
    minimum = 1 if free == capacity else 0
    return max(minimum, usable // max(1, size.millicores))
