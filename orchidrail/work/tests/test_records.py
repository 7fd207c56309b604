"""Tests of the compatibility of journal records between versions.

During a rolling upgrade, owners of both versions alternate on one journal.
"""

from __future__ import annotations

import msgspec
from testtools import TestCase

from orchidrail.types import RunNumber, WorkerId
from orchidrail.work.model import StepSpec
from orchidrail.work.records import Progress, decode_progress, encode
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import WorkerEntry
from orchidrail.workers.tests.fakes import make_entry

_INCARNATION_ID = WorkerId('w-1@1712345678901')


class _OldTaskRow(msgspec.Struct, array_like=True):
    round_number: int
    step: int
    index: int
    phase: int
    run: int = 0
    worker: str = ''
    failures: int = 0
    checkpoint: str = ''
    crashes: int = 0
    suspicion: int = 0


class _OldProgress(msgspec.Struct, array_like=True):
    rows: list[_OldTaskRow]


class _OldWorkerEntry(msgspec.Struct):
    worker: str


class RecordsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.job = make_job(StepSpec(1))
        task = self.job.steps(0)[0].tasks[0]
        self.job.place(task, RunNumber(3), _INCARNATION_ID)
        self.raw = encode(Progress(self.job.rows()))

    def test_incarnation_of_a_run_is_restored(self) -> None:
        restored = make_job(StepSpec(1))
        restored.restore(decode_progress(self.raw))
        self.assertEqual(_INCARNATION_ID, restored.steps(0)[0].tasks[0].worker)

    def test_older_version_reads_the_worker_name(self) -> None:
        rows = msgspec.msgpack.decode(self.raw, type=_OldProgress).rows
        self.assertEqual([('w-1', 3)], [(row.worker, row.run) for row in rows])
        entry = msgspec.structs.replace(make_entry(), born=5)
        old_entry = msgspec.msgpack.decode(encode(entry), type=_OldWorkerEntry)
        self.assertEqual('w-1', old_entry.worker)

    def test_records_of_an_older_version_name_no_incarnation(self) -> None:
        row = _OldTaskRow(0, 0, 0, 1, 3, 'w-1')
        restored = make_job(StepSpec(1))
        restored.restore(decode_progress(encode(_OldProgress([row]))))
        task = restored.steps(0)[0].tasks[0]
        self.assertEqual(('w-1', 3), (task.worker, task.run))
        fields = msgspec.to_builtins(make_entry())
        fields.pop('born')
        entry = msgspec.msgpack.decode(encode(fields), type=WorkerEntry)
        self.assertEqual(('w-1', None), (entry.worker, entry.born))
