"""One modelled day of a cell: a real owner, drawn jobs, judged ends."""

from __future__ import annotations

import asyncio
import itertools
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
from standins.model.gangs import GANG_WAIT, LoneEnd
from standins.model.judging import (
    EndedJob,
    Outcome,
    earned_share,
    judge_crashes,
    judge_queues,
    judge_tenants,
)
from standins.model.lasting import CALM_BEFORE, ROOM_FOR, LastingWatch
from standins.model.liveness import LivenessWatch
from standins.model.load import (
    LEAD,
    TRAFFIC_BEGINS,
    Breakage,
    CellLoad,
    Crashes,
    DrawnJob,
    Outage,
    Shrinkage,
    draw_jobs,
)
from standins.model.loop import run_in_virtual_time
from standins.model.starvation import LONGEST_WAIT, StarvationWatch
from standins.model.workers import ModelWorkers

_ME = MemberInfo(InstanceId('me'), Address('me:1'), 'zone', 'me-1')
#: Time after the traffic in which jobs may still end.
_FINISH: Seconds = 30
#: Longer than any modelled day.
_STATUS_KEPT: Seconds = 600
_SAMPLE_EVERY: Seconds = 0.25
_WATCH_EVERY: Seconds = 0.01
#: How long before a lone member's end nothing else may go wrong.
_CALM_BEFORE_LONE: Seconds = CALM_BEFORE + GANG_WAIT
_TOPIC = Topic('workers')

_decode_entry = msgspec.msgpack.Decoder(WorkerEntry).decode


def _decode(key: str, raw: bytes) -> Result[WorkerEntry, InvalidEntry]:
    return Ok(_decode_entry(raw))


class _TimedStore(MemoryStore):
    """A store whose appends take some time."""

    def __init__(self, takes: Seconds) -> None:
        super().__init__()
        self._takes = takes

    async def append(
        self,
        topic: Topic,
        records: list[KeyedRecord],
        expected_end: Offset | None = None,
    ) -> AppendOutcome:
        """See `StoreLog.append`."""
        if self._takes:
            await asyncio.sleep(self._takes)
        return await super().append(topic, records, expected_end)


class CellModel:
    """Plays one day.

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
        #: Accepted jobs that are not over and that nobody has cancelled.
        self._open_by_id: dict[JobId, DrawnJob] = {}
        #: Accepted jobs whose tasks last and that nobody has cancelled.
        self._lasting_by_id: dict[JobId, DrawnJob] = {}
        self._faults = sorted(_fault_spans(load))
        self._busy: list[float] = []
        self._idle_waiting: list[float] = []

    def play(self) -> Outcome:
        """Play the day and judge it; its log lines are dropped."""
        structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
        began = time.process_time()
        try:
            run_in_virtual_time(self._play())
        finally:
            structlog.reset_defaults()
        return self._judge(time.process_time() - began)

    async def _play(self) -> None:
        owner = await self._take_over()
        async with AsyncExitStack() as stack:
            works = (
                owner.run(),
                self._sample(owner),
                self._watch(owner),
                self._watch_liveness(owner),
                self._harm(),
                self._crash(),
                self._shrink(),
                self._break(),
            )
            for work in works:
                stack.callback(asyncio.create_task(work).cancel)
            await asyncio.sleep(LEAD)
            callers = [
                asyncio.create_task(self._submit(owner, job_id, drawn))
                for job_id, drawn in self._drawn_by_id.items()
            ]
            await asyncio.sleep(self._load.lasts + _FINISH)
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
        known = JobId(job_id)
        settings, tenant = drawn.queue.settings, self._find_tenant(drawn.tenant)
        if owner.find_rejection(known, settings, drawn.spec, tenant) is None:
            taken = await owner.submit(
                known,
                settings,
                drawn.spec,
                tenant=tenant,
            )
            if taken:
                self._open_by_id[known] = drawn
            if taken and drawn.cancelled_after is not None:
                self._lasting_by_id[known] = drawn
        if drawn.cancelled_after is not None:
            await asyncio.sleep(drawn.cancelled_after)
            self._lasting_by_id.pop(known, None)
            self._open_by_id.pop(known, None)
            await owner.cancel(known)

    def _find_tenant(self, name: TenantId) -> Tenant:
        """Return a tenant as the owner knows it now."""
        now = asyncio.get_running_loop().time()
        weight_by_name = {one.name: one.weight for one in self._load.tenants}
        maximum = self.workers.limits.known(name, now)
        return Tenant(name, weight_by_name.get(name, 1), maximum)

    async def _watch(self, owner: ShardOwner) -> None:
        """Note each job's end, at most a hundredth of a second late."""
        loop = asyncio.get_running_loop()
        running: dict[JobId, Job] = {}
        while True:
            await asyncio.sleep(_WATCH_EVERY)
            live = owner.state.job_by_id
            for job_id in running.keys() - live.keys():
                drawn = self._drawn_by_id[job_id]
                took = loop.time() - LEAD - drawn.arrives_at
                ended = EndedJob(drawn, running[job_id].phase, took)
                self._ended_by_id[job_id] = ended
                self._open_by_id.pop(job_id, None)
            running = dict(live)

    async def _watch_liveness(self, owner: ShardOwner) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_SAMPLE_EVERY)
            now = loop.time()
            self.liveness.look(owner, now, _wall_clock())
            calm = self._calm(now, CALM_BEFORE + ROOM_FOR)
            self.lasting.look(self._lasting_by_id, now, calm)
            calm = self._calm(now, LONGEST_WAIT)
            self.starvation.look(self._open_by_id, now, _wall_clock(), calm)

    def _calm(self, now: Seconds, lasts: Seconds) -> bool:
        """Whether no fault of the day acts now or did for so long before."""
        return not any(
            begins <= now < ends + lasts for begins, ends in self._faults
        )

    async def _sample(self, owner: ShardOwner) -> None:
        await asyncio.sleep(LEAD)
        for _ in range(int(self._load.lasts / _SAMPLE_EVERY)):
            await asyncio.sleep(_SAMPLE_EVERY)
            whole, free = Size(), Size()
            for tracked in owner.state.tracked_by_worker.values():
                whole += tracked.entry.capacity
                free += tracked.free
            share = free.millicores / max(1, whole.millicores)
            self._busy.append(1 - share)
            waits = owner.placer.waiting_tasks() > 0
            self._idle_waiting.append(share if waits else 0)

    async def _harm(self) -> None:
        loop = asyncio.get_running_loop()
        for outage in self._load.outages:
            await asyncio.sleep(max(0, LEAD + outage.at - loop.time()))
            until = LEAD + outage.at + outage.lasts
            self.workers.silence(outage.share, until)

    async def _crash(self) -> None:
        loop = asyncio.get_running_loop()
        for crashes in self._load.crashes:
            await asyncio.sleep(max(0, LEAD + crashes.at - loop.time()))
            chosen = self.workers.choose_some(crashes.share)
            returns = itertools.cycle(crashes.returns or [None])
            for _ in range(int(crashes.lasts / crashes.every)):
                self.workers.crash_all(chosen, next(returns))
                if not crashes.same:
                    chosen = self.workers.choose_some(crashes.share)
                await asyncio.sleep(crashes.every)

    async def _shrink(self) -> None:
        loop = asyncio.get_running_loop()
        for shrinkage in self._load.shrinkages:
            await asyncio.sleep(max(0, LEAD + shrinkage.at - loop.time()))
            self.workers.shrink_some(shrinkage)

    async def _break(self) -> None:
        loop = asyncio.get_running_loop()
        for breakage in self._load.breakages:
            await asyncio.sleep(max(0, LEAD + breakage.at - loop.time()))
            until = LEAD + breakage.at + breakage.lasts
            self.workers.break_some(breakage.share, until)

    def _judge(self, processor_s: Seconds) -> Outcome:
        jobs = [
            self._ended_by_id.get(
                job_id,
                EndedJob(drawn, None, None),
            )._replace(at_work=self.lasting.share_at_work(JobId(job_id)))
            for job_id, drawn in self._drawn_by_id.items()
        ]
        workers = self.workers
        return Outcome(
            worth=earned_share(jobs),
            by_queue=judge_queues(jobs),
            busy_share=round(statistics.fmean(self._busy), 3),
            idle_waiting_share=round(statistics.fmean(self._idle_waiting), 3),
            overfull=workers.overfull,
            doubled=workers.history.doubled,
            repeated=workers.repeated,
            refused_tickets=workers.refused_tickets,
            late_before_met=workers.late_before_met,
            crashes=judge_crashes(jobs, workers.history),
            by_tenant=judge_tenants(jobs),
            over_limit=workers.limits.over,
            left_waiting=len(self.lasting.left_waiting),
            alone=sum(map(self._counts_as_alone, workers.gangs.lone_ends)),
            processor_s=round(processor_s, 2),
        )

    def _counts_as_alone(self, lone: LoneEnd) -> bool:
        """Whether a gang was left incomplete by nothing but its owner."""
        if self._load.late_share:
            # Orders that are carried out late are a fault of the whole day.
            return False
        drawn = self._drawn_by_id[lone.key.task.partition('.')[0]]
        if drawn.cancelled_after is not None:
            cancelled_at = LEAD + drawn.arrives_at + drawn.cancelled_after
            if lone.ended_at >= cancelled_at:
                return False
        since = lone.ended_at - _CALM_BEFORE_LONE
        crashed = any(
            since < at <= lone.ended_at for at in self.workers.crashed_at
        )
        return not crashed and self._calm(lone.ended_at, _CALM_BEFORE_LONE)


def _fault_spans(load: CellLoad) -> Iterator[tuple[Seconds, Seconds]]:
    """Yield when each fault of a day begins and ends, on the loop's clock."""
    faults: tuple[Outage | Crashes | Shrinkage | Breakage, ...] = (
        *load.outages,
        *load.crashes,
        *load.shrinkages,
        *load.breakages,
    )
    for fault in faults:
        begins = LEAD + fault.at
        yield begins, begins + fault.lasts


def _publish(
    store: MemoryStore,
    name: WorkerName,
    entry: WorkerEntry | None,
) -> None:
    """Put a worker's entry into the store, or take it away."""
    raw = b'' if entry is None else msgspec.msgpack.encode(entry)
    kept = store.records_by_topic[_TOPIC]
    kept.append(KeyedRecord(name, raw))


def _wall_clock() -> Seconds:
    return TRAFFIC_BEGINS + asyncio.get_running_loop().time() - LEAD
