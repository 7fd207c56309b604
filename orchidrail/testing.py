"""Helpers for tests of this package and of programs that embed its parts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import testtools
from result import Err, Ok

from orchidrail.types import Address, CallFailure, Seconds
from orchidrail.wire.codec import decode, encode
from orchidrail.wire.messages import Message
from orchidrail.wire.transport import CallResult

TEST_TIMEOUT: Seconds = 30
ReturnT = TypeVar('ReturnT')
Responder = Callable[[Address, Message], Message | CallFailure]


class AsyncTestCase(testtools.TestCase):
    """A test case that can run coroutines."""

    def run_async(self, work: Coroutine[Any, Any, ReturnT]) -> ReturnT:
        """Run a coroutine in an event loop of its own.

        One that hangs is cancelled, so that the test run finishes.
        """
        return asyncio.run(asyncio.wait_for(work, TEST_TIMEOUT))

    def assert_ok(self, outcome: object) -> Any:
        """Return the value of an ``Ok``; fail on anything else."""
        self.assertIsInstance(outcome, Ok)
        return outcome.ok_value  # type: ignore[attr-defined]

    def assert_err(self, outcome: object, expected: object) -> None:
        """Fail unless `outcome` is ``Err(expected)``."""
        self.assertEqual(Err(expected), outcome)


class ScriptedTransport:
    """A transport whose replies come from a function; records the calls.

    Messages are encoded and decoded as on the wire.

    Parameters
    ----------
    responder : callable
        Maps the address and message to a reply or a failure.
    """

    def __init__(self, responder: Responder) -> None:
        """Start without calls."""
        self.calls: list[tuple[Address, Message]] = []
        self._answerer = responder

    async def call(
        self,
        address: Address,
        message: Message,
        timeout: Seconds,
    ) -> CallResult:
        """See `Transport.call`."""
        self.calls.append((address, decode(encode(1, message)).message))
        await asyncio.sleep(0)
        answer = self._answerer(address, message)
        if isinstance(answer, CallFailure):
            return Err(answer)
        return Ok(decode(encode(1, answer)).message)

    def sent(self, kind: type[Message]) -> list[Message]:
        """Return the messages of one type that were sent."""
        return [call for _, call in self.calls if isinstance(call, kind)]
