"""Logs gangs that cannot start until an unreachable worker is resolved.

A gang starts as a whole. While a run of one member may still be on an
unreachable worker, none of the other members is placed, and the step is not
among those that wait for capacity.
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
#: Minimum interval between two log lines on the same gang.
_LOG_INTERVAL: Seconds = 4.0
#: Maximum numbers of gangs logged in one report, and of workers per gang.
_MAX_LOGGED_GANGS = 10
_MAX_NAMED_WORKERS = 3


class BlockedGangs:
    """Tracks the blocked gangs of a shard.

    Parameters
    ----------
    state : ShardState
    """

    def __init__(self, state: ShardState) -> None:
        """Create a reporter that has logged nothing yet."""
        self._state = state
        self._logged_at_by_step: dict[str, Seconds] = {}

    def report(self, jobs: Iterable[Job]) -> None:
        """Log the blocked gangs.

        Parameters
        ----------
        jobs : iterable of Job
            Those with a task on an unreachable worker.
        """
        now = self._state.clock()
        unreachable_by_step = {
            step: unreachable
            for job in jobs
            for step, unreachable in self._find_blocked(job)
        }
        due = [step for step in unreachable_by_step if self._is_due(step, now)]
        for step in due[:_MAX_LOGGED_GANGS]:
            self._logged_at_by_step[step.key] = now
            self._log_gang(step, unreachable_by_step[step])
        still_blocked = {step.key for step in unreachable_by_step}
        for key in self._logged_at_by_step.keys() - still_blocked:
            self._logged_at_by_step.pop(key)

    def _is_due(self, step: StepState, now: Seconds) -> bool:
        logged_at = self._logged_at_by_step.get(step.key)
        return logged_at is None or now - logged_at >= _LOG_INTERVAL

    def _find_blocked(
        self,
        job: Job,
    ) -> Iterator[tuple[StepState, list[WorkerId]]]:
        """Yield the blocked gangs, each with its unreachable workers."""
        workers_by_step: dict[StepState, set[WorkerId]] = defaultdict(set)
        for task in job.placed_tasks():
            if task.step.spec.gang:
                workers_by_step[task.step].add(task.worker)
        for step, workers in workers_by_step.items():
            unreachable = sorted(filter(self._state.is_unreachable, workers))
            if unreachable and _count(step, TaskPhase.WAITING):
                yield step, unreachable

    def _log_gang(self, step: StepState, unreachable: list[WorkerId]) -> None:
        _log.info(
            'gang held back',
            job=step.job.job_id,
            step=step.key,
            queue=step.job.queue.name,
            waiting=_count(step, TaskPhase.WAITING),
            placed=_count(step, TaskPhase.PLACED),
            unheard=round(longest_silence(self._state, step), 3),
            lost=unreachable[:_MAX_NAMED_WORKERS],
        )


def _count(step: StepState, phase: TaskPhase) -> int:
    return sum(task.phase is phase for task in step.tasks)
