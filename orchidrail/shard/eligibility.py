"""What keeps each worker from taking a task of a step that waits.

A cell may have tens of thousands of workers, and many steps that wait for long.
What is the same for all steps is found out once for all of them, and a step
looks one by one only at the open workers that are permitted for it.
"""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from enum import Enum
from functools import cached_property
from operator import itemgetter
from typing import NamedTuple

from orchidrail.shard.tracked_worker import TrackedWorker
from orchidrail.types import Seconds, ServiceName, WorkerId
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size
from orchidrail.work.step import StepState

#: Workers with room that are named.
_MOST_NAMED = 3


class IneligibleReason(Enum):
    """Why a worker is not given a task; the first that holds is told."""

    #: It is of another kind, or too small even when it is idle.
    UNSUITED = 'unsuited'
    #: Job after job failed there, or it refused an order.
    RESTS = 'rests'
    #: A task that may end its workers is tried there.
    TRIAL = 'trial'
    #: It takes no new work for another reason: it drains, is silent or gone.
    CLOSED = 'closed'
    #: The advice service has not been asked about it.
    NOT_ASKED = 'notAsked'
    #: The advice service has said that it may not run the step.
    NOT_PERMITTED = 'notPermitted'
    #: It has room only in what is held for the questions of other steps.
    HELD = 'held'
    ROOM = 'room'
    #: It has as many tasks of the step as one worker may.
    COPIES = 'copies'
    #: A task there must not be beside one of this step.
    ROLE = 'role'
    #: It is kept for work that goes first.
    KEPT = 'kept'
    #: A task of the step failed there.
    FAILED = 'failed'
    #: Its ticket has run out.
    TICKET = 'ticket'
    NONE = 'none'


class EligibilitySummary(NamedTuple):
    """What the workers of a service are to a step that waits.

    Parameters
    ----------
    count_by_reason : Counter
        All workers by what keeps them from the step.
    reason_by_idle_worker : dict
        Some of the permitted workers that run too little to be full for a task
        of the step, in order of their names.
    held : int
        Workers with room held for the question of any step.
    examined : int
        Workers that were looked at one by one.
    """

    count_by_reason: Counter[IneligibleReason]
    reason_by_idle_worker: dict[WorkerId, IneligibleReason]
    held: int
    examined: int


class _Sight(NamedTuple):
    """What an obstacle is seen by."""

    step: StepState
    reserved: frozenset[WorkerId]
    now: Seconds


def _is_held(sight: _Sight, tracked: TrackedWorker) -> bool:
    if not tracked.held_by_step or not _has_no_room(sight, tracked):
        return False
    return sight.step.spec.charged.fits(tracked.free + tracked.held)


def _has_no_room(sight: _Sight, tracked: TrackedWorker) -> bool:
    own = tracked.held_by_step.get(sight.step.key)
    free = tracked.free if own is None else tracked.free + own
    return not sight.step.spec.charged.fits(free)


def _has_most_copies(sight: _Sight, tracked: TrackedWorker) -> bool:
    most = sight.step.spec.most_per_worker
    return bool(most) and tracked.count_by_step[sight.step.key] >= most


def _has_no_ticket(sight: _Sight, tracked: TrackedWorker) -> bool:
    step = sight.step
    advised = step.job.queue.advice is not None
    return advised and not step.permits.has_valid_ticket(
        tracked.worker, sight.now
    )


#: What keeps a worker from all steps.
_TEST_BY_CLOSING: dict[
    IneligibleReason, Callable[[TrackedWorker, Seconds], bool]
] = {
    IneligibleReason.RESTS: lambda tracked, now: (
        now < tracked.quarantined_until
    ),
    IneligibleReason.TRIAL: lambda tracked, now: bool(tracked.isolated_runs),
    IneligibleReason.CLOSED: lambda tracked, now: not tracked.accepts_work(now),
}
#: What keeps an open and permitted worker from a step. In order: what holds for
#: good first, what a question would end last.
_TEST_BY_OBSTACLE: dict[
    IneligibleReason, Callable[[_Sight, TrackedWorker], bool]
] = {
    IneligibleReason.HELD: _is_held,
    IneligibleReason.ROOM: _has_no_room,
    IneligibleReason.COPIES: _has_most_copies,
    IneligibleReason.ROLE: lambda sight, tracked: (
        not tracked.is_compatible(sight.step.spec)
    ),
    IneligibleReason.KEPT: lambda sight, tracked: (
        tracked.worker in sight.reserved
    ),
    IneligibleReason.FAILED: lambda sight, tracked: (
        sight.step.failed_workers.avoids(
            tracked.worker,
            sight.now,
        )
    ),
    IneligibleReason.TICKET: _has_no_ticket,
}


class _Kind:
    """Workers of a service that are alike: of one size, with the same labels.

    Parameters
    ----------
    capacity : Size
    labels : tuple of str
    """

    def __init__(self, capacity: Size, labels: tuple[str, ...]) -> None:
        """Start without workers."""
        self._capacity = capacity
        self._labels = labels
        self.open_by_worker: dict[WorkerId, TrackedWorker] = {}
        self.closed: list[tuple[TrackedWorker, IneligibleReason]] = []

    def __len__(self) -> int:
        """Return how many workers are of the kind."""
        return len(self.open_by_worker) + len(self.closed)

    def matches_worker(self, spec: StepSpec) -> bool:
        """Whether an idle worker of the kind could run a step's tasks."""
        if spec.label and spec.label not in self._labels:
            return False
        return spec.charged.fits(self._capacity)

    def add(self, tracked: TrackedWorker, now: Seconds) -> None:
        """Add a worker, with what closes it if anything does."""
        if tracked.accepts_work(now):
            self.open_by_worker[tracked.worker] = tracked
            return
        closing = next(
            obstacle
            for obstacle, holds in _TEST_BY_CLOSING.items()
            if holds(tracked, now)
        )
        self.closed.append((tracked, closing))


class FleetEligibility:
    """Tells what keeps workers from steps.

    Parameters
    ----------
    every : iterable of TrackedWorker
        Workers of all services.
    reserved : frozenset of str
        Workers that are kept for some steps.
    now : float
        On the owner's steady clock, seconds.
    """

    def __init__(
        self,
        every: Iterable[TrackedWorker],
        reserved: frozenset[WorkerId],
        now: Seconds,
    ) -> None:
        """Look at no worker yet."""
        self._every = every
        self._kept = reserved
        self._now = now

    def of(self, step: StepState) -> EligibilitySummary:
        """Return what keeps each worker of a step's service from it."""
        service = step.job.queue.service
        counts: Counter[IneligibleReason] = Counter()
        idle: dict[WorkerId, IneligibleReason] = {}
        examined = 0
        sight = _Sight(step, self._kept, self._now)
        for kind in self._kinds_by_service[service]:
            if not kind.matches_worker(step.spec):
                counts[IneligibleReason.UNSUITED] += len(kind)
                continue
            counts.update(closing for _, closing in kind.closed)
            idle.update(_idle_of_closed(step, kind))
            permitted = _permitted(step, kind, counts)
            examined += len(permitted)
            for tracked in permitted:
                obstacle = _obstacle(sight, tracked)
                counts[obstacle] += 1
                if obstacle is not IneligibleReason.ROOM:
                    idle[tracked.worker] = obstacle
        named = heapq.nsmallest(_MOST_NAMED, idle.items(), key=itemgetter(0))
        held = self._held_by_service[service]
        return EligibilitySummary(+counts, dict(named), held, examined)

    @cached_property
    def _kinds_by_service(self) -> defaultdict[ServiceName, list[_Kind]]:
        kind_by_need: dict[
            tuple[ServiceName, Size, tuple[str, ...]],
            _Kind,
        ] = {}
        for tracked in self._every:
            entry = tracked.entry
            need = entry.service, entry.capacity, entry.labels
            kind = kind_by_need.get(need)
            if kind is None:
                kind = _Kind(entry.capacity, entry.labels)
                kind_by_need[need] = kind
            kind.add(tracked, self._now)
        kinds_by_service: defaultdict[ServiceName, list[_Kind]] = defaultdict(
            list
        )
        for (service, _, _), kind in kind_by_need.items():
            kinds_by_service[service].append(kind)
        return kinds_by_service

    @cached_property
    def _held_by_service(self) -> Counter[ServiceName]:
        return Counter(
            tracked.entry.service
            for tracked in self._every
            if tracked.held_by_step
        )


def _obstacle(sight: _Sight, tracked: TrackedWorker) -> IneligibleReason:
    for obstacle, holds in _TEST_BY_OBSTACLE.items():
        if holds(sight, tracked):
            return obstacle
    return IneligibleReason.NONE


def _permitted(
    step: StepState,
    kind: _Kind,
    counts: Counter[IneligibleReason],
) -> list[TrackedWorker]:
    """Return the open workers that are permitted, and count the others."""
    open_by_worker = kind.open_by_worker
    if step.job.queue.advice is None:
        return list(open_by_worker.values())
    permits = step.permits
    good = open_by_worker.keys() & permits.permitted
    not_asked = len(open_by_worker.keys() - permits.checked)
    counts[IneligibleReason.NOT_ASKED] += not_asked
    counts[IneligibleReason.NOT_PERMITTED] += (
        len(open_by_worker) - not_asked - len(good)
    )
    return [open_by_worker[worker] for worker in good]


def _idle_of_closed(
    step: StepState,
    kind: _Kind,
) -> Iterator[tuple[WorkerId, IneligibleReason]]:
    """Yield the closed workers that are permitted and not full."""
    advised = step.job.queue.advice is not None
    for tracked, closing in kind.closed:
        if advised and tracked.worker not in step.permits.permitted:
            continue
        if step.spec.charged.fits(tracked.free + tracked.held):
            yield tracked.worker, closing
