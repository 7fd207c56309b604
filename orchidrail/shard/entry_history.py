"""When workers' entries were written, as far as an owner has observed.

A worker that leaves removes its entry; the entry of a partitioned worker, whose
runs go on, expires. Only the age of an entry tells the two apart, and an owner
knows the age only of entries that it has seen being written. An entry that is
there at its first read, or at the first read after a gap, may be of any age.
"""

from __future__ import annotations

import math

from orchidrail.types import Seconds, WorkerName

#: Age below which an entry that disappears was removed: entries expire after
#: three missed heartbeats (4.5 s), and this is two of them.
_REMOVED_WITHIN: Seconds = 3.0
#: Gap between two reads that may hide an outage of the store, during which
#: entries expire.
_MAX_READ_GAP: Seconds = 1.0


class EntryHistory:
    """Earliest time at which each entry may have been written.

    Examples
    --------
    >>> history = EntryHistory()
    >>> history.begin_read(started_at=10, read_at=10)
    >>> history.note_written(WorkerName('w-1'))
    >>> history.age(WorkerName('w-1'))
    inf
    >>> history.begin_read(started_at=10.5, read_at=10.5)
    >>> history.note_written(WorkerName('w-1'))
    >>> history.age(WorkerName('w-1'))
    0.5
    """

    def __init__(self) -> None:
        """Start without a read."""
        self._written_since_by_name: dict[WorkerName, Seconds] = {}
        self._previous_started_at: Seconds = -math.inf
        self._started_at: Seconds = -math.inf
        self._read_at: Seconds = -math.inf

    def begin_read(self, started_at: Seconds, read_at: Seconds) -> None:
        """Begin the results of a read.

        Parameters
        ----------
        started_at, read_at : float
            When the read was requested and when it was complete, in monotonic
            seconds.
        """
        if read_at - self._read_at > _MAX_READ_GAP:
            self._written_since_by_name.clear()
            self._started_at = -math.inf
        self._previous_started_at = self._started_at
        self._started_at = started_at
        self._read_at = read_at

    def note_written(self, name: WorkerName) -> None:
        """Record that a worker has written its entry since the last read."""
        self._written_since_by_name[name] = self._previous_started_at

    def forget(self, name: WorkerName) -> None:
        """Forget when an entry was written."""
        self._written_since_by_name.pop(name, None)

    def age(self, name: WorkerName) -> Seconds:
        """Return the greatest age that an entry may have had at this read.

        Returns
        -------
        Seconds, infinite if this owner has not seen the entry being written.
        """
        since = self._written_since_by_name.get(name, -math.inf)
        return self._read_at - since

    def is_removed(self, name: WorkerName) -> bool:
        """Whether an entry that is missing since this read was removed."""
        return self.age(name) < _REMOVED_WITHIN
