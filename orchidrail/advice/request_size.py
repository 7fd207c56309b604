"""Size of an advice request: how many workers in how many calls.

Load: a cell near its capacity, in which many steps ask for advice at once. Each
call occupies a lane for a fixed time and some time for each worker; on the
users' sites the fixed part equals that of about 70 workers.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

#: Usual number of workers per call.
WORKERS_PER_CALL = 30
#: Most workers that the service accepts in one call.
MAX_WORKERS_PER_CALL = 100
#: A step makes one call for each so many idle lanes: every call has a fixed
#: cost, and more calls would only add load to busy lanes.
_IDLE_LANES_PER_CALL = 4


class RequestSize(NamedTuple):
    """Largest number of workers and of calls of one request."""

    workers: int
    calls: int


def size_request(wanted: int, idle_lanes: int, *, gang: bool) -> RequestSize:
    """Return how large a request may be.

    With few idle lanes a step makes a single call. Tasks that start one by one
    can use the workers of a short call at once and ask again later. A gang
    starts only once it knows enough permitted workers, and its first tickets
    expire while it asks about the next few; one long call tells it more in less
    time, and occupies the lane for less than several short ones.

    Parameters
    ----------
    wanted : int
        Workers to ask about, if there were lanes for it.
    idle_lanes : int
        Lanes without a call.
    gang : bool
        Whether the tasks start together.

    Examples
    --------
    >>> size_request(90, 2, gang=False)
    RequestSize(workers=30, calls=1)
    >>> size_request(90, 2, gang=True)
    RequestSize(workers=90, calls=1)
    >>> size_request(90, 12, gang=False)
    RequestSize(workers=90, calls=3)
    """
    calls = max(1, idle_lanes // _IDLE_LANES_PER_CALL)
    per_call = MAX_WORKERS_PER_CALL if gang else WORKERS_PER_CALL
    workers = min(per_call * calls, max(WORKERS_PER_CALL, wanted))
    return RequestSize(workers, calls)


def workers_with_seats(wanted: int, seats: Iterable[int]) -> int:
    """Return how many workers, in order, have `wanted` seats together.

    A seat is free capacity for one task. In a busy cell most workers have none
    or one, so a gang has to ask about far more of them than if they were idle.

    Returns
    -------
    All of them if they have fewer seats.

    Examples
    --------
    >>> workers_with_seats(6, [3, 3, 3, 3])
    2
    >>> workers_with_seats(6, [3, 1, 0, 0])
    4
    """
    count = 0
    for free in seats:
        if wanted <= 0:
            break
        wanted -= free
        count += 1
    return count
