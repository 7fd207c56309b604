"""Tests of the clock that includes suspensions.

While an instance is suspended, its monotonic clock stops, but the boot-time
clock and the time of day go on.
"""

from __future__ import annotations

import asyncio
import pathlib
import time
from unittest import mock

from testtools import TestCase

import orchidrail
from orchidrail.clocks import elapsed, run_program
from orchidrail.journal import JournalView
from orchidrail.journal.writer import take_over
from orchidrail.store import Topic
from orchidrail.store.memory import MemoryStore
from orchidrail.types import Address, Epoch, InstanceId, Seconds
from orchidrail.work.model import MemberInfo
from orchidrail.workers.run_lease import RunLease

_SUSPENDED: Seconds = 60
_SOON: Seconds = 5
_ME = MemberInfo(InstanceId('me'), Address('me:1'), 'zone', 'me-1')
_PACKAGE = pathlib.Path(orchidrail.__file__).parent


class _SuspendedClock:
    """Moves the boot-time clock ahead of the monotonic clock."""

    def __init__(self) -> None:
        self._real = time.clock_gettime
        self.suspended: Seconds = 0

    def read(self, clock: int) -> Seconds:
        """Stand in for `time.clock_gettime`."""
        return self._real(clock) + self.suspended


class SuspensionTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = _SuspendedClock()
        patch = mock.patch('time.clock_gettime', self.clock.read)
        patch.start()
        self.addCleanup(patch.stop)

    def test_elapsed_time_includes_a_suspension(self) -> None:
        before = elapsed()
        self.clock.suspended = _SUSPENDED
        self.assertGreaterEqual(elapsed() - before, _SUSPENDED)
        self.assertLess(time.monotonic() - before, _SUSPENDED)

    def test_timers_expire_during_a_suspension(self) -> None:
        async def wait() -> bool:
            waiting = asyncio.create_task(asyncio.sleep(_SUSPENDED))
            await asyncio.sleep(0)
            self.clock.suspended = _SUSPENDED
            done, _ = await asyncio.wait([waiting], timeout=_SUSPENDED / 2)
            return bool(done)

        began = time.monotonic()
        self.assertTrue(run_program(wait()))
        self.assertLess(time.monotonic() - began, _SOON)

    def test_a_resumed_owner_sees_the_age_of_its_confirmation(self) -> None:
        async def own() -> Seconds:
            view = JournalView(MemoryStore(), Topic('journal'))
            writer = await take_over(view, _ME, elapsed, Epoch(0))
            self.clock.suspended = _SUSPENDED
            return writer.time_since_confirmed()

        self.assertGreaterEqual(run_program(own()), _SUSPENDED)

    def test_leases_expire_during_a_suspension(self) -> None:
        lease = RunLease(6, 0)
        lease.observe(100, elapsed())
        lease.renew(elapsed())
        self.assertFalse(lease.expired(elapsed()))
        self.clock.suspended = _SUSPENDED
        self.assertTrue(lease.expired(elapsed()))


class ClockUsageTest(TestCase):
    def test_no_other_module_uses_the_monotonic_clock(self) -> None:
        """Only `orchidrail.clocks` may read a clock or run a program."""
        others = [
            path.relative_to(_PACKAGE)
            for path in _PACKAGE.rglob('*.py')
            if 'tests' not in path.parts and 'properties' not in path.parts
        ]
        found = [
            f'{path}: {word}'
            for path in others
            for word in ('time.monotonic', 'asyncio.run(serve')
            if path.name != 'clocks.py'
            and word in (_PACKAGE / path).read_text()
        ]
        self.assertEqual([], found)
