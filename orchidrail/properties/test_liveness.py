"""Property: a ready task with free capacity that it may use starts.

The real owner runs in virtual time with drawn queues, lanes and worker outages:
steps of any width, gangs, advice requests of any size, few lanes, rounds that
become ready at a set time.
"""

from __future__ import annotations

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from standins.model import CellLoad, CellModel, QueueLoad
from standins.model.load import Draw, Outage

_MAX_EXAMPLES = 12
_DURATION = 8


@st.composite
def _queues(draw: st.DrawFn, name: str, priority: int) -> QueueLoad:
    base = draw(st.sampled_from([0, 0.02, 0.15, 0.6]))
    return QueueLoad(
        name=name,
        per_s=draw(st.sampled_from([0.3, 1.0, 3.0])),
        worth=1,
        priority=priority,
        stretch=draw(st.sampled_from([1.5, 4.0])),
        target=draw(st.sampled_from([0.25, 3.0])),
        steps=draw(st.sampled_from([1.0, 1.5])),
        tasks=Draw(draw(st.sampled_from([1, 3, 8])), 0.5, 16),
        cores=Draw(draw(st.sampled_from([1, 6, 20])), 0.4, 40),
        megabytes=Draw(4000),
        work=Draw(draw(st.sampled_from([0.3, 2.0])), 0.5, 6),
        fails=draw(st.sampled_from([0, 0.1])),
        estimate_off=0.5,
        gang=draw(st.sampled_from([0, 0.5])),
        apart=draw(st.sampled_from([0, 0.3])),
        advice=(base, base / 70, 1.5) if base else None,
        good=draw(st.sampled_from([0.3, 0.7])),
        rounds=draw(st.sampled_from([0, 0, 3])),
        every=draw(st.sampled_from([0.5, 2.0])),
    )


@st.composite
def _loads(draw: st.DrawFn) -> CellLoad:
    outages = [
        Outage(at=draw(st.integers(1, 6)), lasts=2.0, share=0.25)
        for _ in range(draw(st.integers(0, 2)))
    ]
    return CellLoad(
        [draw(_queues('urgent', 0)), draw(_queues('other', 1))],
        workers=draw(st.sampled_from([6, 12])),
        lanes=draw(st.sampled_from([1, 4, 9])),
        lasts=_DURATION,
        slow_share=0.3,
        outages=sorted(outages, key=lambda outage: outage.at),
    )


class LivenessProperty(TestCase):
    @settings(
        max_examples=_MAX_EXAMPLES,
        deadline=None,
        derandomize=True,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(load=_loads(), seed=st.integers(0, 10_000))
    def test_what_could_run_does(self, load: CellLoad, seed: int) -> None:
        model = CellModel(load, seed)
        outcome = model.play()
        self.assertEqual([], model.liveness.stalled)
        self.assertEqual((0, 0), (outcome.overfull, outcome.doubled))
