"""Test that advice requests of late work are sent in time.

Guards against work that stalls for 4 to 12 s though a permitted worker has
free capacity. The queue puts requests of late work behind all that can still
be in time, and only every fourth request sent is the one that has waited
longest. So a step with one permitted worker lacks only a ticket while requests
of later jobs are sent (seed 57: from 3.2 to 7.1 s).

It takes few lanes, and workers that stop responding for 2 s: tasks started
there need a new ticket afterwards and are late by then. Without such an outage,
none of 60 days shows the failure, not even with one lane.
"""

from __future__ import annotations

from testtools import TestCase

from standins.model import CellLoad, CellModel, QueueLoad
from standins.model.load import Draw, Outage

_SEEDS = (26, 32, 57)
_URGENT = QueueLoad(
    name='urgent',
    per_s=3,
    worth=1,
    priority=0,
    stretch=1.5,
    target=0.25,
    tasks=Draw(1, 0.5, 16),
    cores=Draw(1, 0.4, 40),
    megabytes=Draw(4000),
    work=Draw(0.3, 0.5, 6),
    estimate_off=0.5,
    advice=(0.6, 0.6 / 70, 1.5),
    good=0.3,
)
_OTHER = QueueLoad(
    name='other',
    per_s=0.3,
    worth=1,
    priority=1,
    stretch=1.5,
    target=0.25,
    tasks=Draw(3, 0.5, 16),
    cores=Draw(1, 0.4, 40),
    megabytes=Draw(4000),
    work=Draw(0.3, 0.5, 6),
    estimate_off=0.5,
)
_OUTAGES = [Outage(at=1, lasts=2, share=0.25) for _ in range(2)]


class LateAdviceRequestsTest(TestCase):
    def test_work_that_lacks_only_a_ticket_starts_in_time(self) -> None:
        load = CellLoad(
            [_URGENT, _OTHER],
            workers=6,
            lanes=3,
            lasts=8,
            slow_share=0.3,
            outages=_OUTAGES,
        )
        for seed in _SEEDS:
            model = CellModel(load, seed)
            model.play()
            self.assertEqual((seed, []), (seed, model.liveness.stalled))
