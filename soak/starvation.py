"""Checks that jobs run when there is free capacity for them."""

from __future__ import annotations

from collections.abc import Sequence

from soak.capacity import (
    WorkerCapacity,
    count_additional_tasks,
    is_mostly_free,
    size_of,
)
from soak.ledger import Ledger, SentJob
from soak.watch import CAPACITY_FACTOR, WaitTimer


class StarvationWatch:
    """Finds accepted jobs without a running task though they could run.

    Parameters
    ----------
    ledger : Ledger
    workers : sequence of WorkerCapacity

    Attributes
    ----------
    timer : WaitTimer
        Times how long jobs wait with free capacity and without faults.
    """

    def __init__(
        self,
        ledger: Ledger,
        workers: Sequence[WorkerCapacity],
    ) -> None:
        """Start without observations."""
        self.timer = WaitTimer()
        self._ledger = ledger
        self._workers = workers
        self._reported: set[str] = set()

    def check(self, now: float) -> None:
        """Check what runs now, at a time of the monotonic clock."""
        free = self._ledger.is_undisturbed(now) and is_mostly_free(
            self._workers
        )
        for job in self._ledger.job_by_id.values():
            since = self._ledger.idle_since(job)
            if since is None:
                self._reported.discard(job.job_id)
            has_capacity = free and self._could_run(job)
            waited = self.timer.overdue_for(
                job.job_id,
                since,
                now,
                has_capacity=has_capacity,
            )
            if waited and job.job_id not in self._reported:
                self._reported.add(job.job_id)
                detail = f'no task of {job.job_id} ran for {waited:.1f} s'
                self._ledger.report_violation('LOST', detail)

    def _could_run(self, job: SentJob) -> bool:
        return self._ledger.must_progress(job) and any(
            self._has_capacity(job, number)
            for number in self._ledger.ready_steps(job)
        )

    def _has_capacity(self, job: SentJob, number: int) -> bool:
        """Whether `CAPACITY_FACTOR` times a task, or a gang, would fit."""
        step = job.steps[number]
        at_once = step['count'] if step.get('gangScheduled') else 1
        cpu = at_once * size_of(step).millicores
        limits = self._ledger.limits
        if limits is not None and not limits.allows(job.tenant, cpu):
            return False
        step_key = f'{job.job_id}.0.{number}'
        additional_tasks = count_additional_tasks(self._workers, step_key, step)
        return additional_tasks >= CAPACITY_FACTOR * at_once
