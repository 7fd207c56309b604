"""Size and processor time of the progress of jobs in the owner's journal.

A cell of jobs of one width runs for some time: at each step a share of the
waiting tasks start and of the placed ones end, one change after the other, as
the owner makes them. Batches are taken at an interval of changes, as an append
does; with longer ones, the journal responds more slowly.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import fire

from orchidrail.journal.queued_values import QueuedValues
from orchidrail.store import KeyedRecord
from orchidrail.types import JobId, RunNumber, WorkerId
from orchidrail.work.job import Job
from orchidrail.work.model import JobSpec, QueueSettings, StepSpec
from orchidrail.work.records import (
    JobRecord,
    Progress,
    TaskPhase,
    encode,
    encode_progress,
    progress_key,
)
from orchidrail.work.size import Size
from orchidrail.workers.port import RunEnding

_CHANGES = 20_000
_JOBS = 200
_MICROSECONDS = 1e6
_QUEUE = QueueSettings('queue', 'host', '/q/', 'service')  # type: ignore[arg-type]


class _Figures(NamedTuple):
    """Of one way to save: per change of a job.

    Parameters
    ----------
    written, counted : float
        Bytes of values that are written, and that count as waiting.
    microseconds : float
        Processor time of saving, encoding included.
    """

    written: float
    counted: float
    microseconds: float


class _SavedAtOnce:
    """Encodes all fields at each change, and counts the bytes of each."""

    def __init__(self) -> None:
        self._value_by_key: dict[str, bytes] = {}
        self._bytes = 0

    def save(self, job: Job) -> None:
        value = encode(Progress(job.rows()))
        self._value_by_key[progress_key(job.job_id)] = value
        self._bytes += len(value)

    def take(self) -> tuple[int, int]:
        records = [
            KeyedRecord(key, value) for key, value in self._value_by_key.items()
        ]
        written = sum(len(record.value) for record in records)
        counted = self._bytes
        self._value_by_key = {}
        self._bytes = 0
        return written, counted


class _SavedLazily:
    """Encodes a job once per batch, as the shard owner does."""

    def __init__(self) -> None:
        self._queued = QueuedValues()

    def save(self, job: Job) -> None:
        self._queued.put_lazily(
            progress_key(job.job_id), lambda: encode_progress(job.short_rows())
        )

    def take(self) -> tuple[int, int]:
        counted = self._queued.size
        written = sum(len(record.value) for record in self._queued.take())
        return written, counted


_Way = _SavedAtOnce | _SavedLazily


def _make_job(number: int, width: int) -> Job:
    step = StepSpec(width, size=Size(1000))
    spec = JobSpec('text', (step, StepSpec(1, after=(0,))))
    return Job(JobId(f'{number:016x}'), JobRecord(_QUEUE, spec, 0))


def _change(job: Job, random: Random, worker: WorkerId) -> bool:
    """Start or end one task; return False if the step is done."""
    tasks = job.steps(0)[0].tasks
    open_tasks = [one for one in tasks if one.phase is not TaskPhase.DONE]
    if not open_tasks:
        return False
    task = random.choice(open_tasks)
    if task.phase is TaskPhase.WAITING:
        job.place(task, RunNumber(task.run + 1), worker)
    else:
        job.end_run(task, task.run, RunEnding.DONE, '')
    return True


def _measure(
    make_way: Callable[[], _Way], width: int, batch: int, seed: int
) -> _Figures:
    random = Random(seed)
    jobs = [_make_job(number, width) for number in range(_JOBS)]
    way = make_way()
    written = counted = 0
    spent = 0.0
    for number in range(1, _CHANGES + 1):
        place = random.randrange(_JOBS)
        worker = WorkerId(f'worker-{random.randrange(200)}@1712345678901')
        if not _change(jobs[place], random, worker):
            jobs[place] = _make_job(_JOBS + number, width)
            _change(jobs[place], random, worker)
        start = time.process_time()
        way.save(jobs[place])
        taken = way.take() if number % batch == 0 else (0, 0)
        spent += time.process_time() - start
        written += taken[0]
        counted += taken[1]
    return _Figures(
        written / _CHANGES, counted / _CHANGES, spent / _CHANGES * _MICROSECONDS
    )


def main(seed: int = 1) -> None:
    """Print the figures by width of the jobs and changes in a batch."""
    print('tasks changes way written B counted B  µs, each a change')
    for width in (3, 15, 25, 150):
        for batch in (8, 100, 1000):
            for way in (_SavedAtOnce, _SavedLazily):
                found = _measure(way, width, batch, seed)
                print(
                    f'{width:5} {batch:7} {way.__name__:12}'
                    f'{found.written:10.0f}{found.counted:10.0f}'
                    f'{found.microseconds:8.1f}'
                )


if __name__ == '__main__':
    fire.Fire(main)
