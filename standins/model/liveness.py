"""Whether work that could run does: watched while a modelled day is played."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from orchidrail.shard.owner import ShardOwner
from orchidrail.types import Seconds
from orchidrail.work.job import Job
from orchidrail.work.size import Size
from orchidrail.work.step import StepState

#: Longest time that a task may stand still which could run, as the users judge.
LONGEST_STILL: Seconds = 3.0
_HALVES = 2


class Stalled(NamedTuple):
    """A step that could have started something for too long."""

    step: str
    seconds: Seconds


class LivenessWatch:
    """Follows the steps whose turn has come and of which nothing runs."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.stalled: list[Stalled] = []
        self._since_by_step: dict[str, Seconds] = {}

    def look(self, owner: ShardOwner, now: Seconds, wall: Seconds) -> None:
        """Take what stands still now."""
        still = set(self._still_steps(owner, wall))
        if not _half_is_free(owner, now):
            still = set()
        for key in self._since_by_step.keys() - still:
            self._since_by_step.pop(key)
        for key in still:
            since = self._since_by_step.setdefault(key, now)
            if now - since > LONGEST_STILL:
                self.stalled.append(Stalled(key, now - since))

    def _still_steps(
        self,
        owner: ShardOwner,
        wall: Seconds,
    ) -> Iterator[str]:
        for job in owner.state.job_by_id.values():
            if job.accepted and not _runs(job):
                steps = _startable_steps(job, wall)
                yield from (step.key for step in steps if _fits(owner, step))


def _startable_steps(job: Job, wall: Seconds) -> list[StepState]:
    return [step for step in job.open_steps(wall) if step.startable()]


def _runs(job: Job) -> bool:
    """Whether any task of a job is given to a worker."""
    return bool(job.placed_on())


def _half_is_free(owner: ShardOwner, now: Seconds) -> bool:
    whole, free = Size(), Size()
    for tracked in owner.state.tracked_by_worker.values():
        whole += tracked.entry.capacity
        if tracked.accepts_work(now):
            free += tracked.free
    return _HALVES * free.millicores > whole.millicores


def _fits(owner: ShardOwner, step: StepState) -> bool:
    """Whether there is room for two tasks, for a gang twice all of it.

    Only workers count that the step may use for good: what advice says of the
    others is not known before it was asked.
    """
    size = step.spec.charged
    at_once = step.spec.count if step.spec.gang else 1
    rooms = 0
    for tracked in owner.state.tracked_by_worker.values():
        good = step.permits.permitted
        if step.job.queue.advice is None or tracked.worker in good:
            rooms += tracked.slots_for(
                step.key, size, step.spec.most_per_worker
            )
    return rooms >= _HALVES * at_once
