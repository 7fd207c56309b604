"""Placement pass: assigns waiting tasks to workers and requests advice."""

from __future__ import annotations

import asyncio
import bisect
import contextlib
import itertools
from operator import itemgetter

from orchidrail.preemption.preemptor import Preemptor
from orchidrail.shard.advice_dispatcher import AdviceDispatcher
from orchidrail.shard.advice_requester import TICKET_MARGIN, AdviceRequester
from orchidrail.shard.due_times import DueTimes
from orchidrail.shard.headroom import Headroom
from orchidrail.shard.limit_gate import LimitGate
from orchidrail.shard.long_waits import WaitingWork
from orchidrail.shard.pass_pacing import MAX_PAUSE, MIN_PAUSE, load_pause
from orchidrail.shard.placement_pass import (
    FreeCapacitySnapshot,
    PlacementPass,
    WaitingStep,
)
from orchidrail.shard.ranking import (
    FIRST_NOT_URGENT,
    Rank,
    is_urgent,
    step_timing,
)
from orchidrail.shard.runs import RunTracker
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import TrackedWorker
from orchidrail.shard.worker_selection import Placement, choose_workers
from orchidrail.types import JobId, Seconds, WorkerId
from orchidrail.work.step import StepState, Task
from orchidrail.work.wait_times import WaitReason

#: Maximum interval between passes, so that elapsed timeouts are noticed.
_MAX_PASS_INTERVAL: Seconds = 0.1
#: No task is placed once the journal has not confirmed writes for this long: a
#: start waits for the journal, and tickets expire meanwhile. The journal
#: usually confirms within 8 ms, within 0.3 s when it is slow.
_JOURNAL_TIMEOUT: Seconds = 0.7


class Placer:
    """Places the shard's waiting tasks.

    Parameters
    ----------
    state : ShardState
    runs : RunTracker
    dispatcher : AdviceDispatcher
    preemptor : Preemptor, optional
        None if no run is ever stopped for another.
    """

    def __init__(
        self,
        state: ShardState,
        runs: RunTracker,
        dispatcher: AdviceDispatcher,
        preemptor: Preemptor | None = None,
    ) -> None:
        """Create a placer without waiting steps."""
        self._state = state
        self._runs = runs
        self._dispatcher = dispatcher
        self._advice_requester = AdviceRequester(state, runs, dispatcher)
        self._preemptor = preemptor
        self._headroom = Headroom()
        self._limits = LimitGate(state.ledger)
        #: Steps with startable tasks, of all open jobs.
        self._waiting_by_job: dict[JobId, list[WaitingStep]] = {}
        self._free_capacity = FreeCapacitySnapshot()
        self._free_quarantined = FreeCapacitySnapshot()
        self._due_times = DueTimes()
        #: Workers reserved in the last pass, and why each job waits.
        self._reserved: frozenset[WorkerId] = frozenset()
        self._reason_by_job: dict[JobId, WaitReason] = {}

    async def run(self) -> None:
        """Run a placement pass whenever something has changed."""
        while True:
            wait = min(
                _MAX_PASS_INTERVAL,
                self._due_times.wait(self._state.wall_clock()),
            )
            with contextlib.suppress(TimeoutError, asyncio.TimeoutError):
                await asyncio.wait_for(self._state.pass_requested.wait(), wait)
            self._state.pass_requested.clear()
            started = self._state.clock()
            self.place_all()
            duration = self._state.clock() - started
            await self._pause(min(duration, MAX_PAUSE))

    async def _pause(self, duration: Seconds) -> None:
        """Pause after a pass that took `duration`; serve urgent work meanwhile.

        Urgent steps go before all others in a pass, so that a pass over these
        alone decides the same for them.
        """
        until = self._state.clock() + max(self._load_pause(), duration)
        while True:
            await asyncio.sleep(max(MIN_PAUSE, duration))
            remaining = until - self._state.clock()
            if remaining <= 0:
                return
            urgent = self._state.urgent_pass_requested
            with contextlib.suppress(TimeoutError, asyncio.TimeoutError):
                await asyncio.wait_for(urgent.wait(), remaining)
            if urgent.is_set():
                self.place_urgent()

    def close(self) -> None:
        """Cancel all pending advice requests."""
        self._advice_requester.close()

    def _load_pause(self) -> Seconds:
        steps = sum(map(len, self._waiting_by_job.values()))
        return load_pause(len(self._state.tracked_by_worker), steps)

    def place_all(self) -> None:
        """Run one placement pass."""
        this_pass = self._start_pass()
        if this_pass is None:
            return
        ranked = [
            (waiting.rank(this_pass), waiting)
            for steps in self._waiting_by_job.values()
            for waiting in steps
        ]
        ranked.sort(key=itemgetter(0))
        urgent_count = bisect.bisect_left(
            ranked, FIRST_NOT_URGENT, key=itemgetter(0)
        )
        for rank, waiting in ranked[:urgent_count]:
            self._process_step(rank, waiting, this_pass)
        if self._preemptor is not None:
            # What stops free for urgent work is not for any other.
            this_pass.workers.reserve(
                self._preemptor.reserved_workers(this_pass)
            )
        for rank, waiting in ranked[urgent_count:]:
            self._process_step(rank, waiting, this_pass)
        self._free_capacity.update(this_pass.accepting)
        self._free_quarantined.update(this_pass.quarantined)
        self._reserved = this_pass.workers.reserved
        self._record_waits(this_pass.reason_by_job, this_pass.now)

    def place_urgent(self) -> None:
        """Run a pass over the urgent steps that can still be in time.

        They go before all other steps in a pass over all of them too.
        """
        this_pass = self._start_pass()
        if this_pass is None:
            return
        ranked = [
            (waiting.rank(this_pass), waiting)
            for steps in self._waiting_by_job.values()
            for waiting in steps
            if waiting.timing.urgent
        ]
        ranked.sort(key=itemgetter(0))
        for rank, waiting in ranked:
            if is_urgent(rank):
                self._process_step(rank, waiting, this_pass)
        self._free_capacity.lower(this_pass.accepting)
        self._free_quarantined.lower(this_pass.quarantined)

    def _start_pass(self) -> PlacementPass | None:
        """Return the state of a new pass; None if the journal is silent."""
        self._state.urgent_pass_requested.clear()
        self._refresh_waiting()
        now = self._state.clock()
        wall = self._state.wall_clock()
        if self._defer_for_store(now):
            return None
        candidates = [
            tracked
            for tracked in self._state.tracked_by_worker.values()
            if tracked.available
        ]
        accepting = [
            tracked
            for tracked in candidates
            if now >= tracked.quarantined_until
        ]
        quarantined = [
            tracked for tracked in candidates if now < tracked.quarantined_until
        ]
        closed = [
            tracked
            for tracked in self._state.tracked_by_worker.values()
            if not tracked.available and tracked.in_service
        ]
        self._headroom.record_usage(accepting, now)
        with_more_free = self._free_capacity.with_more_free(
            accepting
        ) + self._free_quarantined.with_more_free(quarantined)
        return PlacementPass(
            accepting,
            now,
            wall,
            self._headroom,
            with_more_free,
            quarantined,
            closed,
            self._advice_requester.accepts_request,
        )

    def _process_step(
        self,
        rank: Rank,
        waiting: WaitingStep,
        this_pass: PlacementPass,
    ) -> None:
        """Place what a step may start, or record why it waits."""
        step = waiting.step
        in_limit = self._limits.allowed(waiting, this_pass)
        in_room = in_limit
        if waiting.has_slack(this_pass):
            in_room = _apply_headroom(step, in_limit, this_pass)
        allowed = self._pace(step, in_room)
        placed = 0
        blocked = waiting.blocked(this_pass)
        if allowed and blocked:
            this_pass.reserve_workers(waiting, len(allowed))
        elif allowed:
            placed = self._place_step(rank, waiting, allowed, this_pass)
            if not placed:
                waiting.mark_blocked(this_pass)
        if placed < len(allowed) and self._preemptor is not None:
            self._preemptor.consider(waiting, len(allowed) - placed, this_pass)
        if placed < len(waiting.tasks):
            reason = _restriction(in_limit, in_room, allowed, placed)
            this_pass.reason_by_job[step.job.job_id] = reason or _wait_reason(
                step, this_pass
            )

    def _pace(self, step: StepState, tasks: list[Task]) -> list[Task]:
        """Return the tasks that may be placed beside the starts in flight.

        The members of a gang are placed together.
        """
        pacer = self._state.start_pacer
        allowance = pacer.allowance(step.job)
        if len(tasks) <= allowance:
            return tasks
        pacer.note_limited()
        if step.spec.gang:
            return tasks if allowance else []
        return tasks[:allowance]

    def _defer_for_store(self, now: Seconds) -> bool:
        """Place nothing while the store has not responded for long."""
        unconfirmed = self._state.writer.time_since_confirmed()
        outdated = self._state.zone_gate.is_outdated
        if unconfirmed < _JOURNAL_TIMEOUT and not outdated:
            return False
        waiting = (job for job, steps in self._waiting_by_job.items() if steps)
        self._record_waits(dict.fromkeys(waiting, WaitReason.JOURNAL), now)
        return True

    def _record_waits(
        self,
        reason_by_job: dict[JobId, WaitReason],
        now: Seconds,
    ) -> None:
        no_longer_waiting = self._reason_by_job.keys() - reason_by_job.keys()
        self._reason_by_job = reason_by_job
        for job_id in itertools.chain(reason_by_job, no_longer_waiting):
            job = self._state.job_by_id.get(job_id)
            if job is not None:
                job.wait_times.record(reason_by_job.get(job_id), now)

    def waiting_tasks(self) -> int:
        """Return the number of startable tasks that wait."""
        return sum(
            len(waiting.step.startable())
            for steps in self._waiting_by_job.values()
            for waiting in steps
        )

    def waiting_work(self) -> WaitingWork:
        """Return the waiting steps and the findings of the last pass."""
        steps = [
            waiting.step
            for of_job in self._waiting_by_job.values()
            for waiting in of_job
            if waiting.step.startable()
        ]
        return WaitingWork(steps, self._reserved, self._reason_by_job)

    def _refresh_waiting(self) -> None:
        wall = self._state.wall_clock()
        self._state.changed_jobs.update(self._due_times.pop_due(wall))
        for job_id in self._state.changed_jobs:
            job = self._state.job_by_id.get(job_id)
            if job is None:
                self._waiting_by_job.pop(job_id, None)
                self._due_times.remove(job_id)
                continue
            startable = (
                (step, step.startable()) for step in job.open_steps(wall)
            )
            self._waiting_by_job[job_id] = [
                WaitingStep(step_timing(step), step, tasks)
                for step, tasks in startable
                if tasks
            ]
            self._record_waiting_since(job_id)
            self._due_times.schedule(job, wall)
        self._state.changed_jobs.clear()

    def _record_waiting_since(self, job_id: JobId) -> None:
        """Record since when tasks have been startable."""
        now = self._state.clock()
        for waiting in self._waiting_by_job[job_id]:
            for task in waiting.tasks:
                if task.waiting_since is None:
                    task.waiting_since = now
            waiting.step.recorded_waiting_since = waiting.step.waiting_since()

    def _place_step(
        self,
        rank: Rank,
        waiting: WaitingStep,
        tasks: list[Task],
        this_pass: PlacementPass,
    ) -> int:
        """Place a step, request missing advice, reserve workers for it.

        Returns
        -------
        Number of tasks placed.
        """
        step = waiting.step
        with_free_capacity = this_pass.workers.with_free_capacity(step)
        chosen = self._choose(step, tasks, with_free_capacity)
        missing = len(tasks) - len(chosen)
        advised = step.job.queue.advice is not None
        if chosen:
            this_pass.record_placed(step, len(chosen))
            if advised:
                self._launch_or_renew(rank, step, chosen, missing)
            else:
                self._runs.launch(step, chosen)
        if (
            missing
            and advised
            and not step.permits.calls_in_flight
            and self._advice_requester.accepts_request(rank, step)
        ):
            unchecked = this_pass.workers.unchecked(step)
            self._advice_requester.request_candidates(
                rank, step, missing, unchecked
            )
        this_pass.reserve_workers(waiting, missing)
        return len(chosen)

    def _choose(
        self,
        step: StepState,
        tasks: list[Task],
        with_free_capacity: list[TrackedWorker],
    ) -> list[Placement]:
        """Choose workers; for a gang, prefer workers with valid tickets.

        A single expired ticket would cost the whole gang another advice
        request.
        """
        if not with_free_capacity:
            return []
        if step.spec.gang and step.job.queue.advice is not None:
            until = self._state.clock() + TICKET_MARGIN
            with_tickets = [
                tracked
                for tracked in with_free_capacity
                if step.permits.has_valid_ticket(tracked.worker, until)
            ]
            chosen = choose_workers(step, tasks, with_tickets)
            if chosen:
                return chosen
        return choose_workers(step, tasks, with_free_capacity)

    def _launch_or_renew(
        self,
        rank: Rank,
        step: StepState,
        chosen: list[Placement],
        missing: int,
    ) -> None:
        """Launch tasks that have tickets; of a gang all or none."""
        until = self._state.clock() + TICKET_MARGIN
        with_tickets = [
            placement
            for placement in chosen
            if step.permits.has_valid_ticket(placement.tracked.worker, until)
        ]
        if step.spec.gang and len(with_tickets) < len(chosen):
            with_tickets = []
        if with_tickets:
            self._runs.launch(step, with_tickets)
        without_ticket = [
            placement for placement in chosen if placement not in with_tickets
        ]
        if without_ticket and not step.permits.calls_in_flight:
            self._advice_requester.renew_tickets(
                rank, step, without_ticket, missing
            )


def _apply_headroom(
    step: StepState,
    tasks: list[Task],
    this_pass: PlacementPass,
) -> list[Task]:
    """Return the tasks that may start without using up the headroom."""
    size = step.spec.charged.millicores
    if not size:
        return tasks
    available_millicores = this_pass.available_to_others(step)
    if len(tasks) * size <= available_millicores:
        return tasks
    return (
        [] if step.spec.gang else tasks[: max(0, available_millicores // size)]
    )


def _restriction(
    in_limit: list[Task],
    in_room: list[Task],
    allowed: list[Task],
    placed: int,
) -> WaitReason | None:
    """Return why tasks were not tried to be placed, None if all were."""
    if len(allowed) < len(in_room):
        return WaitReason.STARTS
    if len(in_room) < len(in_limit):
        return WaitReason.HEADROOM
    return WaitReason.LIMIT if placed == len(in_limit) else None


def _wait_reason(step: StepState, this_pass: PlacementPass) -> WaitReason:
    """Return why the remaining tasks of a step could not be placed."""
    if this_pass.workers.has_permitted(step):
        return WaitReason.ROOM
    if step.permits.calls_in_flight:
        return WaitReason.ADVICE
    return WaitReason.WORKERS
