"""Tests of the summary of what an open job waits for."""

from __future__ import annotations

import json

from testtools import TestCase

from orchidrail.cli.explain import explain
from orchidrail.cli.wait_summary import summarize_waits
from orchidrail.shard.eligibility import IneligibleReason

_JOB = '0123456789abcdef'


def _line(at: int, event: str, **fields: object) -> str:
    named = {'timestamp': str(at), 'event': event, 'job': _JOB}
    return json.dumps(named | fields)


def _wait(at: int, seconds: float, **fields: object) -> str:
    step = f'{_JOB}.0.0'
    details = {'step': step, 'tasks': 2, 'seconds': seconds, 'workers': {}}
    return _line(at, 'tasks wait', **details | fields)


class WaitSummaryTest(TestCase):
    def summary(self, *lines: str) -> str:
        return '\n'.join(summarize_waits(explain(_JOB, lines)))

    def test_describes_the_longest_and_the_last_wait(self) -> None:
        found = self.summary(
            _line(1, 'job accepted'),
            _wait(4, 9.5, workers={'room': 8}),
            _wait(7, 2.5, workers={'notPermitted': 7, 'ticket': 1}),
        )
        self.assertIn('9.5 s', found)
        self.assertIn('at 4', found)
        self.assertIn('at 7: 2 task(s) of step', found)
        self.assertIn('7 not permitted, 1 without a valid ticket', found)
        self.assertNotIn('full', found)

    def test_describes_each_optional_field(self) -> None:
        for field, text in (
            ({'idle': {'w-1': 'failed'}}, 'Room on w-1: avoided'),
            ({'idle': {'w-1': 'held'}}, 'Room on w-1: full by what is held'),
            ({'idle': {'w-1': 'kept'}}, 'Room on w-1: kept for other work'),
            ({'question': 4, 'question_state': 'line'}, 'waited for a lane'),
            ({'question': 4, 'question_state': 'call'}, 'for its answer'),
            ({'unheard': 4.5}, 'not heard for 4.5 s'),
            ({'starts': 'gang'}, 'that start together'),
        ):
            self.assertNotIn(text, self.summary(_wait(1, 3)))
            self.assertIn(text, self.summary(_wait(1, 3, **field)))

    def test_each_ineligibility_reason_has_a_text(self) -> None:
        for reason in IneligibleReason:
            name = reason.value
            found = self.summary(_wait(1, 3, workers={name: 7}))
            self.assertNotIn(f'Workers: 7 {name}.', found)
            self.assertIn('Workers: 7 ', found)

    def test_unknown_reasons_and_states_are_shown_unchanged(self) -> None:
        found = self.summary(
            _wait(
                1,
                3,
                workers={'unknownReason': 7},
                question=3,
                question_state='unknownState',
            ),
        )
        self.assertIn('7 unknownReason', found)
        self.assertIn('waited unknownState', found)

    def test_accepts_lines_without_the_optional_fields(self) -> None:
        self.assertIn('at 1', self.summary(_wait(1, 3)))

    def test_no_summary_for_a_job_that_has_ended(self) -> None:
        self.assertEqual('', self.summary(_wait(1, 3), _line(2, 'job over')))

    def test_no_summary_for_a_job_without_waits(self) -> None:
        self.assertEqual('', self.summary(_line(1, 'job accepted')))
