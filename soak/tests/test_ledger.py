"""Tests that the soak's judge notices what it is there for."""

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

    def assert_broken(self, rule: str) -> None:
        rules = [line.partition(' ')[0] for line in self.ledger.broken]
        self.assertEqual([rule], rules)

    def test_a_run_beside_another(self) -> None:
        self.ledger.note_start(_TASK, 'text', 'w-1')
        self.ledger.note_start(_TASK, 'text', 'w-2')
        self.assert_broken('TWICE')

    def test_a_run_after_an_end_that_was_noted(self) -> None:
        self.ledger.note_start(_TASK, 'text', 'w-1')
        self.ledger.note_end(_TASK, 'w-1', 'done')
        self.ledger.note_acknowledged(_TASK, 'done')
        self.ledger.note_start(_TASK, 'text', 'w-2')
        self.assert_broken('TWICE')

    def test_a_step_before_the_one_it_needs(self) -> None:
        self.ledger.note_start(f'{_JOB}.0.1.0', 'text', 'w-1')
        self.assert_broken('ORDER')

    def test_what_nobody_sent(self) -> None:
        self.ledger.note_start(_TASK, 'other text', 'w-1')
        self.assert_broken('UNASKED')

    def test_a_start_after_a_cancel(self) -> None:
        self.job.cancelled_at = time.monotonic() - 10
        self.ledger.note_start(_TASK, 'text', 'w-1')
        self.assert_broken('UNASKED')

    def test_a_refused_job_that_ran(self) -> None:
        self.ledger.note_start(_TASK, 'text', 'w-1')
        self.ledger.judge_end()
        self.assert_broken('REFUSED')

    def test_an_accepted_job_that_is_denied_or_never_ends(self) -> None:
        self.job.accepted = True
        self.ledger.note_state(self.job, 410, '')
        self.assert_broken('LOST')
        self.ledger.broken.clear()
        self.ledger.judge_end()
        self.assert_broken('LOST')

    def test_a_job_shown_as_completed_too_early(self) -> None:
        self.ledger.note_state(self.job, 200, 'completed')
        self.assert_broken('MIXED')

    def test_a_task_that_crashes_workers_is_started_too_often(self) -> None:
        self.job.crashing = True
        self.ledger.task_by_key[_TASK].crashes = 3
        for worker in ('w-1', 'w-2', 'w-3'):
            self.assertEqual([], self.ledger.broken)
            self.ledger.note_start(_TASK, 'text', worker)
            self.ledger.note_end(_TASK, worker, 'crashed')
        self.assert_broken('BUDGET')

    def test_a_job_that_is_given_up_after_one_crash(self) -> None:
        self.job.crashing = True
        self.ledger.task_by_key[_TASK].crashes = 1
        self.ledger.note_state(self.job, 200, 'failed')
        self.assert_broken('LOST')

    def test_a_crashing_job_that_is_never_given_up(self) -> None:
        self.job.crashing = True
        self.job.accepted = True
        self.ledger.judge_end()
        self.assert_broken('LOST')

    def fail_runs(self, times: int) -> None:
        for number in range(times):
            self.ledger.note_start(_TASK, 'text', f'w-{number}')
            self.ledger.note_end(_TASK, f'w-{number}', 'failed')
            self.ledger.note_acknowledged(_TASK, 'failed')

    def test_a_job_that_is_given_up_before_its_attempts_are_spent(self) -> None:
        self.fail_runs(2)
        self.ledger.note_state(self.job, 200, 'failed')
        self.assert_broken('LOST')

    def test_a_job_whose_attempts_are_spent_may_be_given_up(self) -> None:
        self.job.accepted = True
        self.fail_runs(3)
        self.ledger.note_state(self.job, 200, 'failed')
        self.ledger.judge_end()
        self.assertEqual([], self.ledger.broken)

    def test_a_start_after_all_attempts(self) -> None:
        self.fail_runs(4)
        self.assert_broken('BUDGET')

    def test_a_job_that_lasts_has_no_attempts_to_spend(self) -> None:
        self.job.steps = [{'count': 1, 'longRunning': True}]
        self.fail_runs(4)
        self.assertEqual([], self.ledger.broken)
        self.ledger.note_state(self.job, 200, 'failed')
        self.assert_broken('LOST')
