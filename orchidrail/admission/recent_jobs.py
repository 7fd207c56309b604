"""Filter of the ids of recently accepted jobs."""

from __future__ import annotations

import xxhash

from orchidrail.types import JobId, Seconds

#: Size of the filter, bytes. With a thousand ids one unknown id in seven is
#: taken for a known one, which costs a message to the owner; the more ids, the
#: more such messages.
FILTER_BYTES = 512
_BITS = 8 * FILTER_BYTES
_HASHES = 2
_HASH_BITS = 32
#: Duration of one of the two generations of ids: a caller resubmits a job
#: within its timeout and a few retries.
_GENERATION_S: Seconds = 20.0


def _mask(job_id: JobId) -> int:
    digest = xxhash.xxh64_intdigest(job_id.encode())
    mask = 0
    for number in range(_HASHES):
        mask |= 1 << (digest >> (_HASH_BITS * number)) % _BITS
    return mask


class RecentJobs:
    """Remembers the ids of at least the last twenty seconds."""

    def __init__(self) -> None:
        """Start without ids."""
        self._current = 0
        self._previous = 0
        self._turned_at: Seconds = 0

    def add(self, job_id: JobId, now: Seconds) -> None:
        """Add the id of a job that is accepted or being written."""
        self._turn(now)
        self._current |= _mask(job_id)

    def to_bytes(self, now: Seconds) -> bytes:
        """Return the filter."""
        self._turn(now)
        return (self._current | self._previous).to_bytes(FILTER_BYTES, 'big')

    def _turn(self, now: Seconds) -> None:
        age = now - self._turned_at
        if age < _GENERATION_S:
            return
        self._previous = self._current if age < 2 * _GENERATION_S else 0
        self._current = 0
        self._turned_at = now


def may_contain(id_filter: bytes, job_id: JobId) -> bool:
    """Whether an id may have been added to a filter.

    Examples
    --------
    >>> recent = RecentJobs()
    >>> recent.add(JobId('ab'), now=1)
    >>> raw = recent.to_bytes(now=2)
    >>> may_contain(raw, JobId('ab')), may_contain(raw, JobId('cd'))
    (True, False)
    """
    if len(id_filter) != FILTER_BYTES:
        return True
    mask = _mask(job_id)
    return int.from_bytes(id_filter, 'big') & mask == mask
