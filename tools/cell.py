"""Starts a small cell of real processes on loopback.

Only this module and its callers start processes; the daemons never do.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any

import httpx

from orchidrail.access import digest_of, make_bearer_key
from orchidrail.bundles.signing import make_key

ZONES = ('hall-1', 'hall-2')
INSTANCES_PER_ZONE = 2
WORKERS_PER_ZONE = 4
_READY_SECONDS = 30
_STOP_SECONDS = 15
_HOST = '127.0.0.1'
_BIN = pathlib.Path(sys.executable).parent


def free_address() -> str:
    """Return a loopback address with a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((_HOST, 0))
        return f'{_HOST}:{probe.getsockname()[1]}'


@dataclass
class Process:
    """A process of the cell and its JSON log lines."""

    name: str
    process: asyncio.subprocess.Process
    lines: list[dict[str, Any]] = field(default_factory=list)
    ready: asyncio.Event = field(default_factory=asyncio.Event)
    reader: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """The address in its log line `ready`."""
        found = [line for line in self.lines if line.get('event') == 'ready']
        return str(found[0]['address'])

    async def read(self) -> None:
        """Collect log lines until the process closes its output."""
        stream = self.process.stdout
        while stream is not None and (raw := await stream.readline()):
            try:
                line = json.loads(raw)
            except ValueError:
                print(f'{self.name}: {raw.decode().rstrip()}', file=sys.stderr)
                continue
            self.lines.append(line)
            if line.get('event') == 'ready':
                self.ready.set()


class Cell:
    """Processes of two zones, with stand-ins for platform and workers.

    Parameters
    ----------
    folder : Path
        Folder for the settings files.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.by_name: dict[str, Process] = {}
        self.platform = ''
        self.cluster_key = make_bearer_key()
        self.tenant_key = make_bearer_key()
        self.operators: dict[str, dict[str, Any]] = {}
        self.scheduler_addresses: dict[str, list[str]] = {}
        self.gateways: dict[str, list[str]] = {}
        self.metrics: dict[str, str] = {}
        self._private_keys: dict[str, str] = {}
        self._settings_by_name: dict[str, pathlib.Path] = {}
        self._make_operators()

    async def start(self, timings: dict[str, float] | None = None) -> None:
        """Start all processes and wait until they are ready."""
        platform = await self.spawn(
            'platform',
            'standin-platform',
            '--listen',
            f'{_HOST}:0',
        )
        await self._wait_ready(platform)
        self.platform = f'http://{platform.address}'
        for zone in ZONES:
            self.scheduler_addresses[zone] = [
                free_address() for _ in range(INSTANCES_PER_ZONE)
            ]
            self.gateways[zone] = [
                free_address() for _ in range(INSTANCES_PER_ZONE)
            ]
        for zone in ZONES:
            await self._start_workers(zone)
            await self._start_schedulers_and_gateways(zone, timings or {})
        for process in self.by_name.values():
            await self._wait_ready(process)
        self._write_operator_settings()

    async def _start_workers(self, zone: str) -> None:
        for number in range(WORKERS_PER_ZONE):
            await self.spawn(
                f'w-{zone}-{number}',
                'standin-worker',
                '--name',
                f'w-{zone}-{number}',
                '--zone',
                zone,
                '--rack',
                f'rack-{number % 2}',
                '--platform',
                self.platform,
            )

    async def _start_schedulers_and_gateways(
        self,
        zone: str,
        timings: dict[str, float],
    ) -> None:
        for number in range(INSTANCES_PER_ZONE):
            await self.start_scheduler(zone, number, timings)
            name = f'gateway-{zone}-{number}'
            settings = {
                **self._common_settings(name, zone, timings),
                'listen': self.gateways[zone][number],
                'schedulers': self.scheduler_addresses[zone],
                'foreignSchedulers': {
                    other: addresses
                    for other, addresses in self.scheduler_addresses.items()
                    if other != zone
                },
            }
            path = self._write(name, settings)
            await self.spawn(name, 'orchidrail-gateway', str(path))

    async def start_scheduler(
        self,
        zone: str,
        number: int,
        timings: dict[str, float] | None = None,
    ) -> Process:
        """Start or restart one scheduler."""
        name = f'scheduler-{zone}-{number}'
        own = self.scheduler_addresses[zone][number]
        foreign = [
            address
            for other, addresses in self.scheduler_addresses.items()
            for address in addresses
            if other != zone
        ]
        settings = {
            **self._common_settings(name, zone, timings or {}),
            'listen': own,
            'seeds': [
                address
                for address in self.scheduler_addresses[zone]
                if address != own
            ],
            'foreignSeeds': foreign,
            'metrics': self.metrics.setdefault(name, free_address()),
        }
        path = self._write(name, settings)
        return await self.spawn(name, 'orchidrail-scheduler', str(path))

    def _common_settings(
        self,
        name: str,
        zone: str,
        timings: dict[str, float],
    ) -> dict[str, Any]:
        return {
            'name': name,
            'zone': zone,
            'platform': self.platform,
            'clusterKey': self.cluster_key,
            'operators': self.operators,
            'timings': timings,
        }

    async def spawn(self, name: str, program: str, *words: str) -> Process:
        """Start one program of this project."""
        process = await asyncio.create_subprocess_exec(
            str(_BIN / program),
            *words,
            stdout=asyncio.subprocess.PIPE,
            stdin=asyncio.subprocess.DEVNULL,
            limit=2**24,
        )
        started = Process(name, process)
        started.reader = asyncio.create_task(started.read())
        previous = self.by_name.get(name)
        if previous is not None:
            started.lines = previous.lines
        self.by_name[name] = started
        return started

    async def command(self, operator: str, *words: str) -> tuple[int, str]:
        """Run the `orchidrail` command; return its exit code and output."""
        environment = {
            **os.environ,
            'ORCHIDRAIL_SETTINGS': str(self.operator_settings(operator)),
            'NO_COLOR': '1',
        }
        process = await asyncio.create_subprocess_exec(
            str(_BIN / 'orchidrail'),
            *words,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=environment,
        )
        output, _ = await process.communicate()
        return process.returncode or 0, output.decode().strip()

    async def publish(self, bundle: dict[str, Any]) -> str:
        """Draft, review, sign off and publish a bundle."""
        path = self.folder / 'bundle.json'
        path.write_text(json.dumps(bundle))
        draft = await self._run_command('alice', 'bundle', 'draft', str(path))
        await self._run_command('bob', 'bundle', 'review', draft)
        await self._run_command('carol', 'bundle', 'sign-off', draft)
        return await self._run_command('alice', 'bundle', 'publish', draft)

    async def wait_serving(self) -> None:
        """Wait until all gateways report that they are ready."""
        async with httpx.AsyncClient(trust_env=False) as client:
            for address in self.all_gateways():
                await self._wait_gateway(client, address)

    async def _wait_gateway(
        self,
        client: httpx.AsyncClient,
        address: str,
    ) -> None:
        for _ in range(_READY_SECONDS * 10):
            answer = await client.get(f'http://{address}/health/ready')
            if answer.status_code == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f'{address} is not ready, expected status 200')

    def all_gateways(self) -> list[str]:
        """Return the addresses of all gateways."""
        return [
            address
            for addresses in self.gateways.values()
            for address in addresses
        ]

    def journal(self) -> list[dict[str, Any]]:
        """Return the journal entries that the workers logged."""
        return [
            line['entry']
            for process in self.by_name.values()
            for line in process.lines
            if line.get('event') == 'journal'
        ]

    def faults(self) -> list[str]:
        """Return the violated invariants that workers or daemons logged."""
        return [
            json.dumps(line)
            for process in self.by_name.values()
            for line in process.lines
            if line.get('event') in {'fault', 'invariant broken'}
        ]

    def operator_settings(self, operator: str) -> pathlib.Path:
        """Return the path of an operator's settings file."""
        return self._settings_by_name[operator]

    async def stop(self) -> None:
        """Shut down the daemons, then the stand-ins."""
        daemons = [
            process
            for name, process in self.by_name.items()
            if name.startswith(('gateway', 'scheduler'))
        ]
        await _terminate(daemons)
        await _terminate(list(self.by_name.values()))

    def _make_operators(self) -> None:
        roles = {'alice': ['draft'], 'bob': ['review'], 'carol': ['signOff']}
        for name, allowed in roles.items():
            private, public = make_key()
            self._private_keys[name] = private
            self.operators[name] = {'key': public, 'roles': allowed}

    def _write_operator_settings(self) -> None:
        for name, private in self._private_keys.items():
            settings = {
                'name': name,
                'privateKey': private,
                'platform': self.platform,
                'clusterKey': self.cluster_key,
                'operators': self.operators,
                'schedulers': self.scheduler_addresses,
                'gateway': f'http://{self.all_gateways()[0]}',
                'tenantKey': self.tenant_key,
            }
            self._write(f'operator-{name}', settings)
            path = self.folder / f'operator-{name}.json'
            self._settings_by_name[name] = path

    def _write(self, name: str, settings: dict[str, Any]) -> pathlib.Path:
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings, indent=2))
        return path

    async def _run_command(self, operator: str, *words: str) -> str:
        code, output = await self.command(operator, *words)
        if code:
            raise RuntimeError(
                f'{words!r} exited with {code}, expected 0: {output}'
            )
        return output

    async def _wait_ready(self, process: Process) -> None:
        ready = asyncio.create_task(process.ready.wait())
        ended = asyncio.create_task(process.process.wait())
        await asyncio.wait(
            {ready, ended},
            timeout=_READY_SECONDS,
            return_when=asyncio.FIRST_COMPLETED,
        )
        ended.cancel()
        if not ready.done():
            ready.cancel()
            raise RuntimeError(f'{process.name} did not log that it is ready')


async def _terminate(processes: list[Process]) -> None:
    running = [
        process for process in processes if process.process.returncode is None
    ]
    for process in running:
        process.process.send_signal(signal.SIGTERM)
    for process in running:
        try:
            await asyncio.wait_for(process.process.wait(), _STOP_SECONDS)
        except (TimeoutError, asyncio.TimeoutError):
            process.process.kill()
            await process.process.wait()
    for process in running:
        if process.reader is not None:
            await process.reader


async def open_cell(
    stack: AsyncExitStack,
    timings: dict[str, float] | None = None,
) -> Cell:
    """Start a cell that is stopped when the stack closes."""
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    cell = Cell(pathlib.Path(folder))
    stack.push_async_callback(cell.stop)
    await cell.start(timings)
    return cell


def small_bundle(cell: Cell) -> dict[str, Any]:
    """Return a bundle with the classes of both users."""
    tenant = {
        'weight': 1,
        'rate': 2000,
        'keys': [digest_of(cell.tenant_key)],
    }
    request_size = {'cores': 1, 'memory': 1, 'slots': 1, 'connections': 1}
    return {
        'tenants': {'lafreniere': tenant},
        'classes': {
            'tag-check': {
                'kind': 'request',
                'policy': {'kind': 'waiting'},
                'priority': 100,
                'urgent': True,
                'size': request_size,
                'timeout': 10,
            },
            'preview': {
                'kind': 'request',
                'policy': {'kind': 'waiting'},
                'priority': 50,
                'repeatable': True,
                'size': request_size,
                'timeout': 10,
            },
            'markdown': {
                'kind': 'batch',
                'policy': {'kind': 'packing'},
                'priority': 10,
                'repeatable': True,
                'preemptible': True,
                'size': {'cores': 8, 'memory': 8},
            },
            'stack': {
                'kind': 'batch',
                'policy': {'kind': 'packing'},
                'priority': 5,
                'size': {'cores': 16, 'memory': 32},
            },
            'gang': {
                'kind': 'gang',
                'policy': {'kind': 'packing'},
                'priority': 20,
                'repeatable': True,
                'size': {'cores': 24, 'memory': 16},
            },
        },
        'zones': {
            zone: {
                'headroom': {
                    'cores': 8,
                    'memory': 8,
                    'accelerators': 0,
                    'slots': 0,
                    'connections': 0,
                },
            }
            for zone in ZONES
        },
        'operators': cell.operators,
    }
