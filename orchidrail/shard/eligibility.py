"""Reports why workers are not eligible for a waiting step.

A cell may have tens of thousands of workers, and many steps that wait for long.
Whatever is the same for all steps is evaluated once, and a step examines one by
one only its permitted workers that accept work.
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

#: Maximum number of workers named that have enough free capacity.
_MAX_NAMED = 3


class IneligibleReason(Enum):
    """Why a worker is not given a task; the first that applies is reported."""

    #: It lacks the label, or is too small even when it is idle.
    UNSUITED = 'unsuited'
    #: It is quarantined: several jobs failed there, or it rejected an order.
    QUARANTINED = 'rests'
    #: It runs an isolated retry of a task that is suspected of crashes.
    ISOLATED_RETRY = 'trial'
    #: Its zone is evacuated.
    EVACUATED = 'evacuated'
    #: It accepts no work for another reason: it drains, is unresponsive or
    #: gone.
    CLOSED = 'closed'
    #: The advice service has not been asked about it.
    NOT_ASKED = 'notAsked'
    #: The advice service does not permit it for the step.
    NOT_PERMITTED = 'notPermitted'
    #: It has capacity only within the holds of other steps' advice requests.
    HELD = 'held'
    ROOM = 'room'
    #: It already runs the maximum number of the step's tasks.
    COPIES = 'copies'
    #: It runs a task of a QoS class that must not be colocated with the step.
    QOS_CLASS = 'role'
    #: It is reserved for work that goes first.
    RESERVED = 'kept'
    #: A task of the step failed there recently.
    FAILED = 'failed'
    #: Its ticket has expired.
    TICKET = 'ticket'
    NONE = 'none'


class EligibilitySummary(NamedTuple):
    """Eligibility of a service's workers for a waiting step.

    Parameters
    ----------
    count_by_reason : Counter
        Number of workers by the reason why they are not eligible.
    reason_by_idle_worker : dict
        Some of the permitted workers that have enough free capacity for a
        task of the step, in order of their names.
    held : int
        Workers with a hold for an advice request of any step.
    examined : int
        Workers that were examined one by one.
    """

    count_by_reason: Counter[IneligibleReason]
    reason_by_idle_worker: dict[WorkerId, IneligibleReason]
    held: int
    examined: int


class _CheckContext(NamedTuple):
    """Arguments of the checks of one step."""

    step: StepState
    reserved: frozenset[WorkerId]
    now: Seconds


def _is_on_hold(context: _CheckContext, tracked: TrackedWorker) -> bool:
    if not tracked.held_by_step or not _lacks_capacity(context, tracked):
        return False
    return context.step.spec.charged.fits(tracked.free + tracked.held)


def _lacks_capacity(context: _CheckContext, tracked: TrackedWorker) -> bool:
    own_hold = tracked.held_by_step.get(context.step.key)
    free = tracked.free if own_hold is None else tracked.free + own_hold
    return not context.step.spec.charged.fits(free)


def _has_max_copies(context: _CheckContext, tracked: TrackedWorker) -> bool:
    max_copies = context.step.spec.most_per_worker
    return (
        bool(max_copies)
        and tracked.count_by_step[context.step.key] >= max_copies
    )


def _lacks_ticket(context: _CheckContext, tracked: TrackedWorker) -> bool:
    step = context.step
    advised = step.job.queue.advice is not None
    return advised and not step.permits.has_valid_ticket(
        tracked.worker, context.now
    )


#: Reasons that apply to all steps.
_CHECK_BY_GENERAL_REASON: dict[
    IneligibleReason, Callable[[TrackedWorker, Seconds], bool]
] = {
    IneligibleReason.QUARANTINED: lambda tracked, now: (
        now < tracked.quarantined_until
    ),
    IneligibleReason.ISOLATED_RETRY: lambda tracked, now: bool(
        tracked.isolated_runs
    ),
    IneligibleReason.EVACUATED: lambda tracked, now: tracked.evacuated,
    IneligibleReason.CLOSED: lambda tracked, now: not tracked.accepts_work(now),
}
#: Reasons that apply to a step on a permitted worker that accepts work. Checked
#: in order: permanent reasons first, those that an advice request would resolve
#: last.
_CHECK_BY_STEP_REASON: dict[
    IneligibleReason, Callable[[_CheckContext, TrackedWorker], bool]
] = {
    IneligibleReason.HELD: _is_on_hold,
    IneligibleReason.ROOM: _lacks_capacity,
    IneligibleReason.COPIES: _has_max_copies,
    IneligibleReason.QOS_CLASS: lambda context, tracked: (
        not tracked.is_compatible(context.step.spec)
    ),
    IneligibleReason.RESERVED: lambda context, tracked: (
        tracked.worker in context.reserved
    ),
    IneligibleReason.FAILED: lambda context, tracked: (
        context.step.failed_workers.avoids(
            tracked.worker,
            context.now,
        )
    ),
    IneligibleReason.TICKET: _lacks_ticket,
}


class _WorkerGroup:
    """Workers of a service with the same capacity and labels.

    Parameters
    ----------
    capacity : Size
    labels : tuple of str
    """

    def __init__(self, capacity: Size, labels: tuple[str, ...]) -> None:
        """Create a group without workers."""
        self._capacity = capacity
        self._labels = labels
        self.accepting_by_worker: dict[WorkerId, TrackedWorker] = {}
        self.not_accepting: list[tuple[TrackedWorker, IneligibleReason]] = []

    def __len__(self) -> int:
        """Return the number of workers in the group."""
        return len(self.accepting_by_worker) + len(self.not_accepting)

    def matches_worker(self, spec: StepSpec) -> bool:
        """Whether an idle worker of the group could run a step's tasks."""
        if spec.label and spec.label not in self._labels:
            return False
        return spec.charged.fits(self._capacity)

    def add(self, tracked: TrackedWorker, now: Seconds) -> None:
        """Add a worker, with the reason if it accepts no work."""
        if tracked.accepts_work(now):
            self.accepting_by_worker[tracked.worker] = tracked
            return
        general_reason = next(
            reason
            for reason, applies in _CHECK_BY_GENERAL_REASON.items()
            if applies(tracked, now)
        )
        self.not_accepting.append((tracked, general_reason))


class FleetEligibility:
    """Determines why workers are not eligible for steps.

    Parameters
    ----------
    workers : iterable of TrackedWorker
        Workers of all services.
    reserved : frozenset of str
        Workers that are reserved for some steps.
    now : float
        On the owner's monotonic clock, seconds.
    """

    def __init__(
        self,
        workers: Iterable[TrackedWorker],
        reserved: frozenset[WorkerId],
        now: Seconds,
    ) -> None:
        """Store the arguments; workers are examined on first use."""
        self._workers = workers
        self._reserved = reserved
        self._now = now

    def summarize(self, step: StepState) -> EligibilitySummary:
        """Return the eligibility of a service's workers for a step."""
        service = step.job.queue.service
        counts: Counter[IneligibleReason] = Counter()
        idle: dict[WorkerId, IneligibleReason] = {}
        examined = 0
        context = _CheckContext(step, self._reserved, self._now)
        for group in self._groups_by_service[service]:
            if not group.matches_worker(step.spec):
                counts[IneligibleReason.UNSUITED] += len(group)
                continue
            counts.update(
                general_reason for _, general_reason in group.not_accepting
            )
            idle.update(_idle_not_accepting(step, group))
            permitted = _permitted(step, group, counts)
            examined += len(permitted)
            for tracked in permitted:
                reason = _find_reason(context, tracked)
                counts[reason] += 1
                if reason is not IneligibleReason.ROOM:
                    idle[tracked.worker] = reason
        named = heapq.nsmallest(_MAX_NAMED, idle.items(), key=itemgetter(0))
        held = self._held_by_service[service]
        return EligibilitySummary(+counts, dict(named), held, examined)

    @cached_property
    def _groups_by_service(
        self,
    ) -> defaultdict[ServiceName, list[_WorkerGroup]]:
        group_by_key: dict[
            tuple[ServiceName, Size, tuple[str, ...]],
            _WorkerGroup,
        ] = {}
        for tracked in self._workers:
            entry = tracked.entry
            key = entry.service, entry.capacity, entry.labels
            group = group_by_key.get(key)
            if group is None:
                group = _WorkerGroup(entry.capacity, entry.labels)
                group_by_key[key] = group
            group.add(tracked, self._now)
        groups_by_service: defaultdict[ServiceName, list[_WorkerGroup]] = (
            defaultdict(list)
        )
        for (service, _, _), group in group_by_key.items():
            groups_by_service[service].append(group)
        return groups_by_service

    @cached_property
    def _held_by_service(self) -> Counter[ServiceName]:
        return Counter(
            tracked.entry.service
            for tracked in self._workers
            if tracked.held_by_step
        )


def _find_reason(
    context: _CheckContext, tracked: TrackedWorker
) -> IneligibleReason:
    for reason, applies in _CHECK_BY_STEP_REASON.items():
        if applies(context, tracked):
            return reason
    return IneligibleReason.NONE


def _permitted(
    step: StepState,
    group: _WorkerGroup,
    counts: Counter[IneligibleReason],
) -> list[TrackedWorker]:
    """Return permitted workers that accept work, count the others."""
    accepting_by_worker = group.accepting_by_worker
    if step.job.queue.advice is None:
        return list(accepting_by_worker.values())
    permits = step.permits
    permitted_ids = accepting_by_worker.keys() & permits.permitted
    not_asked = len(accepting_by_worker.keys() - permits.checked)
    counts[IneligibleReason.NOT_ASKED] += not_asked
    counts[IneligibleReason.NOT_PERMITTED] += (
        len(accepting_by_worker) - not_asked - len(permitted_ids)
    )
    return [accepting_by_worker[worker] for worker in permitted_ids]


def _idle_not_accepting(
    step: StepState,
    group: _WorkerGroup,
) -> Iterator[tuple[WorkerId, IneligibleReason]]:
    """Yield permitted workers with capacity that accept no work."""
    advised = step.job.queue.advice is not None
    for tracked, general_reason in group.not_accepting:
        if advised and tracked.worker not in step.permits.permitted:
            continue
        if step.spec.charged.fits(tracked.free + tracked.held):
            yield tracked.worker, general_reason
