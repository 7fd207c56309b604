"""Workers of the modelled cell: they run tasks in virtual time."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable
from functools import partial
from random import Random

import msgspec

from orchidrail.types import (
    Address,
    Epoch,
    Seconds,
    TaskKey,
    WorkerName,
)
from orchidrail.work.model import StepSpec
from orchidrail.work.size import Size
from orchidrail.workers.port import (
    HoldOrder,
    Listing,
    OrderAnswer,
    OrderResult,
    RunEnding,
    RunKey,
    StartOrder,
    WorkerEntry,
)
from standins.model.advice import AdviceService, ticket_holds
from standins.model.gangs import Gangs, Member
from standins.model.load import (
    LEAD,
    SERVICE,
    TRAFFIC_BEGINS,
    CellLoad,
    DrawnJob,
    Shrinkage,
    step_tasks,
)
from standins.model.run_history import RunHistory
from standins.model.tenants import LimitJudge
from standins.model.worker import ModelRun, ModelWorker

#: One way over the network.
_TRAVELS: Seconds = 0.001
_MILLIS = 1000
#: When orders are carried out that get no answer, as the users' site has it.
_LATE_BY: tuple[Seconds, Seconds] = (2, 12)
#: The time of day by which a life tells its start may be off by this much, so
#: a later life may name an earlier start.
_BORN_OFF: Seconds = 5.0
#: An entry goes after three heartbeats without a write, counted from the last.
_ENTRY_LASTS: Seconds = 4.5
_HEARTBEAT: Seconds = 1.5
#: Time after which starts must heed a room that has changed: the time in which
#: machines must be in touch, and one heartbeat.
_ROOM_HEARD_WITHIN: Seconds = 4.5


class ModelWorkers:
    """All workers of a cell; fits `WorkerCalls`.

    Parameters
    ----------
    load : CellLoad
    random : Random
    find_job : callable
        From a job's id to the job as it was drawn.
    """

    def __init__(
        self,
        load: CellLoad,
        random: Random,
        find_job: Callable[[str], DrawnJob],
    ) -> None:
        """Start with all workers idle."""
        self._random = random
        self._find_job = find_job
        self.by_name: dict[WorkerName, ModelWorker] = {}
        self.advice = AdviceService(find_job, _TRAVELS)
        self.history = RunHistory()
        self.gangs = Gangs(self._set_to_work, self._end)
        #: Starts that took a worker past its room.
        self.overfull = 0
        self.refused_tickets = 0
        #: Starts for an earlier life that were carried out by one which no
        #: owner had met: no order could have made them void.
        self.late_before_met = 0
        self.limits = LimitJudge(load.tenants, load.limit_changes, LEAD)
        #: When workers crashed.
        self.crashed_at: list[Seconds] = []
        self._lives_over: list[ModelWorker] = []
        #: Writes a worker's entry, or takes it away.
        self.publish: Callable[[WorkerName, WorkerEntry | None], None] = (
            _nothing
        )
        self._restart = load.restart
        self._keeps_names = load.keeps_names
        self._late_share = load.late_share
        self._lives = 0
        self._current_by_address: dict[Address, ModelWorker] = {}
        for number in range(load.workers):
            slow = random.random() < load.slow_share
            entry = _make_entry(load, number)
            slowness = load.slow_times if slow else 1
            self._add(ModelWorker(entry, slowness))

    def _add(self, worker: ModelWorker) -> None:
        self.by_name[worker.entry.name] = worker
        self._current_by_address[worker.entry.address] = worker

    def shrink_some(self, shrinkage: Shrinkage) -> None:
        """Let a share of the workers have less room for a while."""
        loop = asyncio.get_running_loop()
        every = list(self._current_by_address.values())
        count = round(shrinkage.share * len(every))
        for worker in self._random.sample(every, count):
            whole = worker.entry.capacity
            part = Size(*(int(shrinkage.left * one) for one in whole))
            self._resize(worker, part)
            loop.call_later(shrinkage.lasts, self._resize, worker, whole)

    def _resize(self, worker: ModelWorker, room: Size) -> None:
        """Change a worker's room, and its entry with the next heartbeat."""
        loop = asyncio.get_running_loop()
        worker.entry = msgspec.structs.replace(worker.entry, capacity=room)
        worker.room_since = loop.time()
        name = worker.entry.name
        loop.call_later(
            _HEARTBEAT * self._random.random(),
            lambda: worker.over or self.publish(name, worker.entry),
        )

    def choose_some(self, share: float) -> list[Address]:
        """Choose a share of the workers."""
        every = list(self._current_by_address)
        return self._random.sample(every, round(share * len(every)))

    @property
    def repeated(self) -> int:
        """Runs followed by another though they were done and acknowledged."""
        lives = [*self._lives_over, *self._current_by_address.values()]
        noted = set().union(*(life.acknowledged for life in lives))
        return self.history.repeated(noted)

    def crash_all(
        self,
        addresses: list[Address],
        returns_after: Seconds | None = None,
    ) -> None:
        """Let workers crash that have nothing to blame.

        Parameters
        ----------
        returns_after : float, optional
            Seconds until they start again under the names that they had.
        """
        for address in addresses:
            worker = self._current_by_address[address]
            self._crash(worker, None, returns_after)

    def _crash(
        self,
        worker: ModelWorker,
        cause: RunKey | None,
        returns_after: Seconds | None = None,
    ) -> None:
        """End a worker's life with all that runs there; it will be back."""
        if worker.over:
            return
        self._lives_over.append(worker)
        self.crashed_at.append(_now())
        lost = worker.crash()
        for key in lost:
            self._note_over(key)
        self.history.note_crash(lost, cause)
        for key in lost:
            self.gangs.leave(key, None)
        loop = asyncio.get_running_loop()
        begin_next = self._return if self._keeps_names else self._restart_after
        if returns_after is None:
            loop.call_later(self._restart, begin_next, worker)
        else:
            loop.call_later(returns_after, self._return, worker)
        loop.call_later(
            _ENTRY_LASTS - _HEARTBEAT * self._random.random(),
            self._drop_entry,
            worker,
        )

    def _drop_entry(self, worker: ModelWorker) -> None:
        """Take away the entry of a life that is over, if it is still there."""
        name = worker.entry.name
        if self.by_name[name].over:
            self.publish(name, None)

    def _restart_after(self, old: ModelWorker) -> None:
        self._lives += 1
        name = WorkerName(f'{old.entry.address}/{self._lives}')
        born = round((TRAFFIC_BEGINS + _now()) * _MILLIS)
        entry = msgspec.structs.replace(old.entry, name=name, born=born)
        self._add(ModelWorker(entry, old.slowness))
        self.publish(name, entry)

    def _return(self, old: ModelWorker) -> None:
        """Begin a life under the name of one that is over.

        Its clock starts anew. Its entry is written at some time before the
        heartbeat after that.
        """
        loop = asyncio.get_running_loop()
        entry = msgspec.structs.replace(old.entry, born=self._draw_born())
        worker = ModelWorker(entry, old.slowness, -loop.time())
        self._add(worker)
        loop.call_later(
            _HEARTBEAT * self._random.random(),
            lambda: worker.over or self.publish(entry.name, entry),
        )

    def _draw_born(self) -> int:
        off = self._random.uniform(-_BORN_OFF, _BORN_OFF)
        now = asyncio.get_running_loop().time()
        return round((TRAFFIC_BEGINS + now + off) * _MILLIS)

    async def _reach(
        self,
        entry: WorkerEntry,
        timeout: Seconds,
    ) -> ModelWorker | OrderAnswer:
        """Return the life that a call finds, or what comes of the call."""
        await asyncio.sleep(_TRAVELS)
        worker = self._current_by_address[entry.address]
        if asyncio.get_running_loop().time() < worker.silent_until:
            await asyncio.sleep(max(0, timeout - _TRAVELS))
            return OrderAnswer(OrderResult.UNKNOWN)
        if worker.over:
            return OrderAnswer(OrderResult.NOT_SENT)
        if worker.entry.name != entry.name:
            return OrderAnswer(OrderResult.OTHER_INCARNATION)
        return worker

    def silence(self, share: float, until: Seconds) -> None:
        """Let a share of the workers answer nothing for a while."""
        count = round(share * len(self.by_name))
        for worker in self._random.sample(list(self.by_name.values()), count):
            worker.silent_until = until

    def break_some(self, share: float, until: Seconds) -> None:
        """Let a share of the workers fail all that they start for a while."""
        for address in self.choose_some(share):
            self._current_by_address[address].broken_until = until

    async def start(
        self,
        entry: WorkerEntry,
        order: StartOrder,
        timeout: Seconds,
    ) -> OrderAnswer:
        """See `WorkerCalls.start`."""
        worker = await self._reach(entry, timeout)
        if isinstance(worker, OrderAnswer):
            return worker
        if worker.entry.born != entry.born:
            return OrderAnswer(OrderResult.OTHER_INCARNATION)
        if self._is_late(partial(self._start_late, entry, order)):
            await asyncio.sleep(timeout)
            return OrderAnswer(OrderResult.UNKNOWN)
        worker.met = True
        answer = self._carry_out(worker, order)
        await asyncio.sleep(_TRAVELS)
        return answer

    def _is_late(self, carry_out: Callable[[], object]) -> bool:
        """Draw whether an order is carried out later, and unanswered."""
        if not self._late_share or self._random.random() >= self._late_share:
            return False
        after = self._random.uniform(*_LATE_BY)
        asyncio.get_running_loop().call_later(after, carry_out)
        return True

    def _start_late(self, entry: WorkerEntry, order: StartOrder) -> None:
        worker = self._current_by_address[entry.address]
        if worker.over or worker.entry.name != entry.name:
            return
        if worker.met:
            self._carry_out(worker, order)
        else:
            # No owner can have kept it out: nobody has heard of this life yet.
            self.late_before_met += 1
            self._carry_out(worker, order, judged=False)

    def _acknowledge_late(self, entry: WorkerEntry, order: HoldOrder) -> None:
        worker = self._current_by_address[entry.address]
        same_name = worker.entry.name == entry.name
        if same_name and not worker.over and worker.heeds(order.epoch):
            worker.forget(order.last_seen)

    def _carry_out(
        self,
        worker: ModelWorker,
        order: StartOrder,
        *,
        judged: bool = True,
    ) -> OrderAnswer:
        now = _now()
        clock = worker.clock(now)
        if not worker.heeds(order.epoch):
            return OrderAnswer(OrderResult.FENCED, clock)
        worker.renew(order.deadline, now)
        if order.key in worker.run_by_key:
            return OrderAnswer(OrderResult.TAKEN, clock)
        refusal = worker.refusal(order, now)
        if refusal is not None:
            return OrderAnswer(refusal, clock)
        job, step, index = self._drawn(order.key)
        if job.queue.advice and not ticket_holds(order.ticket, now):
            self.refused_tickets += 1
            return OrderAnswer(OrderResult.NO_TICKET, clock)
        if judged:
            self._judge(worker, order.key)
        self.limits.start(job.tenant, job.spec.steps[step].size, now)
        takes = job.work[step][index] * worker.slowness
        self._begin(worker, order.key, job, takes)
        return OrderAnswer(OrderResult.TAKEN, clock)

    def _begin(
        self,
        worker: ModelWorker,
        key: RunKey,
        job: DrawnJob,
        takes: Seconds,
    ) -> None:
        """Begin a run; one that lasts ends by itself only if it fails."""
        _, step, index = self._drawn(key)
        crashes_after = math.inf
        if (step, index) in job.crashing:
            crashes_after = min(takes, job.queue.crashes_after)
        ending = RunEnding.DONE
        broken = _now() < worker.broken_until or job.hopeless
        if broken or self._random.random() < job.queue.fails:
            ending = RunEnding.FAILED
            takes *= self._random.random()
        elif job.queue.stays is not None:
            takes = math.inf
        run = ModelRun(key, takes, ending, crashes_after)
        worker.run_by_key[key] = run
        spec = job.spec.steps[step]
        if spec.gang:
            self.gangs.join(Member(worker, run), spec.count)
            return
        if math.isfinite(takes):
            run.timer = asyncio.get_running_loop().call_later(
                takes,
                self._end,
                worker,
                key,
                ending,
            )
        self._set_to_work(worker, run)

    def _set_to_work(self, worker: ModelWorker, run: ModelRun) -> None:
        """Have a run work; it may crash its worker."""
        loop = asyncio.get_running_loop()
        run.began = loop.time()
        if math.isfinite(run.crashes_after):
            loop.call_later(run.crashes_after, self._crash, worker, run.key)

    async def stop(
        self,
        entry: WorkerEntry,
        key: RunKey,
        epoch: Epoch,
        timeout: Seconds,
    ) -> OrderAnswer:
        """See `WorkerCalls.stop`."""
        worker = await self._reach(entry, timeout)
        if isinstance(worker, OrderAnswer):
            return worker
        if not worker.meet(epoch):
            return OrderAnswer(OrderResult.FENCED)
        self._end(worker, key, RunEnding.STOPPED)
        worker.reject(key)
        return OrderAnswer(OrderResult.TAKEN, worker.clock(_now()))

    async def hold(
        self,
        entry: WorkerEntry,
        order: HoldOrder,
        timeout: Seconds,
    ) -> Listing | OrderAnswer:
        """See `WorkerCalls.hold`."""
        loop = asyncio.get_running_loop()
        worker = await self._reach(entry, timeout)
        if isinstance(worker, OrderAnswer):
            return worker
        if self._is_late(partial(self._acknowledge_late, entry, order)):
            await asyncio.sleep(timeout)
            return OrderAnswer(OrderResult.UNKNOWN)
        if not worker.meet(order.epoch):
            return OrderAnswer(OrderResult.FENCED)
        worker.renew(order.deadline, loop.time())
        worker.forget(order.last_seen)
        if order.wait and not worker.ended:
            worker.changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(order.wait):
                    await worker.changed.wait()
            if worker.over:
                # Its open connections break.
                return OrderAnswer(OrderResult.UNKNOWN)
        listing = worker.listing(loop.time())
        await asyncio.sleep(_TRAVELS)
        return listing

    def size_of(self, key: RunKey) -> Size:
        """Return the room that a run takes from its worker."""
        return self._spec_of(key).charged

    def _spec_of(self, key: RunKey) -> StepSpec:
        job, step, _ = self._drawn(key)
        return job.spec.steps[step]

    def _drawn(self, key: RunKey) -> tuple[DrawnJob, int, int]:
        job_id, _, step, index = key.task.split('.')
        return self._find_job(job_id), int(step), int(index)

    def _end(
        self,
        worker: ModelWorker,
        key: RunKey,
        ending: RunEnding,
    ) -> None:
        if not worker.end(key, ending):
            return
        self._note_over(key)
        if ending is RunEnding.DONE:
            self.history.note_done(key, self._tasks_done_by(key))
        self.gangs.leave(key, ending)

    def _tasks_done_by(self, key: RunKey) -> list[TaskKey]:
        """Return the tasks that are done if one is: of a gang all members."""
        spec = self._spec_of(key)
        step_key = key.task.rpartition('.')[0]
        return step_tasks(step_key, spec) if spec.gang else [key.task]

    def _note_over(self, key: RunKey) -> None:
        self.history.note_over(key, _now())
        job, step, _ = self._drawn(key)
        self.limits.end(job.tenant, job.spec.steps[step].size)

    def _judge(self, worker: ModelWorker, key: RunKey) -> None:
        """Count starts that break a promise."""
        self.history.note_start(key, worker.entry.worker)
        sizes = map(self.size_of, (*worker.run_by_key, key))
        used = sum(sizes, Size())
        judged = _now() - worker.room_since > _ROOM_HEARD_WITHIN
        if judged and not used.fits(worker.entry.capacity):
            self.overfull += 1


def _now() -> Seconds:
    return asyncio.get_running_loop().time()


def _nothing(name: WorkerName, entry: WorkerEntry | None) -> None:
    """Have no store to write to."""


def _make_entry(load: CellLoad, number: int) -> WorkerEntry:
    name = f'w-{number}'
    return WorkerEntry(
        name=WorkerName(name),
        service=SERVICE,
        address=Address(f'{name}:1'),
        zone=f'zone-{number % 5}',
        capacity=Size(load.cores * 1000, load.megabytes, load.accelerators),
        labels=('kind', f'rack-{number // load.rack}'),
        born=int(TRAFFIC_BEGINS * _MILLIS) - number,
    )
