"""Tests of background tasks."""

from __future__ import annotations

import asyncio

from orchidrail.background_tasks import BackgroundTasks
from orchidrail.testing import AsyncTestCase


class BackgroundTasksTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.error_count = 0

    def _on_error(self) -> None:
        self.error_count += 1

    async def _fail(self) -> None:
        await asyncio.sleep(0)
        raise ValueError('broken')

    def test_calls_back_after_a_failure(self) -> None:
        async def scenario() -> None:
            tasks = BackgroundTasks('test')
            tasks.spawn(self._fail(), self._on_error)
            self.assertTrue(tasks)
            await asyncio.sleep(0.01)
            self.assertFalse(tasks)

        self.run_async(scenario())
        self.assertEqual(1, self.error_count)

    def test_a_cancelled_task_has_not_failed(self) -> None:
        async def scenario() -> None:
            tasks = BackgroundTasks('test')
            tasks.spawn(asyncio.sleep(1), self._on_error)
            tasks.close()
            await asyncio.sleep(0.01)
            self.assertFalse(tasks)

        self.run_async(scenario())
        self.assertEqual(0, self.error_count)
