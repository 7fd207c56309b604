"""Tests of tracking the incarnations of workers."""

from __future__ import annotations

from orchidrail.scheduler.tests.small_zone import SmallZone
from orchidrail.testing import AsyncTestCase
from orchidrail.types import WorkerId

_WORKER = WorkerId('w-0')


class BootBookTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.boots = SmallZone(workers=1).daemon.boots

    def test_newer_incarnation_is_not_lost(self) -> None:
        self.boots.note(_WORKER, 'boot-1')
        self.assertFalse(self.boots.is_restarted(_WORKER, 'boot-2'))

    def test_previous_incarnation_is_lost(self) -> None:
        self.boots.note(_WORKER, 'boot-1')
        self.boots.note(_WORKER, 'boot-2')
        self.assertTrue(self.boots.is_restarted(_WORKER, 'boot-1'))
        self.assertFalse(self.boots.is_restarted(_WORKER, 'boot-2'))
