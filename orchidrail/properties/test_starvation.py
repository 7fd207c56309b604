"""Property: no task starves while half of the capacity is free.

The real owner runs in virtual time with drawn loads: steps that need
accelerators, some a whole worker's, with few permitted workers, along with
gangs, jobs that fail on every run, small tasks on the same workers, workers
that fail all their starts and unresponsive workers. Free capacity is measured
at the workers, separately for each resource.
"""

from __future__ import annotations

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from standins.model import CellLoad, CellModel, QueueLoad
from standins.model.load import Breakage, Draw, Outage

_MAX_EXAMPLES = 12
_DURATION = 20
_ACCELERATORS = 8


@st.composite
def _large(draw: st.DrawFn) -> QueueLoad:
    return QueueLoad(
        name='large',
        per_s=draw(st.sampled_from([0.3, 0.9])),
        worth=3,
        priority=1,
        stretch=2.2,
        target=1,
        tasks=Draw(1.5, 0.8, 9),
        cores=Draw(draw(st.sampled_from([31, 60]))),
        megabytes=Draw(45_000),
        work=Draw(draw(st.sampled_from([1.5, 3.6])), 0.5, 9),
        fails=draw(st.sampled_from([0, 0.1, 0.3])),
        hopeless=draw(st.sampled_from([0, 0.3])),
        estimate_off=draw(st.sampled_from([0.2, 1])),
        gang=draw(st.sampled_from([0, 0.3, 1])),
        advice=(0.49, 0.007, 2.0),
        good=draw(st.sampled_from([0.3, 0.5])),
        accelerators=[2, 4, _ACCELERATORS, _ACCELERATORS],
    )


@st.composite
def _small(draw: st.DrawFn) -> QueueLoad:
    return QueueLoad(
        name='small',
        per_s=draw(st.sampled_from([0.3, 0.9])),
        worth=2,
        priority=draw(st.sampled_from([0, 2])),
        stretch=4,
        target=3,
        tasks=Draw(4, 0.6, 20),
        cores=Draw(5.6),
        megabytes=Draw(11_000),
        work=Draw(3.8, 0.5, 9.4),
        fails=draw(st.sampled_from([0, 0.1])),
        estimate_off=0.2,
        apart=draw(st.sampled_from([0, 0.3])),
        advice=(0.14, 0.002, 2.0),
        good=0.45,
        accelerators=[1],
    )


@st.composite
def _loads(draw: st.DrawFn) -> CellLoad:
    breakages = [
        Breakage(at, lasts=2.5, share=0.3)
        for at in draw(st.sampled_from([(), (3,), (3, 9)]))
    ]
    outages = [
        Outage(at, lasts=2, share=0.25)
        for at in draw(st.sampled_from([(), (5,)]))
    ]
    return CellLoad(
        [draw(_large()), draw(_small())],
        workers=draw(st.sampled_from([8, 13])),
        megabytes=131_072,
        accelerators=_ACCELERATORS,
        rack=3,
        lanes=draw(st.sampled_from([4, 9])),
        lasts=_DURATION,
        slow_share=0.3,
        breakages=breakages,
        outages=outages,
    )


class StarvationProperty(TestCase):
    @settings(
        max_examples=_MAX_EXAMPLES,
        deadline=None,
        derandomize=True,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(load=_loads(), seed=st.integers(0, 10_000))
    def test_no_task_is_left_waiting(self, load: CellLoad, seed: int) -> None:
        model = CellModel(load, seed)
        outcome = model.play()
        self.assertEqual([], model.starvation.starved)
        broken = outcome.overfull, outcome.doubled, outcome.alone
        self.assertEqual((0, 0, 0), broken)
