"""Tests of accepting jobs: what a caller may be told, and when."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import msgspec

from orchidrail.jobs.attempts import job_claim
from orchidrail.jobs.book import JobEntry
from orchidrail.jobs.records import (
    JobAccepted,
    JobMoved,
    JobRecord,
    encode_record,
)
from orchidrail.logservice.ports import LogRecord
from orchidrail.resources import Resources
from orchidrail.scheduler.tests.small_zone import (
    BATCH,
    TENANT,
    ZONE,
    SmallZone,
)
from orchidrail.testing import AsyncTestCase
from orchidrail.types import (
    Address,
    CallFailure,
    JobId,
    Offset,
    Seconds,
    Verdict,
    WorkerId,
)
from orchidrail.wire.messages import (
    JobSpec,
    JobStatus,
    Message,
    Refusal,
    SubmitJob,
)
from standins.model.loop import run_in_virtual_time

_JOB = JobId('j')
_SPEC = JobSpec(
    key=_JOB,
    tenant=TENANT,
    class_name=BATCH,
    zone=ZONE,
    witness=WorkerId('w-0'),
    witness_boot='b',
    backup=WorkerId('w-1'),
    backup_boot='b',
    size=Resources(4, 4),
    payload='{"seconds": 600}',
)
_MOVED = JobMoved(
    job=_JOB,
    generation=1,
    witness=WorkerId('w-2'),
    witness_boot='b',
    backup=WorkerId('w-1'),
    backup_boot='b',
)
_PATIENCE: Seconds = 5
#: How much longer than the caller's patience a gateway waits for an answer.
_MARGIN: Seconds = 3
#: Between the submission and the end of what hinders the acceptance.
_HINDERED: Seconds = 1


class JobDeskTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.zone = SmallZone(workers=3)
        self._running: list[asyncio.Task[None]] = []

    def play(self, work: Coroutine[Any, Any, Message]) -> Message:
        """Run a scenario in virtual time; end what it left running."""

        async def scenario() -> Message:
            try:
                return await work
            finally:
                for task in self._running:
                    task.cancel()
                await self.zone.daemon.runner.close()

        return run_in_virtual_time(scenario())

    def run_loop(self, loop: Coroutine[None, None, None]) -> None:
        """Run one of the daemon's loops until the scenario is over."""
        self._running.append(asyncio.create_task(loop))

    def run_log(self) -> None:
        """Let the daemon write the log and read it."""
        self.run_loop(self.zone.daemon.commit.run())
        self.run_loop(self.zone.daemon.jobs_follower.run())

    def tell(self, *records: JobRecord) -> JobEntry:
        """Have the daemon's fold tell of records at once."""
        payload = msgspec.json.encode(list(map(encode_record, records)))
        book = self.zone.daemon.book
        book.apply(LogRecord(Offset(0), 0, payload.decode()))
        return book.entry_by_job[_JOB]

    def refuse_at(self, *workers: str) -> None:
        """Settle the job's claim, as a refusal of it does."""
        for worker in workers:
            machine = self.zone.machine_by_name[WorkerId(worker)]
            machine.settle([job_claim(_JOB)])

    def assert_refused(self, answer: Message) -> None:
        """Fail unless the caller is told that the job has not run."""
        self.assertIsInstance(answer, Refusal)
        self.assertIs(Verdict.NOT_RUN, answer.verdict)

    async def submit(self, patience: Seconds = _PATIENCE) -> Message:
        """Hand the job in."""
        message = SubmitJob(job=_SPEC, patience=patience)
        return await self.zone.daemon.handle(message)


class KeptJobTest(JobDeskTest):
    """Jobs whose witnesses can't be asked at first."""

    def test_a_witness_that_is_not_listed_yet_is_waited_for(self) -> None:
        """Another scheduler, whose list is newer, has issued the key."""

        async def scenario() -> Message:
            listed = self.zone.services.instances
            self.zone.services.instances = listed[1:]
            await self.zone.hold()
            self.run_loop(self.zone.daemon.commit.run())
            submitting = asyncio.create_task(self.submit())
            await asyncio.sleep(_HINDERED)
            self.zone.services.instances = listed
            await self.zone.daemon.fleet.refresh()
            return await submitting

        self.assertIsInstance(self.play(scenario()), JobStatus)

    def test_a_witness_that_does_not_answer_is_asked_again(self) -> None:
        async def scenario() -> Message:
            await self.zone.hold()
            self.run_loop(self.zone.daemon.commit.run())
            failing = self.zone.transport.failing
            failing[Address('at:w-1')] = CallFailure.ANSWER_LOST
            submitting = asyncio.create_task(self.submit())
            await asyncio.sleep(_HINDERED)
            failing.clear()
            return await submitting

        self.assertIsInstance(self.play(scenario()), JobStatus)

    def test_a_silent_witness_is_told_of_while_the_caller_listens(self) -> None:
        async def scenario() -> Message:
            await self.zone.hold()
            self.run_loop(self.zone.daemon.commit.run())
            failing = self.zone.transport.failing
            failing[Address('at:w-1')] = CallFailure.ANSWER_LOST
            return await asyncio.wait_for(self.submit(), _PATIENCE + _MARGIN)

        answer = self.play(scenario())
        self.assertIsInstance(answer, Refusal)
        self.assertIs(Verdict.MAY_HAVE_RUN, answer.verdict)


class RefusedJobTest(JobDeskTest):
    """Jobs that an earlier call has refused, though their record was kept."""

    def test_a_dropped_job_is_refused_again(self) -> None:
        async def scenario() -> Message:
            await self.zone.hold()
            self.refuse_at('w-0')
            self.run_log()
            entry = self.tell(JobAccepted(job=_SPEC))
            while entry.ended is None:
                await asyncio.sleep(_HINDERED)
            return await self.submit()

        self.assert_refused(self.play(scenario()))

    def test_a_moved_job_is_not_accepted_before_it_is_taken_up(self) -> None:
        """Only the witnesses of its key know that it was refused."""

        async def scenario() -> Message:
            await self.zone.hold()
            self.refuse_at('w-0', 'w-1')
            self.run_log()
            self.tell(JobAccepted(job=_SPEC), _MOVED)
            return await self.submit()

        self.assert_refused(self.play(scenario()))

    def test_a_moved_job_is_accepted_once_it_is_taken_up(self) -> None:
        async def scenario() -> Message:
            await self.zone.hold()
            self.run_log()
            self.tell(JobAccepted(job=_SPEC), _MOVED)
            return await self.submit()

        self.assertIsInstance(self.play(scenario()), JobStatus)
