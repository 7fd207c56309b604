"""Tests of the answers to job submissions and their timing."""

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
#: Time that a gateway waits for an answer beyond the caller's timeout.
_ANSWER_MARGIN: Seconds = 3
#: Between the submission and the end of the fault that delays it.
_FAULT_DURATION: Seconds = 1


class JobDeskTest(JobCase):
    def assert_refused(self, answer: Message) -> None:
        """Fail unless the answer is a refusal of a job that has not run."""
        self.assertIsInstance(answer, Refusal)
        self.assertIs(Verdict.NOT_RUN, answer.verdict)

    async def submit(self, patience: Seconds = _PATIENCE) -> Message:
        """Submit the job."""
        message = SubmitJob(job=SPEC, patience=patience)
        return await self.zone.daemon.handle(message)


class UnreachableWitnessTest(JobDeskTest):
    """Jobs whose witnesses are unreachable at first."""

    def test_a_witness_that_is_not_listed_yet_is_waited_for(self) -> None:
        """The key was issued by a scheduler with a newer instance list."""

        async def scenario() -> Message:
            listed = self.zone.services.instances
            self.zone.services.instances = listed[1:]
            await self.zone.hold()
            self.run_loop(self.zone.daemon.commit.run())
            submitting = asyncio.create_task(self.submit())
            await asyncio.sleep(_FAULT_DURATION)
            self.zone.services.instances = listed
            await self.zone.daemon.fleet.refresh()
            return await submitting

        self.assertIsInstance(self.run_scenario(scenario()), JobStatus)

    def test_a_witness_that_does_not_answer_is_asked_again(self) -> None:
        async def scenario() -> Message:
            await self.zone.hold()
            self.run_loop(self.zone.daemon.commit.run())
            failing = self.zone.transport.failing
            failing[Address('at:w-1')] = CallFailure.ANSWER_LOST
            submitting = asyncio.create_task(self.submit())
            await asyncio.sleep(_FAULT_DURATION)
            failing.clear()
            return await submitting

        self.assertIsInstance(self.run_scenario(scenario()), JobStatus)

    def test_unresponsive_witness_is_reported_before_the_caller_times_out(
        self,
    ) -> None:
        async def scenario() -> Message:
            await self.zone.hold()
            self.run_loop(self.zone.daemon.commit.run())
            failing = self.zone.transport.failing
            failing[Address('at:w-1')] = CallFailure.ANSWER_LOST
            return await asyncio.wait_for(
                self.submit(), _PATIENCE + _ANSWER_MARGIN
            )

        answer = self.run_scenario(scenario())
        self.assertIsInstance(answer, Refusal)
        self.assertIs(Verdict.MAY_HAVE_RUN, answer.verdict)


class UnknownClassTest(JobDeskTest):
    """Jobs of a class that the scheduler does not know yet."""

    def test_its_job_is_redirected_to_other_schedulers(self) -> None:
        """The claim is not settled, so the next scheduler may accept it."""

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

        self.assertIsInstance(self.run_scenario(scenario()), JobStatus)


class RefusedJobTest(JobDeskTest):
    """Jobs that an earlier call refused, but whose record is in the log."""

    def test_a_dropped_job_is_refused_again(self) -> None:
        async def scenario() -> Message:
            await self.zone.hold()
            self.refuse_at('w-0')
            self.run_log()
            entry = self.apply_records(JobAccepted(job=SPEC))
            while entry.ended is None:
                await asyncio.sleep(_FAULT_DURATION)
            return await self.submit()

        self.assert_refused(self.run_scenario(scenario()))

    def test_moved_job_is_not_accepted_before_recovery(self) -> None:
        """The refusal is stored only at the witnesses of its key."""

        async def scenario() -> Message:
            await self.zone.hold()
            self.refuse_at('w-0', 'w-1')
            self.run_log()
            self.apply_records(JobAccepted(job=SPEC), moved(1, 'w-2', 'w-1'))
            return await self.submit()

        self.assert_refused(self.run_scenario(scenario()))

    def test_moved_job_is_accepted_after_recovery(self) -> None:
        async def scenario() -> Message:
            await self.zone.hold()
            self.run_log()
            self.apply_records(JobAccepted(job=SPEC), moved(1, 'w-2', 'w-1'))
            return await self.submit()

        self.assertIsInstance(self.run_scenario(scenario()), JobStatus)
