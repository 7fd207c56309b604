"""Which workers are fit for new work, judged by what runs on them."""

from __future__ import annotations

from orchidrail.types import JobId, Seconds, WorkerId

#: Jobs in a row that must fail on a worker before it is blamed: one bad job
#: fails wherever it runs.
_JOBS_BLAMED = 2
#: First rest of a worker that is blamed; it doubles while nothing succeeds.
_FIRST_REST: Seconds = 1.0
#: Work all of whose permitted workers rest stands still meanwhile. It may do so
#: for 3 s, a question for a ticket among that.
_LONGEST_REST: Seconds = 2.0
#: Time without a failure after which earlier ones say nothing any more.
_FORGOTTEN_AFTER: Seconds = 12.0
#: Share of the workers that may rest at one time.
_MOST_RESTING = 0.34


class QuarantinePolicy:
    """Blames workers on which job after job fails, within a cap.

    Examples
    --------
    >>> standings = QuarantinePolicy()
    >>> worker = WorkerId('w')
    >>> standings.note_failure(worker, JobId('a'), now=0, workers=10)
    0
    >>> standings.note_failure(worker, JobId('b'), now=0, workers=10)
    1.0
    """

    def __init__(self) -> None:
        """Blame nobody."""
        self._failed_jobs_by_worker: dict[WorkerId, set[JobId]] = {}
        self._rest_by_worker: dict[WorkerId, Seconds] = {}
        self._rests_until_by_worker: dict[WorkerId, Seconds] = {}
        self._failed_at_by_worker: dict[WorkerId, Seconds] = {}

    def note_success(self, worker: WorkerId) -> None:
        """Take that a run succeeded on a worker."""
        self._failed_jobs_by_worker.pop(worker, None)
        self._rest_by_worker.pop(worker, None)

    def note_failure(
        self,
        worker: WorkerId,
        job_id: JobId,
        now: Seconds,
        workers: int,
    ) -> Seconds:
        """Take that a run failed; return for how long the worker rests."""
        if now - self._failed_at_by_worker.get(worker, now) > _FORGOTTEN_AFTER:
            self.note_success(worker)
        self._failed_at_by_worker[worker] = now
        failed = self._failed_jobs_by_worker.setdefault(worker, set())
        failed.add(job_id)
        if len(failed) < _JOBS_BLAMED or self._too_many_rest(now, workers):
            return 0
        rest = self._rest_by_worker.get(worker, _FIRST_REST)
        self._rest_by_worker[worker] = min(2 * rest, _LONGEST_REST)
        self._rests_until_by_worker[worker] = now + rest
        return rest

    def _too_many_rest(self, now: Seconds, workers: int) -> bool:
        resting = sum(
            1 for until in self._rests_until_by_worker.values() if until > now
        )
        return resting + 1 > workers * _MOST_RESTING
