"""Loopback TCP proxy that injects network faults."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress
from enum import Enum

_CHUNK = 65536


class LinkFault(Enum):
    """Faults of a link."""

    NONE = 'none'
    #: Each chunk is delayed, in both directions.
    DELAY = 'delay'
    #: Open and new connections are reset.
    RESET = 'reset'
    #: Both directions are stalled; connections stay open.
    STALL = 'silence'
    #: Requests pass, responses are stalled.
    STALL_RESPONSES = 'muteAnswers'


#: Seconds between checks whether a stalled chunk may be sent.
_STALL_POLL_INTERVAL = 0.02


class Proxy:
    """Forwards connections to a target that may change.

    Parameters
    ----------
    target : callable
        Returns the host and the port to connect to.
    """

    def __init__(self, target: Callable[[], tuple[str, int]]) -> None:
        """Start without a fault."""
        self.fault = LinkFault.NONE
        self.delay = 0.1
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._upstreams: set[asyncio.StreamWriter] = set()

    async def start(self, stack: AsyncExitStack, host: str, port: int) -> None:
        """Listen until the stack closes."""
        server = await asyncio.start_server(self._forward, host, port)
        stack.callback(self.reset_all)
        stack.callback(server.close)

    def set_fault(self, link_fault: LinkFault) -> None:
        """Change the fault, for open connections as well."""
        self.fault = link_fault
        if link_fault is LinkFault.RESET:
            self.reset_all()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in tuple(self._writers):
            _reset(writer)

    def abort_all(self) -> None:
        """Abort every connection on both sides, as the target has restarted.

        Stalled bytes are dropped, so that they can't reach the new target.
        """
        self.reset_all()
        for upstream in tuple(self._upstreams):
            upstream.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        upstream: asyncio.StreamWriter | None = None
        try:
            if self.fault is LinkFault.RESET:
                return
            upstream_reader, upstream = await asyncio.open_connection(
                *self._target()
            )
            self._upstreams.add(upstream)
            await asyncio.gather(
                self._copy(reader, upstream, is_response=False),
                self._copy(upstream_reader, writer, is_response=True),
            )
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            _reset(writer)
            if upstream is not None:
                self._upstreams.discard(upstream)
                upstream.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        while True:
            chunk = await reader.read(_CHUNK)
            if not chunk:
                writer.close()
                raise ConnectionResetError
            if self.fault is LinkFault.DELAY:
                await asyncio.sleep(self.delay)
            while self._is_stalled(is_response):
                await asyncio.sleep(_STALL_POLL_INTERVAL)
            writer.write(chunk)
            await writer.drain()

    def _is_stalled(self, is_response: bool) -> bool:
        if self.fault is LinkFault.STALL:
            return True
        return is_response and self.fault is LinkFault.STALL_RESPONSES


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset (`SO_LINGER` of 0 s)."""
    connection: socket.socket | None = writer.get_extra_info('socket')
    if connection is not None:
        linger = (1).to_bytes(4, 'little') + (0).to_bytes(4, 'little')
        with suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.close()
