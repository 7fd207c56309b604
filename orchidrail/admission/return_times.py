"""When the callers of refused jobs should return.

Answers callers that were refused together: told the same time, they would
return together and be refused again.
"""

from __future__ import annotations

import math

import xxhash

from orchidrail.types import JobId, Seconds

#: ``Retry-After`` has whole seconds and is at least one.
MIN_RETURN_S = 1
_HASH_BITS = 64


def spread_position(job_id: JobId) -> float:
    """Return a job's position among those that return, 0 to 1.

    It follows from the id, so all instances tell a caller the same.

    Examples
    --------
    >>> 0 <= spread_position(JobId('0123456789abcdef')) < 1
    True
    """
    return xxhash.xxh64_intdigest(job_id.encode()) / (1 << _HASH_BITS)


def return_time(
    job_id: JobId,
    clear_in: Seconds,
    returning_takes: Seconds,
    remaining_use: Seconds,
) -> int:
    """Return the whole seconds after which a caller should return.

    Callers return from the moment when the job would be of use again, spread
    over the time that the refused work takes. The span ends with the job's
    remaining use, so that callers with little of it left return first. If the
    job is forecast to be of no use any more by then, the span is the second
    half of its remaining use: the load may go sooner than forecast.

    Parameters
    ----------
    clear_in : float
        Seconds until a job like this one would be accepted.
    returning_takes : float
        Seconds that the service needs for the work refused so far.
    remaining_use : float
        Seconds for which a start is still of use to the caller.

    Examples
    --------
    >>> job = JobId('0123456789abcdef')
    >>> return_time(job, clear_in=4, returning_takes=0, remaining_use=20)
    4
    >>> return_time(job, clear_in=4, returning_takes=9, remaining_use=2.5)
    2
    """
    latest = max(MIN_RETURN_S, math.floor(remaining_use))
    begin, window = clear_in, min(returning_takes, remaining_use - clear_in)
    if clear_in > remaining_use:
        begin = max(0, remaining_use / 2)
        window = begin
    wanted = begin + spread_position(job_id) * window
    return min(latest, max(MIN_RETURN_S, math.ceil(wanted)))
