"""Tests of what a process knows of the others."""

from __future__ import annotations

import msgspec
from testtools import TestCase

from orchidrail.peers.table import OwnerClaim, PeerTable
from orchidrail.types import Address, Epoch, InstanceId
from orchidrail.wire.messages import PeerState
from orchidrail.work.model import MemberInfo


def make_member(name: str, zone: str = 'z-1') -> MemberInfo:
    """Return a process of the system."""
    return MemberInfo(InstanceId(name), Address(f'{name}:1'), zone, 'life-1')


def make_state(name: str, zone: str = 'z-1', epoch: int = 0) -> PeerState:
    """Return what a process says of itself as the owner of `epoch`."""
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

    def test_the_highest_epoch_names_the_owner(self) -> None:
        self.table.record_heartbeat(make_state('b', epoch=2))
        self.table.record_heartbeat(make_state('a', epoch=1))
        self.assertEqual('b', self.table.claim.name)
        self.assertEqual({'q': 3}, self.table.waiting_by_queue)

    def test_only_the_owner_itself_is_heard_as_owner(self) -> None:
        self.table.update_claim(OwnerClaim(Epoch(1), InstanceId('a')))
        self.now += 1
        self.table.record_heartbeat(make_state('b'))
        self.assertEqual(1, self.table.owner_silence())
        self.table.record_heartbeat(make_state('a', epoch=1))
        self.assertEqual(0, self.table.owner_silence())

    def test_the_store_is_away_only_if_all_zones_say_so(self) -> None:
        me = self.table.me.name
        self.table.update_claim(OwnerClaim(Epoch(1), me))
        self.assertFalse(self.table.store_unreachable())
        silent = make_state('a', 'z-2')
        self.table.record_heartbeat(silent)
        self.table.record_heartbeat(make_state('b', 'z-3'))
        self.assertTrue(self.table.store_unreachable())
        self.table.record_heartbeat(
            msgspec.structs.replace(silent, store_answers=True)
        )
        self.assertFalse(self.table.store_unreachable())
        self.table.record_heartbeat(silent)
        self.assertTrue(self.table.store_unreachable())
        self.now += 2
        self.table.record_heartbeat(silent)
        self.assertFalse(self.table.store_unreachable())

    def test_an_owner_that_was_replaced_does_not_hold_the_store_for_away(
        self,
    ) -> None:
        self.table.update_claim(OwnerClaim(Epoch(1), self.table.me.name))
        self.table.record_heartbeat(make_state('a', 'z-2'))
        self.assertTrue(self.table.store_unreachable())
        self.table.record_heartbeat(make_state('b', 'z-2', epoch=2))
        self.assertFalse(self.table.store_unreachable())

    def test_a_process_that_has_just_started_is_not_cut_off(self) -> None:
        other = MemberInfo(InstanceId('a'), Address('a:1'), 'z-2', 'a-1')
        self.table.add_member(other)
        self.assertFalse(self.table.is_partitioned())
        self.now += 2
        self.assertTrue(self.table.is_partitioned())

    def test_a_zone_is_cut_off_when_no_other_is_heard(self) -> None:
        self.assertFalse(self.table.is_partitioned())
        self.table.record_heartbeat(make_state('a', 'z-2'))
        self.assertFalse(self.table.is_partitioned())
        self.now += 1
        self.table.record_heartbeat(make_state('b', 'z-1'))
        self.assertTrue(self.table.is_partitioned())

    def test_a_silent_peer_is_forgotten_in_the_end(self) -> None:
        self.table.record_heartbeat(make_state('a'))
        self.now += 2
        self.assertEqual([], self.table.live_peers())
        self.assertEqual(1, len(self.table.peers()))
        self.now += 30
        self.assertEqual([], self.table.peers())
