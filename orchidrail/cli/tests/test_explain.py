"""Tests of the way from a job's id to its cause."""

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

    def test_finds_the_job_by_task_and_step_too(self) -> None:
        found = self.events(
            _line(3, 'run ended', task=f'{_JOB}.0.0.1'),
            _line(1, 'job accepted', job=_JOB),
            _line(2, 'placed', step=f'{_JOB}.0.0', job=_JOB),
            _line(2, 'placed', job='f' * 16),
        )
        self.assertEqual(['job accepted', 'placed', 'run ended'], found)

    def test_shows_what_went_on_meanwhile(self) -> None:
        found = self.events(
            _line(1, 'store lost'),
            _line(2, 'job accepted', job=_JOB),
            _line(3, 'worker lost', worker='w'),
            _line(4, 'job over', job=_JOB),
            _line(5, 'store regained'),
        )
        self.assertEqual(['job accepted', 'worker lost', 'job over'], found)

    def test_passes_over_what_is_no_log_line(self) -> None:
        self.assertEqual([], self.events('', 'text', '{broken', '12 {"a": 1}'))
