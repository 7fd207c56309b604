"""Tests that the starvation watch detects startable jobs that don't run."""

from __future__ import annotations

from typing import Any

from testtools import TestCase

from orchidrail.work.size import Size
from soak.capacity import size_of
from soak.ledger import Failure, Ledger, SentJob
from soak.starvation import StarvationWatch

_JOB = 'a' * 16
#: Times of the monotonic clock.
_FAULT_FREE_SINCE, _ACCEPTED_AT = 100.0, 110.0
_OVERDUE_AT = _ACCEPTED_AT + 3.2


class _Worker:
    """A worker with capacity of two resources."""

    def __init__(self) -> None:
        """Run nothing."""
        self.capacity = Size(8000, 0, 4)
        self.used = Size()

    def max_additional_tasks(self, step_key: str, step: dict[str, Any]) -> int:
        return size_of(step).copies_in(self.capacity - self.used)


class _Limits:
    """Limits of tenants with a fixed remainder."""

    def __init__(self, left: int) -> None:
        self._left = left

    def record_start(self, tenant: str, cpu: int) -> None:
        """Ignore it."""

    def record_end(self, tenant: str, cpu: int) -> None:
        """Ignore it."""

    def allows(self, tenant: str, cpu: int) -> bool:
        return cpu <= self._left


class StarvationTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.ledger = Ledger()
        self.ledger.fault_free_since = _FAULT_FREE_SINCE
        self.workers = [_Worker(), _Worker()]
        self.watch = StarvationWatch(self.ledger, self.workers)
        self.accept({'count': 1, 'cpu': 1000})

    def accept(self, *steps: dict[str, Any]) -> None:
        """Replace the waiting job."""
        self.job = SentJob(_JOB, 'text', list(steps), accepted=True)
        self.job.accepted_at = _ACCEPTED_AT
        self.ledger.job_by_id[_JOB] = self.job
        self.tasks = [self.ledger.task_by_key[key] for key in self.job.tasks]

    def check_until(self, until: float, since: float = _ACCEPTED_AT) -> None:
        """Check at every tenth of a second."""
        for tenths in range(round(since * 10), round(until * 10) + 1):
            self.watch.check(tenths / 10)

    def assert_reported(self, count: int) -> None:
        rules = [line.partition(' ')[0] for line in self.ledger.violations]
        self.assertEqual(['LOST'] * count, rules)

    def assert_reported_after_wait(self, count: int) -> None:
        self.check_until(_OVERDUE_AT)
        self.assert_reported(count)

    def test_startable_job_does_not_run(self) -> None:
        self.check_until(_ACCEPTED_AT + 2.9)
        self.assert_reported(0)
        self.check_until(_OVERDUE_AT, _ACCEPTED_AT + 3)
        self.assert_reported(1)

    def test_wait_is_reported_once(self) -> None:
        self.check_until(_OVERDUE_AT + 20)
        self.assert_reported(1)

    def test_second_wait_is_reported_again(self) -> None:
        self.check_until(_OVERDUE_AT)
        self.tasks[0].running.add('w')
        self.watch.check(_OVERDUE_AT)
        self.tasks[0].running.clear()
        self.tasks[0].ended_at = _OVERDUE_AT
        self.check_until(_OVERDUE_AT + 3.2, _OVERDUE_AT)
        self.assert_reported(2)

    def test_longest_wait_with_free_capacity(self) -> None:
        self.workers[0].used = self.workers[1].used = Size(8000)
        self.check_until(_ACCEPTED_AT + 2)
        self.workers[0].used = self.workers[1].used = Size()
        self.check_until(_ACCEPTED_AT + 4, _ACCEPTED_AT + 2.1)
        self.assertAlmostEqual(1.9, self.watch.timer.longest)
        self.assert_reported(0)

    def test_partially_running_job_is_not_starved(self) -> None:
        self.accept({'count': 2, 'cpu': 1000})
        self.tasks[1].running.add('w')
        self.assert_reported_after_wait(0)

    def test_run_between_two_checks_restarts_the_wait(self) -> None:
        self.tasks[0].ended_at = _ACCEPTED_AT + 1
        self.assert_reported_after_wait(0)
        self.check_until(_OVERDUE_AT + 1, _OVERDUE_AT)
        self.assert_reported(1)

    def test_ready_step_does_not_run(self) -> None:
        self.accept(
            {'count': 1, 'cpu': 1000},
            {'count': 1, 'cpu': 1000, 'afterRevision': [0]},
        )
        self.ledger.outcomes_of(self.job.tasks[0]).done = True
        self.assert_reported_after_wait(1)

    def test_step_that_is_not_ready_may_wait(self) -> None:
        self.accept(
            {'count': 1, 'cpu': 8001},
            {'count': 1, 'cpu': 1000, 'afterRevision': [0]},
        )
        self.assert_reported_after_wait(0)

    def test_capacity_for_two_tasks_is_required(self) -> None:
        self.accept({'count': 1, 'cpu': 8000})
        self.workers[0].used = Size(1)
        self.assert_reported_after_wait(0)

    def test_capacity_for_two_gangs_is_sufficient(self) -> None:
        self.accept({'count': 2, 'cpu': 4000, 'gangScheduled': True})
        self.assert_reported_after_wait(1)

    def test_gang_without_capacity_for_two_may_wait(self) -> None:
        self.accept({'count': 2, 'cpu': 4000, 'gangScheduled': True})
        self.workers[0].used = Size(1)
        self.assert_reported_after_wait(0)

    def test_each_resource_counts(self) -> None:
        self.accept({'count': 1, 'gpu': 4})
        self.workers[0].used = Size(0, 0, 1)
        self.assert_reported_after_wait(0)

    def test_less_than_half_of_each_resource_must_be_allocated(self) -> None:
        for used, count in ((Size(8000), 0), (Size(0, 0, 4), 0)):
            self.workers[0].used = used
            self.assert_reported_after_wait(count)
        self.workers[0].used = Size(7999, 0, 3)
        self.assert_reported_after_wait(1)

    def test_job_of_a_tenant_at_its_limit_may_wait(self) -> None:
        self.accept({'count': 2, 'cpu': 1000, 'gangScheduled': True})
        self.ledger.limits = _Limits(1999)
        self.assert_reported_after_wait(0)
        self.ledger.limits = _Limits(2000)
        self.assert_reported_after_wait(1)

    def test_wait_near_a_fault_does_not_count(self) -> None:
        self.ledger.fault_free_since = _ACCEPTED_AT - 3
        self.check_until(_ACCEPTED_AT + 3.9)
        self.assert_reported(0)
        self.check_until(_ACCEPTED_AT + 4.2, _ACCEPTED_AT + 4)
        self.assert_reported(1)
        self.ledger.fault_free_since = None
        self.check_until(_ACCEPTED_AT + 20)
        self.assert_reported(1)

    def check_beside_a_pause(self, pause: float) -> None:
        """Check until the wait is overdue; the soak pauses after 1 s."""
        for tenths in range(33):
            now = _ACCEPTED_AT + tenths / 10 + (pause if tenths > 9 else 0)
            self.ledger.note_running(now)
            self.watch.check(now)

    def test_wait_for_a_paused_store_does_not_count(self) -> None:
        """Guards against waits that the soak causes by itself.

        Its store and its workers do not respond while its process stands still.
        """
        self.check_beside_a_pause(2.4)
        self.assert_reported(0)
        self.assertEqual(1, self.ledger.pauses)
        # The wait counts from the end of the aftermath.
        resumed_at = _ACCEPTED_AT + 0.9 + 2.4
        self.check_until(resumed_at + 7.5, _OVERDUE_AT + 2.4)
        self.assert_reported(1)

    def test_short_pause_is_no_fault(self) -> None:
        self.check_beside_a_pause(0.3)
        self.assert_reported(1)

    def test_wait_near_a_crash_does_not_count(self) -> None:
        self.ledger._crashed_at = _ACCEPTED_AT - 3
        self.check_until(_ACCEPTED_AT + 3.9)
        self.assert_reported(0)
        self.check_until(_ACCEPTED_AT + 4.2, _ACCEPTED_AT + 4)
        self.assert_reported(1)

    def test_jobs_that_need_not_progress(self) -> None:
        exhausted = self.ledger.outcomes_of(self.job.tasks[0])
        for changes in (
            {'accepted': False},
            {'cancel_sent': True},
            {'state': 'completed'},
        ):
            self.accept({'count': 1, 'cpu': 1000})
            for name, setting in changes.items():
                setattr(self.job, name, setting)
            self.assert_reported_after_wait(0)
        self.accept({'count': 1, 'cpu': 1000})
        exhausted.failures.update(Failure(run, 'w') for run in (1, 2, 3))
        self.assert_reported_after_wait(0)

    def test_crashing_job_that_may_be_abandoned(self) -> None:
        self.job.crashing = True
        self.tasks[0].crashes = 2
        self.assert_reported_after_wait(0)
        self.tasks[0].crashes = 1
        self.assert_reported_after_wait(1)
