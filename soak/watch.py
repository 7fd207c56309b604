"""Checks that long-running tasks run, and that cancelled tasks stop.

The checks use what runs on the workers and their free capacity.
"""

from __future__ import annotations

from collections.abc import Sequence

from soak.capacity import WorkerCapacity, count_additional_tasks
from soak.ledger import CANCEL_TIMEOUT, Ledger, SentJob

#: Seconds for which a long-running task may be interrupted.
MAX_INTERRUPTION_SECONDS = 6.0
#: Seconds for which capacity must be free before a wait is a violation.
MIN_CAPACITY_SECONDS = 3.0
#: A task counts as startable if this many of it would fit.
CAPACITY_FACTOR = 2
#: Maximum duration of a stop in seconds.
STOP_TIMEOUT = 0.2
#: Fault-free seconds in which a cancel must be acknowledged.
_ACKNOWLEDGEMENT_TIMEOUT = 4.0


class WaitTimer:
    """Times how long tasks or jobs wait though there is capacity for them.

    Parameters
    ----------
    allowed : float
        Seconds of waiting that are permitted.

    Attributes
    ----------
    longest : float
        Longest uninterrupted wait with free capacity, in seconds.
    """

    def __init__(self, allowed: float = 0) -> None:
        """Start without observations."""
        self.longest: float = 0
        self._allowed = allowed
        self._capacity_since_by_key: dict[str, float] = {}

    def overdue_for(
        self,
        key: str,
        since: float | None,
        now: float,
        *,
        has_capacity: bool,
    ) -> float:
        """Return the duration of a wait in seconds, 0 unless overdue.

        Parameters
        ----------
        key : str
        since : float or None
            Start of the wait, None if there is none.
        now : float
        has_capacity : bool
            Whether there is free capacity for it now.
        """
        if since is None or not has_capacity:
            self._capacity_since_by_key.pop(key, None)
            return 0
        capacity_since = self._capacity_since_by_key.setdefault(key, now)
        with_capacity = now - max(capacity_since, since)
        self.longest = max(self.longest, with_capacity)
        waited = now - since
        overdue = (
            with_capacity > MIN_CAPACITY_SECONDS
            and waited > self._allowed + MIN_CAPACITY_SECONDS
        )
        return waited if overdue else 0


class LastingWatch:
    """Checks long-running tasks and cancelled jobs periodically.

    Parameters
    ----------
    ledger : Ledger
    workers : sequence of WorkerCapacity

    Attributes
    ----------
    timer : WaitTimer
        Times interruptions with free capacity and without faults.
    """

    def __init__(
        self,
        ledger: Ledger,
        workers: Sequence[WorkerCapacity],
    ) -> None:
        """Start without observations."""
        self.timer = WaitTimer(MAX_INTERRUPTION_SECONDS)
        self._ledger = ledger
        self._workers = workers
        self._reported: set[str] = set()

    def check(self, now: float) -> None:
        """Check what runs now, at a time of the monotonic clock."""
        for job in self._ledger.job_by_id.values():
            if job.lasting and job.accepted and not job.cancel_sent:
                self._check_interruptions(job, now)
            elif job.cancel_sent and self._ledger.fault_free_since is not None:
                self._check_lingering_runs(
                    job, now, self._ledger.fault_free_since
                )

    def _check_interruptions(self, job: SentJob, now: float) -> None:
        for task in job.tasks:
            since = self._ledger.interrupted_since(task)
            if since is None:
                self._reported.discard(task)
            has_capacity = since is not None and self._has_capacity(
                job, task, now
            )
            waited = self.timer.overdue_for(
                task, since, now, has_capacity=has_capacity
            )
            if waited:
                starts = self._ledger.task_by_key[task].starts
                detail = f'not running for {waited:.1f} s after {starts} starts'
                self._report('LOST', task, detail)

    def _has_capacity(self, job: SentJob, task: str, now: float) -> bool:
        """Whether, without faults, `CAPACITY_FACTOR` such tasks would fit."""
        if not self._ledger.is_fault_free(now):
            return False
        step_key, step = task.rpartition('.')[0], job.step_of(task)
        return (
            count_additional_tasks(self._workers, step_key, step)
            >= CAPACITY_FACTOR
        )

    def _check_lingering_runs(
        self,
        job: SentJob,
        now: float,
        fault_free_since: float,
    ) -> None:
        since = job.cancelled_at
        if since is None and job.lasting and job.accepted:
            sent_at = max(job.cancel_sent_at or now, fault_free_since)
            since = sent_at + _ACKNOWLEDGEMENT_TIMEOUT
        if since is None:
            return
        gone_at = max(since, fault_free_since) + CANCEL_TIMEOUT + STOP_TIMEOUT
        for task in job.tasks:
            running = self._ledger.task_by_key[task].running
            if running and now > gone_at:
                detail = f'runs on {sorted(running)} after its cancel'
                self._report('UNASKED', task, detail)

    def _report(self, rule: str, task: str, detail: str) -> None:
        if task not in self._reported:
            self._reported.add(task)
            self._ledger.report_violation(rule, f'{task} {detail}')
