"""Tells of gangs that can't start again before a lost worker is settled.

A gang starts as a whole. While a run of one member may still be on a worker
that does not answer, none of the others is placed, and the step is not among
those that wait for room.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator

import structlog

from orchidrail.shard.state import ShardState
from orchidrail.shard.worker_contact import longest_silence
from orchidrail.types import Seconds, WorkerId
from orchidrail.work.job import Job
from orchidrail.work.records import TaskPhase
from orchidrail.work.step import StepState

_log = structlog.get_logger()
#: A gang is told of again after this long.
_TOLD_EVERY: Seconds = 4.0
#: Gangs told of at one time, and workers named of each.
_MOST_TOLD = 10
_MOST_NAMED = 3


class BlockedGangs:
    """Follows the gangs of a shard that are held back.

    Parameters
    ----------
    state : ShardState
    """

    def __init__(self, state: ShardState) -> None:
        """Start with nothing told."""
        self._state = state
        self._told_at_by_step: dict[str, Seconds] = {}

    def report(self, jobs: Iterable[Job]) -> None:
        """Log the gangs held back.

        Parameters
        ----------
        jobs : iterable of Job
            Those with a task on a lost worker.
        """
        now = self._state.clock()
        lost_by_step = {
            step: lost for job in jobs for step, lost in self._held_back(job)
        }
        due = [step for step in lost_by_step if self._is_due(step, now)]
        for step in due[:_MOST_TOLD]:
            self._told_at_by_step[step.key] = now
            self._tell(step, lost_by_step[step])
        still = {step.key for step in lost_by_step}
        for key in self._told_at_by_step.keys() - still:
            self._told_at_by_step.pop(key)

    def _is_due(self, step: StepState, now: Seconds) -> bool:
        told_at = self._told_at_by_step.get(step.key)
        return told_at is None or now - told_at >= _TOLD_EVERY

    def _held_back(
        self,
        job: Job,
    ) -> Iterator[tuple[StepState, list[WorkerId]]]:
        """Yield the gangs held back, each with its lost workers."""
        workers_by_step: dict[StepState, set[WorkerId]] = defaultdict(set)
        for task in job.placed_tasks():
            if task.step.spec.gang:
                workers_by_step[task.step].add(task.worker)
        for step, workers in workers_by_step.items():
            lost = sorted(filter(self._state.is_unreachable, workers))
            if lost and _count(step, TaskPhase.WAITING):
                yield step, lost

    def _tell(self, step: StepState, lost: list[WorkerId]) -> None:
        _log.info(
            'gang held back',
            job=step.job.job_id,
            step=step.key,
            queue=step.job.queue.name,
            waiting=_count(step, TaskPhase.WAITING),
            placed=_count(step, TaskPhase.PLACED),
            unheard=round(longest_silence(self._state, step), 3),
            lost=lost[:_MOST_NAMED],
        )


def _count(step: StepState, phase: TaskPhase) -> int:
    return sum(task.phase is phase for task in step.tasks)
