"""An in-process transport to worker state machines."""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Ok

from orchidrail.types import Address, CallFailure, Seconds
from orchidrail.wire.codec import decode, encode
from orchidrail.wire.messages import Message
from orchidrail.wire.transport import CallResult
from standins.machine import WorkerMachine


def _do_nothing() -> None:
    """Default hook of `MachineTransport.after_call`."""


class MachineTransport:
    """Calls worker state machines by address, using the wire encoding.

    Attributes
    ----------
    failing : dict
        Failure injected into every call to an address.
    """

    def __init__(
        self, machine_by_address: dict[Address, WorkerMachine]
    ) -> None:
        """Use the given state machines."""
        self.machine_by_address = machine_by_address
        self.failing: dict[Address, CallFailure] = {}
        #: Called after a message is handled, before its response is returned.
        self.after_call: Callable[[], None] = _do_nothing

    async def call(
        self,
        address: Address,
        message: Message,
        timeout: Seconds,
    ) -> CallResult:
        """See `Transport.call`."""
        failure = self.failing.get(address)
        if failure is CallFailure.NOT_SENT:
            return Err(failure)
        machine = self.machine_by_address[address]
        answer = await machine.handle(decode(encode(1, message)).message)
        self.after_call()
        if failure is not None:
            return Err(failure)
        return Ok(decode(encode(1, answer)).message)
