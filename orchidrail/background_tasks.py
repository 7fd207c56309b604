"""Background asyncio tasks whose failures are logged."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import structlog

_log = structlog.get_logger()
_Result = TypeVar('_Result')


class BackgroundTasks:
    """Tasks of one owner: referenced while they run, logged if they fail.

    Parameters
    ----------
    name : str
        What the tasks do, for the log line of a failure.
    """

    def __init__(self, name: str) -> None:
        """Start without tasks."""
        self._name = name
        self._tasks: set[asyncio.Task[Any]] = set()

    def __bool__(self) -> bool:
        """Whether any task runs."""
        return bool(self._tasks)

    def spawn(
        self,
        work: Coroutine[Any, Any, _Result],
        on_error: Callable[[], object] | None = None,
    ) -> asyncio.Task[_Result]:
        """Run `work`; if it fails, log the error and call `on_error`."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._on_done(done, on_error))
        return task

    def close(self) -> None:
        """Cancel all running tasks."""
        for task in self._tasks:
            task.cancel()

    def _on_done(
        self,
        task: asyncio.Task[Any],
        on_error: Callable[[], object] | None,
    ) -> None:
        self._tasks.discard(task)
        failure = None if task.cancelled() else task.exception()
        if failure is None:
            return
        _log.error('task failed', what=self._name, exc_info=failure)
        if on_error is not None:
            on_error()
