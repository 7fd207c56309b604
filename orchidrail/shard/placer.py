"""The pass that places what waits, and the questions that it needs asked."""

from __future__ import annotations

import asyncio
import contextlib
from operator import itemgetter

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
from orchidrail.shard.open_workers import OpenWorkers
from orchidrail.shard.placing import Placement, choose_workers
from orchidrail.shard.questions import TICKET_MARGIN, Questions
from orchidrail.shard.ranking import Rank, Timing, time_step
from orchidrail.shard.runs import RunTracker
from orchidrail.shard.state import ShardState
from orchidrail.types import JobId, Seconds, ServiceName
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
        headroom: Headroom,
    ) -> None:
        """Start with all open workers."""
        self.now = now
        self.wall = wall
        self.workers = OpenWorkers(open_books)
        self.reason_by_job: dict[JobId, WaitReason] = {}
        self._headroom = headroom
        self._left_by_need: dict[tuple[ServiceName, str], int] = {}
        self._crowded_by_service: dict[ServiceName, bool] = {}
        self._earmarks = 0

    def left_for_others(self, step: StepState) -> int:
        """Return the millicores that are not kept for urgent work."""
        need = step.job.queue.service, step.spec.label
        left = self._left_by_need.get(need)
        if left is None:
            of_kind = self.workers.of_kind(step)
            left = self._headroom.left_for_others(need[0], of_kind)
            self._left_by_need[need] = left
        return left

    def note_placed(self) -> None:
        """Take that there is less room than before."""
        self._left_by_need.clear()

    def earmark(self, step: StepState, missing: int) -> None:
        """Keep workers for what a step still misses, if room is scarce."""
        if missing <= 0 or self._earmarks >= _EARMARKS:
            return
        service = step.job.queue.service
        if not self._crowded(service):
            return
        copies = self.workers.most_copies(step.spec, service)
        if not needs_earmarks(step.spec, copies):
            return
        candidates = self.workers.good_for(step)
        kept = choose_earmarks(step, missing, candidates, self.now)
        if kept:
            self._earmarks += 1
            self.workers.keep(kept)

    def _crowded(self, service: ServiceName) -> bool:
        found = self._crowded_by_service.get(service)
        if found is None:
            found = crowded(self.workers.of_service(service))
            self._crowded_by_service[service] = found
        return found


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
        #: Steps with tasks whose turn has come, of all open jobs.
        self._waiting_by_job: dict[JobId, list[tuple[Timing, StepState]]] = {}
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
        if self._waits_for_journal(now):
            return
        ranked = [
            (timing.rank(wall), timing, step)
            for steps in self._waiting_by_job.values()
            for timing, step in steps
        ]
        ranked.sort(key=itemgetter(0))
        books_by_worker = self._state.books_by_worker
        open_books = [one for one in books_by_worker.values() if one.open(now)]
        self._headroom.note(open_books, now)
        this_pass = _Pass(open_books, now, wall, self._headroom)
        for rank, timing, step in ranked:
            tasks = step.startable()
            if not tasks:
                continue
            allowed = tasks
            if timing.has_time(wall):
                allowed = _leave_headroom(step, tasks, this_pass)
            self._look_at(rank, step, tasks, allowed, this_pass)
        self._note_waits(this_pass.reason_by_job, now)

    def _look_at(
        self,
        rank: Rank,
        step: StepState,
        tasks: list[Task],
        allowed: list[Task],
        this_pass: _Pass,
    ) -> None:
        """Place what a step may start, or say what it waits for.

        Parameters
        ----------
        allowed : list of Task
            Those of its waiting `tasks` that need not leave room for others.
        """
        if allowed:
            self._place_step(rank, step, allowed, this_pass)
        if step.startable():
            held_back = len(allowed) < len(tasks)
            this_pass.reason_by_job[step.job.job_id] = (
                WaitReason.HEADROOM if held_back else _reason(step, this_pass)
            )

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
        for job_id in self._waiting_by_job:
            job = self._state.job_by_id.get(job_id)
            if job is not None:
                job.waits.note(reason_by_job.get(job_id), now)

    def waiting_tasks(self) -> int:
        """Return how many tasks wait whose turn has come."""
        return sum(
            len(step.startable())
            for steps in self._waiting_by_job.values()
            for _, step in steps
        )

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
                for waiting in self._waiting_by_job.values()
                for _, step in waiting
                if step.startable()
            ]
            waiting_tasks = self.waiting_tasks()
            self._gauge(every, now, waiting_tasks)
            _log.info(
                'shard load',
                jobs=len(state.job_by_id),
                waiting_tasks=waiting_tasks,
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
                self._waiting_by_job.pop(job_id, None)
                self._due_times.forget(job_id)
                continue
            self._waiting_by_job[job_id] = [
                (time_step(step), step)
                for step in job.open_steps(wall)
                if step.startable()
            ]
            self._due_times.note(job, wall)
        self._state.changed_jobs.clear()

    def _place_step(
        self,
        rank: Rank,
        step: StepState,
        tasks: list[Task],
        this_pass: _Pass,
    ) -> None:
        """Place a step, ask for advice that it lacks, keep room for it."""
        with_room = this_pass.workers.with_room(step)
        chosen = choose_workers(step, tasks, with_room) if with_room else []
        missing = len(tasks) - len(chosen)
        advised = step.job.queue.advice is not None
        if chosen:
            this_pass.note_placed()
            if advised:
                self._launch_or_renew(rank, step, chosen, this_pass.now)
            else:
                self._runs.launch(step, chosen)
        if missing and advised and not step.permits.asking:
            unknown = this_pass.workers.unknown(step)
            self._questions.ask_for_more(rank, step, missing, unknown)
        this_pass.earmark(step, missing)

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


def _leave_headroom(
    step: StepState,
    tasks: list[Task],
    this_pass: _Pass,
) -> list[Task]:
    """Return the tasks that may start beside urgent work to come."""
    size = step.spec.charged.millicores
    if not size:
        return tasks
    left = this_pass.left_for_others(step)
    if len(tasks) * size <= left:
        return tasks
    return [] if step.spec.gang else tasks[: max(0, left // size)]


def _reason(step: StepState, this_pass: _Pass) -> WaitReason:
    """Return what the tasks of a step that were not placed wait for."""
    if this_pass.workers.has_good(step):
        return WaitReason.ROOM
    if step.permits.asking:
        return WaitReason.ADVICE
    return WaitReason.WORKERS
