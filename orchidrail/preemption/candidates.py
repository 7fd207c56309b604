"""Runs of a worker that preemption may consider, as snapshots."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from orchidrail.preemption.victims import Candidate
from orchidrail.shard.ranking import round_deadline
from orchidrail.shard.reservations import expected_time_left
from orchidrail.shard.tracked_worker import (
    PlacedRun,
    QosClass,
    TrackedWorker,
    qos_class_of,
)
from orchidrail.sharing.standing import Standing, Standings
from orchidrail.types import Seconds, WorkerId
from orchidrail.work.model import JobSpec
from orchidrail.work.records import TaskPhase
from orchidrail.work.size import Size
from orchidrail.work.step import StepState, Task
from orchidrail.workers.port import RunKey

#: How often one task may be stopped for urgent work.
MAX_STOPS = 2
#: Time for which a task has to work before it may be stopped (again). It bounds
#: the part of its time that a task spends on stops and resumptions.
_MIN_WORK: Seconds = 1.0
#: Factor by which the remaining work may exceed its estimate.
_MAX_ESTIMATE_ERROR = 1.5
_MILLI = 1000


class StopCost(NamedTuple):
    """Longest durations of a stop, and of resuming from a checkpoint."""

    stop: Seconds
    resume: Seconds


class Moment(NamedTuple):
    """The same moment on the monotonic and on the wall clock."""

    now: Seconds
    wall: Seconds


class CandidateFinder:
    """Finds the runs of a worker that may be stopped.

    Parameters
    ----------
    tracked_by_worker : mapping
        Workers by id, to find the other members of a gang.
    standings : Standings
    cost : StopCost
    """

    def __init__(
        self,
        tracked_by_worker: Mapping[WorkerId, TrackedWorker],
        standings: Standings,
        cost: StopCost,
    ) -> None:
        """Start without state; each search examines what runs then."""
        self._tracked_by_worker = tracked_by_worker
        self._standings = standings
        self._cost = cost

    def find(
        self, tracked: TrackedWorker, above: int, moment: Moment
    ) -> list[Candidate]:
        """Return the runs of queues with a priority number above `above`."""
        found: list[Candidate] = []
        gangs: set[str] = set()
        for run in tracked.run_by_key.values():
            task = run.task
            if task is None or task.step.job.queue.priority <= above:
                continue
            if not _may_be_stopped(run, task, moment.now):
                continue
            if not task.step.spec.gang:
                found.append(self._candidate(tracked, run, task, moment))
            elif task.step.key not in gangs:
                gangs.add(task.step.key)
                found.extend(self._gang_candidates(tracked, task, moment))
        return found

    def _candidate(
        self,
        tracked: TrackedWorker,
        run: PlacedRun,
        task: Task,
        moment: Moment,
    ) -> Candidate:
        time_left = expected_time_left(run, moment.now)
        return Candidate(
            members=((tracked.worker, run.key),),
            size=run.size or Size(),
            priority=task.step.job.queue.priority,
            standing=self._standing_of(task),
            time_left=time_left,
            late=moment.wall > _deadline_of(task.step),
            slack=_job_slack(task.step, time_left, moment.wall),
            loss=self._loss(run, task, moment.now),
        )

    def _gang_candidates(
        self, tracked: TrackedWorker, task: Task, moment: Moment
    ) -> list[Candidate]:
        """Return a gang as one candidate, if each member may be stopped."""
        step = task.step
        parts: list[Candidate] = []
        freed_here = Size()
        for member in step.tasks:
            host = self._tracked_by_worker.get(member.worker)
            run = _run_of(host, member)
            if host is None or run is None:
                return []
            if not _may_be_stopped(run, member, moment.now):
                return []
            parts.append(self._candidate(host, run, member, moment))
            if host is tracked:
                freed_here += parts[-1].size
        # The members end together.
        time_left = max(part.time_left for part in parts)
        return [
            parts[0]._replace(
                members=tuple(part.members[0] for part in parts),
                size=freed_here,
                time_left=time_left,
                slack=_job_slack(step, time_left, moment.wall),
                loss=sum(part.loss for part in parts),
            )
        ]

    def _standing_of(self, task: Task) -> Standing:
        job = task.step.job
        if job.record.over_share:
            return Standing.OVER_SHARE
        return self._standings.standing_of(job.tenant)

    def _loss(self, run: PlacedRun, task: Task, now: Seconds) -> float:
        """Return the core-seconds lost by stopping a run now.

        A checkpoint is renewed at the stop, so that only the stop and the
        resumption are lost; otherwise all work since the start is.
        """
        seconds = self._cost.stop
        if task.step.spec.keeps_checkpoint:
            seconds += self._cost.resume
        else:
            seconds += now - run.confirmed_at
        return seconds * task.step.spec.size.millicores / _MILLI


def _run_of(tracked: TrackedWorker | None, task: Task) -> PlacedRun | None:
    if tracked is None or task.phase is not TaskPhase.PLACED:
        return None
    return tracked.run_by_key.get(RunKey(task.key, task.run))


def _may_be_stopped(run: PlacedRun, task: Task, now: Seconds) -> bool:
    """Whether a run is of a kind that may be stopped at all.

    A best-effort task is not charged for cores, so its stop frees none. What
    runs isolated is under suspicion of crashing its worker, and its outcome is
    awaited.
    """
    spec = task.step.spec
    if run.stopping or run.isolated or run.size is None:
        return False
    if spec.lasting or qos_class_of(spec) is not QosClass.PLAIN:
        return False
    worked = math.isfinite(run.confirmed_at) and now - run.confirmed_at
    return worked >= _MIN_WORK and task.preemptions < MAX_STOPS


def _deadline_of(step: StepState) -> Seconds:
    return round_deadline(step.job, step.round_number)


def _job_slack(step: StepState, time_left: Seconds, wall: Seconds) -> Seconds:
    """Return by how much a running step may be delayed without being late."""
    rest = time_left + _longest_after(step.job.spec, step.number)
    return _deadline_of(step) - wall - _MAX_ESTIMATE_ERROR * rest


def _longest_after(spec: JobSpec, number: int) -> Seconds:
    """Return the estimated time from the end of a step to that of its job."""
    return max(
        (
            step.estimate + _longest_after(spec, later)
            for later, step in enumerate(spec.steps)
            if number in step.after
        ),
        default=0,
    )
