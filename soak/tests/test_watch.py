"""Tests that the watch detects interrupted tasks and lingering runs."""

from __future__ import annotations

from typing import Any

from testtools import TestCase

from soak.ledger import Ledger, SentJob
from soak.watch import LastingWatch

_JOB = 'a' * 16
_TASK = f'{_JOB}.0.0.0'
_STEP = {'count': 1, 'longRunning': True}
#: Times of the monotonic clock.
_FAULT_FREE_SINCE, _ENDED_AT = 100.0, 110.0
_INTERRUPTION_LIMIT_AT = _ENDED_AT + 6.2
_OVERDUE_AT = _ENDED_AT + 9.4


class _Worker:
    """A worker with capacity for a given number of tasks."""

    def __init__(self) -> None:
        """Have capacity for two tasks."""
        self.additional_tasks = 2

    def max_additional_tasks(self, step_key: str, step: dict[str, Any]) -> int:
        return self.additional_tasks


class _WatchTestCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.ledger = Ledger()
        self.job = SentJob(_JOB, 'text', [_STEP], accepted=True)
        self.job.accepted_at = _FAULT_FREE_SINCE
        self.ledger.job_by_id[_JOB] = self.job
        self.task = self.ledger.task_by_key[_TASK]
        self.task.ended_at = _ENDED_AT
        self.worker = _Worker()
        self.watch = LastingWatch(self.ledger, [self.worker])
        self.ledger.fault_free_since = _FAULT_FREE_SINCE

    def check_until(self, until: float, since: float = _ENDED_AT) -> None:
        """Check at every tenth of a second."""
        for tenths in range(round(since * 10), round(until * 10) + 1):
            self.watch.check(tenths / 10)

    def assert_reported(self, *rules: str) -> None:
        reported = [line.partition(' ')[0] for line in self.ledger.violations]
        self.assertEqual(list(rules), reported)


class WaitTest(_WatchTestCase):
    def test_interrupted_task_does_not_run_again(self) -> None:
        self.check_until(_OVERDUE_AT)
        self.assert_reported('LOST')

    def test_interruption_is_reported_once(self) -> None:
        self.check_until(_OVERDUE_AT + 20)
        self.assert_reported('LOST')

    def test_second_interruption_is_reported_again(self) -> None:
        self.check_until(_OVERDUE_AT)
        self.task.running.add('w-1')
        self.watch.check(_OVERDUE_AT)
        self.task.running.clear()
        self.task.ended_at = _OVERDUE_AT
        self.check_until(_OVERDUE_AT + 9.4, _OVERDUE_AT)
        self.assert_reported('LOST', 'LOST')

    def test_task_that_never_ran(self) -> None:
        self.task.ended_at = None
        self.job.accepted_at = _ENDED_AT
        self.check_until(_OVERDUE_AT)
        self.assert_reported('LOST')

    def test_interruption_within_its_bound(self) -> None:
        self.check_until(_ENDED_AT + 8.9)
        self.assert_reported()

    def test_run_between_two_checks_restarts_the_interruption(self) -> None:
        self.check_until(_INTERRUPTION_LIMIT_AT)
        self.task.ended_at = _INTERRUPTION_LIMIT_AT
        self.check_until(_INTERRUPTION_LIMIT_AT + 8.9, _INTERRUPTION_LIMIT_AT)
        self.assert_reported()

    def test_longest_interruption_with_free_capacity(self) -> None:
        self.check_until(_ENDED_AT + 4)
        self.worker.additional_tasks = 1
        self.check_until(_ENDED_AT + 5, _ENDED_AT + 4.1)
        self.assertAlmostEqual(4, self.watch.timer.longest)

    def test_task_that_runs_again(self) -> None:
        self.check_until(_INTERRUPTION_LIMIT_AT)
        self.task.running.add('w-1')
        self.check_until(_OVERDUE_AT, _INTERRUPTION_LIMIT_AT)
        self.assert_reported()

    def test_wait_for_capacity_does_not_count(self) -> None:
        self.check_until(_INTERRUPTION_LIMIT_AT)
        self.worker.additional_tasks = 1
        self.watch.check(_INTERRUPTION_LIMIT_AT)
        self.worker.additional_tasks = 2
        self.check_until(_INTERRUPTION_LIMIT_AT + 2.9, _INTERRUPTION_LIMIT_AT)
        self.assert_reported()
        self.check_until(
            _INTERRUPTION_LIMIT_AT + 3.4, _INTERRUPTION_LIMIT_AT + 2.9
        )
        self.assert_reported('LOST')

    def test_wait_during_faults_does_not_count(self) -> None:
        self.ledger.fault_free_since = None
        self.check_until(_OVERDUE_AT + 20)
        self.assert_reported()

    def test_wait_soon_after_faults_does_not_count(self) -> None:
        self.ledger.fault_free_since = _ENDED_AT + 5
        self.check_until(_ENDED_AT + 11.9)
        self.assert_reported()
        self.check_until(_ENDED_AT + 12.4, _ENDED_AT + 11.9)
        self.assert_reported('LOST')

    def test_cancelled_job_need_not_run(self) -> None:
        self.job.cancel_sent = True
        self.check_until(_OVERDUE_AT + 20)
        self.assert_reported()

    def test_job_that_was_not_accepted_need_not_run(self) -> None:
        self.job.accepted = False
        self.check_until(_OVERDUE_AT + 20)
        self.assert_reported()


class LingeringRunTest(_WatchTestCase):
    """Tests of runs that linger after a cancel sent at `_ENDED_AT`."""

    def setUp(self) -> None:
        super().setUp()
        self.task.running.add('w-1')
        self.job.cancel_sent, self.job.cancel_sent_at = True, _ENDED_AT

    def test_run_lingers_after_an_acknowledged_cancel(self) -> None:
        self.job.cancelled_at = _ENDED_AT
        self.check_until(_ENDED_AT + 3.2)
        self.assert_reported()
        self.check_until(_ENDED_AT + 3.4)
        self.assert_reported('UNASKED')

    def test_run_lingers_after_an_unacknowledged_cancel(self) -> None:
        self.check_until(_ENDED_AT + 7.2)
        self.assert_reported()
        self.check_until(_ENDED_AT + 7.4)
        self.assert_reported('UNASKED')

    def test_stopped_task_is_no_violation(self) -> None:
        self.job.cancelled_at = _ENDED_AT
        self.check_until(_ENDED_AT + 3)
        self.task.running.clear()
        self.check_until(_ENDED_AT + 30, _ENDED_AT + 3)
        self.assert_reported()

    def test_run_may_linger_during_faults(self) -> None:
        self.job.cancelled_at = _ENDED_AT
        self.ledger.fault_free_since = None
        self.check_until(_ENDED_AT + 30)
        self.assert_reported()
        self.ledger.fault_free_since = _ENDED_AT + 30
        self.check_until(_ENDED_AT + 33.2, _ENDED_AT + 30)
        self.assert_reported()
        self.check_until(_ENDED_AT + 33.4, _ENDED_AT + 33.2)
        self.assert_reported('UNASKED')
