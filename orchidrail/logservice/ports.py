"""Ports to the platform; each has a contract test for every adapter."""

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

    #: The log can't have got the call.
    NOT_SENT = 'notSent'
    #: The call may have taken effect.
    ANSWER_LOST = 'answerLost'
    #: The log said no: too many appends, or it is down.
    REFUSED = 'refused'


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream; `at` is the log's wall clock, seconds."""

    offset: Offset
    at: Seconds
    payload: str


class LogPage(msgspec.Struct, frozen=True):
    """Records from one offset on.

    `first` is the oldest offset still kept, `end` the next to be given.
    """

    records: list[LogRecord]
    first: Offset
    end: Offset


class ConfigurationLog(Protocol):
    """Append-only streams of records with offsets."""

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
        """Return at most `limit` records from `start`, or from the first."""


class Instance(msgspec.Struct, frozen=True, rename='camel'):
    """One upstream instance as the platform lists it."""

    name: WorkerId
    zone: ZoneId
    rack: str
    address: Address
    state: InstanceState = InstanceState.LIVE
    capacity: Resources = NOTHING


class InstanceList(Protocol):
    """Live and leaving instances; the list lags."""

    async def fetch(self, zone: ZoneId) -> Result[list[Instance], LogFailure]:
        """Return the upstream instances of one zone."""
