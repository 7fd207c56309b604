"""Tests of the decision: early, rare, and steady at the edge."""

from __future__ import annotations

from random import Random

from testtools import TestCase

from orchidrail.admission.forecast import Forecast, StartRange
from orchidrail.admission.outages import worth_waiting
from orchidrail.admission.policy import AdmissionPolicy, GateKey
from orchidrail.admission.return_times import return_time
from orchidrail.admission.service_load import RankClass, SizeClass
from orchidrail.types import JobId, QueueName, Seconds

_KEY = GateKey(QueueName('q'), SizeClass.SMALL, RankClass.URGENT)
_LARGE = _KEY._replace(size_class=SizeClass.LARGE)


def make_forecast(
    earliest: Seconds, expected: Seconds, useful: Seconds = 3
) -> Forecast:
    """Return a forecast of a job that is of use for some seconds."""
    return Forecast(
        StartRange(earliest, expected),
        expected,
        expected + 1,
        1,
        useful,
        useful + 1,
    )


class PolicyTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.policy = AdmissionPolicy()

    def refuses(
        self, earliest: Seconds, expected: Seconds, now: Seconds = 0
    ) -> bool:
        forecast = make_forecast(earliest, expected)
        return self.policy.refuses(_KEY, forecast, now)

    def test_late_work_is_accepted_while_it_may_be_of_use(self) -> None:
        self.assertFalse(self.refuses(0, 0))
        self.assertFalse(self.refuses(2, 3))
        self.assertFalse(self.refuses(3.5, 6))

    def test_work_that_certainly_starts_too_late_is_refused(self) -> None:
        self.assertTrue(self.refuses(4.5, 6))

    def test_the_first_send_counts(self) -> None:
        forecast = make_forecast(2, 2.5)
        self.assertFalse(self.policy.refuses(_KEY, forecast, 0))
        self.assertTrue(self.policy.refuses(_KEY, forecast, 0, elapsed=2.5))

    def test_a_gate_opens_once_a_job_is_expected_to_be_of_use(self) -> None:
        self.assertTrue(self.refuses(4.5, 6, now=0))
        self.assertTrue(self.refuses(2, 3.5, now=0.5))
        self.assertFalse(self.refuses(2, 2.9, now=1))
        self.assertFalse(self.refuses(3.5, 6, now=1.1))

    def test_no_flapping_while_the_load_stays_at_the_edge(self) -> None:
        """The forecast jitters around the edge by less than its spread."""
        random, spread = Random(1), 1.0
        changes, before = 0, False
        for number in range(1000):
            expected = 4.0 + random.uniform(-spread, spread) / 2
            refused = self.refuses(expected - spread, expected, number / 100)
            changes += refused is not before
            before = refused
        self.assertLessEqual(changes, 2)

    def test_small_jobs_have_a_gate_of_their_own(self) -> None:
        late = make_forecast(9, 9)
        self.assertTrue(self.policy.refuses(_LARGE, late, 0))
        self.assertFalse(self.refuses(0, 3.5))
        self.assertEqual({_LARGE}, set(self.policy.refusing(0)))

    def test_an_old_state_is_forgotten(self) -> None:
        self.assertTrue(self.refuses(4.5, 6, now=0))
        self.assertEqual({}, self.policy.refusing(9))
        self.assertFalse(self.refuses(3.5, 6, now=9))


class ReturnTimeTest(TestCase):
    def test_callers_who_were_refused_together_return_apart(self) -> None:
        """A burst of one kind: 300 jobs, whose work takes ten seconds."""
        times = [
            return_time(JobId(f'{number:016x}'), 2, 10, 30)
            for number in range(300)
        ]
        by_second = [times.count(second) for second in range(3, 13)]
        self.assertEqual(300, sum(by_second))
        self.assertLess(max(by_second), 60)

    def test_those_with_little_use_left_return_first(self) -> None:
        jobs = [JobId(f'{number:016x}') for number in range(50)]
        for job in jobs:
            soon = return_time(job, 1, 20, remaining_use=3)
            later = return_time(job, 1, 20, remaining_use=20)
            self.assertLessEqual(soon, later)
            self.assertLessEqual(soon, 3)

    def test_the_header_has_whole_seconds_from_one(self) -> None:
        job = JobId('0123456789abcdef')
        self.assertEqual(1, return_time(job, -5, 0, 9))
        self.assertEqual(1, return_time(job, 5, 5, -2))
        self.assertEqual(return_time(job, 2, 5, 9), return_time(job, 2, 5, 9))


class OutageTest(TestCase):
    def test_a_short_outage_is_waited_for(self) -> None:
        self.assertTrue(worth_waiting(0.5, can_wait=2.9, usual=1))
        self.assertTrue(worth_waiting(2.0, can_wait=2.9))

    def test_a_long_one_is_not(self) -> None:
        self.assertFalse(worth_waiting(3.5, can_wait=2.9))
