"""Tests of the fold of job records, including those of a trimmed log."""

from __future__ import annotations

import msgspec
import testtools

from orchidrail.jobs.book import JobBook
from orchidrail.jobs.records import (
    JobAccepted,
    JobEnded,
    JobMoved,
    JobRecord,
    encode_record,
)
from orchidrail.logservice.ports import LogRecord
from orchidrail.types import (
    ClassName,
    JobId,
    JobState,
    Offset,
    TenantId,
    WorkerId,
    ZoneId,
)
from orchidrail.wire.messages import JobSpec

_JOB = JobId('j')
_ACCEPTED = JobAccepted(
    job=JobSpec(
        key=_JOB,
        tenant=TenantId('t'),
        class_name=ClassName('c'),
        zone=ZoneId('z'),
        witness=WorkerId('w-1'),
        witness_boot='b',
        backup=WorkerId('w-2'),
        backup_boot='b',
    ),
)
_ENDED = JobEnded(job=_JOB, state=JobState.DONE)


def _moved(generation: int, witness: str) -> JobMoved:
    return JobMoved(
        job=_JOB,
        generation=generation,
        witness=WorkerId(witness),
        witness_boot='b',
        backup=WorkerId('w-9'),
        backup_boot='b',
    )


class JobBookTest(testtools.TestCase):
    def fold(self, *records: JobRecord) -> JobBook:
        """Fold records, each in an append of its own."""
        book = JobBook()
        for offset, record in enumerate(records):
            payload = msgspec.json.encode([encode_record(record)]).decode()
            book.apply(LogRecord(Offset(offset), offset, payload))
        return book

    def test_a_repeated_acceptance_is_one_job(self) -> None:
        book = self.fold(_ACCEPTED, _ACCEPTED)
        self.assertEqual({_JOB}, book.open_jobs)
        self.assertEqual(set(), book.outdated)

    def test_the_first_move_of_a_generation_wins(self) -> None:
        book = self.fold(_ACCEPTED, _moved(1, 'w-3'), _moved(1, 'w-4'))
        self.assertEqual('w-3', book.entry_by_job[_JOB].witness.worker)

    def test_a_reappended_record_holds_the_whole_job(self) -> None:
        """A reader of the trimmed log also needs the earlier witnesses."""
        full = self.fold(_ACCEPTED, _moved(1, 'w-3'), _moved(2, 'w-4'))
        again = self.fold(full.entry_by_job[_JOB].as_record())
        for book in (full, again):
            entry = book.entry_by_job[_JOB]
            self.assertEqual(2, entry.generation)
            self.assertEqual('w-4', entry.witness.worker)
            self.assertEqual([1, 0], [one.generation for one in entry.former])

    def test_an_outdated_acceptance_is_detected(self) -> None:
        for records in (
            (_ACCEPTED, _ENDED, _ACCEPTED),
            (_ACCEPTED, _moved(1, 'w-3'), _ACCEPTED),
        ):
            book = self.fold(*records)
            self.assertEqual({_JOB}, book.outdated)
            entry = book.entry_by_job[_JOB]
            kept = entry.ended or entry.as_record()
            payload = msgspec.json.encode([encode_record(kept)]).decode()
            book.apply(LogRecord(Offset(9), 9, payload))
            self.assertEqual(set(), book.outdated)

    def test_a_newer_generation_replaces_an_older_one(self) -> None:
        newer = self.fold(_ACCEPTED, _moved(1, 'w-3')).entry_by_job[_JOB]
        book = self.fold(_ACCEPTED, newer.as_record())
        self.assertEqual(1, book.entry_by_job[_JOB].generation)

    def test_invalid_payloads_are_ignored(self) -> None:
        book = JobBook()
        for payload in ('', '{}', '["x"]', '[7]'):
            book.apply(LogRecord(Offset(0), 0, payload))
        self.assertEqual({}, book.entry_by_job)
