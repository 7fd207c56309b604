"""Tests of what a tenant's limit allows to start."""

from __future__ import annotations

import msgspec
from testtools import TestCase

from orchidrail.shard.tenant_ledger import QuotaUsage, TenantLedger
from orchidrail.types import JobId, TenantId
from orchidrail.work.job import Job
from orchidrail.work.model import JobSpec, StepSpec
from orchidrail.work.records import JobRecord
from orchidrail.work.size import Size
from orchidrail.work.step import StepState
from orchidrail.work.tenant import Tenant
from orchidrail.work.tests.test_job import make_job

_NAME = TenantId('stores')
_QUEUE = make_job(StepSpec(1)).queue


def _step(spec: StepSpec, *, urgent: bool = False) -> StepState:
    queue = msgspec.structs.replace(_QUEUE, priority=0 if urgent else 2)
    tenant = Tenant(_NAME, 1, Size(100, 0))
    record = JobRecord(queue, JobSpec('', (spec,)), 0, tenant)
    return Job(JobId('0' * 16), record).steps(0)[0]


class TenantLedgerTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.maximum = Size(100, 0)
        self.ledger = TenantLedger(lambda name: Tenant(name, 1, self.maximum))

    def allowed(self, step: StepState) -> int:
        return len(self.ledger.within_limit(step, step.tasks))

    def test_gang_starts_whole_and_wide_step_in_parts(self) -> None:
        self.ledger.add_usage(QuotaUsage(_NAME, Size(35, 0)))
        self.assertEqual(
            0, self.allowed(_step(StepSpec(8, Size(10), gang=True)))
        )
        self.assertEqual(6, self.allowed(_step(StepSpec(8, Size(10)))))

    def test_limit_is_reserved_for_urgent_work(self) -> None:
        urgent = QuotaUsage(_NAME, Size(20, 0), urgent=True)
        self.ledger.add_usage(urgent)
        self.ledger.remove_usage(urgent)
        self.assertEqual(8, self.allowed(_step(StepSpec(10, Size(10)))))
        step = _step(StepSpec(10, Size(10)), urgent=True)
        self.assertEqual(10, self.allowed(step))

    def test_nothing_is_reserved_from_gang_that_never_fits(self) -> None:
        urgent = QuotaUsage(_NAME, Size(20, 0), urgent=True)
        self.ledger.add_usage(urgent)
        self.ledger.remove_usage(urgent)
        gang = _step(StepSpec(9, Size(10), gang=True))
        self.assertEqual(9, self.allowed(gang))

    def test_gang_above_lowered_limit_blocks_nothing(self) -> None:
        """It waits for the limit to rise again; other work continues."""
        gang = _step(StepSpec(8, Size(10), gang=True))
        self.assertTrue(self.ledger.needs_most_of_limit(gang))
        self.maximum = Size(60, 0)
        self.assertEqual(0, self.allowed(gang))
        self.assertFalse(self.ledger.needs_most_of_limit(gang))

    def test_gang_fits_once_work_that_can_wait_has_ended(self) -> None:
        """Guards against work that waits in vain for a gang to fit."""
        gang = _step(StepSpec(8, Size(10), gang=True))
        urgent = QuotaUsage(_NAME, Size(20, 0), urgent=True)
        lasting = QuotaUsage(_NAME, Size(10, 0), lasting=True)
        self.ledger.add_usage(QuotaUsage(_NAME, Size(70, 0)))
        self.ledger.add_usage(urgent)
        self.assertTrue(self.ledger.fits_once_others_end(gang))
        self.ledger.add_usage(lasting)
        self.assertFalse(self.ledger.fits_once_others_end(gang))
        self.ledger.remove_usage(lasting)
        self.assertTrue(self.ledger.fits_once_others_end(gang))
