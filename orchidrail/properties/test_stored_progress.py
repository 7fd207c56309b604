"""Property: the next owner restores the progress that was written.

Drawn jobs are placed, end, fail and are submitted again under the same id,
while owners fail after any append of a batch. The limit of an append is
lowered, so that each record is an append of its own.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple
from unittest import mock

from hypothesis import example, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from orchidrail.journal import JournalView
from orchidrail.journal import writer as writer_module
from orchidrail.journal.writer import take_over
from orchidrail.shard.owner import ShardOwner
from orchidrail.shard.tests.test_owner import make_ports
from orchidrail.store import Topic
from orchidrail.store.memory import MemoryStore
from orchidrail.types import Address, Epoch, InstanceId, JobId, WorkerId
from orchidrail.work import progress_blocks
from orchidrail.work.job import Job
from orchidrail.work.model import MemberInfo, StepSpec
from orchidrail.work.records import (
    DoneRow,
    EndedRecord,
    JobPhase,
    TaskPhase,
    TaskRow,
    encode,
    find_job_id,
    job_key,
    progress_key,
    read_jobs,
)
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.port import RunEnding

_TOPIC = Topic('journal')
_JOBS = ('0123456789abcdef', 'fedcba9876543210')
_STEPS = (StepSpec(3), StepSpec(2, gang=True))
_WORKERS = tuple(map(WorkerId, ('w-1@17', 'w-2@18', 'w-3')))
_endings = st.sampled_from(
    (RunEnding.DONE, RunEnding.DONE, RunEnding.FAILED, RunEnding.LAPSED)
)
_places = st.tuples(
    st.just('place'),
    st.sampled_from(_JOBS),
    st.tuples(st.integers(0, 1), st.sampled_from(_WORKERS)),
)
_ends = st.tuples(
    st.just('end'),
    st.sampled_from(_JOBS),
    st.tuples(st.integers(0, 1), st.integers(0, 2), _endings),
)
_fails = st.tuples(st.just('fail'), st.none(), st.integers(0, 3))
_writes = st.tuples(st.just('write'), st.none(), st.none())
_expires = st.tuples(st.just('expire'), st.sampled_from(_JOBS), st.none())
_cancels = st.tuples(st.just('cancel'), st.sampled_from(_JOBS), st.none())
_actions = st.one_of(
    _places, _places, _ends, _ends, _writes, _fails, _cancels, _expires
)


#: The owner fails after the first of two blocks in which a gang is done: the
#: checkpoint of the other member is not in the journal.
_GANG_DONE_IN_ONE_BLOCK: list[tuple[str, str, object]] = [
    ('place', _JOBS[1], (0, _WORKERS[0])),
    ('write', '', None),
    ('place', _JOBS[0], (0, _WORKERS[0])),
    ('place', _JOBS[1], (1, _WORKERS[0])),
    ('write', '', None),
    ('end', _JOBS[1], (1, 1, RunEnding.DONE)),
    ('fail', '', 1),
    ('place', _JOBS[0], (0, _WORKERS[0])),
]
#: The same for the failure of another member in the same run.
_GANG_FAILED_AND_DONE: list[tuple[str, str, object]] = [
    ('place', _JOBS[0], (0, _WORKERS[0])),
    ('place', _JOBS[0], (1, _WORKERS[0])),
    ('write', '', None),
    ('end', _JOBS[0], (1, 1, RunEnding.FAILED)),
    ('end', _JOBS[0], (1, 0, RunEnding.DONE)),
    ('fail', '', 1),
]


class _JobState(NamedTuple):
    """What the journal shows of a job; no rows if it is not open."""

    is_open: bool = False
    rows: tuple[str, ...] = ()


_Check = Callable[[TestCase, _JobState, set[_JobState]], None]


def _state_of(job: Job) -> _JobState:
    if job.ended:
        return _JobState()
    rows = [row for block in job.blocks() for row in job.short_rows(block)]
    return _JobState(True, tuple(map(repr, sorted(rows, key=_place))))


def _place(row: TaskRow | DoneRow) -> tuple[int, int, int]:
    return row.round_number, row.step, row.index


def _check_whole(
    case: TestCase, found: _JobState, allowed: set[_JobState]
) -> None:
    """Check that a job is as of one moment."""
    case.assertIn(found, allowed)


def _check_each_row(
    case: TestCase, found: _JobState, allowed: set[_JobState]
) -> None:
    """Check that each task is as of one moment; blocks may be of two."""
    case.assertIn(found.is_open, {state.is_open for state in allowed})
    rows = {row for state in allowed for row in state.rows}
    case.assertEqual(set(), set(found.rows) - rows)
    if len(allowed) == 1:
        _check_whole(case, found, allowed)


class _Scenario:
    """Successive owners of one journal, and what each append should show."""

    def __init__(self, case: TestCase, check: _Check) -> None:
        self._case = case
        self._check = check
        self._store = MemoryStore()
        self._epoch = 0
        #: As written by the last whole batch, and as queued since.
        self._written = dict.fromkeys(_JOBS, _JobState())
        #: Jobs of which a gang was placed since.
        self._unwritten_gangs: set[str] = set()

    async def start(self) -> None:
        """Let the next owner take over."""
        view = JournalView(self._store, _TOPIC)
        me = MemberInfo(InstanceId('me'), Address('me'), 'zone', 'me-1')
        writer = await take_over(view, me, time.monotonic, Epoch(self._epoch))
        self._epoch = writer.owner.epoch
        self._owner = ShardOwner(writer, make_ports(self._store))

    async def perform(self, actions: list[tuple[str, str, object]]) -> None:
        """Perform the actions in order."""
        await self.start()
        for kind, name, argument in actions:
            await getattr(self, f'_{kind}')(name, argument)
        await self._fail('', 0)

    async def _place(self, name: str, argument: tuple[int, WorkerId]) -> None:
        step_number, worker = argument
        jobs = self._owner.state.job_by_id
        job = jobs.get(JobId(name))
        if job is None:
            if job_key(JobId(name)) in self._owner.writer.view.value_by_key:
                return
            job = make_job(*_STEPS, job_id=name)
            jobs[job.job_id] = job
            self._owner.writer.put(job_key(job.job_id), encode(job.record))
        step = job.steps(0)[step_number]
        startable = step.startable()
        if startable:
            run = step.next_run(startable)
            for task in startable:
                job.place(task, run, worker)
            self._owner.state.save(job)
            if step.spec.gang:
                self._unwritten_gangs.add(name)

    async def _end(
        self, name: str, argument: tuple[int, int, RunEnding]
    ) -> None:
        step_number, index, ending = argument
        if name in self._unwritten_gangs and _STEPS[step_number].gang:
            # A gang is started once the placements of all members are written.
            await self._write()
        job = self._owner.state.job_by_id.get(JobId(name))
        task = job and job.find_task(0, step_number, index)
        if job is None or task is None or task.phase is not TaskPhase.PLACED:
            return
        job.end_run(task, task.run, ending, f'saved-{task.run}')
        self._owner.state.save(job)
        if job.ended:
            self._owner.state.job_by_id.pop(job.job_id)

    async def _cancel(self, name: str, _: object) -> None:
        job = self._owner.state.job_by_id.pop(JobId(name), None)
        if job is not None:
            job.phase = JobPhase.CANCELLED
            self._owner.state.save(job)

    async def _expire(self, name: str, _: object) -> None:
        """Delete the record of an ended job, so that its id is free again."""
        for stored in read_jobs(self._owner.writer.view.value_by_key):
            ended = isinstance(stored.record, EndedRecord)
            if stored.job_id == name and ended:
                self._owner.writer.put(job_key(stored.job_id), b'')
                await self._write('', None)

    async def _write(self, *_: object) -> None:
        """Write all that is queued."""
        await self._owner.writer._write_batch()
        self._written = self._current()
        self._unwritten_gangs.clear()

    async def _fail(self, _: str, kept: int) -> None:
        """Let the owner fail after `kept` appends of its last batch."""
        expected = self._current()
        records = self._store.records_by_topic[_TOPIC]
        before = len(records)
        await self._owner.writer._write_batch()
        whole = len(records) - before <= kept
        self._store.records_by_topic[_TOPIC] = records[: before + kept]
        await self.start()
        found = self._current()
        for name in _JOBS:
            allowed = {expected[name]}
            if not whole:
                # A job whose start is not written yet may be there alone.
                old = self._written[name]
                alone = old if old.is_open else _JobState(True)
                allowed |= {old, alone}
            self._check(self._case, found[name], allowed)
        await self._write()
        self._check_orphans()

    def _current(self) -> dict[str, _JobState]:
        jobs = self._owner.state.job_by_id
        return {
            name: _state_of(jobs[JobId(name)])
            if JobId(name) in jobs
            else _JobState()
            for name in _JOBS
        }

    def _check_orphans(self) -> None:
        value_by_key = self._owner.writer.view.value_by_key
        open_jobs = self._owner.state.job_by_id
        for key in value_by_key:
            if key.startswith(progress_key(JobId(''))):
                self._case.assertIn(find_job_id(key), open_jobs)


class StoredProgressProperty(TestCase):
    @settings(deadline=None, max_examples=200)
    @given(actions=st.lists(_actions, min_size=8, max_size=40))
    def test_the_next_owner_restores_what_was_written(
        self, actions: list[tuple[str, str, object]]
    ) -> None:
        with mock.patch.object(writer_module, '_MAX_CHUNK_BYTES', -1):
            asyncio.run(_Scenario(self, _check_whole).perform(actions))

    @settings(deadline=None, max_examples=200)
    @example(_GANG_DONE_IN_ONE_BLOCK)
    @example(_GANG_FAILED_AND_DONE)
    @given(actions=st.lists(_actions, min_size=8, max_size=40))
    def test_the_next_owner_restores_each_block(
        self, actions: list[tuple[str, str, object]]
    ) -> None:
        with (
            mock.patch.object(writer_module, '_MAX_CHUNK_BYTES', -1),
            mock.patch.object(progress_blocks, 'TASKS_PER_BLOCK', 2),
        ):
            asyncio.run(_Scenario(self, _check_each_row).perform(actions))
