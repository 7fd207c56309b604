"""Tests of the order in which waiting steps are placed."""

from __future__ import annotations

from testtools import TestCase

from orchidrail.shard.ranking import Timing


def _order(wall: float, **timing_by_name: Timing) -> list[str]:
    return sorted(
        timing_by_name,
        key=lambda name: timing_by_name[name].rank(wall),
    )


class RankingTest(TestCase):
    def test_urgent_work_goes_first_then_by_latest_start(self) -> None:
        order = _order(
            10,
            slack=Timing(50, 60, 5, urgent=False),
            close=Timing(12, 30, 5, urgent=False),
            urgent=Timing(11, 12, 10, urgent=True),
        )
        self.assertEqual(['urgent', 'close', 'slack'], order)

    def test_late_urgent_rounds_do_not_starve_work_in_time(
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

    def test_late_work_is_not_starved_by_new_work(
        self,
    ) -> None:
        late = Timing(12, 20, 0, urgent=False)
        for wall, expected in (
            (25, ['comes', 'late']),
            (45, ['late', 'comes']),
        ):
            comes = Timing(wall + 4, wall + 10, wall, urgent=False)
            self.assertEqual(expected, _order(wall, late=late, comes=comes))
