"""The clock for elapsed time, which includes suspensions.

An instance may be suspended for seconds. `time.monotonic` stops meanwhile, but
leases, heartbeat timeouts and call deadlines go on for all others: an owner
that used it would resume and treat its last confirmation as recent. All elapsed
time, including the timers of the event loop, is therefore measured by one clock
that counts the time of a suspension.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

from orchidrail.types import Seconds

ReturnT = TypeVar('ReturnT')
#: Systems without ``CLOCK_BOOTTIME`` have no suspension that their monotonic
#: clock omits.
_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


def elapsed() -> Seconds:
    """Return monotonic time including suspensions, seconds."""
    return time.clock_gettime(_CLOCK)


class ElapsedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers include the time of a suspension."""

    def time(self) -> Seconds:
        """Return the loop's time, seconds."""
        return elapsed()


def run_program(work: Coroutine[Any, Any, ReturnT]) -> ReturnT:
    """Run a program's coroutine to completion in an event loop of its own."""
    with asyncio.Runner(loop_factory=ElapsedTimeLoop) as runner:
        return runner.run(work)
