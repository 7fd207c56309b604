"""Follows the operator's configuration in the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

import structlog
from result import Ok, Result

from orchidrail.journal import JournalView
from orchidrail.metrics import InstanceMetrics
from orchidrail.types import Offset, Seconds, ServiceName, TenantId
from orchidrail.work.model import CellConfig
from orchidrail.work.tenant import Tenant

_log = structlog.get_logger()
#: How long the store may hold a read open. A read whose reply is lost delays
#: the next one by as much.
_READ_WAIT: Seconds = 0.9
_RETRY_PAUSE: Seconds = 0.2
#: Time in which a newer configuration should arrive after a peer reported it:
#: an open read returns it at once, a lost read is repeated through a peer after
#: 1.4 s. Connected instances must apply it within 3 s.
_PROPAGATION_LIMIT: Seconds = 1.5


def _ignore_read(
    value_by_key: Mapping[str, bytes], end: Offset, read_at: Seconds
) -> None:
    """Ignore the operator's records."""


class ConfigFollower:
    """Keeps the newest configuration; never reverts to an older one.

    Parameters
    ----------
    view : JournalView
        Follows the operator's records.
    key : str
        Key of the configuration among them.
    decode : callable
        Decodes a configuration.
    metrics : InstanceMetrics
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        view: JournalView,
        key: str,
        decode: Callable[[bytes], Result[CellConfig, str]],
        metrics: InstanceMetrics,
        clock: Callable[[], Seconds],
    ) -> None:
        """Start without a configuration."""
        self._metrics = metrics
        self._clock = clock
        #: Start of the last successful read of the store.
        self._confirmed_at = clock()
        #: Newest version that a peer reported, and since when a newer version
        #: than the one in force is known.
        self._newest_peer_version = 0
        self._newer_known_since: Seconds = 0
        self.current: CellConfig | None = None
        #: Called after each successful read with all records of the operator,
        #: their end, and the start of the read.
        self.on_read: Callable[[Mapping[str, bytes], Offset, Seconds], None] = (
            _ignore_read
        )
        self._view = view
        self._key = key
        self._decode = decode
        self._raw = b''

    def services(self) -> set[ServiceName] | None:
        """Return the services that run queues, None before a configuration."""
        if self.current is None:
            return None
        return {queue.service for queue in self.current.queues}

    def find_tenant(self, name: TenantId) -> Tenant | None:
        """Return a tenant of the configuration in force, None if unknown."""
        if self.current is None:
            return None
        return self.current.tenant_by_name.get(name)

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 before the first one."""
        return 0 if self.current is None else self.current.version

    def observe_version(self, version: int) -> None:
        """Record the version of the configuration in force at a peer."""
        if version <= self.version:
            return
        if self._newest_peer_version <= self.version:
            self._newer_known_since = self._clock()
        self._newest_peer_version = max(self._newest_peer_version, version)

    def time_since_confirmed(self) -> Seconds:
        """Return the time since the last successful read, seconds."""
        return self._clock() - self._confirmed_at

    def is_outdated(self) -> bool:
        """Whether a newer configuration is in force but can't be read here.

        A peer that reaches the store has it. Its content is unknown here, so
        this process can't decide who may be served.
        """
        if self._newest_peer_version <= self.version:
            return False
        return self._clock() - self._newer_known_since > _PROPAGATION_LIMIT

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            wait = 0 if self.current is None else _READ_WAIT
            started_at = self._clock()
            if await self._view.catch_up(wait):
                self._confirmed_at = started_at
                assert self._view.end is not None
                self.on_read(
                    self._view.value_by_key, self._view.end, started_at
                )
            else:
                await asyncio.sleep(_RETRY_PAUSE)
            self._apply_stored()
            if self.current is None:
                await asyncio.sleep(_RETRY_PAUSE)

    def _apply_stored(self) -> None:
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
            tenants={
                tenant.name: (tenant.weight, tenant.maximum)
                for tenant in config.tenant_by_name.values()
            },
        )
