"""Interfaces to the workers and to the advice service."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol

import msgspec

from orchidrail.types import (
    Address,
    Epoch,
    RunNumber,
    Seconds,
    ServiceName,
    TaskKey,
    WorkerId,
    WorkerName,
)
from orchidrail.work.size import Size
from orchidrail.workers.incarnations import incarnation_id


class WorkerState(Enum):
    """State that a worker reports of itself."""

    READY = 'ready'
    DRAINING = 'draining'


class WorkerEntry(msgspec.Struct, frozen=True):
    """Registration of one incarnation of a worker.

    Parameters
    ----------
    name : str
        The next incarnation may reuse it.
    labels : tuple of str
        The worker's kind and its rack, the rack last.
    leaves_in : float
        Minimum number of seconds left while the worker drains.
    born : int, optional
        Start of the incarnation, Unix milliseconds; None if not reported.
    warmup_left : float
        Seconds for which the worker is still cold, and slow.
    """

    #: Stored as 'worker', as journals of older versions have it.
    name: WorkerName = msgspec.field(name='worker')
    service: ServiceName
    address: Address
    zone: str
    capacity: Size
    labels: tuple[str, ...] = ()
    state: WorkerState = WorkerState.READY
    leaves_in: Seconds = 0
    born: int | None = None
    warmup_left: Seconds = 0

    @property
    def worker(self) -> WorkerId:
        """Id of the registered incarnation."""
        return incarnation_id(self.name, self.born)

    @property
    def rack(self) -> str:
        """Name of the worker's rack, empty if it has no labels."""
        return self.labels[-1] if self.labels else ''


class RunKey(NamedTuple):
    """Identifies one run of one task."""

    task: TaskKey
    run: RunNumber


class RunEnding(Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    #: Another member of its gang ended first.
    BROKEN = 'broken'
    #: The other members of its gang did not start in time.
    ALONE = 'alone'


class ActiveRun(NamedTuple):
    """A run in progress; `share_done` is its progress in percent."""

    key: RunKey
    checkpoint: str
    share_done: float
    load: float = 0


class EndedRun(NamedTuple):
    """A run that ended, listed until its number is acknowledged."""

    number: int
    key: RunKey
    ending: RunEnding
    checkpoint: str


class OrderResult(Enum):
    """Outcome of an order to a worker."""

    TAKEN = 'taken'
    #: The worker has seen a higher fencing token.
    FENCED = 'fenced'
    #: The run's number is not above that of a run that ended there.
    OLD_RUN = 'oldRun'
    #: The order's deadline had passed.
    LATE = 'late'
    NO_ROOM = 'noRoom'
    NO_TICKET = 'noTicket'
    #: Another incarnation responds at the address: this one has ended.
    OTHER_INCARNATION = 'otherLife'
    #: The worker is unhealthy and has not executed the order.
    UNHEALTHY = 'unwell'
    #: The worker could not interpret the order.
    INVALID = 'invalid'
    #: The order can't have reached the worker.
    NOT_SENT = 'notSent'
    #: No response: the order may be executed, now or later.
    UNKNOWN = 'unknown'


class OrderAnswer(NamedTuple):
    """Outcome of an order.

    Parameters
    ----------
    clock : float, optional
        The worker's clock in seconds, None if the response has no body.
    born : int, optional
        Start of the incarnation that responded, Unix milliseconds, if it is
        another one and reports it.
    """

    result: OrderResult
    clock: Seconds | None = None
    born: int | None = None


class Listing(NamedTuple):
    """All active runs of a worker, and the endings not yet acknowledged.

    Parameters
    ----------
    born : int, optional
        Start of the incarnation that responds, Unix milliseconds; None if not
        reported. Two incarnations differ in it, also under one name.
    complete : bool
        Whether all of these endings are listed. Otherwise the rest follows once
        the listed ones are acknowledged, and a run that is missing may have
        ended in any way.
    """

    clock: Seconds
    active: list[ActiveRun]
    ended: list[EndedRun]
    born: int | None = None
    complete: bool = True


class StartOrder(NamedTuple):
    """Start a run; `deadline` is on the worker's clock, seconds."""

    key: RunKey
    text: str
    deadline: Seconds
    epoch: Epoch
    checkpoint: str = ''
    ticket: str = ''


class HoldOrder(NamedTuple):
    """Renew the lease of all runs, and list them.

    Parameters
    ----------
    deadline : float, optional
        New end of the lease on the worker's clock, seconds; None for no
        renewal.
    last_seen : int
        Acknowledges the endings up to this number; the worker drops them.
    wait : float
        Seconds for which the worker may hold the response until a run ends.
    """

    epoch: Epoch
    deadline: Seconds | None = None
    last_seen: int = 0
    wait: Seconds = 0


class WorkerCalls(Protocol):
    """Orders to workers; external failures are returned, not raised.

    If both the entry and the worker report the start of the incarnation, an
    order is executed by the incarnation that the entry names, or by none.
    """

    async def start(
        self,
        entry: WorkerEntry,
        order: StartOrder,
        timeout: Seconds,
    ) -> OrderAnswer:
        """Start one run."""

    async def stop(
        self,
        entry: WorkerEntry,
        key: RunKey,
        epoch: Epoch,
        timeout: Seconds,
    ) -> OrderAnswer:
        """Stop one run, or make sure that it never starts."""

    async def hold(
        self,
        entry: WorkerEntry,
        order: HoldOrder,
        timeout: Seconds,
    ) -> Listing | OrderAnswer:
        """Renew the lease and list the runs."""


class Advice(NamedTuple):
    """Workers that may run a step: their tickets, valid `valid` seconds."""

    ticket_by_worker: dict[WorkerId, str]
    valid: Seconds


class TicketsByName(NamedTuple):
    """Tickets as the advice service returns them, by worker name."""

    ticket_by_name: dict[WorkerName, str]
    valid: Seconds


class AdviceCalls(Protocol):
    """The advice service, which decides which workers may run a step."""

    async def advise(
        self,
        step_key: str,
        names: list[WorkerName],
        timeout: Seconds,
    ) -> TicketsByName | None:
        """Request tickets for some workers; None if there is no response."""
