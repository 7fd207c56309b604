"""Tests of detecting a refused job across moves to other witnesses."""

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

#: Longer than an owner needs to detect that a job was refused.
_SETTLING_TIME: Seconds = 5
_STREAM = jobs_stream(ZONE)


class PartlyRefusedJobTest(JobCase):
    """Jobs whose refusal is stored at only one of the two witnesses.

    The caller was told that the job may have run, so it may run or be
    dropped, but once an owner accepts it no later owner may drop it.
    """

    def assert_runs(self, daemon: SchedulerDaemon, entry: JobEntry) -> None:
        """Fail unless a daemon runs the job without cancelling it."""
        self.assertIsNone(entry.ended)
        owned = daemon.runner.owned_by_job[JOB]
        self.assertEqual('', owned.detail)
        self.assertFalse(owned.cancelling.is_set())
        self.assertIs(JobState.RUNNING, owned.state)

    def test_it_continues_at_the_worker_that_keeps_the_refusal(self) -> None:
        """It moves back to the worker that stores the refusal."""

        async def scenario() -> None:
            await self.zone.hold()
            self.refuse_at('w-0')
            self.run_log()
            self.apply_records(JobAccepted(job=SPEC), moved(1, 'w-2', 'w-1'))
            await asyncio.sleep(_SETTLING_TIME)
            entry = self.apply_records(moved(2, 'w-0', 'w-3'))
            await asyncio.sleep(_SETTLING_TIME)
            self.assert_runs(self.zone.daemon, entry)

        self.run_scenario(scenario())

    def test_it_continues_if_its_owner_died_during_recovery(self) -> None:
        """The backup of the second pair never stored the acceptance."""

        async def scenario() -> None:
            await self.zone.hold()
            self.refuse_at('w-0')
            records = (JobAccepted(job=SPEC), moved(1, 'w-2', 'w-3'))
            failing = self.zone.transport.failing
            failing[Address('at:w-3')] = CallFailure.NOT_SENT
            self.apply_records(*records)
            await asyncio.sleep(_SETTLING_TIME)
            failing.clear()
            other = await self.start_next_owner()
            self.run_loop(other.commit.run())
            self.run_loop(other.jobs_follower.run())
            self.apply_records(*records, daemon=other)
            await asyncio.sleep(_SETTLING_TIME)
            self.zone.machine_by_name[WorkerId('w-1')].boot = 'b2'
            entry = self.apply_records(moved(2, 'w-4', 'w-2'), daemon=other)
            await asyncio.sleep(_SETTLING_TIME)
            self.assert_runs(other, entry)

        self.run_scenario(scenario())


class StaleOwnerTest(JobCase):
    """An owner that has not read the job's move from the log yet."""

    async def fence(self, generation: int, *workers: str) -> None:
        """Fence earlier generations of the job at workers."""
        for worker in workers:
            machine = self.zone.machine_by_name[WorkerId(worker)]
            await machine.handle(FenceJob(job=JOB, generation=generation))

    def test_fenced_witness_does_not_count_as_refusal(self) -> None:
        async def scenario() -> None:
            await self.zone.hold()
            await self.fence(1, 'w-1')
            self.run_log()
            entry = self.apply_records(JobAccepted(job=SPEC))
            await asyncio.sleep(_SETTLING_TIME)
            self.assertIsNone(entry.ended)

        self.run_scenario(scenario())

    def test_fenced_previous_witness_does_not_count_as_refusal(self) -> None:
        async def scenario() -> None:
            await self.zone.hold()
            await self.fence(2, 'w-0', 'w-1')
            self.run_log()
            entry = self.apply_records(
                JobAccepted(job=SPEC), moved(1, 'w-2', 'w-3')
            )
            await asyncio.sleep(_SETTLING_TIME)
            self.assertIsNone(entry.ended)

        self.run_scenario(scenario())

    def test_a_refusal_found_after_a_move_does_not_end_the_job(self) -> None:
        """The next owner read the witness that stores no refusal."""

        async def scenario() -> JobBook:
            await self.zone.hold()
            self.refuse_at('w-0')
            await self.fence(1, 'w-1')
            accepted = JobAccepted(job=SPEC)
            for record in (accepted, moved(1, 'w-2', 'w-1')):
                payload = msgspec.json.encode([encode_record(record)])
                await self.zone.services.append(_STREAM, payload.decode())
            self.run_loop(self.zone.daemon.commit.run())
            self.apply_records(accepted)
            await asyncio.sleep(_SETTLING_TIME)
            book = JobBook()
            page = await self.zone.services.read(_STREAM, Offset(0), 9)
            for kept in self.assert_ok(page).records:
                book.apply(kept)
            return book

        self.assertEqual({JOB}, self.run_scenario(scenario()).open_jobs)

    def test_a_refusal_that_was_found_holds_for_the_next_owner(self) -> None:
        """The end may reach the log only after the witness is lost."""

        async def scenario() -> list[str]:
            await self.zone.hold()
            self.refuse_at('w-0')
            accepted = JobAccepted(job=SPEC)
            self.apply_records(accepted)
            await asyncio.sleep(_SETTLING_TIME)
            machines = self.zone.machine_by_name
            machines[WorkerId('w-0')].boot = 'b2'
            other = await self.start_next_owner()
            self.apply_records(accepted, moved(1, 'w-2', 'w-3'), daemon=other)
            await asyncio.sleep(_SETTLING_TIME)
            return [
                spec.key
                for machine in machines.values()
                for spec in machine.running
            ]

        self.assertEqual([], self.run_scenario(scenario()))
