"""Property: a task that crashes its workers is failed permanently.

The real owner runs in virtual time with drawn queues, tasks that crash each
worker within a second of their start, random crashes, unresponsive workers and
capacity that shrinks.
"""

from __future__ import annotations

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from standins.model import CellLoad, CellModel, QueueLoad
from standins.model.load import Crashes, Draw, Outage, Shrinkage

_MAX_EXAMPLES = 10
_DURATION = 12
#: Number of crashes after which a task has failed permanently at the latest.
_MOST_CRASHES = 4


@st.composite
def _queues(draw: st.DrawFn, name: str, priority: int) -> QueueLoad:
    return QueueLoad(
        name=name,
        per_s=draw(st.sampled_from([0.3, 1.0, 4.0])),
        worth=1,
        priority=priority,
        stretch=2,
        target=1,
        steps=draw(st.sampled_from([1.0, 1.5])),
        tasks=Draw(draw(st.sampled_from([1, 3, 8])), 0.5, 16),
        cores=Draw(draw(st.sampled_from([1, 6, 20])), 0.4, 40),
        megabytes=Draw(4000),
        work=Draw(draw(st.sampled_from([0.3, 2.0, 5.0])), 0.5, 10),
        crashes=draw(st.sampled_from([0.002, 0.02, 0.1])),
        crashes_after=draw(st.sampled_from([0, 0.01, 0.3, 0.9])),
        gang=draw(st.sampled_from([0, 0.5])),
        advice=draw(st.sampled_from([None, (0.15, 0.002, 1.5)])),
        good=draw(st.sampled_from([0.4, 0.8])),
        rounds=draw(st.sampled_from([0, 0, 3])),
        every=draw(st.sampled_from([0.5, 2.0])),
    )


@st.composite
def _loads(draw: st.DrawFn) -> CellLoad:
    share = draw(st.sampled_from([0, 0.1, 0.3]))
    chance = Crashes(2, 8, 3, share, same=draw(st.booleans()))
    return CellLoad(
        [draw(_queues('urgent', 0)), draw(_queues('other', 1))],
        workers=draw(st.sampled_from([6, 24])),
        lanes=draw(st.sampled_from([1, 6])),
        lasts=_DURATION,
        restart=draw(st.sampled_from([0.5, 3.2, 9.0])),
        crashes=[chance] if share else [],
        outages=[Outage(5, draw(st.sampled_from([1.0, 7.0])), 0.2)],
        shrinkages=[Shrinkage(1, 6, 0.5, 0.5)],
    )


class CrashProperty(TestCase):
    @settings(
        max_examples=_MAX_EXAMPLES,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(load=_loads(), seed=st.integers(1, 1000))
    def test_a_task_that_crashes_workers_is_given_up(
        self,
        load: CellLoad,
        seed: int,
    ) -> None:
        model = CellModel(load, seed)
        outcome = model.play()
        self.assertEqual(0, outcome.crashes.over_budget)
        self.assertLessEqual(outcome.crashes.most_crashes, _MOST_CRASHES)
        self.assertEqual((0, 0), (outcome.overfull, outcome.doubled))
