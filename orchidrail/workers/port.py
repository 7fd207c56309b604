"""Port to the workers and to the service that advises on them."""

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
    """What a worker declares of itself."""

    READY = 'ready'
    DRAINING = 'draining'


class WorkerEntry(msgspec.Struct, frozen=True):
    """One life of a worker, as it registers itself.

    Parameters
    ----------
    name : str
        The next life may have it too.
    labels : tuple of str
        Its kind and its rack, the rack last.
    leaves_in : float
        Least seconds left while it drains.
    born : int, optional
        When this life started, Unix milliseconds; None if it doesn't tell.
    """

    #: Journals of older versions call it so.
    name: WorkerName = msgspec.field(name='worker')
    service: ServiceName
    address: Address
    zone: str
    capacity: Size
    labels: tuple[str, ...] = ()
    state: WorkerState = WorkerState.READY
    leaves_in: Seconds = 0
    born: int | None = None

    @property
    def worker(self) -> WorkerId:
        """The life that registers itself."""
        return incarnation_id(self.name, self.born)

    @property
    def rack(self) -> str:
        """The rack it stands in, empty if it names none."""
        return self.labels[-1] if self.labels else ''


class RunKey(NamedTuple):
    """One start of one task."""

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
    #: The other members of its gang did not come in time.
    ALONE = 'alone'


class ActiveRun(NamedTuple):
    """A run in progress; `share_done` is a percentage."""

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
    #: A higher fencing token was seen.
    FENCED = 'fenced'
    #: The run is not above one that ended there.
    OLD_RUN = 'oldRun'
    #: The order's deadline had passed.
    LATE = 'late'
    NO_ROOM = 'noRoom'
    NO_TICKET = 'noTicket'
    #: Another life answers at the address: this one is over.
    OTHER_INCARNATION = 'otherLife'
    #: The worker is not well and has done nothing.
    UNHEALTHY = 'unwell'
    #: The worker could not make sense of the order.
    INVALID = 'invalid'
    #: The order can't have reached the worker.
    NOT_SENT = 'notSent'
    #: No answer: the order may be carried out, now or later.
    UNKNOWN = 'unknown'


class OrderAnswer(NamedTuple):
    """Outcome of an order.

    Parameters
    ----------
    clock : float, optional
        The worker's, None without a body.
    born : int, optional
        Start of the life that answered, where that is another one and tells.
    """

    result: OrderResult
    clock: Seconds | None = None
    born: int | None = None


class Listing(NamedTuple):
    """Everything that a worker runs, and the ends not yet acknowledged.

    Parameters
    ----------
    born : int, optional
        When the life that answers started, Unix milliseconds; None if the
        worker doesn't tell. Two lives differ in it, also under one id.
    """

    clock: Seconds
    active: list[ActiveRun]
    ended: list[EndedRun]
    born: int | None = None


class StartOrder(NamedTuple):
    """Start a run; `deadline` is on the worker's clock, seconds."""

    key: RunKey
    text: str
    deadline: Seconds
    epoch: Epoch
    checkpoint: str = ''
    ticket: str = ''


class HoldOrder(NamedTuple):
    """Renew the lease of all that runs, and list it.

    Parameters
    ----------
    deadline : float, optional
        End of the lease on the worker's clock, seconds; None leaves it.
    last_seen : int
        Ends up to this number are forgotten.
    wait : float
        Seconds for which the answer may wait for an end.
    """

    epoch: Epoch
    deadline: Seconds | None = None
    last_seen: int = 0
    wait: Seconds = 0


class WorkerCalls(Protocol):
    """Orders to workers; none of them raises for a failure outside.

    An order is carried out by the life that the entry names, or by none, where
    both the entry and the worker tell lives apart.
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
        """Renew the lease and list what runs."""


class Advice(NamedTuple):
    """Who may run a step: tickets by worker, good for `valid` seconds."""

    ticket_by_worker: dict[WorkerId, str]
    valid: Seconds


class TicketsByName(NamedTuple):
    """The same as the service gives it: it knows workers by their names."""

    ticket_by_name: dict[WorkerName, str]
    valid: Seconds


class AdviceCalls(Protocol):
    """The service that knows which workers may run a step."""

    async def advise(
        self,
        step_key: str,
        names: list[WorkerName],
        timeout: Seconds,
    ) -> TicketsByName | None:
        """Ask about some workers; None if there is no answer."""
