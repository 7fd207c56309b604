"""Tests of tasks that last: each is started again, whatever has failed before.

Seen on a users' site: a task that lasts had failed, as such tasks may at any
time, and was not started again for longer than is granted, though permitted
workers had room for it. Other jobs of the same owner ran well meanwhile.

Brought about here: steps of one task a worker, a tenth of whose runs fail; on
the second day few workers are permitted, and some fail all that they start.

Caused by a preference that had no end: a worker on which a task of the step had
failed was left out while any other permitted one was open, though that one held
as many tasks of the step as it may, for as long as those work. Proved by the
line `tasks wait` of such a task, which counts the step's workers by what keeps
them from it (seed 2 of the first day: 7 hold a task, 5 were left out for a
failure, as long as the job was there), and by its end with the bound.
"""

from __future__ import annotations

import msgspec
from testtools import TestCase

from standins.model import CellLoad, CellModel
from standins.model.load import Breakage, Draw
from standins.tests.loads import LISTENERS

_SEEDS = range(1, 5)
#: Each task is on a worker of its own.
_APART = msgspec.structs.replace(LISTENERS, apart=1)
_ADVICE = (0.56, 0.008, 2.0)
_BREAKAGES = [Breakage(at, lasts=2.5, share=0.33) for at in (6, 12)]


class LastingTest(TestCase):
    def assert_all_back(self, load: CellLoad) -> None:
        """Play some days; none of their tasks may be left waiting."""
        for seed in _SEEDS:
            model = CellModel(load, seed)
            outcome = model.play()
            self.assertEqual((seed, []), (seed, model.lasting.left_waiting))
            self.assertEqual((0, 0), (outcome.overfull, outcome.doubled))

    def test_a_task_is_back_though_all_other_workers_hold_one(self) -> None:
        self.assert_all_back(CellLoad([_APART], workers=12, lasts=20))

    def test_a_task_is_back_where_few_workers_are_permitted(self) -> None:
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
        self.assert_all_back(load)

    def test_a_task_that_fails_again_and_again_keeps_no_other_away(
        self,
    ) -> None:
        """Steps wider than their permitted workers, half of whose runs fail.

        A worker avoided for longer with each failure was free and left out for
        most of the time, while others of the step waited for it.
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
        self.assert_all_back(load)

    def test_a_task_is_back_on_a_full_cell(self) -> None:
        """Room is where a run of the step has just failed, and only there."""
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
        self.assert_all_back(load)
