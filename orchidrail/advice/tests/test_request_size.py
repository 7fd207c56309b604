"""Tests of the size of advice requests under load."""

from __future__ import annotations

from testtools import TestCase

from orchidrail.advice import size_request, workers_with_seats
from orchidrail.work.model import AdviceCost

#: Cost of advice on large gangs at a busy site, and the duration for which
#: tickets are valid, in seconds.
_COST = AdviceCost(0.559, 0.00806, 2.0)
_BUSY, _IDLE = 1, 31


def _lane_time(gang: bool, workers: int, idle_lanes: int) -> float:
    """Return the time for which requests about `workers` occupy lanes."""
    asked = 0
    total: float = 0
    while asked < workers:
        size = size_request(workers - asked, idle_lanes, gang=gang)
        total += _COST.duration(min(size.workers, workers - asked))
        asked += size.workers
    return total


def _seats(free: int, workers: int) -> list[int]:
    return [free for _ in range(workers)]


class RequestSizeTest(TestCase):
    def test_gang_learns_enough_before_its_first_tickets_expire(self) -> None:
        """Guards against gangs that ask in small rounds on busy lanes.

        A gang of twenty needs some ninety workers, of which a third are
        permitted. In rounds of thirty, one after the other, its first tickets
        expire before the last reply, and renewing them occupies a lane again.
        """
        size = size_request(90, _BUSY, gang=True)
        self.assertEqual((90, 1), size)
        self.assertLess(_COST.duration(size.workers), _COST.valid)

    def test_gang_occupies_busy_lanes_for_less_time(self) -> None:
        alone = _lane_time(gang=False, workers=90, idle_lanes=_BUSY)
        together = _lane_time(gang=True, workers=90, idle_lanes=_BUSY)
        self.assertLess(together, 0.6 * alone)

    def test_call_never_exceeds_the_maximum(self) -> None:
        self.assertEqual((100, 1), size_request(176, _BUSY, gang=True))

    def test_size_is_the_same_while_lanes_are_idle(self) -> None:
        """Guards against other decisions where nothing competes for lanes."""
        for wanted in (1, 30, 90, 200):
            gang = size_request(wanted, _IDLE, gang=True)
            other = size_request(wanted, _IDLE, gang=False)
            self.assertEqual(other, gang)

    def test_full_workers_count_no_seats(self) -> None:
        """Guards against gangs that ask as if all workers were idle."""
        idle, busy = _seats(3, 100), [3, 1, *_seats(0, 98)]
        self.assertEqual(20, workers_with_seats(60, idle))
        self.assertEqual(100, workers_with_seats(60, busy))
