"""Connections whose receiver is verified.

A connection leads to one process for as long as it is open; an address does
not. So the first call on a new connection is a probe without side effects.
Calls for one incarnation of a worker are sent only over connections on which
that incarnation has answered the probe. The cost is one poll per connection.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import Any, NamedTuple
from weakref import WeakKeyDictionary

import aiohttp

from orchidrail.store.relay import RawAnswer, RawCall


class ConnectionProbe(NamedTuple):
    """Verifies that a connection leads to the receiver of a call.

    Parameters
    ----------
    receiver : str
        Identity of the receiver.
    call : RawCall
        The probe; without side effects at any receiver.
    check : callable
        Maps the probe's response to the response of the call that must not be
        sent; None if the connection leads to the receiver.
    """

    receiver: str
    call: RawCall
    check: Callable[[RawAnswer], RawAnswer | None]


class UnverifiedConnectionError(Exception):
    """The available connection is not verified to lead to the receiver.

    Parameters
    ----------
    connection : aiohttp.connector.Connection
        To be verified or released by the caller.
    """

    def __init__(self, connection: Any) -> None:
        """Reserve the connection for its verification."""
        super().__init__(f'{connection!r} is not verified')
        self.connection = connection


class _ConnectionUse(NamedTuple):
    """Receiver of a task's calls; `unverified` is a connection to verify."""

    receiver: str
    unverified: Any = None


_use: ContextVar[_ConnectionUse | None] = ContextVar('use', default=None)


@contextmanager
def connections_to(
    receiver: str,
    unverified: Any = None,
) -> Generator[None, None, None]:
    """Restrict the connections used by this task to one receiver.

    Parameters
    ----------
    unverified : aiohttp.connector.Connection, optional
        The connection to use, although it is not verified yet.
    """
    token = _use.set(_ConnectionUse(receiver, unverified))
    try:
        yield
    finally:
        _use.reset(token)


class VerifyingConnector(aiohttp.TCPConnector):
    """Provides calls with connections that lead to their receiver.

    Calls without a receiver get any connection.
    """

    def __init__(self, **options: Any) -> None:
        """Start without verified connections."""
        super().__init__(**options)
        self._receiver_by_protocol: WeakKeyDictionary[Any, str] = (
            WeakKeyDictionary()
        )

    def mark_verified(self, protocol: Any, receiver: str) -> None:
        """Record that a connection leads to a receiver."""
        self._receiver_by_protocol[protocol] = receiver

    async def connect(
        self,
        req: Any,
        traces: Any,
        timeout: Any,
    ) -> Any:
        """See `aiohttp.BaseConnector.connect`.

        Raises
        ------
        UnverifiedConnectionError
            If the available connection may lead to another receiver.
        """
        use = _use.get()
        if use is not None and use.unverified is not None:
            return use.unverified
        connection = await super().connect(req, traces, timeout)
        if use is None:
            return connection
        receiver = self._receiver_by_protocol.get(connection.protocol)
        if receiver == use.receiver:
            return connection
        raise UnverifiedConnectionError(connection)
