"""What the end of a run means for its job, its worker and its gang."""

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
#: Time at work after which a run that lasts speaks for its worker: one that is
#: to fail with whatever its worker starts has failed by then.
_SOUND_AFTER: Seconds = 3.0


class RunEnds:
    """Settles the jobs of runs that have ended.

    Jobs that a run's end has touched are gathered, then settled together, so
    that each is written once.

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
        self._standings = QuarantinePolicy()
        self._touched_by_id: dict[str, Job] = {}

    def end(
        self,
        tracked: TrackedWorker,
        ended: EndedRun,
    ) -> None:
        """Take an end that a worker has told of."""
        run = tracked.release(ended.key)
        task = self._state.find_task(ended.key.task)
        if task is None:
            return
        job = task.step.job
        before = task.phase, task.run, task.failures
        job.end_run(task, ended.key.run, ended.ending, ended.checkpoint)
        if before == (task.phase, task.run, task.failures):
            return
        self._touched_by_id[job.job_id] = job
        self._state.metrics.runs_ended.labels(
            self._state.metrics.queue_label(job.queue.name),
            ended.ending.value,
        ).inc()
        if run is not None and ended.ending is RunEnding.DONE:
            self._learn_pace(tracked, run, task)
        self._judge(tracked, run, task, ended.ending)
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
        """Take that a run is at work; one that lasts has no other success.

        It counts once: it says nothing of what its worker starts later.
        """
        if run.sound or run.task is None or not run.task.step.spec.lasting:
            return
        if tracked.outlived(run) >= _SOUND_AFTER:
            run.sound = True
            self._standings.note_success(tracked.worker)

    def lose(
        self,
        tracked: TrackedWorker,
        run: PlacedRun,
    ) -> None:
        """Take a run for ended that left no end behind."""
        tracked.release(run.key)
        if run.task is not None:
            self.requeue(run.task, run.key.run)

    def requeue(
        self,
        task: Task,
        number: RunNumber,
    ) -> None:
        """Have a task wait again whose run is gone."""
        if task.phase is not TaskPhase.PLACED or task.run != number:
            return
        job = task.step.job
        if self._state.job_by_id.get(job.job_id) is not job:
            # It is over; its id may be that of another job by now.
            return
        job.end_run(task, task.run, RunEnding.LAPSED, '')
        self._touched_by_id[job.job_id] = job
        self._break_gang(task)

    def settle_all(self) -> list[Job]:
        """Save the jobs that ends have touched; end those that are over.

        Returns
        -------
        These jobs.
        """
        touched = list(self._touched_by_id.values())
        self._touched_by_id.clear()
        for job in touched:
            self._settle(job)
        return touched

    def _learn_pace(
        self,
        tracked: TrackedWorker,
        run: PlacedRun,
        task: Task,
    ) -> None:
        spec = task.step.spec
        took = self._state.clock() - run.confirmed_at
        if not math.isfinite(took):
            return
        task.step.job.note_run(took, tracked.worker)
        if spec.gang or task.checkpoint:
            return
        paces = self._state.speeds
        paces.note(
            tracked.worker, task.step.job.queue.name, took, spec.estimate
        )
        tracked.speed_class = paces.of(tracked.worker)

    def _judge(
        self,
        tracked: TrackedWorker,
        run: PlacedRun | None,
        task: Task,
        ending: RunEnding,
    ) -> None:
        """Draw conclusions about the worker from how a run ended."""
        if ending is RunEnding.DONE:
            self._standings.note_success(tracked.worker)
        if ending is not RunEnding.FAILED:
            return
        if run is not None and run.sound:
            # What lasts may fail at any time, wherever it runs.
            return
        now = self._state.clock()
        task.step.failed_workers.note_failure(tracked.worker, now)
        rest = self._standings.note_failure(
            tracked.worker,
            task.step.job.job_id,
            now,
            len(self._state.tracked_by_worker),
        )
        if rest:
            tracked.quarantine(now, rest)
            _log.info('worker rests', worker=tracked.worker, seconds=rest)

    def _break_gang(self, task: Task) -> None:
        """Stop the other members of a gang that has lost one."""
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

    def _settle(self, job: Job) -> Commit:
        """Save a job after its runs changed; end what is left if it is over."""
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
