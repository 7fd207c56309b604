"""The order in which waiting steps are given room."""

from __future__ import annotations

from typing import NamedTuple

from orchidrail.types import Seconds
from orchidrail.work.job import Job
from orchidrail.work.model import JobSpec, QueueSettings
from orchidrail.work.step import StepState

Rank = tuple[float, ...]

_URGENT, _OVERDUE, _OTHER, _BEYOND = range(4)
#: A step whose latest start is nearer than this takes what room there is.
_SPARE: Seconds = 2.0
#: How far a late step is put off: as long as a usual job of the users' sites
#: that is not urgent has in all.
_LATE_WAITS: Seconds = 15.0


def critical_path_s(spec: JobSpec, queue: QueueSettings) -> Seconds:
    """Return the estimated run time of the longest chain of steps."""
    advice = 0 if queue.advice is None else queue.advice.base
    end_by_step: list[Seconds] = []
    for step in spec.steps:
        begin = max((end_by_step[earlier] for earlier in step.after), default=0)
        end_by_step.append(begin + step.estimate + advice)
    return max(end_by_step)


def round_deadline(job: Job, round_number: int = 0) -> Seconds:
    """Return the wall clock by which a round of a job should have ended.

    It rests on the caller's estimates, which may be far off.
    """
    chain = critical_path_s(job.spec, job.queue)
    began = _begins_at(job, round_number)
    return began + job.queue.stretch * chain + job.queue.target


def _begins_at(job: Job, round_number: int) -> Seconds:
    """Return the wall clock from which a round's time counts."""
    return max(job.record.accepted_at, job.spec.due(round_number))


class Timing(NamedTuple):
    """By when a waiting step should start and its round should end.

    Parameters
    ----------
    latest_start, deadline : float
        Wall clock, seconds since 1970; both rest on the caller's estimates.
    began : float
        When the step's round was due, or its job accepted.
    urgent : bool
        Whether the step's queue goes before all others.
    over_share : bool
        Whether its job is beyond what its tenant is owed.
    """

    latest_start: Seconds
    deadline: Seconds
    began: Seconds
    urgent: bool
    over_share: bool = False

    def has_slack(self, wall: Seconds) -> bool:
        """Whether the step still meets its objective if it waits a while."""
        if self.over_share:
            return True
        return not self.urgent and wall < self.latest_start - _SPARE

    def rank(self, wall: Seconds) -> Rank:
        """Return the rank of the step; the least goes first.

        Urgent queues go first; then the others by the latest time at which
        they must start. What is late already, urgent or not, is put off for a
        while: it does not starve what can be in time, but goes before what must
        start later than that, so it is not starved for good. What a tenant
        sends beyond what it is owed goes behind all that is owed.
        """
        if self.over_share:
            return (_BEYOND, self.latest_start)
        if wall > self.deadline:
            return (_OTHER, self.deadline + _LATE_WAITS)
        if self.urgent:
            return (_URGENT, self.began)
        return (_OTHER, self.latest_start)


def overdue_rank(since: Seconds) -> Rank:
    """Return the rank of a step that has waited too long since a time.

    Only urgent work that can still be in time goes before it.
    """
    return (_OVERDUE, since)


def is_overdue(rank: Rank) -> bool:
    """Whether a rank is that of a step that has waited too long."""
    return rank[0] == _OVERDUE


def step_timing(step: StepState) -> Timing:
    """Return the timing of a step, which never changes."""
    job = step.job
    deadline = round_deadline(job, step.round_number)
    return Timing(
        deadline - critical_path_s(job.spec, job.queue),
        deadline,
        _begins_at(job, step.round_number),
        job.urgent,
        job.record.over_share,
    )
