"""Order in which waiting steps are placed."""

from __future__ import annotations

from typing import NamedTuple

from orchidrail.types import Seconds
from orchidrail.work.job import Job
from orchidrail.work.objectives import critical_path_s
from orchidrail.work.step import StepState

Rank = tuple[float, ...]

_URGENT, _OVERDUE, _OTHER, _OVER_SHARE = range(4)
#: A step with less slack than this before its latest start may use the
#: headroom.
_MIN_SLACK: Seconds = 2.0
#: How long a late step is deferred: the total time that a typical non-urgent
#: job of the users' sites has.
_LATE_DEFERRAL: Seconds = 15.0


def round_deadline(job: Job, round_number: int = 0) -> Seconds:
    """Return the wall clock time by which a round should have ended.

    It is based on the caller's estimates, which may be far off.
    """
    duration = critical_path_s(job.spec, job.queue)
    became_due = _became_due_at(job, round_number)
    return became_due + job.queue.stretch * duration + job.queue.target


def _became_due_at(job: Job, round_number: int) -> Seconds:
    """Return the wall clock time at which a round became due."""
    return max(job.record.accepted_at, job.spec.due(round_number))


class Timing(NamedTuple):
    """Latest start of a waiting step and deadline of its round.

    Parameters
    ----------
    latest_start, deadline : float
        Wall clock time, seconds since 1970; both are based on the caller's
        estimates.
    became_due : float
        When the step's round was due, or its job was accepted.
    urgent : bool
        Whether the step's queue has the highest priority.
    over_share : bool
        Whether its job is over its tenant's fair share.
    """

    latest_start: Seconds
    deadline: Seconds
    became_due: Seconds
    urgent: bool
    over_share: bool = False

    def has_slack(self, wall: Seconds) -> bool:
        """Whether the step can wait and still meet its objective."""
        if self.over_share:
            return True
        return not self.urgent and wall < self.latest_start - _MIN_SLACK

    def rank(self, wall: Seconds) -> Rank:
        """Return the rank of the step; the lowest goes first.

        Urgent queues go first, then the others by their latest start. A step
        past its deadline, urgent or not, is deferred for a fixed time: it does
        not starve steps that can still be in time, but goes before those with a
        later latest start, so it is not starved either. Work over its tenant's
        fair share goes behind all work within the share.
        """
        if self.over_share:
            return (_OVER_SHARE, self.latest_start)
        if wall > self.deadline:
            return (_OTHER, self.deadline + _LATE_DEFERRAL)
        if self.urgent:
            return (_URGENT, self.became_due)
        return (_OTHER, self.latest_start)


def overdue_rank(since: Seconds) -> Rank:
    """Return the rank of a step that has been overdue since a time.

    Only urgent work that can still be in time goes before it.
    """
    return (_OVERDUE, since)


def is_overdue(rank: Rank) -> bool:
    """Whether a rank is that of an overdue step."""
    return rank[0] == _OVERDUE


def step_timing(step: StepState) -> Timing:
    """Return the timing of a step, which never changes."""
    job = step.job
    deadline = round_deadline(job, step.round_number)
    return Timing(
        deadline - critical_path_s(job.spec, job.queue),
        deadline,
        _became_due_at(job, step.round_number),
        job.urgent,
        job.record.over_share,
    )
