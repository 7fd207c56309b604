"""What a scheduler needs of the outside."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from orchidrail.keys import new_id
from orchidrail.logservice.ports import ConfigurationLog, InstanceList
from orchidrail.types import Seconds
from orchidrail.wire.transport import Transport


class Ports(NamedTuple):
    """The outside of a daemon; tests put fakes here."""

    transport: Transport
    log: ConfigurationLog
    instances: InstanceList
    #: Monotonic seconds.
    clock: Callable[[], Seconds]
    #: Seconds since the epoch.
    wall_clock: Callable[[], Seconds]
    random: Random
    #: Makes UUIDs of version 7.
    new_id: Callable[[], str] = new_id
