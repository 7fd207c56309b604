"""Tests of shard takeover, with a store in memory."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from random import Random

import msgspec

from orchidrail.instance import ownership
from orchidrail.instance.ownership import Ownership
from orchidrail.journal import JournalView
from orchidrail.peers.pinger import Pinger
from orchidrail.peers.table import PeerTable
from orchidrail.peers.tests.test_table import make_member
from orchidrail.shard.tests.test_owner import make_ports
from orchidrail.store import Topic
from orchidrail.store.memory import MemoryStore, StoreFault
from orchidrail.testing import AsyncTestCase, ScriptedTransport
from orchidrail.types import Address, CallFailure, Epoch
from orchidrail.wire.messages import Message, PeerState
from orchidrail.work.model import MemberInfo

_SHORT_WAIT = 0.4
_POLL_INTERVAL = 0.02


async def _until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; the time limit of the test bounds the wait."""
    while not condition():
        await asyncio.sleep(_POLL_INTERVAL)


class _Process:
    """The ownership of one process, with its peers in `by_address`."""

    def __init__(
        self,
        name: str,
        store: MemoryStore,
        by_address: dict[Address, _Process],
    ) -> None:
        self.table = PeerTable(make_member(name), time.monotonic)
        self.ownership = Ownership(
            self.table,
            JournalView(store, Topic('journal')),
            time.monotonic,
        )
        self._by_address = by_address
        transport = ScriptedTransport(self._answer)
        self.pinger = Pinger(
            self.table,
            transport,
            self.ownership.describe,
            Random(1),
            time.monotonic,
        )
        self.ownership.pinger = self.pinger
        self.ownership.ports = make_ports(store)
        self.ownership.handover = self._request_takeover
        self.refuses = False
        self.is_partitioned = False
        self.tasks: list[asyncio.Task[None]] = []

    def _answer(
        self,
        address: Address,
        message: Message,
    ) -> Message | CallFailure:
        peer = self._by_address.get(address)
        if peer is None or not isinstance(message, PeerState):
            return CallFailure.NOT_SENT
        if peer.refuses or peer.is_partitioned or self.is_partitioned:
            return CallFailure.NOT_SENT
        peer.table.record_heartbeat(message)
        return peer.ownership.describe()

    async def _request_takeover(self, peers: list[MemberInfo]) -> bool:
        target = self._by_address[peers[0].address].ownership
        target.takeover_epoch = self.table.claim.epoch
        target.takeover_requested.set()
        return True

    def start(self) -> None:
        self._by_address[self.table.me.address] = self
        self.tasks = [
            asyncio.create_task(work)
            for work in (
                self.ownership.run(),
                self.pinger.ping_owner(),
                self.pinger.ping_others(),
            )
        ]

    def kill(self) -> None:
        self._by_address.pop(self.table.me.address, None)
        for task in self.tasks:
            task.cancel()


class OwnershipTest(AsyncTestCase):
    def run_scenario(
        self,
        scenario: Callable[[dict[str, _Process], MemoryStore], Awaitable[None]],
    ) -> None:
        """Run a scenario with three processes."""

        async def run() -> None:
            store = MemoryStore()
            by_address: dict[Address, _Process] = {}
            by_name = {
                name: _Process(name, store, by_address)
                for name in ('a', 'b', 'c')
            }
            for process in by_name.values():
                for other in by_name:
                    process.table.add_member(make_member(other))
                process.start()
            try:
                await scenario(by_name, store)
            finally:
                for process in by_name.values():
                    process.kill()

        self.run_async(run())

    def owners(self, by_name: dict[str, _Process]) -> list[str]:
        return [
            name
            for name, process in by_name.items()
            if process.ownership.owner is not None
        ]

    def test_one_process_owns_and_all_others_learn_it(self) -> None:
        async def scenario(
            by_name: dict[str, _Process], _: MemoryStore
        ) -> None:
            await _until(lambda: bool(self.owners(by_name)))
            owners = self.owners(by_name)
            # The others learn the owner at their next ping.
            await _until(
                lambda: (
                    {one.table.claim.name for one in by_name.values()}
                    == set(owners)
                )
            )
            await asyncio.sleep(_SHORT_WAIT)
            self.assertEqual(owners, self.owners(by_name))
            self.assertEqual(1, len(owners))

        self.run_scenario(scenario)

    def test_a_dead_owner_is_replaced(self) -> None:
        async def scenario(
            by_name: dict[str, _Process], _: MemoryStore
        ) -> None:
            await _until(lambda: bool(self.owners(by_name)))
            first = self.owners(by_name)[0]
            by_name.pop(first).kill()
            await _until(lambda: bool(self.owners(by_name)))
            owners = self.owners(by_name)
            claim = by_name[owners[0]].table.claim
            self.assertEqual(Epoch(2), claim.epoch)

        self.run_scenario(scenario)

    def test_a_live_owner_is_not_replaced_while_the_store_is_down(self) -> None:
        async def scenario(
            by_name: dict[str, _Process],
            store: MemoryStore,
        ) -> None:
            await _until(lambda: bool(self.owners(by_name)))
            before = self.owners(by_name)
            store.fault = StoreFault.REFUSES
            await asyncio.sleep(_SHORT_WAIT * 4)
            store.fault = None
            await asyncio.sleep(_SHORT_WAIT)
            self.assertEqual(before, self.owners(by_name))

        self.run_scenario(scenario)

    def test_an_owner_that_appends_is_not_replaced_for_missing_heartbeats(
        self,
    ) -> None:
        async def scenario(
            by_name: dict[str, _Process], _: MemoryStore
        ) -> None:
            await _until(lambda: bool(self.owners(by_name)))
            before = self.owners(by_name)
            owner = by_name[before[0]]
            owner.refuses = True
            await asyncio.sleep(_SHORT_WAIT * 4)
            self.assertEqual(before, self.owners(by_name))

        self.run_scenario(scenario)

    def test_an_isolated_owner_is_replaced(self) -> None:
        async def scenario(
            by_name: dict[str, _Process], _: MemoryStore
        ) -> None:
            await _until(lambda: bool(self.owners(by_name)))
            first = self.owners(by_name)[0]
            await asyncio.sleep(_SHORT_WAIT)
            by_name[first].is_partitioned = True
            await _until(
                lambda: self.owners(by_name) not in ([], [first]),
            )

        self.run_scenario(scenario)

    def test_an_owner_that_has_just_started_is_not_isolated(self) -> None:
        async def scenario() -> None:
            single = _Process('a', MemoryStore(), {})
            single.table.add_member(make_member('b'))
            single.start()
            await _until(lambda: single.ownership.owner is not None)
            owner = single.ownership.owner
            assert owner is not None
            self.assertEqual(1, owner.writer.owner.epoch)
            await asyncio.sleep(0.4)
            self.assertIs(owner, single.ownership.owner)
            single.kill()

        self.run_async(scenario())

    def test_a_joining_process_reads_only_the_owner_record(self) -> None:
        async def scenario(
            by_name: dict[str, _Process],
            store: MemoryStore,
        ) -> None:
            await _until(lambda: len(self.owners(by_name)) == 1)
            by_address = {
                process.table.me.address: process
                for process in by_name.values()
            }
            joining = _Process('d', store, by_address)
            joining.start()
            await _until(lambda: joining.table.claim.epoch == 1)
            await asyncio.sleep(0.3)
            self.assertIsNone(joining.ownership._view.end)
            joining.kill()

        self.run_scenario(scenario)

    def test_hands_over_to_a_faster_instance(self) -> None:
        async def scenario(
            by_name: dict[str, _Process], _: MemoryStore
        ) -> None:
            await _until(lambda: bool(self.owners(by_name)))
            first = self.owners(by_name)[0]
            other = next(name for name in by_name if name != first)
            strong = by_name[other].table
            strong.me = msgspec.structs.replace(strong.me, speed=4)
            await _until(lambda: self.owners(by_name) == [other])

        self.patch(ownership, '_FASTER_FOR', 0.2)
        self.run_scenario(scenario)

    def test_one_standby_in_a_zone_follows_the_journal(self) -> None:
        async def scenario(
            by_name: dict[str, _Process], _: MemoryStore
        ) -> None:
            await _until(lambda: bool(self.owners(by_name)))
            await asyncio.sleep(_SHORT_WAIT * 2)
            others = [
                process.ownership
                for name, process in by_name.items()
                if name not in self.owners(by_name)
            ]
            following = [other for other in others if other.is_standby()]
            self.assertEqual(1, len(following))
            # In a large cell two given processes ping each other rarely.
            for process in by_name.values():
                process._by_address = {}
            for other in others:
                other._table._clock = lambda: time.monotonic() + 4
            following = [other for other in others if other.is_standby()]
            self.assertEqual(1, len(following))

        self.run_scenario(scenario)

    def test_standbys_take_over_first(self) -> None:
        async def scenario(
            by_name: dict[str, _Process], _: MemoryStore
        ) -> None:
            await _until(lambda: len(self.owners(by_name)) == 1)
            owner = self.owners(by_name)[0]
            await asyncio.sleep(0.3)
            others = [
                process.ownership
                for name, process in by_name.items()
                if name != owner
            ]
            candidates_by_standby = {
                other.is_standby(): other._candidates_before()
                for other in others
            }
            self.assertEqual({True: 0, False: 1}, candidates_by_standby)

        self.run_scenario(scenario)

    def test_a_peer_takes_over_on_request(self) -> None:
        async def scenario(
            by_name: dict[str, _Process], _: MemoryStore
        ) -> None:
            await _until(lambda: bool(self.owners(by_name)))
            first = self.owners(by_name)[0]
            other = next(name for name in by_name if name != first)
            target = by_name[other].ownership
            target.takeover_epoch = Epoch(1)
            target.takeover_requested.set()
            by_name[first].ownership.eligible = False
            await _until(lambda: self.owners(by_name) == [other])

        self.run_scenario(scenario)
