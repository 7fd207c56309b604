"""Tests of latency-sensitive and best-effort tasks, kept separated.

A best-effort task slows down latency-sensitive ones, so they are not colocated.
Either may occupy all workers that the other needs, and leave capacity there.
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


class QosClassesTest(TestCase):
    def assert_nothing_stalls(self, *queues: QueueLoad) -> None:
        """Simulate days that use less than half of a cell's capacity."""
        for seed in _SEEDS:
            load = CellLoad(list(queues), workers=_WORKERS, lasts=25)
            model = CellModel(load, seed)
            outcome = model.play()
            still = {stalled.step for stalled in model.liveness.stalled}
            self.assertEqual((seed, set()), (seed, still))
            self.assertEqual((seed, []), (seed, model.lasting.left_waiting))
            self.assertEqual((0, 0), (outcome.overfull, outcome.doubled))

    def test_best_effort_does_not_stall_latency_sensitive_tasks(self) -> None:
        self.assert_nothing_stalls(_SERVING, _FILLING)

    def test_long_running_best_effort_does_not_stall_them(self) -> None:
        lasting = msgspec.structs.replace(
            _FILLING,
            work=Draw(0.5),
            stays=Draw(80),
        )
        self.assert_nothing_stalls(_SERVING, lasting)

    def test_latency_sensitive_does_not_stall_best_effort_tasks(self) -> None:
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
        self.assert_nothing_stalls(everywhere, short)
