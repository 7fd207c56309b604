"""The workers that one pass may place on, found by the room that they have.

A cell near its limit has hundreds of workers of which few have room for a
large task, and many steps that wait. So a pass sorts the workers once, and a
step looks only at those whose free processor time is enough.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from operator import attrgetter
from typing import NamedTuple

from orchidrail.shard.colocation import may_share_worker, separation_expired
from orchidrail.shard.tracked_worker import TaskRole, TrackedWorker, role_of
from orchidrail.shard.worker_selection import matches_worker
from orchidrail.types import Seconds, ServiceName, WorkerId
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size
from orchidrail.work.step import StepState

#: Longest time for which a task that was at work, and is to be back, is held
#: back for other work: a third of the time that it may be away.
_HELD_BACK_FOR: Seconds = 2.0
#: Longest time for which work is kept off workers that rest, while half of its
#: service's room is free: each further failure there makes the rest longer.
_OFF_RESTING_FOR: Seconds = 2.0
#: Longest time for which other work is held back while half of its service's
#: room is free. It may stand still for 3 s then, a question for tickets and the
#: wait for a lane among that.
_HELD_BACK_AT_HALF_FOR: Seconds = 1.0
_HALVES = 2


class _ByRoom(NamedTuple):
    """A service's workers, those with least free processor time first."""

    tracked: list[TrackedWorker]
    free_millicores: list[int]


class CandidateWorkers:
    """The open workers of one pass.

    Parameters
    ----------
    open_books : list of TrackedWorker
        Workers that may be given new work.
    now : float
        On the owner's steady clock, seconds.
    resting : list of TrackedWorker
        Workers that rest, for steps that have waited too long for others.
    """

    def __init__(
        self,
        open_books: list[TrackedWorker],
        now: Seconds = 0,
        resting: list[TrackedWorker] | None = None,
    ) -> None:
        """Sort the workers by what is free now."""
        self._now = now
        self._resting = resting or []
        self._by_worker = {tracked.worker: tracked for tracked in open_books}
        self._kept: frozenset[WorkerId] = frozenset()
        self._suitable_by_need: dict[
            tuple[ServiceName, str],
            list[TrackedWorker],
        ] = {}
        self._capacities_by_service: dict[ServiceName, set[Size]] = {}
        self._half_free_by_service: dict[ServiceName, bool] = {}
        books_by_service: dict[ServiceName, list[TrackedWorker]] = defaultdict(
            list
        )
        for tracked in open_books:
            books_by_service[tracked.entry.service].append(tracked)
        self._by_service = {
            service: _sort_by_room(of_service)
            for service, of_service in books_by_service.items()
        }

    def reserve(self, workers: set[WorkerId]) -> None:
        """Keep workers from the steps that come after."""
        self._kept |= workers

    @property
    def reserved(self) -> frozenset[WorkerId]:
        """The workers that are kept from the steps to come."""
        return self._kept

    def overdue_since(self, step: StepState) -> Seconds | None:
        """Return since when a step waits that has been held back too long.

        It goes before other work then, and is placed on what is kept for
        others too. A task that lasts and was at work is to be back however
        full its service is; other work only while there is room.

        Returns
        -------
        None if the step may still be held back for other work.
        """
        since = step.interrupted_since()
        if since is not None and self._now - since > _HELD_BACK_FOR:
            return since
        if not self._half_free(step.job.queue.service):
            return None
        since = step.recorded_waiting_since
        if since is None:
            return None
        # What waits for its tenant's limit is not held back for other work.
        held_back_since = max(since, step.limit_reached_at)
        held_back = self._now - held_back_since > _HELD_BACK_AT_HALF_FOR
        return since if held_back else None

    def overdue(self, step: StepState) -> bool:
        """Whether a step has been held back for other work for long enough."""
        return self.overdue_since(step) is not None

    def may_use_resting(self, step: StepState) -> bool:
        """Whether a step may go to workers that rest."""
        since = self.overdue_since(step)
        return since is not None and self._now - since > _OFF_RESTING_FOR

    def of_service(self, service: ServiceName) -> list[TrackedWorker]:
        """Return all open workers of a service, also those that are kept."""
        by_room = self._by_service.get(service)
        return by_room.tracked if by_room else []

    def with_label(self, step: StepState) -> list[TrackedWorker]:
        """Return the open workers with the label that a step needs."""
        need = step.job.queue.service, step.spec.label
        found = self._suitable_by_need.get(need)
        if found is None:
            found = [
                tracked
                for tracked in self.of_service(need[0])
                if not need[1] or need[1] in tracked.entry.labels
            ]
            self._suitable_by_need[need] = found
        return found

    def unknown(self, step: StepState) -> list[TrackedWorker]:
        """Return the workers of which the service has not been asked yet."""
        unknown = self._by_worker.keys() - step.permits.checked
        if not unknown:
            return []
        return self._suitable(step, [self._by_worker[one] for one in unknown])

    def with_free_capacity(self, step: StepState) -> list[TrackedWorker]:
        """Return the workers that may run a task of a step now.

        Workers on which its tasks failed of late are left out while another
        is good. That ends by itself: the other may stay full, or hold the
        step's most copies, for as long as its tasks run.
        """
        step.failed_workers.forget_old(self._now)
        found = self._with_room(step)
        if (
            self._resting
            and self.may_use_resting(step)
            and not _hold(step, found)
        ):
            found = found + self._resting_with_room(step)
        if not found or not step.failed_workers or not self._has_other(step):
            return found
        return [
            tracked for tracked in found if not self._avoided(step, tracked)
        ]

    def max_copies(self, spec: StepSpec, service: ServiceName) -> int:
        """Return how many of a step's tasks the largest worker holds."""
        return max(
            (
                spec.charged.copies_in(capacity)
                for capacity in self._capacities(service)
            ),
            default=0,
        )

    def has_permitted(self, step: StepState) -> bool:
        """Whether an open worker is known that may run a step."""
        if step.job.queue.advice is None:
            return bool(self.with_label(step))
        return not self._by_worker.keys().isdisjoint(step.permits.permitted)

    def permitted_for(self, step: StepState) -> list[TrackedWorker]:
        """Return the usable workers known to be good, with room or without."""
        with_label = self.with_label(step)
        if step.job.queue.advice is not None:
            with_label = self._good_of(step, with_label)
        return self._suitable(step, with_label)

    def _suitable(
        self,
        step: StepState,
        found: list[TrackedWorker],
    ) -> list[TrackedWorker]:
        """Leave out those that are kept, avoided, or that can't run the step.

        The workers come by name, so that the same cell gives the same choice.
        """
        service = step.job.queue.service
        suitable = [
            tracked
            for tracked in found
            if tracked.entry.service == service
            and tracked.worker not in self._kept
            and not self._avoided(step, tracked)
            and matches_worker(step.spec, tracked)
        ]
        if role_of(step.spec) is not TaskRole.PLAIN:
            suitable = self._beside(step, suitable)
        return sorted(suitable, key=attrgetter('worker'))

    def _with_room(self, step: StepState) -> list[TrackedWorker]:
        """Return the workers with room, beside tasks that the step bears."""
        size: Size = step.spec.charged
        reserved = frozenset() if self.overdue(step) else self._kept
        found = [
            tracked
            for tracked in self._with_processor_time(step, size.millicores)
            if size.fits(tracked.free) and tracked.worker not in reserved
        ]
        if role_of(step.spec) is TaskRole.PLAIN:
            return found
        apart = [
            tracked for tracked in found if tracked.is_compatible(step.spec)
        ]
        return apart if _hold(step, apart) else self._beside(step, found)

    def _resting_with_room(self, step: StepState) -> list[TrackedWorker]:
        """Return the resting workers with room for what has waited too long."""
        advised = step.job.queue.advice is not None
        found = [
            tracked
            for tracked in self._resting
            if tracked.entry.service == step.job.queue.service
            and (not advised or tracked.worker in step.permits.permitted)
            and step.spec.charged.fits(tracked.free)
            and matches_worker(step.spec, tracked)
        ]
        return self._beside(step, found)

    def _beside(
        self,
        step: StepState,
        found: list[TrackedWorker],
    ) -> list[TrackedWorker]:
        """Leave out those beside whose tasks a step's are not put."""
        if separation_expired(step, self._now):
            return [tracked for tracked in found if self._bears(step, tracked)]
        return [
            tracked for tracked in found if tracked.is_compatible(step.spec)
        ]

    def _bears(self, step: StepState, tracked: TrackedWorker) -> bool:
        """Whether a step that waits too long is put beside what runs there."""
        return tracked.is_compatible(step.spec) or may_share_worker(
            step, tracked, self._now
        )

    def _with_processor_time(
        self,
        step: StepState,
        millicores: int,
    ) -> list[TrackedWorker]:
        """Return the workers with enough of it, by the shorter way."""
        by_room = self._by_service.get(step.job.queue.service)
        if by_room is None:
            return []
        first = bisect.bisect_left(by_room.free_millicores, millicores)
        found = by_room.tracked[first:]
        if step.job.queue.advice is not None:
            found = self._good_of(step, found)
        label = step.spec.label
        if not label:
            return found
        return [tracked for tracked in found if label in tracked.entry.labels]

    def _good_of(
        self,
        step: StepState,
        found: list[TrackedWorker],
    ) -> list[TrackedWorker]:
        good = step.permits.permitted
        if len(found) <= len(good):
            return [tracked for tracked in found if tracked.worker in good]
        service = step.job.queue.service
        by_worker = self._by_worker
        return [
            by_worker[worker]
            for worker in sorted(good & by_worker.keys())
            if by_worker[worker].entry.service == service
        ]

    def _capacities(self, service: ServiceName) -> set[Size]:
        """Return the different sizes of a service's workers."""
        found = self._capacities_by_service.get(service)
        if found is None:
            found = {
                tracked.entry.capacity for tracked in self.of_service(service)
            }
            self._capacities_by_service[service] = found
        return found

    def _half_free(self, service: ServiceName) -> bool:
        """Whether less than half of each kind of a service's room is in use."""
        found = self._half_free_by_service.get(service)
        if found is None:
            resting = [
                tracked
                for tracked in self._resting
                if tracked.entry.service == service
            ]
            found = _is_half_free(self.of_service(service) + resting)
            self._half_free_by_service[service] = found
        return found

    def _has_other(self, step: StepState) -> bool:
        """Whether a good worker is open that a step does not avoid."""
        with_label = self.with_label(step)
        if step.job.queue.advice is not None:
            with_label = self._good_of(step, with_label)
        return not all(self._avoided(step, tracked) for tracked in with_label)

    def _avoided(self, step: StepState, tracked: TrackedWorker) -> bool:
        return step.failed_workers.avoids(tracked.worker, self._now)


def may_place_on(step: StepState, tracked: TrackedWorker, now: Seconds) -> bool:
    """Whether tasks of a step may go to a worker, as far as its rest goes."""
    if tracked.accepts_work(now):
        return True
    since = step.waiting_since()
    wait_expired = since is not None and now - since > _OFF_RESTING_FOR
    return wait_expired and tracked.available


def _sort_by_room(of_service: list[TrackedWorker]) -> _ByRoom:
    ordered = sorted(of_service, key=lambda tracked: tracked.free.millicores)
    return _ByRoom(ordered, [tracked.free.millicores for tracked in ordered])


def _is_half_free(of_service: list[TrackedWorker]) -> bool:
    """Whether less than half of each kind of some workers' room is in use.

    Kind by kind, since that of a cell near its limit is told by the first.
    """
    for kind in map(attrgetter, Size._fields):
        whole = sum(kind(tracked.entry.capacity) for tracked in of_service)
        free = sum(kind(tracked.free) for tracked in of_service)
        # What is held for questions is used by nobody yet.
        free += sum(
            kind(tracked.held) for tracked in of_service if tracked.held_by_step
        )
        if whole and _HALVES * free <= whole:
            return False
    return True


def _hold(step: StepState, found: list[TrackedWorker]) -> bool:
    """Whether workers take what must start together of a step."""
    spec = step.spec
    copies = sum(
        tracked.slots_for(step.key, spec.charged, spec.most_per_worker)
        for tracked in found
    )
    at_once = spec.count if spec.gang else 1
    return copies >= at_once
