"""Settings of one process of the system."""

from __future__ import annotations

import msgspec

from orchidrail.types import Address, InstanceId, Seconds


class Bounds(msgspec.Struct, frozen=True):
    """Times that the platform's operators set, in seconds.

    Parameters
    ----------
    longest_lease : float
        Workers cut longer leases to this.
    grace : float
        From the request to stop until the process is killed.
    status_kept : float
        For so long an ended job's state must be known.
    stop_takes : float
        A run that is told to stop is gone after this.
    strict_revocation : bool
        Whether nobody is to be served by a configuration that the store has
        not confirmed for `revocation`.
    revocation : float
    """

    longest_lease: Seconds = 6
    grace: Seconds = 6
    status_kept: Seconds = 120
    stop_takes: Seconds = 1
    strict_revocation: bool = False
    revocation: Seconds = 5


class InstanceSettings(msgspec.Struct, frozen=True):
    """Who a process is and where it listens."""

    name: InstanceId
    zone: str
    host: str
    callers: Address
    readiness: Address
    peers: Address
    metrics: Address
    store: Address
    advice: Address = Address('')
    #: Processor of the machine, in cores.
    speed: float = 1
    bounds: Bounds = Bounds()
