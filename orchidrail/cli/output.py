"""Output and exit codes of the command."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from enum import IntEnum
from typing import NoReturn

import msgspec
from rich.console import Console
from rich.table import Table


class ExitCode(IntEnum):
    """Exit codes of the command."""

    OK = 0
    #: A check failed, or the request was rejected.
    REFUSED = 1
    #: The command line or a file is invalid.
    USAGE = 2
    #: Another draft was published first.
    CONFLICT = 3
    #: The platform or a daemon is unreachable.
    UNREACHABLE = 4


Row = tuple[str, ...]


def show(title: str, columns: Row, rows: Sequence[Row], *, json: bool) -> None:
    """Print rows as a table, or as JSON objects keyed by column."""
    if json:
        records = [dict(zip(columns, row, strict=True)) for row in rows]
        show_json(records)
        return
    table = Table(title=title)
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*row)
    Console().print(table)


def show_json(document: object) -> None:
    """Print a document as one line of JSON."""
    sys.stdout.write(msgspec.json.encode(document).decode())
    sys.stdout.write('\n')


def print_line(text: str) -> None:
    """Print text without markup or highlighting."""
    Console().print(text, highlight=False, markup=False)


def fail(code: ExitCode, text: str) -> NoReturn:
    """Print an error to stderr and exit.

    Raises
    ------
    SystemExit
        Always, with `code`.
    """
    Console(stderr=True).print(text, highlight=False, markup=False)
    raise SystemExit(int(code))
