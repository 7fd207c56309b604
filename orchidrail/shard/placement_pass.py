"""One pass over the waiting steps, and what it tells the next one."""

from __future__ import annotations

from typing import NamedTuple

from orchidrail.shard.candidate_workers import CandidateWorkers
from orchidrail.shard.headroom import Headroom
from orchidrail.shard.ranking import Rank, Timing, overdue_rank
from orchidrail.shard.reservations import (
    choose_reserved_workers,
    half_in_use,
    needs_reservation,
)
from orchidrail.shard.tracked_worker import TaskRole, TrackedWorker, role_of
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

#: Steps that wait with room kept free for them, most urgent first.
_EARMARKS = 2
#: For how long the workers chosen for a step are kept: runs end on a cell of
#: hundreds of workers each few ms, and each choice looks at all that run.
_EARMARKED_FOR: Seconds = 0.1
#: Longest time for which a step is passed over: a bound on the harm of a change
#: that nobody thought of, a sixth of the time that work may stand still.
_BLOCKED_FOR: Seconds = 0.5


class _Blocked(NamedTuple):
    """Under what a step found no room: while it holds, there is none."""

    checked: int
    permitted: int
    asking: int
    #: Workers that were kept from the step.
    reserved: frozenset[WorkerId]
    #: Whether it had waited too long, and whether also for workers that rest.
    overdue: bool
    may_use_resting: bool


class WaitingStep:
    """A step with tasks whose turn has come.

    A cell near its limit has many steps that wait for room, and in each pass
    few workers that have more room than before. A step that found none is
    looked at again only when one of the workers that may run it has more, or
    when something else has changed for it.
    """

    def __init__(
        self,
        timing: Timing,
        step: StepState,
        tasks: list[Task],
    ) -> None:
        """Start with a step that was not looked at yet."""
        self.timing = timing
        self.step = step
        self.tasks = tasks
        self._blocked: _Blocked | None = None
        self._blocked_until: Seconds = 0
        self._earmarked: set[WorkerId] = set()
        self._earmarked_until: Seconds = 0

    def has_slack(self, this_pass: Pass) -> bool:
        """Whether the step can leave room for urgent work that is to come.

        The estimate of a task that lasts says for how long it may be at work,
        not how long it may wait.
        """
        if not self.timing.has_slack(this_pass.wall):
            return False
        return not this_pass.workers.overdue(self.step)

    def rank(self, this_pass: Pass) -> Rank:
        """Return the rank of the step in a pass; the least goes first.

        What is beyond its tenant's share stays behind what is owed, however
        long it has waited.
        """
        usual = self.timing.rank(this_pass.wall)
        if self.timing.over_share:
            return usual
        since = this_pass.workers.overdue_since(self.step)
        return usual if since is None else min(usual, overdue_rank(since))

    def blocked(self, this_pass: Pass) -> bool:
        """Whether it is known that the step finds no room now."""
        if self._blocked is None or this_pass.now >= self._blocked_until:
            return False
        if self._blocked != self._standing(this_pass):
            return False
        size = self.step.spec.charged
        advised = self.step.job.queue.advice is not None
        good = self.step.permits.permitted
        return not any(
            size.fits(tracked.free)
            for tracked in this_pass.with_more_free
            if not advised or tracked.worker in good
        )

    def note_no_room(self, this_pass: Pass) -> None:
        """Take that none of the step's tasks found room.

        A step is looked at in each pass all the same if something may help it
        that its standing does not show: workers not asked about yet, another
        worker than those on which it failed, room beside tasks of other roles.
        """
        step = self.step
        # What keeps workers must do so in each pass.
        looked_at = (
            this_pass.needs_reservation(step)
            or bool(step.failed_workers)
            or role_of(step.spec) is not TaskRole.PLAIN
            or this_pass.may_ask(step)
        )
        if not looked_at:
            self._blocked = self._standing(this_pass)
            self._blocked_until = this_pass.now + _BLOCKED_FOR

    def choose_reserved_workers(
        self, missing: int, this_pass: Pass
    ) -> set[WorkerId]:
        """Return the workers to keep for the step, chosen now and then."""
        if this_pass.now >= self._earmarked_until:
            candidates = this_pass.workers.permitted_for(self.step)
            self._earmarked = choose_reserved_workers(
                self.step,
                missing,
                candidates,
                this_pass.now,
            )
            self._earmarked_until = this_pass.now + _EARMARKED_FOR
        return self._earmarked

    def _standing(self, this_pass: Pass) -> _Blocked:
        permits = self.step.permits
        return _Blocked(
            len(permits.checked),
            len(permits.permitted),
            permits.calls_in_flight,
            this_pass.workers.reserved,
            this_pass.workers.overdue(self.step),
            this_pass.workers.may_use_resting(self.step),
        )


class FreeCapacitySnapshot:
    """What was free on each worker at the end of the last pass."""

    def __init__(self) -> None:
        """Know of no worker."""
        self._free_by_worker: dict[WorkerId, Size] = {}

    def with_more_free(
        self, open_books: list[TrackedWorker]
    ) -> list[TrackedWorker]:
        """Return the workers that have more room than then, or are new."""
        before = self._free_by_worker
        return [
            tracked
            for tracked in open_books
            if tracked.worker not in before
            or not tracked.free.fits(before[tracked.worker])
        ]

    def note(self, open_books: list[TrackedWorker]) -> None:
        """Take that a pass has ended."""
        self._free_by_worker = {
            tracked.worker: tracked.free for tracked in open_books
        }


class Pass:
    """What one pass over the waiting steps has left and found out."""

    def __init__(
        self,
        open_books: list[TrackedWorker],
        now: Seconds,
        wall: Seconds,
        headroom: Headroom,
        with_more_free: list[TrackedWorker],
        resting: list[TrackedWorker],
    ) -> None:
        """Start with all open workers, and with those that rest."""
        self.with_more_free = with_more_free
        self.now = now
        self.wall = wall
        self.workers = CandidateWorkers(open_books, now, resting)
        self.reason_by_job: dict[JobId, WaitReason] = {}
        self._headroom = headroom
        self._left_by_need: dict[tuple[ServiceName, str], int] = {}
        self._crowded_by_service: dict[ServiceName, bool] = {}
        self._earmarks = 0
        #: Tenants of which a gang waits for most of their limit.
        self.tenants_saving_limit: set[TenantId] = set()

    def available_to_others(self, step: StepState) -> int:
        """Return the millicores that are not kept for urgent work."""
        need = step.job.queue.service, step.spec.label
        left = self._left_by_need.get(need)
        if left is None:
            with_label = self.workers.with_label(step)
            left = self._headroom.available_to_others(need[0], with_label)
            self._left_by_need[need] = left
        return left

    def note_placed(self, step: StepState, tasks: int) -> None:
        """Take that some tasks of a step have found room.

        Urgent work takes from the room that is kept for it.
        """
        if step.job.urgent:
            return
        taken = tasks * step.spec.charged.millicores
        for need in self._left_by_need:
            if need[0] == step.job.queue.service:
                self._left_by_need[need] -= taken

    def reserve_workers(self, waiting: WaitingStep, missing: int) -> None:
        """Keep workers for what a step still misses, if room is scarce."""
        if missing <= 0 or self._earmarks >= _EARMARKS:
            return
        if not self._crowded(waiting.step.job.queue.service):
            return
        if not self.needs_reservation(waiting.step):
            return
        reserved = waiting.choose_reserved_workers(missing, self)
        if reserved:
            self._earmarks += 1
            self.workers.reserve(reserved)

    def may_ask(self, step: StepState) -> bool:
        """Whether a step has workers to ask about and does not ask yet."""
        if step.job.queue.advice is None or step.permits.calls_in_flight:
            return False
        return bool(self.workers.unknown(step))

    def needs_reservation(self, step: StepState) -> bool:
        """Whether a step's tasks can't be fitted in one by one."""
        service = step.job.queue.service
        copies = self.workers.max_copies(step.spec, service)
        return needs_reservation(step.spec, copies)

    def _crowded(self, service: ServiceName) -> bool:
        found = self._crowded_by_service.get(service)
        if found is None:
            found = half_in_use(self.workers.of_service(service))
            self._crowded_by_service[service] = found
        return found
