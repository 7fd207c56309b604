"""Authentication of calls by the configuration in force on this instance."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import structlog
from result import Err, Ok, Result

from orchidrail.metrics import InstanceMetrics
from orchidrail.types import Seconds
from orchidrail.work.model import CellConfig, QueueSettings
from orchidrail.work.tenant import Tenant

_log = structlog.get_logger()
#: Minimum interval between log lines on rejected calls, so that a flood of
#: calls does not fill the disk. The metrics count each call.
_LOG_INTERVAL: Seconds = 1.0


class RejectReason(Enum):
    """Why a call was rejected."""

    #: No configuration has been received yet.
    NOT_CONFIGURED = 'notConfigured'
    #: A newer configuration, in force elsewhere, may decide differently.
    OUTDATED = 'outdated'
    #: The call has no key, or one that the configuration doesn't contain.
    UNKNOWN_KEY = 'unknownKey'


def _never_outdated() -> bool:
    """Treat the configuration as current."""
    return False


class CallAuthenticator:
    """Authenticates calls and finds the tenant on whose behalf they are made.

    Parameters
    ----------
    config : callable
        Returns the configuration in force, None before the first one.
    clock : callable
        Monotonic seconds.
    metrics : InstanceMetrics
    outdated : callable
        Whether the configuration is, or may be, too old to authenticate by.
    """

    def __init__(
        self,
        config: Callable[[], CellConfig | None],
        clock: Callable[[], Seconds],
        metrics: InstanceMetrics,
        outdated: Callable[[], bool] = _never_outdated,
    ) -> None:
        """Start without rejected calls."""
        self._config = config
        self._clock = clock
        self._metrics = metrics
        self._outdated = outdated
        self._logged_at = -_LOG_INTERVAL
        self._unlogged = 0

    def config(self) -> Result[CellConfig, RejectReason]:
        """Return the configuration to authenticate by."""
        config = self._config()
        if config is None:
            return Err(RejectReason.NOT_CONFIGURED)
        if self._outdated():
            self._record_rejection(RejectReason.OUTDATED, config)
            return Err(RejectReason.OUTDATED)
        return Ok(config)

    def authenticate(
        self,
        config: CellConfig,
        queue: QueueSettings,
        authorization: str,
    ) -> Result[Tenant, RejectReason]:
        """Return the tenant of a call to a queue, found by its key."""
        caller = config.find_caller(queue, authorization)
        if caller is None:
            self._record_rejection(RejectReason.UNKNOWN_KEY, config)
            return Err(RejectReason.UNKNOWN_KEY)
        return Ok(caller)

    def _record_rejection(
        self, reason: RejectReason, config: CellConfig
    ) -> None:
        self._metrics.rejected_calls.labels(reason.value).inc()
        self._unlogged += 1
        now = self._clock()
        if now - self._logged_at < _LOG_INTERVAL:
            return
        _log.info(
            'calls turned away',
            reason=reason.value,
            count=self._unlogged,
            config=config.version,
        )
        self._logged_at = now
        self._unlogged = 0
