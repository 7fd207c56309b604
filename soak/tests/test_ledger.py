"""Tests that the ledger detects violations of each rule."""

from __future__ import annotations

import time

from testtools import TestCase

from soak.ledger import Ledger, SentJob

_JOB = 'a' * 16
_TASK = f'{_JOB}.0.0.0'
_STEPS = [{'count': 1}, {'count': 1, 'afterRevision': [0]}]


class LedgerTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.ledger = Ledger()
        self.job = SentJob(_JOB, 'text', _STEPS)
        self.ledger.job_by_id[_JOB] = self.job

    def assert_violated(self, rule: str) -> None:
        rules = [line.partition(' ')[0] for line in self.ledger.violations]
        self.assertEqual([rule], rules)

    def test_second_run_of_a_task_at_the_same_time(self) -> None:
        self.ledger.record_start(_TASK, 'text', 'w-1')
        self.ledger.record_start(_TASK, 'text', 'w-2')
        self.assert_violated('TWICE')

    def test_start_after_an_acknowledged_end(self) -> None:
        self.ledger.record_start(_TASK, 'text', 'w-1')
        self.ledger.record_end(_TASK, 1, 'w-1', 'done')
        self.ledger.record_acknowledgement(_TASK, 1, 'w-1', 'done')
        self.ledger.record_start(_TASK, 'text', 'w-2')
        self.assert_violated('TWICE')

    def test_step_started_before_its_predecessor(self) -> None:
        self.ledger.record_start(f'{_JOB}.0.1.0', 'text', 'w-1')
        self.assert_violated('ORDER')

    def test_start_with_a_text_that_was_not_submitted(self) -> None:
        self.ledger.record_start(_TASK, 'other text', 'w-1')
        self.assert_violated('UNASKED')

    def test_start_after_a_cancel(self) -> None:
        self.job.cancelled_at = time.monotonic() - 10
        self.ledger.record_start(_TASK, 'text', 'w-1')
        self.assert_violated('UNASKED')

    def test_rejected_job_that_ran(self) -> None:
        self.ledger.record_start(_TASK, 'text', 'w-1')
        self.ledger.check_final_state()
        self.assert_violated('REFUSED')

    def test_accepted_job_that_is_unknown_or_never_ends(self) -> None:
        self.job.accepted = True
        self.ledger.check_state(self.job, 410, '')
        self.assert_violated('LOST')
        self.ledger.violations.clear()
        self.ledger.check_final_state()
        self.assert_violated('LOST')

    def test_job_shown_as_completed_too_early(self) -> None:
        self.ledger.check_state(self.job, 200, 'completed')
        self.assert_violated('MIXED')

    def test_crashing_task_is_started_too_often(self) -> None:
        self.job.crashing = True
        self.ledger.task_by_key[_TASK].crashes = 3
        for worker in ('w-1', 'w-2', 'w-3'):
            self.assertEqual([], self.ledger.violations)
            self.ledger.record_start(_TASK, 'text', worker)
            self.ledger.record_end(_TASK, 1, worker, 'crashed')
        self.assert_violated('BUDGET')

    def test_job_abandoned_after_one_crash(self) -> None:
        self.job.crashing = True
        self.ledger.task_by_key[_TASK].crashes = 1
        self.ledger.check_state(self.job, 200, 'failed')
        self.assert_violated('LOST')

    def test_crashing_job_that_is_never_abandoned(self) -> None:
        self.job.crashing = True
        self.job.accepted = True
        self.ledger.check_final_state()
        self.assert_violated('LOST')

    def fail_runs(self, times: int) -> None:
        for number in range(times):
            worker = f'w-{number}'
            self.ledger.record_start(_TASK, 'text', worker)
            self.ledger.record_end(_TASK, 1, worker, 'failed')
            self.ledger.record_acknowledgement(_TASK, 1, worker, 'failed')

    def test_job_abandoned_before_its_last_attempt(self) -> None:
        self.fail_runs(2)
        self.ledger.check_state(self.job, 200, 'failed')
        self.assert_violated('LOST')

    def test_job_may_be_abandoned_after_its_last_attempt(self) -> None:
        self.job.accepted = True
        self.fail_runs(3)
        self.ledger.check_state(self.job, 200, 'failed')
        self.ledger.check_final_state()
        self.assertEqual([], self.ledger.violations)

    def test_start_after_the_last_attempt(self) -> None:
        self.fail_runs(4)
        self.assert_violated('BUDGET')

    def test_long_running_job_has_no_attempt_limit(self) -> None:
        self.job.steps = [{'count': 1, 'longRunning': True}]
        self.fail_runs(4)
        self.assertEqual([], self.ledger.violations)
        self.ledger.check_state(self.job, 200, 'failed')
        self.assert_violated('LOST')


class GangLedgerTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.ledger = Ledger()
        step = {'count': 2, 'gangScheduled': True}
        self.job = SentJob(_JOB, 'text', [step], accepted=True)
        self.ledger.job_by_id[_JOB] = self.job

    def rules(self) -> list[str]:
        return [line.partition(' ')[0] for line in self.ledger.violations]

    def run_once(self, number: int, *endings: str) -> None:
        """Run all members, and acknowledge how they end."""
        for task in self.job.tasks:
            self.ledger.record_start(task, 'text', f'w-{task}')
        for task, ending in zip(self.job.tasks, endings, strict=True):
            self.ledger.record_end(task, number, f'w-{task}', ending)
            self.ledger.record_acknowledgement(
                task, number, f'w-{task}', ending
            )

    def test_gang_fails_when_any_member_fails(self) -> None:
        self.run_once(1, 'failed', 'broken')
        self.run_once(2, 'broken', 'failed')
        self.run_once(3, 'failed', 'broken')
        self.ledger.check_state(self.job, 200, 'failed')
        self.ledger.check_final_state()
        self.assertEqual([], self.rules())

    def test_failed_members_of_one_run_count_once(self) -> None:
        self.run_once(1, 'failed', 'failed')
        self.run_once(2, 'failed', 'failed')
        self.ledger.check_state(self.job, 200, 'failed')
        self.assertEqual(['LOST'], self.rules())

    def test_other_endings_are_no_failures(self) -> None:
        for number, ending in enumerate(
            ('broken', 'alone', 'lapsed', 'stopped')
        ):
            self.run_once(number, ending, 'broken')
        self.ledger.check_state(self.job, 200, 'failed')
        self.assertEqual(['LOST'], self.rules())

    def test_start_after_the_last_attempt_of_a_gang(self) -> None:
        for number in range(3):
            self.run_once(number, 'failed', 'broken')
        self.ledger.record_start(self.job.tasks[1], 'text', 'w')
        self.assertEqual(['BUDGET'], self.rules())

    def test_late_start_in_the_run_of_the_last_attempt(self) -> None:
        """Guards against a false alarm where a member's start arrives late.

        Another member of its gang has failed by then; it is the same attempt.
        """
        for number in range(3):
            self.run_once(number, 'failed', 'broken')
        self.ledger.record_start(self.job.tasks[1], 'text', 'w', 2)
        self.assertEqual([], self.rules())
        self.ledger.record_start(self.job.tasks[0], 'text', 'w', 3)
        self.assertEqual(['BUDGET'], self.rules())

    def test_always_failing_job_that_is_never_abandoned(self) -> None:
        for number in range(3):
            self.run_once(number, 'failed', 'broken')
        self.ledger.check_state(self.job, 200, 'running')
        self.ledger.check_final_state()
        self.assertEqual(['LOST'], self.rules())

    def test_done_member_completes_the_whole_gang(self) -> None:
        self.run_once(1, 'done', 'stopped')
        self.ledger.check_state(self.job, 200, 'completed')
        self.assertEqual([], self.rules())
        self.ledger.record_start(self.job.tasks[1], 'text', 'w')
        self.assertEqual(['TWICE'], self.rules())

    def end_alone(self, fault_free_for: float) -> None:
        self.ledger.fault_free_since = time.monotonic() - fault_free_for
        self.ledger.record_end(self.job.tasks[0], 1, 'w', 'alone')

    def test_member_ends_alone_without_faults(self) -> None:
        self.end_alone(4.1)
        self.assertEqual(['GANG'], self.rules())

    def test_member_may_end_alone_near_a_fault(self) -> None:
        self.end_alone(3.5)
        self.ledger.fault_free_since = None
        self.ledger.record_end(self.job.tasks[0], 1, 'w', 'alone')
        self.assertEqual([], self.rules())

    def test_member_may_end_alone_after_a_crash_or_cancel(self) -> None:
        self.ledger.record_crash(self.job.tasks[0])
        self.end_alone(10)
        self.job.cancel_sent = True
        self.ledger._crashed_at = 0
        self.end_alone(10)
        self.assertEqual([], self.rules())
