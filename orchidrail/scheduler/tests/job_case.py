"""Jobs in a small zone in virtual time, for tests."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import TypeVar

import msgspec

from orchidrail.jobs.attempts import job_claim
from orchidrail.jobs.book import JobEntry
from orchidrail.jobs.records import JobMoved, JobRecord, encode_record
from orchidrail.logservice.ports import LogRecord
from orchidrail.resources import Resources
from orchidrail.scheduler.daemon import SchedulerDaemon
from orchidrail.scheduler.tests.small_zone import (
    BATCH,
    TENANT,
    TTL,
    ZONE,
    SmallZone,
)
from orchidrail.testing import AsyncTestCase
from orchidrail.types import JobId, Offset, WorkerId
from orchidrail.wire.messages import JobSpec
from standins.model.loop import run_in_virtual_time

ReturnT = TypeVar('ReturnT')
JOB = JobId('j')
SPEC = JobSpec(
    key=JOB,
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


def moved(generation: int, witness: str, backup: str) -> JobMoved:
    """Return the record that gives the job a new pair of witnesses."""
    return JobMoved(
        job=JOB,
        generation=generation,
        witness=WorkerId(witness),
        witness_boot='b',
        backup=WorkerId(backup),
        backup_boot='b',
    )


class JobCase(AsyncTestCase):
    """Test case with one or more schedulers of a zone in virtual time."""

    def setUp(self) -> None:
        super().setUp()
        self.zone = SmallZone(workers=5)
        self.daemons = [self.zone.daemon]
        self._running: list[asyncio.Task[None]] = []

    def run_scenario(self, work: Coroutine[None, None, ReturnT]) -> ReturnT:
        """Run a scenario in virtual time, then cancel its background tasks."""

        async def scenario() -> ReturnT:
            try:
                return await work
            finally:
                for task in self._running:
                    task.cancel()
                for daemon in self.daemons:
                    await daemon.runner.close()

        return run_in_virtual_time(scenario())

    def run_loop(self, loop: Coroutine[None, None, None]) -> None:
        """Run one of a daemon's loops until the scenario ends."""
        self._running.append(asyncio.create_task(loop))

    def run_log(self) -> None:
        """Run the daemon's loops that write and read the log."""
        self.run_loop(self.zone.daemon.commit.run())
        self.run_loop(self.zone.daemon.jobs_follower.run())

    def apply_records(
        self,
        *records: JobRecord,
        daemon: SchedulerDaemon | None = None,
    ) -> JobEntry:
        """Apply records to a daemon's job state, bypassing the log."""
        payload = msgspec.json.encode(list(map(encode_record, records)))
        book = (daemon or self.zone.daemon).book
        book.apply(LogRecord(Offset(0), 0, payload.decode()))
        return book.entry_by_job[JOB]

    async def start_next_owner(self) -> SchedulerDaemon:
        """Start another scheduler that acquires all workers."""
        await self.zone.daemon.runner.close()
        self.zone.clock.now += TTL
        other = self.zone.start_daemon('s-2')
        self.daemons.append(other)
        await self.zone.hold(other)
        return other

    def refuse_at(self, *workers: str) -> None:
        """Settle the job's claim at workers, as a refusal does."""
        for worker in workers:
            machine = self.zone.machine_by_name[WorkerId(worker)]
            machine.settle([job_claim(JOB)])
