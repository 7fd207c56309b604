"""A proxy on loopback that harms what goes through it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress
from enum import Enum

_CHUNK = 65536


class Harm(Enum):
    """What is done to the bytes."""

    NONE = 'none'
    #: Each piece is held up for a while, both ways.
    DELAY = 'delay'
    #: Connections are reset, and new ones too.
    RESET = 'reset'
    #: Nothing comes through, either way; connections stay open.
    SILENCE = 'silence'
    #: Requests come through, answers don't.
    MUTE_ANSWERS = 'muteAnswers'


#: Held-up bytes are looked at again this often.
_LOOK_EVERY = 0.02


class Proxy:
    """Passes connections on to a target that may change.

    Parameters
    ----------
    target : callable
        Returns the host and the port to connect to.
    """

    def __init__(self, target: Callable[[], tuple[str, int]]) -> None:
        """Do no harm yet."""
        self.harm = Harm.NONE
        self.delay = 0.1
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._upstreams: set[asyncio.StreamWriter] = set()

    async def start(self, stack: AsyncExitStack, host: str, port: int) -> None:
        """Listen until the stack closes."""
        server = await asyncio.start_server(self._pass_on, host, port)
        stack.callback(self.reset_all)
        stack.callback(server.close)

    def set_harm(self, harm: Harm) -> None:
        """Change what is done, to open connections as well."""
        self.harm = harm
        if harm is Harm.RESET:
            self.reset_all()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in tuple(self._writers):
            _reset(writer)

    def break_all(self) -> None:
        """End every connection on both sides: the target is another process.

        What was held up is lost; it can't reach the next one.
        """
        self.reset_all()
        for upstream in tuple(self._upstreams):
            upstream.transport.abort()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        upstream: asyncio.StreamWriter | None = None
        try:
            if self.harm is Harm.RESET:
                return
            back, upstream = await asyncio.open_connection(*self._target())
            self._upstreams.add(upstream)
            await asyncio.gather(
                self._copy(reader, upstream, answers=False),
                self._copy(back, writer, answers=True),
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
        answers: bool,
    ) -> None:
        while True:
            piece = await reader.read(_CHUNK)
            if not piece:
                writer.close()
                raise ConnectionResetError
            if self.harm is Harm.DELAY:
                await asyncio.sleep(self.delay)
            while self._holds_up(answers):
                await asyncio.sleep(_LOOK_EVERY)
            writer.write(piece)
            await writer.drain()

    def _holds_up(self, answers: bool) -> bool:
        if self.harm is Harm.SILENCE:
            return True
        return answers and self.harm is Harm.MUTE_ANSWERS


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its peer sees a reset."""
    made: socket.socket | None = writer.get_extra_info('socket')
    if made is not None:
        linger = (1).to_bytes(4, 'little') + (0).to_bytes(4, 'little')
        with suppress(OSError):
            made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.close()
