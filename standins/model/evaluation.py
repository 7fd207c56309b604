"""Outcome of a simulated day: worth earned, and rule violations counted."""

from __future__ import annotations

import statistics
from typing import NamedTuple

from orchidrail.types import Seconds
from orchidrail.work.records import JobPhase
from standins.model.load import DrawnJob
from standins.model.run_history import RunHistory

#: Share of its worth that a late job earns.
_LATE_WORTH_SHARE = 0.2
#: Multiple of its objective after which a job earns nothing.
_USELESS_AFTER = 3
#: Starts after a task's third crash that count as over its budget.
_EXCESS_STARTS = 3


class EndedJob(NamedTuple):
    """A job and how it ended; `duration` is None if it did not end.

    Parameters
    ----------
    running_share : float, optional
        Share of the time in which its tasks were running; None for a job
        without long-running tasks.
    """

    drawn: DrawnJob
    phase: JobPhase | None
    duration: Seconds | None
    running_share: float | None = None

    @property
    def in_time(self) -> bool:
        """Whether the job was completed within its objective."""
        return self.lateness <= 1

    @property
    def lateness(self) -> float:
        """Duration divided by the objective, infinite if not completed.

        A job with long-running tasks never completes; it counts as in time
        if any of them ran.
        """
        if self.running_share is not None:
            return 0 if self.running_share else float('inf')
        if self.duration is None or self.phase is not JobPhase.COMPLETED:
            return float('inf')
        return self.duration / self.drawn.objective

    @property
    def earned(self) -> float:
        """Worth that the job earned."""
        if self.running_share is not None:
            return self.running_share * self.drawn.worth
        if self.in_time:
            return self.drawn.worth
        late = self.lateness <= _USELESS_AFTER
        return _LATE_WORTH_SHARE * self.drawn.worth if late else 0


class QueueOutcome(NamedTuple):
    """Outcome of one queue."""

    jobs: int
    late: int
    failed: int
    unfinished: int
    worth: float
    median_lateness: float

    @classmethod
    def of(cls, jobs: list[EndedJob]) -> QueueOutcome:
        """Summarize the jobs of one queue."""
        total = sum(job.drawn.worth for job in jobs)
        return cls(
            len(jobs),
            sum(not job.in_time for job in jobs),
            sum(job.phase is JobPhase.FAILED for job in jobs),
            sum(job.duration is None for job in jobs),
            round(sum(job.earned for job in jobs) / total, 3),
            round(statistics.median(job.lateness for job in jobs), 3),
        )


class CrashOutcome(NamedTuple):
    """Effects of tasks that crash their workers, and of other crashes.

    Parameters
    ----------
    crashing : int
        Jobs with a task that crashes its workers.
    most_crashes : int
        Highest number of crashes caused by one task.
    over_budget : int
        Tasks started at least three more times after three crashes.
    failed_in_error : int
        Failed jobs without such a task, of queues whose runs never fail by
        themselves.
    lost_to_other_crashes : int
        Runs lost in a crash that they did not cause.
    """

    crashing: int
    most_crashes: int
    over_budget: int
    failed_in_error: int
    lost_to_other_crashes: int


class Outcome(NamedTuple):
    """Evaluation of one simulated day.

    Parameters
    ----------
    worth : float
        Worth earned as a share of the total.
    busy_share : float
        Share of all cores in use, mean over the traffic.
    idle_waiting_share : float
        Share of all cores free while tasks waited, mean over the traffic.
    overfull, doubled, repeated : int
        Violations: starts beyond a worker's capacity, concurrent runs of a
        task, runs of a task repeated though done and acknowledged.
    late_before_contact : int
        Starts for a previous incarnation, executed by one that no owner had
        contacted.
    by_tenant : dict
        Worth earned by each tenant as a share of that of its usual jobs.
    over_limit : int
        Starts beyond the limit of a tenant.
    left_waiting : int
        Long-running tasks not started again though there was capacity.
    alone : int
        Gang members that ended because the others did not start, with no
        fault near.
    refused : int
        Submissions refused with a time to return.
    """

    worth: float
    by_queue: dict[str, QueueOutcome]
    busy_share: float
    idle_waiting_share: float
    overfull: int
    doubled: int
    repeated: int
    refused_tickets: int
    late_before_contact: int
    crashes: CrashOutcome
    by_tenant: dict[str, float]
    over_limit: int
    left_waiting: int
    alone: int
    processor_s: Seconds
    refused: int = 0


def summarize_queues(jobs: list[EndedJob]) -> dict[str, QueueOutcome]:
    """Summarize the jobs of each queue."""
    names = sorted({job.drawn.queue.name for job in jobs})
    return {
        name: QueueOutcome.of(
            [job for job in jobs if job.drawn.queue.name == name]
        )
        for name in names
    }


def earned_share(jobs: list[EndedJob]) -> float:
    """Return the worth earned as a share of the total, 1 if there is none.

    Jobs that crash workers, and those that a tenant submits beyond its usual
    load, do not count.
    """
    jobs = [job for job in jobs if _counts(job)]
    total = sum(job.drawn.worth for job in jobs)
    earned = sum(job.earned for job in jobs)
    return round(earned / total, 4) if total else 1


def _counts(job: EndedJob) -> bool:
    return not job.drawn.crashing and not job.drawn.extra


def score_tenants(jobs: list[EndedJob]) -> dict[str, float]:
    """Return the share of worth earned by each tenant."""
    names = sorted({job.drawn.tenant for job in jobs if _counts(job)})
    return {
        name: earned_share([job for job in jobs if job.drawn.tenant == name])
        for name in names
    }


def summarize_crashes(
    jobs: list[EndedJob], history: RunHistory
) -> CrashOutcome:
    """Summarize the effects of tasks that crash their workers."""
    failed = [job.drawn for job in jobs if job.phase is JobPhase.FAILED]
    return CrashOutcome(
        sum(bool(job.drawn.crashing) for job in jobs),
        max(history.crashes_by_task.values(), default=0),
        sum(
            starts >= _EXCESS_STARTS
            for starts in history.excess_starts_by_task.values()
        ),
        sum(not drawn.crashing and not drawn.queue.fails for drawn in failed),
        history.lost_to_other_crashes,
    )
