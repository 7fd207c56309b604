"""Tests of how much a placement pass examines."""

from __future__ import annotations

from unittest import mock

from testtools import TestCase

from orchidrail.shard.placer import Placer
from orchidrail.shard.tests.pass_cell import PassCell

_FEW, _MANY = 20, 200


def _examined_steps(waiting_jobs: int, ended_runs: int) -> int:
    """Return how many steps a pass examines in a full cell."""
    cell = PassCell(1)
    for _ in range(waiting_jobs):
        cell.add_plain_job()
    cell.placer.place_all()
    cell.now += 0.01
    cell.placer.place_all()
    for _ in range(ended_runs):
        cell.end_run()
    cell.now += 0.01
    with mock.patch.object(
        Placer, '_place_step', autospec=True, side_effect=Placer._place_step
    ) as examine:
        cell.placer.place_all()
    return examine.call_count


class PassCostTest(TestCase):
    def test_blocked_steps_are_not_examined(self) -> None:
        """Guards against passes that cost more the more steps wait.

        Under load hundreds of steps wait for capacity, and passes follow each
        other without a pause: the owner then has no time left for its callers.
        """
        for waiting_jobs in (_FEW, _MANY):
            self.assertEqual(0, _examined_steps(waiting_jobs, ended_runs=0))

    def test_a_free_worker_is_offered_to_few_steps(self) -> None:
        """Only until its capacity is taken again."""
        self.assertEqual(
            _examined_steps(_FEW, ended_runs=1),
            _examined_steps(_MANY, ended_runs=1),
        )

    def test_the_pause_grows_with_what_a_pass_looks_at(self) -> None:
        """Guards against passes in close succession that find nothing new.

        Urgent work has objectives from 0.25 s on, so the pause stays below a
        tenth of that.
        """
        cell = PassCell(1)
        pauses = [cell.placer._load_pause()]
        for _ in range(3):
            for _ in range(_MANY):
                cell.add_plain_job()
            cell.placer.place_all()
            pauses.append(cell.placer._load_pause())
        self.assertEqual(sorted(pauses), pauses)
        self.assertLess(pauses[0], pauses[1])
        self.assertLess(pauses[-1], 0.025)

    def test_an_urgent_pass_leaves_changes_to_the_next_one(self) -> None:
        """Guards against steps that miss capacity freed before such a pass."""
        cell = PassCell(1)
        for _ in range(_FEW):
            cell.add_plain_job()
        cell.placer.place_all()
        started = len(cell.placed)
        cell.end_run()
        cell.placer.place_urgent()
        self.assertEqual(started - 1, len(cell.placed))
        cell.placer.place_all()
        self.assertEqual(started, len(cell.placed))
