"""Writing a journal as its single owner, fenced by the expected end.

Every append names the end that this owner has read. So an append by any other
process makes the next one fail, and a previous owner can't write after a
takeover. An append without a response is resent unchanged until a read finds
it, or another writer's record at its offset.

No record exceeds what the store accepts: a larger value is split, and its
records are written by one append. A value that can't be written at all is
dropped and reported to its writer; the others of its batch are still written.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import structlog

from orchidrail.journal.appending import (
    FINAL_STATUSES,
    AppendStatus,
    append_once,
)
from orchidrail.journal.queued_values import EncodeValue, QueuedValues
from orchidrail.journal.split_values import split_value
from orchidrail.store import (
    DEFAULT_LIMITS,
    KeyedRecord,
    StoreLimits,
    Unavailable,
    stored_size,
)
from orchidrail.types import Epoch, Offset, Seconds
from orchidrail.work.records import (
    BEFORE_OWNER_KEY,
    FENCE_KEY,
    OWNER_KEY,
    OwnerRecord,
    decode_fence,
    decode_owner,
    encode,
)

if TYPE_CHECKING:
    from orchidrail.journal.follower import JournalView
    from orchidrail.work.model import MemberInfo

_log = structlog.get_logger()
#: Pause between retries while the store rejects calls; each call is charged.
_RETRY_PAUSE: Seconds = 0.1
#: Minimum time between two appends. Each call is charged, and each wait adds
#: to the latency.
_APPEND_INTERVAL: Seconds = 0.008
#: An owner writes at least this often to confirm its ownership.
CONFIRM_INTERVAL: Seconds = 0.2
#: How long a confirmation is valid. Unless asked, other processes take over
#: only a journal without a new record for 0.3 s.
_CONFIRMATION_VALIDITY: Seconds = 0.25
#: Bytes up to which values share an append, unless one alone is larger. Half of
#: what the store accepts in one call.
_MAX_CHUNK_BYTES = 1_000_000


class TakeOverError(Exception):
    """The takeover of a journal failed; the message gives the reason."""


class _StoredValue(NamedTuple):
    """A value and the records in which it is stored."""

    key: str
    records: list[KeyedRecord]
    #: Bytes that it takes in a call.
    size: int


class Commit:
    """Outcome of one batch, awaited by the callers that put records in it."""

    def __init__(self) -> None:
        """Start undecided."""
        #: Keys of the batch whose values the store will never accept.
        self.refused_keys: set[str] = set()
        #: Whether its records are, or may still get, into the store.
        self.may_be_written = False
        self._outcome: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )

    def decide(self, committed: bool) -> None:
        """Set the outcome; later calls have no effect."""
        if not self._outcome.done():
            self._outcome.set_result(committed)

    @property
    def committed(self) -> bool:
        """Whether the batch is known to be in the store."""
        return self._outcome.done() and self._outcome.result()

    async def wait(self) -> bool:
        """Wait for the outcome; return whether the batch is in the store."""
        return await asyncio.shield(self._outcome)

    def on_decided(self, callback: Callable[[bool], None]) -> None:
        """Call `callback` with the outcome once it is known."""
        self._outcome.add_done_callback(
            lambda decided: callback(decided.result())
        )


class JournalWriter:
    """Writes a journal as its owner; created by `take_over`.

    Parameters
    ----------
    view : JournalView
        Caught up to the owner's own record.
    owner : OwnerRecord
    clock : callable
        Monotonic seconds.
    end : int
        Offset that follows the owner's own record.
    limits : StoreLimits
        Sizes that the store accepts.
    """

    def __init__(
        self,
        view: JournalView,
        owner: OwnerRecord,
        clock: Callable[[], Seconds],
        end: Offset,
        limits: StoreLimits,
    ) -> None:
        """Start right after the takeover."""
        self.view = view
        self.owner = owner
        self.limits = limits
        #: Called with the key of each value that is dropped as it can't be
        #: written, before the outcome of its batch is known.
        self.on_refused: Callable[[str], None] = _ignore_refused
        #: End of this owner's own records. The view's end can't be used: other
        #: readers in this process move it past the next owner's record.
        self._end = end
        self.fenced = asyncio.Event()
        #: When the last append that succeeded was sent.
        self.confirmed_at = clock()
        #: Why the last attempt failed, empty while appends succeed.
        self.last_error = ''
        self._clock = clock
        self._queued = QueuedValues()
        self._commit = Commit()
        #: The batch before the one being filled.
        self._in_flight = Commit()
        self._in_flight.decide(committed=True)
        self._work_available = asyncio.Event()
        #: Values rejected by the store that are to be resent.
        self._rejected: list[_StoredValue] = []

    def put(self, key: str, value: bytes) -> Commit:
        """Queue a value for the next append; an empty one removes the key."""
        self._queued.put(key, value)
        return self._queue()

    def put_lazily(self, key: str, encode_value: EncodeValue) -> Commit:
        """Queue a value that is encoded when its append is sent.

        However often it is put before, it is then encoded once, as it is then.
        """
        self._queued.put_lazily(key, encode_value)
        return self._queue()

    def _queue(self) -> Commit:
        self._work_available.set()
        if self.fenced.is_set():
            self._commit.decide(committed=False)
        return self._commit

    def withdraw(self, key: str) -> bool:
        """Withdraw a value; return False if it may be in the store.

        A value can be withdrawn from the batch being filled, and from an append
        that the store has rejected so far.
        """
        if self._queued.remove(key):
            return True
        withdrawn = [stored for stored in self._rejected if stored.key == key]
        for stored in withdrawn:
            self._rejected.remove(stored)
        return bool(withdrawn)

    @property
    def waiting_bytes(self) -> int:
        """Total size of the values queued for the next append, in bytes."""
        return self._queued.size

    def time_since_confirmed(self) -> Seconds:
        """Return the seconds since ownership was last confirmed."""
        return self._clock() - self.confirmed_at

    async def confirm(self, within: Seconds) -> bool:
        """Return whether this is still the owner; append if unconfirmed.

        A process that was paused may have been replaced in the meantime.
        """
        if self.time_since_confirmed() < _CONFIRMATION_VALIDITY:
            return not self.fenced.is_set()
        commit = self.put(OWNER_KEY, encode(self.owner))
        try:
            return await asyncio.wait_for(commit.wait(), within)
        except TimeoutError:
            return False

    async def run(self) -> None:
        """Write batches until fenced by another owner."""
        while not self.fenced.is_set():
            await self._wait_for_work()
            await self._write_batch()
            await asyncio.sleep(_APPEND_INTERVAL)

    async def flush(self) -> bool:
        """Wait for all values put so far; return whether they are written."""
        commit = self._commit if self._queued else self._in_flight
        return await commit.wait() and not commit.refused_keys

    async def _wait_for_work(self) -> None:
        try:
            await asyncio.wait_for(
                self._work_available.wait(), CONFIRM_INTERVAL
            )
        except (TimeoutError, asyncio.TimeoutError):
            self._queued.put(OWNER_KEY, encode(self.owner))

    async def _write_batch(self) -> None:
        records = self._queued.take()
        commit = self._commit
        self._in_flight = commit
        self._commit = Commit()
        self._work_available.clear()
        values = [self._split(record) for record in records]
        for chunk in _chunks(values):
            if not await self._write(chunk, commit):
                self._mark_fenced(commit)
                return
        commit.decide(committed=True)

    def _split(self, record: KeyedRecord) -> _StoredValue:
        """Split a value, and remove the parts that its predecessor had more."""
        records = split_value(*record, self.limits)
        assert self.view.parts is not None
        records += self.view.parts.leftovers(record.key, len(records) - 1)
        size = sum(map(stored_size, records))
        return _StoredValue(record.key, records, size)

    def _mark_fenced(self, commit: Commit) -> None:
        self.fenced.set()
        commit.decide(committed=False)
        self._commit.decide(committed=False)

    async def _write(self, values: list[_StoredValue], commit: Commit) -> bool:
        """Write values, without those refused; False if no longer the owner.

        Refused values are separated by halving: each costs a number of calls
        that is logarithmic in the size of the append.
        """
        status = await self._append(values, commit)
        if status is not AppendStatus.REFUSED:
            return status is AppendStatus.WRITTEN
        if len(values) <= 1:
            return all(self._drop(stored, commit) for stored in values)
        middle = len(values) // 2
        for half in (values[:middle], values[middle:]):
            if not await self._write(half, commit):
                return False
        return True

    def _drop(self, stored: _StoredValue, commit: Commit) -> bool:
        """Drop a value that can't be written; False if it is the owner's."""
        _log.error(
            'value can not be written',
            key=stored.key,
            size=stored.size,
            records=len(stored.records),
            limits=self.limits,
        )
        commit.refused_keys.add(stored.key)
        self.on_refused(stored.key)
        return stored.key != OWNER_KEY

    async def _append(
        self,
        values: list[_StoredValue],
        commit: Commit,
    ) -> AppendStatus:
        """Append, with unlimited retries while the store may yet accept it.

        Values that the store rejected may be withdrawn from the list before the
        next attempt; those that may have reached it are resent unchanged.
        """
        written_before = commit.may_be_written
        uncertain = False
        while True:
            commit.may_be_written = True
            sent_at = self._clock()
            records = [record for stored in values for record in stored.records]
            status = AppendStatus.REFUSED
            if self.limits.fit_call(records):
                status = await append_once(self.view, records, self._end)
            if status in FINAL_STATUSES:
                self.last_error = ''
                break
            self.last_error = 'append not accepted'
            uncertain = uncertain or status is AppendStatus.UNKNOWN
            commit.may_be_written = uncertain or written_before
            self._rejected = [] if commit.may_be_written else values
            await asyncio.sleep(_RETRY_PAUSE)
            self._rejected = []
        if status is not AppendStatus.WRITTEN:
            commit.may_be_written = written_before
            return status
        self._end = Offset(self._end + len(records))
        self.confirmed_at = sent_at
        return status


def _ignore_refused(key: str) -> None:
    """Ignore that a value was dropped; the writer has logged it."""


async def take_over(
    view: JournalView,
    me: MemberInfo,
    clock: Callable[[], Seconds],
    expected_epoch: Epoch,
    limits: StoreLimits = DEFAULT_LIMITS,
) -> JournalWriter:
    """Become the journal's owner, with an epoch above all fencing tokens.

    Parameters
    ----------
    expected_epoch : int
        Epoch of the owner to replace; a newer owner is not replaced.

    Raises
    ------
    TakeOverError
        If the store can't be read, or if another process wrote first.
    """
    if not await view.catch_up():
        raise TakeOverError('the store can not be read')
    last = current_owner(view)
    epoch = Epoch(0) if last is None else last.epoch
    if epoch != expected_epoch:
        raise TakeOverError(f'expected epoch {expected_epoch!r}, got {epoch!r}')
    owner = OwnerRecord(
        me.name,
        me.incarnation,
        me.address,
        Epoch(max(epoch, highest_fence(view)) + 1),
    )
    record = KeyedRecord(OWNER_KEY, encode(owner))
    assert view.end is not None
    expected = view.end
    status = await append_once(view, [record], expected)
    while status not in FINAL_STATUSES:
        await asyncio.sleep(_RETRY_PAUSE)
        status = await append_once(view, [record], expected)
    if status is AppendStatus.CONFLICT:
        raise TakeOverError('another process wrote first')
    if status is AppendStatus.REFUSED:
        raise TakeOverError('the store does not accept the owner record')
    return JournalWriter(view, owner, clock, Offset(expected + 1), limits)


def highest_fence(view: JournalView) -> Epoch:
    """Return the highest fencing token in the journal, 0 if there is none."""
    value = view.value_by_key.get(FENCE_KEY)
    return Epoch(0) if value is None else decode_fence(value)


async def read_owner(view: JournalView) -> OwnerRecord | None:
    """Read the owner record only; None if there is none or it is unknown."""
    page = await view.store.latest(view.topic, BEFORE_OWNER_KEY)
    if isinstance(page, Unavailable):
        return None
    values = (one.value for one in page.records if one.key == OWNER_KEY)
    raw = next(values, None)
    return None if raw is None else decode_owner(raw)


def current_owner(view: JournalView) -> OwnerRecord | None:
    """Return the owner in the records read so far, if any."""
    value = view.value_by_key.get(OWNER_KEY)
    return None if value is None else decode_owner(value)


def _chunks(values: list[_StoredValue]) -> list[list[_StoredValue]]:
    """Divide values, in order, among appends; none is divided itself."""
    chunks: list[list[_StoredValue]] = []
    room = 0
    for stored in values:
        if not chunks or stored.size > room:
            chunks.append([])
            room = _MAX_CHUNK_BYTES
        chunks[-1].append(stored)
        room -= stored.size
    return chunks
