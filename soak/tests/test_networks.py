"""Tests that no two runs use the same loopback network."""

from __future__ import annotations

import subprocess
import sys
from contextlib import ExitStack

from testtools import TestCase

from soak.networks import claim_network

_OTHER_PROCESS = """
from soak.networks import claim_network
with claim_network() as slot:
    print(slot)
"""


class NetworksTest(TestCase):
    def test_claimed_network_is_not_claimed_again(self) -> None:
        with ExitStack() as stack:
            slots = [stack.enter_context(claim_network()) for _ in range(5)]
            self.assertEqual(5, len(set(slots)))
            other = subprocess.check_output(
                [sys.executable, '-c', _OTHER_PROCESS], text=True
            )
            self.assertNotIn(int(other), slots)

    def test_claim_ends_with_its_context(self) -> None:
        """Guards against runs that use up the networks."""
        for _ in range(60):
            with claim_network() as slot:
                self.assertIn(slot, range(201, 255))

    def test_no_network_is_free(self) -> None:
        with claim_network() as slot:
            claim = claim_network(range(slot, slot + 1))
            error = self.assertRaises(RuntimeError, claim.__enter__)
            self.assertIn(str(slot), str(error))
