"""Claims of a job's attempts, stored at two workers.

An attempt may start only after its claim is stored at both the job's witness,
under the witness's lease, and the backup, which refuses fenced generations.
So either of the two, once fenced, lists every attempt that can ever start.
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

_CALL_TIMEOUT: Seconds = 1
_RETRY_INTERVAL: Seconds = 0.2
_log = structlog.get_logger()


class OwnershipLostError(Exception):
    """The witness's lease is lost; another scheduler may own the job."""


class JobEndedError(Exception):
    """The job has ended, but the state read from the log lags behind."""


class RefusedMarkerError(Exception):
    """A witness rejects the marker for good: its key was settled before."""


class JobClaims:
    """Stores, recovers and deletes the claims of owned jobs."""

    def __init__(
        self,
        ports: Ports,
        keeper: LeaseKeeper,
        fleet: FleetList,
        calls: ZoneCalls,
        boots: BootBook,
    ) -> None:
        """Store the collaborators."""
        self._ports = ports
        self._keeper = keeper
        self._fleet = fleet
        self._calls = calls
        self._boots = boots

    async def claim(self, entry: JobEntry, notes: list[ClaimNote]) -> None:
        """Claim an attempt's tasks, so that no other scheduler can.

        Raises
        ------
        OwnershipLostError
            If another scheduler owns the job, or the witness's lease is lost.
        """
        markers = [
            _make_marker(entry, claim_of(note.task), note.text)
            for note in notes
        ]
        for report, marker in zip(
            await self._put_all(entry, markers),
            markers,
            strict=True,
        ):
            if report.note != marker.note:
                raise OwnershipLostError(marker.key)

    async def confirm(self, entry: JobEntry) -> bool:
        """Return whether the job was not refused to its caller.

        A refusal is stored only at the witnesses that the job's key names.
        A later generation that was found not to be refused stores a marker
        of its own at both of its witnesses, so that no owner checks again.
        """
        if entry.former:
            mark = recovered_marker(entry.spec.key, entry.generation)
            await self._put_all(entry, [_make_marker(entry, mark, 'recovered')])
            return True
        marker = _make_marker(entry, job_claim(entry.spec.key), 'accepted')
        report = await self._put_at_witness(entry, marker)
        if report.state is not TaskState.MARKER:
            return False
        try:
            await self._put_at_backup(entry, [marker])
        except RefusedMarkerError:
            return False
        return True

    async def recover(self, entry: JobEntry) -> list[TaskReport]:
        """Return the job's claims, after copying those of past generations.

        Only `confirm` records that they were copied.

        The claims are read from the witness now, because those listed when
        its lease was acquired may lack claims that were made since.
        """
        found = await self._read_witness(entry)
        _check_not_ended(entry, found, entry.generation)
        mark = recovered_marker(entry.spec.key, entry.generation)
        kept = [report for report in found if is_claim(report)]
        if not entry.former or mark in [report.key for report in found]:
            return kept
        claims = [*await self._read_previous_claims(entry), *kept]
        markers = [
            _make_marker(entry, claim.key, claim.note) for claim in claims
        ]
        await self._put_all(entry, markers)
        _log.info(
            'job recovered',
            job=entry.spec.key,
            generation=entry.generation,
            claims=len(claims),
        )
        return claims

    async def note_refused(self, entry: JobEntry) -> None:
        """Record at both witnesses that the job was found to be refused.

        This precedes the record of the job's end. The next owner may have
        read the other witness; it has either fenced one of the two, which
        makes this call fail, or it finds the marker.

        Raises
        ------
        OwnershipLostError
            If another owner has fenced a witness or the lease is lost.
        """
        mark = refused_marker(entry.spec.key, entry.generation)
        await self._put_all(entry, [_make_marker(entry, mark, 'refused')])

    async def is_recovered(self, entry: JobEntry) -> bool:
        """Return whether an owner of a moved job has copied its claims.

        The marker at both witnesses also proves that the job was not refused,
        as the owner checks this before it stores the marker.
        """
        mark = recovered_marker(entry.spec.key, entry.generation)
        for witness in (entry.witness, entry.backup):
            found = await self._fence(entry, witness) or ()
            if mark not in {report.key for report in found}:
                return False
        return True

    async def note_end(self, entry: JobEntry) -> None:
        """Record at both witnesses that the job has ended.

        A later owner may read them before it reads the end from the log.
        The markers stay; workers drop them after the log's retention time.
        """
        mark = ended_marker(entry.spec.key)
        await self._put_all(entry, [_make_marker(entry, mark, 'ended')])

    async def forget(self, entry: JobEntry, notes: list[ClaimNote]) -> None:
        """Delete the claims of an ended job at both witnesses."""
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
            await asyncio.sleep(_RETRY_INTERVAL)

    def _check_owner(self, entry: JobEntry, generation: int) -> HeldWorker:
        """Return the witness if this scheduler still owns the job."""
        held = self._keeper.authorised(entry.witness.worker)
        current = generation == entry.generation
        if held is None or held.boot != entry.witness.boot or not current:
            raise OwnershipLostError(entry.spec.key)
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
            raise OwnershipLostError(entry.spec.key) from refused
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
            # Storing a marker is idempotent, so it is safe to retry.
            await asyncio.sleep(_RETRY_INTERVAL)

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
                self._check_markers_kept(answer.tasks)
                return
            if markers[0].generation != entry.generation:
                raise OwnershipLostError(entry.spec.key)
            # Moving the job replaces a lost backup; wait for that.
            await asyncio.sleep(_RETRY_INTERVAL)

    def _check_markers_kept(self, reports: list[TaskReport]) -> None:
        """Raise unless a witness has stored the markers.

        A witness that refuses a marker is fenced: the log holds a later
        generation. This doesn't mean that the job was refused to its caller.
        """
        for report in reports:
            if is_refused(report):
                raise OwnershipLostError(report.key)
            if report.state is not TaskState.MARKER:
                raise RefusedMarkerError(report.key)

    async def _read_previous_claims(self, entry: JobEntry) -> list[TaskReport]:
        """Fence and read the claims of previous generations in turn.

        Stops at the generation whose owner has copied all older claims.
        """
        claims: dict[TaskId, TaskReport] = {}
        for previous in entry.former:
            found = await self._read_pair(entry, previous)
            _check_not_ended(entry, found, previous.generation)
            claims.update((report.key, report) for report in found)
            mark = recovered_marker(entry.spec.key, previous.generation)
            if mark in claims or not previous.generation:
                break
        return [report for report in claims.values() if is_claim(report)]

    async def _read_pair(
        self,
        entry: JobEntry,
        previous: WitnessPair,
    ) -> list[TaskReport]:
        """Fence and read one of two witnesses; if both are lost, the zone."""
        pair = (previous.backup, previous.witness)
        while True:
            for witness in pair:
                found = await self._fence(entry, witness)
                if found is not None:
                    await self._confirm_at(entry, previous, witness)
                    return found
            if all(self._boots.is_lost(*witness) for witness in pair):
                return await self._fence_zone(entry)
            await asyncio.sleep(_RETRY_INTERVAL)

    async def _confirm_at(
        self,
        entry: JobEntry,
        previous: WitnessPair,
        witness: Witness,
    ) -> None:
        """Store the job's acceptance, unless it was refused to its caller.

        Only the witnesses of generation 0 know of a refusal.

        Raises
        ------
        RefusedMarkerError
            If it was refused: both of these witnesses then report so.
        """
        if previous.generation:
            return
        marker = _make_marker(entry, job_claim(entry.spec.key), 'accepted')
        message = KeepMarkers(tasks=[marker], boot=witness.boot)
        answer = await self._call(witness, message)
        while not isinstance(answer, TaskReports):
            if self._boots.is_lost(*witness):
                return
            await asyncio.sleep(_RETRY_INTERVAL)
            answer = await self._call(witness, message)
        self._check_markers_kept(answer.tasks)

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
        """Fence all workers of the zone and derive claims from their tasks."""
        waiting = set(self._fleet.by_worker)
        claims: list[TaskReport] = []
        while waiting:
            for worker in tuple(waiting):
                found = await self._read_worker(entry, worker)
                if found is not None or self._fleet.is_gone(worker):
                    waiting.discard(worker)
                    claims.extend(found or ())
            await asyncio.sleep(_RETRY_INTERVAL)
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
            await self._ports.transport.call(
                listed.address, message, _CALL_TIMEOUT
            ),
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
            _CALL_TIMEOUT,
        )
        refused = _message_of(answer)
        if isinstance(refused, Refusal) and refused.detail == 'restarted':
            self._boots.note_restarted(witness.worker, witness.boot)
        return refused


def _make_marker(entry: JobEntry, key: TaskId, note: str) -> TaskSpec:
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


def _check_not_ended(
    entry: JobEntry,
    found: list[TaskReport],
    generation: int,
) -> None:
    """Raise if a marker shows that the job has ended or was refused."""
    job = entry.spec.key
    known = {report.key for report in found}
    if ended_marker(job) in known:
        raise JobEndedError(job)
    if refused_marker(job, generation) in known:
        raise RefusedMarkerError(job)


def _claim_for(
    report: TaskReport,
    worker: WorkerId,
    boot: str,
    address: Address,
) -> TaskReport:
    """Rebuild the claim of a task that was found at a worker."""
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
    """Return whether a report is of an attempt's claim."""
    is_marker = report.state is TaskState.MARKER
    return is_marker and '#' in report.key
