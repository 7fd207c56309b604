"""Tests of what an instance knows of evacuations, from the store and peers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import msgspec
from result import Ok, Result

from orchidrail.evacuation import EvacuationFollower, ZoneGate
from orchidrail.instance.config_follower import ConfigFollower
from orchidrail.journal import JournalView
from orchidrail.metrics import InstanceMetrics
from orchidrail.peers.table import PeerTable
from orchidrail.peers.tests.test_table import make_member, make_state
from orchidrail.platform.configuration import find_evacuated_zones
from orchidrail.store import KeyedRecord, Topic
from orchidrail.store.memory import MemoryStore, StoreFault
from orchidrail.testing import AsyncTestCase
from orchidrail.types import Offset, ZoneId
from orchidrail.work.model import CellConfig

_TOPIC = Topic('operator')
_ZONE = ZoneId('z-1')
_BOUND = 5
#: Longer than an open read and its repetition.
_READ_TIME = 1.3


def _decode(raw: bytes) -> Result[CellConfig, str]:
    return Ok(CellConfig(int(raw)))


class EvacuationFollowerTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock_offset: float = 0
        self.store = MemoryStore()
        self.metrics = InstanceMetrics()
        self.gate = ZoneGate(self.now, _BOUND)
        self.follower = EvacuationFollower(
            self.gate, find_evacuated_zones, self.metrics
        )
        self.table = PeerTable(make_member('me'), self.now)
        self.table.on_operator_records = self.follower.on_peer

    def now(self) -> float:
        return time.monotonic() + self.clock_offset

    def run_scenario(self, scenario: Callable[[], Awaitable[None]]) -> None:
        """Run a scenario while the operator's records are followed."""

        async def run() -> None:
            config = ConfigFollower(
                JournalView(self.store, _TOPIC),
                'config',
                _decode,
                self.metrics,
                self.now,
            )
            config.on_read = self.follower.on_read
            await self.write('config', b'3')
            following = asyncio.create_task(config.run())
            await asyncio.sleep(0.1)
            try:
                await scenario()
            finally:
                following.cancel()

        self.run_async(run())

    async def write(self, key: str, value: bytes) -> None:
        await self.store.append(_TOPIC, [KeyedRecord(key, value)])

    def hear(self, end: int, *zones: str) -> None:
        """Receive the heartbeat of a peer."""
        state = make_state('a', 'z-2')
        fields = {'operator_end': end, 'evacuated_zones': list(zones)}
        self.table.record_heartbeat(msgspec.structs.replace(state, **fields))

    def test_a_zone_is_closed_until_its_record_is_removed(self) -> None:
        async def scenario() -> None:
            self.assertTrue(self.gate.may_start_in(_ZONE))
            await self.write(f'evacuate/{_ZONE}', b'{}')
            await asyncio.sleep(_READ_TIME)
            self.assertFalse(self.gate.may_start_in(_ZONE))
            self.assertEqual(1, self.metrics.evacuation.zones._value.get())
            await self.write(f'evacuate/{_ZONE}', b'')
            await asyncio.sleep(_READ_TIME)
            self.assertTrue(self.gate.may_start_in(_ZONE))
            self.assertEqual(0, self.metrics.evacuation.zones._value.get())

        self.run_scenario(scenario)

    def test_a_peer_reports_what_can_not_be_read_here(self) -> None:
        async def scenario() -> None:
            self.store.fault = StoreFault.REFUSES
            end = self.gate.snapshot.offset
            self.hear(end, _ZONE)
            self.assertTrue(self.gate.may_start_in(_ZONE))
            self.hear(end + 1, _ZONE)
            self.assertFalse(self.gate.may_start_in(_ZONE))
            self.hear(end + 2)
            self.assertTrue(self.gate.may_start_in(_ZONE))

        self.run_scenario(scenario)

    def test_a_peer_of_an_older_build_changes_nothing(self) -> None:
        async def scenario() -> None:
            before = self.gate.snapshot
            self.table.record_heartbeat(make_state('a', 'z-2'))
            self.assertEqual(before, self.gate.snapshot)

        self.run_scenario(scenario)

    def test_a_heartbeat_does_not_renew_outdated_records(self) -> None:
        """A heartbeat may have waited while the process stood still."""

        async def scenario() -> None:
            self.store.fault = StoreFault.REFUSES
            self.clock_offset = _BOUND
            self.hear(self.gate.snapshot.offset + 1)
            self.assertFalse(self.gate.may_start_in(_ZONE))
            self.store.fault = None
            await asyncio.sleep(_READ_TIME)
            self.assertTrue(self.gate.may_start_in(_ZONE))

        self.run_scenario(scenario)

    def test_a_listing_replaces_what_was_known(self) -> None:
        """The history of a zone's record may be trimmed before it is read."""
        self.follower.on_read({f'evacuate/{_ZONE}': b'{}'}, Offset(4), 1)
        self.assertTrue(self.gate.is_evacuated(_ZONE))
        self.follower.on_read({'config': b'3'}, Offset(9), 2)
        self.assertFalse(self.gate.is_evacuated(_ZONE))
