"""Tests of the list of tests that are known to fail."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys
import tempfile

from testtools import TestCase

from tools.known_red import ListError, read_list

_ROOT = pathlib.Path(__file__).parents[2]
_LONGEST = 60
_TESTS = """
def test_good():
    assert True

def test_bad():
    assert False

def test_worse():
    assert False
"""


class ListTest(TestCase):
    def test_a_row_without_a_cause_is_refused(self) -> None:
        error = self.assertRaises(ListError, read_list, 'a.py::b |  | 3')
        self.assertIn('a.py::b', str(error))

    def test_a_fourth_row_is_refused(self) -> None:
        rows = '\n'.join(f'a.py::test_{row} | why | 3' for row in range(4))
        self.assertRaises(ListError, read_list, rows)
        self.assertEqual(3, len(read_list(rows[: rows.rindex('\n')])))


class RunTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        (self.folder / 'test_some.py').write_text(_TESTS)
        (self.folder / 'pytest.ini').write_text('[pytest]\n')

    def run_tests(self, listed: str) -> subprocess.CompletedProcess[str]:
        (self.folder / 'KNOWN-RED.txt').write_text(listed)
        return subprocess.run(
            [sys.executable, '-m', 'pytest', '-q', '-p', 'tools.known_red'],
            cwd=self.folder,
            env={**os.environ, 'PYTHONPATH': str(_ROOT)},
            capture_output=True,
            text=True,
            timeout=_LONGEST,
            check=False,
        )

    def test_just_the_listed_tests_are_passed_over_and_printed(self) -> None:
        ran = self.run_tests(
            'test_some.py::test_bad | broken | issue 1\n'
            'test_some.py::test_worse | the same | issue 1\n'
        )
        self.assertEqual(0, ran.returncode, ran.stdout)
        self.assertIn('test_some.py::test_bad (broken; issue 1)', ran.stdout)
        self.assertIn('test_some.py::test_worse', ran.stdout)

    def test_a_failing_test_that_is_not_listed_fails_the_run(self) -> None:
        ran = self.run_tests('test_some.py::test_bad | broken | issue 1\n')
        self.assertEqual(1, ran.returncode, ran.stdout)
        self.assertIn('FAILED test_some.py::test_worse', ran.stdout)

    def test_a_listed_test_that_passes_fails_the_run(self) -> None:
        ran = self.run_tests('test_some.py::test_good | mended | issue 1\n')
        self.assertEqual(1, ran.returncode, ran.stdout)
        self.assertIn('FAILED test_some.py::test_good', ran.stdout)

    def test_a_listed_test_that_is_not_there_fails_the_run(self) -> None:
        ran = self.run_tests('test_some.py::test_gone | renamed | issue 1\n')
        self.assertNotEqual(0, ran.returncode)
        self.assertIn('test_gone', ran.stdout + ran.stderr)
