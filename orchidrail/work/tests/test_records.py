"""Tests of the compatibility of journal records between versions.

During a rolling upgrade, owners of both versions alternate on one journal.
"""

from __future__ import annotations

import msgspec
from testtools import TestCase

from orchidrail.types import RunNumber, WorkerId
from orchidrail.work.job import Job
from orchidrail.work.model import StepSpec
from orchidrail.work.records import (
    TaskPhase,
    decode_progress,
    encode,
    encode_progress,
)
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import RunEnding, WorkerEntry
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
        self.raw = encode_progress(self.job.short_rows())

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

    def test_a_task_that_is_done_takes_few_bytes(self) -> None:
        """Else the ends of a wide job fill appends over slow links."""
        job = _job_with_ends(StepSpec(100))
        done = [
            row.phase is TaskPhase.DONE
            for row in decode_progress(encode_progress(job.short_rows())).rows
        ]
        self.assertEqual((100, True), (len(done), all(done)))
        self.assertLess(len(encode_progress(job.short_rows())), 100 * 8)

    def test_older_version_reads_tasks_that_are_done(self) -> None:
        raw = encode_progress(_job_with_ends(StepSpec(2)).short_rows())
        rows = msgspec.msgpack.decode(raw, type=_OldProgress).rows
        self.assertEqual(
            [(0, TaskPhase.DONE, 1), (1, TaskPhase.DONE, 1)],
            [(row.index, row.phase, row.run) for row in rows],
        )
        restored = make_job(StepSpec(2), StepSpec(1, after=(0,)))
        restored.restore(decode_progress(raw))
        self.assertTrue(restored.steps(0)[0].done)
        self.assertEqual(set(), restored.workers)

    def test_workers_of_a_gang_that_is_done_are_kept(self) -> None:
        """Its other members may still run there when its job ends."""
        raw = encode_progress(
            _job_with_ends(StepSpec(2, gang=True)).short_rows()
        )
        restored = make_job(StepSpec(2, gang=True))
        restored.restore(decode_progress(raw))
        self.assertEqual({_INCARNATION_ID}, restored.workers)

    def test_failures_of_a_task_that_is_done_are_kept(self) -> None:
        job = make_job(StepSpec(1), StepSpec(1))
        task = job.steps(0)[0].tasks[0]
        for run, ending in ((1, RunEnding.FAILED), (2, RunEnding.DONE)):
            job.place(task, RunNumber(run), _INCARNATION_ID)
            job.end_run(task, RunNumber(run), ending, 'saved')
        restored = make_job(StepSpec(1), StepSpec(1))
        restored.restore(decode_progress(encode_progress(job.short_rows())))
        self.assertEqual(1, restored.failures())


def _job_with_ends(step: StepSpec) -> Job:
    """Return a job whose first step is done; a second one is not."""
    job = make_job(step, StepSpec(1, after=(0,)))
    for task in job.steps(0)[0].tasks:
        job.place(task, RunNumber(1), _INCARNATION_ID)
        job.end_run(task, RunNumber(1), RunEnding.DONE, '')
    return job
