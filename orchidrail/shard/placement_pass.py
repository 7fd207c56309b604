"""State of one placement pass, and what carries over to the next one."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from orchidrail.shard.candidate_workers import CandidateWorkers
from orchidrail.shard.headroom import Headroom
from orchidrail.shard.ranking import Rank, Timing, overdue_rank
from orchidrail.shard.reservations import (
    choose_reserved_workers,
    half_in_use,
    needs_reservation,
)
from orchidrail.shard.tracked_worker import (
    QosClass,
    TrackedWorker,
    qos_class_of,
)
from orchidrail.types import (
    JobId,
    Seconds,
    ServiceName,
    TenantId,
    WorkerId,
)
from orchidrail.work.size import Size
from orchidrail.work.step import StepState, Task
from orchidrail.work.wait_times import WaitReason

#: Maximum number of steps with reserved workers, highest rank first.
_MAX_RESERVING_STEPS = 2
#: How long a choice of reserved workers is used. With hundreds of workers a run
#: ends every few ms, and each choice examines all running tasks.
_RESERVATION_DURATION: Seconds = 0.1
#: Maximum time for which a blocked step is skipped. It limits the damage if a
#: change that would unblock the step goes undetected, and is a sixth of the 3 s
#: for which work may make no progress.
_MAX_SKIP_DURATION: Seconds = 0.5


class _BlockingConditions(NamedTuple):
    """Conditions under which a step found no free capacity.

    The step stays blocked while they hold.
    """

    checked: int
    permitted: int
    calls_in_flight: int
    #: Whether the step was overdue, and whether it could use quarantined
    #: workers.
    overdue: bool
    may_use_quarantined: bool


class WaitingStep:
    """A step with startable tasks.

    Near full load, many steps wait for capacity, and in each pass only a few
    workers have more free capacity than before. A step that found none is
    examined again only if one of its permitted workers has more or is no longer
    reserved, if it may request advice, or if another of the blocking conditions
    has changed.
    """

    def __init__(
        self,
        timing: Timing,
        step: StepState,
        tasks: list[Task],
    ) -> None:
        """Create a step that has not been examined yet."""
        self.timing = timing
        self.step = step
        self.tasks = tasks
        self._blocked: _BlockingConditions | None = None
        self._blocked_until: Seconds = 0
        #: Reserved workers that the step could not use when it was examined.
        self._reserved_by_others: frozenset[WorkerId] = frozenset()
        #: Whether it was not examined against all workers.
        self._has_unchecked = False
        self._rank: Rank = (0,)
        self._reserved: set[WorkerId] = set()
        self._reserved_until: Seconds = 0

    def has_slack(self, this_pass: PlacementPass) -> bool:
        """Whether the step can leave the headroom to urgent work.

        The estimate of a long-running task says how long it may run, not how
        long it may wait.
        """
        if not self.timing.has_slack(this_pass.wall):
            return False
        return not this_pass.workers.overdue(self.step)

    def rank(self, this_pass: PlacementPass) -> Rank:
        """Return the rank of the step in a pass; the lowest goes first.

        Work over its tenant's fair share stays behind work within the share, no
        matter how long it has waited.
        """
        self._rank = self.timing.rank(this_pass.wall)
        if self.timing.over_share:
            return self._rank
        since = this_pass.workers.overdue_since(self.step)
        if since is not None:
            self._rank = min(self._rank, overdue_rank(since))
        return self._rank

    def blocked(self, this_pass: PlacementPass) -> bool:
        """Whether the step is known to find no free capacity now.

        It is called in each pass, as `this_pass` has only the changes since the
        last one.
        """
        if not self._still_blocked(this_pass):
            self._blocked = None
        return self._blocked is not None

    def _still_blocked(self, this_pass: PlacementPass) -> bool:
        reserved_before = self._reserved_by_others
        self._reserved_by_others = this_pass.workers.reserved
        if self._blocked is None or this_pass.now >= self._blocked_until:
            return False
        if self._blocked != self._blocking_conditions(this_pass):
            return False
        released = reserved_before - self._reserved_by_others
        changed = this_pass.with_more_free + this_pass.workers.find(released)
        return not (
            self._fits_any(changed)
            or self._may_request_advice(changed, this_pass)
        )

    def mark_blocked(self, this_pass: PlacementPass) -> None:
        """Record that none of the step's tasks found capacity.

        A step is still examined in each pass if something that the blocking
        conditions do not cover may unblock it: a worker other than those on
        which it failed, capacity beside tasks of another QoS class.
        """
        step = self.step
        self._has_unchecked = this_pass.has_unchecked(step)
        examined_anyway = (
            qos_class_of(step.spec) is not QosClass.PLAIN
            or (
                self._has_unchecked
                and this_pass.accepts_request(self._rank, step)
            )
            or (step.failed_workers and this_pass.workers.has_capacity(step))
        )
        if not examined_anyway:
            self._blocked = self._blocking_conditions(this_pass)
            self._blocked_until = this_pass.now + _MAX_SKIP_DURATION

    def _fits_any(self, changed: list[TrackedWorker]) -> bool:
        """Whether a permitted worker has capacity for one of the tasks."""
        size = self.step.spec.charged
        advised = self.step.job.queue.advice is not None
        permitted_ids = self.step.permits.permitted
        return any(
            size.fits(tracked.free)
            for tracked in changed
            if not advised or tracked.worker in permitted_ids
        )

    def _may_request_advice(
        self,
        changed: list[TrackedWorker],
        this_pass: PlacementPass,
    ) -> bool:
        """Whether a request about unchecked workers would be sent now."""
        permits = self.step.permits
        if self.step.job.queue.advice is None:
            return False
        self._has_unchecked = self._has_unchecked or any(
            tracked.worker not in permits.checked for tracked in changed
        )
        if not self._has_unchecked or permits.calls_in_flight:
            return False
        return this_pass.accepts_request(self._rank, self.step)

    def choose_reserved_workers(
        self, missing: int, this_pass: PlacementPass
    ) -> set[WorkerId]:
        """Return the workers to reserve, chosen again when outdated."""
        if this_pass.now >= self._reserved_until:
            candidates = this_pass.workers.permitted_for(self.step)
            self._reserved = choose_reserved_workers(
                self.step,
                missing,
                candidates,
                this_pass.now,
            )
            self._reserved_until = this_pass.now + _RESERVATION_DURATION
        return self._reserved

    def _blocking_conditions(
        self, this_pass: PlacementPass
    ) -> _BlockingConditions:
        permits = self.step.permits
        return _BlockingConditions(
            len(permits.checked),
            len(permits.permitted),
            permits.calls_in_flight,
            this_pass.workers.overdue(self.step),
            this_pass.workers.may_use_quarantined(self.step),
        )


def _accept_request(rank: Rank, step: StepState) -> bool:
    """Accept any advice request."""
    return True


class FreeCapacitySnapshot:
    """Free capacity of each worker at the end of the last pass."""

    def __init__(self) -> None:
        """Create an empty snapshot."""
        self._free_by_worker: dict[WorkerId, Size] = {}

    def with_more_free(
        self, accepting: list[TrackedWorker]
    ) -> list[TrackedWorker]:
        """Return workers that are new or have more free capacity."""
        before = self._free_by_worker
        return [
            tracked
            for tracked in accepting
            if tracked.worker not in before
            or not tracked.free.fits(before[tracked.worker])
        ]

    def update(self, accepting: list[TrackedWorker]) -> None:
        """Record the free capacity at the end of a pass."""
        self._free_by_worker = {
            tracked.worker: tracked.free for tracked in accepting
        }

    def lower(self, accepting: list[TrackedWorker]) -> None:
        """Record less free capacity after a pass over some of the steps.

        What has become free since the last full pass is still more than before
        for the other steps.
        """
        for tracked in accepting:
            before = self._free_by_worker.get(tracked.worker)
            if before is not None:
                lower = Size(*map(min, before, tracked.free))
                self._free_by_worker[tracked.worker] = lower


class PlacementPass:
    """Capacity that is left in one placement pass, and its findings."""

    def __init__(
        self,
        accepting: list[TrackedWorker],
        now: Seconds,
        wall: Seconds,
        headroom: Headroom,
        with_more_free: list[TrackedWorker],
        quarantined: list[TrackedWorker],
        closed: list[TrackedWorker] | None = None,
        accepts_request: Callable[[Rank, StepState], bool] = _accept_request,
    ) -> None:
        """Start with all workers in service; see `CandidateWorkers`."""
        self.accepting = accepting
        self.quarantined = quarantined
        self.with_more_free = with_more_free
        #: Whether another advice request of a step would be sent.
        self.accepts_request = accepts_request
        self.now = now
        self.wall = wall
        self.workers = CandidateWorkers(accepting, now, quarantined, closed)
        self.reason_by_job: dict[JobId, WaitReason] = {}
        self._headroom = headroom
        self._available_by_label: dict[tuple[ServiceName, str], int] = {}
        self._half_in_use_by_service: dict[ServiceName, bool] = {}
        self._reserving_steps = 0
        #: Tenants with a gang that waits for most of their limit.
        self.tenants_saving_limit: set[TenantId] = set()

    def available_to_others(self, step: StepState) -> int:
        """Return the millicores not reserved as headroom for urgent work."""
        key = step.job.queue.service, step.spec.label
        available = self._available_by_label.get(key)
        if available is None:
            with_label = self.workers.with_label(step)
            available = self._headroom.available_to_others(key[0], with_label)
            self._available_by_label[key] = available
        return available

    def record_placed(self, step: StepState, tasks: int) -> None:
        """Record that tasks of a step were placed.

        Urgent work uses the headroom, so it leaves the rest unchanged.
        """
        if step.job.urgent:
            return
        taken = tasks * step.spec.charged.millicores
        for key in self._available_by_label:
            if key[0] == step.job.queue.service:
                self._available_by_label[key] -= taken

    def reserve_workers(self, waiting: WaitingStep, missing: int) -> None:
        """Reserve workers for missing tasks if capacity is scarce."""
        if missing <= 0 or self._reserving_steps >= _MAX_RESERVING_STEPS:
            return
        if not self._half_in_use(waiting.step.job.queue.service):
            return
        if not self.needs_reservation(waiting.step):
            return
        reserved = waiting.choose_reserved_workers(missing, self)
        if reserved:
            self._reserving_steps += 1
            self.workers.reserve(reserved)

    def has_unchecked(self, step: StepState) -> bool:
        """Whether unchecked workers exist and no advice call is in flight."""
        if step.job.queue.advice is None or step.permits.calls_in_flight:
            return False
        return bool(self.workers.unchecked(step))

    def needs_reservation(self, step: StepState) -> bool:
        """Whether a step's tasks cannot be placed one by one."""
        service = step.job.queue.service
        copies = self.workers.max_copies(step.spec, service)
        return needs_reservation(step.spec, copies)

    def _half_in_use(self, service: ServiceName) -> bool:
        found = self._half_in_use_by_service.get(service)
        if found is None:
            found = half_in_use(self.workers.of_service(service))
            self._half_in_use_by_service[service] = found
        return found
