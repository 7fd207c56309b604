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

#: Starts requested within this time are batched into one message.
_START_BATCH_DELAY: Seconds = 0.002
_START_TIMEOUT: Seconds = 1
#: Number of renewals for which a worker accepts a start sent before them.
START_WINDOW = 3


class StartFailure(Enum):
    """Why a start of a task was not confirmed."""

    #: This call has not started the task and will not start it.
    NOT_STARTED = 'notStarted'
    #: The task may have been started.
    UNSURE = 'unsure'


class _PendingStart(NamedTuple):
    spec: TaskSpec
    done: asyncio.Future[Result[TaskReport, StartFailure]]


class Pending:
    """Changes to send to the worker with one of the next lease renewals.

    A task is forgotten only once the worker refuses every start of it that
    may still be in flight: a start is valid for `START_WINDOW` renewals.
    """

    def __init__(self) -> None:
        """Create an empty set of changes."""
        self.settle: set[TaskId] = set()
        self.stop: set[TaskId] = set()
        self.forget: set[TaskId] = set()
        self._requested_at_by_task: dict[TaskId, int] = {}

    def forget_later(self, tasks: Iterable[TaskId], sequence: int) -> None:
        """Have tasks forgotten once no start of them is valid any more.

        Parameters
        ----------
        sequence : int
            Sequence number of the last renewal.
        """
        for task in tasks:
            self._requested_at_by_task.setdefault(task, sequence)

    def take(self, sequence: int) -> Pending:
        """Remove and return the changes to send with renewal `sequence`."""
        taken = Pending()
        taken.settle, self.settle = self.settle, set()
        taken.stop, self.stop = self.stop, set()
        taken.forget = {
            task
            for task, requested_at in self._requested_at_by_task.items()
            if requested_at + START_WINDOW < sequence
        }
        for task in taken.forget:
            self._requested_at_by_task.pop(task)
        return taken

    def put_back(self, taken: Pending) -> None:
        """Keep changes of a failed renewal for a later one."""
        self.settle |= taken.settle
        self.stop |= taken.stop
        self.forget_later(taken.forget, 0)


class HeldWorker:
    """A worker with its lease and its placement state.

    Parameters
    ----------
    instance : Instance
        The worker's entry in the platform's list.
    boot : str
        Boot id of the worker when it granted the lease.
    lease : HeldLease
    place : Place
        Capacity and allocations of the worker, for the engine.
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
        """Create a held worker without pending changes."""
        self.instance = instance
        self.boot = boot
        self.lease = lease
        self.place = place
        self.pending = Pending()
        #: Monotonic time at which the handover of the worker began, if any.
        self.handing_over_since: Seconds | None = None
        self.audited_at = ports.clock()
        self.renew_soon = asyncio.Event()
        self._ports = ports
        self._invariants = invariants
        self._pending_starts: list[_PendingStart] = []
        self._send_tasks: set[asyncio.Task[None]] = set()

    def authorised(self) -> bool:
        """Return whether this scheduler's lease is valid right now."""
        return self.lease.valid(self._ports.clock())

    async def start(self, spec: TaskSpec) -> Result[TaskReport, StartFailure]:
        """Start one task, or place one marker, under the lease.

        Returns
        -------
        Ok with the worker's report, which may be a refusal.
        """
        done = asyncio.get_running_loop().create_future()
        if not self._pending_starts:
            asyncio.get_running_loop().call_later(
                _START_BATCH_DELAY, self._flush
            )
        self._pending_starts.append(_PendingStart(spec, done))
        return await done

    def request_renewal(self) -> None:
        """Request an early renewal that sends the pending changes."""
        self.renew_soon.set()

    def _flush(self) -> None:
        starts = self._pending_starts
        self._pending_starts = []
        sending = asyncio.get_running_loop().create_task(
            self._send_starts(starts)
        )
        self._send_tasks.add(sending)
        sending.add_done_callback(self._send_tasks.discard)

    async def _send_starts(self, starts: list[_PendingStart]) -> None:
        # Checked right before the send: the lease may have expired while
        # this process was paused.
        if not self.authorised():
            _resolve_starts(starts, Err(StartFailure.NOT_STARTED))
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
            _resolve_starts(starts, Err(StartFailure.NOT_STARTED))
        elif isinstance(outcome, Ok):
            self._apply_answer(starts, outcome.ok_value)
        else:
            self._settle_with_renewal(starts)
            _resolve_starts(starts, Err(StartFailure.UNSURE))

    def _settle_with_renewal(self, starts: list[_PendingStart]) -> None:
        """Settle possibly started tasks with the next renewal."""
        tasks = [start.spec.key for start in starts if not start.spec.marker]
        self.pending.settle.update(tasks)

    def _apply_answer(
        self, starts: list[_PendingStart], answer: Message
    ) -> None:
        if not isinstance(answer, TaskReports):
            _resolve_starts(starts, Err(StartFailure.NOT_STARTED))
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
            _resolve_starts([start], outcome)


def is_refused(report: TaskReport) -> bool:
    """Return whether a start was refused.

    A refusal applies to one start message only; others may be accepted.
    """
    return report.state is TaskState.REFUSED


def _resolve_starts(
    starts: list[_PendingStart],
    outcome: Result[TaskReport, StartFailure],
) -> None:
    for start in starts:
        if not start.done.done():
            start.done.set_result(outcome)
