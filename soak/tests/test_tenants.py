"""Tests that the simulated operator detects usage over a limit."""

from __future__ import annotations

from random import Random

from testtools import TestCase

from soak.ledger import Ledger, SentJob
from soak.store import StoreStandIn
from soak.tenants import STEADY_TENANT, Operator

_TASK = f'{"a" * 16}.0.0.'


class OperatorTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.ledger = Ledger()
        self.operator = Operator(
            {'version': 0},
            StoreStandIn(),
            self.ledger,
            Random(1),
        )
        self.ledger.limits = self.operator
        steps = [{'count': 99, 'cpu': 10_000}]
        job = SentJob('a' * 16, 'text', steps, tenant='small')
        self.ledger.job_by_id[job.job_id] = job

    def start(self, count: int) -> None:
        for index in range(count):
            self.ledger.record_start(f'{_TASK}{index}', 'text', 'w')

    def test_start_over_the_limit_is_a_violation(self) -> None:
        self.start(3)
        self.assertEqual([], self.ledger.violations)
        self.start(4)
        self.assertIn('QUOTA', self.ledger.violations[-1])

    def test_ended_runs_do_not_count(self) -> None:
        for index in range(9):
            self.ledger.record_start(f'{_TASK}{index}', 'text', 'w')
            self.ledger.record_end(f'{_TASK}{index}', 1, 'w', 'done')
        self.assertEqual([], self.ledger.violations)

    def test_previous_limit_still_counts_for_a_while(self) -> None:
        job = self.ledger.job_by_id['a' * 16]
        job.tenant = 'large'
        self.operator._change_limit()
        self.start(5)
        self.assertEqual([], self.ledger.violations)
        self.operator._previous_limits['large'].clear()
        self.start(6)
        self.assertIn('QUOTA', self.ledger.violations[-1])

    def test_allows_up_to_the_limit_below_half_usage(self) -> None:
        self.assertTrue(self.operator.allows('small', 20_000))
        self.assertFalse(self.operator.allows('small', 20_001))
        self.operator.record_start('small', 9000)
        self.assertTrue(self.operator.allows('small', 11_000))
        self.assertFalse(self.operator.allows('small', 11_001))
        self.operator.record_start('small', 1000)
        self.assertFalse(self.operator.allows('small', 1))
        self.operator.record_end('small', 1000)
        self.assertTrue(self.operator.allows('small', 1))

    def test_tenants_without_a_limit_are_unbounded(self) -> None:
        for tenant in ('', STEADY_TENANT):
            self.operator.record_start(tenant, 10**9)
            self.assertTrue(self.operator.allows(tenant, 10**9))
