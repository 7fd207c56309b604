"""Tests that long-running tasks are started again after failures.

Guards against a failed long-running task that is not started again within the
bound, though permitted workers have free capacity. A worker on which a task of
the step had failed was avoided for as long as any other permitted worker
accepted work, even if that one already ran as many tasks of the step as it may
(seed 2 of the first day: 7 workers run a task, 5 are avoided for a failure, for
as long as the job exists). The preference for other workers must be bounded.

It takes steps with one task per worker, a tenth of whose runs fail; in the
second test few workers are permitted, and some fail every task.
"""

from __future__ import annotations

import msgspec
from testtools import TestCase

from standins.model import CellLoad, CellModel
from standins.model.load import Breakage, Draw
from standins.tests.loads import LISTENERS

_SEEDS = range(1, 5)
#: Each task runs on a separate worker.
_APART = msgspec.structs.replace(LISTENERS, apart=1)
_ADVICE = (0.56, 0.008, 2.0)
_BREAKAGES = [Breakage(at, lasts=2.5, share=0.33) for at in (6, 12)]


class LastingTest(TestCase):
    def assert_all_restarted(self, load: CellLoad) -> None:
        """Simulate some days; none of their tasks may be left waiting."""
        for seed in _SEEDS:
            model = CellModel(load, seed)
            outcome = model.play()
            self.assertEqual((seed, []), (seed, model.lasting.left_waiting))
            self.assertEqual((0, 0), (outcome.overfull, outcome.doubled))

    def test_a_task_restarts_though_all_other_workers_run_one(self) -> None:
        self.assert_all_restarted(CellLoad([_APART], workers=12, lasts=20))

    def test_a_task_restarts_where_few_workers_are_permitted(self) -> None:
        listeners = msgspec.structs.replace(
            _APART,
            advice=_ADVICE,
            good=0.3,
        )
        load = CellLoad(
            [listeners],
            workers=36,
            lanes=8,
            lasts=20,
            breakages=_BREAKAGES,
        )
        self.assert_all_restarted(load)

    def test_a_repeatedly_failing_task_does_not_block_others(
        self,
    ) -> None:
        """Steps wider than their permitted workers, half of whose runs fail.

        Guards against a worker that is avoided for longer with each failure:
        it is free but unused most of the time, while tasks of the step wait.
        """
        listeners = msgspec.structs.replace(
            _APART,
            tasks=Draw(24),
            work=Draw(2, 0.5, 4),
            stays=Draw(60),
            fails=0.5,
            advice=_ADVICE,
            good=0.3,
        )
        load = CellLoad([listeners], workers=48, lanes=8, lasts=30)
        self.assert_all_restarted(load)

    def test_a_task_restarts_on_a_full_cell(self) -> None:
        """Only workers where a run of the step just failed have capacity."""
        listeners = msgspec.structs.replace(
            _APART,
            per_s=0.1,
            tasks=Draw(95),
            work=Draw(20),
            apart=0,
            fails=0.3,
            advice=_ADVICE,
            good=0.3,
        )
        load = CellLoad([listeners], workers=40, cores=32, lanes=8, lasts=20)
        self.assert_all_restarted(load)
