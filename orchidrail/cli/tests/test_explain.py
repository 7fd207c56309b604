"""Tests of the log lines selected for a job."""

from __future__ import annotations

import json

from testtools import TestCase

from orchidrail.cli.explain import explain

_JOB = '0123456789abcdef'


def _line(at: int, event: str, **fields: object) -> str:
    return json.dumps({'timestamp': str(at), 'event': event, **fields})


class ExplainTest(TestCase):
    def events(self, *lines: str) -> list[str]:
        return [line.event for line in explain(_JOB, lines)]

    def test_finds_lines_by_task_and_step_id(self) -> None:
        found = self.events(
            _line(3, 'run ended', task=f'{_JOB}.0.0.1'),
            _line(1, 'job accepted', job=_JOB),
            _line(2, 'placed', step=f'{_JOB}.0.0', job=_JOB),
            _line(2, 'placed', job='f' * 16),
        )
        self.assertEqual(['job accepted', 'placed', 'run ended'], found)

    def test_includes_surrounding_events_until_the_job_ends(self) -> None:
        found = self.events(
            _line(1, 'store lost'),
            _line(2, 'job accepted', job=_JOB),
            _line(3, 'worker lost', worker='w'),
            _line(4, 'job over', job=_JOB),
            _line(5, 'store regained'),
        )
        self.assertEqual(['job accepted', 'worker lost', 'job over'], found)

    def test_includes_the_wait_reasons_of_the_job(self) -> None:
        line = _line(
            2,
            'tasks wait',
            job=_JOB,
            step=f'{_JOB}.0.0',
            seconds=6.7,
            reason='room',
            workers={'copies': 9, 'failed': 3},
        )
        other = _line(3, 'tasks wait', job='f' * 16, step=f'{"f" * 16}.0.0')
        found = explain(_JOB, (_line(1, 'job accepted', job=_JOB), line, other))
        self.assertEqual(
            ['job accepted', 'tasks wait'],
            [selected.event for selected in found],
        )
        for part in ('seconds=6.7', 'reason=room', "'failed': 3"):
            self.assertIn(part, found[-1].to_text())

    def test_open_job_includes_surrounding_events_to_the_end_of_the_logs(
        self,
    ) -> None:
        found = self.events(
            _line(1, 'worker lost', worker='v'),
            _line(2, 'job accepted', job=_JOB),
            _line(3, 'tasks wait', job=_JOB),
            _line(4, 'worker rests', worker='w'),
            _line(5, 'placed', job='f' * 16),
        )
        self.assertEqual(['job accepted', 'tasks wait', 'worker rests'], found)

    def test_cancellation_ends_the_job(self) -> None:
        found = self.events(
            _line(2, 'tasks wait', job=_JOB),
            _line(3, 'job cancelled', job=_JOB),
            _line(4, 'worker rests', worker='w'),
        )
        self.assertEqual(['tasks wait', 'job cancelled'], found)

    def test_worker_and_lane_failures_are_included_for_any_job(self) -> None:
        found = self.events(
            _line(1, 'job accepted', job=_JOB),
            _line(2, 'no advice', lane='lane-1', step=f'{"f" * 16}.0.0'),
            _line(3, 'worker lost', worker='w'),
            _line(4, 'gang held back', step=f'{"f" * 16}.0.0'),
            _line(5, 'worker reached', worker='w'),
            _line(6, 'tasks wait', job=_JOB),
        )
        expected = [
            'job accepted',
            'no advice',
            'worker lost',
            'worker reached',
            'tasks wait',
        ]
        self.assertEqual(expected, found)

    def test_ignores_lines_that_are_not_log_lines(self) -> None:
        self.assertEqual([], self.events('', 'text', '{broken', '12 {"a": 1}'))
