"""Tests of the report on causes of late jobs."""

from __future__ import annotations

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from tools.losses import report

_LATE = {
    'event': 'job over',
    'job': 'a',
    'queue': 'q',
    'phase': 'completed',
    'took': 9.0,
    'expected': 2.0,
    'longest_run': 1.0,
    'failures': 0,
    'waits': {'room': 6.0, 'advice': 0.1},
}

_WAITING = {
    'event': 'tasks wait',
    'job': 'b',
    'step': 'b.0.0',
    'queue': 'q',
    'tasks': 3,
    'seconds': 6.5,
    'reason': 'room',
    'asking': 0,
    'workers': {'copies': 9, 'failed': 3, 'notPermitted': 20},
}


class LossesTest(unittest.TestCase):
    def print_report(self, *entries: dict[str, object]) -> str:
        """Return the report on log lines in the format of a bench."""
        lines = [f'  1.5 node {json.dumps(entry)}' for entry in entries]
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'log')
            path.write_text('no object here\n' + '\n'.join(lines))
            printed = io.StringIO()
            with contextlib.redirect_stdout(printed):
                report(str(path), worth={'q': 0.5})
        return printed.getvalue()

    def test_late_job_is_counted_under_its_longest_wait(self) -> None:
        printed = self.print_report(_LATE, {**_LATE, 'took': 1.0})
        self.assertIn('q: 2 ended, 1 late, 1 useless', printed)
        self.assertRegex(printed, r'room +1 jobs +7\.0 s +0\.50')

    def test_late_job_without_waits_is_attributed_to_failed_runs(self) -> None:
        printed = self.print_report({**_LATE, 'waits': {}, 'failures': 1})
        self.assertIn('failed runs', printed)

    def test_rejections_are_counted(self) -> None:
        printed = self.print_report({'event': 'job refused', 'queue': 'q'})
        self.assertIn('q: job refused: 1 times', printed)

    def test_unfinished_job_is_counted_by_its_longest_wait(
        self,
    ) -> None:
        earlier = {**_WAITING, 'seconds': 2.5, 'workers': {'room': 32}}
        printed = self.print_report(earlier, _WAITING, earlier)
        self.assertIn('q: 1 waited and are not over', printed)
        self.assertRegex(printed, r'room, failed +1 jobs +6\.5 s +0\.50')

    def test_ended_job_is_not_listed_as_waiting(self) -> None:
        printed = self.print_report({**_WAITING, 'job': 'a'}, _LATE)
        self.assertNotIn('are not over', printed)

    def test_wait_without_worker_reasons_is_counted(self) -> None:
        no_worker = {**_WAITING, 'workers': {}, 'reason': ''}
        self.assertIn('nothing, no worker', self.print_report(no_worker))
