"""Workers of the shard: their entries in the store, a session with each."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from contextlib import AsyncExitStack
from functools import partial

import msgspec
import structlog
from result import Ok, Result

from orchidrail.background_tasks import BackgroundTasks
from orchidrail.journal import JournalView
from orchidrail.shard.crash_evidence import IncarnationEnd
from orchidrail.shard.entry_history import EntryHistory
from orchidrail.shard.runs import RunTracker
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import TrackedWorker
from orchidrail.types import (
    Epoch,
    Seconds,
    ServiceName,
    WorkerId,
    WorkerName,
)
from orchidrail.work.records import worker_values
from orchidrail.workers.entry_errors import EntryErrorKind, InvalidEntry
from orchidrail.workers.port import WorkerCalls, WorkerEntry, WorkerState
from orchidrail.workers.run_lease import RunLease
from orchidrail.workers.session import WorkerSession

_log = structlog.get_logger()
#: Interval between reads of the entries; a worker that leaves must get no work
#: after 2 s.
_READ_INTERVAL: Seconds = 0.35
#: How long an entry may be missing before an unreachable worker is dropped.
_MAX_MISSING: Seconds = 5.0
#: Entries that expired while the store was unreachable are back about 2 s after
#: its return; until then a missing entry is no evidence against its worker.
_ENTRIES_RETURN_WITHIN: Seconds = 2.3
#: Outage of the store after which entries may have expired: their expiry takes
#: three heartbeats of 1.5 s.
_ENTRIES_EXPIRE_AFTER: Seconds = 3.0
#: Delay before a failed session is restarted.
_SESSION_RESTART_DELAY: Seconds = 0.5
_decode_saved = msgspec.msgpack.Decoder(WorkerEntry).decode

EntryDecoder = Callable[[str, bytes], Result[WorkerEntry, InvalidEntry]]


class Fleet:
    """Maintains a session with each worker of the shard.

    Parameters
    ----------
    state : ShardState
    runs : RunTracker
        Observes the sessions.
    view : JournalView
        Follows the workers' entries.
    calls : WorkerCalls
    decode : callable
        Decodes an entry.
    serves : callable
        Whether any queue is run by a service.
    longest_lease : float
        Seconds.
    prior_leases_end : float
        When all runs of previous owners have certainly ended.
    may_renew : callable
        Whether this owner may still keep runs alive.
    """

    def __init__(
        self,
        state: ShardState,
        runs: RunTracker,
        view: JournalView,
        calls: WorkerCalls,
        decode: EntryDecoder,
        *,
        serves: Callable[[ServiceName], bool],
        longest_lease: Seconds,
        prior_leases_end: Seconds,
        may_renew: Callable[[], bool],
    ) -> None:
        """Start without workers."""
        self._state = state
        self._runs = runs
        self._view = view
        self._calls = calls
        self._decode = decode
        self._serves = serves
        #: Rejected entries. A worker with such an entry gets no new work, but
        #: its runs keep their lease, since the entry may have been written by
        #: somebody else. Presuming the worker gone would end healthy runs.
        self._error_kind_by_name: dict[WorkerName, EntryErrorKind] = {}
        self._longest_lease = longest_lease
        self._prior_leases_end = prior_leases_end
        self._may_renew = may_renew
        self._raw_by_name: dict[WorkerName, bytes] = {}
        #: The current incarnation under each name, and the last one that is
        #: known to have ended: its entry may be read once more after that.
        self._worker_by_name: dict[WorkerName, WorkerId] = {}
        self._ended_by_name: dict[WorkerName, WorkerId] = {}
        #: Highest fencing token used for each name. No name is ever removed: an
        #: order for an earlier incarnation may arrive late and must find a
        #: higher token.
        self._fencing_token_by_name: dict[WorkerName, Epoch] = {}
        #: Incarnations that have responded, but whose own entry has not been
        #: read.
        self._unread_workers: set[WorkerId] = set()
        self._task_by_worker: dict[WorkerId, asyncio.Task[None]] = {}
        self._sessions = BackgroundTasks('session')
        self._history = EntryHistory()
        self._read_at = state.clock()
        #: Until then a worker without an entry may still be given work.
        self._entries_settled_at = state.clock() + _ENTRIES_RETURN_WITHIN

    async def run(self) -> None:
        """Follow the entries until cancelled."""
        async with AsyncExitStack() as stack:
            stack.callback(self._cancel_all)
            self._open_previous_sessions()
            sweeping = asyncio.create_task(self._sweep_on_end())
            stack.callback(sweeping.cancel)
            while True:
                started_at = self._state.clock()
                if await self._view.catch_up():
                    self._record_read(started_at)
                    self._apply_entries()
                self._sweep()
                await asyncio.sleep(_READ_INTERVAL)

    async def _sweep_on_end(self) -> None:
        """Process ended incarnations, and their successors, without delay."""
        while True:
            await self._state.incarnation_ended.wait()
            self._state.incarnation_ended.clear()
            self._sweep()

    def poll_soon(self) -> None:
        """Poll all workers now: connections to some stopped responding."""
        for tracked in self._state.tracked_by_worker.values():
            if tracked.session.reachable:
                tracked.session.poll_soon()

    def _open_previous_sessions(self) -> None:
        """Open sessions with the workers of the previous owner.

        Their entries may have expired while they kept running, and some of
        their runs may be in no journal.
        """
        for raw in worker_values(self._state.writer.view.value_by_key):
            entry = _decode_saved(raw)
            self._open_session(entry)
            self._state.save_worker(entry)

    def _record_read(self, started_at: Seconds) -> None:
        now = self._state.clock()
        if now - self._read_at > _ENTRIES_EXPIRE_AFTER:
            self._entries_settled_at = now + _ENTRIES_RETURN_WITHIN
        self._read_at = now
        self._history.begin_read(started_at, now)

    def _cancel_all(self) -> None:
        for task in self._task_by_worker.values():
            task.cancel()

    def _apply_entries(self) -> None:
        now = self._state.clock()
        raw_by_key = self._view.value_by_key
        for key, raw in raw_by_key.items():
            name = WorkerName(key)
            if self._raw_by_name.get(name) != raw:
                self._raw_by_name[name] = raw
                if self._apply_entry(name, raw):
                    self._history.note_written(name)
                else:
                    # Its expiry may not be postponed by another writer.
                    self._history.forget(name)
        for tracked in self._state.tracked_by_worker.values():
            self._check_listed(tracked, raw_by_key, now)
        for name in self._raw_by_name.keys() - raw_by_key.keys():
            self._raw_by_name.pop(name)
            self._ended_by_name.pop(name, None)
            self._error_kind_by_name.pop(name, None)
            self._history.forget(name)

    def _check_listed(
        self,
        tracked: TrackedWorker,
        raw_by_key: dict[str, bytes],
        now: Seconds,
    ) -> None:
        """Record whether a worker has an entry, and a usable one."""
        name = tracked.entry.name
        listed = name in raw_by_key
        if listed:
            tracked.entry_missing_since = None
            tracked.entry_removed = False
        elif tracked.entry_missing_since is None:
            tracked.entry_missing_since = now
            tracked.entry_removed = self._history.is_removed(name)
            self._log_missing(tracked)
        usable = listed and name not in self._error_kind_by_name
        may_return = not listed and now < self._entries_settled_at
        unread_entry = tracked.worker in self._unread_workers
        self._set_listed(tracked, (usable or may_return) and not unread_entry)

    def _log_missing(self, tracked: TrackedWorker) -> None:
        age = self._history.age(tracked.entry.name)
        _log.info(
            'worker entry is missing',
            worker=tracked.worker,
            state=tracked.entry.state.value,
            removed=tracked.entry_removed,
            age=round(age, 3) if math.isfinite(age) else None,
        )

    def _set_listed(self, tracked: TrackedWorker, listed: bool) -> None:
        if tracked.listed is not listed:
            tracked.listed = listed
            self._state.pass_requested.set()
            _log.info(
                'worker entry is back' if listed else 'worker entry is gone',
                worker=tracked.worker,
            )

    def _apply_entry(self, name: WorkerName, raw: bytes) -> bool:
        """Apply an entry; return whether the worker certainly wrote it."""
        decoded = self._decode(name, raw)
        if not isinstance(decoded, Ok):
            self._reject_entry(name, decoded.err_value)
            return False
        entry = decoded.ok_value
        if entry.born is not None and (
            entry.worker == self._ended_by_name.get(name)
        ):
            return False
        tracked = self._find_tracked(name)
        error = self._check_entry(tracked, entry)
        if error is not None:
            self._reject_entry(name, error)
            return False
        if self._error_kind_by_name.pop(name, None) is not None:
            _log.info('worker entry understood', worker=name)
        if tracked is not None and not tracked.session.matches_incarnation(
            entry.born
        ):
            # A worker restarts only after its previous incarnation has ended.
            _log.info(
                'entry of another life',
                worker=tracked.worker,
                entry=entry.worker,
            )
            tracked.session.end_incarnation(entry.born)
            self._drop(tracked)
            tracked = None
        if tracked is None:
            self._open_session(entry)
            self._state.save_worker(entry)
            return True
        return self._update_entry(tracked, entry)

    def _check_entry(
        self, tracked: TrackedWorker | None, entry: WorkerEntry
    ) -> InvalidEntry | None:
        """Return why an entry is rejected, None if it is valid.

        An entry that names another start than a worker which runs tasks may be
        by another writer. A worker that has restarted runs nothing, which a
        poll shows; its entry is read again after that.
        """
        if tracked is None:
            if self._serves(entry.service):
                return None
            reason = f'{entry.service!r}, expected the service of a queue'
            return InvalidEntry(EntryErrorKind.SERVICE, reason)
        if not tracked.shows_runs or tracked.session.matches_incarnation(
            entry.born
        ):
            return None
        tracked.session.poll_soon()
        self._raw_by_name.pop(entry.name)
        reason = f'{entry.worker!r}, expected {tracked.worker!r} with its runs'
        return InvalidEntry(EntryErrorKind.INCARNATION, reason)

    def _reject_entry(self, name: WorkerName, error: InvalidEntry) -> None:
        """Reject an entry; log it once per error kind, not per change."""
        if self._error_kind_by_name.get(name) is error.kind:
            return
        self._error_kind_by_name[name] = error.kind
        self._state.metrics.rejected_entries.labels(error.kind.value).inc()
        _log.warning(
            'worker entry passed over',
            worker=name,
            flaw=error.kind.value,
            reason=error.reason,
        )

    def _find_tracked(self, name: WorkerName) -> TrackedWorker | None:
        worker = self._worker_by_name.get(name)
        if worker is None:
            return None
        return self._state.tracked_by_worker.get(worker)

    def _update_entry(self, tracked: TrackedWorker, entry: WorkerEntry) -> bool:
        """Apply a new entry of a known worker, unless it is not its own.

        Returns
        -------
        Whether the worker certainly wrote it: the address is the one before.
        """
        same_address = entry.address == tracked.session.entry.address
        if not self._check_address(tracked, entry):
            return False
        before = tracked.entry
        tracked.apply_entry(entry)
        changed = (entry.state, entry.capacity) != (
            before.state,
            before.capacity,
        )
        if changed or tracked.worker in self._unread_workers:
            self._unread_workers.discard(tracked.worker)
            _log.info(
                'worker entry changed',
                worker=tracked.worker,
                state=entry.state.value,
                leaves_in=entry.leaves_in,
                capacity=entry.capacity,
                free=tracked.free,
            )
            self._state.pass_requested.set()
            self._state.save_worker(entry)
        return same_address

    def _check_address(
        self,
        tracked: TrackedWorker,
        entry: WorkerEntry,
    ) -> bool:
        """Return whether an entry is the worker's own, as far as is known.

        An incarnation keeps its address, so of two entries with different
        addresses one was written by somebody else. While the worker responds at
        its address, the other entry is rejected together with the capacity that
        it states. Otherwise the newer entry is tried, since the entry that a
        previous owner saved may be the foreign one.
        """
        session = tracked.session
        if entry.address == session.entry.address:
            return True
        _log.warning(
            'entry with another address',
            worker=tracked.worker,
            address=entry.address,
            called_at=session.entry.address,
            answers=session.reachable,
        )
        if session.reachable:
            return False
        session.entry = msgspec.structs.replace(
            session.entry,
            address=entry.address,
            service=entry.service,
        )
        return True

    def _open_session(self, entry: WorkerEntry) -> None:
        """Open a session under a higher fencing token than any before it.

        The token invalidates orders for an earlier incarnation that are
        executed late. Without it up to 62 tasks were repeated on a modelled day
        of 30 s in which one order in ten came late.
        """
        epoch = self._state.writer.owner.epoch
        prior_leases_end = self._prior_leases_end
        previous_token = self._fencing_token_by_name.get(entry.name)
        if previous_token is not None:
            epoch = Epoch(previous_token + 1)
            now = self._state.clock()
            prior_leases_end = max(prior_leases_end, now + self._longest_lease)
        self._fencing_token_by_name[entry.name] = epoch
        session = WorkerSession(
            entry,
            self._calls,
            epoch,
            RunLease(self._longest_lease, prior_leases_end),
            self._runs,
            self._state.clock,
            self._may_renew,
            self._state.reserve_fencing_token,
        )
        tracked = TrackedWorker(
            session, self._state.ledger, self._state.zone_gate
        )
        tracked.crashed_at = self._runs.last_crash_at(entry.address)
        self._state.tracked_by_worker[tracked.worker] = tracked
        self._worker_by_name[entry.name] = tracked.worker
        self._spawn_session(session)
        _log.info(
            'worker session opened', worker=tracked.worker, zone=entry.zone
        )

    def _spawn_session(self, session: WorkerSession) -> None:
        """Run a session, restarted if it fails: its worker must be polled."""
        restart = partial(
            asyncio.get_running_loop().call_later,
            _SESSION_RESTART_DELAY,
            self._restart_session,
            session,
        )
        task = self._sessions.spawn(self._run_session(session), restart)
        self._task_by_worker[session.worker] = task

    async def _run_session(self, session: WorkerSession) -> None:
        if await self._state.reserve_fencing_token(session.epoch):
            await session.run()

    def _restart_session(self, session: WorkerSession) -> None:
        tracked = self._state.tracked_by_worker.get(session.worker)
        if tracked is not None and tracked.session is session:
            self._spawn_session(session)

    def _sweep(self) -> None:
        """Presume workers lost whose leases expired; drop those that left."""
        now = self._state.clock()
        for worker, tracked in list(self._state.tracked_by_worker.items()):
            session = tracked.session
            if self._has_left(tracked):
                _log.info('worker has left', worker=worker)
                session.end_incarnation()
            lease_expired = not session.reachable and session.lease.expired(now)
            if lease_expired and not session.terminated:
                self._runs.presume_worker_lost(
                    worker, IncarnationEnd.LEASE_EXPIRED
                )
            if session.terminated or (
                lease_expired and self._may_be_dropped(tracked, now)
            ):
                self._drop(tracked)
                self._open_next_incarnation(session)
        if now > self._prior_leases_end:
            self._sweep_unreached()

    def _open_next_incarnation(self, session: WorkerSession) -> None:
        """Open a session with the next incarnation, to invalidate older orders.

        It gets no work until its own entry is read: its capacity may differ.
        """
        if session.next_incarnation is None or self._find_tracked(
            session.entry.name
        ):
            return
        entry = msgspec.structs.replace(session.entry, born=session.next_born)
        self._unread_workers.add(entry.worker)
        self._open_session(entry)
        self._state.tracked_by_worker[entry.worker].listed = False

    def _sweep_unreached(self) -> None:
        """Presume workers of a previous owner lost that never responded."""
        unreached = self._state.unresolved_runs.keys()
        for worker in unreached - self._state.tracked_by_worker.keys():
            self._runs.presume_worker_lost(worker, IncarnationEnd.NEVER_REACHED)

    def _has_left(self, tracked: TrackedWorker) -> bool:
        """Whether a draining worker has left, and all its runs have ended.

        Its entry is removed at once then. An expired entry is no evidence: the
        worker may be partitioned and still run its tasks.
        """
        session = tracked.session
        draining = tracked.entry.state is WorkerState.DRAINING
        if session.reachable or session.terminated:
            return False
        return draining and tracked.entry_removed

    def _may_be_dropped(self, tracked: TrackedWorker, now: Seconds) -> bool:
        since = tracked.entry_missing_since
        if since is None or tracked.run_by_key:
            return False
        draining = tracked.entry.state is WorkerState.DRAINING
        return draining or now - since > _MAX_MISSING

    def _drop(self, tracked: TrackedWorker) -> None:
        name = tracked.entry.name
        self._fencing_token_by_name[name] = tracked.session.epoch
        if tracked.session.terminated:
            self._ended_by_name[name] = tracked.session.entry.worker
        tracked.session.close()
        self._history.forget(name)
        self._worker_by_name.pop(name, None)
        self._unread_workers.discard(tracked.worker)
        self._state.tracked_by_worker.pop(tracked.worker, None)
        self._state.delete_worker(tracked)
        task = self._task_by_worker.pop(tracked.worker, None)
        if task is not None:
            task.cancel()
        _log.info('worker session closed', worker=tracked.worker)
