"""One worker whose lease this scheduler holds."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from result import Err, Ok, Result

from orchidrail.invariants import Invariant
from orchidrail.types import CallFailure, Seconds, TaskId, TaskState
from orchidrail.wire.messages import (
    Message,
    StartTasks,
    TaskReport,
    TaskReports,
    TaskSpec,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from orchidrail.deciding.shard import Place
    from orchidrail.invariants import Invariants
    from orchidrail.leasing.lease import HeldLease
    from orchidrail.logservice.ports import Instance
    from orchidrail.scheduler.ports import Ports

#: Starts are gathered this long into one message.
_GATHER: Seconds = 0.002
_START_TIMEOUT: Seconds = 1
#: Renewals for which a worker takes a start that was sent before them.
START_WINDOW = 3


class StartFailure(Enum):
    """Why it isn't known that a task was started."""

    #: It was not and will not be started by this call.
    NOT_STARTED = 'notStarted'
    #: It may have been started.
    UNSURE = 'unsure'


class _Start(NamedTuple):
    spec: TaskSpec
    done: asyncio.Future[Result[TaskReport, StartFailure]]


class Pending:
    """Small changes that go with one of the next renewals.

    A task is forgotten only when the worker refuses every start of it that
    may still be under way: a start counts for `START_WINDOW` renewals.
    """

    def __init__(self) -> None:
        """Start with none."""
        self.settle: set[TaskId] = set()
        self.stop: set[TaskId] = set()
        self.forget: set[TaskId] = set()
        self._asked_at: dict[TaskId, int] = {}

    def forget_later(self, tasks: Iterable[TaskId], sequence: int) -> None:
        """Have tasks forgotten once no start of them counts any more.

        Parameters
        ----------
        sequence : int
            Number of the last renewal.
        """
        for task in tasks:
            self._asked_at.setdefault(task, sequence)

    def take(self, sequence: int) -> Pending:
        """Return what goes with renewal `sequence`, and start anew."""
        taken = Pending()
        taken.settle, self.settle = self.settle, set()
        taken.stop, self.stop = self.stop, set()
        taken.forget = {
            task
            for task, asked_at in self._asked_at.items()
            if asked_at + START_WINDOW < sequence
        }
        for task in taken.forget:
            self._asked_at.pop(task)
        return taken

    def put_back(self, taken: Pending) -> None:
        """Keep what was taken for another renewal."""
        self.settle |= taken.settle
        self.stop |= taken.stop
        self.forget_later(taken.forget, 0)


class HeldWorker:
    """A worker, its lease and its place.

    Parameters
    ----------
    instance : Instance
        The worker as it is listed.
    boot : str
        The worker's start that granted the lease.
    lease : HeldLease
    place : Place
        The worker as a place for work.
    """

    def __init__(
        self,
        instance: Instance,
        boot: str,
        lease: HeldLease,
        place: Place,
        ports: Ports,
        invariants: Invariants,
    ) -> None:
        """Start with nothing pending."""
        self.instance = instance
        self.boot = boot
        self.lease = lease
        self.place = place
        self.pending = Pending()
        #: When this scheduler began to hand the worker over, if it has.
        self.handing_over_since: Seconds | None = None
        self.audited_at = ports.clock()
        self.renew_soon = asyncio.Event()
        self._ports = ports
        self._invariants = invariants
        self._starts: list[_Start] = []
        self._sending: set[asyncio.Task[None]] = set()

    def authorised(self) -> bool:
        """Tell whether this scheduler may act on the worker right now."""
        return self.lease.valid(self._ports.clock())

    async def start(self, spec: TaskSpec) -> Result[TaskReport, StartFailure]:
        """Start one task, or put one marker, under the lease.

        Returns
        -------
        Ok with the worker's report, also of a refusal.
        """
        done = asyncio.get_running_loop().create_future()
        if not self._starts:
            asyncio.get_running_loop().call_later(_GATHER, self._flush)
        self._starts.append(_Start(spec, done))
        return await done

    def request_renewal(self) -> None:
        """Have the pending changes sent soon."""
        self.renew_soon.set()

    def _flush(self) -> None:
        starts = self._starts
        self._starts = []
        sending = asyncio.get_running_loop().create_task(self._send(starts))
        self._sending.add(sending)
        sending.add_done_callback(self._sending.discard)

    async def _send(self, starts: list[_Start]) -> None:
        # Checked right before the send: a paused holder has no authority.
        if not self.authorised():
            _settle(starts, Err(StartFailure.NOT_STARTED))
            return
        message = StartTasks(
            tasks=[start.spec for start in starts],
            epoch=self.lease.epoch,
            sequence=self.lease.sequence,
        )
        outcome = await self._ports.transport.call(
            self.instance.address,
            message,
            _START_TIMEOUT,
        )
        if outcome == Err(CallFailure.NOT_SENT):
            _settle(starts, Err(StartFailure.NOT_STARTED))
        elif isinstance(outcome, Ok):
            self._take_answer(starts, outcome.ok_value)
        else:
            self._ask_later(starts)
            _settle(starts, Err(StartFailure.UNSURE))

    def _ask_later(self, starts: list[_Start]) -> None:
        """Have the next renewal settle what may have been started."""
        tasks = [start.spec.key for start in starts if not start.spec.marker]
        self.pending.settle.update(tasks)

    def _take_answer(self, starts: list[_Start], answer: Message) -> None:
        if not isinstance(answer, TaskReports):
            _settle(starts, Err(StartFailure.NOT_STARTED))
            return
        for start, report in zip(starts, answer.tasks, strict=True):
            matches = self._invariants.hold(
                report.key == start.spec.key,
                Invariant.ANSWER_MATCHES,
                expected=start.spec.key,
                got=report.key,
            )
            outcome: Result[TaskReport, StartFailure] = (
                Ok(report) if matches else Err(StartFailure.UNSURE)
            )
            _settle([start], outcome)


def is_refused(report: TaskReport) -> bool:
    """Tell whether a start was refused.

    A refusal is of the one message that asked; it says nothing of others.
    """
    return report.state is TaskState.REFUSED


def _settle(
    starts: list[_Start],
    outcome: Result[TaskReport, StartFailure],
) -> None:
    for start in starts:
        if not start.done.done():
            start.done.set_result(outcome)
