"""Writing a journal as its one owner, fenced by the expected end.

Every append names the end that this owner has read. So an append of anybody
else makes the next one fail, and a former owner can't write after a take-over.
An append without an answer is sent again unchanged until a read shows it, or
shows another's record in its place.
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
#: Pause between tries at a store that refuses; its calls have a price.
_RETRY_PAUSE: Seconds = 0.1
#: Least time between two appends: each call has a price, each wait delays.
_APPEND_INTERVAL: Seconds = 0.008
#: An owner writes at least this often, so that it knows that it still owns.
CONFIRM_INTERVAL: Seconds = 0.2
#: A confirmation counts for this long. Others take over without being asked
#: only from a journal that has stood still for 0.3 s.
_CONFIRMED_FOR: Seconds = 0.25
#: Most bytes of values put into one append; the store takes 2 MB in a call.
_BATCH_BYTES = 1_000_000


class TakeOverError(Exception):
    """The journal was not taken over; the text says why."""


class Commit:
    """The end of one batch, awaited by those whose records are in it."""

    def __init__(self) -> None:
        """Start undecided."""
        #: Whether its records may be in the store, or may still get there.
        self.may_be_written = False
        self._decided: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )

    def decide(self, committed: bool) -> None:
        """Tell all who wait; later calls change nothing."""
        if not self._decided.done():
            self._decided.set_result(committed)

    @property
    def committed(self) -> bool:
        """Whether the batch is known to be in the store."""
        return self._decided.done() and self._decided.result()

    async def wait(self) -> bool:
        """Return whether the batch is in the store, once that is known."""
        return await asyncio.shield(self._decided)

    def on_decided(self, callback: Callable[[bool], None]) -> None:
        """Call back with the outcome, once that is known."""
        self._decided.add_done_callback(
            lambda decided: callback(decided.result())
        )


class JournalWriter:
    """The owner's end of a journal; `take_over` makes one.

    Parameters
    ----------
    view : JournalView
        Read up to the owner's own record.
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
        """Start right after the take-over."""
        self.view = view
        self.owner = owner
        #: End of this owner's own records. The view's end won't do: others in
        #: this process read on, past the record of the next owner.
        self._end = end
        self.fenced = asyncio.Event()
        #: When the last append that succeeded was sent.
        self.confirmed_at = clock()
        #: Why the last try failed, empty while appends succeed.
        self.last_error = ''
        self._clock = clock
        self._value_by_key: dict[str, bytes] = {}
        self._bytes = 0
        self._commit = Commit()
        #: The batch before the one that is being filled.
        self._in_flight = Commit()
        self._in_flight.decide(committed=True)
        self._wanted = asyncio.Event()
        #: Records that the store has refused and that are sent again.
        self._refused: list[KeyedRecord] = []

    def put(self, key: str, value: bytes) -> Commit:
        """Write a value soon; an empty one removes the key."""
        self._value_by_key[key] = value
        self._bytes += len(value)
        self._wanted.set()
        if self.fenced.is_set():
            self._commit.decide(committed=False)
        return self._commit

    def withdraw(self, key: str) -> bool:
        """Take a value back if it is certainly not in the store.

        It is then in the batch that is being filled, or in an append that the
        store has refused so far.
        """
        value = self._value_by_key.pop(key, None)
        if value is not None:
            self._bytes -= len(value)
            return True
        kept = [record for record in self._refused if record.key != key]
        withdrawn = len(kept) < len(self._refused)
        self._refused = kept
        return withdrawn

    @property
    def waiting_bytes(self) -> int:
        """Bytes of the values that wait for the next append."""
        return self._bytes

    def unconfirmed_for(self) -> Seconds:
        """Return for how long the ownership has not been confirmed."""
        return self._clock() - self.confirmed_at

    async def confirm(self, within: Seconds) -> bool:
        """Tell whether this owner still owns; ask the store if need be.

        A process that was paused may have been replaced meanwhile.
        """
        if self.unconfirmed_for() < _CONFIRMED_FOR:
            return not self.fenced.is_set()
        commit = self.put(OWNER_KEY, encode(self.owner))
        try:
            return await asyncio.wait_for(commit.wait(), within)
        except TimeoutError:
            return False

    async def run(self) -> None:
        """Write batches until another owner is met."""
        while not self.fenced.is_set():
            await self._wait_for_work()
            await self._write_batch()
            await asyncio.sleep(_APPEND_INTERVAL)

    async def flush(self) -> bool:
        """Wait until all that was put before is written; tell whether it is."""
        if self._value_by_key:
            return await self._commit.wait()
        return await self._in_flight.wait()

    async def _wait_for_work(self) -> None:
        try:
            await asyncio.wait_for(self._wanted.wait(), CONFIRM_INTERVAL)
        except (TimeoutError, asyncio.TimeoutError):
            self._value_by_key.setdefault(OWNER_KEY, encode(self.owner))

    async def _write_batch(self) -> None:
        records = [
            KeyedRecord(key, value) for key, value in self._value_by_key.items()
        ]
        commit = self._commit
        self._in_flight = commit
        self._value_by_key = {}
        self._bytes = 0
        self._commit = Commit()
        self._wanted.clear()
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
        """Append, however long it takes; False if another owner wrote.

        What the store refuses may be withdrawn before the next try; what may
        have got there is sent again unchanged.
        """
        written_before = commit.may_be_written
        doubtful = False
        while True:
            commit.may_be_written = True
            sent_at = self._clock()
            place = await append_once(self.view, records, self._end)
            if place in FINAL_STATUSES:
                self.last_error = ''
                break
            self.last_error = 'no append taken'
            doubtful = doubtful or place is AppendStatus.UNKNOWN
            commit.may_be_written = doubtful or written_before
            self._refused = [] if commit.may_be_written else records
            await asyncio.sleep(_RETRY_PAUSE)
            records = records if commit.may_be_written else self._refused
            self._refused = []
        if place is AppendStatus.CONFLICT:
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
        Epoch of the owner to be replaced; a newer one is left alone.

    Raises
    ------
    TakeOverError
        If the store can't be read or written, or another was faster.
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
    place = await append_once(view, [record], expected)
    while place not in FINAL_STATUSES:
        await asyncio.sleep(_RETRY_PAUSE)
        place = await append_once(view, [record], expected)
    if place is AppendStatus.CONFLICT:
        raise TakeOverError('another process wrote first')
    return JournalWriter(view, owner, clock, Offset(expected + 1))


def highest_fence(view: JournalView) -> Epoch:
    """Return the highest fencing token that a journal names, 0 if none."""
    kept = view.value_by_key.get(FENCE_KEY)
    return Epoch(0) if kept is None else decode_fence(kept)


async def read_owner(view: JournalView) -> OwnerRecord | None:
    """Read who owns, and nothing else; None if nobody does or can be told."""
    page = await view.store.latest(view.topic, BEFORE_OWNER_KEY)
    if isinstance(page, Unavailable):
        return None
    values = (one.value for one in page.records if one.key == OWNER_KEY)
    kept = next(values, None)
    return None if kept is None else decode_owner(kept)


def current_owner(view: JournalView) -> OwnerRecord | None:
    """Return the owner named by what was read, if any."""
    kept = view.value_by_key.get(OWNER_KEY)
    return None if kept is None else decode_owner(kept)


def _chunks(records: list[KeyedRecord]) -> list[list[KeyedRecord]]:
    """Split into parts that one call may carry, in order."""
    chunks: list[list[KeyedRecord]] = [[]]
    size = 0
    for record in records:
        if size > _BATCH_BYTES:
            chunks.append([])
            size = 0
        chunks[-1].append(record)
        size += len(record.value)
    return chunks
