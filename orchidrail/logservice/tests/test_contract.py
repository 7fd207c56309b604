"""Contract tests of the platform's ports, run on every adapter."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from typing import NamedTuple

import msgspec
import uvicorn
from result import Ok

from orchidrail.logservice.http import HttpPlatform
from orchidrail.logservice.ports import (
    ConfigurationLog,
    Instance,
    InstanceList,
    LogFailure,
)
from orchidrail.scheduler.tests.small_zone import Clock, FakeServices
from orchidrail.sockets import listen
from orchidrail.testing import AsyncTestCase
from orchidrail.types import Address, InstanceState, Offset, WorkerId, ZoneId
from standins.log import LogFaults, LogMachine
from standins.platform import PlatformApi

_INSTANCE = Instance(
    WorkerId('w-1'),
    ZoneId('hall-1'),
    'rack-1',
    Address('10.0.0.1:1'),
    InstanceState.LEAVING,
)


class Platform(NamedTuple):
    """An adapter under test and the simulated log behind it."""

    log: ConfigurationLog
    instances: InstanceList
    machine: LogMachine


@asynccontextmanager
async def _in_memory() -> AsyncGenerator[Platform, None]:
    machine = LogMachine(Clock())
    services = FakeServices(machine, [_INSTANCE])
    yield Platform(services, services, machine)


@asynccontextmanager
async def _over_http() -> AsyncGenerator[Platform, None]:
    api = PlatformApi(retention=3600)
    api.instance_by_name[_INSTANCE.name] = _INSTANCE
    bound = listen('127.0.0.1:0')
    config = uvicorn.Config(api.app, loop='asyncio', log_config=None)
    server = uvicorn.Server(config)
    serving = asyncio.create_task(server.serve(sockets=[bound]))
    while not server.started:
        await asyncio.sleep(0.01)
    client = HttpPlatform(f'http://127.0.0.1:{bound.getsockname()[1]}')
    try:
        yield Platform(client, client, api.log)
    finally:
        await client.close()
        server.should_exit = True
        await serving


class ContractTest(AsyncTestCase):
    """Cases that every adapter must pass."""

    def run_on_each_adapter(self, scenario) -> None:  # type: ignore[no-untyped-def]
        """Run a scenario on every adapter."""
        for adapter in (_in_memory, _over_http):

            async def run(adapter=adapter) -> None:  # type: ignore[no-untyped-def]
                async with adapter() as platform:
                    await scenario(platform)

            self.run_async(run())

    def test_offsets_are_consecutive_per_stream(self) -> None:
        async def scenario(platform: Platform) -> None:
            for expected in range(3):
                offset = self.assert_ok(await platform.log.append('a', 'x'))
                self.assertEqual(expected, offset)
            other = self.assert_ok(await platform.log.append('b', 'x'))
            self.assertEqual(0, other)

        self.run_on_each_adapter(scenario)

    def test_read_honours_start_and_limit(self) -> None:
        async def scenario(platform: Platform) -> None:
            for text in ('p', 'q', 'r'):
                await platform.log.append('a', text)
            page = self.assert_ok(await platform.log.read('a', Offset(1), 10))
            self.assertEqual(['q', 'r'], [one.payload for one in page.records])
            self.assertEqual((0, 3), (page.first, page.end))
            short = self.assert_ok(await platform.log.read('a', Offset(0), 1))
            self.assertEqual(['p'], [one.payload for one in short.records])

        self.run_on_each_adapter(scenario)

    def test_read_reports_trimmed_prefix(self) -> None:
        async def scenario(platform: Platform) -> None:
            await platform.log.append('a', 'old')
            platform.machine.retention = -1
            page = self.assert_ok(await platform.log.read('a', Offset(0), 10))
            self.assertEqual([], page.records)
            self.assertEqual((1, 1), (page.first, page.end))

        self.run_on_each_adapter(scenario)

    def test_unavailable_log_refuses_calls(self) -> None:
        async def scenario(platform: Platform) -> None:
            platform.machine.faults = LogFaults(down=True)
            appended = await platform.log.append('a', 'x')
            read = await platform.log.read('a', Offset(0), 10)
            self.assert_err(appended, LogFailure.REFUSED)
            self.assert_err(read, LogFailure.REFUSED)

        self.run_on_each_adapter(scenario)

    def test_appends_above_rate_limit_are_refused(self) -> None:
        async def scenario(platform: Platform) -> None:
            outcomes = [await platform.log.append('a', 'x') for _ in range(101)]
            refused = [one for one in outcomes if not isinstance(one, Ok)]
            self.assertGreaterEqual(len(refused), 1)

        async def run() -> None:
            async with _in_memory() as platform:
                await scenario(platform)

        self.run_async(run())

    def test_instance_list_holds_state_and_rack(self) -> None:
        async def scenario(platform: Platform) -> None:
            zone = ZoneId('hall-1')
            listed = self.assert_ok(await platform.instances.fetch(zone))
            self.assertEqual([_INSTANCE], listed)

        self.run_on_each_adapter(scenario)

    def test_refused_connection_is_not_sent(self) -> None:
        async def scenario() -> None:
            bound = listen('127.0.0.1:0')
            port = bound.getsockname()[1]
            bound.close()
            client = HttpPlatform(f'http://127.0.0.1:{port}')
            outcome = await client.append('a', 'x')
            await client.close()
            self.assert_err(outcome, LogFailure.NOT_SENT)

        self.run_async(scenario())

    def test_instance_round_trips_through_json(self) -> None:
        raw = msgspec.json.encode(_INSTANCE)
        self.assertEqual(_INSTANCE, msgspec.json.decode(raw, type=Instance))
