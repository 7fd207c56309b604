"""The order in which waiting steps are given room."""

from __future__ import annotations

from typing import NamedTuple

from orchidrail.types import Seconds
from orchidrail.work.job import Job, StepState
from orchidrail.work.model import JobSpec, QueueSettings

Rank = tuple[float, ...]

_URGENT, _IN_TIME, _LATE = 0, 1, 2
#: A step whose latest start is nearer than this takes what room there is.
_SPARE: Seconds = 2.0


def longest_chain(spec: JobSpec, queue: QueueSettings) -> Seconds:
    """Return the estimated run time of the longest chain of steps."""
    advice = 0 if queue.advice is None else queue.advice.base
    end_by_step: list[Seconds] = []
    for step in spec.steps:
        begin = max((end_by_step[earlier] for earlier in step.after), default=0)
        end_by_step.append(begin + step.estimate + advice)
    return max(end_by_step)


def due_at(job: Job, round_number: int = 0) -> Seconds:
    """Return the wall clock by which a round of a job should have ended.

    It rests on the caller's estimates, which may be far off.
    """
    chain = longest_chain(job.spec, job.queue)
    began = max(job.record.accepted_at, job.spec.due(round_number))
    return began + job.queue.stretch * chain + job.queue.target


class Timing(NamedTuple):
    """By when a waiting step should start and its round should end.

    Parameters
    ----------
    latest_start, deadline : float
        Wall clock, seconds since 1970; both rest on the caller's estimates.
    accepted_at : float
    urgent : bool
        Whether the step's queue goes before all others.
    """

    latest_start: Seconds
    deadline: Seconds
    accepted_at: Seconds
    urgent: bool

    def has_time(self, wall: Seconds) -> bool:
        """Whether the step still meets its objective if it waits a while."""
        return not self.urgent and wall < self.latest_start - _SPARE

    def rank(self, wall: Seconds) -> Rank:
        """Return the rank of the step; the least goes first.

        Urgent queues go first; then what can still meet its objective, by the
        latest time at which it must start; then what is late.
        """
        if self.urgent:
            return (_URGENT, self.accepted_at)
        tier = _LATE if wall > self.deadline else _IN_TIME
        return (tier, self.latest_start)


def time_step(step: StepState) -> Timing:
    """Return the timing of a step, which never changes."""
    job = step.job
    deadline = due_at(job, step.round_number)
    return Timing(
        deadline - longest_chain(job.spec, job.queue),
        deadline,
        job.record.accepted_at,
        job.urgent,
    )
