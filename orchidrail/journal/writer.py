"""Writing a journal as its single owner, fenced by the expected end.

Every append names the end that this owner has read. So an append by any other
process makes the next one fail, and a previous owner can't write after a
takeover. An append without a response is resent unchanged until a read finds
it, or another writer's record at its offset.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import structlog

from orchidrail.journal.appending import (
    FINAL_STATUSES,
    AppendStatus,
    append_once,
)
from orchidrail.journal.queued_values import EncodeValue, QueuedValues
from orchidrail.store import (
    KeyedRecord,
    Unavailable,
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
#: Bytes of values after which an append is split; the store accepts 2 MB in
#: one call.
_MAX_CHUNK_BYTES = 1_000_000


class TakeOverError(Exception):
    """The takeover of a journal failed; the message gives the reason."""


class Commit:
    """Outcome of one batch, awaited by the callers that put records in it."""

    def __init__(self) -> None:
        """Start undecided."""
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
    """

    def __init__(
        self,
        view: JournalView,
        owner: OwnerRecord,
        clock: Callable[[], Seconds],
        end: Offset,
    ) -> None:
        """Start right after the takeover."""
        self.view = view
        self.owner = owner
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
        #: Records rejected by the store that are to be resent.
        self._rejected: list[KeyedRecord] = []

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
        remaining = [record for record in self._rejected if record.key != key]
        withdrawn = len(remaining) < len(self._rejected)
        self._rejected = remaining
        return withdrawn

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
        if self._queued:
            return await self._commit.wait()
        return await self._in_flight.wait()

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
        for chunk in _chunks(records):
            if not await self._append(chunk, commit):
                self._mark_fenced(commit)
                return
        commit.decide(committed=True)

    def _mark_fenced(self, commit: Commit) -> None:
        self.fenced.set()
        commit.decide(committed=False)
        self._commit.decide(committed=False)

    async def _append(
        self,
        records: list[KeyedRecord],
        commit: Commit,
    ) -> bool:
        """Append, with unlimited retries; False if another owner wrote.

        Records that the store rejected may be withdrawn before the next
        attempt; records that may have reached it are resent unchanged.
        """
        written_before = commit.may_be_written
        uncertain = False
        while True:
            commit.may_be_written = True
            sent_at = self._clock()
            status = await append_once(self.view, records, self._end)
            if status in FINAL_STATUSES:
                self.last_error = ''
                break
            self.last_error = 'append not accepted'
            uncertain = uncertain or status is AppendStatus.UNKNOWN
            commit.may_be_written = uncertain or written_before
            self._rejected = [] if commit.may_be_written else records
            await asyncio.sleep(_RETRY_PAUSE)
            records = records if commit.may_be_written else self._rejected
            self._rejected = []
        if status is AppendStatus.CONFLICT:
            commit.may_be_written = written_before
            return False
        self._end = Offset(self._end + len(records))
        self.confirmed_at = sent_at
        return True


async def take_over(
    view: JournalView,
    me: MemberInfo,
    clock: Callable[[], Seconds],
    expected_epoch: Epoch,
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
    return JournalWriter(view, owner, clock, Offset(expected + 1))


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


def _chunks(records: list[KeyedRecord]) -> list[list[KeyedRecord]]:
    """Split records, in order, into chunks small enough for one call."""
    chunks: list[list[KeyedRecord]] = [[]]
    size = 0
    for record in records:
        if size > _MAX_CHUNK_BYTES:
            chunks.append([])
            size = 0
        chunks[-1].append(record)
        size += len(record.value)
    return chunks
