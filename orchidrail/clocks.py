"""The clock by which time that has passed is judged.

An instance may be suspended for seconds. `time.monotonic` stands still then,
while leases, silences and the deadlines of calls run on for everyone else: an
owner that goes by it would wake and take its last proof for fresh. So all that
is judged by elapsed time, the event loop's timers too, goes by one clock that
counts the time of a suspension.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

from orchidrail.types import Seconds

ReturnT = TypeVar('ReturnT')
#: Systems without it have no suspension that their steady clock leaves out.
_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


def elapsed() -> Seconds:
    """Return the steady time, seconds, with that of suspensions."""
    return time.clock_gettime(_CLOCK)


class ElapsedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers count the time of a suspension."""

    def time(self) -> Seconds:
        """Return the loop's time, seconds."""
        return elapsed()


def run_program(work: Coroutine[Any, Any, ReturnT]) -> ReturnT:
    """Run a program's coroutine to its end in a loop of its own."""
    with asyncio.Runner(loop_factory=ElapsedTimeLoop) as runner:
        return runner.run(work)
