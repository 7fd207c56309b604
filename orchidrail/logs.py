"""Logs as JSON lines on standard output: bounded, and never waited for."""

from __future__ import annotations

import logging
import os
import sys
from collections import Counter
from collections.abc import Callable, MutableMapping
from typing import Any, TextIO, cast

import structlog

from orchidrail.clocks import elapsed
from orchidrail.types import Seconds

#: Lines of one kind written in one period; the rest is counted.
MAX_LINES_PER_EVENT = 200
_PERIOD: Seconds = 1.0
#: Bytes kept for a reader that is slow; beyond it lines are dropped.
_MAX_KEPT = 65536
_STDOUT = 1
_EventDict = MutableMapping[str, Any]


class LogRateLimiter:
    """Processor that drops lines of a kind above a rate.

    The next line of that kind that is written tells how many were left out.

    Parameters
    ----------
    most : int
        Lines of one kind in one second.
    clock : callable
        Monotonic seconds.

    Examples
    --------
    >>> limit = LogRateLimiter(1, lambda: 0)
    >>> limit(None, 'info', {'event': 'a'})
    {'event': 'a'}
    >>> limit(None, 'info', {'event': 'a'})
    Traceback (most recent call last):
    ...
    structlog.exceptions.DropEvent
    """

    def __init__(self, most: int, clock: Callable[[], Seconds]) -> None:
        """Start with nothing written."""
        self._most = most
        self._clock = clock
        self._period_began = clock()
        self._lines_by_event: Counter[str] = Counter()
        self._left_out_by_event: Counter[str] = Counter()

    def __call__(
        self,
        logger: Any,
        method: str,
        event_dict: _EventDict,
    ) -> _EventDict:
        """Pass a line on, or drop it."""
        now = self._clock()
        if now - self._period_began >= _PERIOD:
            self._period_began = now
            self._lines_by_event.clear()
        event = str(event_dict.get('event'))
        self._lines_by_event[event] += 1
        if self._lines_by_event[event] > self._most:
            self._left_out_by_event[event] += 1
            raise structlog.DropEvent
        left_out = self._left_out_by_event.pop(event, 0)
        if left_out:
            event_dict['left_out'] = left_out
        return event_dict


class NonBlockingOutput:
    """Writes lines to a descriptor without ever waiting for its reader.

    What doesn't go out at once is kept, up to a bound; lines beyond it are
    dropped and counted in the next one that goes out.

    Parameters
    ----------
    descriptor : int
    """

    def __init__(self, descriptor: int) -> None:
        """Have writes to the descriptor return at once."""
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._kept = b''

    def write(self, line: str) -> None:
        """Write one line with its end, or drop it."""
        if len(self._kept) > _MAX_KEPT:
            self.flush()
        if len(self._kept) > _MAX_KEPT:
            self.dropped += 1
            return
        if self.dropped:
            notice = f'{{"event": "lines dropped", "lines": {self.dropped}}}'
            line = f'{notice}\n{line}'
            self.dropped = 0
        self._kept += line.encode()
        self.flush()

    def flush(self) -> None:
        """Write what is kept as far as that goes at once."""
        try:
            written = os.write(self._descriptor, self._kept)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more: there is nowhere to say so.
            written = len(self._kept)
        self._kept = self._kept[written:]


def configure_logs(level: str, **context: str) -> None:
    """Set up structlog for one process.

    Parameters
    ----------
    level : str
        Least level that is written.
    context : str
        Fields that go with every line, such as the daemon's name.
    """
    number = logging.getLevelNamesMapping()[level.upper()]
    sys.stdout.flush()
    output = NonBlockingOutput(_STDOUT)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            LogRateLimiter(MAX_LINES_PER_EVENT, elapsed),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.WriteLoggerFactory(cast('TextIO', output)),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**context)
