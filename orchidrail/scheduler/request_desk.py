"""Grants of capacity for short requests, on the scheduler's side."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, NamedTuple

import structlog
from result import Err, Ok, Result

from orchidrail.bundles.model import WaitingPolicy
from orchidrail.deciding.engine import Declined, Placed, WorkItem
from orchidrail.deciding.placement import Demand, choose_place
from orchidrail.jobs.attempts import ClaimNote
from orchidrail.keys import ParsedKey, issue_key, parse_key
from orchidrail.leasing.ledger import Proof
from orchidrail.resources import NOTHING
from orchidrail.scheduler.held_worker import StartFailure, is_refused
from orchidrail.types import (
    FINAL_TASK_STATES,
    Epoch,
    RefusalCode,
    Seconds,
    TaskId,
    TaskState,
    Verdict,
    WorkerId,
)
from orchidrail.wire.messages import (
    Grant,
    GrantRequest,
    KeyIssued,
    KeyRequest,
    Message,
    Refusal,
    TaskReport,
    TaskSpec,
)

if TYPE_CHECKING:
    from orchidrail.scheduler.dispatcher import Dispatcher
    from orchidrail.scheduler.held_worker import HeldWorker
    from orchidrail.scheduler.lease_keeper import LeaseKeeper
    from orchidrail.scheduler.peer_rooms import PeerRooms
    from orchidrail.scheduler.ports import Ports
    from orchidrail.scheduler.zone_calls import ZoneCalls
    from orchidrail.settings import SchedulerSettings

#: Interval of the checks for grants that expired unused.
_WATCH_INTERVAL: Seconds = 0.2
#: Retry delay returned to callers during a lease takeover.
_TAKEOVER_RETRY: Seconds = 1
#: Quantile of past run times for which a request's time budget leaves time.
_RUN_TIME_QUANTILE = 0.9
_log = structlog.get_logger()


class _Granted(NamedTuple):
    worker: WorkerId
    expires_at: Seconds


class RequestDesk:
    """Grants capacity to gateways, once for each key.

    The right to run a keyed request is a claim stored by the key's witness,
    a worker that accepts each claim only once.
    """

    def __init__(
        self,
        ports: Ports,
        settings: SchedulerSettings,
        dispatcher: Dispatcher,
        keeper: LeaseKeeper,
        calls: ZoneCalls,
        rooms: PeerRooms,
    ) -> None:
        """Create a desk without grants."""
        self._ports = ports
        self._settings = settings
        self._dispatcher = dispatcher
        self._keeper = keeper
        self._calls = calls
        self._peer_rooms = rooms
        self._granted_by_task: dict[TaskId, _Granted] = {}
        self._in_flight_by_task: dict[TaskId, asyncio.Task[Message]] = {}

    async def grant(self, message: GrantRequest) -> Message:
        """Grant capacity for one request, or refuse it with a verdict."""
        if not message.key:
            return await self._grant_unkeyed(message)
        parsed = parse_key(message.key, self._ports.wall_clock())
        if not isinstance(parsed, Ok):
            return Refusal(code=RefusalCode.INVALID, detail=parsed.err_value)
        key = parsed.ok_value
        witness = self._keeper.authorised(key.witness)
        if witness is None:
            return Refusal(code=RefusalCode.NOT_HOLDER, detail=key.witness)
        if witness.boot != key.boot:
            return _unknown_outcome(f'{key.witness!r} was restarted')
        return await self._grant_once(message, key, witness)

    def issue(self, message: KeyRequest) -> Message:
        """Issue a key whose witness is one of the held workers."""
        place = choose_place(
            WaitingPolicy(),
            self._dispatcher.engine.shard,
            Demand(size=NOTHING),
        )
        held = None if place is None else self._keeper.authorised(place.worker)
        if held is None:
            return _not_holder('no worker is held here at the moment')
        key = issue_key(
            self._ports.new_id(),
            self._settings.zone,
            held.instance.name,
            held.boot,
        )
        return KeyIssued(key=key)

    def take_ends(self, tasks: list[TaskReport]) -> None:
        """Apply reports of workers or gateways on granted requests."""
        for report in tasks:
            granted = self._granted_by_task.get(report.key)
            if granted is None:
                continue
            if report.state in FINAL_TASK_STATES:
                self._granted_by_task.pop(report.key)
                self._end_task(granted.worker, report)
            else:
                # It runs: the worker will report its end unasked.
                known = granted._replace(expires_at=math.inf)
                self._granted_by_task[report.key] = known

    def forget_worker(self, worker: WorkerId) -> None:
        """Drop the grants of a worker whose lease was lost."""
        lost_tasks = [
            task
            for task, granted in self._granted_by_task.items()
            if granted.worker == worker
        ]
        for task in lost_tasks:
            self._granted_by_task.pop(task)

    def adopt(self, worker: WorkerId, task: TaskId) -> None:
        """Watch a request that a previous holder granted."""
        self._granted_by_task[task] = _Granted(worker, self._ports.clock())

    async def watch(self) -> None:
        """Query workers about expired grants until cancelled."""
        while True:
            await asyncio.sleep(_WATCH_INTERVAL)
            now = self._ports.clock()
            for task, granted in self._granted_by_task.items():
                held = self._keeper.held_by_worker.get(granted.worker)
                if held is not None and granted.expires_at < now:
                    held.pending.settle.add(task)

    async def _grant_unkeyed(self, message: GrantRequest) -> Message:
        task = TaskId(self._ports.new_id())
        outcome = await self._dispatcher.place(self._work_item(message, task))
        if isinstance(outcome, Declined):
            return _refusal_from(outcome)
        return self._grant_at(outcome)

    async def _grant_once(
        self,
        message: GrantRequest,
        key: ParsedKey,
        witness: HeldWorker,
    ) -> Message:
        """Share one outcome among concurrent attempts on one key."""
        in_flight = self._in_flight_by_task.get(key.task)
        if in_flight is None:
            in_flight = asyncio.create_task(
                self._grant_keyed(message, key, witness),
            )
            self._in_flight_by_task[key.task] = in_flight
            in_flight.add_done_callback(
                lambda _: self._in_flight_by_task.pop(key.task, None),
            )
        return await asyncio.shield(in_flight)

    async def _grant_keyed(
        self,
        message: GrantRequest,
        key: ParsedKey,
        witness: HeldWorker,
    ) -> Message:
        item = self._work_item(message, key.task)
        outcome = await self._dispatcher.place(item)
        if isinstance(outcome, Declined):
            return await self._decline_keyed(message, key, witness, outcome)
        place = outcome.place
        held = self._keeper.authorised(place.worker)
        if held is None:
            self._dispatcher.undo(outcome)
            return _not_holder(f'the lease of {place.worker!r} has lapsed')
        note = ClaimNote(
            held.instance.name,
            held.boot,
            held.instance.address,
            key.task,
        )
        claimed = await witness.start(_claim_spec(message, key, note))
        if isinstance(claimed, Ok) and _is_new(claimed.ok_value, note):
            return self._grant_at(outcome)
        self._dispatcher.undo(outcome)
        return self._answer_unclaimed(claimed, key)

    async def _grant_elsewhere(
        self,
        message: GrantRequest,
        key: ParsedKey,
        witness: HeldWorker,
    ) -> Message | None:
        """Claim a key for capacity of another scheduler, if one has some.

        Only the holder of the key's witness can claim it, so forwarding the
        request is useless while this scheduler holds the witness.
        """
        if not witness.authorised():
            return None
        grant = await self._peer_rooms.find(message)
        if grant is None:
            return None
        note = ClaimNote(grant.worker, grant.boot, grant.address, grant.task)
        claimed = await witness.start(_claim_spec(message, key, note))
        if isinstance(claimed, Ok) and _is_new(claimed.ok_value, note):
            return grant
        # The other scheduler releases the capacity when the grant expires.
        return self._answer_unclaimed(claimed, key)

    def _answer_unclaimed(
        self,
        claimed: Result[TaskReport, StartFailure],
        key: ParsedKey,
    ) -> Message:
        """Answer a key that this attempt has not newly claimed."""
        if isinstance(claimed, Ok) and not is_refused(claimed.ok_value):
            return self._answer_settled(claimed.ok_value)
        if claimed != Err(StartFailure.UNSURE):
            return _not_holder(f'the lease of {key.witness!r} has lapsed')
        return _unknown_outcome('the claim could not be made for certain')

    def _grant_at(self, placed: Placed) -> Message:
        worker = placed.place.worker
        held = self._keeper.authorised(worker)
        if held is None:
            self._dispatcher.undo(placed)
            return _not_holder(f'the lease of {worker!r} has lapsed')
        now = self._ports.clock()
        max_validity = self._settings.timings.grant_validity
        validity = min(max_validity, held.lease.remaining(now))
        task = placed.item.key
        self._granted_by_task[task] = _Granted(worker, now + validity)
        return Grant(
            task=task,
            worker=worker,
            boot=held.boot,
            address=held.instance.address,
            epoch=held.lease.epoch,
            sequence=held.lease.sequence,
            validity=validity,
        )

    async def _decline_keyed(
        self,
        message: GrantRequest,
        key: ParsedKey,
        witness: HeldWorker,
        declined: Declined,
    ) -> Message:
        """Refuse a key permanently, unless claimed or granted by a peer."""
        if declined.code is RefusalCode.NOT_HOLDER:
            granted = await self._grant_elsewhere(message, key, witness)
            # Without a grant the next holder of the witness may still claim it.
            return granted or _refusal_from(declined)
        note = ClaimNote(
            key.witness,
            key.boot,
            witness.instance.address,
            key.task,
        )
        settled = await self._calls.settle(note, [key.claim])
        if not isinstance(settled, Ok):
            return _unknown_outcome('its witness could not be asked')
        report = settled.ok_value[0]
        if report.state is TaskState.NEVER_STARTED:
            return _refusal_from(declined)
        return self._answer_settled(report)

    def _answer_settled(self, report: TaskReport) -> Message:
        """Answer a key that was claimed or refused before."""
        if report.state is not TaskState.MARKER:
            detail = 'the key was refused before; take a new one'
            return Refusal(code=RefusalCode.INVALID, detail=detail)
        note = ClaimNote.parse(report.note)
        return Grant(
            task=note.task,
            worker=note.worker,
            boot=note.boot,
            address=note.address,
            epoch=Epoch(0),
            sequence=0,
            validity=0,
        )

    def _work_item(self, message: GrantRequest, task: TaskId) -> WorkItem:
        now = self._ports.clock()
        run_time = self._dispatcher.engine.run_times.quantile(
            message.tenant,
            message.class_name,
            _RUN_TIME_QUANTILE,
            default=0,
        )
        # Don't start a request too late for an answer within its time budget.
        time_needed = min(run_time, message.patience / 2)
        return WorkItem(
            task,
            message.tenant,
            message.class_name,
            message.size,
            queued_at=now,
            deadline=now + message.patience - time_needed,
            avoid=frozenset(message.avoid),
        )

    def _end_task(self, worker: WorkerId, report: TaskReport) -> None:
        engine = self._dispatcher.engine
        if report.state is TaskState.NEVER_STARTED:
            engine.give_back(worker, report.key, Proof.REFUSED)
        else:
            ok = report.state is TaskState.FINISHED
            now = self._ports.clock()
            engine.note_end(worker, report.key, ok=ok, now=now)
        self._dispatcher.wake()


def _claim_spec(
    message: GrantRequest,
    key: ParsedKey,
    note: ClaimNote,
) -> TaskSpec:
    return TaskSpec(
        key=key.claim,
        tenant=message.tenant,
        class_name=message.class_name,
        marker=True,
        note=note.text,
    )


def _is_new(report: TaskReport, note: ClaimNote) -> bool:
    # Two attempts that chose the same worker have equal notes, and both may
    # use the grant: the worker starts the task only once.
    return report.state is TaskState.MARKER and report.note == note.text


def _refusal_from(declined: Declined) -> Refusal:
    _log.info(
        'request refused',
        task=declined.item.key,
        tenant=declined.item.tenant,
        code=declined.code.value,
    )
    return Refusal(
        code=declined.code,
        detail=declined.detail,
        retry_after=declined.retry_after,
    )


def _not_holder(detail: str) -> Refusal:
    return Refusal(
        code=RefusalCode.NOT_HOLDER,
        detail=detail,
        retry_after=_TAKEOVER_RETRY,
    )


def _unknown_outcome(detail: str) -> Refusal:
    return Refusal(
        code=RefusalCode.UNKNOWN,
        detail=detail,
        verdict=Verdict.MAY_HAVE_RUN,
    )
