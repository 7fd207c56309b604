"""Starts and stops runs, and tracks what workers report of them."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from functools import partial

import structlog

from orchidrail.background_tasks import BackgroundTasks
from orchidrail.journal.writer import Commit
from orchidrail.shard.colocation import best_effort_runs, best_effort_to_evict
from orchidrail.shard.crash_attribution import CrashAttributor
from orchidrail.shard.crash_evidence import IncarnationEnd
from orchidrail.shard.inherited_runs import InheritedRuns
from orchidrail.shard.run_ends import RunEnds, resume_wait
from orchidrail.shard.run_stops import RunStops
from orchidrail.shard.state import ShardState
from orchidrail.shard.tracked_worker import (
    STARTUP_CRASH_WINDOW,
    PlacedRun,
    TrackedWorker,
    note_latency,
    note_progress,
)
from orchidrail.shard.worker_selection import Placement
from orchidrail.types import Address, RunNumber, Seconds, WorkerId, ZoneId
from orchidrail.work.job import Job
from orchidrail.work.records import FailureCause, TaskPhase
from orchidrail.work.step import StepState
from orchidrail.workers.port import (
    ActiveRun,
    Listing,
    OrderResult,
    RunKey,
)
from orchidrail.workers.session import START_VALIDITY, WorkerSession

_log = structlog.get_logger()
_MILLIS = 1000
#: Results after which the worker has certainly not started the run.
_NOT_STARTED_RESULTS = frozenset(
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
#: Results after which the worker is quarantined.
_QUARANTINE_RESULTS = frozenset(
    (
        OrderResult.UNHEALTHY,
        OrderResult.NO_ROOM,
        OrderResult.NOT_SENT,
    )
)


class RunTracker:
    """Implements `orchidrail.workers.session.Observer`.

    Parameters
    ----------
    state : ShardState
    on_fenced : callable
        Called when a worker has seen a newer owner.
    stop_duration : float
        Seconds after which a stopped run has certainly ended.
    """

    def __init__(
        self,
        state: ShardState,
        on_fenced: Callable[[], None],
        stop_duration: Seconds,
    ) -> None:
        """Start without runs."""
        self._state = state
        self._stops = RunStops(state, stop_duration)
        self._ends = RunEnds(state, self.stop, self.stop_job)
        self._crash_attributor = CrashAttributor(state)
        self._inherited = InheritedRuns(
            state, self._ends, self.presume_worker_lost
        )
        self._on_fenced = on_fenced
        self._tasks = BackgroundTasks('start order')

    def close(self) -> None:
        """Cancel all orders in flight."""
        self._tasks.close()
        self._stops.close()

    def launch(self, step: StepState, chosen: list[Placement]) -> None:
        """Place runs and order their starts once the journal has them."""
        if not step.job.placed:
            self._observe_wait(step.job)
        self._observe_task_waits(step.job, chosen)
        run = step.next_run([placement.task for placement in chosen])
        placed = [self._allocate(placement, run) for placement in chosen]
        commit = self._state.save(step.job)
        self._state.start_pacer.add(len(placed), step.job)
        self._state.changed_jobs.add(step.job.job_id)
        zones = {placement.tracked.entry.zone for placement in chosen}
        for placed_run, placement in zip(placed, chosen, strict=True):
            if not step.spec.gang:
                zones = {placement.tracked.entry.zone}
            mark_unconfirmed = partial(
                self._mark_unconfirmed, placed_run, placement.tracked
            )
            self._tasks.spawn(
                self._start_paced(commit, placed_run, placement, zones),
                mark_unconfirmed,
            )
        _log.info(
            'placed',
            job=step.job.job_id,
            step=step.key,
            run=run,
            workers=[placement.tracked.worker for placement in chosen],
            epoch=self._state.writer.owner.epoch,
        )

    def _observe_wait(self, job: Job) -> None:
        waited = self._state.wall_clock() - job.record.accepted_at
        metrics = self._state.metrics
        label = metrics.queue_label(job.queue.name)
        tenant = metrics.tenant_label(job.tenant.name)
        metrics.first_start_seconds.labels(tenant, label).observe(
            max(0, waited)
        )

    def _observe_task_waits(self, job: Job, chosen: list[Placement]) -> None:
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
        """Stop all runs of a job."""
        for tracked, run in self._runs_of(job):
            self.stop(tracked, run)

    def fail_job(self, job: Job, cause: FailureCause) -> None:
        """End a job as failed, and stop its runs."""
        job.fail(cause)
        self._ends.finish(job)

    def release_job(self, job: Job) -> None:
        """Free the allocations of a job none of whose starts was sent."""
        for tracked, run in self._runs_of(job):
            tracked.release(run.key)

    def _runs_of(self, job: Job) -> list[tuple[TrackedWorker, PlacedRun]]:
        """Return a job's allocated runs with their workers."""
        tracked_workers = map(self._state.tracked_by_worker.get, job.workers)
        return [
            (tracked, run)
            for tracked in tracked_workers
            if tracked is not None
            for run in tracked.run_by_key.values()
            if run.task is not None and run.task.step.job is job
        ]

    def stop(self, tracked: TrackedWorker, run: PlacedRun) -> None:
        """Order the stop of a run, repeatedly until its end is known."""
        self._stops.order(tracked, run)

    def on_listing(
        self,
        session: WorkerSession,
        listing: Listing,
        sent_at: Seconds,
    ) -> list[Awaitable[bool]]:
        """See `Observer.on_listing`."""
        tracked = self._state.tracked_by_worker[session.worker]
        self._crash_attributor.retract(session.worker)
        seen = self._apply_rows(tracked, listing)
        self._inherited.resolve(tracked, seen, listing.complete)
        if listing.complete:
            self._presume_missing_ended(tracked, listing, seen, sent_at)
            self._check_runs(tracked)
        else:
            self._note_incomplete(tracked, listing)
        if self._ends.save_changed() or listing.ended:
            self._state.pass_requested.set()
        # Ends that are listed again may still wait for their first write.
        return [self._state.writer.flush()] if listing.ended else []

    def _apply_rows(
        self, tracked: TrackedWorker, listing: Listing
    ) -> set[RunKey]:
        """Apply the runs that a listing shows, and return them."""
        for active in listing.active:
            self._apply_active(tracked, active, listing)
        for ended in listing.ended:
            self._ends.apply_end(tracked, ended)
        active_keys = {active.key for active in listing.active}
        return active_keys | {ended.key for ended in listing.ended}

    def _presume_missing_ended(
        self,
        tracked: TrackedWorker,
        listing: Listing,
        seen: set[RunKey],
        sent_at: Seconds,
    ) -> None:
        """Presume the runs ended that a complete listing doesn't show."""
        for run in list(tracked.run_by_key.values()):
            if run.key not in seen and _certainly_ended(run, listing, sent_at):
                self._log_missing(tracked, run, listing)
                self._ends.presume_ended(tracked, run)

    def _note_incomplete(
        self, tracked: TrackedWorker, listing: Listing
    ) -> None:
        """Report a listing that leaves open what became of missing runs."""
        self._state.metrics.listings.incomplete.inc()
        _log.info(
            'listing incomplete',
            worker=tracked.worker,
            clock=round(listing.clock, 3),
            active=len(listing.active),
            ended=len(listing.ended),
            known=len(tracked.run_by_key),
        )

    def _log_missing(
        self,
        tracked: TrackedWorker,
        run: PlacedRun,
        listing: Listing,
    ) -> None:
        """Log why a run is presumed ended without a report of its end."""
        self._state.metrics.listings.runs_missing.inc()
        if run.is_unconfirmed:
            tracked.session.invalidate_orders()
        acknowledged, received = tracked.session.ending_progress
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
            heard=received,
        )

    def on_superseded(self, session: WorkerSession, listing: Listing) -> None:
        """See `Observer.on_superseded`."""
        self._state.metrics.listings.superseded.inc()
        _log.info(
            'listing superseded by a newer one',
            worker=session.worker,
            clock=round(listing.clock, 3),
            active=len(listing.active),
            ended=len(listing.ended),
        )

    def on_incarnation_ended(self, session: WorkerSession) -> None:
        """See `Observer.on_incarnation_ended`."""
        tracked = self._state.tracked_by_worker.get(session.worker)
        left = tracked is not None and tracked.left_voluntarily()
        end = IncarnationEnd.LEFT if left else IncarnationEnd.CRASHED
        self.presume_worker_lost(session.worker, end, session.next_incarnation)
        self._state.incarnation_ended.set()

    def on_fenced(self, session: WorkerSession) -> None:
        """See `Observer.on_fenced`."""
        _log.warning(
            'fenced by a worker that has seen a newer owner',
            worker=session.worker,
        )
        self._on_fenced()

    def last_crash_at(self, address: Address) -> Seconds:
        """Return when a worker at an address last crashed."""
        return self._crash_attributor.last_crash_at(address)

    def presume_worker_lost(
        self,
        worker: WorkerId,
        end: IncarnationEnd,
        next_incarnation: WorkerId | None = None,
    ) -> None:
        """Presume all runs of a worker ended, and requeue their tasks.

        Unconfirmed starts may still be executed by the next incarnation under
        the same name. Their tasks wait until it has seen a higher fencing token
        and has listed its runs.
        """
        unresolved = self._state.unresolved_runs.pop_runs(worker)
        self._crash_attributor.record_end(worker, unresolved, end)
        tracked = self._state.tracked_by_worker.get(worker)
        if tracked is not None:
            for run in list(tracked.run_by_key.values()):
                if (
                    next_incarnation is None
                    or run.task is None
                    or not run.is_unconfirmed
                ):
                    self._ends.presume_ended(tracked, run)
                    continue
                tracked.release(run.key)
                unresolved.append((run.task, run.key.run))
        if next_incarnation is not None and unresolved:
            self._state.unresolved_runs.add(next_incarnation, unresolved)
            unresolved = []
        for task, number in unresolved:
            self._ends.requeue(task, number)
        changed = self._ends.save_changed()
        if changed:
            _log.info(
                'worker given up',
                worker=worker,
                reason=end.value,
                jobs=[job.job_id for job in changed],
            )

    def _allocate(self, placement: Placement, gang_run: RunNumber) -> PlacedRun:
        """Allocate capacity for a run and record it in its job."""
        task, tracked = placement
        step = task.step
        run = gang_run if step.spec.gang else step.next_run([task])
        key = RunKey(task.key, run)
        waited_since = task.waiting_since
        step.job.place(task, run, tracked.worker)
        now = self._state.clock()
        placed = PlacedRun(
            key,
            step.spec.charged,
            task,
            now,
            isolated=task.suspected,
            waited_since=waited_since,
        )
        tracked.allocate(placed, step.key)
        return placed

    def _poll_after_startup(self, tracked: TrackedWorker) -> None:
        """Poll as soon as the startup window ends, to free the worker."""
        asyncio.get_running_loop().call_later(
            STARTUP_CRASH_WINDOW,
            tracked.session.poll_soon,
        )

    def _mark_unconfirmed(self, run: PlacedRun, tracked: TrackedWorker) -> None:
        """Treat a start whose asyncio task failed as unconfirmed."""
        if run.start_deadline == math.inf:
            now = self._state.clock()
            run.start_deadline = (
                tracked.session.lease.clock_at(now) + START_VALIDITY
            )

    async def _start_paced(
        self,
        commit: Commit,
        run: PlacedRun,
        placement: Placement,
        zones: set[str],
    ) -> None:
        """Start a run, and count it as in flight until its worker responds."""
        job = placement.task.step.job
        try:
            await self._start(commit, run, placement, zones)
        finally:
            if self._state.start_pacer.remove(job):
                self._state.pass_requested.set()

    async def _start(
        self,
        commit: Commit,
        run: PlacedRun,
        placement: Placement,
        zones: set[str],
    ) -> None:
        """Send a start once the journal has it.

        Parameters
        ----------
        zones : set of str
            Zones of all tasks that must start together.
        """
        job = placement.task.step.job
        if not await commit.wait():
            return
        async with self._state.start_pacer.order_slots(job):
            if placement.tracked.holds(run):
                await self._order_start(run, placement, zones)

    async def _order_start(
        self, run: PlacedRun, placement: Placement, zones: set[str]
    ) -> None:
        task, tracked = placement
        ticket = task.step.permits.ticket_by_worker.get(tracked.worker, '')
        job = task.step.job
        obsolete = run.stopping or job.ended or tracked.overcommitted
        if obsolete or self._is_held(run, tracked, zones):
            # The worker's capacity may have shrunk since the placement.
            self._release_unstarted(tracked, run, OrderResult.NOT_SENT)
            return
        run.ordered = True
        answer, deadline = await tracked.session.start(
            run.key,
            job.spec.text,
            task.step.checkpoint_for(task),
            ticket,
        )
        # A rejected start can't be the cause of its worker's end.
        run.ordered = answer.result not in _NOT_STARTED_RESULTS
        tracked.session.handle_answer(answer)
        now = self._state.clock()
        self._state.metrics.worker_starts.labels(answer.result.value).inc()
        if answer.result in _QUARANTINE_RESULTS:
            tracked.quarantine(now)
        if answer.result is OrderResult.TAKEN:
            job.note_begun(task)
            run.confirmed_at = now
            if run.isolated:
                self._poll_after_startup(tracked)
            return
        _log.info(
            'start not confirmed',
            task=run.key.task,
            run=run.key.run,
            worker=tracked.worker,
            result=answer.result.value,
        )
        if answer.result in _NOT_STARTED_RESULTS:
            self._release_unstarted(tracked, run, answer.result)
        else:
            run.start_deadline = deadline

    def _is_held(
        self, run: PlacedRun, tracked: TrackedWorker, zones: set[str]
    ) -> bool:
        """Whether a start must not be sent because of an evacuation."""
        gate = self._state.zone_gate
        if all(gate.may_start_in(ZoneId(zone)) for zone in zones):
            return False
        self._state.metrics.evacuation.held_starts.inc()
        _log.info(
            'start held, zone evacuated',
            task=run.key.task,
            run=run.key.run,
            worker=tracked.worker,
            evacuated=tracked.entry.zone,
            outdated=gate.is_outdated,
        )
        return True

    def _release_unstarted(
        self,
        tracked: TrackedWorker,
        run: PlacedRun,
        result: OrderResult,
    ) -> None:
        if not tracked.holds(run) or run.task is None:
            return
        if result is OrderResult.NO_TICKET:
            run.task.step.permits.drop_ticket(tracked.worker)
        self._ends.presume_ended(tracked, run)
        # An invalid order is no fault of the worker: it would be rejected again
        # elsewhere, so its task goes behind the others.
        if result is not OrderResult.INVALID:
            resume_wait(run.task, run)
        self._ends.save_changed()

    def _check_runs(self, tracked: TrackedWorker) -> None:
        self._stop_stalled(tracked)
        self._evict_best_effort(tracked)

    def _stop_stalled(self, tracked: TrackedWorker) -> None:
        """Give a worker with stalled runs no work, and rerun them elsewhere.

        Gangs stay there: a new start would restart all of their members.
        """
        now = self._state.clock()
        stalled = [
            run for run in tracked.run_by_key.values() if run.stalled(now)
        ]
        # Best-effort tasks stall while others use all processor time.
        blocked = len(stalled) > len(best_effort_runs(stalled))
        if blocked != tracked.stalled:
            _log.info(
                'worker stands still' if blocked else 'worker moves on',
                worker=tracked.worker,
                tasks=[run.key.task for run in stalled],
            )
        tracked.stalled = blocked
        for run in stalled:
            if run.task is not None and not run.task.step.spec.gang:
                run.task.step.failed_workers.note_failure(tracked.worker, now)
                self.stop(tracked, run)

    def _evict_best_effort(self, tracked: TrackedWorker) -> None:
        """Stop best-effort runs beside tasks that miss their latency target."""
        for run in best_effort_to_evict(tracked, self._state.clock()):
            if not run.stopping:
                _log.info(
                    'best-effort run stopped, response times exceed the target',
                    task=run.key.task,
                    worker=tracked.worker,
                )
                self.stop(tracked, run)

    def _apply_active(
        self, tracked: TrackedWorker, active: ActiveRun, listing: Listing
    ) -> None:
        run = tracked.run_by_key.get(active.key)
        if run is None:
            run = self._inherited.adopt(tracked, active)
            _log.info(
                'run adopted',
                task=run.key.task,
                run=run.key.run,
                worker=tracked.worker,
                clock=round(listing.clock, 3),
                job_open=run.task is not None,
            )
        now = self._state.clock()
        note_progress(run, active.share_done, now)
        note_latency(run, active.load / _MILLIS, now)
        if run.confirmed_at == math.inf:
            run.confirmed_at = now
        task = run.task
        if task is not None:
            task.step.job.note_begun(task)
            task.step.job.note_checkpoint(task, active.checkpoint)
        self._crash_attributor.note_survival(tracked, run)
        self._ends.note_active(tracked, run)
        if not self._is_current(run):
            self.stop(tracked, run)

    def _is_current(self, run: PlacedRun) -> bool:
        task = run.task
        if task is None or task.step.job.ended:
            return False
        return task.phase is TaskPhase.PLACED and task.run == run.key.run


def _certainly_ended(
    run: PlacedRun,
    listing: Listing,
    sent_at: Seconds,
) -> bool:
    """Whether a run absent from a listing can't be active any more."""
    if run.confirmed_at < sent_at:
        return True
    return run.start_deadline < listing.clock
