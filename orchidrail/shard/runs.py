"""Starting and stopping runs, and following what workers tell of them."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from functools import partial

import structlog

from orchidrail.background_tasks import BackgroundTasks
from orchidrail.journal.writer import Commit
from orchidrail.shard.colocation import best_effort_runs, best_effort_to_evict
from orchidrail.shard.crash_attribution import CrashJudge
from orchidrail.shard.crash_evidence import IncarnationEnd
from orchidrail.shard.inherited_runs import EarlierRuns
from orchidrail.shard.run_ends import RunEnds
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import (
    STARTUP_CRASH_WINDOW,
    PlacedRun,
    TrackedWorker,
    note_latency,
    note_progress,
)
from orchidrail.shard.worker_selection import Placement
from orchidrail.types import Address, RunNumber, Seconds, WorkerId
from orchidrail.work.job import Job
from orchidrail.work.records import TaskPhase
from orchidrail.work.step import StepState
from orchidrail.workers.port import (
    ActiveRun,
    Listing,
    OrderResult,
    RunKey,
)
from orchidrail.workers.session import START_VALIDITY, WorkerSession

_log = structlog.get_logger()
_STOP_AGAIN: Seconds = 0.3
_MILLIS = 1000
#: Results after which the worker has certainly not started the run.
_NOT_STARTED = frozenset(
    (
        OrderResult.FENCED,
        OrderResult.OLD_RUN,
        OrderResult.LATE,
        OrderResult.NO_ROOM,
        OrderResult.NO_TICKET,
        OrderResult.OTHER_INCARNATION,
        OrderResult.UNHEALTHY,
        OrderResult.INVALID,
        OrderResult.NOT_SENT,
    )
)
#: Results after which the worker gets no new work for a while.
_REST_AFTER = frozenset(
    (
        OrderResult.UNHEALTHY,
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
        self._state = state
        self._ends = RunEnds(state, self.stop, self.stop_job)
        self._judge = CrashJudge(state)
        self._earlier = EarlierRuns(state, self._ends, self.give_up_worker)
        self._fenced = on_fenced
        self._tasks = BackgroundTasks('order')

    def close(self) -> None:
        """Give up all orders in progress."""
        self._tasks.close()

    def launch(self, step: StepState, chosen: list[Placement]) -> None:
        """Place runs and order their starts once the journal has them."""
        if not step.job.started:
            self._note_wait(step.job)
        self._note_task_waits(step.job, chosen)
        run = step.next_run([placement.task for placement in chosen])
        placed = [self._place(placement, run) for placement in chosen]
        commit = self._state.save(step.job)
        self._state.changed_jobs.add(step.job.job_id)
        for one, placement in zip(placed, chosen, strict=True):
            doubt = partial(self._doubt_start, one, placement.tracked)
            self._tasks.spawn(self._start(commit, one, placement), doubt)
        _log.info(
            'placed',
            job=step.job.job_id,
            step=step.key,
            run=run,
            workers=[placement.tracked.worker for placement in chosen],
            epoch=self._state.writer.owner.epoch,
        )

    def _note_wait(self, job: Job) -> None:
        waited = self._state.wall_clock() - job.record.accepted_at
        metrics = self._state.metrics
        label = metrics.queue_label(job.queue.name)
        tenant = metrics.tenant_label(job.tenant.name)
        metrics.first_start_seconds.labels(tenant, label).observe(
            max(0, waited)
        )

    def _note_task_waits(self, job: Job, chosen: list[Placement]) -> None:
        now = self._state.clock()
        metrics = self._state.metrics
        waiting = metrics.task_wait_seconds.labels(
            metrics.tenant_label(job.tenant.name),
            metrics.queue_label(job.queue.name),
        )
        for placement in chosen:
            since = placement.task.waiting_since
            waiting.observe(0 if since is None else now - since)

    def stop_job(self, job: Job) -> None:
        """Stop all that a job has placed anywhere."""
        for tracked, run in self._runs_of(job):
            self.stop(tracked, run)

    def forget_job(self, job: Job) -> None:
        """Give back the room of a job none of whose starts was sent."""
        for tracked, run in self._runs_of(job):
            tracked.release(run.key)

    def _runs_of(self, job: Job) -> list[tuple[TrackedWorker, PlacedRun]]:
        """Return a job's runs that take room, with their workers."""
        every = map(self._state.tracked_by_worker.get, job.workers)
        return [
            (tracked, run)
            for tracked in every
            if tracked is not None
            for run in tracked.run_by_key.values()
            if run.task is not None and run.task.step.job is job
        ]

    def stop(self, tracked: TrackedWorker, run: PlacedRun) -> None:
        """Order a run's stop, again until its end is known."""
        if not run.stopping:
            run.stopping = True
            self._tasks.spawn(self._stop(tracked, run))

    def on_listing(
        self,
        session: WorkerSession,
        listing: Listing,
        sent_at: Seconds,
    ) -> list[Awaitable[bool]]:
        """See `Observer.on_listing`."""
        tracked = self._state.tracked_by_worker[session.worker]
        self._judge.take_back(session.worker)
        seen: set[RunKey] = set()
        for active in listing.active:
            seen.add(active.key)
            self._see_active(tracked, active)
        for ended in listing.ended:
            seen.add(ended.key)
            self._ends.end(tracked, ended)
        self._look_for_trouble(tracked)
        self._take_gone(tracked, listing, seen, sent_at)
        if self._ends.settle_all() or listing.ended:
            self._state.pass_requested.set()
        # Ends listed again may still wait for the write of their first time.
        return [self._state.writer.flush()] if listing.ended else []

    def _take_gone(
        self,
        tracked: TrackedWorker,
        listing: Listing,
        seen: set[RunKey],
        sent_at: Seconds,
    ) -> None:
        """Take the runs that a listing should show and doesn't for ended."""
        for run in list(tracked.run_by_key.values()):
            if run.key not in seen and _surely_gone(run, listing, sent_at):
                self._note_gone(tracked, run, listing)
                self._ends.lose(tracked, run)
        if self._state.unresolved_runs:
            self._earlier.resolve(tracked, seen)

    def _note_gone(
        self,
        tracked: TrackedWorker,
        run: PlacedRun,
        listing: Listing,
    ) -> None:
        """Tell what a run was taken for gone by, without an end heard."""
        self._state.metrics.runs_not_listed.inc()
        if run.in_doubt:
            tracked.session.invalidate_orders()
        acknowledged, heard = tracked.session.ending_progress
        _log.info(
            'run not listed',
            task=run.key.task,
            run=run.key.run,
            worker=tracked.worker,
            born=listing.born,
            clock=round(listing.clock, 3),
            answered=run.confirmed_at < math.inf,
            stopping=run.stopping,
            acknowledged=acknowledged,
            heard=heard,
        )

    def on_incarnation_ended(self, session: WorkerSession) -> None:
        """See `Observer.on_incarnation_ended`."""
        tracked = self._state.tracked_by_worker.get(session.worker)
        left = tracked is not None and tracked.left_voluntarily()
        end = IncarnationEnd.LEFT if left else IncarnationEnd.CRASHED
        self.give_up_worker(session.worker, end, session.next_incarnation)
        self._state.incarnation_ended.set()

    def on_fenced(self, session: WorkerSession) -> None:
        """See `Observer.on_fenced`."""
        _log.warning('fenced by a worker', worker=session.worker)
        self._fenced()

    def last_crash_at(self, address: Address) -> Seconds:
        """Return when a worker at an address crashed last."""
        return self._judge.last_crash_at(address)

    def give_up_worker(
        self,
        worker: WorkerId,
        end: IncarnationEnd,
        next_life: WorkerId | None = None,
    ) -> None:
        """Take all that a worker ran for ended.

        Starts without an answer may still be carried out, by the next life
        under the same name; their tasks wait until that one has seen a higher
        fencing token and has told what it runs.
        """
        unresolved = self._state.unresolved_runs.pop_runs(worker)
        self._judge.note_end(worker, unresolved, end)
        tracked = self._state.tracked_by_worker.get(worker)
        if tracked is not None:
            for run in list(tracked.run_by_key.values()):
                if next_life is None or run.task is None or not run.in_doubt:
                    self._ends.lose(tracked, run)
                    continue
                tracked.release(run.key)
                unresolved.append((run.task, run.key.run))
        if next_life is not None and unresolved:
            self._state.unresolved_runs.add(next_life, unresolved)
            unresolved = []
        for task, number in unresolved:
            self._ends.requeue(task, number)
        touched = self._ends.settle_all()
        if touched:
            _log.info(
                'worker given up',
                worker=worker,
                reason=end.value,
                jobs=[job.job_id for job in touched],
            )

    def _place(self, placement: Placement, gang_run: RunNumber) -> PlacedRun:
        """Take the room for a run and note it in its job."""
        task, tracked = placement
        step = task.step
        run = gang_run if step.spec.gang else step.next_run([task])
        key = RunKey(task.key, run)
        step.job.place(task, run, tracked.worker)
        now = self._state.clock()
        placed = PlacedRun(
            key,
            step.spec.charged,
            task,
            now,
            trial=task.suspected,
        )
        tracked.allocate(placed, step.key)
        return placed

    def _look_after_trial(self, tracked: TrackedWorker) -> None:
        """Look as soon as a listing can end a trial, to free its worker."""
        asyncio.get_running_loop().call_later(
            STARTUP_CRASH_WINDOW,
            tracked.session.poll_soon,
        )

    def _doubt_start(self, run: PlacedRun, tracked: TrackedWorker) -> None:
        """Take a start whose task failed for one without an answer."""
        if run.start_deadline == math.inf:
            now = self._state.clock()
            run.start_deadline = (
                tracked.session.lease.clock_at(now) + START_VALIDITY
            )

    async def _start(
        self,
        commit: Commit,
        run: PlacedRun,
        placement: Placement,
    ) -> None:
        task, tracked = placement
        ticket = task.step.permits.ticket_by_worker.get(tracked.worker, '')
        job = task.step.job
        if not await commit.wait() or not tracked.has(run):
            return
        if run.stopping or job.ended or tracked.overcommitted:
            # The worker's room may have shrunk since the run was placed.
            self._not_started(tracked, run, OrderResult.NOT_SENT)
            return
        run.ordered = True
        answer, deadline = await tracked.session.start(
            run.key,
            job.spec.text,
            task.step.checkpoint_for(task),
            ticket,
        )
        # A start that was refused has nothing to do with its worker's end.
        run.ordered = answer.result not in _NOT_STARTED
        tracked.session.handle_answer(answer)
        now = self._state.clock()
        self._state.metrics.worker_starts.labels(answer.result.value).inc()
        if answer.result in _REST_AFTER:
            tracked.quarantine(now)
        if answer.result is OrderResult.TAKEN:
            run.confirmed_at = now
            if run.trial:
                self._look_after_trial(tracked)
            return
        _log.info(
            'start not confirmed',
            task=run.key.task,
            run=run.key.run,
            worker=tracked.worker,
            result=answer.result.value,
        )
        if answer.result in _NOT_STARTED:
            self._not_started(tracked, run, answer.result)
        else:
            run.start_deadline = deadline

    def _not_started(
        self,
        tracked: TrackedWorker,
        run: PlacedRun,
        result: OrderResult,
    ) -> None:
        if not tracked.has(run) or run.task is None:
            return
        if result is OrderResult.NO_TICKET:
            run.task.step.permits.drop_ticket(tracked.worker)
        self._ends.lose(tracked, run)
        self._ends.settle_all()

    async def _stop(self, tracked: TrackedWorker, run: PlacedRun) -> None:
        """Order a stop until the end is known: its lease is renewed till then.

        A run that goes on takes room, and may keep its whole worker closed.
        """
        while tracked.has(run) and not tracked.session.terminated:
            answer = await tracked.session.stop(run.key)
            if answer.result is OrderResult.TAKEN:
                # The worker will not start the run any more; what runs takes
                # room until it has stopped.
                run.confirmed_at = self._state.clock() + self._stop_takes
            if answer.result is OrderResult.FENCED:
                return
            await asyncio.sleep(_STOP_AGAIN)

    def _look_for_trouble(self, tracked: TrackedWorker) -> None:
        self._look_for_stalled(tracked)
        self._look_for_late_answers(tracked)

    def _look_for_stalled(self, tracked: TrackedWorker) -> None:
        """Close a worker on which runs stand still, and run them elsewhere.

        Gangs are left to it: a new start would cost all of their members.
        """
        now = self._state.clock()
        stalled = [
            run for run in tracked.run_by_key.values() if run.stalled(now)
        ]
        # What fills stands still while others use all that there is.
        closes = len(stalled) > len(best_effort_runs(stalled))
        if closes != tracked.stalled:
            _log.info(
                'worker stands still' if closes else 'worker moves on',
                worker=tracked.worker,
                tasks=[run.key.task for run in stalled],
            )
        tracked.stalled = closes
        for run in stalled:
            if run.task is not None and not run.task.step.spec.gang:
                run.task.step.failed_workers.note_failure(tracked.worker, now)
                self.stop(tracked, run)

    def _look_for_late_answers(self, tracked: TrackedWorker) -> None:
        """Stop what fills beside tasks whose answers are late."""
        for run in best_effort_to_evict(tracked, self._state.clock()):
            if not run.stopping:
                _log.info(
                    'stopped for late answers',
                    task=run.key.task,
                    worker=tracked.worker,
                )
                self.stop(tracked, run)

    def _see_active(self, tracked: TrackedWorker, active: ActiveRun) -> None:
        run = tracked.run_by_key.get(active.key)
        if run is None:
            run = self._earlier.adopt(tracked, active)
        now = self._state.clock()
        note_progress(run, active.share_done, now)
        note_latency(run, active.load / _MILLIS, now)
        if run.confirmed_at == math.inf:
            run.confirmed_at = now
        task = run.task
        if task is not None and active.checkpoint:
            task.checkpoint = active.checkpoint
        self._judge.note_outlived(tracked, run)
        self._ends.note_active(tracked, run)
        if not self._wanted(run):
            self.stop(tracked, run)

    def _wanted(self, run: PlacedRun) -> bool:
        task = run.task
        if task is None or task.step.job.ended:
            return False
        return task.phase is TaskPhase.PLACED and task.run == run.key.run


def _surely_gone(
    run: PlacedRun,
    listing: Listing,
    sent_at: Seconds,
) -> bool:
    """Whether a run that a listing doesn't show can't be there any more."""
    if run.confirmed_at < sent_at:
        return True
    return run.start_deadline < listing.clock
