"""The operator's configuration, followed in the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog
from result import Ok, Result

from orchidrail.journal import JournalView
from orchidrail.metrics import InstanceMetrics
from orchidrail.types import Seconds, ServiceName
from orchidrail.work.model import CellConfig

_log = structlog.get_logger()
#: How long the store may hold a read open; one that is lost costs this more.
_WAIT: Seconds = 0.9
_FAILED_PAUSE: Seconds = 0.2


class ConfigFollower:
    """Keeps the newest configuration; never goes back to an older one.

    Parameters
    ----------
    view : JournalView
        Follows the operator's records.
    key : str
        Key of the configuration among them.
    decode : callable
        Decodes a configuration.
    metrics : InstanceMetrics
    """

    def __init__(
        self,
        view: JournalView,
        key: str,
        decode: Callable[[bytes], Result[CellConfig, str]],
        metrics: InstanceMetrics,
    ) -> None:
        """Start without a configuration."""
        self._metrics = metrics
        self.current: CellConfig | None = None
        self._view = view
        self._key = key
        self._decode = decode
        self._raw = b''

    def services(self) -> set[ServiceName] | None:
        """Return the services that run queues, None before a configuration."""
        if self.current is None:
            return None
        return {queue.service for queue in self.current.queues}

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            wait = 0 if self.current is None else _WAIT
            if not await self._view.catch_up(wait):
                await asyncio.sleep(_FAILED_PAUSE)
            self._take()
            if self.current is None:
                await asyncio.sleep(_FAILED_PAUSE)

    def _take(self) -> None:
        raw = self._view.value_by_key.get(self._key, b'')
        if not raw or raw == self._raw:
            return
        self._raw = raw
        decoded = self._decode(raw)
        if not isinstance(decoded, Ok):
            _log.error(
                'configuration not understood',
                reason=decoded.err_value,
            )
            return
        config = decoded.ok_value
        if self.current is not None and config.version <= self.current.version:
            return
        self.current = config
        self._metrics.config_version.set(config.version)
        _log.info(
            'configuration in force',
            version=config.version,
            queues=len(config.queues),
        )
