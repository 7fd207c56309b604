"""A small cell of real daemons on the virtual network."""

from __future__ import annotations

import asyncio
from random import Random
from uuid import UUID

import msgspec
from result import Err, Ok, Result

from orchidrail.bundles.fold import BundleFold, apply_patch
from orchidrail.bundles.model import Bundle, Operator, Role
from orchidrail.bundles.records import (
    Draft,
    Publish,
    Review,
    SignOff,
    encode_record,
)
from orchidrail.bundles.signing import (
    document_hash,
    draft_id,
    draft_text,
    make_key,
    review_text,
    sign,
    sign_off_text,
)
from orchidrail.gateway.daemon import GatewayDaemon
from orchidrail.logservice.ports import Instance, LogFailure, LogPage
from orchidrail.resources import Resources
from orchidrail.scheduler.daemon import SchedulerDaemon
from orchidrail.scheduler.ports import Ports
from orchidrail.settings import GatewaySettings, SchedulerSettings, Timings
from orchidrail.types import (
    Address,
    BundleVersion,
    InstanceState,
    Offset,
    Seconds,
    WorkerId,
    ZoneId,
)
from proving.virtual import Network, Node, NodeTransport
from standins.log import LogMachine
from standins.machine import JournalEntry, WorkerMachine

ZONES = ('hall-1', 'hall-2')
SCHEDULERS = 2
GATEWAYS = 2
WORKERS = 4
CAPACITY = Resources(16, 32, 0, slots=4, connections=16)
#: Wall clock at virtual time zero.
EPOCH: Seconds = 1_700_000_000
#: Bounds on how far the daemons' clocks stand apart and drift.
CLOCK_OFFSET: Seconds = 2
CLOCK_DRIFT = 0.004
_CLUSTER_KEY = 'a key for the tests only'
_LIST_LAG: Seconds = 1
_BUNDLE = 'bundle'


class FakePlatform:
    """The platform as one node sees it."""

    def __init__(self, cell: VirtualCell, node: Node) -> None:
        self._cell = cell
        self._node = node

    async def append(
        self,
        stream: str,
        payload: str,
    ) -> Result[Offset, LogFailure]:
        """See `ConfigurationLog.append`."""
        if not await self._reach():
            return Err(LogFailure.NOT_SENT)
        outcome = self._cell.log.append(stream, payload)
        if not await self._reach():
            return Err(LogFailure.ANSWER_LOST)
        return outcome

    async def read(
        self,
        stream: str,
        start: Offset,
        limit: int,
    ) -> Result[LogPage, LogFailure]:
        """See `ConfigurationLog.read`."""
        if not await self._reach():
            return Err(LogFailure.NOT_SENT)
        return self._cell.log.read(stream, start, limit)

    async def fetch(self, zone: ZoneId) -> Result[list[Instance], LogFailure]:
        """See `InstanceList.fetch`."""
        if not await self._reach() or self._cell.list_down:
            return Err(LogFailure.NOT_SENT)
        return Ok(self._cell.listed(zone))

    async def _reach(self) -> bool:
        await self._node.running.wait()
        await self._cell.network.delay()
        await asyncio.sleep(self._cell.log.faults.delay)
        platform = self._cell.platform_node
        return not self._node.dead and not self._cell.network.is_cut(
            self._node,
            platform,
        )


class WorkerNode:
    """An upstream instance."""

    def __init__(self, cell: VirtualCell, name: str, zone: str) -> None:
        self.node = Node(name, zone)
        self.address = Address(f'worker:{name}')
        self.leaving_since: Seconds | None = None
        self.starts = 0
        self._cell = cell
        self.machine = self._boot()

    def restart(self) -> None:
        """Lose all memory and tasks, and come back at the same address."""
        self.machine.power_off()
        self.machine = self._boot()

    def power_off(self) -> None:
        """End it for good."""
        self.machine.power_off()
        self.node.dead = True

    def _boot(self) -> WorkerMachine:
        self.starts += 1
        machine = WorkerMachine(
            WorkerId(self.node.name),
            CAPACITY,
            asyncio.get_running_loop().time,
            boot=f'boot-{self.starts}',
            first_epoch=self.starts * 1000,
        )
        machine.journal = self._cell.journal
        machine.faults = self._cell.worker_faults
        self._cell.network.serve(self.address, self.node, machine.handle)
        return machine


class SchedulerNode:
    """A scheduler process."""

    def __init__(self, cell: VirtualCell, zone: str, number: int) -> None:
        self.zone = zone
        self.number = number
        self.name = f'scheduler-{zone}-{number}'
        self.versions: list[int] = []
        self._cell = cell
        self._starts = 0
        self.start()

    def start(self) -> None:
        """Start it with an empty memory."""
        self._starts += 1
        cell = self._cell
        self.node = Node(self.name, self.zone)
        address = cell.scheduler_address(self.zone, self.number)
        ports = cell.ports(self.node)
        self.daemon = SchedulerDaemon(
            cell.scheduler_settings(self.zone, self.number),
            ports,
            address,
            self._starts,
        )
        cell.network.serve(address, self.node, self.daemon.handle)
        self.task = asyncio.create_task(self.daemon.run())

    async def kill(self) -> None:
        """End it at once; nothing more goes out."""
        self.node.dead = True
        self.node.resume()
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def stop(self) -> None:
        """Stop it in a planned way."""
        await self.daemon.hand_over(10)
        await self.kill()


class GatewayNode:
    """A gateway process, without its HTTP side."""

    def __init__(self, cell: VirtualCell, zone: str, number: int) -> None:
        self.zone = zone
        self.number = number
        self.name = f'gateway-{zone}-{number}'
        self._cell = cell
        self.start()

    def start(self) -> None:
        """Start it with an empty memory."""
        cell = self._cell
        self.node = Node(self.name, self.zone)
        self.daemon = GatewayDaemon(
            cell.gateway_settings(self.zone, self.number),
            cell.ports(self.node),
        )
        self.task = asyncio.create_task(self.daemon.run())

    async def kill(self) -> None:
        """End it at once; nothing more goes out."""
        self.node.dead = True
        self.node.resume()
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


class VirtualCell:
    """Two zones of daemons and workers, and the platform."""

    def __init__(self, seed: int, retention: Seconds = 3600) -> None:
        self.random = Random(seed)
        self.network = Network(Random(seed + 1))
        self.platform_node = Node('platform', 'platform')
        self.list_down = False
        self.replaced = 0
        #: Whether leaving workers refuse new work by themselves.
        self.workers_know = True
        self.journal: list[JournalEntry] = []
        self.worker_faults: list[str] = []
        self.retention = retention
        self.log = LogMachine(self.wall_clock, retention)
        self.operator_keys: dict[str, str] = {}
        self.operators: dict[str, Operator] = {}
        self._make_operators()
        self._listings: list[tuple[Seconds, list[Instance]]] = []
        self.workers: dict[str, WorkerNode] = {}
        self.schedulers: dict[str, SchedulerNode] = {}
        self.gateways: dict[str, GatewayNode] = {}

    def start(self) -> None:
        """Start all nodes."""
        for zone in ZONES:
            for number in range(WORKERS):
                self.add_worker(f'w-{zone}-{number}', zone)
        self.note_listing()
        for zone in ZONES:
            for number in range(SCHEDULERS):
                scheduler = SchedulerNode(self, zone, number)
                self.schedulers[scheduler.name] = scheduler
            for number in range(GATEWAYS):
                gateway = GatewayNode(self, zone, number)
                self.gateways[gateway.name] = gateway

    async def stop(self) -> None:
        """End all nodes."""
        for node in (*self.schedulers.values(), *self.gateways.values()):
            await node.kill()

    def add_worker(self, name: str, zone: str) -> WorkerNode:
        """Add an upstream instance."""
        worker = WorkerNode(self, name, zone)
        self.workers[name] = worker
        return worker

    def now(self) -> Seconds:
        """Return the virtual time."""
        return asyncio.get_running_loop().time()

    def wall_clock(self) -> Seconds:
        """Return the platform's wall clock."""
        return EPOCH + self.now()

    def note_listing(self) -> None:
        """Remember the instances as they are now; readers see them later."""
        instances = [
            Instance(
                WorkerId(worker.node.name),
                ZoneId(worker.node.zone),
                f'rack-{index % 2}',
                worker.address,
                _state_of(worker),
                CAPACITY,
            )
            for index, worker in enumerate(self.workers.values())
            if not worker.node.dead
        ]
        self._listings.append((self.now(), instances))

    def listed(self, zone: ZoneId) -> list[Instance]:
        """Return a zone's instances as the lagging list tells them."""
        seen = self.now() - _LIST_LAG
        past = [entry for at, entry in self._listings if at <= seen]
        newest = past[-1] if past else self._listings[0][1]
        return [instance for instance in newest if instance.zone == zone]

    def ports(self, node: Node) -> Ports:
        """Return a node's outside, with a clock of its own."""
        loop = asyncio.get_running_loop()
        offset = self.random.uniform(-CLOCK_OFFSET, CLOCK_OFFSET)
        rate = 1 + self.random.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
        platform = FakePlatform(self, node)
        ids = Random(self.random.random())

        def wall_clock() -> Seconds:
            return EPOCH + offset + loop.time()

        def new_id() -> str:
            stamp = int(wall_clock() * 1000)
            low = (0b10 << 62) | ids.getrandbits(62)
            high = (stamp << 16) | (7 << 12) | ids.getrandbits(12)
            return str(UUID(int=(high << 64) | low))

        return Ports(
            NodeTransport(self.network, node),
            platform,
            platform,
            lambda: loop.time() * rate + offset + 10,
            wall_clock,
            Random(self.random.random()),
            new_id,
        )

    def scheduler_address(self, zone: str, number: int) -> Address:
        """Return where a scheduler answers."""
        return Address(f'scheduler:{zone}-{number}')

    def scheduler_settings(self, zone: str, number: int) -> SchedulerSettings:
        """Return a scheduler's settings."""
        others = [
            self.scheduler_address(zone, other)
            for other in range(SCHEDULERS)
            if other != number
        ]
        foreign = [
            self.scheduler_address(other, 0) for other in ZONES if other != zone
        ]
        return SchedulerSettings(
            name=f'scheduler-{zone}-{number}',
            zone=ZoneId(zone),
            listen='0.0.0.0:0',
            platform='',
            cluster_key=_CLUSTER_KEY,
            operators=self.operators,
            timings=Timings(retention=self.retention),
            seeds=others,
            foreign_seeds=foreign,
        )

    def gateway_settings(self, zone: str, number: int) -> GatewaySettings:
        """Return a gateway's settings."""
        addresses = {
            ZoneId(name): [
                self.scheduler_address(name, index)
                for index in range(SCHEDULERS)
            ]
            for name in ZONES
        }
        own = addresses.pop(ZoneId(zone))
        return GatewaySettings(
            name=f'gateway-{zone}-{number}',
            zone=ZoneId(zone),
            listen='0.0.0.0:0',
            platform='',
            cluster_key=_CLUSTER_KEY,
            operators=self.operators,
            timings=Timings(retention=self.retention),
            schedulers=own,
            foreign_schedulers=addresses,
        )

    def publish(self, change: list[dict[str, object]]) -> bool:
        """Publish a change of the newest bundle; return whether it won."""
        fold = self.fold()
        record = self.signed_publish(fold, change)
        outcome = self.log.append(_BUNDLE, encode_record(record))
        return isinstance(outcome, Ok) and (
            self.fold().version == fold.version + 1
        )

    def append_bundle(self, record: Publish) -> None:
        """Append a publish record as an operator's command does."""
        self.log.append(_BUNDLE, encode_record(record))

    def fold(self) -> BundleFold:
        """Fold the bundle's stream as the platform has it now."""
        fold = BundleFold(Bundle(operators=self.operators))
        page = self.log.read(_BUNDLE, Offset(0), 100_000)
        if isinstance(page, Ok):
            for record in page.ok_value.records:
                fold.apply(record)
        return fold

    def signed_publish(
        self,
        fold: BundleFold,
        change: list[dict[str, object]],
    ) -> Publish:
        """Return a whole publish record on the version of `fold`."""
        patch = msgspec.json.encode(change).decode()
        draft = Draft(base=fold.version, author='alice', patch=patch)
        draft = msgspec.structs.replace(
            draft,
            signature=sign(self.operator_keys['alice'], draft_text(draft)),
        )
        name = draft_id(draft)
        content = document_hash(apply_patch(fold.document, patch).unwrap())
        version = BundleVersion(fold.version + 1)
        text = sign_off_text(name, version, content)
        return Publish(
            draft=draft,
            review=Review(
                draft=name,
                reviewer='bob',
                signature=sign(self.operator_keys['bob'], review_text(name)),
            ),
            sign_off=SignOff(
                draft=name,
                signer='carol',
                version=version,
                content_hash=content,
                signature=sign(self.operator_keys['carol'], text),
            ),
        )

    def _make_operators(self) -> None:
        roles = {
            'alice': Role.DRAFT,
            'bob': Role.REVIEW,
            'carol': Role.SIGN_OFF,
        }
        for name, role in roles.items():
            private, public = make_key()
            self.operator_keys[name] = private
            self.operators[name] = Operator(key=public, roles=[role])


def _state_of(worker: WorkerNode) -> InstanceState:
    if worker.leaving_since is None:
        return InstanceState.LIVE
    return InstanceState.LEAVING
