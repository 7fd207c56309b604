"""Effects of the end of a run on its job, its worker and its gang."""

from __future__ import annotations

import math
from collections.abc import Callable

import structlog

from orchidrail.journal.writer import Commit
from orchidrail.shard.quarantine import QuarantinePolicy
from orchidrail.shard.ranking import round_deadline
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.types import RunNumber, Seconds
from orchidrail.work.job import Job
from orchidrail.work.records import TaskPhase
from orchidrail.work.step import Task
from orchidrail.workers.port import EndedRun, RunEnding, RunKey

_log = structlog.get_logger()
#: Run time after which a long-running task counts as a success of its worker:
#: where a worker fails whatever it starts, the task has failed by then.
_SUCCESS_AFTER: Seconds = 3.0


class RunEnds:
    """Updates the jobs of runs that have ended.

    Jobs affected by the ends of one listing are collected and saved together,
    so that each is written once.

    Parameters
    ----------
    state : ShardState
    stop : callable
        Orders the stop of a run.
    stop_job : callable
        Orders the stop of all runs of a job.
    """

    def __init__(
        self,
        state: ShardState,
        stop: Callable[[TrackedWorker, PlacedRun], None],
        stop_job: Callable[[Job], None],
    ) -> None:
        """Start without ends."""
        self._state = state
        self._stop = stop
        self._stop_job = stop_job
        self._quarantine_policy = QuarantinePolicy()
        self._changed_job_by_id: dict[str, Job] = {}

    def apply_end(
        self,
        tracked: TrackedWorker,
        ended: EndedRun,
    ) -> None:
        """Apply the end of a run that a worker reports."""
        run = tracked.release(ended.key)
        task = self._state.find_task(ended.key.task)
        if task is None:
            return
        job = task.step.job
        job.note_begun(task)
        before = task.phase, task.run, task.failures
        saved = task.checkpoint or ended.checkpoint
        job.end_run(task, ended.key.run, ended.ending, ended.checkpoint)
        if before == (task.phase, task.run, task.failures):
            return
        self._changed_job_by_id[job.job_id] = job
        self._state.metrics.runs_ended.labels(
            self._state.metrics.queue_label(job.queue.name),
            ended.ending.value,
        ).inc()
        if run is not None and ended.ending is RunEnding.DONE:
            # Nobody has seen a run that was resumed or inherited as a whole.
            whole = not (saved or run.inherited)
            self._record_speed(tracked, run, task, whole=whole)
        self._record_outcome(tracked, run, task, ended.ending)
        if ended.ending is not RunEnding.DONE:
            _log.info(
                'run ended',
                task=ended.key.task,
                run=ended.key.run,
                worker=tracked.worker,
                ending=ended.ending.value,
                failures=task.failures,
            )
        if ended.ending in (RunEnding.LAPSED, RunEnding.ALONE):
            self._break_gang(task)

    def note_active(self, tracked: TrackedWorker, run: PlacedRun) -> None:
        """Count a long-running task at work as a success of its worker.

        It counts once: it shows nothing about what its worker starts later.
        """
        if (
            run.counted_as_success
            or run.task is None
            or not run.task.step.spec.lasting
        ):
            return
        if tracked.uptime_since_start(run) >= _SUCCESS_AFTER:
            run.counted_as_success = True
            self._quarantine_policy.note_success(tracked.worker)

    def presume_ended(
        self,
        tracked: TrackedWorker,
        run: PlacedRun,
    ) -> None:
        """Release a run that is presumed ended without a report."""
        tracked.release(run.key)
        if run.task is not None:
            self.requeue(run.task, run.key.run)

    def requeue(
        self,
        task: Task,
        number: RunNumber,
    ) -> None:
        """Put a task back into the queue after its run was lost."""
        if task.phase is not TaskPhase.PLACED or task.run != number:
            return
        job = task.step.job
        if self._state.job_by_id.get(job.job_id) is not job:
            # The job has ended; its id may belong to another job by now.
            return
        job.end_run(task, task.run, RunEnding.LAPSED, '')
        self._changed_job_by_id[job.job_id] = job
        self._break_gang(task)

    def save_changed(self) -> list[Job]:
        """Save the jobs affected by ends; finish those that have ended.

        Returns
        -------
        These jobs.
        """
        changed = list(self._changed_job_by_id.values())
        self._changed_job_by_id.clear()
        for job in changed:
            self.finish(job)
        return changed

    def _record_speed(
        self,
        tracked: TrackedWorker,
        run: PlacedRun,
        task: Task,
        *,
        whole: bool,
    ) -> None:
        spec = task.step.spec
        duration = self._state.clock() - run.confirmed_at
        if not math.isfinite(duration):
            return
        task.step.job.note_run(duration, tracked.worker)
        if spec.gang or not whole:
            return
        estimator = self._state.speeds
        estimator.note(
            tracked.worker, task.step.job.queue.name, duration, spec.estimate
        )
        tracked.speed_class = estimator.of(tracked.worker)

    def _record_outcome(
        self,
        tracked: TrackedWorker,
        run: PlacedRun | None,
        task: Task,
        ending: RunEnding,
    ) -> None:
        """Record the end of a run as a success or a failure of its worker."""
        if ending is RunEnding.DONE:
            self._quarantine_policy.note_success(tracked.worker)
        if ending is not RunEnding.FAILED:
            return
        if run is not None and run.counted_as_success:
            # A long-running task may fail at any time, on any worker.
            return
        now = self._state.clock()
        task.step.failed_workers.note_failure(tracked.worker, now)
        quarantine_s = self._quarantine_policy.note_failure(
            tracked.worker,
            task.step.job.job_id,
            now,
            len(self._state.tracked_by_worker),
        )
        if quarantine_s:
            tracked.quarantine(now, quarantine_s)
            _log.info(
                'worker rests', worker=tracked.worker, seconds=quarantine_s
            )

    def _break_gang(self, task: Task) -> None:
        """Stop the remaining members of a gang that has lost one."""
        if not task.step.spec.gang:
            return
        for member in task.step.tasks:
            if member.phase is not TaskPhase.PLACED:
                continue
            tracked = self._state.tracked_by_worker.get(member.worker)
            key = RunKey(member.key, member.run)
            run = tracked.run_by_key.get(key) if tracked else None
            if tracked is not None and run is not None:
                self._stop(tracked, run)

    def finish(self, job: Job) -> Commit:
        """Save a job after its runs changed; if it has ended, stop the rest."""
        self._state.mark_changed(job)
        commit = self._state.save(job)
        if not job.ended:
            return commit
        _log.info(
            'job over',
            job=job.job_id,
            phase=job.phase.name.lower(),
            cause=job.cause.value,
            crashes=job.crashes(),
            queue=job.queue.name,
            tenant=job.tenant.name,
            took=round(self._state.wall_clock() - job.record.accepted_at, 3),
            expected=round(round_deadline(job) - job.record.accepted_at, 3),
            failures=job.failures(),
            waits=job.wait_times.describe(self._state.clock()),
            longest_run=round(job.longest_run, 3),
            longest_at=job.longest_run_worker,
        )
        self._state.observe_job_duration(job)
        self._state.job_by_id.pop(job.job_id, None)
        self._stop_job(job)
        return commit


def resume_wait(task: Task, run: PlacedRun) -> None:
    """Let a task wait since before the placement of a run that never began.

    Otherwise workers that reject its starts in turn would keep it from ever
    becoming overdue.
    """
    if task.phase is TaskPhase.WAITING and task.run == run.key.run:
        task.waiting_since = run.waited_since
