"""Runs that a previous owner placed, resolved as their workers respond."""

from __future__ import annotations

from collections.abc import Callable, Collection

from orchidrail.shard.crash_evidence import IncarnationEnd
from orchidrail.shard.run_ends import RunEnds
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.types import RunNumber, WorkerId
from orchidrail.work.records import TaskPhase
from orchidrail.work.step import Task
from orchidrail.workers.incarnations import split_incarnation_id
from orchidrail.workers.port import ActiveRun, RunKey


class InheritedRuns:
    """Adopts the inherited runs that workers list, and resolves the others.

    Parameters
    ----------
    state : ShardState
    ends : RunEnds
    presume_lost : callable
        Presumes a worker lost, with all its runs.
    """

    def __init__(
        self,
        state: ShardState,
        ends: RunEnds,
        presume_lost: Callable[[WorkerId, IncarnationEnd], None],
    ) -> None:
        """Start with the state that was read from the journal."""
        self._state = state
        self._ends = ends
        self._presume_lost = presume_lost

    def adopt(self, tracked: TrackedWorker, active: ActiveRun) -> PlacedRun:
        """Adopt a run that a previous owner started."""
        task = self._state.find_task(active.key.task)
        now = self._state.clock()
        lingering = self._state.unresolved_runs.lingering_on(
            tracked.worker,
            active.key,
        )
        size = lingering.size if lingering else None
        run = PlacedRun(
            active.key,
            task.step.spec.charged if task else size,
            task,
            now,
            confirmed_at=now,
            ordered=True,
            inherited=True,
            isolated=task is not None and task.suspected,
            left=lingering,
        )
        tracked.allocate(run, active.key.task.rpartition('.')[0])
        if task is not None:
            task.step.job.workers.add(tracked.worker)
        if task is not None and _missing_from_journal(
            task, active.key.run, tracked
        ):
            task.step.job.place(task, active.key.run, tracked.worker)
            self._state.save(task.step.job)
            self._state.changed_jobs.add(task.step.job.job_id)
        return run

    def resolve(
        self,
        tracked: TrackedWorker,
        seen: Collection[RunKey],
        complete: bool,
    ) -> None:
        """Resolve the inherited runs of a worker that has responded.

        Earlier incarnations of the worker are over. Journals of older versions
        don't distinguish incarnations.

        Parameters
        ----------
        seen : collection of RunKey
            Runs in the worker's listing.
        complete : bool
            Whether runs that are missing there have ended without a report.
        """
        name = tracked.entry.name
        unresolved = self._state.unresolved_runs
        for worker in list(unresolved):
            if split_incarnation_id(worker)[0] != name:
                continue
            unresolved.remove_listed(worker, seen)
            if not complete:
                continue
            if worker not in (tracked.worker, name):
                self._presume_lost(worker, IncarnationEnd.CRASHED)
                continue
            for task, number in unresolved.pop_runs(worker):
                self._ends.requeue(task, number)


def _missing_from_journal(
    task: Task, run: RunNumber, tracked: TrackedWorker
) -> bool:
    """Whether the journal doesn't show a run on this incarnation."""
    if task.phase is TaskPhase.DONE or run < task.run:
        return False
    return run > task.run or task.worker != tracked.worker
