"""Claims loopback networks, so that runs on one machine do not share one."""

from __future__ import annotations

import socket
from collections.abc import Generator
from contextlib import contextmanager

#: Loopback networks 127.`slot`.0.0 that the command line doesn't use.
_SLOTS = range(201, 255)
#: Bound for as long as its network is claimed; nothing else uses it.
_CLAIM_HOST, _CLAIM_PORT = '127.{slot}.255.1', 8999


@contextmanager
def claim_network(slots: range = _SLOTS) -> Generator[int]:
    """Claim the first free network of some until the context ends.

    The claim is a bound port: two processes can't hold it at once, and the
    system gives it up when its process ends, however that comes about.

    Yields
    ------
    The network's slot, see `soak.run.Soak`.

    Raises
    ------
    RuntimeError
        If all networks are claimed.
    """
    with socket.socket() as claim:
        for slot in slots:
            if _try_bind(claim, slot):
                yield slot
                return
    raise RuntimeError(f'no network of {slots!r} is free, expected one')


def _try_bind(claim: socket.socket, slot: int) -> bool:
    try:
        claim.bind((_CLAIM_HOST.format(slot=slot), _CLAIM_PORT))
    except OSError:
        return False
    return True
