"""Tests of the expiry of run leases."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from orchidrail.workers.run_lease import MAX_CLOCK_SLOWDOWN, RunLease

_MAX_DURATION = 6
_times = st.floats(min_value=0, max_value=1000)


class LeaseTest(TestCase):
    def test_unseen_worker_expires_with_prior_leases(self) -> None:
        lease = RunLease(_MAX_DURATION, prior_leases_end=20)
        self.assertFalse(lease.expired(20))
        self.assertTrue(lease.expired(20.1))

    def test_out_of_order_response_keeps_the_clock_estimate(self) -> None:
        lease = RunLease(_MAX_DURATION, prior_leases_end=0)
        lease.observe(clock=110, at=60)
        lease.observe(clock=101, at=61)
        self.assertEqual(111, lease.clock_at(61))

    @given(
        rate=st.floats(min_value=1 - MAX_CLOCK_SLOWDOWN, max_value=1),
        delay=st.floats(min_value=0, max_value=2),
        renewed=_times,
        passed=_times,
    )
    def test_expired_lease_has_ended_on_the_workers_clock(
        self,
        rate: float,
        delay: float,
        renewed: float,
        passed: float,
    ) -> None:
        """Both clocks start at 0; the worker's runs at `rate`."""
        lease = RunLease(_MAX_DURATION, prior_leases_end=0)
        lease.observe(clock=0, at=delay)
        end = lease.renew(delay + renewed)
        now = delay + renewed + passed
        if lease.expired(now):
            self.assertGreaterEqual(now * rate + 1e-6, end)
