"""Property: a step that a pass skips as blocked would not have been placed.

Two cells see the same events: runs that end or fail, new jobs, replies to
advice requests, quarantines. One of them skips blocked steps, the other
examines every step in every pass. Their decisions must be equal.
"""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from orchidrail.shard.placement_pass import WaitingStep
from orchidrail.shard.tests.pass_cell import PassCell

_EXAMPLES = 60
_PASSES = 80


def _decisions(seed: int, *, examine_all: bool) -> list[Any]:
    """Return the decisions of a cell, with or without skipping steps."""
    blocked = WaitingStep.blocked
    if examine_all:
        WaitingStep.blocked = lambda step, this_pass: False  # type: ignore[method-assign]
    try:
        cell = PassCell(seed)
        for _ in range(_PASSES):
            cell.advance()
    finally:
        WaitingStep.blocked = blocked  # type: ignore[method-assign]
    return cell.decisions


class BlockedStepsTest(TestCase):
    @settings(max_examples=_EXAMPLES, deadline=None)
    @given(st.integers(0, 2**32))
    def test_skipping_steps_changes_no_decision(self, seed: int) -> None:
        every_step = _decisions(seed, examine_all=True)
        skipping = _decisions(seed, examine_all=False)
        self.assertEqual(every_step, skipping)
