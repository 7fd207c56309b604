"""Tests of the journal's records beside those of older versions.

While all instances are replaced in turn, owners of both versions follow one
another on one journal.
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

_LIFE = WorkerId('w-1@1712345678901')


class _OlderRow(msgspec.Struct, array_like=True):
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


class _OlderProgress(msgspec.Struct, array_like=True):
    rows: list[_OlderRow]


class _OlderEntry(msgspec.Struct):
    worker: str


class RecordsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.job = make_job(StepSpec(1))
        task = self.job.steps(0)[0].tasks[0]
        self.job.place(task, RunNumber(3), _LIFE)
        self.raw = encode(Progress(self.job.rows()))

    def test_the_life_that_has_a_run_is_kept(self) -> None:
        restored = make_job(StepSpec(1))
        restored.restore(decode_progress(self.raw))
        self.assertEqual(_LIFE, restored.steps(0)[0].tasks[0].worker)

    def test_an_older_version_reads_the_name(self) -> None:
        rows = msgspec.msgpack.decode(self.raw, type=_OlderProgress).rows
        self.assertEqual([('w-1', 3)], [(row.worker, row.run) for row in rows])
        entry = msgspec.structs.replace(make_entry(), born=5)
        older = msgspec.msgpack.decode(encode(entry), type=_OlderEntry)
        self.assertEqual('w-1', older.worker)

    def test_what_an_older_version_wrote_names_no_life(self) -> None:
        row = _OlderRow(0, 0, 0, 1, 3, 'w-1')
        restored = make_job(StepSpec(1))
        restored.restore(decode_progress(encode(_OlderProgress([row]))))
        task = restored.steps(0)[0].tasks[0]
        self.assertEqual(('w-1', 3), (task.worker, task.run))
        fields = msgspec.to_builtins(make_entry())
        fields.pop('born')
        entry = msgspec.msgpack.decode(encode(fields), type=WorkerEntry)
        self.assertEqual(('w-1', None), (entry.worker, entry.born))
