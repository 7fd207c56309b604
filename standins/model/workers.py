"""Workers of the simulated cell, which run tasks in virtual time."""

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
from standins.model.advice import AdviceService, ticket_is_valid
from standins.model.gangs import Gangs, Member
from standins.model.load import (
    SERVICE,
    TRAFFIC_START,
    WARM_UP,
    CellLoad,
    DrawnJob,
    Shrinkage,
    step_tasks,
)
from standins.model.run_history import RunHistory
from standins.model.tenants import LimitChecker
from standins.model.worker import ModelRun, ModelWorker

#: Network latency in one direction, seconds.
_ONE_WAY_LATENCY: Seconds = 0.001
_MILLIS = 1000
#: Range of delays of orders executed late, seconds, as on the users' site.
_LATE_ORDER_DELAY: tuple[Seconds, Seconds] = (2, 12)
#: Error of the wall clock that dates the start of an incarnation, seconds; a
#: later incarnation may thus report an earlier start.
_BORN_SKEW: Seconds = 5.0
#: An entry expires three heartbeats after its last write, seconds.
_ENTRY_TTL: Seconds = 4.5
_HEARTBEAT: Seconds = 1.5
#: Seconds after which starts must respect a changed capacity: the time within
#: which instances must be in contact, plus one heartbeat.
_CAPACITY_CHANGE_GRACE: Seconds = 4.5


class ModelWorkers:
    """All workers of a cell; implements `WorkerCalls`.

    Parameters
    ----------
    load : CellLoad
    random : Random
    find_job : callable
        Returns the drawn job of a job id.
    """

    def __init__(
        self,
        load: CellLoad,
        random: Random,
        find_job: Callable[[str], DrawnJob],
    ) -> None:
        """Start with all workers idle."""
        self._load = load
        self._random = random
        self._find_job = find_job
        self.by_name: dict[WorkerName, ModelWorker] = {}
        self.advice = AdviceService(find_job, _ONE_WAY_LATENCY)
        self.history = RunHistory()
        self.gangs = Gangs(self._begin_work, self._end)
        #: Starts that exceeded the capacity of a worker.
        self.overfull = 0
        #: Called with the worker's zone on each start.
        self.on_start: Callable[[str], object] = _ignore_start
        self.refused_tickets = 0
        #: Starts for a previous incarnation, executed by one that no owner had
        #: contacted: no order could have fenced them off.
        self.late_before_contact = 0
        self.limits = LimitChecker(load.tenants, load.limit_changes, WARM_UP)
        #: Times at which workers crashed.
        self.crashed_at: list[Seconds] = []
        self._ended_incarnations: list[ModelWorker] = []
        #: Writes a worker's entry, or deletes it.
        self.publish: Callable[[WorkerName, WorkerEntry | None], None] = (
            _publish_nothing
        )
        self._restart = load.restart
        self._keeps_names = load.keeps_names
        self._late_share = load.late_share
        self._incarnation_count = 0
        self._current_by_address: dict[Address, ModelWorker] = {}
        for number in range(load.workers):
            slow = random.random() < load.slow_share
            entry = _make_entry(load, number)
            slowness = load.slow_times if slow else 1
            self._add(ModelWorker(entry, slowness))

    def _add(self, worker: ModelWorker) -> None:
        self.by_name[worker.entry.name] = worker
        self._current_by_address[worker.entry.address] = worker

    def shrink_workers(self, shrinkage: Shrinkage) -> None:
        """Reduce the capacity of a share of the workers for a while."""
        loop = asyncio.get_running_loop()
        candidates = list(self._current_by_address.values())
        count = round(shrinkage.share * len(candidates))
        for worker in self._random.sample(candidates, count):
            whole = worker.entry.capacity
            part = Size(*(int(shrinkage.left * one) for one in whole))
            self._resize(worker, part)
            loop.call_later(shrinkage.lasts, self._resize, worker, whole)

    def _resize(self, worker: ModelWorker, new_capacity: Size) -> None:
        """Change a worker's capacity; its entry follows within a heartbeat."""
        loop = asyncio.get_running_loop()
        worker.entry = msgspec.structs.replace(
            worker.entry, capacity=new_capacity
        )
        worker.capacity_since = loop.time()
        name = worker.entry.name
        loop.call_later(
            _HEARTBEAT * self._random.random(),
            lambda: worker.crashed or self.publish(name, worker.entry),
        )

    def choose_workers(self, share: float) -> list[Address]:
        """Choose a random share of the workers."""
        candidates = list(self._current_by_address)
        return self._random.sample(candidates, round(share * len(candidates)))

    @property
    def repeated(self) -> int:
        """Number of acknowledged, done runs that were repeated."""
        incarnations = [
            *self._ended_incarnations,
            *self._current_by_address.values(),
        ]
        acknowledged_runs = set().union(
            *(one.acknowledged for one in incarnations)
        )
        return self.history.repeated(acknowledged_runs)

    def crash_all(
        self,
        addresses: list[Address],
        returns_after: Seconds | None = None,
    ) -> None:
        """Crash workers through no fault of their runs.

        Parameters
        ----------
        returns_after : float, optional
            Seconds until they restart under their previous names.
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
        """Crash a worker with all its runs, and schedule its restart."""
        if worker.crashed:
            return
        self._ended_incarnations.append(worker)
        self.crashed_at.append(_now())
        lost = worker.crash()
        for key in lost:
            self._record_end(key)
        self.history.record_crash(lost, cause)
        for key in lost:
            self.gangs.leave(key, None)
        loop = asyncio.get_running_loop()
        begin_next = self._return if self._keeps_names else self._restart_after
        if returns_after is None:
            loop.call_later(self._restart, begin_next, worker)
        else:
            loop.call_later(returns_after, self._return, worker)
        loop.call_later(
            _ENTRY_TTL - _HEARTBEAT * self._random.random(),
            self._drop_entry,
            worker,
        )

    def _drop_entry(self, worker: ModelWorker) -> None:
        """Delete the entry of a crashed incarnation that was not replaced."""
        name = worker.entry.name
        if self.by_name[name].crashed:
            self.publish(name, None)

    def _restart_after(self, old: ModelWorker) -> None:
        self._incarnation_count += 1
        name = WorkerName(f'{old.entry.address}/{self._incarnation_count}')
        born = round((TRAFFIC_START + _now()) * _MILLIS)
        entry = msgspec.structs.replace(old.entry, name=name, born=born)
        self._add(ModelWorker(entry, old.slowness))
        self.publish(name, entry)

    def _return(self, old: ModelWorker) -> None:
        """Start a new incarnation under the name of a crashed one.

        Its monotonic clock starts from zero. Its entry is written within one
        heartbeat interval.
        """
        loop = asyncio.get_running_loop()
        entry = msgspec.structs.replace(old.entry, born=self._draw_born())
        worker = ModelWorker(entry, old.slowness, -loop.time())
        self._add(worker)
        loop.call_later(
            _HEARTBEAT * self._random.random(),
            lambda: worker.crashed or self.publish(entry.name, entry),
        )

    def _draw_born(self) -> int:
        off = self._random.uniform(-_BORN_SKEW, _BORN_SKEW)
        now = asyncio.get_running_loop().time()
        return round((TRAFFIC_START + now + off) * _MILLIS)

    async def _reach(
        self,
        entry: WorkerEntry,
        timeout: Seconds,
    ) -> ModelWorker | OrderAnswer:
        """Return the incarnation that a call reaches, or the failed result."""
        await asyncio.sleep(_ONE_WAY_LATENCY)
        worker = self._current_by_address[entry.address]
        if asyncio.get_running_loop().time() < worker.unresponsive_until:
            await asyncio.sleep(max(0, timeout - _ONE_WAY_LATENCY))
            return OrderAnswer(OrderResult.UNKNOWN)
        if worker.crashed:
            return OrderAnswer(OrderResult.NOT_SENT)
        if worker.entry.name != entry.name:
            return OrderAnswer(OrderResult.OTHER_INCARNATION)
        return worker

    def make_unresponsive(self, share: float, until: Seconds) -> None:
        """Make a share of the workers stop responding until a time."""
        count = round(share * len(self.by_name))
        for worker in self._random.sample(list(self.by_name.values()), count):
            worker.unresponsive_until = until

    def break_workers(self, share: float, until: Seconds) -> None:
        """Make a share of the workers fail every task until a time."""
        for address in self.choose_workers(share):
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
        if self._maybe_delay(partial(self._start_late, entry, order)):
            await asyncio.sleep(timeout)
            return OrderAnswer(OrderResult.UNKNOWN)
        worker.contacted = True
        answer = self._execute_start(worker, order)
        await asyncio.sleep(_ONE_WAY_LATENCY)
        return answer

    def _maybe_delay(self, execute: Callable[[], object]) -> bool:
        """Draw whether an order is executed late, without a response."""
        if not self._late_share or self._random.random() >= self._late_share:
            return False
        after = self._random.uniform(*_LATE_ORDER_DELAY)
        asyncio.get_running_loop().call_later(after, execute)
        return True

    def _start_late(self, entry: WorkerEntry, order: StartOrder) -> None:
        worker = self._current_by_address[entry.address]
        if worker.crashed or worker.entry.name != entry.name:
            return
        if worker.contacted:
            self._execute_start(worker, order)
        else:
            # No owner could have fenced it off: none has contacted this one.
            self.late_before_contact += 1
            self._execute_start(worker, order, checked=False)

    def _acknowledge_late(self, entry: WorkerEntry, order: HoldOrder) -> None:
        worker = self._current_by_address[entry.address]
        same_name = worker.entry.name == entry.name
        if (
            same_name
            and not worker.crashed
            and worker.accepts_epoch(order.epoch)
        ):
            worker.forget(order.last_seen)

    def _execute_start(
        self,
        worker: ModelWorker,
        order: StartOrder,
        *,
        checked: bool = True,
    ) -> OrderAnswer:
        now = _now()
        clock = worker.clock(now)
        if not worker.accepts_epoch(order.epoch):
            return OrderAnswer(OrderResult.FENCED, clock)
        worker.renew(order.deadline, now)
        if order.key in worker.run_by_key:
            return OrderAnswer(OrderResult.TAKEN, clock)
        rejection = worker.rejection(order, now)
        if rejection is not None:
            return OrderAnswer(rejection, clock)
        job, step, index = self._find_task(order.key)
        if job.queue.advice and not ticket_is_valid(order.ticket, now):
            self.refused_tickets += 1
            return OrderAnswer(OrderResult.NO_TICKET, clock)
        if checked:
            self._check_start(worker, order.key)
        self.limits.start(job.tenant, job.spec.steps[step].size, now)
        # Checkpoints hold the work done as measured on a worker of usual speed.
        saved = float(order.checkpoint or 0)
        duration = (job.work[step][index] - saved) * worker.slowness
        if saved:
            duration += self._load.restore_takes
        self._begin(worker, order.key, job, duration, saved)
        return OrderAnswer(OrderResult.TAKEN, clock)

    def _begin(
        self,
        worker: ModelWorker,
        key: RunKey,
        job: DrawnJob,
        duration: Seconds,
        saved: Seconds,
    ) -> None:
        """Begin a run; a long-running one ends by itself only if it fails."""
        _, step, index = self._find_task(key)
        crashes_after = math.inf
        if (step, index) in job.crashing:
            crashes_after = min(duration, job.queue.crashes_after)
        ending = RunEnding.DONE
        broken = _now() < worker.broken_until or job.hopeless
        if broken or self._random.random() < job.queue.fails:
            ending = RunEnding.FAILED
            duration *= self._random.random()
        elif job.queue.stays is not None:
            duration = math.inf
        run = ModelRun(key, duration, ending, crashes_after, saved)
        worker.run_by_key[key] = run
        spec = job.spec.steps[step]
        if spec.gang:
            self.gangs.join(Member(worker, run), spec.count)
            return
        if math.isfinite(duration):
            run.timer = asyncio.get_running_loop().call_later(
                duration,
                self._end,
                worker,
                key,
                ending,
            )
        self._begin_work(worker, run)

    def _begin_work(self, worker: ModelWorker, run: ModelRun) -> None:
        """Begin the work of a run, and schedule the crash that it causes."""
        loop = asyncio.get_running_loop()
        run.started_at = loop.time()
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
        if not worker.accept_order(epoch):
            return OrderAnswer(OrderResult.FENCED)
        self._begin_stop(worker, key)
        worker.reject(key)
        return OrderAnswer(OrderResult.TAKEN, worker.clock(_now()))

    def _begin_stop(self, worker: ModelWorker, key: RunKey) -> None:
        """Stop a run at once, or within the time that a stop takes."""
        run = worker.run_by_key.get(key)
        if run is None or run.stopping:
            return
        if not self._load.stop_takes:
            self._stop(worker, run)
            return
        run.stopping = True
        asyncio.get_running_loop().call_later(
            self._random.uniform(0, self._load.stop_takes),
            self._stop,
            worker,
            run,
        )

    def _stop(self, worker: ModelWorker, run: ModelRun) -> None:
        if worker.run_by_key.get(run.key) is not run:
            return
        spec = self._spec_of(run.key)
        checkpoint = ''
        if spec.keeps_checkpoint and not spec.gang:
            restore = self._load.restore_takes if run.saved else 0
            worked = max(0, _now() - run.started_at - restore)
            done = run.saved + worked / worker.slowness
            checkpoint = f'{done:.3f}'
        self._end(worker, run.key, RunEnding.STOPPED, checkpoint)

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
        if self._maybe_delay(partial(self._acknowledge_late, entry, order)):
            await asyncio.sleep(timeout)
            return OrderAnswer(OrderResult.UNKNOWN)
        if not worker.accept_order(order.epoch):
            return OrderAnswer(OrderResult.FENCED)
        worker.renew(order.deadline, loop.time())
        worker.forget(order.last_seen)
        if order.wait and not worker.ended:
            worker.changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(order.wait):
                    await worker.changed.wait()
            if worker.crashed:
                # A crash breaks the open connections.
                return OrderAnswer(OrderResult.UNKNOWN)
        listing = worker.listing(loop.time())
        await asyncio.sleep(_ONE_WAY_LATENCY)
        return listing

    def size_of(self, key: RunKey) -> Size:
        """Return the capacity that a run uses on its worker."""
        return self._spec_of(key).charged

    def _spec_of(self, key: RunKey) -> StepSpec:
        job, step, _ = self._find_task(key)
        return job.spec.steps[step]

    def _find_task(self, key: RunKey) -> tuple[DrawnJob, int, int]:
        job_id, _, step, index = key.task.split('.')
        return self._find_job(job_id), int(step), int(index)

    def _end(
        self,
        worker: ModelWorker,
        key: RunKey,
        ending: RunEnding,
        checkpoint: str = '',
    ) -> None:
        if not worker.end(key, ending, checkpoint):
            return
        self._record_end(key)
        if ending is RunEnding.DONE:
            self.history.record_done(key, self._tasks_done_by(key))
        self.gangs.leave(key, ending)

    def _tasks_done_by(self, key: RunKey) -> list[TaskKey]:
        """Return the tasks completed by a run; all members' for a gang."""
        spec = self._spec_of(key)
        step_key = key.task.rpartition('.')[0]
        return step_tasks(step_key, spec) if spec.gang else [key.task]

    def _record_end(self, key: RunKey) -> None:
        self.history.record_end(key, _now())
        job, step, _ = self._find_task(key)
        self.limits.end(job.tenant, job.spec.steps[step].size)

    def _check_start(self, worker: ModelWorker, key: RunKey) -> None:
        """Record a start, and count it if it exceeds the capacity."""
        self.history.record_start(key, worker.entry.worker)
        self.on_start(worker.entry.zone)
        sizes = map(self.size_of, (*worker.run_by_key, key))
        used = sum(sizes, Size())
        checked = _now() - worker.capacity_since > _CAPACITY_CHANGE_GRACE
        if checked and not used.fits(worker.entry.capacity):
            self.overfull += 1


def _now() -> Seconds:
    return asyncio.get_running_loop().time()


def _ignore_start(zone: str) -> None:
    """Ignore a start."""


def _publish_nothing(name: WorkerName, entry: WorkerEntry | None) -> None:
    """Discard the entry: there is no store."""


def _make_entry(load: CellLoad, number: int) -> WorkerEntry:
    name = f'w-{number}'
    return WorkerEntry(
        name=WorkerName(name),
        service=SERVICE,
        address=Address(f'{name}:1'),
        zone=f'zone-{number % 5}',
        capacity=Size(load.cores * 1000, load.megabytes, load.accelerators),
        labels=('kind', f'rack-{number // load.rack}'),
        born=int(TRAFFIC_START * _MILLIS) - number,
    )
