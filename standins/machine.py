"""State machine of a worker, with the behaviour in docs/ASSUMPTIONS.md.

The stand-in process and the in-memory fake share it. It keeps a journal from
which tests check the guarantees.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable
from functools import singledispatchmethod
from typing import NamedTuple

import json5
import msgspec

from orchidrail.resources import NOTHING, Resources
from orchidrail.types import (
    FINAL_TASK_STATES,
    Epoch,
    JobId,
    RefusalCode,
    SchedulerId,
    Seconds,
    TaskAction,
    TaskId,
    TaskState,
    WorkerId,
)
from orchidrail.wire.messages import (
    Ack,
    AcquireLease,
    ControlTask,
    FenceJob,
    Hello,
    KeepMarkers,
    LeaseGranted,
    LeaseRenewed,
    Message,
    Refusal,
    ReleaseLease,
    RenewLease,
    SettleTasks,
    StartTask,
    StartTasks,
    TaskReport,
    TaskReports,
    TaskSpec,
)

#: Number of renewals for which a start stays acceptable after its own.
_SEQUENCE_WINDOW = 3


class JournalEntry(NamedTuple):
    """One start or end that took place on the worker."""

    event: str
    worker: WorkerId
    boot: str
    task: TaskId
    tenant: str
    class_name: str
    job: JobId
    payload: str
    state: str
    at: Seconds


class Behaviour(msgspec.Struct):
    """Faults that a test can switch on."""

    fail_everything: bool = False
    slow_factor: float = 1


class _Entry:
    """A task or marker in the worker's memory."""

    def __init__(self, spec: TaskSpec, state: TaskState) -> None:
        self.spec = spec
        self.state = state
        self.answer = ''
        self.checkpoint = spec.checkpoint
        self.renewed_at: Seconds = 0
        self.ended = asyncio.Event()
        self.runner: asyncio.Task[None] | None = None

    def report(self) -> TaskReport:
        """Return the report that is sent to a scheduler."""
        running = self.state is TaskState.RUNNING
        return TaskReport(
            key=self.spec.key,
            state=self.state,
            answer=self.answer,
            note=self.spec.note,
            checkpoint=self.checkpoint,
            job=self.spec.job,
            generation=self.spec.generation,
            size=self.spec.size,
            used=self.spec.size if running else NOTHING,
            tenant=self.spec.tenant,
            class_name=self.spec.class_name,
        )


def answer_for(payload: str) -> str:
    """Return the complete response expected for a payload."""
    return hashlib.sha256(payload.encode()).hexdigest()


class Plan(msgspec.Struct):
    """Actions of a stand-in task, parsed from its payload."""

    seconds: float = 0.01
    fail: bool = False


def _plan_of(payload: str) -> Plan:
    try:
        return msgspec.convert(json5.loads(payload), Plan, strict=False)
    except (ValueError, msgspec.ValidationError):
        return Plan()


class WorkerMachine:
    """One worker.

    Parameters
    ----------
    name : WorkerId
        Id of the worker in the instance list.
    capacity : Resources
        Resources that it offers.
    clock : callable
        Monotonic clock, seconds.
    boot : str
        Id of this start of the worker, which begins with empty memory.
    first_epoch : int
        Initial epoch, higher than any epoch of a previous start.
    """

    def __init__(
        self,
        name: WorkerId,
        capacity: Resources,
        clock: Callable[[], Seconds],
        boot: str,
        first_epoch: int = 0,
    ) -> None:
        """Start with empty memory and no lease holder."""
        self.name = name
        self.capacity = capacity
        self.boot = boot
        self.leaving = False
        self.behaviour = Behaviour()
        self.journal: list[JournalEntry] = []
        self.faults: list[str] = []
        self._clock = clock
        self._holder: SchedulerId | None = None
        self._epoch = Epoch(first_epoch)
        self._sequence = 0
        self._lease_end: Seconds = 0
        self._entry_by_key: dict[TaskId, _Entry] = {}
        self._reported_at_by_key: dict[TaskId, int] = {}
        self._generation_by_job: dict[JobId, int] = {}

    @property
    def running(self) -> list[TaskSpec]:
        """The running tasks."""
        return [
            entry.spec
            for entry in self._entry_by_key.values()
            if entry.state is TaskState.RUNNING
        ]

    async def handle(self, message: Message) -> Message:
        """Handle one message, as the agent of a real worker would."""
        self.expire()
        answer = self._answer(message)
        if isinstance(message, StartTask) and message.wait:
            return await self._wait(message.task.key, answer)
        return answer

    def expire(self) -> None:
        """Stop the tasks whose leases have expired."""
        now = self._clock()
        for entry in list(self._entry_by_key.values()):
            lapsed = now > entry.renewed_at + entry.spec.ttl
            if entry.state is TaskState.RUNNING and lapsed:
                self._end(entry, TaskState.STOPPED)

    def finish(self, key: TaskId) -> None:
        """Finish a task immediately."""
        self._end(self._entry_by_key[key], TaskState.FINISHED)

    def forget(self, key: TaskId) -> None:
        """Forget a task immediately."""
        self._forget([key])

    def lapse(self) -> None:
        """Expire the worker's lease immediately."""
        self._lease_end = 0

    def power_off(self) -> None:
        """Stop all tasks immediately, as a failed instance would."""
        for entry in self._entry_by_key.values():
            if entry.state is TaskState.RUNNING:
                self._end(entry, TaskState.STOPPED)

    @singledispatchmethod
    def _answer(self, message: Message) -> Message:
        detail = f'a worker does not take {type(message).__name__!r}'
        return Refusal(code=RefusalCode.INVALID, detail=detail)

    @_answer.register
    def _(self, _message: Hello) -> Message:
        return Ack()

    @_answer.register
    def _(self, message: AcquireLease) -> Message:
        now = self._clock()
        if now < self._lease_end and self._holder != message.holder:
            return Refusal(
                code=RefusalCode.HELD_BY_OTHER,
                detail=str(self._holder),
                retry_after=self._lease_end - now,
            )
        self._epoch = Epoch(self._epoch + 1)
        self._holder = message.holder
        self._sequence = 1
        self._lease_end = now + message.ttl
        self._reported_at_by_key.clear()
        return LeaseGranted(
            epoch=self._epoch,
            sequence=1,
            boot=self.boot,
            capacity=self.capacity,
            tasks=[entry.report() for entry in self._entry_by_key.values()],
        )

    @_answer.register
    def _(self, message: RenewLease) -> Message:
        refusal = self._check_epoch(message.epoch)
        if refusal is not None:
            return refusal
        if message.sequence < self._sequence:
            return Refusal(code=RefusalCode.INVALID, detail='old renewal')
        self._sequence = message.sequence
        self._lease_end = self._clock() + message.ttl
        self._renew_jobs()
        self._stop(message.stop)
        report_by_key = self.settle(message.settle)
        report_by_key.update(self._unconfirmed_ends(message.sequence))
        self._forget(message.forget)
        return LeaseRenewed(
            sequence=message.sequence,
            tasks=list(report_by_key.values()),
            used=self._used(),
            leaving=self.leaving,
        )

    @_answer.register
    def _(self, message: ReleaseLease) -> Message:
        if message.epoch == self._epoch:
            self._lease_end = 0
        return Ack()

    @_answer.register
    def _(self, message: StartTask) -> Message:
        return self._start(message.task, message.epoch, message.sequence)

    @_answer.register
    def _(self, message: StartTasks) -> Message:
        reports = []
        for task in message.tasks:
            answer = self._start(task, message.epoch, message.sequence)
            reports.append(_as_report(task, answer))
        return TaskReports(tasks=reports, boot=self.boot)

    @_answer.register
    def _(self, message: ControlTask) -> Message:
        refusal = self._check_epoch(message.epoch)
        entry = self._entry_by_key.get(message.key)
        if refusal is not None:
            return refusal
        if entry is None:
            return self.settle([message.key])[message.key]
        if message.action is TaskAction.CHECKPOINT:
            entry.checkpoint = f'at {self._clock():.3f}'
        if message.action is TaskAction.STOP:
            self._stop([message.key])
        return entry.report()

    @_answer.register
    def _(self, message: SettleTasks) -> Message:
        if message.boot != self.boot:
            return Refusal(code=RefusalCode.UNKNOWN, detail='restarted')
        return TaskReports(
            tasks=list(self.settle(message.keys).values()), boot=self.boot
        )

    @_answer.register
    def _(self, message: FenceJob) -> Message:
        if message.boot not in {'', self.boot}:
            return Refusal(code=RefusalCode.UNKNOWN, detail='restarted')
        known = self._generation_by_job.get(message.job, 0)
        self._generation_by_job[message.job] = max(known, message.generation)
        found = [
            entry.report()
            for entry in self._entry_by_key.values()
            if entry.spec.job == message.job
        ]
        return TaskReports(tasks=found, boot=self.boot)

    @_answer.register
    def _(self, message: KeepMarkers) -> Message:
        if message.boot != self.boot:
            return Refusal(code=RefusalCode.UNKNOWN, detail='restarted')
        reports = [
            _as_report(task, self._put_marker(task)) for task in message.tasks
        ]
        return TaskReports(tasks=reports, boot=self.boot)

    def _check_epoch(self, epoch: Epoch) -> Refusal | None:
        if epoch != self._epoch:
            detail = f'expected epoch {self._epoch!r}, got {epoch!r}'
            return Refusal(code=RefusalCode.STALE_EPOCH, detail=detail)
        if self._clock() >= self._lease_end:
            return Refusal(code=RefusalCode.LEASE_LAPSED)
        return None

    def _start(self, spec: TaskSpec, epoch: Epoch, sequence: int) -> Message:
        known = self._entry_by_key.get(spec.key)
        if known is not None:
            return known.report()
        refusal = (
            self._check_epoch(epoch)
            or self._check_sequence(sequence)
            or self._check_generation(spec)
        )
        if refusal is not None:
            return refusal
        if self.leaving and not spec.marker:
            return Refusal(code=RefusalCode.LEAVING)
        return self._run(spec)

    def _check_generation(self, spec: TaskSpec) -> Refusal | None:
        if spec.generation < self._generation_by_job.get(spec.job, 0):
            return Refusal(code=RefusalCode.FENCED, detail=spec.job)
        return None

    def _put_marker(self, spec: TaskSpec) -> Message:
        known = self._entry_by_key.get(spec.key)
        if known is not None:
            return known.report()
        if not spec.marker:
            return Refusal(code=RefusalCode.INVALID, detail='not a marker')
        return self._check_generation(spec) or self._run(spec)

    def _check_sequence(self, sequence: int) -> Refusal | None:
        if sequence + _SEQUENCE_WINDOW < self._sequence:
            return Refusal(code=RefusalCode.LEASE_LAPSED, detail='old start')
        return None

    def _run(self, spec: TaskSpec) -> Message:
        entry = _Entry(spec, TaskState.RUNNING)
        entry.renewed_at = self._clock()
        self._entry_by_key[spec.key] = entry
        if spec.marker:
            entry.state = TaskState.MARKER
            return entry.report()
        self._record('start', entry)
        if not self._used().fits(self.capacity):
            self.faults.append(f'{self.name} over capacity by {spec.key}')
        if self.behaviour.fail_everything:
            self._end(entry, TaskState.FAILED)
            return entry.report()
        entry.runner = asyncio.create_task(self._work(entry))
        return entry.report()

    async def _work(self, entry: _Entry) -> None:
        plan = _plan_of(entry.spec.payload)
        await asyncio.sleep(plan.seconds * self.behaviour.slow_factor)
        if entry.state is TaskState.RUNNING:
            done = TaskState.FAILED if plan.fail else TaskState.FINISHED
            entry.answer = answer_for(entry.spec.payload)
            self._end(entry, done)

    def _end(self, entry: _Entry, state: TaskState) -> None:
        entry.state = state
        self._reported_at_by_key[entry.spec.key] = 0
        entry.ended.set()
        self._record('end', entry)
        if entry.runner is not None and state is TaskState.STOPPED:
            entry.runner.cancel()

    def _record(self, event: str, entry: _Entry) -> None:
        spec = entry.spec
        self.journal.append(
            JournalEntry(
                event,
                self.name,
                self.boot,
                spec.key,
                spec.tenant,
                spec.class_name,
                spec.job,
                spec.payload,
                entry.state.value,
                self._clock(),
            ),
        )

    async def _wait(self, key: TaskId, answer: Message) -> Message:
        entry = self._entry_by_key.get(key)
        if entry is None or entry.state is not TaskState.RUNNING:
            return answer
        await entry.ended.wait()
        return entry.report()

    def _renew_jobs(self) -> None:
        now = self._clock()
        for entry in self._entry_by_key.values():
            if entry.spec.job:
                entry.renewed_at = now

    def _stop(self, keys: list[TaskId]) -> None:
        for key in keys:
            entry = self._entry_by_key.get(key)
            if entry is not None and entry.state is TaskState.RUNNING:
                entry.checkpoint = f'at {self._clock():.3f}'
                self._end(entry, TaskState.STOPPED)

    def settle(self, keys: list[TaskId]) -> dict[TaskId, TaskReport]:
        """Report tasks; unknown ones are marked as never to be started."""
        report_by_key = {}
        for key in keys:
            if key not in self._entry_by_key:
                spec = TaskSpec(key=key, tenant='', class_name='')  # type: ignore[arg-type]
                tombstone = _Entry(spec, TaskState.NEVER_STARTED)
                self._entry_by_key[key] = tombstone
            report_by_key[key] = self._entry_by_key[key].report()
        return report_by_key

    def _unconfirmed_ends(self, sequence: int) -> dict[TaskId, TaskReport]:
        """Return the ends whose receipt by the holder is not confirmed.

        A renewal with a higher sequence confirms the previous response.
        """
        report_by_key = {}
        for key, reported_at in list(self._reported_at_by_key.items()):
            entry = self._entry_by_key.get(key)
            if entry is None or 0 < reported_at < sequence:
                self._reported_at_by_key.pop(key)
                continue
            self._reported_at_by_key[key] = reported_at or sequence
            report_by_key[key] = entry.report()
        return report_by_key

    def _forget(self, keys: list[TaskId]) -> None:
        for key in keys:
            self._reported_at_by_key.pop(key, None)
            entry = self._entry_by_key.get(key)
            # Ended short requests are kept to answer repeated keys.
            if entry is not None and _may_be_forgotten(entry):
                self._entry_by_key.pop(key)

    def _used(self) -> Resources:
        used = NOTHING
        for spec in self.running:
            used = used + spec.size
        return used


def _may_be_forgotten(entry: _Entry) -> bool:
    if entry.state is TaskState.RUNNING:
        return False
    return bool(entry.spec.job) or entry.state is TaskState.MARKER


def _as_report(task: TaskSpec, answer: Message) -> TaskReport:
    if isinstance(answer, TaskReport):
        return answer
    detail = answer.code.value if isinstance(answer, Refusal) else ''
    return TaskReport(key=task.key, state=TaskState.REFUSED, note=detail)


ENDED = FINAL_TASK_STATES
