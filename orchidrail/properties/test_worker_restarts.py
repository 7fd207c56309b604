"""Property: no task runs twice when a worker restarts under the same name.

The real owner runs in virtual time with drawn queues. Workers crash at drawn
times, also before they are contacted again, and restart under their previous
names, some immediately. Others become unresponsive meanwhile, and orders whose
reply was lost are carried out late.
"""

from __future__ import annotations

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from standins.model import CellLoad, CellModel, QueueLoad
from standins.model.load import Crashes, Draw, Outage, Shrinkage

_MAX_EXAMPLES = 12
_DURATION = 12
_DELAYS = st.sampled_from([0, 0.002, 0.05, 0.3, 0.6, 2.2, 5.2, 9.0])


@st.composite
def _queues(draw: st.DrawFn, name: str, priority: int) -> QueueLoad:
    return QueueLoad(
        name=name,
        per_s=draw(st.sampled_from([1.0, 4.0, 16.0])),
        worth=1,
        priority=priority,
        stretch=2,
        target=1,
        steps=draw(st.sampled_from([1.0, 1.5])),
        tasks=Draw(draw(st.sampled_from([1, 3, 8])), 0.5, 16),
        cores=Draw(draw(st.sampled_from([1, 4])), 0.4, 20),
        megabytes=Draw(4000),
        work=Draw(draw(st.sampled_from([0.1, 0.3, 2.0])), 0.5, 10),
        crashes=draw(st.sampled_from([0, 0.01])),
        fails=draw(st.sampled_from([0, 0.1])),
        gang=draw(st.sampled_from([0, 0.5])),
        advice=draw(st.sampled_from([None, (0.15, 0.002, 1.5)])),
        good=draw(st.sampled_from([0.4, 0.8])),
    )


@st.composite
def _loads(draw: st.DrawFn) -> CellLoad:
    crashes = Crashes(
        draw(st.integers(1, 4)),
        9,
        draw(st.sampled_from([0.1, 0.31, 1.7, 4.0])),
        draw(st.sampled_from([0.1, 0.3])),
        same=draw(st.booleans()),
        returns=draw(st.lists(_DELAYS, min_size=1, max_size=4)),
    )
    return CellLoad(
        [draw(_queues('urgent', 0)), draw(_queues('other', 1))],
        workers=draw(st.sampled_from([6, 24])),
        lanes=draw(st.sampled_from([1, 6])),
        lasts=_DURATION,
        restart=draw(_DELAYS),
        keeps_names=draw(st.booleans()),
        append_takes=draw(st.sampled_from([0, 0.0065, 0.1])),
        late_share=draw(st.sampled_from([0, 0.1])),
        crashes=[crashes],
        outages=[Outage(5, draw(st.sampled_from([0.3, 2.0, 7.0])), 0.3)],
        shrinkages=[Shrinkage(1, 6, 0.5, 0.5)],
    )


class RestartProperty(TestCase):
    @settings(
        max_examples=_MAX_EXAMPLES,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(load=_loads(), seed=st.integers(1, 1000))
    def test_no_task_runs_twice(self, load: CellLoad, seed: int) -> None:
        outcome = CellModel(load, seed).play()
        broken = outcome.repeated, outcome.doubled, outcome.overfull
        self.assertEqual((0, 0, 0), broken)
