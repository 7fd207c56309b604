"""Outlier ejection: no work for workers with a high failure score.

A failure counts against a worker only as far as work of the same origin
otherwise succeeds, so a faulty job doesn't eject healthy workers. When its
ejection ends, a worker is on probation, as in a half-open circuit breaker.
"""

from __future__ import annotations

from enum import Enum

from orchidrail.types import Seconds, WorkerId

_SMOOTHING = 0.2
_ORIGIN_SMOOTHING = 0.05
_EJECTION_THRESHOLD = 0.5
_MIN_EJECTION: Seconds = 2
_MAX_EJECTION: Seconds = 60
_PROBES_TO_TRUST = 3


class Standing(Enum):
    """Health state of a worker."""

    TRUSTED = 'trusted'
    EJECTED = 'ejected'
    PROBATION = 'probation'


class _WorkerHealth:
    def __init__(self) -> None:
        self.failure_score: float = 0
        self.standing = Standing.TRUSTED
        self.ejected_until: Seconds = 0
        self.ejections = 0
        self.successful_probes = 0


class Ejector:
    """Tracks worker failures and ejects outliers.

    Parameters
    ----------
    max_share : float
        Largest share of the workers, 0 to 1, that may be ejected at once.

    Examples
    --------
    >>> ejector = Ejector(max_share=0.5)
    >>> for worker in ('a', 'b', 'c'):
    ...     ejector.add(WorkerId(worker))
    >>> for _ in range(8):
    ...     _ = ejector.note(WorkerId('b'), 'stack', ok=True, now=0)
    ...     _ = ejector.note(WorkerId('a'), 'stack', ok=False, now=0)
    >>> ejector.standing(WorkerId('a'), now=0)
    <Standing.EJECTED: 'ejected'>
    >>> ejector.standing(WorkerId('a'), now=60)
    <Standing.PROBATION: 'probation'>
    """

    def __init__(self, max_share: float) -> None:
        """Start without workers."""
        self.max_share = max_share
        self._health_by_worker: dict[WorkerId, _WorkerHealth] = {}
        self._failure_rate_by_origin: dict[str, float] = {}
        self._ejected: set[WorkerId] = set()

    def add(self, worker: WorkerId) -> None:
        """Register a worker as trusted, unless it is known."""
        self._health_by_worker.setdefault(worker, _WorkerHealth())

    def remove(self, worker: WorkerId) -> None:
        """Remove a worker and its history."""
        self._health_by_worker.pop(worker, None)
        self._ejected.discard(worker)

    def standing(self, worker: WorkerId, now: Seconds) -> Standing:
        """Return the state of a worker at `now`; trusted if unknown."""
        health = self._health_by_worker.get(worker)
        if health is None:
            return Standing.TRUSTED
        if health.standing is Standing.EJECTED and now >= health.ejected_until:
            health.standing = Standing.PROBATION
            health.successful_probes = 0
            self._ejected.discard(worker)
        return health.standing

    def note(
        self,
        worker: WorkerId,
        origin: str,
        *,
        ok: bool,
        now: Seconds,
    ) -> Standing:
        """Record one outcome and return the worker's state.

        Parameters
        ----------
        origin : str
            Groups work that is expected to have one failure rate.
        """
        health = self._health_by_worker.setdefault(worker, _WorkerHealth())
        failure_rate = self._failure_rate_by_origin.get(origin, 0)
        penalty = 0 if ok else 1 - failure_rate
        weight = _ORIGIN_SMOOTHING
        self._failure_rate_by_origin[origin] = failure_rate + weight * (
            (not ok) - failure_rate
        )
        health.failure_score += _SMOOTHING * (penalty - health.failure_score)
        _UPDATE_BY_STANDING[self.standing(worker, now)](
            self, worker, health, ok, now
        )
        return health.standing

    def _update_trusted(
        self,
        worker: WorkerId,
        health: _WorkerHealth,
        ok: bool,
        now: Seconds,
    ) -> None:
        max_ejected = self.max_share * len(self._health_by_worker)
        if (
            health.failure_score > _EJECTION_THRESHOLD
            and len(self._ejected) + 1 <= max_ejected
        ):
            self._eject(worker, health, now)

    def _update_probation(
        self,
        worker: WorkerId,
        health: _WorkerHealth,
        ok: bool,
        now: Seconds,
    ) -> None:
        if not ok:
            self._eject(worker, health, now)
            return
        health.successful_probes += 1
        if health.successful_probes >= _PROBES_TO_TRUST:
            health.standing = Standing.TRUSTED
            health.failure_score = 0
            health.ejections = 0

    def _update_ejected(
        self,
        worker: WorkerId,
        health: _WorkerHealth,
        ok: bool,
        now: Seconds,
    ) -> None:
        """Do nothing: results of work started earlier still arrive."""

    def _eject(
        self, worker: WorkerId, health: _WorkerHealth, now: Seconds
    ) -> None:
        duration = min(_MAX_EJECTION, _MIN_EJECTION * 2**health.ejections)
        health.ejections += 1
        health.standing = Standing.EJECTED
        health.ejected_until = now + duration
        self._ejected.add(worker)


_UPDATE_BY_STANDING = {
    Standing.TRUSTED: Ejector._update_trusted,
    Standing.PROBATION: Ejector._update_probation,
    Standing.EJECTED: Ejector._update_ejected,
}
