"""Tests of tasks that run beside their owner."""

from __future__ import annotations

import asyncio

from orchidrail.background_tasks import BackgroundTasks
from orchidrail.testing import AsyncTestCase


class TaskSetTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.repaired = 0

    def _repair(self) -> None:
        self.repaired += 1

    async def _fail(self) -> None:
        await asyncio.sleep(0)
        raise ValueError('broken')

    def test_a_task_that_fails_is_repaired(self) -> None:
        async def scene() -> None:
            tasks = BackgroundTasks('test')
            tasks.spawn(self._fail(), self._repair)
            self.assertTrue(tasks)
            await asyncio.sleep(0.01)
            self.assertFalse(tasks)

        self.run_async(scene())
        self.assertEqual(1, self.repaired)

    def test_a_task_that_is_cancelled_has_not_failed(self) -> None:
        async def scene() -> None:
            tasks = BackgroundTasks('test')
            tasks.spawn(asyncio.sleep(1), self._repair)
            tasks.close()
            await asyncio.sleep(0.01)
            self.assertFalse(tasks)

        self.run_async(scene())
        self.assertEqual(0, self.repaired)
