"""The fold of a zone's job records."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod

import msgspec
import structlog

from orchidrail.jobs.records import (
    JobAccepted,
    JobCancelled,
    JobEnded,
    JobMoved,
    JobRecord,
    decode_record,
)
from orchidrail.jobs.witnesses import Witness, WitnessPair
from orchidrail.logservice.ports import LogRecord
from orchidrail.logstream.group_commit import split_group
from orchidrail.types import JobId, Offset, Seconds, WorkerId

#: Ended jobs that are retained for status queries.
_MAX_ENDED_JOBS = 10_000
_log = structlog.get_logger()


class JobEntry:
    """State of a job according to the log."""

    def __init__(self, accepted: JobAccepted) -> None:
        """Start from the record of the acceptance."""
        self.spec = accepted.job
        self.generation = accepted.generation
        spec = accepted.job
        self.witness = Witness(spec.witness, spec.witness_boot)
        self.backup = Witness(spec.backup, spec.backup_boot)
        #: Witnesses of earlier generations, the newest first.
        self.former: tuple[WitnessPair, ...] = tuple(accepted.former)
        if accepted.witness:
            self.witness = Witness(accepted.witness, accepted.witness_boot)
            self.backup = Witness(accepted.backup, accepted.backup_boot)
        self.cancelled = accepted.cancelled
        self.ended: JobEnded | None = None
        #: Set by the owner if both witnesses of a generation are lost.
        self.claims_lost = False
        #: Log time of the newest record that holds the whole job.
        self.kept_at: Seconds = 0

    def as_record(self) -> JobAccepted:
        """Return a record that holds the whole job."""
        return JobAccepted(
            job=self.spec,
            generation=self.generation,
            witness=self.witness.worker,
            witness_boot=self.witness.boot,
            backup=self.backup.worker,
            backup_boot=self.backup.boot,
            cancelled=self.cancelled,
            former=list(self.former),
        )

    def apply_newer(self, accepted: JobAccepted) -> None:
        """Apply a record of a later generation than the current one."""
        self.generation = accepted.generation
        self.witness = Witness(accepted.witness, accepted.witness_boot)
        self.backup = Witness(accepted.backup, accepted.backup_boot)
        self.former = tuple(accepted.former)


class JobBook:
    """All jobs of one zone that the log still holds.

    Parameters
    ----------
    on_change : callable, optional
        Called with the id of each job whose entry changed.
    """

    def __init__(
        self,
        on_change: Callable[[JobId], None] | None = None,
    ) -> None:
        """Start empty."""
        self.entry_by_job: dict[JobId, JobEntry] = {}
        self.open_jobs: set[JobId] = set()
        self.log_time: Seconds = 0
        #: Jobs whose acceptance was appended again after their end or move. A
        #: reader of the trimmed log would treat it as the current state.
        self.outdated: set[JobId] = set()
        self._ended_jobs: dict[JobId, None] = {}
        self._on_change = on_change or (lambda _job: None)

    def apply(self, record: LogRecord) -> None:
        """See `Fold.apply`."""
        self.log_time = max(self.log_time, record.at)
        for payload in split_group(record.payload):
            try:
                parsed = decode_record(payload)
            except msgspec.MsgspecError as error:
                _log.warning('invalid job record skipped', error=str(error))
                continue
            self._fold(parsed, record)

    def note_gap(self, first: Offset) -> None:
        """See `Fold.note_gap`; open jobs are appended again before a gap."""

    def witnessed_by(self, worker: WorkerId) -> list[JobEntry]:
        """Return the open jobs that have `worker` as their witness."""
        entries = (self.entry_by_job[job] for job in self.open_jobs)
        return [entry for entry in entries if entry.witness.worker == worker]

    @singledispatchmethod
    def _fold(self, record: JobRecord, source: LogRecord) -> None:
        raise TypeError(f'expected a job record, got {record!r}')

    @_fold.register
    def _(self, record: JobAccepted, source: LogRecord) -> None:
        known = self.entry_by_job.get(record.job.key)
        if known is None:
            known = JobEntry(record)
            self.entry_by_job[record.job.key] = known
            self.open_jobs.add(record.job.key)
            self._on_change(record.job.key)
        elif record.generation > known.generation:
            known.apply_newer(record)
            self._on_change(record.job.key)
        if known.ended is not None or record.generation < known.generation:
            self.outdated.add(record.job.key)
        else:
            self.outdated.discard(record.job.key)
            known.kept_at = source.at

    @_fold.register
    def _(self, record: JobMoved, source: LogRecord) -> None:
        entry = self.entry_by_job.get(record.job)
        if entry is None or entry.generation + 1 != record.generation:
            return
        entry.generation = record.generation
        # The claims stay at these witnesses until the new owner copies them.
        previous = WitnessPair(
            record.generation - 1, entry.witness, entry.backup
        )
        entry.former = (previous, *entry.former)
        entry.witness = Witness(record.witness, record.witness_boot)
        entry.backup = Witness(record.backup, record.backup_boot)
        self._on_change(record.job)

    @_fold.register
    def _(self, record: JobEnded, source: LogRecord) -> None:
        entry = self.entry_by_job.get(record.job)
        if entry is None:
            return
        self.outdated.discard(record.job)
        if entry.ended is not None:
            return
        entry.ended = record
        self.open_jobs.discard(record.job)
        self._ended_jobs[record.job] = None
        self._evict_oldest()
        self._on_change(record.job)

    @_fold.register
    def _(self, record: JobCancelled, source: LogRecord) -> None:
        entry = self.entry_by_job.get(record.job)
        if entry is not None:
            entry.cancelled = True
            self._on_change(record.job)

    def _evict_oldest(self) -> None:
        while len(self._ended_jobs) > _MAX_ENDED_JOBS:
            oldest = next(iter(self._ended_jobs))
            self._ended_jobs.pop(oldest)
            self.entry_by_job.pop(oldest, None)
