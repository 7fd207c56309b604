"""Whether a call may come in, by the configuration in force here."""

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
#: Least time between two log lines on refused calls: who sends them by the
#: thousand fills no disk. The metrics count each.
_TELL_EVERY: Seconds = 1.0


class RejectReason(Enum):
    """Why a call did not come in."""

    #: There is no configuration yet.
    NOT_CONFIGURED = 'notConfigured'
    #: A newer configuration is in force elsewhere, which may say otherwise.
    OUTDATED = 'outdated'
    #: It bears no key, or one that the configuration doesn't know.
    UNKNOWN_KEY = 'unknownKey'


def _current() -> bool:
    """Take the configuration for the newest."""
    return False


class CallAuthenticator:
    """Tells for whom calls are.

    Parameters
    ----------
    config : callable
        Returns the configuration in force, None before the first.
    clock : callable
        Monotonic seconds.
    metrics : InstanceMetrics
    outdated : callable
        Whether the configuration is known to be, or may be, too old to go by.
    """

    def __init__(
        self,
        config: Callable[[], CellConfig | None],
        clock: Callable[[], Seconds],
        metrics: InstanceMetrics,
        outdated: Callable[[], bool] = _current,
    ) -> None:
        """Have turned nobody away."""
        self._config = config
        self._clock = clock
        self._metrics = metrics
        self._outdated = outdated
        self._told_at = -_TELL_EVERY
        self._untold = 0

    def config(self) -> Result[CellConfig, RejectReason]:
        """Return the configuration to go by."""
        config = self._config()
        if config is None:
            return Err(RejectReason.NOT_CONFIGURED)
        if self._outdated():
            self._note(RejectReason.OUTDATED, config)
            return Err(RejectReason.OUTDATED)
        return Ok(config)

    def authenticate(
        self,
        config: CellConfig,
        queue: QueueSettings,
        authorization: str,
    ) -> Result[Tenant, RejectReason]:
        """Return for whom a call to a queue is, by the key that it bears."""
        caller = config.find_caller(queue, authorization)
        if caller is None:
            self._note(RejectReason.UNKNOWN_KEY, config)
            return Err(RejectReason.UNKNOWN_KEY)
        return Ok(caller)

    def _note(self, reason: RejectReason, config: CellConfig) -> None:
        self._metrics.rejected_calls.labels(reason.value).inc()
        self._untold += 1
        now = self._clock()
        if now - self._told_at < _TELL_EVERY:
            return
        _log.info(
            'calls turned away',
            reason=reason.value,
            count=self._untold,
            config=config.version,
        )
        self._told_at = now
        self._untold = 0
