"""Quarantine of workers on which several jobs in a row failed."""

from __future__ import annotations

from orchidrail.types import JobId, Seconds, WorkerId

#: Consecutive jobs that must fail on a worker before it is quarantined: a
#: faulty job fails on any worker.
_MIN_FAILED_JOBS = 2
#: Initial quarantine; it doubles, up to the maximum, until a run succeeds.
_INITIAL_QUARANTINE: Seconds = 1.0
#: Work makes no progress while all of its permitted workers are quarantined. It
#: may do so for 3 s, which includes an advice request.
_MAX_QUARANTINE: Seconds = 2.0
#: Time without a failure after which earlier failures are ignored.
_FAILURE_RETENTION: Seconds = 12.0
#: Maximum share of the workers that may be quarantined at one time.
_MAX_QUARANTINED_SHARE = 0.34


class QuarantinePolicy:
    """Quarantines workers on which several jobs failed, up to a maximum share.

    Examples
    --------
    >>> policy = QuarantinePolicy()
    >>> worker = WorkerId('w')
    >>> policy.note_failure(worker, JobId('a'), now=0, workers=10)
    0
    >>> policy.note_failure(worker, JobId('b'), now=0, workers=10)
    1.0
    """

    def __init__(self) -> None:
        """Create a policy without failures."""
        self._failed_jobs_by_worker: dict[WorkerId, set[JobId]] = {}
        self._next_duration_by_worker: dict[WorkerId, Seconds] = {}
        self._quarantined_until_by_worker: dict[WorkerId, Seconds] = {}
        self._failed_at_by_worker: dict[WorkerId, Seconds] = {}

    def note_success(self, worker: WorkerId) -> None:
        """Record that a run succeeded on a worker."""
        self._failed_jobs_by_worker.pop(worker, None)
        self._next_duration_by_worker.pop(worker, None)

    def note_failure(
        self,
        worker: WorkerId,
        job_id: JobId,
        now: Seconds,
        workers: int,
    ) -> Seconds:
        """Record a failed run; return how long to quarantine the worker."""
        if (
            now - self._failed_at_by_worker.get(worker, now)
            > _FAILURE_RETENTION
        ):
            self.note_success(worker)
        self._failed_at_by_worker[worker] = now
        failed = self._failed_jobs_by_worker.setdefault(worker, set())
        failed.add(job_id)
        if len(failed) < _MIN_FAILED_JOBS or self._too_many_quarantined(
            now, workers
        ):
            return 0
        duration = self._next_duration_by_worker.get(
            worker, _INITIAL_QUARANTINE
        )
        self._next_duration_by_worker[worker] = min(
            2 * duration, _MAX_QUARANTINE
        )
        self._quarantined_until_by_worker[worker] = now + duration
        return duration

    def _too_many_quarantined(self, now: Seconds, workers: int) -> bool:
        quarantined = sum(
            1
            for until in self._quarantined_until_by_worker.values()
            if until > now
        )
        return quarantined + 1 > workers * _MAX_QUARANTINED_SHARE
