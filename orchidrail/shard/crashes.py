"""Workers that end while tasks run there, and what is made of it."""

from __future__ import annotations

from enum import Enum


class LifeEnd(Enum):
    """How a worker's life ended, as its owner saw it."""

    #: Another life answers at its address, and it had not left by itself.
    CRASHED = 'crashed'
    #: It had said, or shown, that it leaves.
    LEFT = 'left'
    #: All leases have run out unheard: it may be cut off, and alive.
    LEASE_ENDED = 'lease ended'
    #: A worker of an earlier owner that this one has never reached.
    NEVER_MET = 'never met'
