"""Tests of evacuated zones: by the judge alone, and with real processes."""

from __future__ import annotations

from testtools import TestCase

from soak import evacuations
from soak.evacuations import Evacuations
from soak.ledger import Ledger
from soak.networks import claim_network
from soak.run import run_seed
from soak.store import StoreStandIn

_SECONDS = 16


class EvacuationsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.ledger = Ledger()
        self.evacuations = Evacuations(
            StoreStandIn(), self.ledger, ['zone-0', 'zone-1'], None
        )

    def test_a_start_within_the_bound_is_allowed(self) -> None:
        self.evacuations.evacuate('zone-0')
        self.evacuations.record_start('task', 'zone-0')
        self.assertEqual([], self.ledger.violations)

    def test_only_a_late_start_in_the_zone_is_a_violation(self) -> None:
        self.patch(evacuations, '_BOUND', -1.0)
        self.evacuations.evacuate('zone-0')
        self.evacuations.record_start('task', 'zone-1')
        self.assertEqual([], self.ledger.violations)
        self.evacuations.record_start('task', 'zone-0')
        self.assertIn('EVAC', self.ledger.violations[-1])
        self.evacuations.take_back('zone-0')
        self.evacuations.record_start('task', 'zone-0')
        self.assertEqual(1, len(self.ledger.violations))


class EvacuatedProcessesTest(TestCase):
    def test_no_task_starts_in_an_evacuated_zone(self) -> None:
        """Nothing read the operator's record, so starts there went on.

        Processes are killed, paused and cut from the store meanwhile.
        """
        with claim_network() as slot:
            outcome = run_seed(
                11, slot, _SECONDS, crashing=False, evacuating=True
            )
        self.assertEqual([], outcome.violations)
        self.assertGreater(outcome.evacuations, 0)
        self.assertGreater(outcome.accepted, 0)
