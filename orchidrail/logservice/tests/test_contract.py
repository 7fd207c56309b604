"""Contract of the platform's ports: every adapter passes the same cases."""

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
    """An adapter under test, with the machine behind it."""

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
    """Each test runs on each adapter."""

    def on_each(self, scenario) -> None:  # type: ignore[no-untyped-def]
        """Run a scenario on every adapter."""
        for adapter in (_in_memory, _over_http):

            async def run(adapter=adapter) -> None:  # type: ignore[no-untyped-def]
                async with adapter() as platform:
                    await scenario(platform)

            self.run_async(run())

    def test_offsets_grow_by_one_in_each_stream(self) -> None:
        async def scenario(platform: Platform) -> None:
            for expected in range(3):
                offset = self.assert_ok(await platform.log.append('a', 'x'))
                self.assertEqual(expected, offset)
            other = self.assert_ok(await platform.log.append('b', 'x'))
            self.assertEqual(0, other)

        self.on_each(scenario)

    def test_reads_begin_where_they_are_asked_to(self) -> None:
        async def scenario(platform: Platform) -> None:
            for text in ('p', 'q', 'r'):
                await platform.log.append('a', text)
            page = self.assert_ok(await platform.log.read('a', Offset(1), 10))
            self.assertEqual(['q', 'r'], [one.payload for one in page.records])
            self.assertEqual((0, 3), (page.first, page.end))
            short = self.assert_ok(await platform.log.read('a', Offset(0), 1))
            self.assertEqual(['p'], [one.payload for one in short.records])

        self.on_each(scenario)

    def test_a_trimmed_prefix_is_told(self) -> None:
        async def scenario(platform: Platform) -> None:
            await platform.log.append('a', 'old')
            platform.machine.retention = -1
            page = self.assert_ok(await platform.log.read('a', Offset(0), 10))
            self.assertEqual([], page.records)
            self.assertEqual((1, 1), (page.first, page.end))

        self.on_each(scenario)

    def test_a_log_that_is_down_refuses(self) -> None:
        async def scenario(platform: Platform) -> None:
            platform.machine.faults = LogFaults(down=True)
            appended = await platform.log.append('a', 'x')
            read = await platform.log.read('a', Offset(0), 10)
            self.assert_err(appended, LogFailure.REFUSED)
            self.assert_err(read, LogFailure.REFUSED)

        self.on_each(scenario)

    def test_appends_above_the_rate_are_refused(self) -> None:
        async def scenario(platform: Platform) -> None:
            outcomes = [await platform.log.append('a', 'x') for _ in range(101)]
            refused = [one for one in outcomes if not isinstance(one, Ok)]
            self.assertGreaterEqual(len(refused), 1)

        async def run() -> None:
            async with _in_memory() as platform:
                await scenario(platform)

        self.run_async(run())

    def test_the_list_tells_state_and_rack(self) -> None:
        async def scenario(platform: Platform) -> None:
            zone = ZoneId('hall-1')
            listed = self.assert_ok(await platform.instances.fetch(zone))
            self.assertEqual([_INSTANCE], listed)

        self.on_each(scenario)

    def test_a_platform_that_is_away_can_not_have_got_the_call(self) -> None:
        async def scenario() -> None:
            bound = listen('127.0.0.1:0')
            port = bound.getsockname()[1]
            bound.close()
            client = HttpPlatform(f'http://127.0.0.1:{port}')
            outcome = await client.append('a', 'x')
            await client.close()
            self.assert_err(outcome, LogFailure.NOT_SENT)

        self.run_async(scenario())

    def test_an_instance_survives_the_encoding(self) -> None:
        raw = msgspec.json.encode(_INSTANCE)
        self.assertEqual(_INSTANCE, msgspec.json.decode(raw, type=Instance))
