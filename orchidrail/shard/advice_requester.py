"""Questions which workers may run a step, and what their answers lead to."""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict
from functools import partial
from typing import NamedTuple

from orchidrail.background_tasks import BackgroundTasks
from orchidrail.shard.advice_dispatcher import AdviceDispatcher
from orchidrail.shard.advice_queue import Question
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

#: Workers asked about in one call while others may do.
_ASKED_AT_ONCE = 30
#: Most workers that the service takes in one call.
_MOST_IN_CALL = 100
#: Fewer workers in one call make it hardly shorter: what a call takes for
#: itself is that of about 70 workers on the users' sites.
_LEAST_PART = 12
#: A step asks through one lane for each so many that are idle: each call has a
#: cost of its own, and busy lanes would only be busier.
_LANES_FOR_PART = 4
#: Questions that may wait for a lane, for each lane: more would only wait, and
#: the steps are looked at again, the most pressing first, when these have gone.
_AHEAD = 1
#: The same for steps that have waited too long: the tickets of others, which
#: are renewed whenever a run has failed, may fill the line for good.
_AHEAD_OVERDUE = 3
#: How many times the workers that would do, were they empty, a gang asks about.
#: It needs room for all of its members at once, and in a busy cell few of its
#: good workers have any. On modelled days of gangs of twenty near the limit of
#: a cell 0.015 of all worth, 0.03 of the gangs'.
_GANG_CHOICE = 3
#: Pause after advice could not be had.
_ADVICE_PAUSE: Seconds = 0.3
#: A ticket must hold for this long to be used: the start must get there.
TICKET_MARGIN: Seconds = 0.15


class _Batch(NamedTuple):
    """A question of a step, and the room that is kept for its answer."""

    rank: Rank
    step: StepState
    about: list[TrackedWorker]
    held: list[TrackedWorker]
    #: Whether it is about workers of which nothing is known.
    first: bool


class AdviceRequester:
    """Asks for the steps of one shard.

    Parameters
    ----------
    state : ShardState
    runs : RunTracker
        Starts what room was kept for.
    dispatcher : AdviceDispatcher
    """

    def __init__(
        self,
        state: ShardState,
        runs: RunTracker,
        dispatcher: AdviceDispatcher,
    ) -> None:
        """Ask nothing yet."""
        self._state = state
        self._runs = runs
        self._dispatcher = dispatcher
        self._approvals = ApprovalRates()
        self._asking = 0
        #: First questions of steps that are not urgent. Renewals are not among
        #: them: they follow each failed run, and would keep others from asking.
        self._asking_first = 0
        self._tasks = BackgroundTasks('question')

    def close(self) -> None:
        """Give up all questions in progress."""
        self._tasks.close()

    def request_candidates(
        self,
        rank: Rank,
        step: StepState,
        missing: int,
        unknown: list[TrackedWorker],
    ) -> None:
        """Ask about workers of which nothing is known, the emptiest first."""
        if not unknown:
            return
        unknown.sort(key=lambda tracked: -tracked.free.millicores)
        copies = max(1, step.spec.charged.copies_in(unknown[0].free))
        choice = _GANG_CHOICE if step.spec.gang and not step.job.urgent else 1
        useful = choice * self._approvals.needed(
            step.job.queue.name,
            missing / copies,
        )
        lanes = self._dispatcher.lanes
        ahead = _AHEAD_OVERDUE if is_overdue(rank) else _AHEAD
        # Urgent ones are not counted: they may come for as long as they like.
        if not step.job.urgent and self._asking_first > lanes * (1 + ahead):
            return
        idle = lanes - self._asking
        parts = max(1, idle // _LANES_FOR_PART)
        most = _ASKED_AT_ONCE * parts
        about = unknown[: min(most, max(_ASKED_AT_ONCE, useful))]
        for part in _split(about, parts):
            self._ask(_Batch(rank, step, part, part, first=True))

    def renew_tickets(
        self,
        rank: Rank,
        step: StepState,
        chosen: list[Placement],
        missing: int,
    ) -> None:
        """Keep the room found, and have the tickets for it renewed.

        Parameters
        ----------
        missing : int
            Tasks that found no room. As many more workers are asked about, if
            the call stays short: the step asks again only after the answer, and
            they may have room then. For a gang, which starts whole, there is
            one for each that is kept.
        """
        kept_by_worker: dict[WorkerId, Size] = defaultdict(Size)
        tracked_by_worker: dict[WorkerId, TrackedWorker] = {}
        for _, tracked in chosen:
            kept_by_worker[tracked.worker] += step.spec.charged
            tracked_by_worker[tracked.worker] = tracked
        for worker, size in kept_by_worker.items():
            tracked_by_worker[worker].hold(step.key, size)
        chosen_books = list(tracked_by_worker.values())
        wanted = len(chosen_books) if step.spec.gang else missing
        most = max(0, _ASKED_AT_ONCE - len(chosen_books))
        spare = 0 if step.job.urgent else min(wanted, most)
        about = chosen_books + self._stale(step, chosen_books)[:spare]
        for part in _deal(about, math.ceil(len(about) / _MOST_IN_CALL)):
            held = chosen_books if step.spec.gang else part
            self._ask(_Batch(rank, step, part, held, first=False))

    def _stale(
        self,
        step: StepState,
        chosen: list[TrackedWorker],
    ) -> list[TrackedWorker]:
        """Return the other permitted workers whose tickets have run out."""
        until = self._state.clock() + TICKET_MARGIN
        others = step.permits.permitted - {tracked.worker for tracked in chosen}
        every = self._state.tracked_by_worker
        return [
            every[worker]
            for worker in sorted(others)
            if worker in every
            and every[worker].available
            and not step.permits.has_valid_ticket(worker, until)
        ]

    def _ask(self, inquiry: _Batch) -> None:
        """Ask about some workers; then place on those whose room was kept."""
        self._note_asking(inquiry, 1)
        self._tasks.spawn(self._ask_about(inquiry))

    def _note_asking(self, inquiry: _Batch, change: int) -> None:
        step = inquiry.step
        step.permits.calls_in_flight += change
        self._asking += change
        if inquiry.first and not step.job.urgent:
            self._asking_first += change

    async def _ask_about(self, inquiry: _Batch) -> None:
        step = inquiry.step
        workers = [tracked.worker for tracked in inquiry.about]
        cost = step.job.queue.advice
        assert cost is not None
        duration = cost.duration(len(workers))
        question = Question(
            step.key,
            workers,
            duration,
            inquiry.rank,
            partial(_waits, step),
        )
        try:
            with self._state.pending_advice.track(step) as followed:
                advice = await self._dispatcher.ask(
                    question._replace(during_call=followed.during_call),
                )
            if advice is None:
                await asyncio.sleep(_ADVICE_PAUSE)
            else:
                self._learn(step, workers, advice)
        finally:
            self._note_asking(inquiry, -1)
            if not step.spec.gang or not step.permits.calls_in_flight:
                self._place_held(step, inquiry.held)
            self._state.pass_requested.set()

    def _learn(
        self,
        step: StepState,
        workers: list[WorkerId],
        advice: Advice,
    ) -> None:
        known = step.permits.checked
        fresh = [worker for worker in workers if worker not in known]
        good = sum(worker in advice.ticket_by_worker for worker in fresh)
        self._approvals.note(step.job.queue.name, good, len(fresh))
        until = self._state.clock() + advice.valid
        step.permits.record_advice(workers, advice.ticket_by_worker, until)

    def _place_held(self, step: StepState, kept: list[TrackedWorker]) -> None:
        """Place on room that was kept, before a pass gives it to others.

        A wide gang would otherwise lose part of it each time, and its other
        tickets would run out meanwhile. It waits for the last of its answers.
        """
        held = [tracked for tracked in kept if tracked.release_hold(step.key)]
        now = self._state.clock()
        until = now + TICKET_MARGIN
        usable = [
            tracked
            for tracked in held
            if may_place_on(step, tracked, now)
            and step.permits.has_valid_ticket(tracked.worker, until)
            and tracked.worker in step.permits.permitted
            # Keeping room does not keep a task of another role away.
            and may_colocate(step, tracked, now)
        ]
        # The room was kept for the task whose turn it was.
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


def _waits(step: StepState) -> bool:
    """Whether a step still has tasks to place."""
    return bool(step.startable()) and not step.job.ended


def _split(
    about: list[TrackedWorker],
    most_parts: int,
) -> list[list[TrackedWorker]]:
    """Deal workers out to several calls that are worth their while."""
    return _deal(about, min(math.ceil(len(about) / _LEAST_PART), most_parts))


def _deal(about: list[TrackedWorker], parts: int) -> list[list[TrackedWorker]]:
    return [about[first::parts] for first in range(parts)]
