"""Stops less urgent runs for urgent steps that find no capacity in time."""

from __future__ import annotations

import itertools
from collections import defaultdict
from typing import NamedTuple

import structlog

from orchidrail.journal.writer import CONFIRM_INTERVAL
from orchidrail.preemption.budget import LossBudget
from orchidrail.preemption.candidates import CandidateFinder, Moment, StopCost
from orchidrail.preemption.policy import (
    Need,
    is_due,
    is_worthwhile,
    may_stop,
    start_slack,
)
from orchidrail.preemption.victims import (
    Candidate,
    VictimPlan,
    cover_shortage,
    plan_on_worker,
)
from orchidrail.shard.placement_pass import PlacementPass, WaitingStep
from orchidrail.shard.reservations import expected_time_left
from orchidrail.shard.runs import RunTracker
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import (
    PlacedRun,
    QosClass,
    TrackedWorker,
    qos_class_of,
)
from orchidrail.shard.worker_selection import matches_worker
from orchidrail.sharing.standing import Standing
from orchidrail.types import Seconds, ServiceName, WorkerId
from orchidrail.work.size import Size
from orchidrail.work.step import StepState
from orchidrail.work.tenant import Tenant

_log = structlog.get_logger()
#: Minimum interval between two surveys of what could be stopped. Runs end
#: every few ms on a large cell, and a survey examines many of them.
_SURVEY_INTERVAL: Seconds = 0.05
#: Steps examined in one survey, highest rank first, and workers for each.
_MAX_STEPS = 12
_MAX_WORKERS = 24
_MILLI = 1000


class _Stop(NamedTuple):
    """A run that is being stopped for a step."""

    tracked: TrackedWorker
    run: PlacedRun
    waiting: WaitingStep


class _Survey:
    """Capacity that urgent steps count on, found in one pass."""

    def __init__(self, now: Seconds) -> None:
        self.now = now
        self.steps_left = _MAX_STEPS
        #: Capacity expected to become free that steps of higher rank will use.
        self.claimed_by_worker: dict[WorkerId, Size] = defaultdict(Size)
        #: Workers on which stops were planned; their runs have changed.
        self.planned: set[WorkerId] = set()


class ShareStandings:
    """Standing of tenants by the jobs that they have submitted."""

    def __init__(self, state: ShardState) -> None:
        """Read the rates that the shard counts."""
        self._state = state

    def standing_of(self, tenant: Tenant) -> Standing:
        """See `Standings`."""
        current = self._state.ledger.current(tenant)
        over = self._state.shares.time_until_within_share(current) > 0
        return Standing.OVER_SHARE if over else Standing.WITHIN_SHARE


class Preemptor:
    """Has runs stopped for urgent steps, and reserves what that frees.

    Parameters
    ----------
    state : ShardState
    runs : RunTracker
        Stops the runs, and repeats the orders until their ends are known.
    cost : StopCost
    enabled : bool
        Whether any run may be stopped for another.
    """

    def __init__(
        self,
        state: ShardState,
        runs: RunTracker,
        cost: StopCost,
        *,
        enabled: bool = True,
    ) -> None:
        """Start without stops."""
        self._state = state
        self._runs = runs
        self._cost = cost
        self._enabled = enabled
        self._finder = CandidateFinder(
            state.tracked_by_worker, ShareStandings(state), cost
        )
        self._survey = _Survey(now=0)
        self._first_worker = itertools.count(step=_MAX_WORKERS)
        self._budget_by_service: dict[ServiceName, LossBudget] = defaultdict(
            LossBudget
        )
        self._stops: list[_Stop] = []

    def reserved_workers(self, this_pass: PlacementPass) -> set[WorkerId]:
        """Return the workers where runs are being stopped for urgent steps.

        A step that has started, ended or become late needs its reservation no
        longer.
        """
        if not self._stops:
            return set()
        self._stops = [
            stop
            for stop in self._stops
            if stop.tracked.holds(stop.run)
            and _still_needed(stop.waiting, this_pass.wall)
        ]
        return {stop.tracked.worker for stop in self._stops}

    def consider(
        self, waiting: WaitingStep, missing: int, this_pass: PlacementPass
    ) -> None:
        """Have runs stopped if a step's missing tasks would start too late.

        Parameters
        ----------
        missing : int
            Tasks that found no capacity in this pass.
        """
        if not self._enabled or not _may_preempt(waiting):
            return
        survey = self._current_survey(this_pass.now)
        if survey is None or not survey.steps_left:
            return
        need = self._need(waiting, this_pass)
        if not is_due(need, self._cost.stop):
            return
        survey.steps_left -= 1
        step = waiting.step
        workers = self._sample_workers(step, this_pass)
        unsuitable: list[TrackedWorker] = []
        for tracked in workers:
            slots = self._claim_slots(step, tracked, missing, need.slack)
            missing -= slots
            if missing <= 0:
                return
            if not slots:
                unsuitable.append(tracked)
        self._stop_for(waiting, missing, need, unsuitable, this_pass)

    def _current_survey(self, now: Seconds) -> _Survey | None:
        """Return the survey of this pass, None if it is too early for one."""
        if self._survey.now == now:
            return self._survey
        if now - self._survey.now < _SURVEY_INTERVAL:
            return None
        self._survey = _Survey(now)
        return self._survey

    def _need(self, waiting: WaitingStep, this_pass: PlacementPass) -> Need:
        step = waiting.step
        advice = step.job.queue.advice
        # A start waits for the journal, and possibly for a renewed ticket. An
        # idle journal confirms itself at intervals.
        unconfirmed = self._state.writer.time_since_confirmed()
        start_delay = max(0, unconfirmed - CONFIRM_INTERVAL)
        if advice is not None:
            start_delay += advice.duration(1)
        spec = step.spec
        return Need(
            step.job.queue.priority,
            start_slack(
                waiting.timing.latest_start, this_pass.wall, start_delay
            ),
            spec.estimate,
            spec.estimate * spec.size.millicores / _MILLI,
        )

    def _sample_workers(
        self, step: StepState, this_pass: PlacementPass
    ) -> list[TrackedWorker]:
        """Return some workers that may run a step, others in each survey."""
        found = this_pass.workers.with_label(step)
        if step.job.queue.advice is not None:
            permitted = step.permits.permitted
            found = [one for one in found if one.worker in permitted]
        if not found:
            return []
        first = next(self._first_worker) % len(found)
        rotated = itertools.chain(found[first:], found[:first])
        return [
            tracked
            for tracked in itertools.islice(rotated, _MAX_WORKERS)
            if tracked.worker not in self._survey.planned
            and matches_worker(step.spec, tracked)
            and not step.failed_workers.avoids(tracked.worker, this_pass.now)
        ]

    def _claim_slots(
        self,
        step: StepState,
        tracked: TrackedWorker,
        missing: int,
        slack: Seconds,
    ) -> int:
        """Claim capacity that becomes free in time; return for how many tasks.

        Runs that are being stopped will have ended by then.
        """
        now = self._survey.now
        claimed = self._survey.claimed_by_worker[tracked.worker]
        free = tracked.free - claimed
        for run in tracked.run_by_key.values():
            if run.size is None:
                return 0
            if run.stopping or expected_time_left(run, now) <= slack:
                free += run.size
        size = step.spec.charged
        slots = min(missing, size.copies_in(free), _copies_left(step, tracked))
        self._survey.claimed_by_worker[tracked.worker] = sum(
            itertools.repeat(size, slots), claimed
        )
        return slots

    def _stop_for(
        self,
        waiting: WaitingStep,
        missing: int,
        need: Need,
        workers: list[TrackedWorker],
        this_pass: PlacementPass,
    ) -> None:
        """Stop runs on some of the workers for `missing` tasks of a step."""
        moment = Moment(this_pass.now, this_pass.wall)
        possible = [
            self._plan(waiting.step, missing, tracked, need, moment)
            for tracked in workers
        ]
        plans = [
            plan
            for plan in possible
            if plan is not None and is_worthwhile(need, plan.loss, plan.slots)
        ]
        if not plans:
            return
        service = waiting.step.job.queue.service
        cores = sum(
            tracked.entry.capacity.millicores
            for tracked in this_pass.workers.of_service(service)
        )
        gang = waiting.step.spec.gang
        chosen = cover_shortage(missing, plans, all_or_none=gang)
        budget = self._budget_by_service[service]
        # Room for a part of a gang is of no use to it.
        costs = [sum(plan.loss for plan in chosen)] if gang else None
        for number, plan in enumerate(chosen):
            loss = plan.loss if costs is None else costs[0] * (not number)
            if not budget.take(loss, cores / _MILLI, this_pass.now):
                return
            self._execute(plan, waiting)

    def _plan(
        self,
        step: StepState,
        missing: int,
        tracked: TrackedWorker,
        need: Need,
        moment: Moment,
    ) -> VictimPlan | None:
        candidates = [
            candidate
            for candidate in self._finder.find(tracked, need.priority, moment)
            if may_stop(need, candidate, self._cost.stop, self._cost.resume)
        ]
        if not candidates:
            return None
        claimed = self._survey.claimed_by_worker[tracked.worker]
        return plan_on_worker(
            tracked.worker,
            step.spec.charged,
            tracked.free - claimed,
            candidates,
            min(missing, _copies_left(step, tracked)),
        )

    def _execute(self, plan: VictimPlan, waiting: WaitingStep) -> None:
        self._survey.planned.add(plan.worker)
        for victim in plan.victims:
            for worker, key in victim.members:
                tracked = self._state.tracked_by_worker[worker]
                run = tracked.run_by_key[key]
                if run.task is not None:
                    run.task.preemptions += 1
                self._stops.append(_Stop(tracked, run, waiting))
                self._runs.stop(tracked, run)
            self._report(victim, plan, waiting)

    def _report(
        self, victim: Candidate, plan: VictimPlan, waiting: WaitingStep
    ) -> None:
        metrics = self._state.metrics
        task = self._state.find_task(victim.members[0][1].task)
        if task is not None:
            label = metrics.queue_label(task.step.job.queue.name)
            metrics.preemption.stopped_runs.labels(label).inc(
                len(victim.members)
            )
            metrics.preemption.lost_core_seconds.labels(label).inc(victim.loss)
        _log.info(
            'run preempted',
            tasks=[key.task for _, key in victim.members],
            worker=plan.worker,
            preemptor=waiting.step.job.job_id,
            lost=round(victim.loss, 3),
            time_left=round(victim.time_left, 3),
            slack=round(victim.slack, 3),
            late=victim.late,
            standing=victim.standing.name.lower(),
        )


def _may_preempt(waiting: WaitingStep) -> bool:
    """Whether a step is of a kind for which others may be stopped.

    A task retried in isolation needs more than free capacity.
    """
    step = waiting.step
    return (
        step.job.urgent
        and not waiting.timing.over_share
        and not step.spec.lasting
        and qos_class_of(step.spec) is QosClass.PLAIN
        and not any(task.suspected for task in waiting.tasks)
    )


def _still_needed(waiting: WaitingStep, wall: Seconds) -> bool:
    job = waiting.step.job
    if job.ended or wall > waiting.timing.deadline:
        return False
    return bool(waiting.step.startable())


def _copies_left(step: StepState, tracked: TrackedWorker) -> int:
    """Return how many more tasks of a step may run on a worker at all."""
    maximum = step.spec.most_per_worker
    if not maximum:
        return len(step.tasks)
    return max(0, maximum - tracked.count_by_step[step.key])
