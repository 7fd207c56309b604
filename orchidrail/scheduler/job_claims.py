"""Claims of a job's attempts, kept by two workers.

An attempt may start only after both the job's witness, under its lease, and
the backup, which refuses fenced generations, have its claim. So either of the
two, once fenced, tells a new owner of every attempt that can ever start.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog
from result import Ok, Result

from orchidrail.jobs.attempts import (
    ClaimNote,
    ended_marker,
    job_claim,
    recovered_marker,
    refused_marker,
)
from orchidrail.keys import claim_of
from orchidrail.scheduler.held_worker import is_refused
from orchidrail.types import (
    Address,
    CallFailure,
    RefusalCode,
    Seconds,
    TaskId,
    TaskState,
    WorkerId,
)
from orchidrail.wire.messages import (
    FenceJob,
    KeepMarkers,
    Message,
    Refusal,
    TaskReport,
    TaskReports,
    TaskSpec,
)

if TYPE_CHECKING:
    from orchidrail.jobs.book import JobEntry
    from orchidrail.jobs.witnesses import Witness, WitnessPair
    from orchidrail.scheduler.boot_book import BootBook
    from orchidrail.scheduler.fleet_list import FleetList
    from orchidrail.scheduler.held_worker import HeldWorker
    from orchidrail.scheduler.lease_keeper import LeaseKeeper
    from orchidrail.scheduler.ports import Ports
    from orchidrail.scheduler.zone_calls import ZoneCalls

_TIMEOUT: Seconds = 1
_RETRY: Seconds = 0.2
_log = structlog.get_logger()


class DisownedError(Exception):
    """The witness's lease was lost: another scheduler may own the job."""


class JobOverError(Exception):
    """The job has ended, though the log's fold doesn't tell of it yet."""


class RefusedMarkerError(Exception):
    """A witness will never keep the marker: it was settled before."""


class JobClaims:
    """Puts, recovers and forgets the claims of owned jobs."""

    def __init__(
        self,
        ports: Ports,
        keeper: LeaseKeeper,
        fleet: FleetList,
        calls: ZoneCalls,
        boots: BootBook,
    ) -> None:
        """Hold the parts."""
        self._ports = ports
        self._keeper = keeper
        self._fleet = fleet
        self._calls = calls
        self._boots = boots

    async def claim(self, entry: JobEntry, notes: list[ClaimNote]) -> None:
        """Claim an attempt's tasks; nobody else can from then on.

        Raises
        ------
        DisownedError
            If the job is another's, or its witness isn't held any more.
        """
        markers = [
            _marker(entry, claim_of(note.task), note.text) for note in notes
        ]
        for report, marker in zip(
            await self._put_all(entry, markers),
            markers,
            strict=True,
        ):
            if report.note != marker.note:
                raise DisownedError(marker.key)

    async def confirm(self, entry: JobEntry) -> bool:
        """Tell whether the job was not refused to its caller.

        Only the witnesses that its key names are told of a refusal. That a
        later generation was found not to be refused is kept by its own mark,
        at both of its witnesses, so that no owner asks again.
        """
        if entry.former:
            mark = recovered_marker(entry.spec.key, entry.generation)
            await self._put_all(entry, [_marker(entry, mark, 'recovered')])
            return True
        marker = _marker(entry, job_claim(entry.spec.key), 'accepted')
        report = await self._put_at_witness(entry, marker)
        if report.state is not TaskState.MARKER:
            return False
        try:
            await self._put_at_backup(entry, [marker])
        except RefusedMarkerError:
            return False
        return True

    async def recover(self, entry: JobEntry) -> list[TaskReport]:
        """Return the job's claims; earlier generations' are copied first.

        That they were copied is noted only by `confirm`.

        They are read from the witness now: what it told when its lease was
        acquired may be older than claims that were made since.
        """
        found = await self._read_witness(entry)
        _check_not_over(entry, found, entry.generation)
        mark = recovered_marker(entry.spec.key, entry.generation)
        kept = [report for report in found if is_claim(report)]
        if not entry.former or mark in [report.key for report in found]:
            return kept
        claims = [*await self._read_former(entry), *kept]
        markers = [_marker(entry, claim.key, claim.note) for claim in claims]
        await self._put_all(entry, markers)
        _log.info(
            'job recovered',
            job=entry.spec.key,
            generation=entry.generation,
            claims=len(claims),
        )
        return claims

    async def note_refused(self, entry: JobEntry) -> None:
        """Have both witnesses remember that the job was found refused.

        Done before its end is told: a next owner, which may have read another
        witness than this one, has either fenced one of the two, or finds it.

        Raises
        ------
        DisownedError
            If it is for another owner to find out.
        """
        mark = refused_marker(entry.spec.key, entry.generation)
        await self._put_all(entry, [_marker(entry, mark, 'refused')])

    async def is_taken_up(self, entry: JobEntry) -> bool:
        """Tell whether an owner of a moved job has copied its claims.

        That it was not refused was found out on the way, for good: both
        witnesses keep the mark of it.
        """
        mark = recovered_marker(entry.spec.key, entry.generation)
        for witness in (entry.witness, entry.backup):
            found = await self._fence(entry, witness) or ()
            if mark not in {report.key for report in found}:
                return False
        return True

    async def note_end(self, entry: JobEntry) -> None:
        """Have both witnesses remember that the job has ended.

        A later owner may read them before its fold tells of the end. The
        marks stay: workers drop them by themselves after the log's retention.
        """
        mark = ended_marker(entry.spec.key)
        await self._put_all(entry, [_marker(entry, mark, 'ended')])

    async def forget(self, entry: JobEntry, notes: list[ClaimNote]) -> None:
        """Let both witnesses forget the claims of an ended job."""
        job = entry.spec.key
        claims = [claim_of(note.task) for note in notes]
        claims.append(recovered_marker(job, entry.generation))
        for witness in (entry.witness, entry.backup):
            where = ClaimNote(*witness, Address(''), TaskId(job))
            await self._calls.control(where, forget=claims)

    async def _read_witness(self, entry: JobEntry) -> list[TaskReport]:
        while True:
            self._check_owner(entry, entry.generation)
            found = await self._fence(entry, entry.witness)
            if found is not None:
                return found
            await asyncio.sleep(_RETRY)

    def _check_owner(self, entry: JobEntry, generation: int) -> HeldWorker:
        """Return the witness, if the job is still this scheduler's."""
        held = self._keeper.authorised(entry.witness.worker)
        current = generation == entry.generation
        if held is None or held.boot != entry.witness.boot or not current:
            raise DisownedError(entry.spec.key)
        return held

    async def _put_all(
        self,
        entry: JobEntry,
        markers: list[TaskSpec],
    ) -> list[TaskReport]:
        if not markers:
            return []
        reports = await asyncio.gather(
            *(self._put_at_witness(entry, marker) for marker in markers),
        )
        try:
            await self._put_at_backup(entry, markers)
        except RefusedMarkerError as refused:
            raise DisownedError(entry.spec.key) from refused
        return reports

    async def _put_at_witness(
        self,
        entry: JobEntry,
        marker: TaskSpec,
    ) -> TaskReport:
        while True:
            held = self._check_owner(entry, marker.generation)
            outcome = await held.start(marker)
            if isinstance(outcome, Ok) and not is_refused(outcome.ok_value):
                return outcome.ok_value
            # A marker may be put twice: it says the same both times.
            await asyncio.sleep(_RETRY)

    async def _put_at_backup(
        self,
        entry: JobEntry,
        markers: list[TaskSpec],
    ) -> None:
        backup = entry.backup
        message = KeepMarkers(tasks=markers, boot=backup.boot)
        while True:
            answer = await self._call(backup, message)
            if isinstance(answer, TaskReports):
                self._check_kept(answer.tasks)
                return
            if markers[0].generation != entry.generation:
                raise DisownedError(entry.spec.key)
            # A lost backup is replaced by moving the job; wait for that.
            await asyncio.sleep(_RETRY)

    def _check_kept(self, reports: list[TaskReport]) -> None:
        """Fail unless a witness keeps the markers.

        A witness that refuses one is fenced: a later generation is in the
        log. That says nothing of whether the job was refused to its caller.
        """
        for report in reports:
            if is_refused(report):
                raise DisownedError(report.key)
            if report.state is not TaskState.MARKER:
                raise RefusedMarkerError(report.key)

    async def _read_former(self, entry: JobEntry) -> list[TaskReport]:
        """Fence and read the claims of one earlier generation after another.

        Stops at the generation whose owner had copied all older ones.
        """
        claims: dict[TaskId, TaskReport] = {}
        for past in entry.former:
            found = await self._read_pair(entry, past)
            _check_not_over(entry, found, past.generation)
            claims.update((report.key, report) for report in found)
            mark = recovered_marker(entry.spec.key, past.generation)
            if mark in claims or not past.generation:
                break
        return [report for report in claims.values() if is_claim(report)]

    async def _read_pair(
        self,
        entry: JobEntry,
        past: WitnessPair,
    ) -> list[TaskReport]:
        """Fence either of two witnesses; if both are gone, the zone."""
        pair = (past.backup, past.witness)
        while True:
            for witness in pair:
                found = await self._fence(entry, witness)
                if found is not None:
                    await self._confirm_at(entry, past, witness)
                    return found
            if all(self._boots.is_lost(*witness) for witness in pair):
                return await self._fence_zone(entry)
            await asyncio.sleep(_RETRY)

    async def _confirm_at(
        self,
        entry: JobEntry,
        past: WitnessPair,
        witness: Witness,
    ) -> None:
        """Take the job up, or learn that it was refused to its caller.

        Only the first generation's witnesses can tell.

        Raises
        ------
        RefusedMarkerError
            If it was refused: both witnesses of that time then say so.
        """
        if past.generation:
            return
        marker = _marker(entry, job_claim(entry.spec.key), 'accepted')
        message = KeepMarkers(tasks=[marker], boot=witness.boot)
        answer = await self._call(witness, message)
        while not isinstance(answer, TaskReports):
            if self._boots.is_lost(*witness):
                return
            await asyncio.sleep(_RETRY)
            answer = await self._call(witness, message)
        self._check_kept(answer.tasks)

    async def _fence(
        self,
        entry: JobEntry,
        witness: Witness,
    ) -> list[TaskReport] | None:
        message = FenceJob(
            job=entry.spec.key,
            generation=entry.generation,
            boot=witness.boot,
        )
        answer = await self._call(witness, message)
        if isinstance(answer, TaskReports):
            return answer.tasks
        return None

    async def _fence_zone(self, entry: JobEntry) -> list[TaskReport]:
        """Fence every worker of the zone and make claims of what it runs."""
        waiting = set(self._fleet.by_worker)
        claims: list[TaskReport] = []
        while waiting:
            for worker in tuple(waiting):
                found = await self._read_worker(entry, worker)
                if found is not None or self._fleet.is_gone(worker):
                    waiting.discard(worker)
                    claims.extend(found or ())
            await asyncio.sleep(_RETRY)
        entry.claims_lost = True
        return claims

    async def _read_worker(
        self,
        entry: JobEntry,
        worker: WorkerId,
    ) -> list[TaskReport] | None:
        listed = self._fleet.by_worker.get(worker)
        if listed is None:
            return None
        message = FenceJob(job=entry.spec.key, generation=entry.generation)
        answer = _message_of(
            await self._ports.transport.call(listed.address, message, _TIMEOUT),
        )
        if not isinstance(answer, TaskReports):
            return None
        return [
            _claim_for(report, worker, answer.boot, listed.address)
            for report in answer.tasks
            if report.state is not TaskState.MARKER
        ]

    async def _call(self, witness: Witness, message: Message) -> Message:
        listed = self._fleet.by_worker.get(witness.worker)
        if listed is None:
            return Refusal(code=RefusalCode.UNREACHABLE)
        answer = await self._ports.transport.call(
            listed.address,
            message,
            _TIMEOUT,
        )
        refused = _message_of(answer)
        if isinstance(refused, Refusal) and refused.detail == 'restarted':
            self._boots.note_restarted(witness.worker, witness.boot)
        return refused


def _marker(entry: JobEntry, key: TaskId, note: str) -> TaskSpec:
    spec = entry.spec
    return TaskSpec(
        key=key,
        tenant=spec.tenant,
        class_name=spec.class_name,
        job=spec.key,
        generation=entry.generation,
        marker=True,
        note=note,
    )


def _check_not_over(
    entry: JobEntry,
    found: list[TaskReport],
    generation: int,
) -> None:
    """Fail if an owner of a generation has found the job to be over."""
    job = entry.spec.key
    known = {report.key for report in found}
    if ended_marker(job) in known:
        raise JobOverError(job)
    if refused_marker(job, generation) in known:
        raise RefusedMarkerError(job)


def _claim_for(
    report: TaskReport,
    worker: WorkerId,
    boot: str,
    address: Address,
) -> TaskReport:
    """Make the claim that must have been made for a task that was found."""
    note = ClaimNote(worker, boot, address, report.key)
    return TaskReport(
        key=claim_of(report.key),
        state=TaskState.MARKER,
        note=note.text,
        job=report.job,
    )


def _message_of(answer: Result[Message, CallFailure]) -> Message:
    if isinstance(answer, Ok):
        return answer.ok_value
    return Refusal(code=RefusalCode.UNREACHABLE)


def is_claim(report: TaskReport) -> bool:
    """Tell whether a report is of an attempt's claim."""
    is_marker = report.state is TaskState.MARKER
    return is_marker and '#' in report.key
