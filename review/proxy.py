"""A link that can be cut: a partition says nothing in either direction."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress

_CHUNK = 65_536
#: Time after which TCP first sends a lost packet again; it doubles each time.
_FIRST_RESEND_SECONDS = 0.2
_CHECK_SECONDS = 0.02


class Link:
    """Forwards connections to one address.

    While the link is cut, bytes are held up. They go on after the cut, unless
    their sender has closed its connection in the meantime.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        """Start whole."""
        self.cut = False
        #: Share of the packets that are lost, and so sent again later.
        self.loss = 0.0
        self._random = random.Random(target[0])
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._forward, host, port, backlog=1000
        )

    def close(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        upstream: asyncio.StreamWriter | None = None
        try:
            if not await self._wait_until_whole(reader):
                return
            answers, upstream = await asyncio.open_connection(*self._target)
            self._writers.add(upstream)
            copies = (
                asyncio.create_task(self._copy(reader, upstream)),
                asyncio.create_task(self._copy(answers, writer)),
            )
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            for copy in copies:
                copy.cancel()
        except OSError:
            writer.transport.abort()
        finally:
            for end in (writer, upstream):
                if end is not None:
                    self._writers.discard(end)
                    end.close()

    async def _wait_until_whole(self, reader: asyncio.StreamReader) -> bool:
        """Wait for the end of a cut; False if the sender has given up."""
        was_cut = self.cut
        while self.cut:
            await asyncio.sleep(_CHECK_SECONDS)
        # The end of the stream is private: the buffer may still hold bytes.
        gone = reader.exception() is not None or getattr(reader, '_eof', False)
        return not (was_cut and gone)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(_CHUNK):
                if not await self._wait_until_whole(reader):
                    return
                await self._resend_if_lost()
                writer.write(chunk)
                await writer.drain()

    async def _resend_if_lost(self) -> None:
        """Wait for as long as a lost packet takes to be sent again."""
        pause = _FIRST_RESEND_SECONDS
        while self._random.random() < self.loss:
            await asyncio.sleep(pause)
            pause *= 2
