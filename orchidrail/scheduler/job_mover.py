"""Moves jobs off witnesses that are lost, restarted or leaving."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from orchidrail.jobs.records import JobMoved, encode_record
from orchidrail.membership.view import preferred_holder
from orchidrail.types import JobId, Seconds, WorkerId

if TYPE_CHECKING:
    from orchidrail.jobs.book import JobBook, JobEntry
    from orchidrail.jobs.witnesses import Witness
    from orchidrail.logstream.group_commit import GroupCommit
    from orchidrail.membership.view import MembershipView
    from orchidrail.scheduler.boot_book import BootBook
    from orchidrail.scheduler.fleet_list import FleetList
    from orchidrail.scheduler.held_worker import HeldWorker
    from orchidrail.scheduler.job_runner import JobRunner
    from orchidrail.scheduler.lease_keeper import LeaseKeeper
    from orchidrail.scheduler.ports import Ports

_CHECK_INTERVAL: Seconds = 1
_COMMIT_TIMEOUT: Seconds = 10
_MAX_BACKUP_PROBES = 4
_log = structlog.get_logger()


class JobMover:
    """Moves open jobs whose witnesses are no longer usable.

    If several schedulers move a job, the order of the log decides; moving a
    job twice is harmless.
    """

    def __init__(
        self,
        ports: Ports,
        book: JobBook,
        runner: JobRunner,
        keeper: LeaseKeeper,
        members: MembershipView,
        fleet: FleetList,
        commit: GroupCommit,
        boots: BootBook,
    ) -> None:
        """Start with no move in progress."""
        self._boots = boots
        self._ports = ports
        self._book = book
        self._runner = runner
        self._keeper = keeper
        self._members = members
        self._fleet = fleet
        self._commit = commit
        self._moving: dict[JobId, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Check for jobs to move until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL)
            for job in tuple(self._book.open_jobs):
                entry = self._book.entry_by_job[job]
                self._runner.take_up_job(entry)
                await self._verify(entry)
                self._move_if_needed(entry)

    async def choose_backup(self, witness: WorkerId) -> Witness | None:
        """Return a worker other than the witness, preferring other racks."""
        by_worker = self._fleet.by_worker
        rack = by_worker[witness].rack if witness in by_worker else ''
        usable = [
            worker
            for worker in by_worker
            if worker != witness and self._usable(worker)
        ]
        self._ports.random.shuffle(usable)
        usable.sort(key=lambda worker: by_worker[worker].rack == rack)
        for worker in usable[:_MAX_BACKUP_PROBES]:
            backup = await self._boots.ask(worker)
            if backup is not None:
                return backup
        return None

    async def _verify(self, entry: JobEntry) -> None:
        """Check with a held witness whether it was restarted."""
        worker, boot = entry.witness
        held = self._keeper.authorised(worker)
        if held is None or held.boot == boot:
            return
        if not self._boots.is_lost(worker, boot):
            await self._boots.verify(worker, boot)

    def _move_if_needed(self, entry: JobEntry) -> None:
        job = entry.spec.key
        if job in self._moving or not self._needs_move(entry):
            return
        if not self._is_responsible(entry):
            return
        moving = asyncio.create_task(self._move(entry))
        self._moving[job] = moving
        moving.add_done_callback(lambda _: self._moving.pop(job, None))

    def _needs_move(self, entry: JobEntry) -> bool:
        return self._is_unusable(entry.witness) or self._is_unusable(
            entry.backup
        )

    def _is_unusable(self, witness: Witness) -> bool:
        if self._boots.is_lost(witness.worker, witness.boot):
            return True
        listed = witness.worker in self._fleet.by_worker
        return listed and self._fleet.is_leaving(witness.worker)

    def _is_responsible(self, entry: JobEntry) -> bool:
        """Return whether this scheduler is responsible for moving the job."""
        if self._keeper.authorised(entry.witness.worker) is not None:
            return True
        holding_members = self._members.holding(self._ports.clock())
        chosen = preferred_holder(WorkerId(entry.spec.key), holding_members)
        return chosen == self._members.me.name

    def _choose_witness(self) -> HeldWorker | None:
        usable = [
            held
            for worker, held in self._keeper.held_by_worker.items()
            if held.authorised() and self._usable(worker)
        ]
        return self._ports.random.choice(usable) if usable else None

    def _usable(self, worker: WorkerId) -> bool:
        listed = worker in self._fleet.by_worker
        return listed and not self._fleet.is_leaving(worker)

    async def _move(self, entry: JobEntry) -> None:
        witness = self._choose_witness()
        if witness is None:
            return
        backup = await self.choose_backup(witness.instance.name)
        if backup is None:
            return
        moved = JobMoved(
            job=entry.spec.key,
            generation=entry.generation + 1,
            witness=witness.instance.name,
            witness_boot=witness.boot,
            backup=backup.worker,
            backup_boot=backup.boot,
        )
        _log.info(
            'moving job',
            job=moved.job,
            generation=moved.generation,
            witness=moved.witness,
        )
        await self._commit.commit(encode_record(moved), _COMMIT_TIMEOUT)
        # Leaves time to read the move from the log before the next check.
        await asyncio.sleep(_CHECK_INTERVAL)
