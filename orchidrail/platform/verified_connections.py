"""Connections on which is known who is at the other end.

A connection leads to one process for as long as it is open, an address does
not. So the first call on a connection is one that harms nobody; what is meant
for one life of a worker goes only over a connection on which that life, and no
other, has answered. It costs one look for each new connection.
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
    """How to learn whether a connection leads to whom a call is for.

    Parameters
    ----------
    receiver : str
        Whom the call is for.
    call : RawCall
        Harms nobody, whoever answers it.
    check : callable
        From its answer to that of the call that can't be made, None if the
        connection is the right one.
    """

    receiver: str
    call: RawCall
    check: Callable[[RawAnswer], RawAnswer | None]


class UnverifiedConnectionError(Exception):
    """The connection at hand is not known to lead to the receiver.

    Parameters
    ----------
    connection : aiohttp.connector.Connection
        To be greeted, or released.
    """

    def __init__(self, connection: Any) -> None:
        """Keep the connection from other calls."""
        super().__init__(f'{connection!r} was not greeted')
        self.connection = connection


class _Use(NamedTuple):
    """What a connection is wanted for; `greeted` is the one to be greeted."""

    receiver: str
    greeted: Any = None


_use: ContextVar[_Use | None] = ContextVar('use', default=None)


@contextmanager
def connections_to(
    receiver: str,
    greeted: Any = None,
) -> Generator[None, None, None]:
    """Have the connections that this task uses be for one receiver.

    Parameters
    ----------
    greeted : aiohttp.connector.Connection, optional
        The one to use, which was not greeted yet.
    """
    token = _use.set(_Use(receiver, greeted))
    try:
        yield
    finally:
        _use.reset(token)


class VerifyingConnector(aiohttp.TCPConnector):
    """Hands out connections only to calls whose receiver they lead to.

    Calls that name no receiver get any connection.
    """

    def __init__(self, **options: Any) -> None:
        """Know no connection."""
        super().__init__(**options)
        self._receiver_by_protocol: WeakKeyDictionary[Any, str] = (
            WeakKeyDictionary()
        )

    def mark_verified(self, protocol: Any, receiver: str) -> None:
        """Take that a connection leads to a receiver."""
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
            If the connection at hand may lead to somebody else.
        """
        use = _use.get()
        if use is not None and use.greeted is not None:
            return use.greeted
        connection = await super().connect(req, traces, timeout)
        if use is None:
            return connection
        receiver = self._receiver_by_protocol.get(connection.protocol)
        if receiver == use.receiver:
            return connection
        raise UnverifiedConnectionError(connection)
