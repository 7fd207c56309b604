"""Tests of the lease's arithmetic."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from orchidrail.workers.run_lease import MAX_CLOCK_SLOWDOWN, RunLease

_LONGEST = 6
_times = st.floats(min_value=0, max_value=1000)


class LeaseTest(TestCase):
    def test_an_unmet_worker_is_doubted_until_a_time(self) -> None:
        lease = RunLease(_LONGEST, prior_leases_end=20)
        self.assertFalse(lease.expired(20))
        self.assertTrue(lease.expired(20.1))

    def test_an_answer_that_was_overtaken_changes_nothing(self) -> None:
        lease = RunLease(_LONGEST, prior_leases_end=0)
        lease.observe(clock=110, at=60)
        lease.observe(clock=101, at=61)
        self.assertEqual(111, lease.clock_at(61))

    @given(
        rate=st.floats(min_value=1 - MAX_CLOCK_SLOWDOWN, max_value=1),
        delay=st.floats(min_value=0, max_value=2),
        renewed=_times,
        passed=_times,
    )
    def test_a_lease_that_counts_as_ended_has_ended(
        self,
        rate: float,
        delay: float,
        renewed: float,
        passed: float,
    ) -> None:
        """The worker's clock starts at 0 with ours and runs at `rate`."""
        lease = RunLease(_LONGEST, prior_leases_end=0)
        lease.observe(clock=0, at=delay)
        end = lease.renew(delay + renewed)
        now = delay + renewed + passed
        if lease.expired(now):
            self.assertGreaterEqual(now * rate + 1e-6, end)
