"""Ports to the platform; contract tests cover every adapter."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import msgspec
from result import Result

from orchidrail.resources import NOTHING, Resources
from orchidrail.types import (
    Address,
    InstanceState,
    Offset,
    Seconds,
    WorkerId,
    ZoneId,
)


class LogFailure(Enum):
    """How a call to the log failed."""

    #: The log can't have received the call.
    NOT_SENT = 'notSent'
    #: The call may have taken effect.
    ANSWER_LOST = 'answerLost'
    #: The log rejected the call: rate limit exceeded, or it is down.
    REFUSED = 'refused'


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream; `at` is the log's wall time in seconds."""

    offset: Offset
    at: Seconds
    payload: str


class LogPage(msgspec.Struct, frozen=True):
    """Consecutive records of a stream.

    `first` is the oldest offset still retained, `end` the next offset to be
    assigned.
    """

    records: list[LogRecord]
    first: Offset
    end: Offset


class ConfigurationLog(Protocol):
    """Append-only streams of records, each addressed by its offset."""

    async def append(
        self,
        stream: str,
        payload: str,
    ) -> Result[Offset, LogFailure]:
        """Append one record and return its offset."""

    async def read(
        self,
        stream: str,
        start: Offset,
        limit: int,
    ) -> Result[LogPage, LogFailure]:
        """Return at most `limit` records from `start`, or the oldest kept."""


class Instance(msgspec.Struct, frozen=True, rename='camel'):
    """One upstream instance, as listed by the platform."""

    name: WorkerId
    zone: ZoneId
    rack: str
    address: Address
    state: InstanceState = InstanceState.LIVE
    capacity: Resources = NOTHING


class InstanceList(Protocol):
    """List of live and leaving instances; it may be out of date."""

    async def fetch(self, zone: ZoneId) -> Result[list[Instance], LogFailure]:
        """Return the upstream instances of one zone."""
