"""Tests of the order in which waiting steps are given room."""

from __future__ import annotations

from testtools import TestCase

from orchidrail.shard.ranking import Timing


def _order(wall: float, **timing_by_name: Timing) -> list[str]:
    return sorted(
        timing_by_name,
        key=lambda name: timing_by_name[name].rank(wall),
    )


class RankingTest(TestCase):
    def test_urgent_work_goes_first_then_what_must_start_first(self) -> None:
        order = _order(
            10,
            slack=Timing(50, 60, 5, urgent=False),
            close=Timing(12, 30, 5, urgent=False),
            urgent=Timing(11, 12, 10, urgent=True),
        )
        self.assertEqual(['urgent', 'close', 'slack'], order)

    def test_urgent_rounds_due_long_ago_do_not_starve_what_is_in_time(
        self,
    ) -> None:
        order = _order(
            100,
            long_ago=Timing(91, 92, 90, urgent=True),
            just_late=Timing(97, 99, 93, urgent=True),
            close=Timing(101, 110, 95, urgent=False),
            urgent=Timing(101, 102, 100, urgent=True),
        )
        self.assertEqual(['urgent', 'close', 'long_ago', 'just_late'], order)

    def test_what_is_late_is_not_starved_by_what_comes_ever_after(
        self,
    ) -> None:
        late = Timing(12, 20, 0, urgent=False)
        for wall, expected in (
            (25, ['comes', 'late']),
            (45, ['late', 'comes']),
        ):
            comes = Timing(wall + 4, wall + 10, wall, urgent=False)
            self.assertEqual(expected, _order(wall, late=late, comes=comes))
