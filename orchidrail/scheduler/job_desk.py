"""Handles calls that submit, query and cancel jobs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog
from result import Err, Ok

from orchidrail.bundles.model import WorkKind
from orchidrail.deciding.engine import Declined, WorkItem
from orchidrail.jitter import jitter
from orchidrail.jobs.attempts import job_claim
from orchidrail.jobs.records import (
    JobAccepted,
    JobCancelled,
    JobEnded,
    encode_record,
)
from orchidrail.jobs.witnesses import Witness
from orchidrail.keys import extend_key
from orchidrail.logservice.ports import LogFailure
from orchidrail.types import (
    JobId,
    JobState,
    RefusalCode,
    Seconds,
    TaskId,
    TaskState,
    Verdict,
    WorkerId,
)
from orchidrail.wire.messages import (
    Ack,
    CancelJob,
    JobSpec,
    JobStatus,
    KeepMarkers,
    KeyIssued,
    Message,
    QueryJob,
    Refusal,
    SettleTasks,
    SubmitJob,
    TaskReport,
    TaskReports,
    TasksEnded,
    TaskSpec,
)

if TYPE_CHECKING:
    from orchidrail.scheduler.daemon import SchedulerDaemon

_CALL_TIMEOUT: Seconds = 1
_LOG_RETRY: Seconds = 5
_WITNESS_RETRY: Seconds = 1
#: Between two polls of the witnesses of a committed job.
_POLL_INTERVAL: Seconds = 0.2
#: Polling time that remains if the commit used up the caller's timeout; the
#: gateway waits longer than that for the answer.
_MIN_POLL_TIME: Seconds = 2
_CANCEL_TIMEOUT: Seconds = 5
_WITNESS_FIELD = 2
_REFUSED_BEFORE = 'the key was refused before; take a new one'
_log = structlog.get_logger()


class JobDesk:
    """Answers calls about jobs."""

    def __init__(self, daemon: SchedulerDaemon) -> None:
        """Serve the jobs of a daemon."""
        self._daemon = daemon
        #: Number of submissions in flight.
        self.in_progress = 0

    async def extend_key(self, answer: Message) -> Message:
        """Add a second witness to the key of a job."""
        if not isinstance(answer, KeyIssued):
            return answer
        witness = WorkerId(answer.key.split('.')[_WITNESS_FIELD])
        backup = await self._daemon.mover.choose_backup(witness)
        if backup is None:
            detail = 'no second worker answers at the moment'
            return Refusal(code=RefusalCode.UNREACHABLE, detail=detail)
        return KeyIssued(key=extend_key(answer.key, *backup))

    async def submit(self, message: SubmitJob) -> Message:
        """Accept a job; answer once its record is in the log."""
        if not self._daemon.engine.accepting:
            return Refusal(code=RefusalCode.NOT_HOLDER, detail='stopping')
        self.in_progress += 1
        try:
            return await self._submit(message)
        finally:
            self.in_progress -= 1

    async def _submit(self, message: SubmitJob) -> Message:
        spec = message.job
        deadline = self._daemon.ports.clock() + message.patience
        known = self._daemon.book.entry_by_job.get(spec.key)
        if known is not None:
            return await self._acknowledge(spec, deadline)
        declined = self._check(spec)
        if declined is not None:
            return await self._decline(
                spec,
                declined.code,
                declined.detail,
                declined.retry_after,
            )
        record = encode_record(JobAccepted(job=spec))
        kept = await self._daemon.commit.commit(record, message.patience)
        if isinstance(kept, Ok):
            self._daemon.jobs_follower.poke()
            return await self._acknowledge(spec, deadline)
        return await self._decline(
            spec,
            RefusalCode.LOG_DOWN,
            'the platform has not kept the job in time',
            jitter(self._daemon.ports.random, _LOG_RETRY),
        )

    async def query(self, message: QueryJob) -> Message:
        """Return a job's status, from its owner if it is reachable."""
        entry = self._daemon.book.entry_by_job.get(message.job)
        if entry is None or entry.spec.tenant != message.tenant:
            return Refusal(code=RefusalCode.UNKNOWN, detail=message.job)
        status = self._daemon.runner.status(message.job)
        if status is not None:
            return status
        answer = await self._ask_owner(entry.witness.worker, message)
        if isinstance(answer, JobStatus):
            return answer
        return _accepted(entry.spec)

    async def cancel(self, message: CancelJob) -> Message:
        """Cancel a tenant's job here if owned, else through the log."""
        entry = self._daemon.book.entry_by_job.get(message.job)
        if entry is None or entry.spec.tenant != message.tenant:
            return Refusal(code=RefusalCode.UNKNOWN, detail=message.job)
        if entry.ended is not None or self._daemon.runner.cancel(message.job):
            return self._status(message.job)
        record = encode_record(JobCancelled(job=message.job))
        kept = await self._daemon.commit.commit(record, _CANCEL_TIMEOUT)
        if isinstance(kept, Ok):
            return Ack()
        uncertain = kept == Err(LogFailure.ANSWER_LOST)
        return Refusal(
            code=RefusalCode.LOG_DOWN,
            detail='the platform has not kept the cancellation in time',
            verdict=Verdict.MAY_HAVE_RUN if uncertain else Verdict.NOT_RUN,
            retry_after=_LOG_RETRY,
        )

    async def tell_owners(self, ended: list[TaskReport]) -> None:
        """Forward the ends of tasks to the schedulers that own their jobs."""
        by_witness: dict[WorkerId, list[TaskReport]] = {}
        for report in ended:
            entry = self._daemon.book.entry_by_job.get(report.job)
            if entry is not None and entry.ended is None:
                witness = entry.witness.worker
                by_witness.setdefault(witness, []).append(report)
        for witness, reports in by_witness.items():
            await self._ask_owner(witness, TasksEnded(tasks=reports))

    async def _acknowledge(self, spec: JobSpec, deadline: Seconds) -> Message:
        """Acknowledge a committed job once its acceptance is certain.

        Its witnesses may be unresponsive for a moment, or so far be listed
        only to the issuer of the key, so they are polled until the deadline.
        """
        remaining = max(deadline - self._daemon.ports.clock(), _MIN_POLL_TIME)
        try:
            async with asyncio.timeout(remaining):
                return await self._poll_acceptance(spec)
        except TimeoutError:
            _log.info('committed job is not acknowledged yet', job=spec.key)
        return Refusal(
            code=RefusalCode.UNREACHABLE,
            detail='the job is kept, but its witnesses do not answer yet',
            verdict=Verdict.MAY_HAVE_RUN,
            retry_after=_WITNESS_RETRY,
        )

    async def _poll_acceptance(self, spec: JobSpec) -> Message:
        while True:
            answer = await self._check_acceptance(spec)
            if answer is not None:
                return answer
            await asyncio.sleep(_POLL_INTERVAL)

    async def _check_acceptance(self, spec: JobSpec) -> Message | None:
        """Return the answer for a committed job, or None if uncertain.

        An earlier call with its key may have settled the job's claim. Its
        owner then drops the job, though its record is in the log. So neither
        the record nor a move nor an end proves that the job is accepted.
        """
        entry = self._daemon.book.entry_by_job.get(spec.key)
        if entry is not None and entry.ended is not None:
            return self._report_ended(entry.ended)
        if entry is not None and entry.former:
            recovered = await self._daemon.claims.is_recovered(entry)
            return self._status(spec.key) if recovered else None
        state = await self._claim_at_both(spec)
        if state is TaskState.MARKER:
            return _accepted(spec) if entry is None else self._status(spec.key)
        if state is TaskState.NEVER_STARTED:
            return await self._decline(
                spec,
                RefusalCode.INVALID,
                _REFUSED_BEFORE,
                0,
            )
        return None

    def _report_ended(self, ended: JobEnded) -> Message:
        """Return the status of an ended job, or a refusal if it was refused."""
        if ended.refused:
            return Refusal(code=RefusalCode.INVALID, detail=_REFUSED_BEFORE)
        return self._status(ended.job)

    async def _claim_at_both(self, spec: JobSpec) -> TaskState | None:
        """Return ``MARKER``, or the first other state at a witness."""
        state: TaskState | None = None
        for witness in _witnesses(spec):
            state = await self._claim_at(witness, spec)
            if state is not TaskState.MARKER:
                break
        return state

    async def _claim_at(
        self,
        witness: Witness,
        spec: JobSpec,
    ) -> TaskState | None:
        """Store the job's claim at a witness and return its state there."""
        marker = TaskSpec(
            key=job_claim(spec.key),
            tenant=spec.tenant,
            class_name=spec.class_name,
            job=spec.key,
            marker=True,
            note='accepted',
        )
        listed = self._daemon.fleet.by_worker.get(witness.worker)
        if listed is None:
            return None
        answer = await self._daemon.ports.transport.call(
            listed.address,
            KeepMarkers(tasks=[marker], boot=witness.boot),
            _CALL_TIMEOUT,
        )
        kept = answer.ok()
        return kept.tasks[0].state if isinstance(kept, TaskReports) else None

    def _status(self, job: JobId) -> Message:
        status = self._daemon.runner.status(job)
        entry = self._daemon.book.entry_by_job[job]
        return status or _accepted(entry.spec)

    def _check(self, spec: JobSpec) -> Declined | None:
        """Check early whether a job can ever run."""
        engine = self._daemon.engine
        work_class = engine.find_class(spec.class_name)
        gang = work_class is not None and work_class.kind is WorkKind.GANG
        item = WorkItem(
            TaskId(spec.key),
            spec.tenant,
            spec.class_name,
            spec.size,
            gang=spec.count if gang else 1,
        )
        return engine.check_fit(item)

    async def _decline(
        self,
        spec: JobSpec,
        code: RefusalCode,
        detail: str,
        retry_after: Seconds,
    ) -> Message:
        """Refuse a job permanently, unless it was accepted before.

        It has certainly not run only if both witnesses report that its claim
        is settled, as this call or an earlier one may have put its record
        into the log.
        """
        claim = job_claim(spec.key)
        states = {
            await self._settle(witness, claim) for witness in _witnesses(spec)
        }
        if states == {TaskState.MARKER}:
            return _accepted(spec)
        certain = states == {TaskState.NEVER_STARTED}
        verdict = Verdict.NOT_RUN if certain else Verdict.MAY_HAVE_RUN
        _log.info('job refused', job=spec.key, code=code.value)
        return Refusal(
            code=code,
            detail=detail,
            verdict=verdict,
            retry_after=round(retry_after, 3),
        )

    async def _settle(
        self, witness: Witness, claim: TaskId
    ) -> TaskState | None:
        listed = self._daemon.fleet.by_worker.get(witness.worker)
        if listed is None:
            return None
        answer = await self._daemon.ports.transport.call(
            listed.address,
            SettleTasks(keys=[claim], boot=witness.boot),
            _CALL_TIMEOUT,
        )
        if not isinstance(answer, Ok):
            return None
        message = answer.ok_value
        if not isinstance(message, TaskReports):
            return None
        return message.tasks[0].state

    async def _ask_owner(self, witness: WorkerId, message: Message) -> Message:
        return await self._daemon.calls.call_holder(witness, message)


def _witnesses(spec: JobSpec) -> tuple[Witness, Witness]:
    """Return both workers that must store the job's claim before it runs."""
    return (
        Witness(spec.witness, spec.witness_boot),
        Witness(spec.backup, spec.backup_boot),
    )


def _accepted(spec: JobSpec) -> JobStatus:
    return JobStatus(key=spec.key, state=JobState.QUEUED, count=spec.count)
