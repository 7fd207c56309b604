"""A zone of one scheduler and a few simulated workers, for tests."""

from __future__ import annotations

import time
from random import Random

from result import Ok, Result

from orchidrail.bundles.model import Bundle, Tenant, WorkClass, WorkKind
from orchidrail.keys import RequestKey, issue_key, new_id
from orchidrail.logservice.ports import Instance, LogFailure, LogPage
from orchidrail.resources import Resources
from orchidrail.scheduler.daemon import SchedulerDaemon
from orchidrail.scheduler.held_worker import HeldWorker
from orchidrail.scheduler.ports import Ports
from orchidrail.settings import SchedulerSettings, Timings
from orchidrail.types import (
    Address,
    ClassName,
    Offset,
    Seconds,
    TenantId,
    WorkerId,
    ZoneId,
)
from standins.log import LogMachine
from standins.machine import WorkerMachine
from standins.transport import MachineTransport

ZONE = ZoneId('hall-1')
TENANT = TenantId('lafreniere')
CAPACITY = Resources(8, 8, 0, slots=2, connections=8)
ONE_SLOT = Resources(1, 1, 0, slots=1, connections=1)
REQUEST = ClassName('tag-check')
BATCH = ClassName('stack')
TTL: Seconds = 3


class Clock:
    """A clock that tests set by hand, in seconds."""

    def __init__(self) -> None:
        self.now: Seconds = 100

    def __call__(self) -> Seconds:
        return self.now


class FakeServices:
    """In-memory log and instance list."""

    def __init__(self, log: LogMachine, instances: list[Instance]) -> None:
        self.log = log
        self.instances = instances

    async def append(
        self,
        stream: str,
        payload: str,
    ) -> Result[Offset, LogFailure]:
        return self.log.append(stream, payload)

    async def read(
        self,
        stream: str,
        start: Offset,
        limit: int,
    ) -> Result[LogPage, LogFailure]:
        return self.log.read(stream, start, limit)

    async def fetch(self, zone: ZoneId) -> Result[list[Instance], LogFailure]:
        return Ok(self.instances)


class SmallZone:
    """One scheduler and its workers; loops run only if a test runs them."""

    def __init__(self, workers: int = 2) -> None:
        self.clock = Clock()
        names = [WorkerId(f'w-{number}') for number in range(workers)]
        self.machine_by_name = {
            name: WorkerMachine(name, CAPACITY, self.clock, boot='b')
            for name in names
        }
        self.transport = MachineTransport(
            {
                Address(f'at:{name}'): machine
                for name, machine in self.machine_by_name.items()
            },
        )
        instances = [
            Instance(
                name, ZONE, 'rack', Address(f'at:{name}'), capacity=CAPACITY
            )
            for name in names
        ]
        self.services = FakeServices(LogMachine(self.clock), instances)
        self.daemon = self.start_daemon('s-1')

    def start_daemon(self, name: str) -> SchedulerDaemon:
        """Build a scheduler of the zone with the test's bundle."""
        settings = SchedulerSettings(
            name=name,
            zone=ZONE,
            listen='127.0.0.1:0',
            platform='',
            cluster_key='a key for tests only',
            operators={},
            timings=Timings(lease_ttl=TTL),
        )
        ports = Ports(
            self.transport,
            self.services,
            self.services,
            self.clock,
            time.time,
            Random(1),
        )
        daemon = SchedulerDaemon(settings, ports, Address(f'at:{name}'), 1)
        daemon.engine.use_bundle(bundle(), ZONE)
        daemon.bundle.bundle = bundle()
        return daemon

    async def hold(self, daemon: SchedulerDaemon | None = None) -> None:
        """Acquire the leases of all workers."""
        daemon = daemon or self.daemon
        await daemon.fleet.refresh()
        for instance in self.services.instances:
            await daemon.keeper.acquire(instance)

    def held(self, name: str = 'w-0') -> HeldWorker:
        """Return a held worker."""
        return self.daemon.keeper.held_by_worker[WorkerId(name)]

    def key(self, witness: str = 'w-0') -> RequestKey:
        """Return a new key."""
        return issue_key(new_id(), ZONE, WorkerId(witness), 'b')


def bundle() -> Bundle:
    """Return the test's bundle."""
    return Bundle(
        tenants={TENANT: Tenant()},
        classes={
            REQUEST: WorkClass(kind=WorkKind.REQUEST, size=ONE_SLOT),
            BATCH: WorkClass(kind=WorkKind.BATCH, size=Resources(4, 4)),
        },
    )
