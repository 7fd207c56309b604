"""External services that a scheduler depends on."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from orchidrail.keys import new_id
from orchidrail.logservice.ports import ConfigurationLog, InstanceList
from orchidrail.types import Seconds
from orchidrail.wire.transport import Transport


class Ports(NamedTuple):
    """External services of a daemon; tests substitute fakes."""

    transport: Transport
    log: ConfigurationLog
    instances: InstanceList
    #: Monotonic clock, seconds.
    clock: Callable[[], Seconds]
    #: Seconds since the Unix epoch.
    wall_clock: Callable[[], Seconds]
    random: Random
    #: Generates UUIDs of version 7.
    new_id: Callable[[], str] = new_id
