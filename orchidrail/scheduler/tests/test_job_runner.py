"""Tests of running jobs: claims, takeovers, failures."""

from __future__ import annotations

import asyncio

import msgspec

from orchidrail.bundles.model import Bundle
from orchidrail.jobs.book import JobBook
from orchidrail.jobs.owned_job import AttemptOutcome
from orchidrail.jobs.records import JobAccepted, JobMoved, encode_record
from orchidrail.logservice.ports import LogRecord
from orchidrail.resources import Resources
from orchidrail.scheduler.daemon import SchedulerDaemon
from orchidrail.scheduler.job_runner import JobFailedError
from orchidrail.scheduler.tests.small_zone import (
    BATCH,
    TENANT,
    TTL,
    ZONE,
    SmallZone,
    bundle,
)
from orchidrail.testing import AsyncTestCase
from orchidrail.types import JobId, JobState, Offset, TaskId, Verdict, WorkerId
from orchidrail.wire.messages import JobSpec, Message, Refusal, SubmitJob

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


def _apply_records(book: JobBook, offset: int, *records: str) -> None:
    payload = msgspec.json.encode(list(records)).decode()
    book.apply(LogRecord(Offset(offset), 0, payload))


def _accept(daemon: SchedulerDaemon, spec: JobSpec = _SPEC) -> None:
    _apply_records(daemon.book, 0, encode_record(JobAccepted(job=spec)))


def _fields(spec: JobSpec) -> dict[str, object]:
    return {name: getattr(spec, name) for name in spec.__struct_fields__}


def _repeatable() -> Bundle:
    """Return the test's bundle with repeatable jobs."""
    known = bundle()
    classes = {
        name: msgspec.structs.replace(found, repeatable=True)
        for name, found in known.classes.items()
    }
    return msgspec.structs.replace(known, classes=classes)


class JobRunnerTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.zone = SmallZone(workers=3)

    async def until(self, condition) -> None:  # type: ignore[no-untyped-def]
        """Yield to other asyncio tasks until a condition holds."""
        while not condition():
            await asyncio.sleep(0.005)

    def starts(self) -> list[str]:
        """Return the tasks that were started at any worker."""
        return [
            entry.task
            for machine in self.zone.machine_by_name.values()
            for entry in machine.journal
            if entry.event == 'start'
        ]

    def running(self, daemon: SchedulerDaemon) -> bool:
        """Return whether a daemon runs the job."""
        owned = daemon.runner.owned_by_job.get(_JOB)
        return owned is not None and owned.state is JobState.RUNNING

    def test_a_new_owner_takes_up_the_running_attempt(self) -> None:
        async def scenario() -> None:
            await self.zone.hold()
            _accept(self.zone.daemon)
            await self.until(self.starts)
            self.zone.clock.now += TTL
            other = self.zone.start_daemon('s-2')
            await self.zone.hold(other)
            # The new owner reads the log only after it acquired the lease.
            _accept(other)
            await self.until(lambda: self.running(other))
            await self.zone.daemon.runner.close()
            await other.runner.close()

        self.run_async(scenario())
        self.assertEqual(['j#0#0.1'], self.starts())

    def test_task_that_crashes_its_workers_fails_permanently(self) -> None:
        """A crashed worker reports no failure that could be counted."""

        async def scenario() -> None:
            await self.zone.hold()
            daemon = self.zone.daemon
            _accept(daemon)
            await self.until(self.starts)
            owned = daemon.runner.owned_by_job[_JOB]
            group = owned.groups[0]
            await daemon.runner.close()
            daemon.engine.use_bundle(_repeatable(), ZONE)

            def record_loss() -> None:
                daemon.runner._apply_outcome(
                    owned, group, AttemptOutcome.LOST, [None]
                )

            for _ in range(4):
                record_loss()
            self.assertRaises(JobFailedError, record_loss)

        self.run_async(scenario())

    def test_a_moved_job_keeps_its_running_attempt(self) -> None:
        async def scenario() -> None:
            await self.zone.hold()
            daemon = self.zone.daemon
            _accept(daemon)
            await self.until(self.starts)
            moved = JobMoved(
                job=_JOB,
                generation=1,
                witness=WorkerId('w-2'),
                witness_boot='b',
                backup=WorkerId('w-0'),
                backup_boot='b',
            )
            _apply_records(daemon.book, 1, encode_record(moved))
            owned = daemon.runner.owned_by_job[_JOB]
            await self.until(lambda: owned.groups[0].running)
            self.assertEqual(1, owned.generation)
            await daemon.runner.close()

        self.run_async(scenario())
        self.assertEqual(['j#0#0.1'], self.starts())

    def move_after_both_were_lost(self, daemon: SchedulerDaemon) -> None:
        """Restart both witnesses and move the job to a new pair."""
        for name in ('w-0', 'w-1'):
            self.zone.machine_by_name[WorkerId(name)].boot = 'b2'
        moved = JobMoved(
            job=_JOB,
            generation=1,
            witness=WorkerId('w-2'),
            witness_boot='b',
            backup=WorkerId('w-0'),
            backup_boot='b2',
        )
        _apply_records(daemon.book, 1, encode_record(moved))

    def test_a_running_attempt_is_found_when_both_witnesses_are_lost(
        self,
    ) -> None:
        async def scenario() -> None:
            await self.zone.hold()
            daemon = self.zone.daemon
            _accept(daemon)
            await self.until(self.starts)
            self.move_after_both_were_lost(daemon)
            owned = daemon.runner.owned_by_job[_JOB]
            await self.until(lambda: owned.groups[0].running)
            await daemon.runner.close()

        self.run_async(scenario())
        self.assertEqual(['j#0#0.1'], self.starts())

    def test_attempt_without_any_record_is_not_repeated(self) -> None:
        """Both witnesses and the task's worker have lost all state of it."""

        async def scenario() -> str:
            await self.zone.hold()
            daemon = self.zone.daemon
            _accept(daemon)
            await self.until(self.starts)
            for machine in self.zone.machine_by_name.values():
                if machine.running:
                    machine.finish(TaskId('j#0#0.1'))
                    machine.forget(TaskId('j#0#0.1'))
            self.move_after_both_were_lost(daemon)
            owned = daemon.runner.owned_by_job[_JOB]
            await self.until(lambda: owned.state is JobState.FAILED)
            await daemon.runner.close()
            return owned.detail

        self.assertIn('may have run', self.run_async(scenario()))
        self.assertEqual(['j#0#0.1'], self.starts())

    def test_a_job_moves_when_its_witness_was_restarted(self) -> None:
        """The new holder never knew the incarnation that the job names."""

        async def scenario() -> None:
            await self.zone.hold()
            daemon = self.zone.daemon
            spec = JobSpec(**{**_fields(_SPEC), 'witness_boot': 'earlier'})
            _accept(daemon, spec)
            moving = asyncio.create_task(daemon.mover.run())
            committing = asyncio.create_task(daemon.commit.run())
            await self.until(lambda: daemon.commit.appends)
            moving.cancel()
            committing.cancel()

        self.run_async(scenario())
        self.assertEqual(1, self.zone.services.log.appends)

    def test_owner_with_a_stale_log_state_does_not_run_an_ended_job(
        self,
    ) -> None:
        async def scenario() -> None:
            await self.zone.hold()
            daemon = self.zone.daemon
            _accept(daemon)
            await self.until(self.starts)
            group = daemon.runner.owned_by_job[_JOB].groups[0]
            worker = group.notes[0].worker
            machine = self.zone.machine_by_name[worker]
            machine.finish(TaskId('j#0#0.1'))
            committing = asyncio.create_task(daemon.commit.run())
            for name in ('w-0', 'w-1', 'w-2'):
                await daemon.keeper.renew(self.zone.held(name))
            await self.until(lambda: daemon.commit.appends)
            await asyncio.sleep(0.2)
            machine.forget(TaskId('j#0#0.1'))
            self.zone.clock.now += TTL
            other = self.zone.start_daemon('s-2')
            await self.zone.hold(other)
            _accept(other)
            await asyncio.sleep(0.2)
            committing.cancel()
            await daemon.runner.close()
            await other.runner.close()

        self.run_async(scenario())
        self.assertEqual(['j#0#0.1'], self.starts())

    def test_a_job_refused_before_is_not_acknowledged(self) -> None:
        """Its record is in the log nevertheless."""

        async def scenario() -> Message:
            await self.zone.hold()
            daemon = self.zone.daemon
            self.zone.machine_by_name[WorkerId('w-0')].settle(['claim/j'])
            _accept(daemon)
            return await daemon.handle(SubmitJob(job=_SPEC, patience=1))

        answer = self.run_async(scenario())
        self.assertIsInstance(answer, Refusal)
        self.assertIs(Verdict.NOT_RUN, answer.verdict)

    def test_a_job_refused_to_its_caller_never_starts(self) -> None:
        async def scenario() -> None:
            await self.zone.hold()
            daemon = self.zone.daemon
            for name in ('w-0', 'w-1'):
                machine = self.zone.machine_by_name[WorkerId(name)]
                machine.settle(['claim/j'])
            committing = asyncio.create_task(daemon.commit.run())
            _accept(daemon)
            await self.until(lambda: daemon.commit.appends)
            committing.cancel()

        self.run_async(scenario())
        self.assertEqual([], self.starts())
