"""An event loop in virtual time and a network that misbehaves on demand."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from result import Err, Ok

from orchidrail.types import Address, CallFailure, Seconds
from orchidrail.wire.codec import decode, encode

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from orchidrail.wire.messages import Message
    from orchidrail.wire.transport import CallResult

    Handler = Callable[[Message], Awaitable[Message]]

_SHORTEST_DELAY: Seconds = 0.0005
_LONGEST_DELAY: Seconds = 0.002


class Node:
    """A process as the network sees it."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.dead = False
        self.running = asyncio.Event()
        self.running.set()

    def pause(self) -> None:
        """Stop it as SIGSTOP does: nothing goes in or out."""
        self.running.clear()

    def resume(self) -> None:
        """Let it go on as SIGCONT does."""
        self.running.set()


class Network:
    """Carries encoded messages between nodes, with delays and faults.

    Parameters
    ----------
    random : Random
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.cuts: set[tuple[str, str]] = set()
        self.duplicate_share = 0.0
        self.late_share = 0.0
        self.answer_loss_share = 0.0
        self.cross_answers = False
        self.faults: Counter[str] = Counter()
        self._served: dict[Address, tuple[Node, Handler]] = {}
        self._last_by_type: dict[type, Message] = {}
        self._extra: set[asyncio.Task[object]] = set()

    def serve(self, address: Address, node: Node, handler: Handler) -> None:
        """Let a node answer at an address."""
        self._served[address] = (node, handler)

    def is_cut(self, source: Node, target: Node) -> bool:
        """Tell whether messages from one node reach the other."""
        pairs = (
            (source.name, target.name),
            (source.zone, target.zone),
            (source.name, target.zone),
            (source.zone, target.name),
        )
        return any(pair in self.cuts for pair in pairs)

    def cut(self, source: str, target: str, *, one_way: bool = False) -> None:
        """Cut nodes or zones from each other."""
        self.cuts.add((source, target))
        if not one_way:
            self.cuts.add((target, source))

    def heal(self) -> None:
        """Mend all cuts."""
        self.cuts.clear()

    async def delay(self) -> None:
        """Let a message travel."""
        seconds = self.random.uniform(_SHORTEST_DELAY, _LONGEST_DELAY)
        if self.random.random() < self.late_share:
            self.faults['late message'] += 1
            seconds += self.random.uniform(0, 4)
        await asyncio.sleep(seconds)

    async def call(
        self,
        source: Node,
        address: Address,
        message: Message,
        timeout: Seconds,
    ) -> CallResult:
        """Carry a message and its answer."""
        await source.running.wait()
        try:
            return await asyncio.wait_for(
                self._carry(source, address, encode(1, message)),
                max(timeout, 0.001),
            )
        except (TimeoutError, asyncio.TimeoutError):
            return Err(CallFailure.ANSWER_LOST)

    async def _carry(
        self,
        source: Node,
        address: Address,
        frame: bytes,
    ) -> CallResult:
        target, handler = self._served.get(address, (None, None))
        if target is None or handler is None or target.dead or source.dead:
            await self.delay()
            return Err(CallFailure.NOT_SENT)
        if self.is_cut(source, target):
            return await self._cut_off()
        await self.delay()
        if self.random.random() < self.duplicate_share:
            self._duplicate(target, handler, frame)
        # Shielded: a caller that gives up doesn't stop the receiver.
        answering = asyncio.create_task(_answer(target, handler, frame))
        self._keep(answering)
        answer = await asyncio.shield(answering)
        await self.delay()
        await source.running.wait()
        lost = self.random.random() < self.answer_loss_share
        if lost:
            self.faults['answer lost'] += 1
        if lost or answer is None or self.is_cut(target, source):
            return Err(CallFailure.ANSWER_LOST)
        return Ok(self._cross(decode(answer).message))

    async def _cut_off(self) -> CallResult:
        if self.random.random() < 0.5:
            await self.delay()
            return Err(CallFailure.NOT_SENT)
        await asyncio.sleep(3600)
        return Err(CallFailure.ANSWER_LOST)

    def _duplicate(self, target: Node, handler: Handler, frame: bytes) -> None:
        self.faults['duplicated message'] += 1

        async def again() -> None:
            await asyncio.sleep(self.random.uniform(0, 3))
            await _answer(target, handler, frame)

        self._keep(asyncio.create_task(again()))

    def _cross(self, answer: Message) -> Message:
        """Now and then, give an earlier answer of the same type instead."""
        kind = type(answer)
        earlier = self._last_by_type.get(kind)
        self._last_by_type[kind] = answer
        wanted = kind.__name__ == 'TaskReport' and self.random.random() < 0.1
        if self.cross_answers and wanted and earlier is not None:
            self.faults['crossed answer'] += 1
            return earlier
        return answer

    def _keep(self, task: asyncio.Task) -> None:  # type: ignore[type-arg]
        self._extra.add(task)
        task.add_done_callback(self._extra.discard)


class NodeTransport:
    """A node's side of the network; fits the Transport port."""

    def __init__(self, network: Network, node: Node) -> None:
        self._network = network
        self._node = node

    async def call(
        self,
        address: Address,
        message: Message,
        timeout: Seconds,
    ) -> CallResult:
        """See `Transport.call`."""
        return await self._network.call(self._node, address, message, timeout)


async def _answer(
    target: Node,
    handler: Handler,
    frame: bytes,
) -> bytes | None:
    await target.running.wait()
    if target.dead:
        return None
    answer = await handler(decode(frame).message)
    await target.running.wait()
    return None if target.dead else encode(1, answer)
