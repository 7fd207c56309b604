"""Tests of workers that restart under the same id.

Guards against repeating a task half a second after its run was done and its end
acknowledged. Workers that crash and restart within seconds number their ends
from the start again. An owner that keeps the number of the last acknowledged
end per id sends it to the next incarnation, and so acknowledges ends that it
has never received: those between two polls. Their runs are missing from the
next listing, and are taken for lost.
"""

from __future__ import annotations

import pathlib

import msgspec
from testtools import TestCase

from orchidrail.types import Epoch
from standins.model import CellModel, Outcome
from standins.model.load import read_load

_DAYS = pathlib.Path(__file__).parents[1] / 'model' / 'days'


def _simulate(seed: int) -> Outcome:
    return CellModel(read_load(str(_DAYS / 'returning.toml')), seed).play()


class ReturningWorkerTest(TestCase):
    def test_no_task_is_repeated_after_an_acknowledged_end(self) -> None:
        outcome = _simulate(seed=1)
        self.assertGreater(outcome.crashes.lost_to_other_crashes, 0)
        self.assertEqual((0, 0), (outcome.repeated, outcome.doubled))

    def test_a_task_that_crashes_such_workers_is_abandoned(self) -> None:
        load = read_load(str(_DAYS / 'crashing.toml'))
        load = msgspec.structs.replace(load, keeps_names=True)
        outcome = CellModel(load, seed=1).play()
        self.assertGreater(outcome.crashes.crashing, 0)
        self.assertEqual(0, outcome.crashes.over_budget)
        self.assertEqual((0, 0), (outcome.repeated, outcome.doubled))

    def test_late_orders_to_the_next_incarnation_duplicate_nothing(
        self,
    ) -> None:
        """Unanswered orders for the previous incarnation arrive late.

        The next incarnation executes a start while the task runs elsewhere;
        an acknowledgement makes it discard ends that were never reported.
        """
        load = read_load(str(_DAYS / 'returning_late.toml'))
        for seed in (1, 2, 3):
            outcome = CellModel(load, seed).play()
            violations = outcome.repeated, outcome.doubled, outcome.overfull
            self.assertEqual((0, 0, 0), violations)

    def test_a_late_start_meets_a_higher_fencing_token(self) -> None:
        """Guards against a late start repeating an acknowledged run.

        An unconfirmed start reached the next incarnation 0.7 s after it began.
        That had seen no fencing token above the start's own, which another
        late start had brought 0.1 s after it began, so the task ran again
        though its second run was done and acknowledged. Both arrived before
        any timely order of the owner, whose calls at 10.8 s and 11.0 s got no
        response. No order can fence off what arrives before the first one.
        """
        load = read_load(str(_DAYS / 'returning_late.toml'))
        for seed in (8, 13, 15):
            outcome = CellModel(load, seed).play()
            violations = outcome.repeated, outcome.doubled, outcome.overfull
            self.assertEqual((0, 0, 0), violations)
            self.assertGreater(outcome.late_before_contact, 0)

    def test_late_execution_does_not_count_as_contact(self) -> None:
        """Late starts are excused only until an owner contacts the worker."""
        load = read_load(str(_DAYS / 'returning_late.toml'))
        worker = next(iter(CellModel(load, 1).workers.by_name.values()))
        self.assertTrue(worker.accepts_epoch(Epoch(2)))
        self.assertFalse(worker.contacted)
        self.assertTrue(worker.accept_order(Epoch(2)))
        self.assertTrue(worker.contacted)
