"""Tests that forecasts are corrected by how they turned out."""

from __future__ import annotations

from random import Random

from testtools import TestCase

from orchidrail.admission.accuracy import ForecastAccuracy
from orchidrail.admission.durations import TaskDurations
from orchidrail.types import JobId, QueueName, Seconds

_QUEUE = QueueName('q')


class AccuracyTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.accuracy = ForecastAccuracy()

    def start_late(self, by: Seconds, count: int, now: Seconds = 0) -> None:
        for number in range(count):
            job = JobId(f'{number}')
            self.accuracy.expect(job, _QUEUE, 1, now)
            self.accuracy.note_start(job, now + 1 + by)

    def test_late_starts_raise_the_next_forecasts(self) -> None:
        self.start_late(by=2, count=50)
        correction = self.accuracy.correction(_QUEUE, 3)
        self.assertTrue(1.7 < correction.expected <= 2, correction)
        self.assertLess(correction.earliest, correction.expected)

    def test_the_correction_is_bounded_and_decays(self) -> None:
        self.start_late(by=100, count=50)
        self.assertEqual(5, self.accuracy.correction(_QUEUE, 101).expected)
        later = self.accuracy.correction(_QUEUE, 131).expected
        self.assertLess(later, 0.1)

    def test_early_starts_lower_them_within_bounds(self) -> None:
        self.start_late(by=-50, count=50)
        self.assertEqual(-2, self.accuracy.correction(_QUEUE, -49).expected)

    def test_an_unknown_queue_is_uncertain(self) -> None:
        correction = self.accuracy.correction(QueueName('other'), 0)
        self.assertEqual((-1, 0), correction)

    def test_jobs_held_up_by_an_outage_say_nothing(self) -> None:
        """The journal was away for 2 s; what comes after it starts at once."""
        self.accuracy.expect(JobId('a'), _QUEUE, 0, now=0)
        self.accuracy.discard_open()
        self.assertIsNone(self.accuracy.note_start(JobId('a'), 2))
        self.assertEqual(0, self.accuracy.correction(_QUEUE, 2).expected)

    def test_jobs_without_a_forecast_are_ignored(self) -> None:
        self.assertIsNone(self.accuracy.note_start(JobId('x'), 1))


class TaskDurationsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.durations = TaskDurations()

    def test_few_tasks_say_nothing(self) -> None:
        for _ in range(5):
            self.durations.note(_QUEUE, 9, 1)
        self.assertEqual((0.5, 1, 2), self.durations.of(_QUEUE, 1))
        self.assertEqual(0, self.durations.longest(_QUEUE))

    def test_old_tasks_lose_weight(self) -> None:
        for _ in range(300):
            self.durations.note(_QUEUE, 1, 1)
        for _ in range(500):
            self.durations.note(_QUEUE, 4, 1)
        self.assertGreater(self.durations.of(_QUEUE, 1).median, 3.9)

    def test_invalid_durations_are_ignored(self) -> None:
        for _ in range(50):
            self.durations.note(_QUEUE, 0, 1)
            self.durations.note(_QUEUE, 1, 0)
        self.assertEqual(1, self.durations.of(_QUEUE, 1).median)
        self.assertEqual(1, self.durations.of(_QUEUE, 0).median)

    def test_good_estimates_are_believed(self) -> None:
        random = Random(1)
        for _ in range(500):
            actual = random.lognormvariate(0, 0.5)
            self.durations.note(_QUEUE, actual, actual / 2)
        ratios = self.durations.of(_QUEUE, 5)
        self.assertGreater(ratios.low, 1.9)
        self.assertLess(ratios.high, 2.1)

    def test_a_very_short_estimate_of_a_rough_queue_is_not(self) -> None:
        """Estimates vary more than durations, so they say little."""
        random = Random(1)
        for _ in range(500):
            actual = random.lognormvariate(0, 0.3)
            estimate = actual * random.lognormvariate(0, 1)
            self.durations.note(_QUEUE, actual, estimate)
        expected = 0.05 * self.durations.of(_QUEUE, 0.05).median
        self.assertGreater(expected, 0.5)
        self.assertTrue(1 < self.durations.longest(_QUEUE) < 2)
