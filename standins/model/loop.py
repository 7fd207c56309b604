"""An event loop in virtual time."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from orchidrail.types import Seconds

ReturnT = TypeVar('ReturnT')


class _InstantSelector(selectors.SelectSelector):
    """Advances the loop's clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now: Seconds = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return ready events, or advance the clock by the timeout."""
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError(
                    'no timer or event is pending; the loop would wait forever'
                )
            self.now += max(0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self) -> None:
        self._instant = _InstantSelector()
        super().__init__(self._instant)

    def time(self) -> Seconds:
        """Return the virtual time, seconds."""
        return self._instant.now


def run_in_virtual_time(work: Coroutine[Any, Any, ReturnT]) -> ReturnT:
    """Run a coroutine to completion in a new virtual-time loop."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
