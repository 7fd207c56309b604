"""Starting and stopping runs, and what their ends mean for their jobs."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from functools import partial

import structlog

from orchidrail.journal.writer import Commit
from orchidrail.shard.books import (
    PROVEN_AFTER,
    PlacedRun,
    WorkerBooks,
    note_progress,
)
from orchidrail.shard.crashes import (
    CrashWatch,
    LifeEnd,
    LostRun,
    lost_runs,
    suspicion_of,
)
from orchidrail.shard.placing import Placement
from orchidrail.shard.ranking import due_at
from orchidrail.shard.standing import Standings
from orchidrail.shard.state import ShardState
from orchidrail.tasks import TaskSet
from orchidrail.types import RunNumber, Seconds, WorkerId
from orchidrail.work.job import Job, StepState, Task
from orchidrail.work.records import FailureCause, TaskPhase
from orchidrail.workers.port import (
    ActiveRun,
    EndedRun,
    Listing,
    OrderResult,
    RunEnding,
    RunKey,
)
from orchidrail.workers.session import START_LIFE, WorkerSession

_log = structlog.get_logger()
_STOP_AGAIN: Seconds = 0.3
_STOP_TRIES = 30
#: Time at work after which a task is no longer suspected: far longer than any
#: trial; a task that lasts would add up the crashes of days.
_CLEARED_AFTER: Seconds = 10.0
#: Results after which the worker has certainly not started the run.
_NOT_STARTED = frozenset(
    (
        OrderResult.FENCED,
        OrderResult.OLD_RUN,
        OrderResult.LATE,
        OrderResult.NO_ROOM,
        OrderResult.NO_TICKET,
        OrderResult.OTHER_LIFE,
        OrderResult.UNWELL,
        OrderResult.INVALID,
        OrderResult.NOT_SENT,
    )
)
#: Results after which the worker gets no new work for a while.
_REST_AFTER = frozenset(
    (
        OrderResult.UNWELL,
        OrderResult.NO_ROOM,
        OrderResult.NOT_SENT,
    )
)


class RunTracker:
    """Fits `orchidrail.workers.session.Observer`.

    Parameters
    ----------
    state : ShardState
    on_fenced : callable
        Called when a worker has seen a newer owner.
    stop_takes : float
        Seconds after which a stopped run has surely ended.
    """

    def __init__(
        self,
        state: ShardState,
        on_fenced: Callable[[], None],
        stop_takes: Seconds,
    ) -> None:
        """Start without runs."""
        self._stop_takes = stop_takes
        self._standings = Standings()
        self._crash_watch = CrashWatch()
        #: Suspicion that goes if the worker turns out to be alive.
        self._doubted_by_worker: dict[WorkerId, list[tuple[Task, int]]] = {}
        self._state = state
        self._fenced = on_fenced
        self._tasks = TaskSet('order')

    def close(self) -> None:
        """Give up all orders in progress."""
        self._tasks.close()

    def launch(self, step: StepState, chosen: list[Placement]) -> None:
        """Place runs and order their starts once the journal has them."""
        if not step.job.begun:
            self._note_wait(step.job)
        run = step.next_run([placement.task for placement in chosen])
        keys = [self._place(placement, run) for placement in chosen]
        commit = self._state.save(step.job)
        self._state.changed_jobs.add(step.job.job_id)
        for key, placement in zip(keys, chosen, strict=True):
            doubt = partial(self._doubt_start, key, placement.books)
            self._tasks.spawn(self._start(commit, key, placement), doubt)
        _log.info(
            'placed',
            job=step.job.job_id,
            step=step.key,
            run=run,
            workers=[placement.books.worker for placement in chosen],
            epoch=self._state.writer.owner.epoch,
        )

    def _note_wait(self, job: Job) -> None:
        waited = self._state.wall_clock() - job.record.accepted_at
        metrics = self._state.metrics
        label = metrics.queue(job.queue.name)
        metrics.waiting.labels(label).observe(max(0, waited))

    def stop_job(self, job: Job) -> None:
        """Stop all that a job has placed anywhere."""
        for books, run in self._runs_of(job):
            self.stop(books, run)

    def forget_job(self, job: Job) -> None:
        """Give back the room of a job none of whose starts was sent."""
        for books, run in self._runs_of(job):
            books.release(run.key)

    def _runs_of(self, job: Job) -> list[tuple[WorkerBooks, PlacedRun]]:
        """Return a job's runs that take room, with their workers."""
        every = map(self._state.books_by_worker.get, job.workers)
        return [
            (books, run)
            for books in every
            if books is not None
            for run in books.run_by_key.values()
            if run.task is not None and run.task.step.job is job
        ]

    def stop(self, books: WorkerBooks, run: PlacedRun) -> None:
        """Order a run's stop, again until its end is known."""
        if not run.stopping:
            run.stopping = True
            self._tasks.spawn(self._stop(books, run))

    def on_listing(
        self,
        session: WorkerSession,
        listing: Listing,
        sent_at: Seconds,
    ) -> list[Awaitable[bool]]:
        """See `Observer.on_listing`."""
        books = self._state.books_by_worker[session.worker]
        self._clear_doubted(session.worker)
        touched: dict[str, Job] = {}
        seen: set[RunKey] = set()
        for active in listing.active:
            seen.add(active.key)
            self._see_active(books, active)
        for ended in listing.ended:
            seen.add(ended.key)
            self._end(books, ended, touched)
        self._look_for_stalled(books)
        for run in list(books.run_by_key.values()):
            if run.key not in seen and _surely_gone(run, listing, sent_at):
                self._lose(books, run, touched)
        for task, number in self._state.unresolved_by_worker.pop(
            session.worker,
            (),
        ):
            if RunKey(task.key, number) not in seen:
                self._requeue(task, number, touched)
        return self._settle_all(listing, touched)

    def _settle_all(
        self,
        listing: Listing,
        touched: dict[str, Job],
    ) -> list[Awaitable[bool]]:
        if listing.ended or touched:
            self._state.wanted.set()
        for job in touched.values():
            self._settle(job)
        # Ends listed again may still wait for the write of their first time.
        return [self._state.writer.flush()] if listing.ended else []

    def on_life_over(self, session: WorkerSession) -> None:
        """See `Observer.on_life_over`."""
        books = self._state.books_by_worker.get(session.worker)
        left = books is not None and books.left_by_itself()
        end = LifeEnd.LEFT if left else LifeEnd.CRASHED
        self.give_up_worker(session.worker, end)

    def on_fenced(self, session: WorkerSession) -> None:
        """See `Observer.on_fenced`."""
        _log.warning('fenced by a worker', worker=session.worker)
        self._fenced()

    def give_up_worker(self, worker: WorkerId, end: LifeEnd) -> None:
        """Take all that a worker ran for ended."""
        touched: dict[str, Job] = {}
        books = self._state.books_by_worker.get(worker)
        unresolved = self._state.unresolved_by_worker.pop(worker, [])
        lost: list[PlacedRun] = []
        suspects: list[LostRun] = []
        if books is not None:
            lost = list(books.run_by_key.values())
            suspects = lost_runs(books)
            for run in lost:
                self._log_lost(books, run, end)
        # What an earlier owner saw of its runs is not known.
        suspects += [LostRun(*one, True, False) for one in unresolved]
        self._suspect(worker, suspects, end)
        for run in lost:
            self._lose(books, run, touched)
        for task, number in unresolved:
            self._requeue(task, number, touched)
        for job in touched.values():
            self._settle(job)
        self._state.metrics.worker_ends.labels(end.value).inc()
        if touched:
            _log.info(
                'worker given up',
                worker=worker,
                reason=end.value,
                jobs=list(touched),
            )

    def _suspect(
        self,
        worker: WorkerId,
        suspects: list[LostRun],
        end: LifeEnd,
    ) -> None:
        """Judge what a worker's end tells of the tasks that were there."""
        if end is LifeEnd.LEFT:
            return
        now = self._state.clock()
        every = self._state.books_by_worker
        calm = self._crash_watch.calm(every.values(), now)
        self._crash_watch.note_end(every.get(worker), now)
        doubted: list[tuple[Task, int]] = []
        for lost in suspects:
            job = lost.task.step.job
            added = suspicion_of(lost, end, calm)
            if not job.ended and job.note_crash(lost.task, lost.run, added):
                doubted.append((lost.task, added))
                self._log_suspected(worker, lost, added, calm)
        if end is not LifeEnd.CRASHED:
            self._doubted_by_worker[worker] = doubted

    def _log_suspected(
        self,
        worker: WorkerId,
        lost: LostRun,
        added: int,
        calm: bool,
    ) -> None:
        task = lost.task
        job = task.step.job
        given_up = job.cause is FailureCause.CRASHED_WORKERS
        outcome = 'given up' if given_up else 'suspected'
        self._state.metrics.suspicions.labels(
            self._state.metrics.queue(job.queue.name),
            outcome,
        ).inc()
        _log.info(
            'task suspected',
            task=task.key,
            run=lost.run,
            worker=worker,
            young=lost.young,
            trial=lost.trial,
            calm=calm,
            added=added,
            suspicion=task.suspicion,
            crashes=task.crashes,
            outcome=outcome,
        )

    def _clear_doubted(self, worker: WorkerId) -> None:
        """Take back what was held against tasks of a worker that is alive."""
        for task, added in self._doubted_by_worker.pop(worker, ()):
            task.step.job.take_back_crash(task, added)
            _log.info('suspicion taken back', task=task.key, worker=worker)

    def _log_lost(
        self,
        books: WorkerBooks,
        run: PlacedRun,
        end: LifeEnd,
    ) -> None:
        """Tell what is known of a run whose worker is gone.

        Runs that had just begun may be the cause; those that it outlived for
        long are not.
        """
        _log.info(
            'run lost',
            task=run.key.task,
            run=run.key.run,
            worker=books.worker,
            reason=end.value,
            ordered=run.ordered,
            answered=run.confirmed_at < math.inf,
            outlived=round(books.outlived(run), 3),
            others=len(books.run_by_key) - 1,
        )

    def _place(self, placement: Placement, gang_run: RunNumber) -> RunKey:
        """Take the room for a run and note it in its job."""
        task, books = placement
        step = task.step
        run = gang_run if step.spec.gang else step.next_run([task])
        key = RunKey(task.key, run)
        step.job.place(task, run, books.worker)
        now = self._state.clock()
        placed = PlacedRun(
            key,
            step.spec.charged,
            task,
            now,
            trial=task.suspected,
        )
        books.charge(placed, step.key)
        return key

    def _look_after_trial(self, books: WorkerBooks) -> None:
        """Look as soon as a listing can end a trial, to free its worker."""
        asyncio.get_running_loop().call_later(
            PROVEN_AFTER,
            books.session.look_soon,
        )

    def _doubt_start(self, key: RunKey, books: WorkerBooks) -> None:
        """Take a start whose task failed for one without an answer."""
        run = books.run_by_key.get(key)
        if run is not None and run.start_deadline == math.inf:
            now = self._state.clock()
            run.start_deadline = books.session.lease.clock_at(now) + START_LIFE

    async def _start(
        self,
        commit: Commit,
        key: RunKey,
        placement: Placement,
    ) -> None:
        task, books = placement
        ticket = task.step.permits.ticket_by_worker.get(books.worker, '')
        run = books.run_by_key.get(key)
        job = task.step.job
        if run is None or not await commit.wait():
            return
        if run.stopping or job.ended or books.overfull:
            # The worker's room may have shrunk since the run was placed.
            self._not_started(books, run, OrderResult.NOT_SENT)
            return
        run.ordered = True
        answer, deadline = await books.session.start(
            key,
            job.spec.text,
            task.step.checkpoint_for(task),
            ticket,
        )
        # A start that was refused has nothing to do with its worker's end.
        run.ordered = answer.result not in _NOT_STARTED
        books.session.take_answer(answer)
        now = self._state.clock()
        self._state.metrics.orders.labels(answer.result.value).inc()
        if answer.result in _REST_AFTER:
            books.rest(now)
        if answer.result is OrderResult.TAKEN:
            run.confirmed_at = now
            if run.trial:
                self._look_after_trial(books)
            return
        _log.info(
            'start not confirmed',
            task=key.task,
            run=key.run,
            worker=books.worker,
            result=answer.result.value,
        )
        if answer.result in _NOT_STARTED:
            self._not_started(books, run, answer.result)
        else:
            run.start_deadline = deadline

    def _not_started(
        self,
        books: WorkerBooks,
        run: PlacedRun,
        result: OrderResult,
    ) -> None:
        if run.key not in books.run_by_key or run.task is None:
            return
        if result is OrderResult.NO_TICKET:
            run.task.step.permits.expire(books.worker)
        touched: dict[str, Job] = {}
        self._lose(books, run, touched)
        for job in touched.values():
            self._settle(job)

    async def _stop(self, books: WorkerBooks, run: PlacedRun) -> None:
        for _ in range(_STOP_TRIES):
            if run.key not in books.run_by_key or books.session.over:
                return
            answer = await books.session.stop(run.key)
            if answer.result is OrderResult.TAKEN:
                # The worker will not start the run any more; what runs takes
                # room until it has stopped.
                run.confirmed_at = self._state.clock() + self._stop_takes
            if answer.result is OrderResult.FENCED:
                return
            await asyncio.sleep(_STOP_AGAIN)

    def _look_for_stalled(self, books: WorkerBooks) -> None:
        """Close a worker on which runs stand still, and run them elsewhere.

        Gangs are left to it: a new start would cost all of their members.
        """
        now = self._state.clock()
        stalled = [run for run in books.run_by_key.values() if run.stalled(now)]
        if bool(stalled) != books.stalled:
            _log.info(
                'worker stands still' if stalled else 'worker moves on',
                worker=books.worker,
                tasks=[run.key.task for run in stalled],
            )
        books.stalled = bool(stalled)
        for run in stalled:
            if run.task is not None and not run.task.step.spec.gang:
                run.task.step.failed_on.add(books.worker)
                self.stop(books, run)

    def _see_active(self, books: WorkerBooks, active: ActiveRun) -> None:
        run = books.run_by_key.get(active.key)
        if run is None:
            run = self._adopt(books, active)
        now = self._state.clock()
        note_progress(run, active.share_done, now)
        if run.confirmed_at == math.inf:
            run.confirmed_at = now
        task = run.task
        if task is not None and active.checkpoint:
            task.checkpoint = active.checkpoint
        self._note_outlived(books, run)
        if not self._wanted(run):
            self.stop(books, run)

    def _note_outlived(self, books: WorkerBooks, run: PlacedRun) -> None:
        """End a trial that is past; clear a task that has worked for long."""
        if run.key in books.trials and books.proven(run):
            books.trials.discard(run.key)
            self._state.wanted.set()
        task = run.task
        cleared = books.outlived(run) > _CLEARED_AFTER
        if task is not None and task.suspicion and cleared:
            task.suspicion = 0
            _log.info('task cleared', task=task.key, worker=books.worker)

    def _wanted(self, run: PlacedRun) -> bool:
        task = run.task
        if task is None or task.step.job.ended:
            return False
        return task.phase is TaskPhase.PLACED and task.run == run.key.run

    def _adopt(self, books: WorkerBooks, active: ActiveRun) -> PlacedRun:
        """Take over a run that an earlier owner started."""
        task = self._state.find_task(active.key.task)
        now = self._state.clock()
        size = task.step.spec.charged if task else None
        run = PlacedRun(
            active.key,
            size,
            task,
            now,
            confirmed_at=now,
            ordered=True,
            trial=task is not None and task.suspected,
        )
        books.charge(run, active.key.task.rpartition('.')[0])
        unlogged = (
            task is not None
            and task.phase is not TaskPhase.DONE
            and active.key.run > task.run
        )
        if task is not None and unlogged:
            task.step.job.place(task, active.key.run, books.worker)
            self._state.save(task.step.job)
            self._state.changed_jobs.add(task.step.job.job_id)
        return run

    def _end(
        self,
        books: WorkerBooks,
        ended: EndedRun,
        touched: dict[str, Job],
    ) -> None:
        run = books.release(ended.key)
        task = self._state.find_task(ended.key.task)
        if task is None:
            return
        job = task.step.job
        before = task.phase, task.run, task.failures
        job.end_run(task, ended.key.run, ended.ending, ended.checkpoint)
        if before == (task.phase, task.run, task.failures):
            return
        touched[job.job_id] = job
        self._state.metrics.endings.labels(
            self._state.metrics.queue(job.queue.name),
            ended.ending.value,
        ).inc()
        if run is not None and ended.ending is RunEnding.DONE:
            self._learn_pace(books, run, task)
        self._judge(books, task, ended.ending)
        if ended.ending is not RunEnding.DONE:
            _log.info(
                'run ended',
                task=ended.key.task,
                run=ended.key.run,
                worker=books.worker,
                ending=ended.ending.value,
                failures=task.failures,
            )
        if ended.ending in (RunEnding.LAPSED, RunEnding.ALONE):
            self._break_gang(task)

    def _learn_pace(
        self,
        books: WorkerBooks,
        run: PlacedRun,
        task: Task,
    ) -> None:
        spec = task.step.spec
        took = self._state.clock() - run.confirmed_at
        if not math.isfinite(took):
            return
        task.step.job.note_run(took, books.worker)
        if spec.gang or task.checkpoint:
            return
        paces = self._state.paces
        paces.note(books.worker, task.step.job.queue.name, took, spec.estimate)
        books.pace = paces.of(books.worker)

    def _judge(
        self,
        books: WorkerBooks,
        task: Task,
        ending: RunEnding,
    ) -> None:
        """Draw conclusions about the worker from how a run ended."""
        if ending is RunEnding.DONE:
            self._standings.note_success(books.worker)
        if ending is not RunEnding.FAILED:
            return
        task.step.failed_on.add(books.worker)
        now = self._state.clock()
        rest = self._standings.note_failure(
            books.worker,
            task.step.job.job_id,
            now,
            len(self._state.books_by_worker),
        )
        if rest:
            books.rest(now, rest)
            _log.info('worker rests', worker=books.worker, seconds=rest)

    def _lose(
        self,
        books: WorkerBooks | None,
        run: PlacedRun,
        touched: dict[str, Job],
    ) -> None:
        """Take a run for ended that left no end behind."""
        if books is not None:
            books.release(run.key)
        if run.task is not None:
            self._requeue(run.task, run.key.run, touched)

    def _requeue(
        self,
        task: Task,
        number: RunNumber,
        touched: dict[str, Job],
    ) -> None:
        if task.phase is not TaskPhase.PLACED or task.run != number:
            return
        job = task.step.job
        job.end_run(task, task.run, RunEnding.LAPSED, '')
        touched[job.job_id] = job
        self._break_gang(task)

    def _break_gang(self, task: Task) -> None:
        """Stop the other members of a gang that has lost one."""
        if not task.step.spec.gang:
            return
        for member in task.step.tasks:
            if member.phase is not TaskPhase.PLACED:
                continue
            books = self._state.books_by_worker.get(member.worker)
            key = RunKey(member.key, member.run)
            run = books.run_by_key.get(key) if books else None
            if books is not None and run is not None:
                self.stop(books, run)

    def _settle(self, job: Job) -> Commit:
        """Save a job after its runs changed; end what is left if it is over."""
        self._state.note_change(job)
        commit = self._state.save(job)
        if not job.ended:
            return commit
        _log.info(
            'job over',
            job=job.job_id,
            phase=job.phase.name.lower(),
            cause=job.cause.value,
            crashes=job.crashes(),
            queue=job.queue.name,
            took=round(self._state.wall_clock() - job.record.accepted_at, 3),
            expected=round(due_at(job) - job.record.accepted_at, 3),
            failures=job.failures(),
            waits=job.waits.describe(self._state.clock()),
            longest_run=round(job.longest_run, 3),
            longest_at=job.longest_at,
        )
        self._state.note_over(job)
        self._state.job_by_id.pop(job.job_id, None)
        self.stop_job(job)
        return commit


def _surely_gone(
    run: PlacedRun,
    listing: Listing,
    sent_at: Seconds,
) -> bool:
    """Whether a run that a listing doesn't show can't be there any more."""
    if run.confirmed_at < sent_at:
        return True
    return run.start_deadline < listing.clock
