"""Logs as JSON lines on standard output: rate-limited and non-blocking."""

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

#: Lines of one event written per period; the others are counted.
MAX_LINES_PER_EVENT = 200
_PERIOD: Seconds = 1.0
#: Bytes buffered for a slow reader; lines beyond it are dropped.
_MAX_BUFFERED_BYTES = 65536
_STDOUT = 1
_EventDict = MutableMapping[str, Any]


class LogRateLimiter:
    """Processor that drops the lines of an event above a rate.

    The next line of the event reports how many lines were dropped.

    Parameters
    ----------
    max_lines : int
        Lines of one event per second.
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

    def __init__(self, max_lines: int, clock: Callable[[], Seconds]) -> None:
        """Start without lines."""
        self._max_lines = max_lines
        self._clock = clock
        self._period_started_at = clock()
        self._lines_by_event: Counter[str] = Counter()
        self._dropped_by_event: Counter[str] = Counter()

    def __call__(
        self,
        logger: Any,
        method: str,
        event_dict: _EventDict,
    ) -> _EventDict:
        """Return a line to be written, or drop it."""
        now = self._clock()
        if now - self._period_started_at >= _PERIOD:
            self._period_started_at = now
            self._lines_by_event.clear()
        event = str(event_dict.get('event'))
        self._lines_by_event[event] += 1
        if self._lines_by_event[event] > self._max_lines:
            self._dropped_by_event[event] += 1
            raise structlog.DropEvent
        left_out = self._dropped_by_event.pop(event, 0)
        if left_out:
            event_dict['left_out'] = left_out
        return event_dict


class NonBlockingOutput:
    """Writes lines to a file descriptor without blocking on its reader.

    Unwritten bytes are buffered up to a limit; lines beyond it are dropped and
    counted in a notice before the next line.

    Parameters
    ----------
    descriptor : int
    """

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer = b''

    def write(self, line: str) -> None:
        """Write one line, which ends with a line break, or drop it."""
        if len(self._buffer) > _MAX_BUFFERED_BYTES:
            self.flush()
        if len(self._buffer) > _MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            notice = f'{{"event": "lines dropped", "lines": {self.dropped}}}'
            line = f'{notice}\n{line}'
            self.dropped = 0
        self._buffer += line.encode()
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, so the error can't be logged.
            written = len(self._buffer)
        self._buffer = self._buffer[written:]


def configure_logs(level: str, **context: str) -> None:
    """Set up structlog for one process.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    context : str
        Fields of every line, such as the daemon's name.
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
