"""One simulated day of a cell: a real owner, drawn jobs, evaluated outcome."""

from __future__ import annotations

import asyncio
import itertools
import math
import statistics
import time
from collections.abc import Iterator
from contextlib import AsyncExitStack
from functools import partial
from random import Random

import msgspec
import structlog
from result import Ok, Result

from orchidrail.journal import JournalView
from orchidrail.journal.writer import take_over
from orchidrail.metrics import InstanceMetrics
from orchidrail.shard.owner import OwnerPorts, ShardOwner
from orchidrail.store import Topic
from orchidrail.store.memory import MemoryStore
from orchidrail.store.port import AppendOutcome, KeyedRecord
from orchidrail.types import (
    Address,
    Epoch,
    InstanceId,
    JobId,
    Offset,
    Seconds,
    TenantId,
    WorkerName,
)
from orchidrail.work.job import Job
from orchidrail.work.model import MemberInfo
from orchidrail.work.size import Size
from orchidrail.work.tenant import Tenant
from orchidrail.workers.entry_errors import InvalidEntry
from orchidrail.workers.port import WorkerEntry
from standins.model.evaluation import (
    EndedJob,
    Outcome,
    earned_share,
    score_tenants,
    summarize_crashes,
    summarize_queues,
)
from standins.model.gangs import GANG_WAIT, LoneEnd
from standins.model.lasting import (
    CAPACITY_FREE_FOR,
    FAULT_FREE_BEFORE,
    LastingWatch,
)
from standins.model.liveness import LivenessWatch
from standins.model.load import (
    TRAFFIC_START,
    WARM_UP,
    Breakage,
    CellLoad,
    Crashes,
    DrawnJob,
    Outage,
    Shrinkage,
    draw_jobs,
)
from standins.model.loop import run_in_virtual_time
from standins.model.starvation import MAX_WAIT, StarvationWatch
from standins.model.workers import ModelWorkers

_ME = MemberInfo(InstanceId('me'), Address('me:1'), 'zone', 'me-1')
#: Seconds after the traffic in which jobs may still end.
_DRAIN_PERIOD: Seconds = 30
#: Longer than any simulated day.
_STATUS_KEPT: Seconds = 600
_SAMPLE_INTERVAL: Seconds = 0.25
_WATCH_INTERVAL: Seconds = 0.01
#: Seconds without any fault that must precede a lone member's end.
_FAULT_FREE_BEFORE_LONE_END: Seconds = FAULT_FREE_BEFORE + GANG_WAIT
#: Submissions of one job by its caller: the first and four more.
_MAX_SUBMISSIONS = 5
_CALLER_TIMEOUT: Seconds = 3.0
_TOPIC = Topic('workers')

_decode_entry = msgspec.msgpack.Decoder(WorkerEntry).decode


def _decode(key: str, raw: bytes) -> Result[WorkerEntry, InvalidEntry]:
    return Ok(_decode_entry(raw))


class _TimedStore(MemoryStore):
    """A store whose appends take a fixed time, seconds."""

    def __init__(self, append_time: Seconds) -> None:
        super().__init__()
        self._append_time = append_time

    async def append(
        self,
        topic: Topic,
        records: list[KeyedRecord],
        expected_end: Offset | None = None,
    ) -> AppendOutcome:
        """See `StoreLog.append`."""
        if self._append_time:
            await asyncio.sleep(self._append_time)
        return await super().append(topic, records, expected_end)


class CellModel:
    """Simulates one day.

    Parameters
    ----------
    load : CellLoad
    seed : int
    """

    def __init__(self, load: CellLoad, seed: int) -> None:
        """Draw the day's jobs."""
        random = Random(seed)
        self._load = load
        self._drawn_by_id = {
            f'{number:016x}': job
            for number, job in enumerate(draw_jobs(load, random))
        }
        self.workers = ModelWorkers(
            load,
            random,
            self._drawn_by_id.__getitem__,
        )
        self._ended_by_id: dict[str, EndedJob] = {}
        self.liveness = LivenessWatch()
        self.lasting = LastingWatch(self.workers)
        self.starvation = StarvationWatch(self.workers)
        #: Accepted jobs that have neither ended nor been cancelled.
        self._open_by_id: dict[JobId, DrawnJob] = {}
        #: Accepted jobs with long-running tasks that were not cancelled.
        self._lasting_by_id: dict[JobId, DrawnJob] = {}
        self._faults = sorted(_fault_spans(load))
        #: Submissions refused with a time to return.
        self._refused = 0
        self._busy: list[float] = []
        self._idle_waiting: list[float] = []

    def play(self) -> Outcome:
        """Simulate the day and evaluate it; log lines are discarded."""
        structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
        started_at = time.process_time()
        try:
            run_in_virtual_time(self._simulate())
        finally:
            structlog.reset_defaults()
        return self._evaluate(time.process_time() - started_at)

    async def _simulate(self) -> None:
        owner = await self._take_over()
        async with AsyncExitStack() as stack:
            coroutines = (
                owner.run(),
                self._sample(owner),
                self._watch(owner),
                self._watch_liveness(owner),
                self._run_outages(),
                self._run_crashes(),
                self._run_shrinkages(),
                self._run_breakages(),
            )
            for coroutine in coroutines:
                stack.callback(asyncio.create_task(coroutine).cancel)
            await asyncio.sleep(WARM_UP)
            callers = [
                asyncio.create_task(self._submit(owner, job_id, drawn))
                for job_id, drawn in self._drawn_by_id.items()
            ]
            await asyncio.sleep(self._load.lasts + _DRAIN_PERIOD)
            for caller in callers:
                caller.cancel()

    async def _take_over(self) -> ShardOwner:
        loop = asyncio.get_running_loop()
        store = _TimedStore(self._load.append_takes)
        entries = [
            KeyedRecord(name, msgspec.msgpack.encode(one.entry))
            for name, one in self.workers.by_name.items()
        ]
        await store.append(_TOPIC, entries)
        self.workers.publish = partial(_publish, store)
        view = JournalView(store, Topic('journal'))
        writer = await take_over(view, _ME, loop.time, Epoch(0))
        owner = ShardOwner(
            writer,
            OwnerPorts(
                worker_view=JournalView(store, _TOPIC),
                worker_calls=self.workers,
                decode_entry=_decode,
                ask=self.workers.advice.ask,
                clock=loop.time,
                wall_clock=_wall_clock,
                store_unreachable=bool,
                longest_lease=6,
                stop_takes=0,
                status_kept=_STATUS_KEPT,
                metrics=InstanceMetrics(),
                find_tenant=self._find_tenant,
            ),
        )
        lanes = range(self._load.lanes)
        owner.set_advice_lanes([InstanceId(f'lane-{lane}') for lane in lanes])
        return owner

    async def _submit(
        self,
        owner: ShardOwner,
        job_id: str,
        drawn: DrawnJob,
    ) -> None:
        await asyncio.sleep(drawn.arrives_at)
        typed_id = JobId(job_id)
        if await self._submit_until_accepted(owner, typed_id, drawn):
            self._open_by_id[typed_id] = drawn
            if drawn.cancelled_after is not None:
                self._lasting_by_id[typed_id] = drawn
        if drawn.cancelled_after is not None:
            await asyncio.sleep(drawn.cancelled_after)
            self._lasting_by_id.pop(typed_id, None)
            self._open_by_id.pop(typed_id, None)
            await owner.cancel(typed_id)

    async def _submit_until_accepted(
        self, owner: ShardOwner, job_id: JobId, drawn: DrawnJob
    ) -> bool:
        """Submit a job, again whenever its caller is told to return."""
        settings, spec = drawn.queue.settings, drawn.spec
        for _ in range(_MAX_SUBMISSIONS):
            tenant = self._find_tenant(drawn.tenant)
            rejection = owner.find_rejection(
                job_id, settings, spec, tenant, _CALLER_TIMEOUT
            )
            if rejection is None:
                accepted = await owner.submit(
                    job_id, settings, spec, tenant=tenant
                )
                return bool(accepted)
            if not rejection.retry_after:
                return False
            self._refused += 1
            await asyncio.sleep(math.ceil(rejection.retry_after))
        return False

    def _find_tenant(self, name: TenantId) -> Tenant:
        """Return a tenant with the limit that the owner knows now."""
        now = asyncio.get_running_loop().time()
        weight_by_name = {one.name: one.weight for one in self._load.tenants}
        maximum = self.workers.limits.known_limit(name, now)
        return Tenant(name, weight_by_name.get(name, 1), maximum)

    async def _watch(self, owner: ShardOwner) -> None:
        """Record the end of each job, with an error of at most 10 ms."""
        loop = asyncio.get_running_loop()
        running: dict[JobId, Job] = {}
        while True:
            await asyncio.sleep(_WATCH_INTERVAL)
            live = owner.state.job_by_id
            for job_id in running.keys() - live.keys():
                drawn = self._drawn_by_id[job_id]
                duration = loop.time() - WARM_UP - drawn.arrives_at
                ended = EndedJob(drawn, running[job_id].phase, duration)
                self._ended_by_id[job_id] = ended
                self._open_by_id.pop(job_id, None)
            running = dict(live)

    async def _watch_liveness(self, owner: ShardOwner) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_SAMPLE_INTERVAL)
            now = loop.time()
            self.liveness.sample(owner, now, _wall_clock())
            fault_free = self._fault_free(
                now, FAULT_FREE_BEFORE + CAPACITY_FREE_FOR
            )
            self.lasting.sample(self._lasting_by_id, now, fault_free)
            fault_free = self._fault_free(now, MAX_WAIT)
            self.starvation.sample(
                self._open_by_id, now, _wall_clock(), fault_free
            )

    def _fault_free(self, now: Seconds, period: Seconds) -> bool:
        """Whether no fault is active or ended within `period` seconds."""
        return not any(
            begins <= now < ends + period for begins, ends in self._faults
        )

    async def _sample(self, owner: ShardOwner) -> None:
        await asyncio.sleep(WARM_UP)
        for _ in range(int(self._load.lasts / _SAMPLE_INTERVAL)):
            await asyncio.sleep(_SAMPLE_INTERVAL)
            total, free = Size(), Size()
            for tracked in owner.state.tracked_by_worker.values():
                total += tracked.entry.capacity
                free += tracked.free
            share = free.millicores / max(1, total.millicores)
            self._busy.append(1 - share)
            waits = owner.placer.waiting_tasks() > 0
            self._idle_waiting.append(share if waits else 0)

    async def _run_outages(self) -> None:
        loop = asyncio.get_running_loop()
        for outage in self._load.outages:
            await asyncio.sleep(max(0, WARM_UP + outage.at - loop.time()))
            until = WARM_UP + outage.at + outage.lasts
            self.workers.make_unresponsive(outage.share, until)

    async def _run_crashes(self) -> None:
        loop = asyncio.get_running_loop()
        for crashes in self._load.crashes:
            await asyncio.sleep(max(0, WARM_UP + crashes.at - loop.time()))
            chosen = self.workers.choose_workers(crashes.share)
            returns = itertools.cycle(crashes.returns or [None])
            for _ in range(int(crashes.lasts / crashes.every)):
                self.workers.crash_all(chosen, next(returns))
                if not crashes.same:
                    chosen = self.workers.choose_workers(crashes.share)
                await asyncio.sleep(crashes.every)

    async def _run_shrinkages(self) -> None:
        loop = asyncio.get_running_loop()
        for shrinkage in self._load.shrinkages:
            await asyncio.sleep(max(0, WARM_UP + shrinkage.at - loop.time()))
            self.workers.shrink_workers(shrinkage)

    async def _run_breakages(self) -> None:
        loop = asyncio.get_running_loop()
        for breakage in self._load.breakages:
            await asyncio.sleep(max(0, WARM_UP + breakage.at - loop.time()))
            until = WARM_UP + breakage.at + breakage.lasts
            self.workers.break_workers(breakage.share, until)

    def _evaluate(self, processor_s: Seconds) -> Outcome:
        jobs = [
            self._ended_by_id.get(
                job_id,
                EndedJob(drawn, None, None),
            )._replace(
                running_share=self.lasting.find_running_share(JobId(job_id))
            )
            for job_id, drawn in self._drawn_by_id.items()
        ]
        workers = self.workers
        return Outcome(
            worth=earned_share(jobs),
            by_queue=summarize_queues(jobs),
            busy_share=round(statistics.fmean(self._busy), 3),
            idle_waiting_share=round(statistics.fmean(self._idle_waiting), 3),
            overfull=workers.overfull,
            doubled=workers.history.doubled,
            repeated=workers.repeated,
            refused_tickets=workers.refused_tickets,
            late_before_contact=workers.late_before_contact,
            crashes=summarize_crashes(jobs, workers.history),
            by_tenant=score_tenants(jobs),
            over_limit=workers.limits.violations,
            left_waiting=len(self.lasting.left_waiting),
            alone=sum(map(self._counts_as_alone, workers.gangs.lone_ends)),
            processor_s=round(processor_s, 2),
            refused=self._refused,
        )

    def _counts_as_alone(self, lone: LoneEnd) -> bool:
        """Whether the owner alone caused a gang to stay incomplete."""
        if self._load.late_share:
            # Orders may be executed late at any time of such a day.
            return False
        drawn = self._drawn_by_id[lone.key.task.partition('.')[0]]
        if drawn.cancelled_after is not None:
            cancelled_at = WARM_UP + drawn.arrives_at + drawn.cancelled_after
            if lone.ended_at >= cancelled_at:
                return False
        since = lone.ended_at - _FAULT_FREE_BEFORE_LONE_END
        crashed = any(
            since < at <= lone.ended_at for at in self.workers.crashed_at
        )
        return not crashed and self._fault_free(
            lone.ended_at, _FAULT_FREE_BEFORE_LONE_END
        )


def _fault_spans(load: CellLoad) -> Iterator[tuple[Seconds, Seconds]]:
    """Yield the start and end of each fault, on the loop's clock."""
    faults: tuple[Outage | Crashes | Shrinkage | Breakage, ...] = (
        *load.outages,
        *load.crashes,
        *load.shrinkages,
        *load.breakages,
    )
    for fault in faults:
        begins = WARM_UP + fault.at
        yield begins, begins + fault.lasts


def _publish(
    store: MemoryStore,
    name: WorkerName,
    entry: WorkerEntry | None,
) -> None:
    """Write a worker's entry to the store, or delete it."""
    raw = b'' if entry is None else msgspec.msgpack.encode(entry)
    records = store.records_by_topic[_TOPIC]
    records.append(KeyedRecord(name, raw))


def _wall_clock() -> Seconds:
    return TRAFFIC_START + asyncio.get_running_loop().time() - WARM_UP
