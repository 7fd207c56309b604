"""Checks during a simulated day that startable work makes progress."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from orchidrail.shard.owner import ShardOwner
from orchidrail.types import Seconds
from orchidrail.work.job import Job
from orchidrail.work.size import Size
from orchidrail.work.step import StepState

#: Seconds for which a startable step may make no progress; the users' bound.
MAX_STALL: Seconds = 3.0
_HALVES = 2


class Stalled(NamedTuple):
    """A step that was startable but started nothing for too long."""

    step: str
    seconds: Seconds


class LivenessWatch:
    """Tracks startable steps of jobs that have no task running."""

    def __init__(self) -> None:
        """Start with no sample."""
        self.stalled: list[Stalled] = []
        self._since_by_step: dict[str, Seconds] = {}

    def sample(self, owner: ShardOwner, now: Seconds, wall: Seconds) -> None:
        """Sample which steps make no progress now."""
        stalled_keys = set(self._stalled_steps(owner, wall))
        if not _half_is_free(owner, now):
            stalled_keys = set()
        for key in self._since_by_step.keys() - stalled_keys:
            self._since_by_step.pop(key)
        for key in stalled_keys:
            since = self._since_by_step.setdefault(key, now)
            if now - since > MAX_STALL:
                self.stalled.append(Stalled(key, now - since))

    def _stalled_steps(
        self,
        owner: ShardOwner,
        wall: Seconds,
    ) -> Iterator[str]:
        for job in owner.state.job_by_id.values():
            if job.accepted and not _has_runs(job):
                steps = _startable_steps(job, wall)
                yield from (step.key for step in steps if _fits(owner, step))


def _startable_steps(job: Job, wall: Seconds) -> list[StepState]:
    return [step for step in job.open_steps(wall) if step.startable()]


def _has_runs(job: Job) -> bool:
    """Whether any task of a job is placed on a worker."""
    return bool(job.placed_on())


def _half_is_free(owner: ShardOwner, now: Seconds) -> bool:
    total, free = Size(), Size()
    for tracked in owner.state.tracked_by_worker.values():
        total += tracked.entry.capacity
        if tracked.accepts_work(now):
            free += tracked.free
    return _HALVES * free.millicores > total.millicores


def _fits(owner: ShardOwner, step: StepState) -> bool:
    """Whether there are slots for two tasks, or for a gang twice.

    Only workers count that are known to be permitted: whether the others are
    is unknown until the advice service has been called.
    """
    size = step.spec.charged
    at_once = step.spec.count if step.spec.gang else 1
    free_slots = 0
    for tracked in owner.state.tracked_by_worker.values():
        permitted_workers = step.permits.permitted
        if step.job.queue.advice is None or tracked.worker in permitted_workers:
            free_slots += tracked.slots_for(
                step.key, size, step.spec.most_per_worker
            )
    return free_slots >= _HALVES * at_once
