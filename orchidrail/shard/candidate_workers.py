"""Candidate workers of one placement pass, indexed by free capacity.

Near full load, few of hundreds of workers have enough free capacity for a large
task, while many steps wait. So a pass sorts the workers once, and a step
examines only those with enough free processor time.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from operator import attrgetter
from typing import NamedTuple

from orchidrail.shard.colocation import may_share_worker, separation_expired
from orchidrail.shard.tracked_worker import (
    QosClass,
    TrackedWorker,
    qos_class_of,
)
from orchidrail.shard.worker_selection import matches_worker
from orchidrail.types import Seconds, ServiceName, WorkerId
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size
from orchidrail.work.step import StepState

#: Maximum time for which an interrupted long-running task is deferred for other
#: work: a third of the time that it may be interrupted.
_MAX_INTERRUPTED_DEFERRAL: Seconds = 2.0
#: Maximum time for which work is kept off quarantined workers while half of its
#: service's capacity is free. Each further failure on a worker extends its
#: quarantine, so the wait would have no bound without this.
_MAX_QUARANTINE_AVOIDANCE: Seconds = 2.0
#: Maximum time for which other work is deferred while half of its service's
#: capacity is free. It may then make no progress for 3 s, which includes an
#: advice request and the wait for a lane.
_MAX_DEFERRAL: Seconds = 1.0
_HALVES = 2


class _ByFreeCapacity(NamedTuple):
    """Workers of a service, in ascending order of free processor time."""

    tracked: list[TrackedWorker]
    free_millicores: list[int]


class CandidateWorkers:
    """Workers that one placement pass may use.

    Parameters
    ----------
    accepting : list of TrackedWorker
        Workers that accept work.
    now : float
        On the owner's monotonic clock, seconds.
    quarantined : list of TrackedWorker
        Quarantined workers, for overdue steps without another choice.
    closed : list of TrackedWorker
        Other workers in service: they accept no work now, but their free
        capacity shows how much of their service is in use.
    """

    def __init__(
        self,
        accepting: list[TrackedWorker],
        now: Seconds = 0,
        quarantined: list[TrackedWorker] | None = None,
        closed: list[TrackedWorker] | None = None,
    ) -> None:
        """Sort the workers by their free processor time."""
        self._now = now
        self._quarantined = quarantined or []
        self._closed = closed or []
        self._tracked_by_worker = {
            tracked.worker: tracked for tracked in accepting
        }
        self._reserved: frozenset[WorkerId] = frozenset()
        self._with_label_by_need: dict[
            tuple[ServiceName, str],
            list[TrackedWorker],
        ] = {}
        self._capacities_by_service: dict[ServiceName, set[Size]] = {}
        self._half_free_by_service: dict[ServiceName, bool] = {}
        self._overdue_since_by_step: dict[str, Seconds | None] = {}
        tracked_by_service: dict[ServiceName, list[TrackedWorker]] = (
            defaultdict(list)
        )
        for tracked in accepting:
            tracked_by_service[tracked.entry.service].append(tracked)
        self._by_service = {
            service: _sort_by_free_capacity(of_service)
            for service, of_service in tracked_by_service.items()
        }

    def reserve(self, workers: set[WorkerId]) -> None:
        """Reserve workers: later steps of the pass can't use them."""
        self._reserved |= workers

    @property
    def reserved(self) -> frozenset[WorkerId]:
        """Workers that later steps of the pass can't use."""
        return self._reserved

    def overdue_since(self, step: StepState) -> Seconds | None:
        """Return since when an overdue step has waited.

        An overdue step goes before other work, and may use reserved workers. An
        interrupted long-running task becomes overdue however full its service
        is; other work only while half of the capacity is free.

        Returns
        -------
        None if the step may still be deferred for other work.
        """
        try:
            return self._overdue_since_by_step[step.key]
        except KeyError:
            since = self._find_overdue_since(step)
            self._overdue_since_by_step[step.key] = since
            return since

    def note_limit_reached(self, step: StepState) -> None:
        """Record that its tenant's limit prevents a step from starting."""
        step.limit_reached_at = self._now
        self._overdue_since_by_step.pop(step.key, None)

    def _find_overdue_since(self, step: StepState) -> Seconds | None:
        since = step.interrupted_since()
        if since is not None and self._now - since > _MAX_INTERRUPTED_DEFERRAL:
            return since
        if not self._half_free(step.job.queue.service):
            return None
        since = step.recorded_waiting_since
        if since is None:
            return None
        # Time spent waiting for the tenant's limit is not a deferral.
        deferred_since = max(since, step.limit_reached_at)
        deferred = self._now - deferred_since > _MAX_DEFERRAL
        return since if deferred else None

    def overdue(self, step: StepState) -> bool:
        """Whether a step has been deferred for the maximum time."""
        return self.overdue_since(step) is not None

    def may_use_quarantined(self, step: StepState) -> bool:
        """Whether a step may use quarantined workers."""
        since = self.overdue_since(step)
        return (
            since is not None and self._now - since > _MAX_QUARANTINE_AVOIDANCE
        )

    def of_service(self, service: ServiceName) -> list[TrackedWorker]:
        """Return all candidates of a service, also reserved ones."""
        by_free_capacity = self._by_service.get(service)
        return by_free_capacity.tracked if by_free_capacity else []

    def with_label(self, step: StepState) -> list[TrackedWorker]:
        """Return the candidates with the label that a step needs."""
        key = step.job.queue.service, step.spec.label
        found = self._with_label_by_need.get(key)
        if found is None:
            found = [
                tracked
                for tracked in self.of_service(key[0])
                if not key[1] or key[1] in tracked.entry.labels
            ]
            self._with_label_by_need[key] = found
        return found

    def find(self, workers: frozenset[WorkerId]) -> list[TrackedWorker]:
        """Return those of some workers that are candidates."""
        by_worker = self._tracked_by_worker
        return [by_worker[one] for one in workers if one in by_worker]

    def unchecked(self, step: StepState) -> list[TrackedWorker]:
        """Return workers that the advice service was not asked about."""
        if self._tracked_by_worker.keys() <= step.permits.checked:
            return []
        unchecked = self._tracked_by_worker.keys() - step.permits.checked
        return self._usable(
            step, [self._tracked_by_worker[one] for one in unchecked]
        )

    def with_free_capacity(self, step: StepState) -> list[TrackedWorker]:
        """Return the workers that may run a task of a step now.

        Workers on which its tasks failed recently are left out while another
        permitted worker exists. The exclusion expires: the other worker may be
        full, or hold the maximum number of the step's tasks, for as long as
        these run.
        """
        step.failed_workers.forget_old(self._now)
        found = self._find_with_capacity(step)
        if (
            self._quarantined
            and self.may_use_quarantined(step)
            and not _can_start_on(step, found)
        ):
            found = found + self._quarantined_with_capacity(step)
        if (
            not found
            or not step.failed_workers
            or not self._has_unavoided(step)
        ):
            return found
        return [
            tracked for tracked in found if not self._is_avoided(step, tracked)
        ]

    def has_capacity(self, step: StepState) -> bool:
        """Whether any worker has capacity, also one that is avoided."""
        return bool(self._find_with_capacity(step))

    def max_copies(self, spec: StepSpec, service: ServiceName) -> int:
        """Return how many of a step's tasks fit on the largest worker."""
        return max(
            (
                spec.charged.copies_in(capacity)
                for capacity in self._capacities(service)
            ),
            default=0,
        )

    def has_permitted(self, step: StepState) -> bool:
        """Whether a candidate is known to be permitted for a step."""
        if step.job.queue.advice is None:
            return bool(self.with_label(step))
        return not self._tracked_by_worker.keys().isdisjoint(
            step.permits.permitted
        )

    def permitted_for(self, step: StepState) -> list[TrackedWorker]:
        """Return usable permitted workers, with or without capacity."""
        with_label = self.with_label(step)
        if step.job.queue.advice is not None:
            with_label = self._permitted_among(step, with_label)
        return self._usable(step, with_label)

    def _usable(
        self,
        step: StepState,
        found: list[TrackedWorker],
    ) -> list[TrackedWorker]:
        """Filter out workers that are reserved, avoided or unsuitable.

        The result is sorted by worker name, so that the choice is
        deterministic.
        """
        service = step.job.queue.service
        suitable = [
            tracked
            for tracked in found
            if tracked.entry.service == service
            and tracked.worker not in self._reserved
            and not self._is_avoided(step, tracked)
            and matches_worker(step.spec, tracked)
        ]
        if qos_class_of(step.spec) is not QosClass.PLAIN:
            suitable = self._filter_colocatable(step, suitable)
        return sorted(suitable, key=attrgetter('worker'))

    def _find_with_capacity(self, step: StepState) -> list[TrackedWorker]:
        """Return workers with free capacity and compatible tasks."""
        size: Size = step.spec.charged
        reserved = frozenset() if self.overdue(step) else self._reserved
        found = [
            tracked
            for tracked in self._with_processor_time(step, size.millicores)
            if size.fits(tracked.free) and tracked.worker not in reserved
        ]
        if qos_class_of(step.spec) is QosClass.PLAIN:
            return found
        compatible = [
            tracked for tracked in found if tracked.is_compatible(step.spec)
        ]
        return (
            compatible
            if _can_start_on(step, compatible)
            else self._filter_colocatable(step, found)
        )

    def _quarantined_with_capacity(
        self, step: StepState
    ) -> list[TrackedWorker]:
        """Return quarantined workers with capacity for an overdue step."""
        advised = step.job.queue.advice is not None
        found = [
            tracked
            for tracked in self._quarantined
            if tracked.entry.service == step.job.queue.service
            and (not advised or tracked.worker in step.permits.permitted)
            and step.spec.charged.fits(tracked.free)
            and matches_worker(step.spec, tracked)
        ]
        return self._filter_colocatable(step, found)

    def _filter_colocatable(
        self,
        step: StepState,
        found: list[TrackedWorker],
    ) -> list[TrackedWorker]:
        """Filter out workers with tasks that may not be colocated."""
        if separation_expired(step, self._now):
            return [
                tracked
                for tracked in found
                if self._may_colocate(step, tracked)
            ]
        return [
            tracked for tracked in found if tracked.is_compatible(step.spec)
        ]

    def _may_colocate(self, step: StepState, tracked: TrackedWorker) -> bool:
        """Whether tasks of an overdue step may be colocated there."""
        return tracked.is_compatible(step.spec) or may_share_worker(
            step, tracked, self._now
        )

    def _with_processor_time(
        self,
        step: StepState,
        millicores: int,
    ) -> list[TrackedWorker]:
        """Return workers that may have enough free processor time.

        If fewer workers are permitted than have enough, all permitted ones are
        returned: the caller compares their free capacity.
        """
        by_free_capacity = self._by_service.get(step.job.queue.service)
        if by_free_capacity is None:
            return []
        first = bisect.bisect_left(by_free_capacity.free_millicores, millicores)
        found = by_free_capacity.tracked[first:]
        if step.job.queue.advice is not None:
            found = self._permitted_among(step, found)
        label = step.spec.label
        if not label:
            return found
        return [tracked for tracked in found if label in tracked.entry.labels]

    def _permitted_among(
        self,
        step: StepState,
        found: list[TrackedWorker],
    ) -> list[TrackedWorker]:
        permitted_ids = step.permits.permitted
        if len(found) <= len(permitted_ids):
            return [
                tracked for tracked in found if tracked.worker in permitted_ids
            ]
        service = step.job.queue.service
        by_worker = self._tracked_by_worker
        return [
            by_worker[worker]
            for worker in sorted(permitted_ids & by_worker.keys())
            if by_worker[worker].entry.service == service
        ]

    def _capacities(self, service: ServiceName) -> set[Size]:
        """Return the distinct capacities of a service's workers."""
        found = self._capacities_by_service.get(service)
        if found is None:
            found = {
                tracked.entry.capacity for tracked in self.of_service(service)
            }
            self._capacities_by_service[service] = found
        return found

    def _half_free(self, service: ServiceName) -> bool:
        """Whether less than half of each resource of a service is in use."""
        found = self._half_free_by_service.get(service)
        if found is None:
            others = [
                tracked
                for tracked in self._quarantined + self._closed
                if tracked.entry.service == service
            ]
            found = _is_half_free(self.of_service(service) + others)
            self._half_free_by_service[service] = found
        return found

    def _has_unavoided(self, step: StepState) -> bool:
        """Whether a step has a permitted worker that it does not avoid."""
        with_label = self.with_label(step)
        if step.job.queue.advice is not None:
            with_label = self._permitted_among(step, with_label)
        return not all(
            self._is_avoided(step, tracked) for tracked in with_label
        )

    def _is_avoided(self, step: StepState, tracked: TrackedWorker) -> bool:
        return step.failed_workers.avoids(tracked.worker, self._now)


def may_place_on(step: StepState, tracked: TrackedWorker, now: Seconds) -> bool:
    """Whether a step's tasks may start on a worker, quarantined or not."""
    if tracked.accepts_work(now):
        return True
    since = step.waiting_since()
    wait_expired = since is not None and now - since > _MAX_QUARANTINE_AVOIDANCE
    return wait_expired and tracked.available


def _sort_by_free_capacity(of_service: list[TrackedWorker]) -> _ByFreeCapacity:
    ordered = sorted(of_service, key=lambda tracked: tracked.free.millicores)
    return _ByFreeCapacity(
        ordered, [tracked.free.millicores for tracked in ordered]
    )


def _is_half_free(of_service: list[TrackedWorker]) -> bool:
    """Whether less than half of each resource of some workers is used.

    Resources are compared one by one, since a cell is near its limit as soon as
    one of them is.
    """
    for resource in map(attrgetter, Size._fields):
        total = sum(resource(tracked.entry.capacity) for tracked in of_service)
        free = sum(resource(tracked.free) for tracked in of_service)
        # Capacity on hold for advice requests is not in use yet.
        free += sum(
            resource(tracked.held)
            for tracked in of_service
            if tracked.held_by_step
        )
        if total and _HALVES * free <= total:
            return False
    return True


def _can_start_on(step: StepState, found: list[TrackedWorker]) -> bool:
    """Whether workers have capacity for a step's minimum unit.

    The unit is the whole step for a gang, otherwise one task.
    """
    spec = step.spec
    copies = sum(
        tracked.slots_for(step.key, spec.charged, spec.most_per_worker)
        for tracked in found
    )
    at_once = spec.count if spec.gang else 1
    return copies >= at_once
