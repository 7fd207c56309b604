"""Tests of the estimates of queue waits."""

from __future__ import annotations

from random import Random

import testtools

from orchidrail.deciding.admission import Admission
from orchidrail.types import ClassName

_CLASS = ClassName('preview')


class AdmissionTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.admission = Admission(Random(1))

    def test_idle_time_does_not_lengthen_the_expected_wait(self) -> None:
        for start in range(0, 2000, 100):
            self.admission.note_start(_CLASS, start, start + 0.1)
        self.assertLess(self.admission.expected_wait(_CLASS, 10), 2)

    def test_too_few_starts_give_no_expected_wait(self) -> None:
        self.admission.note_start(_CLASS, 0, 1)
        self.admission.note_start(_CLASS, 0, 6)
        self.assertEqual(0, self.admission.expected_wait(_CLASS, 10))

    def test_expected_wait_follows_drain_rate_of_backlog(self) -> None:
        for number in range(1, 200):
            self.admission.note_start(_CLASS, 0, number * 0.5)
        wait = self.admission.expected_wait(_CLASS, 10)
        self.assertThat(wait, testtools.matchers.GreaterThan(4))
        self.assertThat(wait, testtools.matchers.LessThan(6))

    def test_retry_delays_have_jitter(self) -> None:
        times = {self.admission.retry_after(4) for _ in range(50)}
        self.assertGreater(len(times), 40)
        self.assertGreater(min(times), 1)
        self.assertLess(max(times), 8)
