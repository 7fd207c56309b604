"""Tests of when a process takes the shard over, over a store in memory."""

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

_SOON = 0.4
_LOOK_EVERY = 0.02


async def _until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; the test's own limit ends a wait in vain."""
    while not condition():
        await asyncio.sleep(_LOOK_EVERY)


class _Process:
    """One process's ownership, its peers reached through `by_address`."""

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
        self.ownership.hand_over = self._ask_to_take
        self.refuses = False
        self.cut_off = False
        self.tasks: list[asyncio.Task[None]] = []

    def _answer(
        self,
        address: Address,
        message: Message,
    ) -> Message | CallFailure:
        peer = self._by_address.get(address)
        if peer is None or not isinstance(message, PeerState):
            return CallFailure.NOT_SENT
        if peer.refuses or peer.cut_off or self.cut_off:
            return CallFailure.NOT_SENT
        peer.table.record_heartbeat(message)
        return peer.ownership.describe()

    async def _ask_to_take(self, peers: list[MemberInfo]) -> bool:
        asked = self._by_address[peers[0].address].ownership
        asked.takeover_epoch = self.table.claim.epoch
        asked.takeover_requested.set()
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
    def play(
        self,
        scene: Callable[[dict[str, _Process], MemoryStore], Awaitable[None]],
    ) -> None:
        """Run a scene with three processes."""

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
                await scene(by_name, store)
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

    def test_one_process_owns_and_all_know_it(self) -> None:
        async def scene(by_name: dict[str, _Process], _: MemoryStore) -> None:
            await _until(lambda: bool(self.owners(by_name)))
            owners = self.owners(by_name)
            # The others hear of it when they next speak to one that knows.
            await _until(
                lambda: (
                    {one.table.claim.name for one in by_name.values()}
                    == set(owners)
                )
            )
            await asyncio.sleep(_SOON)
            self.assertEqual(owners, self.owners(by_name))
            self.assertEqual(1, len(owners))

        self.play(scene)

    def test_a_dead_owner_is_replaced(self) -> None:
        async def scene(by_name: dict[str, _Process], _: MemoryStore) -> None:
            await _until(lambda: bool(self.owners(by_name)))
            first = self.owners(by_name)[0]
            by_name.pop(first).kill()
            await _until(lambda: bool(self.owners(by_name)))
            owners = self.owners(by_name)
            claim = by_name[owners[0]].table.claim
            self.assertEqual(Epoch(2), claim.epoch)

        self.play(scene)

    def test_a_live_owner_is_left_alone_while_the_store_is_down(self) -> None:
        async def scene(
            by_name: dict[str, _Process],
            store: MemoryStore,
        ) -> None:
            await _until(lambda: bool(self.owners(by_name)))
            before = self.owners(by_name)
            store.fault = StoreFault.REFUSES
            await asyncio.sleep(_SOON * 4)
            store.fault = None
            await asyncio.sleep(_SOON)
            self.assertEqual(before, self.owners(by_name))

        self.play(scene)

    def test_an_owner_that_writes_is_left_alone_by_one_that_misses_it(
        self,
    ) -> None:
        async def scene(by_name: dict[str, _Process], _: MemoryStore) -> None:
            await _until(lambda: bool(self.owners(by_name)))
            before = self.owners(by_name)
            owner = by_name[before[0]]
            owner.refuses = True
            await asyncio.sleep(_SOON * 4)
            self.assertEqual(before, self.owners(by_name))

        self.play(scene)

    def test_an_owner_that_hears_nobody_lets_another_own(self) -> None:
        async def scene(by_name: dict[str, _Process], _: MemoryStore) -> None:
            await _until(lambda: bool(self.owners(by_name)))
            first = self.owners(by_name)[0]
            await asyncio.sleep(_SOON)
            by_name[first].cut_off = True
            await _until(
                lambda: self.owners(by_name) not in ([], [first]),
            )

        self.play(scene)

    def test_an_owner_that_has_just_started_is_not_lonely(self) -> None:
        async def scene() -> None:
            alone = _Process('a', MemoryStore(), {})
            alone.table.add_member(make_member('b'))
            alone.start()
            await _until(lambda: alone.ownership.owner is not None)
            owner = alone.ownership.owner
            assert owner is not None
            self.assertEqual(1, owner.writer.owner.epoch)
            await asyncio.sleep(0.4)
            self.assertIs(owner, alone.ownership.owner)
            alone.kill()

        self.run_async(scene())

    def test_a_process_that_joins_reads_only_who_owns(self) -> None:
        async def scene(
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

        self.play(scene)

    def test_a_stronger_machine_is_given_the_shard(self) -> None:
        async def scene(by_name: dict[str, _Process], _: MemoryStore) -> None:
            await _until(lambda: bool(self.owners(by_name)))
            first = self.owners(by_name)[0]
            other = next(name for name in by_name if name != first)
            strong = by_name[other].table
            strong.me = msgspec.structs.replace(strong.me, speed=4)
            await _until(lambda: self.owners(by_name) == [other])

        self.patch(ownership, '_STRONGER_FOR', 0.2)
        self.play(scene)

    def test_one_process_of_a_zone_follows_the_journal(self) -> None:
        async def scene(by_name: dict[str, _Process], _: MemoryStore) -> None:
            await _until(lambda: bool(self.owners(by_name)))
            await asyncio.sleep(_SOON * 2)
            others = [
                process.ownership
                for name, process in by_name.items()
                if name not in self.owners(by_name)
            ]
            following = [other for other in others if other.is_standby()]
            self.assertEqual(1, len(following))
            # In a large cell two processes may not speak for a while.
            for process in by_name.values():
                process._by_address = {}
            for other in others:
                other._table._clock = lambda: time.monotonic() + 4
            following = [other for other in others if other.is_standby()]
            self.assertEqual(1, len(following))

        self.play(scene)

    def test_those_that_follow_the_journal_take_over_first(self) -> None:
        async def scene(by_name: dict[str, _Process], _: MemoryStore) -> None:
            await _until(lambda: len(self.owners(by_name)) == 1)
            owner = self.owners(by_name)[0]
            await asyncio.sleep(0.3)
            others = [
                process.ownership
                for name, process in by_name.items()
                if name != owner
            ]
            turn_by_following = {
                other.is_standby(): other._turn() for other in others
            }
            self.assertEqual({True: 0, False: 1}, turn_by_following)

        self.play(scene)

    def test_a_peer_that_is_asked_takes_over(self) -> None:
        async def scene(by_name: dict[str, _Process], _: MemoryStore) -> None:
            await _until(lambda: bool(self.owners(by_name)))
            first = self.owners(by_name)[0]
            other = next(name for name in by_name if name != first)
            asked = by_name[other].ownership
            asked.takeover_epoch = Epoch(1)
            asked.takeover_requested.set()
            by_name[first].ownership.eligible = False
            await _until(lambda: self.owners(by_name) == [other])

        self.play(scene)
