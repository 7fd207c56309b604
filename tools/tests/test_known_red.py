"""Tests of the pytest plugin for tests that are known to fail."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys
import tempfile

from testtools import TestCase

from tools.known_red import ListError, read_list

_ROOT = pathlib.Path(__file__).parents[2]
_TIMEOUT_S = 60
_TESTS = """
def test_good():
    assert True

def test_bad():
    assert False

def test_worse():
    assert False
"""


class ListTest(TestCase):
    def test_row_without_cause_is_rejected(self) -> None:
        error = self.assertRaises(ListError, read_list, 'a.py::b |  | 3')
        self.assertIn('a.py::b', str(error))

    def test_fourth_row_is_rejected(self) -> None:
        rows = '\n'.join(f'a.py::test_{row} | why | 3' for row in range(4))
        self.assertRaises(ListError, read_list, rows)
        self.assertEqual(3, len(read_list(rows[: rows.rindex('\n')])))


class RunTest(TestCase):
    """The tests run in the process that pytest was started in."""

    options: tuple[str, ...] = ()

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        (self.folder / 'test_some.py').write_text(_TESTS)
        (self.folder / 'pytest.ini').write_text('[pytest]\n')

    def run_tests(self, listed: str) -> subprocess.CompletedProcess[str]:
        (self.folder / 'KNOWN-RED.txt').write_text(listed)
        pytest = [sys.executable, '-m', 'pytest', '-q', '-p', 'tools.known_red']
        return subprocess.run(
            [*pytest, *self.options],
            cwd=self.folder,
            env={**os.environ, 'PYTHONPATH': str(_ROOT)},
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=False,
        )

    def test_listed_failures_are_skipped_and_printed(self) -> None:
        completed = self.run_tests(
            'test_some.py::test_bad | broken | issue 1\n'
            'test_some.py::test_worse | the same | issue 1\n'
        )
        self.assertEqual(0, completed.returncode, completed.stdout)
        self.assertIn(
            'test_some.py::test_bad (broken; issue 1)', completed.stdout
        )
        self.assertIn('test_some.py::test_worse', completed.stdout)

    def test_unlisted_failure_fails_the_run(self) -> None:
        completed = self.run_tests(
            'test_some.py::test_bad | broken | issue 1\n'
        )
        self.assertEqual(1, completed.returncode, completed.stdout)
        self.assertIn('FAILED test_some.py::test_worse', completed.stdout)

    def test_listed_test_that_passes_fails_the_run(self) -> None:
        completed = self.run_tests(
            'test_some.py::test_good | mended | issue 1\n'
        )
        self.assertEqual(1, completed.returncode, completed.stdout)
        self.assertIn('FAILED test_some.py::test_good', completed.stdout)

    def test_missing_listed_test_fails_the_run(self) -> None:
        completed = self.run_tests(
            'test_some.py::test_gone | renamed | issue 1\n'
        )
        self.assertNotEqual(0, completed.returncode)
        self.assertIn('test_gone', completed.stdout + completed.stderr)


class ParallelRunTest(RunTest):
    """The tests run in workers of `pytest-xdist`."""

    options = '-n', '2', '--dist', 'worksteal'

    def test_each_failure_is_printed_once(self) -> None:
        completed = self.run_tests(
            'test_some.py::test_bad | broken | issue 1\n'
            'test_some.py::test_worse | the same | issue 1\n'
        )
        self.assertEqual(2, completed.stdout.count('known red'))
        self.assertIn('1 passed, 2 xfailed', completed.stdout)
