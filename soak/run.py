"""One run of the soak test."""

from __future__ import annotations

import asyncio
import copy
import functools
import pathlib
import tempfile
import time
from collections import Counter
from contextlib import AsyncExitStack
from random import Random
from typing import NamedTuple

from blacksheep import Request, Response

from orchidrail.sockets import listen
from soak.advice import ADVICE, AdviceStandIn
from soak.callers import Callers
from soak.evacuations import Evacuations
from soak.faults import Faults
from soak.gangs import Gangs
from soak.http import serve
from soak.lasting import LastingCallers
from soak.ledger import Ledger
from soak.proxy import Proxy
from soak.starvation import StarvationWatch
from soak.store import StoreStandIn
from soak.system import Instance
from soak.tenants import Operator
from soak.watch import LastingWatch
from soak.workers import ZONES, WorkerStandIn

_WORKERS = 8
_STORE_PORT = 9001
_READY_PORT = 8167
_ADVICE_PORT = 9300
_WORKER_PORT, _WORKER_LINK_PORT = 9100, 9200
_START_TIMEOUT = 15.0
#: Jobs submitted per second, under faults and in the fault-free phase.
_JOBS_PER_SECOND, _FAULT_FREE_JOBS_PER_SECOND = 6.0, 3.0
_SETTLE_TIMEOUT = 40.0
#: Duration of the fault-free phase in seconds; all startable tasks run in it.
_FAULT_FREE_SECONDS = (14.0, 18.0)
_WATCH_INTERVAL = 0.1
#: Seconds at the end of the fault-free phase in which no worker breaks.
_NO_BREAKS_AT_END = 8.0
#: Fault-free seconds after which an instance has reconnected to the store, and
#: seconds in which it must apply a configuration.
_RECONNECT_SECONDS, _APPLY_SECONDS = 3.0, 3.0
_QUEUE = {
    'name': 'queue',
    'host': 'queue.example',
    'pathPrefix': '/q/',
    'service': 'service',
    'priority': 1,
    'maxAttempts': 3,
    'extension': 2,
    'targetLatencyMs': 1000,
}
_ADVISED = {'name': 'advised', 'pathPrefix': '/advised/', 'advice': ADVICE}
_CONFIG = {
    'version': 0,
    'routes': [_QUEUE, _QUEUE | _ADVISED],
    'limits': {},
}


class Outcome(NamedTuple):
    """Results of a run."""

    violations: list[str]
    jobs: int
    accepted: int
    faults: Counter[str]
    endings: Counter[str]
    lasting: int
    #: Failed runs of long-running tasks.
    lasting_failures: int
    #: Longest interruption of such a task in seconds, with free capacity and
    #: without faults.
    longest_interruption: float
    #: Failed runs of gangs, and the longest time in seconds without a running
    #: task of a job, with free capacity and without faults.
    gang_failures: int
    longest_idle: float
    #: Evacuations of zones.
    evacuations: int
    #: Pauses of the soak's process that counted as faults.
    pauses: int


class Soak:
    """Stand-ins, proxied links and processes of one run.

    Parameters
    ----------
    seed : int
    slot : int
        Second byte of the loopback network 127.`slot`.0.0; parallel runs need
        different ones. The command line uses 1 to 200.
    folder : pathlib.Path
        Folder of settings files and logs.
    per_zone : int
        Number of processes in each of the three zones.
    crashing : bool
        Whether to vary jobs and faults: jobs crash workers, fail, are
        long-running, request accelerators or need advice; workers fail, lose
        capacity or restart under the same name; foreign entries are written.
    evacuating : bool
        Whether the operator evacuates zones and takes them back.
    """

    def __init__(
        self,
        seed: int,
        slot: int,
        folder: pathlib.Path,
        *,
        per_zone: int = 2,
        crashing: bool = False,
        evacuating: bool = False,
    ) -> None:
        """Create the stand-ins and instances; nothing is started yet."""
        self._crashing = Random(f'crashing {seed}') if crashing else None
        self._restarts = Random(f'returns {seed}') if crashing else None
        self._foreign_entries = Random(f'foreign {seed}') if crashing else None
        self._lasting = Random(f'lasting {seed}') if crashing else None
        self._breakage = Random(f'broken {seed}') if crashing else None
        self._variants = Random(f'kinds {seed}') if crashing else None
        self._lasting_calls = Random(f'lasting calls {seed}')
        self.ledger = Ledger()
        self._tenants = Random(f'tenants {seed}')
        self._network = f'127.{slot}'
        self._random = Random(seed)
        store_host = f'{self._network}.9.1'
        self._store = StoreStandIn()
        self._store_at = store_host, _STORE_PORT
        self._operator = Operator(
            copy.deepcopy(_CONFIG),
            self._store,
            self.ledger,
            Random(f'operator {seed}') if crashing else None,
        )
        self.ledger.limits = self._operator
        self._evacuations = Evacuations(
            self._store,
            self.ledger,
            [f'zone-{zone}' for zone in range(ZONES)],
            Random(f'evacuations {seed}') if evacuating else None,
        )
        self._worker_host = f'{self._network}.9.2'
        gangs = Gangs()
        self._advice = AdviceStandIn(_WORKERS)
        self._workers = [
            WorkerStandIn(
                number,
                f'{self._worker_host}:{_WORKER_LINK_PORT + number}',
                self._store,
                self.ledger,
                gangs,
                self._advice,
                seed,
            )
            for number in range(_WORKERS)
        ]
        self._lasting_watch = LastingWatch(self.ledger, self._workers)
        self._starvation_watch = StarvationWatch(self.ledger, self._workers)
        self._links = [
            Proxy(functools.partial(self._worker_at, number))
            for number in range(_WORKERS)
        ]
        for worker, link in zip(self._workers, self._links, strict=True):
            worker.on_crash = link.abort_all
            worker.on_start = self._evacuations.record_start
        self._instances = [
            Instance(
                f'instance-{zone}-{number}',
                f'zone-{zone}',
                f'{self._network}.{zone + 1}.{number + 1}',
                folder,
                self._store_at,
                f'{store_host}:{_ADVICE_PORT + zone * per_zone + number}',
            )
            for zone in range(ZONES)
            for number in range(per_zone)
        ]

    async def execute(self, seconds: float, per_second: float) -> Outcome:
        """Inject faults for some seconds, then let jobs end and check."""
        async with AsyncExitStack() as stack:
            await self._open(stack)
            callers = self._make_callers(
                self._random,
                self._crashing,
                self._variants,
            )
            lasting = LastingCallers(
                self._make_callers(self._lasting_calls),
                self.ledger,
                self._lasting,
            )
            stack.push_async_callback(callers.close)
            stack.push_async_callback(lasting.close)
            await self._wait_until_ready()
            faults = Faults(
                self._instances,
                self._workers,
                self._links,
                self._random,
                self._restarts,
            )
            watching = asyncio.create_task(self._watch())
            stack.callback(watching.cancel)
            until = time.monotonic() + seconds
            await asyncio.gather(
                callers.run(until + 2, per_second),
                lasting.run(),
                self._run_faults(faults, callers, lasting, until),
            )
            await callers.wait_until_ended(_SETTLE_TIMEOUT)
            if self._operator.keys_by_tenant:
                await self._revoke_keys(callers)
            self.ledger.check_final_state()
            if watching.done():
                watching.result()
            return self._summarize(faults, callers)

    async def _run_faults(
        self,
        faults: Faults,
        callers: Callers,
        lasting: LastingCallers,
        until: float,
    ) -> None:
        """Inject faults until a monotonic time, then run without them."""
        await asyncio.gather(
            faults.run(until),
            faults.shrink_capacities(until, self._crashing),
            faults.write_entries(until, self._foreign_entries),
            faults.break_workers(until, self._breakage),
            self._operator.apply_changes(until),
            self._evacuations.run(until),
        )
        if self._lasting is not None:
            fault_free_seconds = self._lasting.uniform(*_FAULT_FREE_SECONDS)
            await self._run_fault_free(faults, callers, fault_free_seconds)
        lasting.stop()

    async def _run_fault_free(
        self,
        faults: Faults,
        callers: Callers,
        seconds: float,
    ) -> None:
        """Submit jobs without faults, once all instances are ready.

        Jobs and workers still fail, as these are no faults of the platform.
        """
        try:
            await self._wait_until_ready()
        except TimeoutError as error:
            self.ledger.report_violation('RECOVER', str(error))
        self.ledger.fault_free_since = time.monotonic()
        until = self.ledger.fault_free_since + seconds
        await asyncio.gather(
            callers.run(until, _FAULT_FREE_JOBS_PER_SECOND),
            faults.break_workers(until - _NO_BREAKS_AT_END, self._breakage),
        )

    async def _watch(self) -> None:
        while True:
            now = time.monotonic()
            self.ledger.note_running(now)
            self._lasting_watch.check(now)
            self._starvation_watch.check(now)
            await asyncio.sleep(_WATCH_INTERVAL)

    def _make_callers(
        self,
        random: Random,
        crashing: Random | None = None,
        variants: Random | None = None,
    ) -> Callers:
        return Callers(
            [instance.callers for instance in self._instances],
            self.ledger,
            random,
            crashing,
            self._operator,
            self._tenants,
            variants,
        )

    def _summarize(self, faults: Faults, callers: Callers) -> Outcome:
        jobs = self.ledger.job_by_id.values()
        lasting = [job for job in jobs if job.lasting]
        return Outcome(
            self.ledger.violations,
            len(jobs),
            sum(job.accepted for job in jobs),
            faults.count,
            callers.endings,
            len(lasting),
            self.ledger.count_failures(lasting),
            self._lasting_watch.timer.longest,
            self.ledger.count_failures([job for job in jobs if job.gang]),
            self._starvation_watch.timer.longest,
            self._evacuations.count,
            self.ledger.pauses,
        )

    async def _revoke_keys(self, callers: Callers) -> None:
        """Revoke a tenant's keys; every instance must apply it."""
        await asyncio.sleep(_RECONNECT_SECONDS)
        revoked = self._operator.revoke_all_keys('large')
        await asyncio.sleep(_APPLY_SECONDS)
        await callers.check_keys(revoked)

    def _worker_at(self, number: int) -> tuple[str, int]:
        return self._worker_host, _WORKER_PORT + number

    async def _open(self, stack: AsyncExitStack) -> None:
        await self._reject_network_in_use()
        self._operator.write()
        host, port = self._store_at
        await serve(stack, self._store.serve, [listen(f'{host}:{port}')])
        advice_ports = range(
            _ADVICE_PORT,
            _ADVICE_PORT + len(self._instances),
        )
        lanes = [listen(f'{host}:{lane}') for lane in advice_ports]
        await serve(stack, self._advice.serve, lanes)
        ports = [_WORKER_PORT + number for number in range(_WORKERS)]
        sockets = [listen(f'{self._worker_host}:{port}') for port in ports]
        await serve(stack, self._serve_worker, sockets)
        for number, link in enumerate(self._links):
            link_port = _WORKER_LINK_PORT + number
            await link.start(stack, self._worker_host, link_port)
        for worker in self._workers:
            stack.callback(asyncio.create_task(worker.run_tasks()).cancel)
        for instance in self._instances:
            await instance.open(stack)

    async def _reject_network_in_use(self) -> None:
        """Reject it: instances of another run would serve these callers.

        Raises
        ------
        RuntimeError
            If the address of an instance is already in use.
        """
        for instance in self._instances:
            host = instance.callers.partition(':')[0]
            if await _is_listening(host):
                raise RuntimeError(
                    f'{host!r} is in use by another run, expected it free'
                )

    async def _serve_worker(self, request: Request) -> Response:
        port = request.scope['server'][1]
        return await self._workers[port - _WORKER_PORT].serve(request)

    async def _wait_until_ready(self) -> None:
        """Wait until every instance is ready.

        Raises
        ------
        TimeoutError
            If an instance isn't ready in time; the run would be void then.
        """
        until = time.monotonic() + _START_TIMEOUT
        for instance in self._instances:
            host = instance.callers.partition(':')[0]
            while not await _is_ready(host):
                if time.monotonic() > until:
                    raise TimeoutError(f'{host!r} did not become ready')
                await asyncio.sleep(0.1)


async def _is_listening(host: str) -> bool:
    try:
        _, writer = await asyncio.open_connection(host, _READY_PORT)
    except OSError:
        return False
    writer.close()
    return True


async def _is_ready(host: str) -> bool:
    try:
        reader, writer = await asyncio.open_connection(host, _READY_PORT)
    except OSError:
        return False
    writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
    line = await reader.readline()
    writer.close()
    return b' 200 ' in line


def run_seed(
    seed: int,
    slot: int = 1,
    seconds: float = 20,
    logs: str = '',
    *,
    per_zone: int = 2,
    crashing: bool = True,
    evacuating: bool = False,
) -> Outcome:
    """Run one seed; logs are kept in the folder `logs` if it is given."""
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(logs or scratch)
        folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(
            seed,
            slot,
            folder,
            per_zone=per_zone,
            crashing=crashing,
            evacuating=evacuating,
        )
        return asyncio.run(soak.execute(seconds, _JOBS_PER_SECOND))
