"""Entry point of a case: its exit status says whether the rule held."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import traceback
from collections.abc import Awaitable, Callable

from review.parts_2.record import Record

#: A case takes its record and whether to make the trouble, and returns what
#: broke the rule, empty if it held.
Case = Callable[[Record, bool], Awaitable[str]]
#: Statuses for `run.sh`; Python itself exits with 1 if it fails.
_HELD, _BROKEN, _NOT_RUN = 0, 3, 2
_LIMIT_SECONDS = 112


def run(case: Case, folder: pathlib.Path) -> None:
    """Run a case and exit."""
    record = Record(folder / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        broken = asyncio.run(_run_limited(case, record, trouble))
    except BaseException:
        record.write('case could not run')
        traceback.print_exc()
        sys.exit(_NOT_RUN)
    record.write('result', rule=f'BROKEN: {broken}' if broken else 'held')
    sys.stdout.write(f'{"broken: " + broken if broken else "held"}\n')
    record.close()
    sys.exit(_BROKEN if broken else _HELD)


async def _run_limited(case: Case, record: Record, trouble: bool) -> str:
    async with asyncio.timeout(_LIMIT_SECONDS):
        return await case(record, trouble)
