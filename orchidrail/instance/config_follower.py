"""The operator's configuration, followed in the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog
from result import Ok, Result

from orchidrail.journal import JournalView
from orchidrail.metrics import InstanceMetrics
from orchidrail.types import Seconds, ServiceName, TenantId
from orchidrail.work.model import CellConfig
from orchidrail.work.tenant import Tenant

_log = structlog.get_logger()
#: How long the store may hold a read open; one that is lost costs this more.
_WAIT: Seconds = 0.9
_FAILED_PAUSE: Seconds = 0.2
#: Time after a peer has told of a newer configuration in which it should have
#: come: a read that is open has it at once, one that was lost is made again
#: through a peer after 1.4 s. Machines in touch must go by it within 3 s.
_COMES_WITHIN: Seconds = 1.5


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
        #: When the store was asked last, of the times that it has answered.
        self._confirmed_at = clock()
        #: The newest version that a peer has told of, and since when.
        self._heard_version = 0
        self._heard_at: Seconds = 0
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

    def find_tenant(self, name: TenantId) -> Tenant | None:
        """Return a tenant of the configuration in force, if it has that one."""
        if self.current is None:
            return None
        return self.current.tenant_by_name.get(name)

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 before the first."""
        return 0 if self.current is None else self.current.version

    def observe_version(self, version: int) -> None:
        """Take that a peer has a configuration in force."""
        if version <= self.version:
            return
        if self._heard_version <= self.version:
            self._heard_at = self._clock()
        self._heard_version = max(self._heard_version, version)

    def unconfirmed_for(self) -> Seconds:
        """Return for how long the store has not said what is in force."""
        return self._clock() - self._confirmed_at

    def is_outdated(self) -> bool:
        """Whether a newer configuration is in force, and can't be had here.

        A peer in touch with the store has it. What it says is not known here,
        so this process can't tell who may be served.
        """
        if self._heard_version <= self.version:
            return False
        return self._clock() - self._heard_at > _COMES_WITHIN

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            wait = 0 if self.current is None else _WAIT
            began = self._clock()
            if await self._view.catch_up(wait):
                self._confirmed_at = began
            else:
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
            tenants={
                tenant.name: (tenant.weight, tenant.maximum)
                for tenant in config.tenant_by_name.values()
            },
        )
