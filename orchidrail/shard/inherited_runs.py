"""Runs that an owner before has placed, as their workers are heard."""

from __future__ import annotations

from collections.abc import Callable

from orchidrail.shard.crash_evidence import IncarnationEnd
from orchidrail.shard.run_ends import RunEnds
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import PlacedRun, TrackedWorker
from orchidrail.types import RunNumber, WorkerId
from orchidrail.work.records import TaskPhase
from orchidrail.work.step import Task
from orchidrail.workers.incarnations import split_incarnation_id
from orchidrail.workers.port import ActiveRun, RunKey


class EarlierRuns:
    """Takes over what workers list, and settles what they don't.

    Parameters
    ----------
    state : ShardState
    ends : RunEnds
    give_up : callable
        Takes all that a worker ran for ended.
    """

    def __init__(
        self,
        state: ShardState,
        ends: RunEnds,
        give_up: Callable[[WorkerId, IncarnationEnd], None],
    ) -> None:
        """Go by what the journal has told."""
        self._state = state
        self._ends = ends
        self._give_up = give_up

    def adopt(self, tracked: TrackedWorker, active: ActiveRun) -> PlacedRun:
        """Take over a run that an earlier owner started."""
        task = self._state.find_task(active.key.task)
        now = self._state.clock()
        left = self._state.unresolved_runs.lingering_on(
            tracked.worker,
            active.key,
        )
        size = left.size if left else None
        run = PlacedRun(
            active.key,
            task.step.spec.charged if task else size,
            task,
            now,
            confirmed_at=now,
            ordered=True,
            trial=task is not None and task.suspected,
            left=left,
        )
        tracked.allocate(run, active.key.task.rpartition('.')[0])
        if task is not None and _unlogged(task, active.key.run, tracked):
            task.step.job.place(task, active.key.run, tracked.worker)
            self._state.save(task.step.job)
            self._state.changed_jobs.add(task.step.job.job_id)
        return run

    def resolve(self, tracked: TrackedWorker, seen: set[RunKey]) -> None:
        """Settle the runs that an earlier owner placed on this worker.

        One that answers has no other life any more. The journals of older
        versions don't tell lives apart.
        """
        name = tracked.entry.name
        unresolved = self._state.unresolved_runs
        for worker in list(unresolved):
            if split_incarnation_id(worker)[0] != name:
                continue
            gone = [
                (task, number)
                for task, number in unresolved.pop_runs(worker)
                if RunKey(task.key, number) not in seen
            ]
            if worker not in (tracked.worker, name):
                unresolved[worker] = gone
                self._give_up(worker, IncarnationEnd.CRASHED)
                continue
            for task, number in gone:
                self._ends.requeue(task, number)


def _unlogged(task: Task, run: RunNumber, tracked: TrackedWorker) -> bool:
    """Whether the journal doesn't tell that a run is on this life."""
    if task.phase is TaskPhase.DONE or run < task.run:
        return False
    return run > task.run or task.worker != tracked.worker
