"""Calls between processes: the transport port and its TCP adapter.

A frame is a four-byte big-endian length and one encoded envelope. One task
reads each connection and resolves the callers' futures by correlation id. An
answer whose caller has timed out is dropped and counted.
"""

from __future__ import annotations

import asyncio
import hmac
import itertools
from collections import Counter
from contextlib import AsyncExitStack, suppress
from typing import TYPE_CHECKING, Protocol

import structlog
from result import Err, Ok, Result

from orchidrail.types import Address, CallFailure, RefusalCode, Seconds
from orchidrail.wire.codec import CodecError, decode, encode
from orchidrail.wire.messages import Ack, Hello, Message, Refusal

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Handler = Callable[[Message], Awaitable[Message]]

#: Outcome of a call: the answer, or how the call failed.
CallResult = Result[Message, CallFailure]

_LENGTH_BYTES = 4
#: Maximum frame size in bytes; a longer frame ends the connection.
MAX_FRAME = 8 * 1024 * 1024
_CONNECT_TIMEOUT: Seconds = 1
#: A connection is aborted if a call on it times out after at least this long
#: and no frame arrived meanwhile: after a network partition, TCP would take
#: seconds to retransmit.
_UNRESPONSIVE_AFTER: Seconds = 0.4
#: Maximum number of concurrent requests of one connection.
_MAX_IN_PROGRESS = 4096
_log = structlog.get_logger()


class Transport(Protocol):
    """Port for calls to other processes."""

    async def call(
        self,
        address: Address,
        message: Message,
        timeout: Seconds,
    ) -> CallResult:
        """Send `message` to `address` and wait for its answer.

        Returns
        -------
        Ok with the answer, or Err: ``NOT_SENT`` only if the receiver can't
        have received the message.
        """


class TrafficCounter:
    """Counts frames and bytes by message type, in both directions."""

    def __init__(self) -> None:
        """Start from zero."""
        self.bytes_by_type: Counter[str] = Counter()
        self.frames_by_type: Counter[str] = Counter()
        self.late_answers = 0

    def add(self, message: Message, size: int) -> None:
        """Count one frame of `size` bytes."""
        name = type(message).__name__
        self.bytes_by_type[name] += size
        self.frames_by_type[name] += 1

    def total_bytes(self) -> int:
        """Return the bytes of both directions."""
        return sum(self.bytes_by_type.values())


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Read one frame.

    Raises
    ------
    CodecError
        If the frame is longer than `MAX_FRAME`.
    asyncio.IncompleteReadError
        If the connection is closed.
    """
    header = await reader.readexactly(_LENGTH_BYTES)
    length = int.from_bytes(header, 'big')
    if length > MAX_FRAME:
        raise CodecError(f'expected at most {MAX_FRAME} bytes, got {length!r}')
    return await reader.readexactly(length)


def write_frame(writer: asyncio.StreamWriter, frame: bytes) -> None:
    """Write one frame to the buffer of `writer`."""
    writer.write(len(frame).to_bytes(_LENGTH_BYTES, 'big') + frame)


class Connection:
    """Client side of one TCP connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        traffic: TrafficCounter,
    ) -> None:
        """Own both ends of a stream and start reading answers."""
        self._reader = reader
        self._writer = writer
        self._traffic = traffic
        self._correlations = itertools.count(1)
        self._answer_by_correlation: dict[int, asyncio.Future[Message]] = {}
        self._frames_received = 0
        self._task = asyncio.create_task(self._read_answers())

    @property
    def closed(self) -> bool:
        """Whether the connection is closed or closing."""
        return self._task.done() or self._writer.is_closing()

    async def call(self, message: Message, timeout: Seconds) -> CallResult:
        """Send one message and wait for its answer."""
        if self.closed:
            return Err(CallFailure.NOT_SENT)
        correlation = next(self._correlations)
        frame = encode(correlation, message)
        received_before = self._frames_received
        self._traffic.add(message, len(frame))
        answer = asyncio.get_running_loop().create_future()
        self._answer_by_correlation[correlation] = answer
        try:
            write_frame(self._writer, frame)
            return Ok(await asyncio.wait_for(answer, timeout))
        except (TimeoutError, asyncio.TimeoutError):
            unresponsive = (
                self._frames_received == received_before
                and timeout >= _UNRESPONSIVE_AFTER
            )
            if unresponsive and not self.closed:
                _log.info('connection given up', silent_for=timeout)
                self._writer.transport.abort()
            return Err(CallFailure.ANSWER_LOST)
        except OSError:
            return Err(CallFailure.ANSWER_LOST)
        finally:
            self._answer_by_correlation.pop(correlation, None)

    async def close(self) -> None:
        """Close the connection; calls in flight fail with a lost answer."""
        self._task.cancel()
        with suppress(asyncio.CancelledError):
            await self._task
        self._writer.close()

    async def _read_answers(self) -> None:
        try:
            while True:
                self._deliver(await read_frame(self._reader))
        except (OSError, EOFError, CodecError):
            _log.debug('connection closed')
        finally:
            self._fail_pending_calls()
            self._writer.close()

    def _deliver(self, frame: bytes) -> None:
        correlation, message = decode(frame)
        self._frames_received += 1
        self._traffic.add(message, len(frame))
        answer = self._answer_by_correlation.pop(correlation, None)
        if answer is None or answer.done():
            self._traffic.late_answers += 1
            return
        answer.set_result(message)

    def _fail_pending_calls(self) -> None:
        for answer in self._answer_by_correlation.values():
            if not answer.done():
                answer.set_exception(ConnectionResetError())


class TcpTransport:
    """Calls over persistent TCP connections, one per address.

    Parameters
    ----------
    name : str
        Name of this process.
    cluster_key : str
        Secret shared by the daemons of one user; authenticates callers.
    """

    def __init__(self, name: str, cluster_key: str) -> None:
        """Create the transport; connections open on the first call."""
        self.traffic = TrafficCounter()
        self._hello = Hello(name=name, proof=prove(name, cluster_key))
        self._connection_by_address: dict[Address, Connection] = {}
        self._lock_by_address: dict[Address, asyncio.Lock] = {}

    async def call(
        self,
        address: Address,
        message: Message,
        timeout: Seconds,
    ) -> CallResult:
        """See `Transport.call`."""
        try:
            connection = await self._connect(address)
        except (OSError, TimeoutError, asyncio.TimeoutError):
            return Err(CallFailure.NOT_SENT)
        return await connection.call(message, timeout)

    async def close(self) -> None:
        """Close all connections."""
        for connection in self._connection_by_address.values():
            await connection.close()
        self._connection_by_address.clear()

    async def _connect(self, address: Address) -> Connection:
        lock = self._lock_by_address.setdefault(address, asyncio.Lock())
        async with lock:
            connection = self._connection_by_address.get(address)
            if connection is None or connection.closed:
                connection = await self._open(address)
                self._connection_by_address[address] = connection
        return connection

    async def _open(self, address: Address) -> Connection:
        host, port = address.rsplit(':', 1)
        opening = asyncio.open_connection(host, int(port))
        reader, writer = await asyncio.wait_for(opening, _CONNECT_TIMEOUT)
        connection = Connection(reader, writer, self.traffic)
        reply = await connection.call(self._hello, _CONNECT_TIMEOUT)
        if reply != Ok(Ack()):
            await connection.close()
            raise ConnectionRefusedError(
                f'expected Ack from {address!r}, got {reply!r}'
            )
        return connection


class MessageServer:
    """Server side: runs `handler` for each message, in a task of its own.

    Parameters
    ----------
    handler : callable
        Coroutine function that maps a message to its answer.
    cluster_key : str, optional
        If given, only connections that authenticate with it are served.
    """

    def __init__(
        self,
        handler: Handler,
        traffic: TrafficCounter,
        cluster_key: str | None = None,
    ) -> None:
        """Store the handler; `start` opens the port."""
        self._handler = handler
        self._traffic = traffic
        self._cluster_key = cluster_key
        self._tasks: set[asyncio.Task[None]] = set()
        self._stack = AsyncExitStack()

    async def start(self, host: str, port: int) -> Address:
        """Listen and return the bound address; port 0 selects a free one."""
        server = await asyncio.start_server(self._serve, host, port)
        self._stack.push_async_callback(server.wait_closed)
        self._stack.callback(server.close)
        bound = server.sockets[0].getsockname()
        return Address(f'{bound[0]}:{bound[1]}')

    async def close(self) -> None:
        """Stop listening and cancel requests in progress."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        current = asyncio.current_task()
        if current is not None:
            self._tasks.add(current)
        try:
            await self._serve_frames(reader, writer)
        except (OSError, EOFError, CodecError, asyncio.CancelledError):
            _log.debug('caller disconnected')
        finally:
            writer.close()
            self._tasks.discard(current)

    async def _serve_frames(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if not await self._handshake(reader, writer):
            return
        in_progress = asyncio.Semaphore(_MAX_IN_PROGRESS)

        def on_done(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            in_progress.release()

        while True:
            correlation, message = self._decode_counted(
                await read_frame(reader)
            )
            await in_progress.acquire()
            answering = self._answer(correlation, message, writer)
            task = asyncio.create_task(answering)
            self._tasks.add(task)
            task.add_done_callback(on_done)

    async def _handshake(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        correlation, message = self._decode_counted(await read_frame(reader))
        reply = self._check_hello(message)
        self._write_counted(writer, correlation, reply)
        await writer.drain()
        return isinstance(reply, Ack)

    def _check_hello(self, message: Message) -> Message:
        if not isinstance(message, Hello):
            return Refusal(code=RefusalCode.INVALID, detail='expected Hello')
        if self._cluster_key is None:
            return Ack()
        expected = prove(message.name, self._cluster_key)
        if hmac.compare_digest(expected, message.proof):
            return Ack()
        _log.warning('caller has the wrong cluster key', caller=message.name)
        return Refusal(code=RefusalCode.UNAUTHORISED, detail='wrong key')

    async def _answer(
        self,
        correlation: int,
        message: Message,
        writer: asyncio.StreamWriter,
    ) -> None:
        answer = await self._handler(message)
        if not writer.is_closing():
            self._write_counted(writer, correlation, answer)
            with suppress(OSError):
                await writer.drain()

    def _decode_counted(self, frame: bytes) -> tuple[int, Message]:
        correlation, message = decode(frame)
        self._traffic.add(message, len(frame))
        return correlation, message

    def _write_counted(
        self,
        writer: asyncio.StreamWriter,
        correlation: int,
        message: Message,
    ) -> None:
        frame = encode(correlation, message)
        self._traffic.add(message, len(frame))
        write_frame(writer, frame)


def prove(name: str, cluster_key: str) -> str:
    """Return the HMAC-SHA256 of `name` under the shared key, in hex."""
    return hmac.new(cluster_key.encode(), name.encode(), 'sha256').hexdigest()
