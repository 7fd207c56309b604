"""Requests advice on eligible workers, and places tasks on the reply."""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict
from functools import partial
from typing import NamedTuple

from orchidrail.background_tasks import BackgroundTasks
from orchidrail.shard.advice_dispatcher import AdviceDispatcher
from orchidrail.shard.advice_queue import AdviceRequest
from orchidrail.shard.approval_rates import ApprovalRates
from orchidrail.shard.candidate_workers import may_place_on
from orchidrail.shard.colocation import may_colocate
from orchidrail.shard.ranking import Rank, is_overdue
from orchidrail.shard.runs import RunTracker
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import TrackedWorker
from orchidrail.shard.worker_selection import Placement, choose_workers
from orchidrail.types import Seconds, WorkerId
from orchidrail.work.size import Size
from orchidrail.work.step import StepState, longest_waiting_first
from orchidrail.workers.port import Advice

#: Usual number of workers per call.
_WORKERS_PER_CALL = 30
#: Most workers that the service accepts in one call.
_MAX_WORKERS_PER_CALL = 100
#: Splitting below this hardly shortens a call: on the users' sites the fixed
#: cost of a call equals that of about 70 workers.
_MIN_WORKERS_PER_CALL = 12
#: A step makes one call for each so many idle lanes: every call has a fixed
#: cost, and more calls would only add load to busy lanes.
_IDLE_LANES_PER_CALL = 4
#: Initial requests that may be queued per lane. More would only wait, and once
#: these are sent, the steps are considered again, the most urgent first.
_QUEUED_PER_LANE = 1
#: The same for overdue steps, which may queue more: the ticket renewals of
#: other steps, which follow every failed run, could fill the queue for good.
_QUEUED_PER_LANE_OVERDUE = 3
#: Factor on the number of workers that a gang would need if they were idle. It
#: needs free capacity for all members at once, which few of its permitted
#: workers have in a busy cell. In simulations with gangs of twenty near the
#: capacity of a cell this gains 0.015 of the total worth, 0.03 of the gangs'.
_GANG_OVERSAMPLING = 3
#: Pause after a request that got no advice.
_RETRY_PAUSE: Seconds = 0.3
#: Remaining validity that a ticket needs to be used: time to send the start.
TICKET_MARGIN: Seconds = 0.15


class _Batch(NamedTuple):
    """The workers of one advice request, and the capacity held meanwhile."""

    rank: Rank
    step: StepState
    candidates: list[TrackedWorker]
    held: list[TrackedWorker]
    #: Whether the workers have not been checked before.
    initial: bool


class AdviceRequester:
    """Requests advice for the steps of one shard.

    Parameters
    ----------
    state : ShardState
    runs : RunTracker
        Starts the runs that capacity was held for.
    dispatcher : AdviceDispatcher
    """

    def __init__(
        self,
        state: ShardState,
        runs: RunTracker,
        dispatcher: AdviceDispatcher,
    ) -> None:
        """Start without requests."""
        self._state = state
        self._runs = runs
        self._dispatcher = dispatcher
        self.approvals = ApprovalRates()
        self._calls_in_flight = 0
        #: Initial calls for steps that are not urgent. Ticket renewals do not
        #: count: they follow every failed run and would block other requests.
        self._initial_calls = 0
        self._tasks = BackgroundTasks('advice request')

    def close(self) -> None:
        """Cancel all requests in progress."""
        self._tasks.close()

    def request_candidates(
        self,
        rank: Rank,
        step: StepState,
        missing: int,
        unchecked: list[TrackedWorker],
    ) -> None:
        """Request advice on unchecked workers, most free CPU first."""
        if not unchecked:
            return
        unchecked.sort(key=lambda tracked: -tracked.free.millicores)
        copies = max(1, step.spec.charged.copies_in(unchecked[0].free))
        oversampling = (
            _GANG_OVERSAMPLING if step.spec.gang and not step.job.urgent else 1
        )
        wanted = oversampling * self.approvals.workers_to_ask(
            step.job.queue.name,
            missing / copies,
        )
        lanes = self._dispatcher.lanes
        queued_per_lane = (
            _QUEUED_PER_LANE_OVERDUE if is_overdue(rank) else _QUEUED_PER_LANE
        )
        # Urgent requests are not limited.
        if not step.job.urgent and self._initial_calls > lanes * (
            1 + queued_per_lane
        ):
            return
        idle = lanes - self._calls_in_flight
        calls = max(1, idle // _IDLE_LANES_PER_CALL)
        max_candidates = _WORKERS_PER_CALL * calls
        candidates = unchecked[
            : min(max_candidates, max(_WORKERS_PER_CALL, wanted))
        ]
        for group in _split_into_calls(candidates, calls):
            self._send(_Batch(rank, step, group, group, initial=True))

    def renew_tickets(
        self,
        rank: Rank,
        step: StepState,
        chosen: list[Placement],
        missing: int,
    ) -> None:
        """Hold capacity on the chosen workers and renew their tickets.

        Parameters
        ----------
        missing : int
            Tasks without a worker. Tickets of as many more workers are renewed,
            as long as the call stays short: the next request follows only
            after the reply, and they may have free capacity by then. A gang
            starts as a whole, so there is one more for each worker chosen.
        """
        held_by_worker: dict[WorkerId, Size] = defaultdict(Size)
        tracked_by_worker: dict[WorkerId, TrackedWorker] = {}
        for _, tracked in chosen:
            held_by_worker[tracked.worker] += step.spec.charged
            tracked_by_worker[tracked.worker] = tracked
        for worker, size in held_by_worker.items():
            tracked_by_worker[worker].hold(step.key, size)
        chosen_workers = list(tracked_by_worker.values())
        extra_wanted = len(chosen_workers) if step.spec.gang else missing
        max_extra = max(0, _WORKERS_PER_CALL - len(chosen_workers))
        extra = 0 if step.job.urgent else min(extra_wanted, max_extra)
        candidates = (
            chosen_workers
            + self._with_expired_tickets(step, chosen_workers)[:extra]
        )
        for group in _split_evenly(
            candidates, math.ceil(len(candidates) / _MAX_WORKERS_PER_CALL)
        ):
            held = chosen_workers if step.spec.gang else group
            self._send(_Batch(rank, step, group, held, initial=False))

    def _with_expired_tickets(
        self,
        step: StepState,
        chosen: list[TrackedWorker],
    ) -> list[TrackedWorker]:
        """Return the other permitted workers whose tickets have expired."""
        until = self._state.clock() + TICKET_MARGIN
        others = step.permits.permitted - {tracked.worker for tracked in chosen}
        workers = self._state.tracked_by_worker
        return [
            workers[worker]
            for worker in sorted(others)
            if worker in workers
            and workers[worker].available
            and not step.permits.has_valid_ticket(worker, until)
        ]

    def _send(self, batch: _Batch) -> None:
        """Send a request; its reply places tasks on the held capacity."""
        self._count_call(batch, 1)
        self._tasks.spawn(self._request_advice(batch))

    def _count_call(self, batch: _Batch, change: int) -> None:
        step = batch.step
        step.permits.calls_in_flight += change
        self._calls_in_flight += change
        if batch.initial and not step.job.urgent:
            self._initial_calls += change

    async def _request_advice(self, batch: _Batch) -> None:
        step = batch.step
        workers = [tracked.worker for tracked in batch.candidates]
        cost = step.job.queue.advice
        assert cost is not None
        duration = cost.duration(len(workers))
        request = AdviceRequest(
            step.key,
            workers,
            duration,
            batch.rank,
            partial(_has_startable_tasks, step),
        )
        try:
            with self._state.pending_advice.track(step) as pending:
                advice = await self._dispatcher.ask(
                    request._replace(during_call=pending.during_call),
                )
            if advice is None:
                await asyncio.sleep(_RETRY_PAUSE)
            else:
                self._record_advice(step, workers, advice)
        finally:
            self._count_call(batch, -1)
            if not step.spec.gang or not step.permits.calls_in_flight:
                self._place_held(step, batch.held)
            self._state.pass_requested.set()

    def _record_advice(
        self,
        step: StepState,
        workers: list[WorkerId],
        advice: Advice,
    ) -> None:
        already_checked = step.permits.checked
        newly_checked = [
            worker for worker in workers if worker not in already_checked
        ]
        permitted = sum(
            worker in advice.ticket_by_worker for worker in newly_checked
        )
        self.approvals.record(
            step.job.queue.name, permitted, len(newly_checked)
        )
        until = self._state.clock() + advice.valid
        step.permits.record_advice(workers, advice.ticket_by_worker, until)

    def _place_held(
        self, step: StepState, candidates: list[TrackedWorker]
    ) -> None:
        """Place tasks on held capacity before a pass can allocate it to others.

        A wide gang would otherwise lose some of it each time, and its other
        tickets would expire meanwhile. It waits for the last of its replies.
        """
        held = [
            tracked for tracked in candidates if tracked.release_hold(step.key)
        ]
        now = self._state.clock()
        until = now + TICKET_MARGIN
        usable = [
            tracked
            for tracked in held
            if may_place_on(step, tracked, now)
            and step.permits.has_valid_ticket(tracked.worker, until)
            and tracked.worker in step.permits.permitted
            # A hold does not keep tasks of another QoS class off the worker.
            and may_colocate(step, tracked, now)
        ]
        # The capacity is held for the task that has waited longest.
        tasks = self._state.ledger.within_limit(
            step, longest_waiting_first(step.startable())
        )
        if not usable or not tasks:
            return
        if step.job.ended:
            return
        chosen = choose_workers(step, tasks, usable)
        if chosen:
            self._runs.launch(step, chosen)


def _has_startable_tasks(step: StepState) -> bool:
    """Whether a step still has tasks to place."""
    return bool(step.startable()) and not step.job.ended


def _split_into_calls(
    candidates: list[TrackedWorker],
    max_calls: int,
) -> list[list[TrackedWorker]]:
    """Split workers over calls, none of which gets too small."""
    return _split_evenly(
        candidates,
        min(math.ceil(len(candidates) / _MIN_WORKERS_PER_CALL), max_calls),
    )


def _split_evenly(
    candidates: list[TrackedWorker], calls: int
) -> list[list[TrackedWorker]]:
    return [candidates[first::calls] for first in range(calls)]
