"""Runs the jobs whose witness this scheduler holds.

One asyncio task runs each group of tasks: it places them, claims the attempt
at the witness, starts the tasks and waits for their ends. The worker accepts
a claim only once, so the claim decides which scheduler may start an attempt.
A new owner reads the claims and settles each before it makes another attempt.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

import structlog
from result import Err, Ok

from orchidrail.deciding.engine import Declined, WorkItem
from orchidrail.jitter import jitter
from orchidrail.jobs.attempts import Attempt, ClaimNote
from orchidrail.jobs.owned_job import (
    ACTION_BY_OUTCOME,
    AttemptOutcome,
    OutcomeAction,
    OwnedJob,
    TaskGroup,
    outcome_of,
    worst_outcome,
)
from orchidrail.jobs.records import JobEnded, encode_record
from orchidrail.scheduler.held_worker import StartFailure, is_refused
from orchidrail.scheduler.job_claims import (
    JobEndedError,
    OwnershipLostError,
    RefusedMarkerError,
)
from orchidrail.types import (
    FINAL_TASK_STATES,
    JobId,
    JobState,
    RefusalCode,
    Seconds,
    TaskId,
)
from orchidrail.wire.messages import JobStatus, TaskReport, TaskSpec

if TYPE_CHECKING:
    from orchidrail.jobs.book import JobBook, JobEntry
    from orchidrail.logstream.group_commit import GroupCommit
    from orchidrail.scheduler.boot_book import BootBook
    from orchidrail.scheduler.held_worker import HeldWorker
    from orchidrail.scheduler.job_claims import JobClaims
    from orchidrail.scheduler.lease_keeper import LeaseKeeper
    from orchidrail.scheduler.placer import Placer, TaskPlace
    from orchidrail.scheduler.ports import Ports
    from orchidrail.scheduler.zone_calls import ZoneCalls
    from orchidrail.settings import SchedulerSettings

#: Between two queries for a task whose end was not reported.
_POLL_INTERVAL: Seconds = 2
#: Between two tries while placement is declined or a task is stopping.
_RETRY_INTERVAL: Seconds = 0.5
_COMMIT_TIMEOUT: Seconds = 30
#: Base of the exponential backoff, which doubles with each failure.
_FAILURE_BACKOFF: Seconds = 2
#: Consecutive workers that a task may lose. A task that crashes its workers
#: would otherwise be retried forever, as a crashed worker reports no failure.
#: If 30% of the workers end every 3 s, one in 200 tasks of 3 s loses five in
#: a row.
_MAX_LOSSES = 5
_COUNTED_ACTIONS = frozenset((OutcomeAction.FAIL, OutcomeAction.RETRY_COUNTED))
_log = structlog.get_logger()


class JobFailedError(Exception):
    """A group has failed permanently; the message gives the reason."""


class JobRunner:
    """Owns jobs as long as the scheduler holds their witnesses."""

    def __init__(
        self,
        ports: Ports,
        settings: SchedulerSettings,
        book: JobBook,
        keeper: LeaseKeeper,
        placer: Placer,
        calls: ZoneCalls,
        commit: GroupCommit,
        claims: JobClaims,
        boots: BootBook,
    ) -> None:
        """Start without jobs."""
        self.owned_by_job: dict[JobId, OwnedJob] = {}
        self._ports = ports
        self._settings = settings
        self._book = book
        self._keeper = keeper
        self._placer = placer
        self._calls = calls
        self._boots = boots
        self._commit = commit
        self._claims = claims
        self._end_by_task: dict[TaskId, asyncio.Future[TaskReport]] = {}

    def take_up(self, held: HeldWorker) -> None:
        """Own the jobs that have `held` as their witness."""
        for entry in self._book.witnessed_by(held.instance.name):
            if entry.witness.boot == held.boot:
                self._own(entry)

    def take_up_job(self, entry: JobEntry) -> None:
        """Own a job read from the log if its witness is held."""
        held = self._keeper.authorised(entry.witness.worker)
        if held is not None and held.boot == entry.witness.boot:
            self._own(entry)

    def disown(self, held: HeldWorker) -> None:
        """Release ownership of the jobs of a witness whose lease is lost."""
        lost = [
            job
            for job, owned in self.owned_by_job.items()
            if owned.witness.worker == held.instance.name
        ]
        for job in lost:
            self._stop(job)

    def note_change(self, job: JobId) -> None:
        """Apply a change of a job's entry that was read from the log."""
        entry = self._book.entry_by_job[job]
        owned = self.owned_by_job.get(job)
        if entry.ended is not None:
            self._stop(job)
        elif owned is None:
            self.take_up_job(entry)
        elif owned.generation != entry.generation:
            self._stop(job)
            self.take_up_job(entry)
        elif entry.cancelled:
            owned.cancelling.set()

    def take_ends(self, tasks: list[TaskReport]) -> list[TaskReport]:
        """Deliver ends to owned jobs; return those of other owners' jobs."""
        others = []
        for report in tasks:
            end_future = self._end_by_task.get(report.key)
            if report.state not in FINAL_TASK_STATES:
                continue
            if end_future is not None and not end_future.done():
                end_future.set_result(report)
            elif report.job and report.job not in self.owned_by_job:
                others.append(report)
        return others

    def status(self, job: JobId) -> JobStatus | None:
        """Return a job's status as its owner, or from the log alone."""
        owned = self.owned_by_job.get(job)
        if owned is not None:
            return owned.status(self._settings.name)  # type: ignore[arg-type]
        entry = self._book.entry_by_job.get(job)
        if entry is None or entry.ended is None:
            return None
        done = entry.ended.state is JobState.DONE
        return JobStatus(
            key=job,
            state=entry.ended.state,
            count=entry.spec.count,
            finished=entry.spec.count if done else 0,
            detail=entry.ended.detail,
            answers=entry.ended.answers,
        )

    def cancel(self, job: JobId) -> bool:
        """Cancel an owned job; return whether it is owned here."""
        owned = self.owned_by_job.get(job)
        if owned is not None:
            owned.cancelling.set()
        return owned is not None

    async def close(self) -> None:
        """Stop running jobs; their tasks continue at their workers."""
        tasks = [
            owned.task
            for owned in self.owned_by_job.values()
            if owned.task is not None
        ]
        for job in list(self.owned_by_job):
            self._stop(job)
        await asyncio.gather(*tasks, return_exceptions=True)

    def _own(self, entry: JobEntry) -> None:
        job = entry.spec.key
        if job in self.owned_by_job or entry.ended is not None:
            return
        work_class = self._placer.work_class(entry.spec.class_name)
        if work_class is None:
            return
        owned = OwnedJob(entry, work_class.kind)
        if entry.cancelled:
            owned.cancelling.set()
        self.owned_by_job[job] = owned
        owned.task = asyncio.create_task(self._run(owned))

    def _stop(self, job: JobId) -> None:
        owned = self.owned_by_job.pop(job, None)
        if owned is not None and owned.task is not None:
            owned.task.cancel()

    async def _run(self, owned: OwnedJob) -> None:
        """Run a job to its end and commit the end to the log."""
        try:
            ended = await self._run_groups(owned)
            await self._keep_end(owned, ended)
        except (OwnershipLostError, JobEndedError):
            # It is owned again later if it is open and its witness is held.
            self._stop(owned.entry.spec.key)

    async def _run_groups(self, owned: OwnedJob) -> JobEnded:
        await self._restore_attempts(owned)
        groups = asyncio.gather(
            *(self._run_group(owned, group) for group in owned.groups),
        )
        cancelled = asyncio.create_task(owned.cancelling.wait())
        try:
            await asyncio.wait(
                (groups, cancelled),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if cancelled.done():
                return await self._cancel_groups(owned, groups)
            groups.result()
        except JobFailedError as failure:
            await self._stop_groups(owned)
            return _ended(owned, JobState.FAILED, str(failure))
        finally:
            cancelled.cancel()
            groups.cancel()
            with suppress(asyncio.CancelledError, Exception):
                await groups
        return _ended(owned, JobState.DONE, '')

    async def _restore_attempts(self, owned: OwnedJob) -> None:
        """Restore earlier attempts, unless the job was refused."""
        try:
            claims = await self._claims.recover(owned.entry)
            confirmed = await self._claims.confirm(owned.entry)
        except RefusedMarkerError:
            claims, confirmed = [], False
        owned.recall(claims)
        if not confirmed:
            await self._claims.note_refused(owned.entry)
            owned.detail = 'refused to its caller before it was kept'
            owned.refused = True
            owned.cancelling.set()

    async def _run_group(self, owned: OwnedJob, group: TaskGroup) -> None:
        """Run attempts of one group until one has finished."""
        self._check_claims(owned, group)
        if group.notes:
            await self._finish_attempt(owned, group, ask_first=True)
        while not group.done:
            await self._back_off(group)
            await self._start_attempt(owned, group)
            await self._finish_attempt(owned, group, ask_first=False)

    async def _back_off(self, group: TaskGroup) -> None:
        """Back off after failures, so that a bad worker can be detected."""
        if group.failures:
            max_delay = _FAILURE_BACKOFF * 2**group.failures
            await asyncio.sleep(jitter(self._ports.random, max_delay))

    def _check_claims(self, owned: OwnedJob, group: TaskGroup) -> None:
        """Fail a group that may have run at an unknown worker.

        Without claims, an attempt can be repeated only if the work class is
        repeatable.
        """
        work_class = self._placer.work_class(owned.entry.spec.class_name)
        repeatable = work_class is not None and work_class.repeatable
        if owned.entry.claims_lost and not group.notes and not repeatable:
            raise JobFailedError('may have run: both of its witnesses are gone')

    async def _start_attempt(self, owned: OwnedJob, group: TaskGroup) -> None:
        attempt = owned.next_attempt(group)
        places = await self._find_places(owned, group, attempt)
        try:
            group.notes = [place.note for place in places]
            await self._claims.claim(owned.entry, group.notes)
        except BaseException:
            for place in places:
                await asyncio.shield(place.drop())
            raise
        owned.state = JobState.RUNNING
        group.running = True
        starting = (
            self._start(owned, group, index, place)
            for index, place in enumerate(places)
        )
        await asyncio.gather(*starting)

    async def _find_places(
        self,
        owned: OwnedJob,
        group: TaskGroup,
        attempt: Attempt,
    ) -> list[TaskPlace]:
        while True:
            item = self._item(owned, group, attempt)
            outcome = await self._placer.place(item)
            if not isinstance(outcome, Declined):
                owned.detail = ''
                return outcome
            self._note_declined(owned, outcome)
            await asyncio.sleep(_RETRY_INTERVAL)

    def _note_declined(self, owned: OwnedJob, declined: Declined) -> None:
        owned.detail = declined.detail
        if declined.code is RefusalCode.NEVER_FITS:
            owned.state = JobState.PARKED

    def _item(
        self,
        owned: OwnedJob,
        group: TaskGroup,
        attempt: Attempt,
    ) -> WorkItem:
        spec = owned.entry.spec
        return WorkItem(
            attempt.key,
            spec.tenant,
            spec.class_name,
            spec.size,
            queued_at=self._ports.clock(),
            gang=group.size,
            avoid=group.avoid,
            origin=spec.key,
        )

    async def _start(
        self,
        owned: OwnedJob,
        group: TaskGroup,
        index: int,
        place: TaskPlace,
    ) -> None:
        spec = owned.entry.spec
        task = TaskSpec(
            key=place.note.task,
            tenant=spec.tenant,
            class_name=spec.class_name,
            size=spec.size,
            payload=spec.payload,
            ttl=self._settings.timings.task_ttl,
            job=spec.key,
            generation=owned.entry.generation,
            checkpoint=group.checkpoints[index],
        )
        self._expect(task.key)
        outcome = await place.start(task)
        if isinstance(outcome, Ok):
            self.take_ends([outcome.ok_value])
        refused = isinstance(outcome, Ok) and is_refused(outcome.ok_value)
        if refused or outcome == Err(StartFailure.NOT_STARTED):
            await place.drop()
            await self._settle(place.note)

    async def _settle(self, note: ClaimNote) -> None:
        """Settle a task that was not started, so that it never starts."""
        report = await self._query_task(note)
        if report is not None:
            self.take_ends([report])

    def _expect(self, task: TaskId) -> asyncio.Future[TaskReport]:
        known = self._end_by_task.get(task)
        if known is None:
            known = asyncio.get_running_loop().create_future()
            self._end_by_task[task] = known
        return known

    async def _finish_attempt(
        self,
        owned: OwnedJob,
        group: TaskGroup,
        *,
        ask_first: bool,
    ) -> None:
        """Wait for the end of a claimed attempt and apply its outcome."""
        group.running = True
        owned.state = JobState.RUNNING
        reports = await asyncio.gather(
            *(
                self._wait_for_end(note, ask_first=ask_first)
                for note in group.notes
            ),
        )
        group.running = False
        # An attempt that a previous owner claimed only in part never started.
        missing = len(reports) < group.size
        endings = [outcome_of(report) for report in reports]
        ending = worst_outcome(
            [*endings, AttemptOutcome.STOPPED] if missing else endings
        )
        self._apply_outcome(owned, group, ending, reports)

    def _apply_outcome(
        self,
        owned: OwnedJob,
        group: TaskGroup,
        ending: AttemptOutcome,
        reports: list[TaskReport | None],
    ) -> None:
        work_class = self._placer.work_class(owned.entry.spec.class_name)
        repeatable = work_class is not None and work_class.repeatable
        allowed = 1 if work_class is None else work_class.max_attempts
        action = ACTION_BY_OUTCOME[ending, repeatable]
        if action is OutcomeAction.FAIL_MAY_HAVE_RUN:
            raise JobFailedError('may have run: its worker is gone')
        group.count_loss(ending)
        if group.losses >= _MAX_LOSSES:
            raise JobFailedError(f'{group.losses} workers ended under a task')
        if action in _COUNTED_ACTIONS:
            group.count_failure(reports)
        if action is OutcomeAction.FAIL or group.failures >= allowed:
            raise JobFailedError(f'a task failed {group.failures} time(s)')
        group.take_reports(reports, done=action is OutcomeAction.KEEP)

    async def _wait_for_end(
        self,
        note: ClaimNote,
        *,
        ask_first: bool,
    ) -> TaskReport | None:
        """Return the report of a task's end, or None if its worker is lost.

        Lease holders report ends; periodic queries cover lost reports.
        """
        end_future = self._expect(note.task)
        if not ask_first:
            await asyncio.wait({end_future}, timeout=_POLL_INTERVAL)
        try:
            while True:
                report = await self._query_task(note)
                if report is not None and report.state in FINAL_TASK_STATES:
                    return report
                if self._boots.is_lost(note.worker, note.boot):
                    return None
                await asyncio.wait({end_future}, timeout=_POLL_INTERVAL)
        finally:
            self._end_by_task.pop(note.task, None)

    async def _query_task(self, note: ClaimNote) -> TaskReport | None:
        end_future = self._end_by_task.get(note.task)
        if end_future is not None and end_future.done():
            return end_future.result()
        settled = await self._calls.settle(note, [note.task])
        if isinstance(settled, Ok):
            return settled.ok_value[0]
        if settled.err_value is RefusalCode.UNKNOWN:
            # The worker itself reports that it was restarted.
            self._boots.note_restarted(note.worker, note.boot)
        return None

    async def _cancel_groups(
        self,
        owned: OwnedJob,
        groups: asyncio.Future[list[None]],
    ) -> JobEnded:
        groups.cancel()
        with suppress(
            asyncio.CancelledError, JobFailedError, OwnershipLostError
        ):
            await groups
        await self._stop_groups(owned)
        return _ended(owned, JobState.CANCELLED, owned.detail or 'cancelled')

    async def _stop_groups(self, owned: OwnedJob) -> None:
        """Stop the running tasks of a job and wait until they have stopped."""
        notes = [
            note
            for group in owned.groups
            if not group.done
            for note in group.notes
        ]
        await asyncio.gather(*(self._stop_task(note) for note in notes))

    async def _stop_task(self, note: ClaimNote) -> None:
        while True:
            report = await self._query_task(note)
            ended = report is not None and report.state in FINAL_TASK_STATES
            if ended or self._boots.is_lost(note.worker, note.boot):
                return
            await self._calls.control(note, stop=[note.task])
            await asyncio.sleep(_RETRY_INTERVAL)

    async def _keep_end(self, owned: OwnedJob, ended: JobEnded) -> None:
        """Commit the end to the log; then delete the job's state at workers."""
        owned.state = ended.state
        owned.detail = ended.detail
        record = encode_record(ended)
        while True:
            kept = await self._commit.commit(record, _COMMIT_TIMEOUT)
            if isinstance(kept, Ok):
                break
        await self._claims.note_end(owned.entry)
        await self._forget(owned)

    async def _forget(self, owned: OwnedJob) -> None:
        notes = [note for group in owned.groups for note in group.notes]
        for note in notes:
            await self._calls.control(note, forget=[note.task])
        await self._claims.forget(owned.entry, notes)


def _ended(owned: OwnedJob, state: JobState, detail: str) -> JobEnded:
    answers = [text for group in owned.groups for text in group.answers]
    return JobEnded(
        job=owned.entry.spec.key,
        state=state,
        detail=detail,
        answers=answers,
        refused=owned.refused,
    )
