"""The scheduler daemon: components, loops and message handlers."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import msgspec
import structlog

from orchidrail.bundles.fold import BundleFold
from orchidrail.bundles.model import Bundle, WorkKind
from orchidrail.deciding.engine import Engine, WorkItem
from orchidrail.invariants import Invariants
from orchidrail.jobs.book import JobBook
from orchidrail.leasing.ledger import Proof
from orchidrail.logstream.follower import Follower
from orchidrail.logstream.group_commit import GroupCommit
from orchidrail.membership.view import MembershipView
from orchidrail.scheduler.boot_book import BootBook
from orchidrail.scheduler.compaction import Compactor
from orchidrail.scheduler.dispatcher import Dispatcher
from orchidrail.scheduler.fleet_list import FleetList
from orchidrail.scheduler.gossiper import Gossiper
from orchidrail.scheduler.job_claims import JobClaims
from orchidrail.scheduler.job_desk import JobDesk
from orchidrail.scheduler.job_mover import JobMover
from orchidrail.scheduler.job_runner import JobRunner
from orchidrail.scheduler.lease_keeper import LeaseKeeper
from orchidrail.scheduler.peer_rooms import PeerRooms
from orchidrail.scheduler.placer import Placer, ReservationBook
from orchidrail.scheduler.request_desk import RequestDesk
from orchidrail.scheduler.zone_calls import ZoneCalls
from orchidrail.types import (
    FINAL_TASK_STATES,
    Address,
    ClassName,
    JobId,
    RefusalCode,
    SchedulerId,
    Seconds,
    TaskState,
)
from orchidrail.wire.messages import (
    Ack,
    BundleSnapshot,
    CancelJob,
    DrainWorker,
    DropReservation,
    FetchBundle,
    Gossip,
    GrantRequest,
    KeyRequest,
    MemberState,
    Message,
    QueryHolder,
    QueryJob,
    QueryStatus,
    Refusal,
    RelayTasks,
    ReservePlace,
    StartReserved,
    Status,
    SubmitJob,
    TaskReport,
    TasksEnded,
    WorkerHolder,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from orchidrail.deciding.preemption import VictimPlan
    from orchidrail.scheduler.held_worker import HeldWorker
    from orchidrail.scheduler.ports import Ports
    from orchidrail.settings import SchedulerSettings

BUNDLE_STREAM = 'bundle'
_HANDOVER_POLL_INTERVAL: Seconds = 0.1
_SHUTDOWN_GRACE: Seconds = 0.5
#: Log polls per read of the jobs stream. It is polled less often than the
#: bundle, since a scheduler that accepts a job reads at once.
_JOBS_POLL_FACTOR = 2
_log = structlog.get_logger()


def jobs_stream(zone: str) -> str:
    """Return the name of a zone's stream of jobs."""
    return f'jobs-{zone}'


class SchedulerDaemon:
    """One scheduler.

    Parameters
    ----------
    settings : SchedulerSettings
    ports : Ports
        Connections to external services.
    address : Address
        Address at which peers and gateways reach this scheduler.
    incarnation : int
        Increases with every start of a scheduler of this name.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        ports: Ports,
        address: Address,
        incarnation: int,
    ) -> None:
        """Build the components; `run` starts them."""
        self.settings = settings
        self.ports = ports
        self.invariants = Invariants()
        self.name = SchedulerId(settings.name)
        self.engine = Engine(ports.random)
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._build_membership(address, incarnation)
        self._build_log_components()
        self._build_services()

    def _build_membership(self, address: Address, incarnation: int) -> None:
        timings = self.settings.timings
        own_state = MemberState(
            name=self.name,
            address=address,
            zone=self.settings.zone,
            incarnation=incarnation,
            beat=0,
        )
        self.members = MembershipView(
            own_state,
            timings.member_timeout,
            self.ports.random,
        )
        self.fleet = FleetList(
            self.ports,
            self.settings.zone,
            timings.instance_poll,
            timings.gone_grace,
            self._on_fleet_change,
        )
        self.boots = BootBook(self.ports, self.fleet)
        self.keeper = LeaseKeeper(
            self.name,
            self.ports,
            timings,
            self.fleet,
            self.members,
            self,
            self.invariants,
        )

    def _build_log_components(self) -> None:
        timings = self.settings.timings
        genesis = Bundle(operators=self.settings.operators)
        self.bundle = BundleFold(genesis, self._on_bundle, self.invariants)
        self.bundle_follower = Follower(
            self.ports.log,
            BUNDLE_STREAM,
            self.bundle,
            timings.log_poll,
            self.ports.random,
        )
        self.book = JobBook(self._on_job_change)
        stream = jobs_stream(self.settings.zone)
        self.jobs_follower = Follower(
            self.ports.log,
            stream,
            self.book,
            _JOBS_POLL_FACTOR * timings.log_poll,
            self.ports.random,
        )
        self.commit = GroupCommit(
            self.ports.log,
            stream,
            timings.append_interval,
            self.ports.clock,
        )

    def _build_services(self) -> None:
        self.calls = ZoneCalls(
            self.ports,
            self.keeper,
            self.members,
            self.fleet,
        )
        self.dispatcher = Dispatcher(
            self.engine,
            self.ports.clock,
            self._preempt,
        )
        self.requests = RequestDesk(
            self.ports,
            self.settings,
            self.dispatcher,
            self.keeper,
            self.calls,
            PeerRooms(self.ports, self.members),
        )
        self.reservations = ReservationBook(
            self.ports,
            self.dispatcher,
            self.keeper,
        )
        self._build_job_components()
        self.gossiper = Gossiper(self)

    def _build_job_components(self) -> None:
        placer = Placer(
            self.ports,
            self.dispatcher,
            self.keeper,
            self.members,
        )
        self.claims = JobClaims(
            self.ports,
            self.keeper,
            self.fleet,
            self.calls,
            self.boots,
        )
        self.runner = JobRunner(
            self.ports,
            self.settings,
            self.book,
            self.keeper,
            placer,
            self.calls,
            self.commit,
            self.claims,
            self.boots,
        )
        self.mover = JobMover(
            self.ports,
            self.book,
            self.runner,
            self.keeper,
            self.members,
            self.fleet,
            self.commit,
            self.boots,
        )
        self.jobs = JobDesk(self)
        self.compactor = Compactor(self)

    async def run(self) -> None:
        """Run all loops until cancelled."""
        loops: tuple[Coroutine[None, None, None], ...] = (
            self.fleet.run(),
            self.bundle_follower.run(),
            self.jobs_follower.run(),
            self.commit.run(),
            self.dispatcher.run(),
            self.requests.watch(),
            self.keeper.run(),
            self.mover.run(),
            self.compactor.run(),
            self.gossiper.run(),
        )
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self.runner.close)
            async with asyncio.TaskGroup() as group:
                for loop in loops:
                    group.create_task(loop)

    async def hand_over(self, patience: Seconds) -> None:
        """Hand over all workers for a planned stop, then return.

        Parameters
        ----------
        patience : float
            Time limit of the handover, seconds.
        """
        leaving = msgspec.structs.replace(self.members.me, leaving=True)
        self.members.me = leaving
        self.engine.accepting = False
        self.dispatcher.pass_on()
        await self.gossiper.exchange_with_all()
        end = self.ports.clock() + patience
        while self._is_busy() and self.ports.clock() < end:
            await asyncio.sleep(_HANDOVER_POLL_INTERVAL)
        # Late callers still get a refusal that sends them to another scheduler.
        await asyncio.sleep(_SHUTDOWN_GRACE)

    def _is_busy(self) -> bool:
        return bool(self.keeper.held_by_worker or self.jobs.in_progress)

    async def handle(self, message: Message) -> Message:
        """Handle a message from a gateway, a peer or an operator."""
        return await self._handle(message)

    def on_held(self, held: HeldWorker, tasks: list[TaskReport]) -> None:
        """See `LeaseObserver.on_held`."""
        worker = held.instance.name
        self.boots.note(worker, held.boot)
        self.engine.add_place(held.place)
        now = self.ports.clock()
        for report in tasks:
            if report.state is TaskState.RUNNING:
                self.engine.adopt(held.place, _work_item_from(report), now)
                if not report.job:
                    self.requests.adopt(worker, report.key)
        self.runner.take_up(held)
        self._apply_ended_tasks(held, tasks)
        self.dispatcher.wake()

    def on_audit(self, held: HeldWorker) -> None:
        """See `LeaseObserver.on_audit`."""
        limit = self.ports.clock() - self.settings.timings.audit
        old_tasks = self.engine.charged_since(held.instance.name, limit)
        held.pending.settle.update(old_tasks)

    def on_lost(self, held: HeldWorker) -> None:
        """See `LeaseObserver.on_lost`."""
        self.engine.remove_place(held.instance.name)
        self.requests.forget_worker(held.instance.name)
        self.runner.disown(held)
        if not self.keeper.held_by_worker:
            self.dispatcher.pass_on()

    def on_reports(self, held: HeldWorker, tasks: list[TaskReport]) -> None:
        """See `LeaseObserver.on_reports`."""
        self._apply_ended_tasks(held, tasks)

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine in the background, referenced until it ends."""
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    @singledispatchmethod
    async def _handle(self, message: Message) -> Message:
        detail = f'a scheduler does not take {type(message).__name__!r}'
        return Refusal(code=RefusalCode.INVALID, detail=detail)

    @_handle.register
    async def _(self, message: GrantRequest) -> Message:
        refusal = self._refuse_unknown_class(message.class_name)
        return refusal or await self.requests.grant(message)

    @_handle.register
    async def _(self, message: TasksEnded) -> Message:
        self.requests.take_ends(message.tasks)
        self.runner.take_ends(message.tasks)
        return Ack()

    @_handle.register
    async def _(self, message: KeyRequest) -> Message:
        refusal = self._refuse_unknown_class(message.class_name)
        if refusal is not None:
            return refusal
        key = self.requests.issue(message)
        work_class = self.engine.find_class(message.class_name)
        if work_class is None or work_class.kind is WorkKind.REQUEST:
            return key
        return await self.jobs.extend_key(key)

    @_handle.register
    async def _(self, message: SubmitJob) -> Message:
        refusal = self._refuse_unknown_class(message.job.class_name)
        return refusal or await self.jobs.submit(message)

    @_handle.register
    async def _(self, message: QueryJob) -> Message:
        return await self.jobs.query(message)

    @_handle.register
    async def _(self, message: CancelJob) -> Message:
        return await self.jobs.cancel(message)

    @_handle.register
    async def _(self, message: ReservePlace) -> Message:
        return self.reservations.reserve(message)

    @_handle.register
    async def _(self, message: StartReserved) -> Message:
        return await self.reservations.start(message)

    @_handle.register
    async def _(self, message: DropReservation) -> Message:
        self.reservations.drop(message.token)
        return Ack()

    @_handle.register
    async def _(self, message: RelayTasks) -> Message:
        held = self.keeper.authorised(message.worker)
        if held is None or held.boot != message.boot:
            return Refusal(code=RefusalCode.NOT_HOLDER)
        held.pending.settle.update(message.settle)
        held.pending.forget_later(message.forget, held.lease.sequence)
        held.pending.stop.update(message.stop)
        held.request_renewal()
        return Ack()

    @_handle.register
    async def _(self, message: Gossip) -> Message:
        return self.gossiper.answer(message)

    @_handle.register
    async def _(self, message: FetchBundle) -> Message:
        snapshot = self.bundle.snapshot()
        if snapshot is None or snapshot.version <= message.newer_than:
            return Refusal(code=RefusalCode.UNKNOWN, detail='nothing newer')
        return BundleSnapshot(
            version=snapshot.version,
            offset=self.bundle.offset,
            document=msgspec.json.encode(snapshot).decode(),
        )

    @_handle.register
    async def _(self, message: QueryHolder) -> Message:
        holder, address = self.calls.likely_holder(message.worker)
        listed = self.fleet.by_worker.get(message.worker)
        return WorkerHolder(
            worker=message.worker,
            holder=holder,
            address=address,
            worker_address=Address('') if listed is None else listed.address,
        )

    @_handle.register
    async def _(self, message: DrainWorker) -> Message:
        self.fleet.hint_leaving(message.worker)
        self.members.note_leaving(message.worker, self.ports.clock())
        return Ack()

    @_handle.register
    async def _(self, message: QueryStatus) -> Message:
        return Status(document=self.gossiper.status_document())

    def _refuse_unknown_class(self, class_name: ClassName) -> Refusal | None:
        """Refuse work of an unknown class, so that other schedulers take it.

        Gateways check classes, so an unknown class means that the bundle of
        this scheduler is outdated, or was not read yet after a start.
        """
        if self.engine.find_class(class_name) is not None:
            return None
        detail = f'{class_name!r} is not known here at the moment'
        return Refusal(code=RefusalCode.NOT_HOLDER, detail=detail)

    def _apply_ended_tasks(
        self, held: HeldWorker, tasks: list[TaskReport]
    ) -> None:
        """Release the capacity of ended tasks and notify the jobs' owners."""
        self.requests.take_ends(tasks)
        ended = [task for task in tasks if task.state in FINAL_TASK_STATES]
        for report in ended:
            if report.key in held.place.ledger:
                self._release_task(held, report)
        reports_for_others = self.runner.take_ends(ended)
        if reports_for_others:
            self.spawn(self.jobs.tell_owners(reports_for_others))

    def _release_task(self, held: HeldWorker, report: TaskReport) -> None:
        worker = held.instance.name
        ran = report.state in {TaskState.FINISHED, TaskState.FAILED}
        if ran:
            ok = report.state is TaskState.FINISHED
            now = self.ports.clock()
            self.engine.note_end(worker, report.key, ok=ok, now=now)
        else:
            self.engine.give_back(worker, report.key, Proof.ENDED)
        self.dispatcher.wake()

    def _on_fleet_change(self) -> None:
        shapes = [
            instance.capacity
            for instance in self.fleet.by_worker.values()
            if not self.fleet.is_leaving(instance.name)
        ]
        self.engine.set_zone_shapes(shapes)
        for worker, held in self.keeper.held_by_worker.items():
            leaving = self.fleet.is_leaving(worker)
            handing_over = held.handing_over_since is not None
            held.place.open = not leaving and not handing_over

    def _on_bundle(self) -> None:
        zone = self.settings.zone
        self.engine.use_bundle(self.bundle.bundle, zone)
        draining = self.bundle.bundle.zone(zone).draining
        self.fleet.set_draining(frozenset(draining))
        for job in tuple(self.book.open_jobs):
            self.runner.note_change(job)

    def _on_job_change(self, job: JobId) -> None:
        self.runner.note_change(job)

    def _preempt(self, plan: VictimPlan) -> None:
        held = self.keeper.authorised(plan.worker)
        if held is not None:
            _log.info(
                'preempting',
                worker=plan.worker,
                tasks=[victim.task for victim in plan.victims],
            )
            held.pending.stop.update(victim.task for victim in plan.victims)
            held.request_renewal()


def _work_item_from(report: TaskReport) -> WorkItem:
    return WorkItem(
        report.key,
        report.tenant,
        report.class_name,
        report.size,
    )
