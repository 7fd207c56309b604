"""A small deployment on loopback: store, workers and the project's programs.

The settings are those of a `frontend` machine on the users' page. Each machine
has an address of its own in a free loopback network.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import NamedTuple

from review.proxy import Link
from review.record import Record
from review.store import Store
from review.web import Site, request
from review.worker import Worker
from soak.networks import claim_network

HOST = 'nony24.example'
PREFIX = '/lohu930/'
ROOT = pathlib.Path(__file__).resolve().parents[1]


class Deployment(NamedTuple):
    """What the sheet of a deployment says."""

    region: str
    zones: tuple[str, ...]
    service: str
    queue: str
    extension: float
    stop_ms: int
    save_s: float
    restore_ms: int


LAFRENIERE = Deployment(
    'qc-sud',
    ('laval-hall', 'longueuil-hall', 'sherbrooke-hall'),
    'marchandise',
    'stock-rebalance',
    4.0,
    200,
    1,
    600,
)
ESTRELA = Deployment(
    'lisboa',
    ('sala-a', 'sala-b', 'sala-c', 'sala-d'),
    'arquivo',
    'preview',
    1.5,
    900,
    0.5,
    100,
)
_SETTINGS = """nodeName=frontend-{zone}-{number}
role=instance
machineClass=frontend
serves=frontend
ip={host}
zone={zone}
region={region}
{zones}
bindAddresses.frontend={host}:8161
bindAddresses.ready={host}:8167
internalPortRange=7720,7735
bootstrap=true
limits.cpuShare=0.537
limits.cpuCores=2
limits.memoryMb=300
limits.maxFds=4200
limits.linkMbps=1000.0
discovery=platform
heartbeatIntervalMs=1500
bounds.contactTimeoutMs=3000
bounds.ackTimeoutMs=4000
bounds.drainTimeoutMs=2000
bounds.gracePeriodS=6
bounds.configApplyMs=2000
bounds.maxHoldMs=6000
bounds.stop_ms={stop_ms}
bounds.gang_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.finish_s=14
bounds.status_s=120
bounds.save_s={save_s}
bounds.restore_ms={restore_ms}
commands=invocation
advice=
platform.address={store}
platform.form=log
platform.writes_per_s=600
platform.reads_per_s=2000
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
platform.part_mb=200
"""
_START_SECONDS = 20
_END_SECONDS = 8


class Machine:
    """One machine of the system, with its one process."""

    def __init__(
        self,
        number: int,
        host: str,
        store: str,
        folder: str,
        deployment: Deployment,
    ) -> None:
        """Write its settings file."""
        self.callers = f'{host}:8161'
        self.ready = f'{host}:8167'
        self._settings = pathlib.Path(folder) / f'machine-{number}.conf'
        self._log = pathlib.Path(folder) / f'machine-{number}.log'
        zones = deployment.zones
        self._settings.write_text(
            _SETTINGS.format(
                zone=zones[number % len(zones)],
                zones='\n'.join(
                    f'zones.{zone}={deployment.region}' for zone in zones
                ),
                region=deployment.region,
                stop_ms=deployment.stop_ms,
                save_s=deployment.save_s,
                restore_ms=deployment.restore_ms,
                number=number,
                host=host,
                store=store,
            )
        )
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the program of the deploy file."""
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            **{name: os.environ[name] for name in kept if name in os.environ},
            'ORCHIDRAIL_SETTINGS': str(self._settings),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'SSL_CERT_FILE': '/dev/null',
            'SSL_CERT_DIR': '/dev/null',
        }
        with self._log.open('ab') as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'orchidrail.instance.main',
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await asyncio.wait_for(self._process.wait(), _END_SECONDS)

    @property
    def returncode(self) -> int | None:
        """Exit code of the process, None while it runs."""
        return None if self._process is None else self._process.returncode

    def log_text(self) -> str:
        """Return what the process has logged."""
        return self._log.read_text(errors='replace')


class Cell:
    """The whole deployment, closed by its stack."""

    def __init__(
        self,
        record: Record,
        workers: int,
        machines: int,
        work_seconds: Callable[[str], float],
        deployment: Deployment = LAFRENIERE,
    ) -> None:
        """Store what `open` builds."""
        self.record = record
        self.store = Store()
        self.workers: list[Worker] = []
        self.links: list[Link] = []
        self.machines: list[Machine] = []
        self._sizes = workers, machines
        self._work_seconds = work_seconds
        self._deployment = deployment
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Cell:
        """Start everything and wait until the system is ready."""
        try:
            await self._open()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        """End all processes and close all sockets."""
        self.record.write()
        kept = os.environ.get('KEEP_LOGS')
        for number, machine in enumerate(self.machines):
            if kept:
                path = pathlib.Path(kept) / f'machine-{number}.log'
                path.write_text(machine.log_text())
        await self._stack.aclose()

    async def _open(self) -> None:
        slot = self._stack.enter_context(claim_network())
        folder = tempfile.mkdtemp(prefix='review-')
        self._stack.callback(shutil.rmtree, folder, ignore_errors=True)
        store = f'127.{slot}.2.1:8169'
        site = Site(self.store.serve)
        await site.open(f'127.{slot}.2.1', 8169)
        self._stack.callback(site.close)
        self.configure(1)
        for number in range(self._sizes[0]):
            await self._open_worker(slot, number)
        for number in range(self._sizes[1]):
            host = f'127.{slot}.0.{number + 1}'
            machine = Machine(number, host, store, folder, self._deployment)
            self.machines.append(machine)
            self._stack.push_async_callback(machine.kill)
            await machine.start()
        await self._wait_until_ready()

    def configure(self, version: int) -> None:
        """Write a version of the operator's configuration."""
        config = {
            'version': version,
            'routes': [self._route()],
            'services': [
                {'name': self._deployment.service, 'preconditions': False}
            ],
            'limits': {'maxBodyBytes': 262_144},
        }
        self.store.put('keyed.op', 'config', json.dumps(config).encode())

    def _route(self) -> dict[str, object]:
        return {
            'name': self._deployment.queue,
            'host': HOST,
            'pathPrefix': PREFIX,
            'service': self._deployment.service,
            'timeoutMs': 3000,
            'targetLatencyMs': 3000,
            'priority': 2,
            'maxAttempts': 2,
            'extension': self._deployment.extension,
        }

    async def _open_worker(self, slot: int, number: int) -> None:
        link_host = f'127.{slot}.1.{number + 1}'
        own_host = f'127.{slot}.3.{number + 1}'
        zones = self._deployment.zones
        worker = Worker(
            f'i-7f3a9{number:03x}',
            f'{link_host}:8500',
            zones[number % len(zones)],
            f'r{number % len(zones)}-{number // len(zones)}',
            self.store,
            self.record,
            self._work_seconds,
            self._deployment.service,
            self._deployment.stop_ms / 1000,
        )
        await worker.open(own_host, 8500)
        link = Link((own_host, 8500))
        await link.open(link_host, 8500)
        self.workers.append(worker)
        self.links.append(link)
        self._stack.callback(worker.site.close)
        self._stack.callback(link.close)
        beating = asyncio.create_task(worker.run())
        self._stack.callback(beating.cancel)

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(_START_SECONDS):
            for machine in self.machines:
                while True:
                    status, _ = await request(
                        machine.ready, 'GET', '/readiness', timeout=1
                    )
                    if status == 200:
                        break
                    await asyncio.sleep(0.1)
        self.record.note('system ready')

    async def submit(
        self, job: str, phases: list[dict[str, object]], machine: int = 0
    ) -> int:
        """Submit a job at one machine; return the status."""
        body = {'spec': f'text-{job}', 'phases': phases}
        return await self.call('POST', job, machine, body)

    async def state(self, job: str, machine: int = 0) -> str:
        """Return the state of a job, or the status of the answer."""
        status, body = await request(
            self.machines[machine].callers, 'GET', PREFIX + job, host=HOST
        )
        state = json.loads(body)['state'] if status == 200 else str(status)
        self.record.note(f'GET {job} at {machine}: {state}')
        return state

    async def pending(self, machine: int = 0) -> int | None:
        """Return the count of the queue, None without an answer."""
        status, body = await request(
            self.machines[machine].callers, 'GET', PREFIX, host=HOST
        )
        count = json.loads(body)['pending'] if status == 200 else None
        self.record.note(f'GET queue at {machine}: {status} pending {count}')
        return count

    async def call(
        self, method: str, job: str, machine: int = 0, value: object = None
    ) -> int:
        """Make one call about a job; return the status."""
        status, _ = await request(
            self.machines[machine].callers,
            method,
            PREFIX + job,
            host=HOST,
            value=value,
        )
        self.record.note(f'{method} {job} at {machine}: {status}')
        return status
