"""Tests of the peer table."""

from __future__ import annotations

import msgspec
from testtools import TestCase

from orchidrail.peers.table import OwnerClaim, PeerTable
from orchidrail.types import Address, Epoch, InstanceId
from orchidrail.wire.messages import PeerState
from orchidrail.work.model import MemberInfo


def make_member(name: str, zone: str = 'z-1') -> MemberInfo:
    """Return an instance as a member."""
    return MemberInfo(InstanceId(name), Address(f'{name}:1'), zone, 'life-1')


def make_state(name: str, zone: str = 'z-1', epoch: int = 0) -> PeerState:
    """Return the heartbeat of an instance as the owner of `epoch`, if any."""
    member = make_member(name, zone)
    return PeerState(
        name=member.name,
        address=member.address,
        zone=zone,
        incarnation=member.incarnation,
        epoch=Epoch(epoch),
        owner=member.name if epoch else InstanceId(''),
        owner_address=member.address if epoch else Address(''),
        owning=bool(epoch),
        queues=['q'] if epoch else [],
        waiting=[3] if epoch else [],
    )


class PeerTableTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.table = PeerTable(make_member('me'), lambda: self.now)

    def test_the_owner_has_the_highest_epoch(self) -> None:
        self.table.record_heartbeat(make_state('b', epoch=2))
        self.table.record_heartbeat(make_state('a', epoch=1))
        self.assertEqual('b', self.table.claim.name)
        self.assertEqual({'q': 3}, self.table.waiting_by_queue)

    def test_only_heartbeats_of_the_owner_reset_its_silence(self) -> None:
        self.table.update_claim(OwnerClaim(Epoch(1), InstanceId('a')))
        self.now += 1
        self.table.record_heartbeat(make_state('b'))
        self.assertEqual(1, self.table.owner_silence())
        self.table.record_heartbeat(make_state('a', epoch=1))
        self.assertEqual(0, self.table.owner_silence())

    def test_store_is_unreachable_only_if_no_zone_reaches_it(self) -> None:
        me = self.table.me.name
        self.table.update_claim(OwnerClaim(Epoch(1), me))
        self.assertFalse(self.table.store_unreachable())
        without_store = make_state('a', 'z-2')
        self.table.record_heartbeat(without_store)
        self.table.record_heartbeat(make_state('b', 'z-3'))
        self.assertTrue(self.table.store_unreachable())
        self.table.record_heartbeat(
            msgspec.structs.replace(without_store, store_answers=True)
        )
        self.assertFalse(self.table.store_unreachable())
        self.table.record_heartbeat(without_store)
        self.assertTrue(self.table.store_unreachable())
        self.now += 2
        self.table.record_heartbeat(without_store)
        self.assertFalse(self.table.store_unreachable())

    def test_store_is_not_unreachable_after_a_newer_claim(
        self,
    ) -> None:
        self.table.update_claim(OwnerClaim(Epoch(1), self.table.me.name))
        self.table.record_heartbeat(make_state('a', 'z-2'))
        self.assertTrue(self.table.store_unreachable())
        self.table.record_heartbeat(make_state('b', 'z-2', epoch=2))
        self.assertFalse(self.table.store_unreachable())

    def test_a_process_that_has_just_started_is_not_partitioned(self) -> None:
        other = MemberInfo(InstanceId('a'), Address('a:1'), 'z-2', 'a-1')
        self.table.add_member(other)
        self.assertFalse(self.table.is_partitioned())
        self.now += 2
        self.assertTrue(self.table.is_partitioned())

    def test_a_zone_without_heartbeats_of_others_is_partitioned(self) -> None:
        self.assertFalse(self.table.is_partitioned())
        self.table.record_heartbeat(make_state('a', 'z-2'))
        self.assertFalse(self.table.is_partitioned())
        self.now += 1
        self.table.record_heartbeat(make_state('b', 'z-1'))
        self.assertTrue(self.table.is_partitioned())

    def test_a_peer_without_heartbeats_is_forgotten(self) -> None:
        self.table.record_heartbeat(make_state('a'))
        self.now += 2
        self.assertEqual([], self.table.live_peers())
        self.assertEqual(1, len(self.table.peers()))
        self.now += 30
        self.assertEqual([], self.table.peers())
