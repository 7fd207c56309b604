"""pytest plugin for tests that are known to fail.

`KNOWN-RED.txt` at the root has one line for each: test, cause and issue,
separated by ` | `. These tests run and their failures are printed. A listed
test that passes or does not exist is an error, and so is a list that is too
long. With `pytest-xdist`, workers run the tests, and the process that started
them prints the failures.
"""

from __future__ import annotations

import pathlib
from collections.abc import Generator, Sequence
from typing import TYPE_CHECKING, NamedTuple

import pytest

if TYPE_CHECKING:
    from xdist.workermanage import WorkerController

LIST_NAME = 'KNOWN-RED.txt'
#: Bound on the number of listed tests, by the project's rules.
MAX_LISTED = 3
_SEPARATOR = ' | '
_FIELDS = 3
_PLUGIN = 'known-red'
_XFAIL_REASON = f'listed in {LIST_NAME}'


class KnownRed(NamedTuple):
    """One listed test."""

    test: str
    cause: str
    issue: str


class ListError(ValueError):
    """The list is malformed or too long."""


def read_list(text: str) -> dict[str, KnownRed]:
    """Return the listed tests by node ID.

    Raises
    ------
    ListError

    Examples
    --------
    >>> read_list('# nothing else')
    {}
    >>> list(read_list('a/test_b.py::test_c | it is broken | 7'))
    ['a/test_b.py::test_c']
    """
    lines = [line.strip() for line in text.splitlines()]
    rows = [line for line in lines if line and not line.startswith('#')]
    if len(rows) > MAX_LISTED:
        raise ListError(f'{len(rows)!r} tests, expected {MAX_LISTED!r} at most')
    listed = [_read_row(row) for row in rows]
    return {known.test: known for known in listed}


def _read_row(row: str) -> KnownRed:
    fields = [field.strip() for field in row.split(_SEPARATOR)]
    if len(fields) != _FIELDS or not all(fields):
        raise ListError(f'{row!r}, expected "test | cause | issue"')
    return KnownRed(*fields)


class KnownRedPlugin:
    """Expects the listed tests to fail.

    Parameters
    ----------
    known_by_test : dict
        Listed tests by node ID.
    """

    def __init__(self, known_by_test: dict[str, KnownRed]) -> None:
        """Start without recorded failures."""
        self._known_by_test = known_by_test
        self._failed: set[str] = set()

    def pytest_collection_modifyitems(
        self,
        config: pytest.Config,
        items: list[pytest.Item],
    ) -> None:
        """Check what was collected, unless this is a worker of xdist."""
        if not hasattr(config, 'workerinput'):
            self._check_collected(config, {item.nodeid for item in items})

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(
        self,
        node: WorkerController,
        ids: Sequence[str],
    ) -> None:
        """Check what a worker collected.

        An error in the worker itself would only show as its crash.
        """
        self._check_collected(node.config, set(ids))

    def _check_collected(
        self, config: pytest.Config, collected: set[str]
    ) -> None:
        """Fail if a whole-suite run does not collect a listed test."""
        parts = config.getoption('file_or_dir') or config.getoption('keyword')
        missing = self._known_by_test.keys() - collected
        if missing and not parts:
            raise pytest.UsageError(
                f'{LIST_NAME} lists tests that are not there: '
                f'{sorted(missing)!r}'
            )

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(
        self,
        item: pytest.Item,
        call: pytest.CallInfo[None],
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        """Invert the outcome of a listed test."""
        report = yield
        if call.when != 'call' or item.nodeid not in self._known_by_test:
            return report
        if report.failed:
            report.outcome = 'skipped'
            report.wasxfail = _XFAIL_REASON
        else:
            report.outcome = 'failed'
            report.longrepr = f'passes, but {LIST_NAME} lists it: take it off'
        return report

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note a listed test that failed, in whichever process it ran."""
        if getattr(report, 'wasxfail', '') == _XFAIL_REASON:
            self._failed.add(report.nodeid)

    def pytest_terminal_summary(
        self,
        terminalreporter: pytest.TerminalReporter,
    ) -> None:
        """Print the listed tests that failed."""
        for test in sorted(self._failed):
            known = self._known_by_test[test]
            terminalreporter.write_line(
                f'known red, failed as listed: {test} '
                f'({known.cause}; {known.issue})'
            )


def pytest_configure(config: pytest.Config) -> None:
    """Read the list in the root folder and register the plugin."""
    path = pathlib.Path(config.rootpath) / LIST_NAME
    if not path.exists():
        return
    try:
        listed = read_list(path.read_text())
    except ListError as error:
        raise pytest.UsageError(f'{LIST_NAME}: {error}') from error
    config.pluginmanager.register(KnownRedPlugin(listed), _PLUGIN)
