"""Tests of whether a job was refused before it was kept, over its moves."""

from __future__ import annotations

import asyncio

import msgspec

from orchidrail.jobs.book import JobBook, JobEntry
from orchidrail.jobs.records import JobAccepted, encode_record
from orchidrail.scheduler.daemon import SchedulerDaemon, jobs_stream
from orchidrail.scheduler.tests.job_case import JOB, SPEC, JobCase, moved
from orchidrail.scheduler.tests.small_zone import ZONE
from orchidrail.types import (
    Address,
    CallFailure,
    JobState,
    Offset,
    Seconds,
    WorkerId,
)
from orchidrail.wire.messages import FenceJob

#: Longer than an owner takes to find out that a job was refused.
_LONG: Seconds = 5
_STREAM = jobs_stream(ZONE)


class TakenUpJobTest(JobCase):
    """Jobs of which one witness was told a refusal, the other was not.

    Their caller was told that they may have run, so either end is right, but
    one that was taken up must not be dropped by a later owner.
    """

    def assert_runs(self, daemon: SchedulerDaemon, entry: JobEntry) -> None:
        """Fail unless a daemon runs the job and lets it go on."""
        self.assertIsNone(entry.ended)
        owned = daemon.runner.owned_by_job[JOB]
        self.assertEqual('', owned.detail)
        self.assertFalse(owned.cancelling.is_set())
        self.assertIs(JobState.RUNNING, owned.state)

    def test_it_goes_on_where_its_refusal_was_told(self) -> None:
        """It moves back to the worker that keeps the refusal."""

        async def scenario() -> None:
            await self.zone.hold()
            self.refuse_at('w-0')
            self.run_log()
            self.tell(JobAccepted(job=SPEC), moved(1, 'w-2', 'w-1'))
            await asyncio.sleep(_LONG)
            entry = self.tell(moved(2, 'w-0', 'w-3'))
            await asyncio.sleep(_LONG)
            self.assert_runs(self.zone.daemon, entry)

        self.play(scenario())

    def test_it_goes_on_if_its_owner_died_while_taking_it_up(self) -> None:
        """The backup of its second pair never heard that it was taken up."""

        async def scenario() -> None:
            await self.zone.hold()
            self.refuse_at('w-0')
            records = (JobAccepted(job=SPEC), moved(1, 'w-2', 'w-3'))
            failing = self.zone.transport.failing
            failing[Address('at:w-3')] = CallFailure.NOT_SENT
            self.tell(*records)
            await asyncio.sleep(_LONG)
            failing.clear()
            other = await self.next_owner()
            self.run_loop(other.commit.run())
            self.run_loop(other.jobs_follower.run())
            self.tell(*records, daemon=other)
            await asyncio.sleep(_LONG)
            self.zone.machine_by_name[WorkerId('w-1')].boot = 'b2'
            entry = self.tell(moved(2, 'w-4', 'w-2'), daemon=other)
            await asyncio.sleep(_LONG)
            self.assert_runs(other, entry)

        self.play(scenario())


class LateOwnerTest(JobCase):
    """An owner whose fold doesn't tell yet that the job was moved."""

    async def fence(self, generation: int, *workers: str) -> None:
        """Have workers refuse what is of earlier generations."""
        for worker in workers:
            machine = self.zone.machine_by_name[WorkerId(worker)]
            await machine.handle(FenceJob(job=JOB, generation=generation))

    def test_a_fenced_witness_is_not_taken_for_a_refusal(self) -> None:
        async def scenario() -> None:
            await self.zone.hold()
            await self.fence(1, 'w-1')
            self.run_log()
            entry = self.tell(JobAccepted(job=SPEC))
            await asyncio.sleep(_LONG)
            self.assertIsNone(entry.ended)

        self.play(scenario())

    def test_a_fenced_former_witness_is_not_taken_for_a_refusal(self) -> None:
        async def scenario() -> None:
            await self.zone.hold()
            await self.fence(2, 'w-0', 'w-1')
            self.run_log()
            entry = self.tell(JobAccepted(job=SPEC), moved(1, 'w-2', 'w-3'))
            await asyncio.sleep(_LONG)
            self.assertIsNone(entry.ended)

        self.play(scenario())

    def test_a_refusal_found_after_a_move_does_not_end_the_job(self) -> None:
        """The next owner read the witness that was told of no refusal."""

        async def scenario() -> JobBook:
            await self.zone.hold()
            self.refuse_at('w-0')
            await self.fence(1, 'w-1')
            accepted = JobAccepted(job=SPEC)
            for record in (accepted, moved(1, 'w-2', 'w-1')):
                payload = msgspec.json.encode([encode_record(record)])
                await self.zone.services.append(_STREAM, payload.decode())
            self.run_loop(self.zone.daemon.commit.run())
            self.tell(accepted)
            await asyncio.sleep(_LONG)
            book = JobBook()
            page = await self.zone.services.read(_STREAM, Offset(0), 9)
            for kept in self.assert_ok(page).records:
                book.apply(kept)
            return book

        self.assertEqual({JOB}, self.play(scenario()).open_jobs)

    def test_a_refusal_that_was_found_holds_for_the_next_owner(self) -> None:
        """Its end may come into the log late, when the witness is lost."""

        async def scenario() -> list[str]:
            await self.zone.hold()
            self.refuse_at('w-0')
            accepted = JobAccepted(job=SPEC)
            self.tell(accepted)
            await asyncio.sleep(_LONG)
            machines = self.zone.machine_by_name
            machines[WorkerId('w-0')].boot = 'b2'
            other = await self.next_owner()
            self.tell(accepted, moved(1, 'w-2', 'w-3'), daemon=other)
            await asyncio.sleep(_LONG)
            return [
                spec.key
                for machine in machines.values()
                for spec in machine.running
            ]

        self.assertEqual([], self.play(scenario()))
