"""Tests of rate-limited, non-blocking logs."""

from __future__ import annotations

import os

import structlog
from testtools import TestCase

from orchidrail.logs import LogRateLimiter, NonBlockingOutput

_PIPE_CAPACITY = 70_000


class LogRateLimiterTest(TestCase):
    def test_the_next_line_counts_the_dropped_ones(self) -> None:
        now = 5.0
        limit = LogRateLimiter(2, lambda: now)
        passed = 0
        for _ in range(5):
            try:
                limit(None, 'info', {'event': 'a'})
            except structlog.DropEvent:
                continue
            passed += 1
        self.assertEqual(2, passed)
        limit(None, 'info', {'event': 'b'})
        now = 6.0
        line = limit(None, 'info', {'event': 'a'})
        self.assertEqual({'event': 'a', 'left_out': 3}, line)


class NonBlockingOutputTest(TestCase):
    def test_a_stalled_reader_only_loses_lines(self) -> None:
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        output = NonBlockingOutput(writing)
        line = 'x' * 1000 + '\n'
        for _ in range(300):
            output.write(line)
        self.assertGreater(output.dropped, 0)
        os.set_blocking(reading, False)
        self._read_all(reading, output)
        output.write('last\n')
        tail = os.read(reading, 10 * _PIPE_CAPACITY)
        self.assertIn(b'lines dropped', tail)
        self.assertTrue(tail.endswith(b'last\n'))

    def _read_all(self, reading: int, output: NonBlockingOutput) -> None:
        while output._buffer:
            os.read(reading, _PIPE_CAPACITY)
            output.flush()
        try:
            os.read(reading, _PIPE_CAPACITY)
        except BlockingIOError:
            return
