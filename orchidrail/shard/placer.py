"""The pass that places what waits, and the questions that it needs asked."""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict

import structlog

from orchidrail.shard.advice_desk import AdviceDesk, Question
from orchidrail.shard.approvals import Approvals
from orchidrail.shard.books import WorkerBooks
from orchidrail.shard.earmarks import choose_earmarks, needs_earmarks
from orchidrail.shard.headroom import Headroom
from orchidrail.shard.placing import Placement, choose_workers, suits
from orchidrail.shard.ranking import Rank, has_time, rank_step
from orchidrail.shard.runs import RunTracker
from orchidrail.shard.state import ShardState
from orchidrail.tasks import TaskSet
from orchidrail.types import JobId, Seconds, WorkerId
from orchidrail.work.job import StepState, Task
from orchidrail.work.model import Size
from orchidrail.work.waits import WaitReason
from orchidrail.workers.port import Advice

_log = structlog.get_logger()
#: Least time between two passes; they take at most half of all time, so that
#: orders and looks go on beside them.
_PACE: Seconds = 0.004
#: Passes come at least this often, for times that fall due.
_LOOK_EVERY: Seconds = 0.1
#: Most workers asked about in one call.
_ASKED_AT_ONCE = 30
#: Fewer workers in one call make it hardly shorter: what a call takes for
#: itself is that of about 70 workers on the users' sites.
_LEAST_PART = 12
#: A step asks through one lane for each so many that are idle: each call has a
#: cost of its own, and busy lanes would only be busier.
_LANES_FOR_PART = 4
#: A ticket must hold for this long to be used: the start must get there.
_TICKET_MARGIN: Seconds = 0.15
#: Steps that wait with room kept free for them, most urgent first.
_EARMARKS = 2
#: Pause after advice could not be had.
_ADVICE_PAUSE: Seconds = 0.3
_REPORT_EVERY: Seconds = 1.0
#: Silence of the journal after which nothing is placed: a start waits for it,
#: and tickets run out meanwhile. It answers in 8 ms, in 0.3 s where it is slow.
_JOURNAL_SILENT: Seconds = 0.7
_MILLIS = 1000


class _Pass:
    """What one pass over the waiting steps has left and found out."""

    def __init__(
        self,
        open_books: list[WorkerBooks],
        now: Seconds,
        wall: Seconds,
    ) -> None:
        """Start with all open workers."""
        self.now = now
        self.wall = wall
        self.reason_by_job: dict[JobId, WaitReason] = {}
        self._open_books = open_books
        self._earmarked: set[WorkerId] = set()
        self._earmarks = 0

    def usable(self, step: StepState) -> list[WorkerBooks]:
        """Return the workers that a step may use now."""
        usable = [
            books
            for books in self._open_books
            if books.worker not in self._earmarked
            and books.entry.service == step.job.queue.service
            and suits(step.spec, books)
        ]
        return _spare(step, usable) if step.failed_on else usable

    def earmark(self, workers: set[WorkerId]) -> None:
        """Keep workers from the steps that come after."""
        if workers and self._earmarks < _EARMARKS:
            self._earmarks += 1
            self._earmarked.update(workers)


class Placer:
    """Places the shard's waiting tasks.

    Parameters
    ----------
    state : ShardState
    runs : RunTracker
    desk : AdviceDesk
    """

    def __init__(
        self,
        state: ShardState,
        runs: RunTracker,
        desk: AdviceDesk,
    ) -> None:
        """Start with nothing waiting."""
        self._state = state
        self._runs = runs
        self._desk = desk
        self._approvals = Approvals()
        self._headroom = Headroom()
        self._steps_by_job: dict[JobId, list[StepState]] = {}
        self._tasks = TaskSet('question')

    async def run(self) -> None:
        """Place whenever something has changed."""
        while True:
            try:
                await asyncio.wait_for(self._state.wanted.wait(), _LOOK_EVERY)
            except (TimeoutError, asyncio.TimeoutError):
                self._look_at_timed_jobs()
            self._state.wanted.clear()
            began = self._state.clock()
            self.place_all()
            took = self._state.clock() - began
            await asyncio.sleep(max(_PACE, took))

    def close(self) -> None:
        """Give up all questions in progress."""
        self._tasks.close()

    def place_all(self) -> None:
        """Place what has room now."""
        self._refresh()
        now = self._state.clock()
        wall = self._state.wall_clock()
        ranked: list[tuple[Rank, StepState]] = [
            (rank_step(step, wall), step)
            for steps in self._steps_by_job.values()
            for step in steps
        ]
        ranked.sort(key=lambda pair: pair[0])
        if self._waits_for_journal(ranked, now):
            return
        books_by_worker = self._state.books_by_worker
        open_books = [one for one in books_by_worker.values() if one.open(now)]
        self._headroom.note(open_books, now)
        this_pass = _Pass(open_books, now, wall)
        for rank, step in ranked:
            tasks = step.startable()
            if tasks:
                self._look_at(rank, step, tasks, this_pass)
        self._note_waits(this_pass.reason_by_job, now)

    def _look_at(
        self,
        rank: Rank,
        step: StepState,
        tasks: list[Task],
        this_pass: _Pass,
    ) -> None:
        """Place what a step may start, or say what it waits for."""
        usable = this_pass.usable(step)
        if has_time(step, this_pass.wall):
            tasks = self._leave_headroom(step, tasks, usable)
        reason = WaitReason.HEADROOM
        if tasks:
            kept = self._place_step(rank, step, tasks, usable, this_pass.now)
            this_pass.earmark(kept)
            reason = _reason(step, usable)
        if step.startable():
            this_pass.reason_by_job[step.job.job_id] = reason

    def _leave_headroom(
        self,
        step: StepState,
        tasks: list[Task],
        usable: list[WorkerBooks],
    ) -> list[Task]:
        """Return the tasks that may start beside urgent work to come."""
        size = step.spec.charged.millicores
        left = self._headroom.left_for_others(step.job.queue.service, usable)
        if not size or len(tasks) * size <= left:
            return tasks
        return [] if step.spec.gang else tasks[: max(0, left // size)]

    def _waits_for_journal(
        self,
        ranked: list[tuple[Rank, StepState]],
        now: Seconds,
    ) -> bool:
        if self._state.writer.unconfirmed_for() < _JOURNAL_SILENT:
            return False
        waiting = (step.job.job_id for _, step in ranked if step.startable())
        self._note_waits(dict.fromkeys(waiting, WaitReason.JOURNAL), now)
        return True

    def _note_waits(
        self,
        reason_by_job: dict[JobId, WaitReason],
        now: Seconds,
    ) -> None:
        for job_id in self._steps_by_job:
            job = self._state.job_by_id.get(job_id)
            if job is not None:
                job.waits.note(reason_by_job.get(job_id), now)

    async def report(self) -> None:
        """Log the shard's load now and then, for those who look back."""
        while True:
            await asyncio.sleep(_REPORT_EVERY)
            state = self._state
            now = state.clock()
            self._note_lost_workers()
            every = list(state.books_by_worker.values())
            steps = [
                step
                for waiting in self._steps_by_job.values()
                for step in waiting
                if step.startable()
            ]
            self._gauge(
                every, now, sum(len(step.startable()) for step in steps)
            )
            _log.info(
                'shard load',
                jobs=len(state.job_by_id),
                waiting_tasks=sum(len(step.startable()) for step in steps),
                waiting_steps=len(steps),
                asking=sum(step.permits.asking for step in steps),
                workers=len(every),
                open_workers=sum(books.open(now) for books in every),
                free_cores=sum(books.free.millicores for books in every)
                // _MILLIS,
                unconfirmed=round(state.writer.unconfirmed_for(), 3),
                **self._desk.load(),
            )

    def _note_lost_workers(self) -> None:
        """Add up, once a report, waits for workers that do not answer."""
        for job in self._state.job_by_id.values():
            if any(map(self._state.lost, job.placed_on())):
                job.waits.add(WaitReason.LOST_WORKER, _REPORT_EVERY)

    def _gauge(
        self,
        every: list[WorkerBooks],
        now: Seconds,
        waiting_tasks: int,
    ) -> None:
        metrics = self._state.metrics
        open_count = sum(books.open(now) for books in every)
        metrics.workers.labels('open').set(open_count)
        metrics.workers.labels('closed').set(len(every) - open_count)
        metrics.waiting_tasks.set(waiting_tasks)
        metrics.unconfirmed.set(self._state.writer.unconfirmed_for())

    def _refresh(self) -> None:
        wall = self._state.wall_clock()
        for job_id in self._state.changed_jobs:
            job = self._state.job_by_id.get(job_id)
            if job is None:
                self._steps_by_job.pop(job_id, None)
                continue
            self._steps_by_job[job_id] = list(job.open_steps(wall))
        self._state.changed_jobs.clear()

    def _look_at_timed_jobs(self) -> None:
        for job in self._state.job_by_id.values():
            if job.spec.repeats:
                self._state.changed_jobs.add(job.job_id)

    def _place_step(
        self,
        rank: Rank,
        step: StepState,
        tasks: list[Task],
        usable: list[WorkerBooks],
        now: Seconds,
    ) -> set[WorkerId]:
        """Place a step; return workers to be kept free for it."""
        if step.job.queue.advice is None:
            chosen = choose_workers(step, tasks, usable)
            if chosen:
                self._runs.launch(step, chosen)
            return _earmark(step, len(tasks) - len(chosen), usable, now)
        good_by_worker = step.permits.good_by_worker
        good = [books for books in usable if good_by_worker.get(books.worker)]
        chosen = choose_workers(step, tasks, good)
        if chosen:
            self._launch_or_renew(rank, step, chosen, now)
        if len(chosen) == len(tasks):
            return set()
        if not step.permits.asking:
            self._ask_for_more(rank, step, len(tasks) - len(chosen), usable)
        return _earmark(step, len(tasks) - len(chosen), good, now)

    def _ask_for_more(
        self,
        rank: Rank,
        step: StepState,
        missing: int,
        usable: list[WorkerBooks],
    ) -> None:
        """Ask about workers of which nothing is known, the emptiest first."""
        known = step.permits.good_by_worker
        unknown = [books for books in usable if books.worker not in known]
        if not unknown:
            return
        unknown.sort(key=lambda books: -books.free.millicores)
        copies = max(1, step.spec.charged.times_in(unknown[0].free))
        useful = self._approvals.needed(step.job.queue.name, missing / copies)
        parts = max(1, self._desk.idle_lanes // _LANES_FOR_PART)
        most = _ASKED_AT_ONCE * parts
        about = unknown[: min(most, max(_ASKED_AT_ONCE, useful))]
        for part in _split(about, parts):
            self._ask(rank, step, part)

    def _launch_or_renew(
        self,
        rank: Rank,
        step: StepState,
        chosen: list[Placement],
        now: Seconds,
    ) -> None:
        """Launch what has tickets; of a gang all or none."""
        until = now + _TICKET_MARGIN
        ready = [
            placement
            for placement in chosen
            if step.permits.fresh(placement.books.worker, until)
        ]
        if step.spec.gang and len(ready) < len(chosen):
            ready = []
        if ready:
            self._runs.launch(step, ready)
        stale = [placement for placement in chosen if placement not in ready]
        if stale and not step.permits.asking:
            self._renew(rank, step, stale)

    def _renew(
        self,
        rank: Rank,
        step: StepState,
        chosen: list[Placement],
    ) -> None:
        """Keep the room found, and have the tickets for it renewed."""
        kept_by_worker: dict[WorkerId, Size] = defaultdict(Size)
        books_by_worker: dict[WorkerId, WorkerBooks] = {}
        for _, books in chosen:
            kept_by_worker[books.worker] += step.spec.charged
            books_by_worker[books.worker] = books
        for worker, size in kept_by_worker.items():
            books_by_worker[worker].hold(step.key, size)
        self._ask(rank, step, list(books_by_worker.values()))

    def _ask(
        self,
        rank: Rank,
        step: StepState,
        about: list[WorkerBooks],
    ) -> None:
        step.permits.asking += 1
        self._tasks.spawn(self._ask_about(rank, step, about))

    async def _ask_about(
        self,
        rank: Rank,
        step: StepState,
        about: list[WorkerBooks],
    ) -> None:
        workers = [books.worker for books in about]
        cost = step.job.queue.advice
        assert cost is not None
        duration = cost.duration(len(workers))
        question = Question(step.key, workers, duration, rank)
        try:
            advice = await self._desk.ask(question)
            if advice is None:
                await asyncio.sleep(_ADVICE_PAUSE)
            else:
                self._learn(step, workers, advice)
        finally:
            step.permits.asking -= 1
            self._place_held(step, about)
            self._state.wanted.set()

    def _learn(
        self,
        step: StepState,
        workers: list[WorkerId],
        advice: Advice,
    ) -> None:
        known = step.permits.good_by_worker
        fresh = [worker for worker in workers if worker not in known]
        good = sum(worker in advice.ticket_by_worker for worker in fresh)
        self._approvals.note(step.job.queue.name, good, len(fresh))
        until = self._state.clock() + advice.valid
        step.permits.learn(workers, advice.ticket_by_worker, until)

    def _place_held(self, step: StepState, about: list[WorkerBooks]) -> None:
        """Place on room that was kept, before a pass gives it to others.

        A wide gang would otherwise lose part of it each time, and its other
        tickets would run out meanwhile.
        """
        held = [books for books in about if books.unhold(step.key)]
        now = self._state.clock()
        until = now + _TICKET_MARGIN
        usable = [
            books
            for books in held
            if books.open(now)
            and step.permits.fresh(books.worker, until)
            and step.permits.good_by_worker.get(books.worker)
        ]
        tasks = step.startable()
        if not usable or not tasks:
            return
        if step.job.ended:
            return
        chosen = choose_workers(step, tasks, usable)
        if chosen:
            self._runs.launch(step, chosen)


def _earmark(
    step: StepState,
    missing: int,
    candidates: list[WorkerBooks],
    now: Seconds,
) -> set[WorkerId]:
    if not missing or not needs_earmarks(step.spec, candidates):
        return set()
    return choose_earmarks(step, missing, candidates, now)


def _reason(step: StepState, usable: list[WorkerBooks]) -> WaitReason:
    """Return what the tasks of a step that were not placed wait for."""
    if step.job.queue.advice is None:
        return WaitReason.ROOM if usable else WaitReason.WORKERS
    known = step.permits.good_by_worker
    good = any(known.get(books.worker) for books in usable)
    if step.permits.asking and not good:
        return WaitReason.ADVICE
    return WaitReason.ROOM if good else WaitReason.WORKERS


def _split(
    about: list[WorkerBooks],
    most_parts: int,
) -> list[list[WorkerBooks]]:
    """Deal workers out to several calls that are worth their while."""
    parts = min(math.ceil(len(about) / _LEAST_PART), most_parts)
    return [about[first::parts] for first in range(parts)]


def _spare(step: StepState, usable: list[WorkerBooks]) -> list[WorkerBooks]:
    """Leave out the workers that failed the step, unless no other is good."""
    others = [books for books in usable if books.worker not in step.failed_on]
    known = step.permits.good_by_worker
    good = [books for books in others if known.get(books.worker, True)]
    return others if good else usable
