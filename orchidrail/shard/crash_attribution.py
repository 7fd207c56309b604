"""Attributes crashes of workers to tasks, and clears tasks of suspicion."""

from __future__ import annotations

import math

import structlog

from orchidrail.shard.crash_evidence import (
    CrashRateMonitor,
    IncarnationEnd,
    LostRun,
    added_suspicion,
    lost_runs,
)
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.types import Address, RunNumber, Seconds, WorkerId
from orchidrail.work.records import FailureCause
from orchidrail.work.step import Task

_log = structlog.get_logger()
#: Run time after which a task is no longer suspected: far longer than any
#: isolated retry. Without it a long-running task would accumulate the crashes
#: of days.
_CLEARED_AFTER: Seconds = 10.0
#: Time without a crash after which an address counts as stable: several times
#: the uptime of a worker that goes down and up by turns.
_STABLE_AFTER: Seconds = 30.0


class CrashAttributor:
    """Maintains the suspicion of a shard's tasks.

    Parameters
    ----------
    state : ShardState
    """

    def __init__(self, state: ShardState) -> None:
        """Start without suspicion."""
        self._state = state
        self._crash_rate = CrashRateMonitor()
        #: Suspicion that is retracted if the worker turns out to be alive.
        self._retractable_by_worker: dict[WorkerId, list[tuple[Task, int]]] = {}
        self._crashed_at_by_address: dict[Address, Seconds] = {}

    def record_end(
        self,
        worker: WorkerId,
        unresolved: list[tuple[Task, RunNumber]],
        end: IncarnationEnd,
    ) -> None:
        """Record the end of a worker's incarnation and of all its runs.

        Parameters
        ----------
        unresolved : list of (Task, int)
            Runs that a previous owner placed there; its observations of them
            are not known.
        """
        self._state.metrics.workers_ended.labels(end.value).inc()
        tracked = self._state.tracked_by_worker.get(worker)
        lost = [LostRun(*one, True, False) for one in unresolved]
        if tracked is not None:
            for run in tracked.run_by_key.values():
                _log_lost(tracked, run, end)
            lost += lost_runs(tracked)
        if end is not IncarnationEnd.LEFT:
            self._add_suspicion(worker, lost, end)

    def retract(self, worker: WorkerId) -> None:
        """Retract the suspicion of tasks whose worker is alive."""
        for task, added in self._retractable_by_worker.pop(worker, ()):
            task.step.job.retract_crash(task, added)
            _log.info('suspicion taken back', task=task.key, worker=worker)

    def note_survival(self, tracked: TrackedWorker, run: PlacedRun) -> None:
        """End an isolated retry past its startup window; clear an old task."""
        if run.key in tracked.isolated_runs and tracked.survived_startup(run):
            tracked.isolated_runs.discard(run.key)
            self._state.pass_requested.set()
        task = run.task
        cleared = tracked.uptime_since_start(run) > _CLEARED_AFTER
        if task is not None and task.suspicion and cleared:
            task.step.job.clear_suspicion(task)
            _log.info('task cleared', task=task.key, worker=tracked.worker)

    def _add_suspicion(
        self,
        worker: WorkerId,
        runs: list[LostRun],
        end: IncarnationEnd,
    ) -> None:
        now = self._state.clock()
        all_tracked = self._state.tracked_by_worker
        low_crash_rate = self._crash_rate.is_low(all_tracked.values(), now)
        tracked = all_tracked.get(worker)
        self._crash_rate.record_end(tracked, now)
        if tracked is not None:
            low_crash_rate = (
                low_crash_rate and now - tracked.crashed_at > _STABLE_AFTER
            )
            self._record_crash_at(tracked.entry.address, now)
        retractable: list[tuple[Task, int]] = []
        for lost in runs:
            job = lost.task.step.job
            added = added_suspicion(lost, end, low_crash_rate)
            if not job.ended and job.note_crash(lost.task, lost.run, added):
                retractable.append((lost.task, added))
                self._log_suspected(worker, lost, added, low_crash_rate)
        self._keep_retractable(
            worker, [] if end is IncarnationEnd.CRASHED else retractable
        )

    def last_crash_at(self, address: Address) -> Seconds:
        """Return when a worker at an address last crashed."""
        return self._crashed_at_by_address.get(address, -math.inf)

    def _record_crash_at(self, address: Address, now: Seconds) -> None:
        """Record a crash for later incarnations at the same address."""
        self._crashed_at_by_address[address] = now
        for tracked in self._state.tracked_by_worker.values():
            if tracked.entry.address == address:
                tracked.crashed_at = now

    def _keep_retractable(
        self,
        worker: WorkerId,
        retractable: list[tuple[Task, int]],
    ) -> None:
        """Keep the suspicion that may be retracted while its jobs are open."""
        self._retractable_by_worker[worker] = retractable
        self._retractable_by_worker = {
            name: rows
            for name, rows in self._retractable_by_worker.items()
            if any(not task.step.job.ended for task, _ in rows)
        }

    def _log_suspected(
        self,
        worker: WorkerId,
        lost: LostRun,
        added: int,
        low_crash_rate: bool,
    ) -> None:
        task = lost.task
        job = task.step.job
        abandoned = job.cause is FailureCause.CRASHED_WORKERS
        outcome = 'given up' if abandoned else 'suspected'
        self._state.metrics.task_crashes.labels(
            self._state.metrics.queue_label(job.queue.name),
            outcome,
        ).inc()
        _log.info(
            'task suspected',
            task=task.key,
            run=lost.run,
            worker=worker,
            young=lost.recent,
            trial=lost.isolated,
            calm=low_crash_rate,
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
    """Log a run whose worker is gone.

    Recently started runs may be the cause; those that the worker survived for
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
        outlived=round(tracked.uptime_since_start(run), 3),
        others=len(tracked.run_by_key) - 1,
    )
