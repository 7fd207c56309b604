"""Placement pass: assigns waiting tasks to workers and requests advice."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Iterator
from operator import itemgetter

from orchidrail.shard.advice_dispatcher import AdviceDispatcher
from orchidrail.shard.advice_requester import TICKET_MARGIN, AdviceRequester
from orchidrail.shard.due_times import DueTimes
from orchidrail.shard.headroom import Headroom
from orchidrail.shard.long_waits import WaitingWork
from orchidrail.shard.placement_pass import (
    FreeCapacitySnapshot,
    PlacementPass,
    WaitingStep,
)
from orchidrail.shard.ranking import Rank, step_timing
from orchidrail.shard.runs import RunTracker
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import TrackedWorker
from orchidrail.shard.worker_selection import Placement, choose_workers
from orchidrail.types import (
    JobId,
    QueueName,
    Seconds,
    ServiceName,
    WorkerId,
)
from orchidrail.work.step import StepState, Task, longest_waiting_first
from orchidrail.work.wait_times import WaitReason

#: Minimum pause between two passes. Passes take at most half of the time, so
#: that orders to workers and polls proceed in between.
_MIN_PAUSE: Seconds = 0.004
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
    """

    def __init__(
        self,
        state: ShardState,
        runs: RunTracker,
        dispatcher: AdviceDispatcher,
    ) -> None:
        """Create a placer without waiting steps."""
        self._state = state
        self._runs = runs
        self._dispatcher = dispatcher
        self._advice_requester = AdviceRequester(state, runs, dispatcher)
        self._headroom = Headroom()
        #: Steps with startable tasks, of all open jobs.
        self._waiting_by_job: dict[JobId, list[WaitingStep]] = {}
        self._free_capacity = FreeCapacitySnapshot()
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
            await asyncio.sleep(max(_MIN_PAUSE, duration))

    def close(self) -> None:
        """Cancel all pending advice requests."""
        self._advice_requester.close()

    def place_all(self) -> None:
        """Run one placement pass."""
        self._refresh_waiting()
        now = self._state.clock()
        wall = self._state.wall_clock()
        if self._defer_for_journal(now):
            return
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
        self._headroom.record_usage(accepting, now)
        with_more_free = self._free_capacity.with_more_free(accepting)
        this_pass = PlacementPass(
            accepting,
            now,
            wall,
            self._headroom,
            with_more_free,
            quarantined,
        )
        ranked = [
            (waiting.rank(this_pass), waiting)
            for steps in self._waiting_by_job.values()
            for waiting in steps
        ]
        ranked.sort(key=itemgetter(0))
        for rank, waiting in ranked:
            self._process_step(rank, waiting, this_pass)
        self._free_capacity.update(accepting)
        self._reserved = this_pass.workers.reserved
        self._record_waits(this_pass.reason_by_job, now)

    def _process_step(
        self,
        rank: Rank,
        waiting: WaitingStep,
        this_pass: PlacementPass,
    ) -> None:
        """Place what a step may start, or record why it waits."""
        step = waiting.step
        in_limit = self._within_limit(waiting, this_pass)
        allowed = in_limit
        if waiting.has_slack(this_pass):
            allowed = _apply_headroom(step, allowed, this_pass)
        placed = 0
        if allowed and not waiting.blocked(this_pass):
            placed = self._place_step(rank, waiting, allowed, this_pass)
            if not placed:
                waiting.mark_blocked(this_pass)
        if placed < len(waiting.tasks):
            reason = _wait_reason(step, this_pass)
            if len(allowed) < len(in_limit):
                reason = WaitReason.HEADROOM
            elif placed == len(in_limit):
                reason = WaitReason.LIMIT
            this_pass.reason_by_job[step.job.job_id] = reason

    def _within_limit(
        self,
        waiting: WaitingStep,
        this_pass: PlacementPass,
    ) -> list[Task]:
        """Return the tasks that their tenant's limit allows to start.

        Work that is not urgent does not go ahead of a gang of the same tenant
        that needs most of the limit: otherwise that much of the limit would
        never be free at once.
        """
        step = waiting.step
        tenant = step.job.tenant.name
        tasks = waiting.tasks
        if this_pass.workers.overdue(step):
            # Otherwise a task that fails repeatedly would always start before
            # the other tasks of its step.
            tasks = longest_waiting_first(tasks)
        in_limit: list[Task] = []
        if tenant not in this_pass.tenants_saving_limit or step.job.urgent:
            in_limit = self._state.ledger.within_limit(step, tasks)
            if not in_limit and self._state.ledger.needs_most_of_limit(step):
                this_pass.tenants_saving_limit.add(tenant)
        if not in_limit:
            step.limit_reached_at = this_pass.now
        return in_limit

    def _defer_for_journal(self, now: Seconds) -> bool:
        if self._state.writer.time_since_confirmed() < _JOURNAL_TIMEOUT:
            return False
        waiting = (job for job, steps in self._waiting_by_job.items() if steps)
        self._record_waits(dict.fromkeys(waiting, WaitReason.JOURNAL), now)
        return True

    def _record_waits(
        self,
        reason_by_job: dict[JobId, WaitReason],
        now: Seconds,
    ) -> None:
        self._reason_by_job = reason_by_job
        for job_id in self._waiting_by_job:
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

    def waiting_steps(self) -> Iterator[WaitingStep]:
        """Yield the steps that the last pass found waiting."""
        return itertools.chain.from_iterable(self._waiting_by_job.values())

    def reserved_for_urgent(
        self, service: ServiceName, total: int, used: int
    ) -> int:
        """Return the headroom of a service; see `Headroom.reserved`."""
        return self._headroom.reserved(service, total, used)

    def permitted_share(self, queue: QueueName) -> float:
        """Return the share of the workers that advice permits for a queue."""
        return self._advice_requester.approvals.rate(queue)

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
        if missing and advised and not step.permits.calls_in_flight:
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


def _wait_reason(step: StepState, this_pass: PlacementPass) -> WaitReason:
    """Return why the remaining tasks of a step could not be placed."""
    if this_pass.workers.has_permitted(step):
        return WaitReason.ROOM
    if step.permits.calls_in_flight:
        return WaitReason.ADVICE
    return WaitReason.WORKERS
