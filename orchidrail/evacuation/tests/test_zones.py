"""Tests of which zones are evacuated, and when starts are held."""

from __future__ import annotations

import math

from testtools import TestCase

from orchidrail.evacuation import (
    EvacuatedZones,
    ZoneChanges,
    ZoneGate,
    ZoneSnapshot,
)
from orchidrail.types import Offset, ZoneId

_FIRST, _OTHER = ZoneId('z-a'), ZoneId('z-b')
_BOUND = 5


def make_snapshot(offset: int, *zones: ZoneId) -> ZoneSnapshot:
    return ZoneSnapshot(Offset(offset), frozenset(zones))


class EvacuatedZonesTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.zones = EvacuatedZones()

    def test_several_zones_come_and_go_one_by_one(self) -> None:
        self.zones.apply(make_snapshot(1, _FIRST), now=1)
        changes = self.zones.apply(make_snapshot(2, _FIRST, _OTHER), now=2)
        self.assertEqual((frozenset((_OTHER,)), frozenset()), changes)
        changes = self.zones.apply(make_snapshot(3, _OTHER), now=3)
        self.assertEqual((frozenset(), frozenset((_FIRST,))), changes)
        self.assertFalse(self.zones.is_evacuated(_FIRST))
        self.assertTrue(self.zones.is_evacuated(_OTHER))

    def test_an_older_snapshot_neither_evacuates_nor_takes_back(self) -> None:
        """A peer that was cut off reports what it read long ago."""
        self.zones.apply(make_snapshot(5, _FIRST), now=1)
        for stale in (make_snapshot(4), make_snapshot(3, _FIRST, _OTHER)):
            self.assertEqual(ZoneChanges(), self.zones.apply(stale, now=2))
        self.assertEqual(make_snapshot(5, _FIRST), self.zones.snapshot)

    def test_a_peer_that_has_read_nothing_changes_nothing(self) -> None:
        """Peers of older builds send no offset, which is read as 0."""
        before = self.zones.snapshot
        self.assertEqual(ZoneChanges(), self.zones.apply(before, now=1))
        self.assertEqual(frozenset(), self.zones.snapshot.zones)

    def test_time_since_return_restarts_with_each_evacuation(self) -> None:
        self.assertEqual(math.inf, self.zones.time_since_return(_FIRST, 1))
        self.zones.apply(make_snapshot(1, _FIRST), now=1)
        self.assertEqual(0, self.zones.time_since_return(_FIRST, 9))
        self.zones.apply(make_snapshot(2), now=10)
        self.assertEqual(3, self.zones.time_since_return(_FIRST, 13))
        self.zones.apply(make_snapshot(3, _FIRST), now=14)
        self.assertEqual(0, self.zones.time_since_return(_FIRST, 15))


class ZoneGateTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now: float = 100
        self.gate = ZoneGate(lambda: self.now, _BOUND)

    def test_nothing_starts_before_the_first_read(self) -> None:
        """A new owner that has not read the operator's records yet."""
        self.assertFalse(self.gate.may_start_in(_FIRST))
        self.gate.apply(make_snapshot(3))
        self.assertFalse(self.gate.may_start_in(_FIRST))
        self.gate.confirm(self.now)
        self.assertTrue(self.gate.may_start_in(_FIRST))

    def test_nothing_starts_once_the_records_are_outdated(self) -> None:
        """A start sent at the last moment reaches its worker in the bound."""
        self.gate.confirm(self.now)
        last_start = self.now
        while self.gate.may_start_in(_FIRST):
            last_start = self.now
            self.now += 0.125
        self.assertLessEqual(last_start + 0.5, 100 + _BOUND)
        # A calm owner confirms its records at least every 2 s.
        self.assertGreater(last_start, 102)
        self.gate.confirm(self.now)
        self.assertTrue(self.gate.may_start_in(_FIRST))

    def test_an_earlier_read_confirms_nothing(self) -> None:
        self.gate.confirm(self.now)
        self.gate.confirm(self.now - 60)
        self.assertFalse(self.gate.is_outdated)

    def test_without_a_bound_outdated_records_hold_nothing(self) -> None:
        gate = ZoneGate(lambda: self.now)
        self.assertTrue(gate.may_start_in(_FIRST))
        gate.apply(make_snapshot(1, _FIRST))
        self.now += 1000
        self.assertFalse(gate.may_start_in(_FIRST))
        self.assertTrue(gate.may_start_in(_OTHER))

    def test_only_the_evacuated_zone_is_closed(self) -> None:
        self.gate.confirm(self.now)
        self.gate.apply(make_snapshot(1, _FIRST))
        self.assertFalse(self.gate.may_start_in(_FIRST))
        self.assertTrue(self.gate.may_start_in(_OTHER))

    def test_the_usable_share_rises_after_the_return(self) -> None:
        self.assertEqual(1, self.gate.usable_share(_FIRST))
        self.gate.apply(make_snapshot(1, _FIRST))
        self.gate.apply(make_snapshot(2))
        shares = []
        for _ in range(4):
            shares.append(self.gate.usable_share(_FIRST))
            self.now += 1
        self.assertEqual([0, 0.5, 1, 1], shares)
        self.assertEqual(1, self.gate.usable_share(_OTHER))
