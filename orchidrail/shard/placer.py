"""The pass that places what waits, and the questions that it needs asked."""

from __future__ import annotations

import asyncio
import contextlib

import structlog

from orchidrail.shard.advice_desk import AdviceDesk
from orchidrail.shard.books import WorkerBooks
from orchidrail.shard.due_times import DueTimes
from orchidrail.shard.earmarks import (
    choose_earmarks,
    crowded,
    needs_earmarks,
)
from orchidrail.shard.headroom import Headroom
from orchidrail.shard.placing import Placement, choose_workers, suits
from orchidrail.shard.questions import TICKET_MARGIN, Questions
from orchidrail.shard.ranking import Rank, has_time, rank_step
from orchidrail.shard.runs import RunTracker
from orchidrail.shard.state import ShardState
from orchidrail.types import JobId, Seconds, WorkerId
from orchidrail.work.job import StepState, Task
from orchidrail.work.waits import WaitReason

_log = structlog.get_logger()
#: Least time between two passes; they take at most half of all time, so that
#: orders and looks go on beside them.
_PACE: Seconds = 0.004
#: Passes come at least this often, for times that fall due.
_LOOK_EVERY: Seconds = 0.1
#: Steps that wait with room kept free for them, most urgent first.
_EARMARKS = 2
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

    def earmark(self, step: StepState, workers: set[WorkerId]) -> None:
        """Keep workers from the steps that come after, if room is scarce."""
        if not workers or self._earmarks >= _EARMARKS:
            return
        service = step.job.queue.service
        of_service = [
            books
            for books in self._open_books
            if books.entry.service == service
        ]
        if crowded(of_service):
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
        self._questions = Questions(state, runs, desk)
        self._headroom = Headroom()
        self._steps_by_job: dict[JobId, list[StepState]] = {}
        self._due_times = DueTimes()

    async def run(self) -> None:
        """Place whenever something has changed."""
        while True:
            wait = min(
                _LOOK_EVERY,
                self._due_times.wait(self._state.wall_clock()),
            )
            with contextlib.suppress(TimeoutError, asyncio.TimeoutError):
                await asyncio.wait_for(self._state.wanted.wait(), wait)
            self._state.wanted.clear()
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
            this_pass.earmark(step, kept)
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
        self._state.changed_jobs.update(self._due_times.take_due(wall))
        for job_id in self._state.changed_jobs:
            job = self._state.job_by_id.get(job_id)
            if job is None:
                self._steps_by_job.pop(job_id, None)
                self._due_times.forget(job_id)
                continue
            self._steps_by_job[job_id] = list(job.open_steps(wall))
            self._due_times.note(job, wall)
        self._state.changed_jobs.clear()

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
            self._questions.ask_for_more(
                rank,
                step,
                len(tasks) - len(chosen),
                usable,
            )
        return _earmark(step, len(tasks) - len(chosen), good, now)

    def _launch_or_renew(
        self,
        rank: Rank,
        step: StepState,
        chosen: list[Placement],
        now: Seconds,
    ) -> None:
        """Launch what has tickets; of a gang all or none."""
        until = now + TICKET_MARGIN
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
            self._questions.renew(rank, step, stale)


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


def _spare(step: StepState, usable: list[WorkerBooks]) -> list[WorkerBooks]:
    """Leave out the workers that failed the step, unless no other is good."""
    others = [books for books in usable if books.worker not in step.failed_on]
    known = step.permits.good_by_worker
    good = [books for books in others if known.get(books.worker, True)]
    return others if good else usable
