"""Plays one case and turns its result into an exit code."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable

from review.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2

#: Plays a case, with its disruption or without, and returns the exit code.
Play = Callable[[Record, bool], Awaitable[int]]


def _stop(*_: object) -> None:
    """Leave through the clean-up, so that no process is left behind."""
    sys.exit(NOT_RUN)


async def _run(play: Play, record: Record, trouble: bool) -> int:
    return await play(record, trouble)


def play_case(folder: pathlib.Path, play: Play) -> int:
    """Play a case once; its record is written to the folder.

    Whatever goes wrong in the case itself counts as not run.
    """
    signal.signal(signal.SIGTERM, _stop)
    record = Record(folder / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        return asyncio.run(_run(play, record, trouble))
    except Exception:
        record.note(f'not run: {traceback.format_exc()}')
        return NOT_RUN
    finally:
        record.write()
