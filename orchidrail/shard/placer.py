"""The pass that places what waits, and the questions that it needs asked."""

from __future__ import annotations

import asyncio
import contextlib
from operator import itemgetter

from orchidrail.shard.advice_dispatcher import AdviceDispatcher
from orchidrail.shard.advice_requester import TICKET_MARGIN, AdviceRequester
from orchidrail.shard.due_times import DueTimes
from orchidrail.shard.headroom import Headroom
from orchidrail.shard.long_waits import WaitingWork
from orchidrail.shard.placement_pass import (
    FreeCapacitySnapshot,
    Pass,
    WaitingStep,
)
from orchidrail.shard.ranking import Rank, step_timing
from orchidrail.shard.runs import RunTracker
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import TrackedWorker
from orchidrail.shard.worker_selection import Placement, choose_workers
from orchidrail.types import JobId, Seconds, WorkerId
from orchidrail.work.step import StepState, Task, longest_waiting_first
from orchidrail.work.wait_times import WaitReason

#: Least time between two passes; they take at most half of all time, so that
#: orders and looks go on beside them.
_PACE: Seconds = 0.004
#: Passes come at least this often, for times that fall due.
_LOOK_EVERY: Seconds = 0.1
#: Silence of the journal after which nothing is placed: a start waits for it,
#: and tickets run out meanwhile. It answers in 8 ms, in 0.3 s where it is slow.
_JOURNAL_SILENT: Seconds = 0.7


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
        """Start with nothing waiting."""
        self._state = state
        self._runs = runs
        self._dispatcher = dispatcher
        self._questions = AdviceRequester(state, runs, dispatcher)
        self._headroom = Headroom()
        #: Steps with tasks whose turn has come, of all open jobs.
        self._waiting_by_job: dict[JobId, list[WaitingStep]] = {}
        self._rooms = FreeCapacitySnapshot()
        self._due_times = DueTimes()
        #: Of the last pass: workers kept for some step, and what jobs wait for.
        self._kept: frozenset[WorkerId] = frozenset()
        self._reason_by_job: dict[JobId, WaitReason] = {}

    async def run(self) -> None:
        """Place whenever something has changed."""
        while True:
            wait = min(
                _LOOK_EVERY,
                self._due_times.wait(self._state.wall_clock()),
            )
            with contextlib.suppress(TimeoutError, asyncio.TimeoutError):
                await asyncio.wait_for(self._state.pass_requested.wait(), wait)
            self._state.pass_requested.clear()
            began = self._state.clock()
            self.place_all()
            took = self._state.clock() - began
            await asyncio.sleep(max(_PACE, took))

    def close(self) -> None:
        """Give up all questions in progress."""
        self._questions.close()

    def place_all(self) -> None:
        """Place what has room now."""
        self._refresh()
        now = self._state.clock()
        wall = self._state.wall_clock()
        if self._waits_for_journal(now):
            return
        able = [
            tracked
            for tracked in self._state.tracked_by_worker.values()
            if tracked.available
        ]
        open_books = [
            tracked for tracked in able if now >= tracked.quarantined_until
        ]
        resting = [
            tracked for tracked in able if now < tracked.quarantined_until
        ]
        self._headroom.note(open_books, now)
        with_more_free = self._rooms.with_more_free(open_books)
        this_pass = Pass(
            open_books,
            now,
            wall,
            self._headroom,
            with_more_free,
            resting,
        )
        ranked = [
            (waiting.rank(this_pass), waiting)
            for steps in self._waiting_by_job.values()
            for waiting in steps
        ]
        ranked.sort(key=itemgetter(0))
        for rank, waiting in ranked:
            self._look_at(rank, waiting, this_pass)
        self._rooms.note(open_books)
        self._kept = this_pass.workers.reserved
        self._note_waits(this_pass.reason_by_job, now)

    def _look_at(
        self,
        rank: Rank,
        waiting: WaitingStep,
        this_pass: Pass,
    ) -> None:
        """Place what a step may start, or say what it waits for."""
        step = waiting.step
        in_limit = self._within_limit(waiting, this_pass)
        allowed = in_limit
        if waiting.has_slack(this_pass):
            allowed = _leave_headroom(step, allowed, this_pass)
        placed = 0
        if allowed and not waiting.blocked(this_pass):
            placed = self._place_step(rank, waiting, allowed, this_pass)
            if not placed:
                waiting.note_no_room(this_pass)
        if placed < len(waiting.tasks):
            reason = _reason(step, this_pass)
            if len(allowed) < len(in_limit):
                reason = WaitReason.HEADROOM
            elif placed == len(in_limit):
                reason = WaitReason.LIMIT
            this_pass.reason_by_job[step.job.job_id] = reason

    def _within_limit(
        self,
        waiting: WaitingStep,
        this_pass: Pass,
    ) -> list[Task]:
        """Return the tasks that their tenant's limit lets start.

        Work that has time does not go ahead of a gang of its tenant's that
        needs most of the limit: it would never find that much free.
        """
        step = waiting.step
        tenant = step.job.tenant.name
        tasks = waiting.tasks
        if this_pass.workers.overdue(step):
            # One that fails would else take each turn before its siblings.
            tasks = longest_waiting_first(tasks)
        in_limit: list[Task] = []
        if tenant not in this_pass.tenants_saving_limit or step.job.urgent:
            in_limit = self._state.ledger.within_limit(step, tasks)
            if not in_limit and self._state.ledger.needs_most_of_limit(step):
                this_pass.tenants_saving_limit.add(tenant)
        if not in_limit:
            step.limit_reached_at = this_pass.now
        return in_limit

    def _waits_for_journal(self, now: Seconds) -> bool:
        if self._state.writer.unconfirmed_for() < _JOURNAL_SILENT:
            return False
        waiting = (job for job, steps in self._waiting_by_job.items() if steps)
        self._note_waits(dict.fromkeys(waiting, WaitReason.JOURNAL), now)
        return True

    def _note_waits(
        self,
        reason_by_job: dict[JobId, WaitReason],
        now: Seconds,
    ) -> None:
        self._reason_by_job = reason_by_job
        for job_id in self._waiting_by_job:
            job = self._state.job_by_id.get(job_id)
            if job is not None:
                job.wait_times.note(reason_by_job.get(job_id), now)

    def waiting_tasks(self) -> int:
        """Return how many tasks wait whose turn has come."""
        return sum(
            len(waiting.step.startable())
            for steps in self._waiting_by_job.values()
            for waiting in steps
        )

    def waiting_work(self) -> WaitingWork:
        """Return what waits, and what the last pass has found out."""
        steps = [
            waiting.step
            for of_job in self._waiting_by_job.values()
            for waiting in of_job
            if waiting.step.startable()
        ]
        return WaitingWork(steps, self._kept, self._reason_by_job)

    def _refresh(self) -> None:
        wall = self._state.wall_clock()
        self._state.changed_jobs.update(self._due_times.pop_due(wall))
        for job_id in self._state.changed_jobs:
            job = self._state.job_by_id.get(job_id)
            if job is None:
                self._waiting_by_job.pop(job_id, None)
                self._due_times.forget(job_id)
                continue
            startable = (
                (step, step.startable()) for step in job.open_steps(wall)
            )
            self._waiting_by_job[job_id] = [
                WaitingStep(step_timing(step), step, tasks)
                for step, tasks in startable
                if tasks
            ]
            self._note_turns(job_id)
            self._due_times.note(job, wall)
        self._state.changed_jobs.clear()

    def _note_turns(self, job_id: JobId) -> None:
        """Note since when tasks could be placed."""
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
        this_pass: Pass,
    ) -> int:
        """Place a step, ask for advice that it lacks, keep room for it.

        Returns
        -------
        How many of its tasks found room.
        """
        step = waiting.step
        with_free_capacity = this_pass.workers.with_free_capacity(step)
        chosen = self._choose(step, tasks, with_free_capacity)
        missing = len(tasks) - len(chosen)
        advised = step.job.queue.advice is not None
        if chosen:
            this_pass.note_placed(step, len(chosen))
            if advised:
                self._launch_or_renew(rank, step, chosen, missing)
            else:
                self._runs.launch(step, chosen)
        if missing and advised and not step.permits.calls_in_flight:
            unknown = this_pass.workers.unknown(step)
            self._questions.request_candidates(rank, step, missing, unknown)
        this_pass.reserve_workers(waiting, missing)
        return len(chosen)

    def _choose(
        self,
        step: StepState,
        tasks: list[Task],
        with_free_capacity: list[TrackedWorker],
    ) -> list[Placement]:
        """Choose workers, for a gang such as have tickets if they are enough.

        One ticket that has run out costs all of a gang another question.
        """
        if not with_free_capacity:
            return []
        if step.spec.gang and step.job.queue.advice is not None:
            until = self._state.clock() + TICKET_MARGIN
            ready = [
                tracked
                for tracked in with_free_capacity
                if step.permits.has_valid_ticket(tracked.worker, until)
            ]
            chosen = choose_workers(step, tasks, ready)
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
        """Launch what has tickets; of a gang all or none."""
        until = self._state.clock() + TICKET_MARGIN
        ready = [
            placement
            for placement in chosen
            if step.permits.has_valid_ticket(placement.tracked.worker, until)
        ]
        if step.spec.gang and len(ready) < len(chosen):
            ready = []
        if ready:
            self._runs.launch(step, ready)
        stale = [placement for placement in chosen if placement not in ready]
        if stale and not step.permits.calls_in_flight:
            self._questions.renew_tickets(rank, step, stale, missing)


def _leave_headroom(
    step: StepState,
    tasks: list[Task],
    this_pass: Pass,
) -> list[Task]:
    """Return the tasks that may start beside urgent work to come."""
    size = step.spec.charged.millicores
    if not size:
        return tasks
    left = this_pass.available_to_others(step)
    if len(tasks) * size <= left:
        return tasks
    return [] if step.spec.gang else tasks[: max(0, left // size)]


def _reason(step: StepState, this_pass: Pass) -> WaitReason:
    """Return what the tasks of a step that were not placed wait for."""
    if this_pass.workers.has_permitted(step):
        return WaitReason.ROOM
    if step.permits.calls_in_flight:
        return WaitReason.ADVICE
    return WaitReason.WORKERS
