"""Tests of which configuration is in force and when it is outdated."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from result import Err, Ok, Result

from orchidrail.instance.config_follower import ConfigFollower
from orchidrail.journal import JournalView
from orchidrail.metrics import InstanceMetrics
from orchidrail.store import KeyedRecord, Topic
from orchidrail.store.memory import MemoryStore, StoreFault
from orchidrail.testing import AsyncTestCase
from orchidrail.work.model import CellConfig

_TOPIC = Topic('operator')


def _decode(raw: bytes) -> Result[CellConfig, str]:
    if raw == b'?':
        return Err(f'expected a version, got {raw!r}')
    return Ok(CellConfig(int(raw)))


class ConfigFollowerTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock_offset: float = 0
        self.store = MemoryStore()

    def run_scenario(
        self,
        scenario: Callable[[ConfigFollower], Awaitable[None]],
    ) -> None:
        """Run a scenario with a follower that has version 3."""

        async def run() -> None:
            loop = asyncio.get_running_loop()
            view = JournalView(self.store, _TOPIC)
            follower = ConfigFollower(
                view,
                'config',
                _decode,
                InstanceMetrics(),
                lambda: loop.time() + self.clock_offset,
            )
            await self.write(b'3')
            following = asyncio.create_task(follower.run())
            await asyncio.sleep(0.1)
            self.assertEqual(3, follower.version)
            await scenario(follower)
            following.cancel()

        self.run_async(run())

    async def write(self, raw: bytes) -> None:
        await self.store.append(_TOPIC, [KeyedRecord('config', raw)])

    def test_an_invalid_configuration_leaves_the_last_in_force(self) -> None:
        async def scenario(follower: ConfigFollower) -> None:
            await self.write(b'?')
            await asyncio.sleep(1.1)
            self.assertEqual(3, follower.version)
            await self.write(b'5')
            await asyncio.sleep(1.1)
            self.assertEqual(5, follower.version)

        self.run_scenario(scenario)

    def test_is_outdated_after_a_peer_reports_a_newer_version(self) -> None:
        """The store refuses an instance while keys are revoked."""

        async def scenario(follower: ConfigFollower) -> None:
            self.store.fault = StoreFault.REFUSES
            follower.observe_version(3)
            self.clock_offset = 10
            self.assertFalse(follower.is_outdated())
            for version in (4, 6, 7):
                follower.observe_version(version)
                self.assertFalse(follower.is_outdated())
                self.clock_offset += 0.6
            follower.observe_version(9)
            self.assertTrue(follower.is_outdated())
            self.store.fault = None
            await self.write(b'9')
            await asyncio.sleep(1.3)
            self.assertFalse(follower.is_outdated())

        self.run_scenario(scenario)

    def test_reports_the_time_since_the_last_confirmation(self) -> None:
        async def scenario(follower: ConfigFollower) -> None:
            self.store.fault = StoreFault.REFUSES
            self.clock_offset = 5
            self.assertGreater(follower.time_since_confirmed(), 4)
            self.store.fault = None
            await asyncio.sleep(1.5)
            self.assertLess(follower.time_since_confirmed(), 2)

        self.run_scenario(scenario)
