"""Calls between processes over TCP: the port and its real adapter.

A frame is a four-byte length and one encoded envelope. Each connection is
owned by one task; callers talk to it by futures in a table by correlation
number. An answer whose caller has given up is dropped and counted.
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

#: Outcome of a call: the answer, or where the call failed.
CallResult = Result[Message, CallFailure]

_LENGTH_BYTES = 4
#: Longest frame taken, bytes; a longer one ends the connection.
MAX_FRAME = 8 * 1024 * 1024
_CONNECT_TIMEOUT: Seconds = 1
#: A connection on which a call has waited so long and nothing came at all is
#: given up: after a cut, TCP would take seconds to try again.
_SILENT_FOR: Seconds = 0.4
#: Requests of one connection that may be in progress at one time.
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
        have got the message.
        """


class TrafficCounter:
    """Frames and bytes by message type and direction."""

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
        """Return all bytes counted, both ways."""
        return sum(self.bytes_by_type.values())


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Read one frame.

    Raises
    ------
    CodecError
        If the frame is longer than `MAX_FRAME`.
    asyncio.IncompleteReadError
        If the connection ended.
    """
    head = await reader.readexactly(_LENGTH_BYTES)
    length = int.from_bytes(head, 'big')
    if length > MAX_FRAME:
        raise CodecError(f'expected at most {MAX_FRAME} bytes, got {length!r}')
    return await reader.readexactly(length)


def write_frame(writer: asyncio.StreamWriter, frame: bytes) -> None:
    """Put one frame into the writer's buffer."""
    writer.write(len(frame).to_bytes(_LENGTH_BYTES, 'big') + frame)


class Connection:
    """Client side of one TCP connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        traffic: TrafficCounter,
    ) -> None:
        """Take over both ends of a stream."""
        self._reader = reader
        self._writer = writer
        self._traffic = traffic
        self._numbers = itertools.count(1)
        self._waiting_by_number: dict[int, asyncio.Future[Message]] = {}
        self._frames_heard = 0
        self._task = asyncio.create_task(self._read_answers())

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._task.done() or self._writer.is_closing()

    async def call(self, message: Message, timeout: Seconds) -> CallResult:
        """Send one message and wait for its answer."""
        if self.closed:
            return Err(CallFailure.NOT_SENT)
        number = next(self._numbers)
        frame = encode(number, message)
        heard = self._frames_heard
        self._traffic.add(message, len(frame))
        answer = asyncio.get_running_loop().create_future()
        self._waiting_by_number[number] = answer
        try:
            write_frame(self._writer, frame)
            return Ok(await asyncio.wait_for(answer, timeout))
        except (TimeoutError, asyncio.TimeoutError):
            silent = self._frames_heard == heard and timeout >= _SILENT_FOR
            if silent and not self.closed:
                _log.info('connection given up', silent_for=timeout)
                self._writer.transport.abort()
            return Err(CallFailure.ANSWER_LOST)
        except OSError:
            return Err(CallFailure.ANSWER_LOST)
        finally:
            self._waiting_by_number.pop(number, None)

    async def close(self) -> None:
        """End the connection; calls in progress lose their answers."""
        self._task.cancel()
        with suppress(asyncio.CancelledError):
            await self._task
        self._writer.close()

    async def _read_answers(self) -> None:
        try:
            while True:
                self._deliver(await read_frame(self._reader))
        except (OSError, EOFError, CodecError):
            _log.debug('connection ended')
        finally:
            self._fail_all()
            self._writer.close()

    def _deliver(self, frame: bytes) -> None:
        number, message = decode(frame)
        self._frames_heard += 1
        self._traffic.add(message, len(frame))
        answer = self._waiting_by_number.pop(number, None)
        if answer is None or answer.done():
            self._traffic.late_answers += 1
            return
        answer.set_result(message)

    def _fail_all(self) -> None:
        for answer in self._waiting_by_number.values():
            if not answer.done():
                answer.set_exception(ConnectionResetError())


class TcpTransport:
    """Calls over kept TCP connections, one to each address.

    Parameters
    ----------
    name : str
        What this process calls itself.
    cluster_key : str
        Shared by the daemons of one user; proves who calls.
    """

    def __init__(self, name: str, cluster_key: str) -> None:
        """Start with no connection."""
        self.traffic = TrafficCounter()
        self._hello = Hello(name=name, proof=prove(name, cluster_key))
        self._connection_by_address: dict[Address, Connection] = {}
        self._opening_by_address: dict[Address, asyncio.Lock] = {}

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
        lock = self._opening_by_address.setdefault(address, asyncio.Lock())
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
        welcome = await connection.call(self._hello, _CONNECT_TIMEOUT)
        if welcome != Ok(Ack()):
            await connection.close()
            raise ConnectionRefusedError(f'{address!r} answered {welcome!r}')
        return connection


class MessageServer:
    """Server side: answers each message by `handler`, each in its own task.

    Parameters
    ----------
    handler : callable
        Coroutine function from a message to its answer.
    cluster_key : str, optional
        If given, only connections that prove they know it are served.
    """

    def __init__(
        self,
        handler: Handler,
        traffic: TrafficCounter,
        cluster_key: str | None = None,
    ) -> None:
        """Hold the handler; `start` opens the port."""
        self._handler = handler
        self._traffic = traffic
        self._cluster_key = cluster_key
        self._tasks: set[asyncio.Task[None]] = set()
        self._stack = AsyncExitStack()

    async def start(self, host: str, port: int) -> Address:
        """Listen and return the address, the port chosen if `port` is 0."""
        server = await asyncio.start_server(self._serve, host, port)
        self._stack.push_async_callback(server.wait_closed)
        self._stack.callback(server.close)
        bound = server.sockets[0].getsockname()
        return Address(f'{bound[0]}:{bound[1]}')

    async def close(self) -> None:
        """Stop listening and end what is in progress."""
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
            _log.debug('caller left')
        finally:
            writer.close()
            self._tasks.discard(current)

    async def _serve_frames(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if not await self._welcome(reader, writer):
            return
        in_progress = asyncio.Semaphore(_MAX_IN_PROGRESS)

        def end(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            in_progress.release()

        while True:
            number, message = self._read(await read_frame(reader))
            await in_progress.acquire()
            answering = self._answer(number, message, writer)
            task = asyncio.create_task(answering)
            self._tasks.add(task)
            task.add_done_callback(end)

    async def _welcome(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        number, message = self._read(await read_frame(reader))
        welcome = self._check_hello(message)
        self._write(writer, number, welcome)
        await writer.drain()
        return isinstance(welcome, Ack)

    def _check_hello(self, message: Message) -> Message:
        if not isinstance(message, Hello):
            return Refusal(code=RefusalCode.INVALID, detail='expected Hello')
        if self._cluster_key is None:
            return Ack()
        expected = prove(message.name, self._cluster_key)
        if hmac.compare_digest(expected, message.proof):
            return Ack()
        _log.warning('wrong cluster key', caller=message.name)
        return Refusal(code=RefusalCode.UNAUTHORISED, detail='wrong key')

    async def _answer(
        self,
        number: int,
        message: Message,
        writer: asyncio.StreamWriter,
    ) -> None:
        answer = await self._handler(message)
        if not writer.is_closing():
            self._write(writer, number, answer)
            with suppress(OSError):
                await writer.drain()

    def _read(self, frame: bytes) -> tuple[int, Message]:
        number, message = decode(frame)
        self._traffic.add(message, len(frame))
        return number, message

    def _write(
        self,
        writer: asyncio.StreamWriter,
        number: int,
        message: Message,
    ) -> None:
        frame = encode(number, message)
        self._traffic.add(message, len(frame))
        write_frame(writer, frame)


def prove(name: str, cluster_key: str) -> str:
    """Return the proof that the process `name` knows the shared key."""
    return hmac.new(cluster_key.encode(), name.encode(), 'sha256').hexdigest()
