"""Property: a long-running task that has failed soon runs again.

The real owner runs in virtual time with drawn loads: long-running tasks that
fail, few permitted workers, one task of a step per worker, best-effort and
latency-sensitive tasks, workers that fail all their starts, a service with
little free capacity.
"""

from __future__ import annotations

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from standins.model import CellLoad, CellModel, QueueLoad
from standins.model.load import Breakage, Draw

_MAX_EXAMPLES = 12
_DURATION = 24


@st.composite
def _long_running(draw: st.DrawFn, name: str) -> QueueLoad:
    base = draw(st.sampled_from([0, 0.02, 0.56]))
    return QueueLoad(
        name=name,
        per_s=draw(st.sampled_from([0.1, 0.3])),
        worth=2,
        priority=1,
        stretch=2.2,
        target=draw(st.sampled_from([0.25, 2.5])),
        tasks=Draw(draw(st.sampled_from([2, 6, 12])), 0.4, 20),
        cores=Draw(draw(st.sampled_from([2, 6, 20])), 0.3, 40),
        megabytes=Draw(4000),
        work=Draw(draw(st.sampled_from([0.5, 6, 20])), 0.3),
        fails=draw(st.sampled_from([0.1, 0.1, 0.4])),
        estimate_off=0.5,
        apart=draw(st.sampled_from([0, 1])),
        stays=Draw(draw(st.sampled_from([15, 80]))),
        serves=draw(st.booleans()),
        advice=(base, base / 70, 2.0) if base else None,
        good=draw(st.sampled_from([0.2, 0.4])),
    )


@st.composite
def _finite(draw: st.DrawFn) -> QueueLoad:
    base = draw(st.sampled_from([0, 0, 0.1]))
    return QueueLoad(
        name='ending',
        per_s=draw(st.sampled_from([0.5, 2.0])),
        worth=1,
        priority=draw(st.sampled_from([0, 1, 2])),
        stretch=3,
        target=2,
        tasks=Draw(draw(st.sampled_from([2, 6])), 0.5, 12),
        cores=Draw(draw(st.sampled_from([2, 8, 20])), 0.4, 40),
        megabytes=Draw(4000),
        work=Draw(draw(st.sampled_from([0.5, 2, 6])), 0.5, 12),
        fails=0.1,
        estimate_off=0.5,
        gang=draw(st.sampled_from([0, 0.3])),
        apart=draw(st.sampled_from([0, 0.5])),
        fills=draw(st.sampled_from([0, 0.5, 1])),
        advice=(base, base / 70, 2.0) if base else None,
        good=0.5,
    )


@st.composite
def _loads(draw: st.DrawFn) -> CellLoad:
    queues = [draw(_long_running('listeners')), draw(_finite())]
    if draw(st.booleans()):
        queues.append(draw(_long_running('services')))
    breakages = [
        Breakage(at, lasts=2.5, share=0.33)
        for at in draw(st.sampled_from([(), (2,), (2, 7)]))
    ]
    return CellLoad(
        queues,
        workers=draw(st.sampled_from([8, 16, 30])),
        lanes=draw(st.sampled_from([1, 3, 9])),
        lasts=_DURATION,
        breakages=breakages,
    )


class LongRunningProperty(TestCase):
    @settings(
        max_examples=_MAX_EXAMPLES,
        deadline=None,
        derandomize=True,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(load=_loads(), seed=st.integers(0, 10_000))
    def test_none_is_left_waiting(self, load: CellLoad, seed: int) -> None:
        model = CellModel(load, seed)
        outcome = model.play()
        self.assertEqual([], model.lasting.left_waiting)
        self.assertEqual((0, 0), (outcome.overfull, outcome.doubled))
