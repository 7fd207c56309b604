"""Tests that forecasts are corrected by how they turned out."""

from __future__ import annotations

from testtools import TestCase

from orchidrail.admission.accuracy import ForecastAccuracy
from orchidrail.admission.durations import DurationRatios
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

    def test_jobs_without_a_forecast_are_ignored(self) -> None:
        self.assertIsNone(self.accuracy.note_start(JobId('x'), 1))


class DurationRatiosTest(TestCase):
    def test_few_tasks_say_nothing(self) -> None:
        ratios = DurationRatios()
        for _ in range(5):
            ratios.note(_QUEUE, 9, 1)
        self.assertEqual((0.5, 1, 2), ratios.of(_QUEUE))

    def test_old_tasks_lose_weight(self) -> None:
        ratios = DurationRatios()
        for _ in range(300):
            ratios.note(_QUEUE, 1, 1)
        for _ in range(400):
            ratios.note(_QUEUE, 4, 1)
        self.assertGreater(ratios.of(_QUEUE).median, 3.9)

    def test_invalid_durations_are_ignored(self) -> None:
        ratios = DurationRatios()
        for _ in range(50):
            ratios.note(_QUEUE, 0, 1)
            ratios.note(_QUEUE, 1, 0)
        self.assertEqual(1, ratios.of(_QUEUE).median)
