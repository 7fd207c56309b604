"""Judges which tasks the end of a worker speaks against, and clears them."""

from __future__ import annotations

import math

import structlog

from orchidrail.shard.crash_evidence import (
    CrashWatch,
    IncarnationEnd,
    LostRun,
    lost_runs,
    suspicion_of,
)
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.types import Address, RunNumber, Seconds, WorkerId
from orchidrail.work.records import FailureCause
from orchidrail.work.step import Task

_log = structlog.get_logger()
#: Time at work after which a task is no longer suspected: far longer than any
#: trial; a task that lasts would add up the crashes of days.
_CLEARED_AFTER: Seconds = 10.0
#: Time without a crash after which an address counts as any other: several
#: times what a worker that goes down and up by turns is up.
_STEADY_AFTER: Seconds = 30.0


class CrashJudge:
    """Keeps the suspicion of a shard's tasks.

    Parameters
    ----------
    state : ShardState
    """

    def __init__(self, state: ShardState) -> None:
        """Suspect nothing."""
        self._state = state
        self._watch = CrashWatch()
        #: Suspicion that goes if the worker turns out to be alive.
        self._doubted_by_worker: dict[WorkerId, list[tuple[Task, int]]] = {}
        self._crashed_at_by_address: dict[Address, Seconds] = {}

    def note_end(
        self,
        worker: WorkerId,
        unresolved: list[tuple[Task, RunNumber]],
        end: IncarnationEnd,
    ) -> None:
        """Take that a worker's life is over, with all that ran there.

        Parameters
        ----------
        unresolved : list of (Task, int)
            Runs that an earlier owner placed there; what it saw of them is not
            known.
        """
        self._state.metrics.workers_ended.labels(end.value).inc()
        tracked = self._state.tracked_by_worker.get(worker)
        lost = [LostRun(*one, True, False) for one in unresolved]
        if tracked is not None:
            for run in tracked.run_by_key.values():
                _log_lost(tracked, run, end)
            lost += lost_runs(tracked)
        if end is not IncarnationEnd.LEFT:
            self._suspect(worker, lost, end)

    def take_back(self, worker: WorkerId) -> None:
        """Take back what was held against tasks of a worker that is alive."""
        for task, added in self._doubted_by_worker.pop(worker, ()):
            task.step.job.retract_crash(task, added)
            _log.info('suspicion taken back', task=task.key, worker=worker)

    def note_outlived(self, tracked: TrackedWorker, run: PlacedRun) -> None:
        """End a trial that is past; clear a task that has worked for long."""
        if run.key in tracked.isolated_runs and tracked.proven(run):
            tracked.isolated_runs.discard(run.key)
            self._state.pass_requested.set()
        task = run.task
        cleared = tracked.outlived(run) > _CLEARED_AFTER
        if task is not None and task.suspicion and cleared:
            task.suspicion = 0
            _log.info('task cleared', task=task.key, worker=tracked.worker)

    def _suspect(
        self,
        worker: WorkerId,
        suspects: list[LostRun],
        end: IncarnationEnd,
    ) -> None:
        now = self._state.clock()
        every = self._state.tracked_by_worker
        calm = self._watch.calm(every.values(), now)
        tracked = every.get(worker)
        self._watch.note_end(tracked, now)
        if tracked is not None:
            calm = calm and now - tracked.crashed_at > _STEADY_AFTER
            self._note_address(tracked.entry.address, now)
        doubted: list[tuple[Task, int]] = []
        for lost in suspects:
            job = lost.task.step.job
            added = suspicion_of(lost, end, calm)
            if not job.ended and job.note_crash(lost.task, lost.run, added):
                doubted.append((lost.task, added))
                self._log_suspected(worker, lost, added, calm)
        self._keep_doubted(
            worker, [] if end is IncarnationEnd.CRASHED else doubted
        )

    def last_crash_at(self, address: Address) -> Seconds:
        """Return when a worker at an address crashed last."""
        return self._crashed_at_by_address.get(address, -math.inf)

    def _note_address(self, address: Address, now: Seconds) -> None:
        """Remember a crash for the lives that follow at the same address."""
        self._crashed_at_by_address[address] = now
        for tracked in self._state.tracked_by_worker.values():
            if tracked.entry.address == address:
                tracked.crashed_at = now

    def _keep_doubted(
        self,
        worker: WorkerId,
        doubted: list[tuple[Task, int]],
    ) -> None:
        """Remember what may be taken back, as long as its jobs are open."""
        self._doubted_by_worker[worker] = doubted
        self._doubted_by_worker = {
            name: rows
            for name, rows in self._doubted_by_worker.items()
            if any(not task.step.job.ended for task, _ in rows)
        }

    def _log_suspected(
        self,
        worker: WorkerId,
        lost: LostRun,
        added: int,
        calm: bool,
    ) -> None:
        task = lost.task
        job = task.step.job
        given_up = job.cause is FailureCause.CRASHED_WORKERS
        outcome = 'given up' if given_up else 'suspected'
        self._state.metrics.task_crashes.labels(
            self._state.metrics.queue_label(job.queue.name),
            outcome,
        ).inc()
        _log.info(
            'task suspected',
            task=task.key,
            run=lost.run,
            worker=worker,
            young=lost.young,
            trial=lost.trial,
            calm=calm,
            added=added,
            suspicion=task.suspicion,
            crashes=task.crashes,
            outcome=outcome,
        )


def _log_lost(
    tracked: TrackedWorker,
    run: PlacedRun,
    end: IncarnationEnd,
) -> None:
    """Tell what is known of a run whose worker is gone.

    Runs that had just begun may be the cause; those that it outlived for
    long are not.
    """
    _log.info(
        'run lost',
        task=run.key.task,
        run=run.key.run,
        worker=tracked.worker,
        reason=end.value,
        ordered=run.ordered,
        answered=run.confirmed_at < math.inf,
        outlived=round(tracked.outlived(run), 3),
        others=len(tracked.run_by_key) - 1,
    )
