"""A small deployment: machines, workers, the store, and one caller."""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import sys
import tempfile
import tomllib
from contextlib import AsyncExitStack, suppress
from typing import Any

import aiohttp

from review.parts_2.activity import Activity
from review.parts_2.record import Record
from review.parts_2.store import Store
from review.parts_2.worker import Worker

_ROOT = pathlib.Path(__file__).parents[2]
_HOST = 'queue.example'
_PREFIX = '/queue/'
_METRICS_PORT = 9464
_PEERS_PORTS = '7720,7735'
_READY_SECONDS = 12.0
_RESTART_SECONDS = 0.5
_GRACE_SECONDS = 6.0
_PR_SET_PDEATHSIG = 1
_ROUTE = {
    'name': 'queue',
    'host': _HOST,
    'pathPrefix': _PREFIX,
    'service': 'service',
    'priority': 1,
    'maxAttempts': 3,
    'extension': 2,
    'targetLatencyMs': 1000,
    'timeoutMs': 3000,
}
_SETTINGS = """nodeName={name}
role=instance
machineClass=frontend
serves=frontend
ip={host}
zone={zone}
region=region
bindAddresses.frontend={callers}
bindAddresses.ready={ready}
bindAddresses.controlPlane={host}:8166
internalPortRange={peers}
bootstrap=true
limits.cpuShare=0.537
limits.cpuCores=2
limits.memoryMb=300
limits.maxFds=4200
limits.linkMbps=1000.0
discovery=platform
heartbeatIntervalMs=1500
contracts=base,drain,config,cost,recover,sched,platform
faultTolerance.machineLosses=2
faultTolerance.zones=1
bounds.contactTimeoutMs=3000
bounds.ackTimeoutMs=4000
bounds.drainTimeoutMs=2000
bounds.gracePeriodS=6
bounds.configApplyMs=2000
bounds.maxHoldMs=6000
bounds.stop_ms=200
bounds.gang_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.status_s=120
bounds.save_s=1
bounds.restore_ms=600
bounds.fencingEnforced=true
commands=invocation
platform.address={store}
platform.form=log
platform.writes_per_s=600
platform.reads_per_s=2000
platform.parts=24
platform.append_ms=1.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
platform.part_mb=200
"""


def _end_with_parent() -> None:
    """Run in the child, so that no process outlives the case."""
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def _free_network(machines: int) -> str:
    """Return a loopback network whose machines have their fixed ports free."""
    ports = (_METRICS_PORT, int(_PEERS_PORTS.partition(',')[0]))
    while True:
        network = f'127.{random.randint(10, 250)}.{random.randint(1, 250)}'
        try:
            for number in range(machines):
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind((f'{network}.{10 + number}', port))
        except OSError:
            continue
        return network


def _free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


def _run_command() -> list[str]:
    """Return the command of the deploy file."""
    deploy = tomllib.loads((_ROOT / 'deploy/system.toml').read_text())
    words = shlex.split(deploy['roles']['instance']['run'])
    return [sys.executable, *words[1:]] if words[0] == 'python3' else words


class Machine:
    """A machine of the system, whose process the platform starts again.

    Parameters
    ----------
    number : int
    cell : Cell
    """

    def __init__(self, number: int, cell: Cell) -> None:
        self.name = f'machine-{number}'
        self.host = f'{cell.network}.{10 + number}'
        self.zone = f'zone-{number % 3}'
        self.callers = f'{self.host}:{_free_port(self.host)}'
        self.ready = f'{self.host}:{_free_port(self.host)}'
        self._cell = cell
        self._settings = cell.folder / f'{self.name}.conf'
        self._log = cell.folder / f'{self.name}.log'
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int | None:
        """Id of the running process."""
        process = self._process
        if process is None or process.returncode is not None:
            return None
        return process.pid

    @property
    def log(self) -> str:
        """What its processes have logged."""
        return self._log.read_text() if self._log.exists() else ''

    async def start(self) -> None:
        """Write the settings and start the process."""
        store = await self._cell.store.open_for(self.name, self._cell.host(2))
        self._settings.write_text(
            _SETTINGS.format(
                name=self.name,
                host=self.host,
                zone=self.zone,
                callers=self.callers,
                ready=self.ready,
                peers=_PEERS_PORTS,
                store=store,
            )
        )
        await self._spawn()

    async def _spawn(self) -> None:
        with self._log.open('ab') as output:
            self._process = await asyncio.create_subprocess_exec(
                *_run_command(),
                cwd=_ROOT,
                stdout=output,
                stderr=output,
                preexec_fn=_end_with_parent,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(_ROOT / 'target/deps'),
                    'ORCHIDRAIL_SETTINGS': str(self._settings),
                    'SSL_CERT_FILE': '/dev/null',
                    'SSL_CERT_DIR': '/dev/null',
                },
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._cell.record.write(
                'platform: signal', machine=self.name, signal=number.name
            )
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def stop_and_restart(self) -> None:
        """Stop the process as planned, and start it again."""
        self.signal(signal.SIGTERM)
        assert self._process is not None
        try:
            await asyncio.wait_for(self._process.wait(), _GRACE_SECONDS)
        except TimeoutError:
            await self.kill()
        await self.restart()

    async def restart(self) -> None:
        """Start the process again after a short delay."""
        await asyncio.sleep(_RESTART_SECONDS)
        self._cell.record.write('platform: start', machine=self.name)
        await self._spawn()


class Cell:
    """A small deployment on loopback addresses.

    Parameters
    ----------
    record : Record
    machines, workers : int
    clock_rate : float
        Rate of the workers' steady clocks.
    """

    def __init__(
        self,
        record: Record,
        machines: int = 3,
        workers: int = 6,
        clock_rate: float = 1.0,
    ) -> None:
        self.record = record
        self.network = _free_network(machines)
        self.store = Store(record)
        #: Seconds that the tasks of a job take, by the job's id.
        self.durations: dict[str, float] = {}
        self.activity = Activity(lambda: record.now)
        #: When a task ended `done`, by the task's name.
        self.ended_at = self.activity.done_at
        self.last_step_by_job: dict[str, int] = {}
        self.folder = pathlib.Path()
        self.machines: list[Machine] = []
        self._machine_count = machines
        self.workers = [
            Worker(
                number,
                self.store,
                record,
                self.durations,
                self.activity,
                clock_rate,
            )
            for number in range(workers)
        ]
        self._stack = AsyncExitStack()
        self._session: aiohttp.ClientSession | None = None

    def host(self, number: int) -> str:
        """Return an address of the network."""
        return f'{self.network}.{number}'

    async def __aenter__(self) -> Cell:
        """Start everything; wait until the machines are ready."""
        temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._stack.enter_context(temporary))
        self._stack.push_async_callback(self.store.close)
        config = {'version': 1, 'routes': [_ROUTE], 'limits': {}}
        self.store.put('keyed.op', 'config', json.dumps(config).encode())
        for worker in self.workers:
            await worker.start(self.host(3))
            self._stack.callback(worker.close)
        timeout = aiohttp.ClientTimeout(total=30)
        self._session = aiohttp.ClientSession(timeout=timeout)
        self._stack.push_async_callback(self._session.close)
        self.machines = [
            Machine(number, self) for number in range(self._machine_count)
        ]
        for machine in self.machines:
            self._stack.push_async_callback(machine.kill)
            await machine.start()
        await self._wait_until_ready()
        return self

    async def __aexit__(self, *failure: object) -> None:
        """End all processes and stand-ins."""
        for machine in self.machines:
            path = os.environ.get('CASE_LOGS')
            if path:
                folder = pathlib.Path(path)
                folder.mkdir(parents=True, exist_ok=True)
                (folder / f'{machine.name}.log').write_text(machine.log)
        await self._stack.aclose()

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(_READY_SECONDS):
            for machine in self.machines:
                while not await self.is_ready(machine):
                    await asyncio.sleep(0.2)
        self.record.write('machines ready')

    async def is_ready(self, machine: Machine) -> bool:
        """Whether a machine accepts callers."""
        assert self._session is not None
        with suppress(aiohttp.ClientError, TimeoutError):
            url = f'http://{machine.ready}/readiness'
            async with self._session.get(url) as response:
                return response.status == 200
        return False

    async def owner(self) -> Machine:
        """Return the machine that last wrote to the store's journal."""
        seen: list[str] = []
        previous = self.store.on_appended

        def note(machine: str, topic: str, records: list[bytes]) -> None:
            if topic == 'keyed.journal':
                seen.append(machine)

        self.store.on_appended = note
        while not seen:
            await asyncio.sleep(0.05)
        self.store.on_appended = previous
        return next(one for one in self.machines if one.name == seen[-1])

    async def submit(
        self,
        job_id: str,
        body: dict[str, Any],
        machine: Machine,
        deadline_ms: int = 3000,
    ) -> int:
        """Submit a job; return the status, 0 without an answer."""
        return (await self._call('POST', job_id, machine, deadline_ms, body))[0]

    async def cancel(
        self, job_id: str, machine: Machine, deadline_ms: int = 3000
    ) -> int:
        """Cancel a job; return the status, 0 without an answer."""
        return (await self._call('DELETE', job_id, machine, deadline_ms))[0]

    async def get(
        self, job_id: str, machine: Machine, deadline_ms: int = 3000
    ) -> tuple[int, str]:
        """Ask for a job, or for the queue; return the status and the body."""
        return await self._call('GET', job_id, machine, deadline_ms)

    async def _call(
        self,
        method: str,
        job_id: str,
        machine: Machine,
        deadline_ms: int,
        body: dict[str, Any] | None = None,
    ) -> tuple[int, str]:
        assert self._session is not None
        headers = {
            'Host': _HOST,
            'Content-Type': 'application/json',
            'X-Orchidrail-Deadline-Ms': str(deadline_ms),
        }
        sent_at = self.record.now
        status, text = 0, 'no answer'
        try:
            async with self._session.request(
                method,
                f'http://{machine.callers}{_PREFIX}{job_id}',
                data=None if body is None else json.dumps(body),
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=deadline_ms / 1000),
            ) as response:
                status, text = response.status, await response.text()
        except (aiohttp.ClientError, TimeoutError) as error:
            text = repr(error)
        self.record.write(
            'caller:',
            call=f'{method} {job_id or "queue"}',
            machine=machine.name,
            sent=f'{sent_at:.3f}',
            status=status,
            answer=text.replace('\n', ' '),
        )
        return status, text


def one_step(
    count: int = 1, cpu: int = 1000, estimated_ms: int = 500, **more: object
) -> dict[str, Any]:
    """Return the body of a job with one step."""
    step = {
        'count': count,
        'cpu': cpu,
        'memMb': 64,
        'estimatedMs': estimated_ms,
    }
    return {'spec': 'text', 'phases': [step], **more}


def chain(steps: int, seconds: float) -> dict[str, Any]:
    """Return the body of a job whose steps run one after the other."""
    step = {
        'count': 1,
        'cpu': 1000,
        'memMb': 64,
        'estimatedMs': int(seconds * 1000),
    }
    later = [step | {'afterRevision': [number]} for number in range(steps - 1)]
    return {'spec': 'text', 'phases': [step, *later]}


def job_id() -> str:
    """Return a new id of a job."""
    return f'{random.getrandbits(64):016x}'
