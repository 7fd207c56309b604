"""``standin-worker``: one upstream instance, with its worker agent."""

from __future__ import annotations

import asyncio
import secrets
import signal
import time
from contextlib import AsyncExitStack

import fire
import httpx
import msgspec
import structlog

from orchidrail.logs import configure_logs
from orchidrail.logservice.ports import Instance
from orchidrail.resources import Resources
from orchidrail.types import Address, WorkerId, ZoneId
from orchidrail.wire.transport import MessageServer, TrafficCounter
from standins.machine import JournalEntry, WorkerMachine

_EXPIRE_INTERVAL = 0.5
_SLOTS = 8
_CONNECTIONS = 64
_log = structlog.get_logger()


class _LoggedJournal(list[JournalEntry]):
    """Logs each entry, so that the run can be checked afterwards."""

    def append(self, entry: JournalEntry) -> None:
        """Log one entry without storing it."""
        _log.info('journal', entry=entry._asdict())


class _LoggedFaults(list[str]):
    def append(self, fault: str) -> None:
        """Log one fault without storing it."""
        _log.error('fault', fault=fault)


def run(
    name: str,
    zone: str,
    rack: str,
    platform: str,
    cores: float = 64,
    memory: float = 128,
    accelerators: int = 0,
    fail: bool = False,
) -> None:
    """Run a worker until it is terminated.

    Parameters
    ----------
    name, zone, rack : str
        Attributes of the instance in the platform's list.
    platform : str
        Base URL of the platform.
    fail : bool
        Whether every task fails immediately.
    """
    capacity = Resources(
        cores,
        memory,
        accelerators,
        slots=_SLOTS,
        connections=_CONNECTIONS,
    )
    configure_logs('info', daemon=name)
    machine = WorkerMachine(
        WorkerId(name),
        capacity,
        time.monotonic,
        boot=secrets.token_hex(4),
        first_epoch=int(time.time()),
    )
    machine.journal = _LoggedJournal()
    machine.faults = _LoggedFaults()
    machine.behaviour.fail_everything = fail
    asyncio.run(_serve(machine, ZoneId(zone), rack, platform))


async def _serve(
    machine: WorkerMachine,
    zone: ZoneId,
    rack: str,
    platform: str,
) -> None:
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM,
        stopping.set,
    )
    async with AsyncExitStack() as stack:
        server = MessageServer(machine.handle, TrafficCounter())
        address = await server.start('127.0.0.1', 0)
        stack.push_async_callback(server.close)
        instance = Instance(
            machine.name,
            zone,
            rack,
            Address(address),
            capacity=machine.capacity,
        )
        await _register(platform, instance)
        _log.info('ready', address=address)
        expiring = asyncio.create_task(_expire(machine))
        stack.callback(expiring.cancel)
        await stopping.wait()


async def _register(platform: str, instance: Instance) -> None:
    async with httpx.AsyncClient(trust_env=False) as client:
        body = msgspec.json.encode(instance)
        await client.put(f'{platform}/instances', content=body)


async def _expire(machine: WorkerMachine) -> None:
    while True:
        await asyncio.sleep(_EXPIRE_INTERVAL)
        machine.expire()


def main() -> None:
    """Read the command line."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
