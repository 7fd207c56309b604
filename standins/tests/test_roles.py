"""Tests of tasks that serve and tasks that fill, which keep apart.

A task that fills slows those that serve, so neither is put beside the other.
Each may be on all workers that the other needs, and have room left there.
"""

from __future__ import annotations

import msgspec
from testtools import TestCase

from standins.model import CellLoad, CellModel, QueueLoad
from standins.model.load import Draw
from standins.tests.loads import LISTENERS

_SEEDS = range(1, 5)
_WORKERS = 12
_SERVING = msgspec.structs.replace(
    LISTENERS,
    name='serving',
    tasks=Draw(6),
    cores=Draw(4),
    apart=1,
    serves=True,
)
_FILLING = QueueLoad(
    name='filling',
    per_s=0.4,
    worth=1,
    priority=2,
    stretch=4,
    target=4,
    tasks=Draw(8, 0.3, 12),
    cores=Draw(6, 0.3, 20),
    megabytes=Draw(30_000),
    work=Draw(40, 0.5, 60),
    estimate_off=0.3,
    apart=1,
    fills=1,
)


class RolesTest(TestCase):
    def assert_nothing_stands_still(self, *queues: QueueLoad) -> None:
        """Play some days of less than half of the room of a cell."""
        for seed in _SEEDS:
            load = CellLoad(list(queues), workers=_WORKERS, lasts=25)
            model = CellModel(load, seed)
            outcome = model.play()
            still = {stalled.step for stalled in model.liveness.stalled}
            self.assertEqual((seed, set()), (seed, still))
            self.assertEqual((seed, []), (seed, model.lasting.left_waiting))
            self.assertEqual((0, 0), (outcome.overfull, outcome.doubled))

    def test_what_serves_is_not_held_up_by_what_fills(self) -> None:
        self.assert_nothing_stands_still(_SERVING, _FILLING)

    def test_nor_by_what_fills_and_lasts(self) -> None:
        lasting = msgspec.structs.replace(
            _FILLING,
            work=Draw(0.5),
            stays=Draw(80),
        )
        self.assert_nothing_stands_still(_SERVING, lasting)

    def test_what_fills_is_not_held_up_by_what_serves(self) -> None:
        everywhere = msgspec.structs.replace(
            _SERVING,
            per_s=0.3,
            tasks=Draw(_WORKERS),
            cores=Draw(1),
        )
        short = msgspec.structs.replace(
            _FILLING,
            per_s=0.3,
            work=Draw(6, 0.5, 9),
        )
        self.assert_nothing_stands_still(everywhere, short)
