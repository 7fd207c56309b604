"""Settings of the process of one instance."""

from __future__ import annotations

import math

import msgspec

from orchidrail.store import DEFAULT_LIMITS, StoreLimits
from orchidrail.types import Address, InstanceId, Seconds


class Bounds(msgspec.Struct, frozen=True):
    """Times that the platform's operators set, in seconds.

    Parameters
    ----------
    longest_lease : float
        Workers shorten longer leases to this.
    grace : float
        Time from the request to stop until the process is killed.
    status_kept : float
        Time for which the state of an ended job must be available.
    stop_takes : float
        Time after which a run that was told to stop has ended.
    restore_takes : float
        Longest time that a run takes to resume from its checkpoint.
    strict_revocation : bool
        Whether calls are rejected once the store has not confirmed the
        configuration for `revocation`.
    revocation : float
        Time for which a revoked key may still be accepted.
    evacuation : float
        Time after which nothing may be started in a zone whose evacuation was
        acknowledged; 0 if no such bound is set.
    """

    longest_lease: Seconds = 6
    grace: Seconds = 6
    status_kept: Seconds = 120
    stop_takes: Seconds = 1
    restore_takes: Seconds = 0.6
    strict_revocation: bool = False
    revocation: Seconds = 5
    evacuation: Seconds = 0


class InstanceSettings(msgspec.Struct, frozen=True):
    """Identity and addresses of a process."""

    name: InstanceId
    zone: str
    host: str
    callers: Address
    readiness: Address
    peers: Address
    metrics: Address
    store: Address
    advice: Address = Address('')
    #: Processor capacity of the instance, cores.
    speed: float = 1
    #: Bandwidth of the instance's link, bytes a second; infinite if unknown.
    link: float = math.inf
    bounds: Bounds = Bounds()
    #: Whether runs may be stopped for more urgent work.
    preemption: bool = True
    #: Sizes that the store accepts.
    store_limits: StoreLimits = DEFAULT_LIMITS
