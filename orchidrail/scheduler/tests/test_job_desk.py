"""Tests of accepting jobs: what a caller may be told, and when."""

from __future__ import annotations

import asyncio

from orchidrail.bundles.model import Bundle
from orchidrail.jobs.records import JobAccepted
from orchidrail.scheduler.tests.job_case import SPEC, JobCase, moved
from orchidrail.scheduler.tests.small_zone import ZONE, bundle
from orchidrail.types import (
    Address,
    CallFailure,
    RefusalCode,
    Seconds,
    Verdict,
)
from orchidrail.wire.messages import JobStatus, Message, Refusal, SubmitJob

_PATIENCE: Seconds = 5
#: How much longer than the caller's patience a gateway waits for an answer.
_MARGIN: Seconds = 3
#: Between the submission and the end of what hinders the acceptance.
_HINDERED: Seconds = 1


class JobDeskTest(JobCase):
    def assert_refused(self, answer: Message) -> None:
        """Fail unless the caller is told that the job has not run."""
        self.assertIsInstance(answer, Refusal)
        self.assertIs(Verdict.NOT_RUN, answer.verdict)

    async def submit(self, patience: Seconds = _PATIENCE) -> Message:
        """Hand the job in."""
        message = SubmitJob(job=SPEC, patience=patience)
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


class UnknownClassTest(JobDeskTest):
    """Jobs of a class that the scheduler has not heard of yet."""

    def test_its_job_is_left_to_other_schedulers(self) -> None:
        """Nothing is settled: the next one that is asked may accept it."""

        async def scenario() -> Message:
            await self.zone.hold()
            daemon = self.zone.daemon
            daemon.engine.use_bundle(Bundle(), ZONE)
            self.run_log()
            refusal = await self.submit()
            self.assertIsInstance(refusal, Refusal)
            self.assertIs(RefusalCode.NOT_HOLDER, refusal.code)
            daemon.engine.use_bundle(bundle(), ZONE)
            return await self.submit()

        self.assertIsInstance(self.play(scenario()), JobStatus)


class RefusedJobTest(JobDeskTest):
    """Jobs that an earlier call has refused, though their record was kept."""

    def test_a_dropped_job_is_refused_again(self) -> None:
        async def scenario() -> Message:
            await self.zone.hold()
            self.refuse_at('w-0')
            self.run_log()
            entry = self.tell(JobAccepted(job=SPEC))
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
            self.tell(JobAccepted(job=SPEC), moved(1, 'w-2', 'w-1'))
            return await self.submit()

        self.assert_refused(self.play(scenario()))

    def test_a_moved_job_is_accepted_once_it_is_taken_up(self) -> None:
        async def scenario() -> Message:
            await self.zone.hold()
            self.run_log()
            self.tell(JobAccepted(job=SPEC), moved(1, 'w-2', 'w-1'))
            return await self.submit()

        self.assertIsInstance(self.play(scenario()), JobStatus)
