"""Stand-ins for workers.

They implement leases, fencing tokens and run numbers, and report ended runs
until these are acknowledged.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import math
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import Any

from blacksheep import Request, Response

from orchidrail.work.size import Size
from soak.advice import AdviceStandIn, is_ticket_valid
from soak.capacity import size_of
from soak.gangs import GangRun, Gangs, GangState
from soak.http import json_response
from soak.ledger import Failing, Ledger, SentJob
from soak.store import StoreStandIn

_EXPECTED_INSTANCE_HEADER = b'X-Orchidrail-Expect-Instance'
#: Availability zones, over which the workers are spread.
ZONES = 3
_TICK = 0.02
_MAX_LEASE_SECONDS = 6.0
_STOP_DURATION = 0.2
_GANG_WAIT = 3.0
_DRAIN_DURATION = 2.0
#: Seconds from the start of a task to the crash that it causes.
_CRASH_DELAY = 0.01
#: Seconds until a reduced capacity is enforced: the time in which instances
#: reconnect, and a heartbeat.
_CAPACITY_PROPAGATION_SECONDS = 4.5
#: Seconds until an entry expires: three heartbeats of 1.5 s.
_ENTRY_TIMEOUT = 4.5
#: Milliseconds by which the start time of each incarnation precedes that of the
#: previous one.
_BIRTH_STEP_BACK_MS = 60_000
#: Share of the runs that fail, and seconds within which long-running ones do.
_FAILING_SHARES = {
    Failing.NEVER: 0.0,
    Failing.SOMETIMES: 0.1,
    Failing.ALWAYS: 1.0,
}
_LASTING_FAILURE_WINDOW = 12.0
#: Seconds until a broken worker fails a run.
_BROKEN_WORKER_DELAY = 0.05
_PERCENT = 100
_CAPACITY = Size(16_000, 64_000, 4)
#: One in this many workers has no accelerators.
_CPU_ONLY_INTERVAL = 4
_incarnation_numbers = itertools.count(1)


@dataclass
class _Run:
    remaining: float
    size: Size
    gang: GangRun
    joined_at: float
    #: Whether it runs until stopped; `remaining` is then its startup time.
    lasting: bool
    fails_at: float
    stops_at: float | None = None

    @property
    def percent(self) -> int:
        """Progress; for a long-running task 100 once it has started up."""
        if self.lasting:
            return _PERCENT if self.remaining <= 0 else 0
        return int(_PERCENT / (1 + _PERCENT * max(0, self.remaining)))

    def advance(self, elapsed: float, now: float) -> str:
        """Advance the run; return its ending, empty while it runs."""
        if self.stops_at is not None and now > self.stops_at:
            return 'stopped'
        if now > self.fails_at:
            return 'failed'
        return _ADVANCE_BY_STATE[self.gang.state](self, elapsed, now)

    def _gather(self, elapsed: float, now: float) -> str:
        return 'alone' if now - self.joined_at > _GANG_WAIT else ''

    def _work(self, elapsed: float, now: float) -> str:
        self.remaining -= elapsed
        # A single tick may pass both its completion and its failure time.
        succeeds = not self.lasting and math.isinf(self.fails_at)
        return 'done' if self.remaining <= 0 and succeeds else ''

    def _finish(self, elapsed: float, now: float) -> str:
        return 'done'

    def _break(self, elapsed: float, now: float) -> str:
        return 'broken'


_ADVANCE_BY_STATE = {
    GangState.GATHERING: _Run._gather,
    GangState.WORKING: _Run._work,
    GangState.DONE: _Run._finish,
    GangState.BROKEN: _Run._break,
}


class WorkerStandIn:
    """A worker of the service, through all its incarnations."""

    def __init__(
        self,
        number: int,
        address: str,
        store: StoreStandIn,
        ledger: Ledger,
        gangs: Gangs,
        advice: AdviceStandIn,
        seed: int = 0,
    ) -> None:
        """Start the first incarnation."""
        self.address = address
        accelerators = (number + 1) % _CPU_ONLY_INTERVAL > 0
        self.capacity = (
            _CAPACITY if accelerators else _CAPACITY._replace(accelerators=0)
        )
        #: Limit for starts; follows a reduction of `capacity` with a delay.
        self._enforced_capacity = self.capacity
        self._labels = 'kind', f'r-{number % 2}'
        self._seed = seed
        self._store = store
        self._ledger = ledger
        self._gangs = gangs
        self._advice = advice
        self._index = number
        #: Called on each crash, to abort all connections.
        self.on_crash: Callable[[], None] = _do_nothing
        #: Called with the task and the worker's zone on each start.
        self.on_start: Callable[[str, str], None] = _ignore_start
        self.zone = f'zone-{number % ZONES}'
        self.begin_incarnation()

    def begin_incarnation(self, *, keeps_name: bool = False) -> None:
        """Reset all state, under a new name or the previous one."""
        self.incarnation = next(_incarnation_numbers)
        if not keeps_name:
            self.name = f'i-{self.incarnation:06d}'
            self._advice.index_by_name[self.name] = self._index
        #: Decreases, as after a jump of the wall clock: it gives no order.
        self.born = (
            int(time.time() * 1000) - self.incarnation * _BIRTH_STEP_BACK_MS
        )
        self._clock_begins = time.monotonic()
        self._fence = 0
        self._run_by_key: dict[tuple[str, int], _Run] = {}
        self._newest_ended: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._ended_numbers = itertools.count(1)
        #: Number of the last end before the lease lapsed. An acknowledgement of
        #: an earlier one has no effect: the task may have been started again.
        self._last_before_lapse = 0
        self._lease_ends = 0.0
        self._broken_until = 0.0
        self._run_ended = asyncio.Event()
        self.write_entry('ready')

    def write_entry(self, state: str, remaining_ms: int = 0) -> None:
        """Write the entry of this incarnation."""
        entry = {
            'service': 'service',
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': state,
            'capacity': {
                'cpu': self.capacity.millicores,
                'memMb': self.capacity.megabytes,
                'gpu': self.capacity.accelerators,
            },
            'labels': self._labels,
            'remainingMs': remaining_ms,
            'sequence': self.incarnation,
            'born': self.born,
        }
        raw = json.dumps(entry).encode()
        self._store.put('keyed.servers', self.name, raw)

    def overwrite_entry(self, raw: bytes, name: str = '') -> None:
        """Write a foreign entry, over this worker's or under another name."""
        self._store.put('keyed.servers', name or self.name, raw)

    def crash(self, *, keeps_name: bool = False) -> None:
        """Lose all runs and restart at once; an old entry expires later."""
        for key, run in list(self._run_by_key.items()):
            self._remove(key, run, 'crashed')
        if not keeps_name:
            loop = asyncio.get_running_loop()
            loop.call_later(_ENTRY_TIMEOUT, self._delete_entry, self.name)
        self.on_crash()
        self.begin_incarnation(keeps_name=keeps_name)

    def _is_crashing(self, task: str) -> bool:
        """Whether a task is the one of its job that crashes workers."""
        job_id, _, step, index = task.split('.')
        job = self._ledger.job_by_id.get(job_id)
        return job is not None and job.crashing and step == index == '0'

    def _crash_in_incarnation(
        self, task: str, expected_incarnation: int
    ) -> None:
        if self.incarnation == expected_incarnation:
            self._ledger.record_crash(task)
            self.crash(keeps_name=bool(expected_incarnation % 2))

    def break_for(self, seconds: float) -> None:
        """Fail all runs that start in the next `seconds`."""
        self._broken_until = time.monotonic() + seconds

    @property
    def used(self) -> Size:
        """Capacity allocated to its runs."""
        return sum((run.size for run in self._run_by_key.values()), Size())

    def max_additional_tasks(self, step_key: str, step: dict[str, Any]) -> int:
        """Return how many more tasks of a step the worker could run now."""
        if step.get('requirements', 'kind') not in self._labels:
            return 0
        if self._is_advised(step_key) and not self._advice.permits(
            step_key,
            self._index,
        ):
            return 0
        fitting = size_of(step).copies_in(self.capacity - self.used)
        max_copies: int = step.get('antiAffinity', 0)
        if not max_copies:
            return fitting
        return max(0, min(fitting, max_copies - self._copies(step_key)))

    def _is_advised(self, step_key: str) -> bool:
        job = self._ledger.job_by_id.get(step_key.partition('.')[0])
        return job is not None and job.advised

    def _copies(self, step_key: str) -> int:
        return sum(
            task.rpartition('.')[0] == step_key for task, _ in self._run_by_key
        )

    async def shrink_capacity(self, seconds: float) -> None:
        """Halve the capacity for a while and publish it in the entry."""
        full_capacity = self.capacity
        self.capacity = Size(*(amount // 2 for amount in full_capacity))
        self.write_entry('ready')
        await asyncio.sleep(_CAPACITY_PROPAGATION_SECONDS)
        self._enforced_capacity = self.capacity
        await asyncio.sleep(seconds)
        self.capacity = self._enforced_capacity = full_capacity
        self.write_entry('ready')

    async def drain(self, *, silently: bool) -> None:
        """Drain, announced in the entry or not, then restart without runs."""
        if silently:
            self._delete_entry(self.name)
        else:
            self.write_entry('draining', int(_DRAIN_DURATION * 1000))
        await asyncio.sleep(_DRAIN_DURATION + 0.3)
        self._delete_entry(self.name)
        for key, run in list(self._run_by_key.items()):
            self._remove(key, run, 'left')
        self.begin_incarnation()

    async def run_tasks(self) -> None:
        """Advance the runs tick by tick."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(_TICK)
            now = time.monotonic()
            self._advance(now - last, now)
            last = now

    async def serve(self, request: Request) -> Response:
        """Answer one order."""
        expected = (
            request.get_first_header(_EXPECTED_INSTANCE_HEADER) or b''
        ).decode()
        if expected != self.name:
            return json_response(421)
        order = json.loads(await request.read() or b'{}')
        if order.get('fencingToken', 0) < self._fence:
            return json_response(
                409, {'clockMs': self._clock_ms(), 'reason': 'fence'}
            )
        self._fence = order.get('fencingToken', 0)
        # An order may be served before the next tick; it must not extend a
        # lease that is over.
        self._check_lease(time.monotonic())
        path = request.url.path.decode()
        if path == '/run-start':
            return self._start(order)
        if path == '/run-stop':
            return self._stop(order)
        return await self._poll(order)

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_begins) * 1000)

    def _start(self, order: dict[str, Any]) -> Response:
        key = order['taskId'], order['runId']
        now_ms = self._clock_ms()
        if key in self._run_by_key:
            return json_response(200, {'clockMs': now_ms})
        if order['deadlineMs'] < now_ms:
            return json_response(409, {'clockMs': now_ms, 'reason': 'late'})
        self._extend_lease(order['deadlineMs'])
        if order['runId'] <= self._newest_ended.get(order['taskId'], 0):
            return json_response(409, {'clockMs': now_ms, 'reason': 'old'})
        step_key, ticket = key[0].rpartition('.')[0], order.get('ticket', '')
        if self._is_advised(step_key) and not is_ticket_valid(
            ticket,
            step_key,
            self.name,
        ):
            return json_response(409, {'clockMs': now_ms, 'reason': 'ticket'})
        self._ledger.record_start(
            order['taskId'], order['spec'], self.name, order['runId']
        )
        self.on_start(order['taskId'], self.zone)
        self._run_by_key[key] = self._make_run(*key)
        if self._is_crashing(order['taskId']):
            asyncio.get_running_loop().call_later(
                _CRASH_DELAY,
                self._crash_in_incarnation,
                order['taskId'],
                self.incarnation,
            )
        self._check_start(order['taskId'])
        return json_response(200, {'clockMs': now_ms})

    def _check_start(self, task: str) -> None:
        """Check that a task that was just started may run here."""
        if not self.used.fits(self._enforced_capacity):
            detail = (
                f'{self.name} runs {self.used} of {self._enforced_capacity}'
            )
            self._ledger.report_violation('LIMIT', detail)
        job = self._ledger.job_by_id.get(task.partition('.')[0])
        step = job.step_of(task) if job else {}
        if step.get('requirements', 'kind') not in self._labels:
            self._ledger.report_violation('ROUTE', f'{task} on {self.name}')
        copies = self._copies(task.rpartition('.')[0])
        if copies > step.get('antiAffinity', math.inf):
            self._ledger.report_violation(
                'ROUTE', f'{self.name} runs {copies} of {task}'
            )

    def _make_run(self, task: str, number: int) -> _Run:
        job = self._ledger.job_by_id.get(task.partition('.')[0])
        step = job.step_of(task) if job else {}
        gang = step.get('gangScheduled', False)
        return _Run(
            step.get('estimatedMs', 100) / 1000,
            size_of(step),
            self._gangs.join(task, number, step['count'])
            if gang
            else GangRun.of_one(),
            time.monotonic(),
            bool(step.get('longRunning')),
            self._draw_failure(job, task, number) if job else math.inf,
        )

    def _draw_failure(self, job: SentJob, task: str, number: int) -> float:
        """Return when a run fails; infinity if it doesn't."""
        now = time.monotonic()
        if now < self._broken_until:
            return now + _BROKEN_WORKER_DELAY
        step = job.step_of(task)
        failing, within = job.failing, step.get('estimatedMs', 100) / 1000
        if step.get('longRunning'):
            failing, within = Failing.SOMETIMES, _LASTING_FAILURE_WINDOW
        # Seeded by the run, so that it doesn't depend on earlier draws.
        random = Random(f'{self._seed} {task} {number}')
        if random.random() < _FAILING_SHARES[failing]:
            return now + random.uniform(0, within)
        return math.inf

    def _stop(self, order: dict[str, Any]) -> Response:
        key = order['taskId'], order['runId']
        run = self._run_by_key.get(key)
        if run is None:
            newest = self._newest_ended.get(key[0], 0)
            self._newest_ended[key[0]] = max(newest, key[1])
        elif run.stops_at is None:
            run.stops_at = time.monotonic() + _STOP_DURATION / 2
        return json_response(200, {'clockMs': self._clock_ms()})

    async def _poll(self, order: dict[str, Any]) -> Response:
        for number, task, run, ending, _ in self._ended:
            noted = number > self._last_before_lapse
            if noted and number <= order.get('lastSeen', 0):
                self._ledger.record_acknowledgement(
                    task, run, self.name, ending
                )
        self._ended = [
            row for row in self._ended if row[0] > order.get('lastSeen', 0)
        ]
        if 'deadlineMs' in order:
            self._extend_lease(order['deadlineMs'])
        expected_incarnation = self.incarnation
        if order.get('waitMs') and not self._ended:
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    self._run_ended.wait(),
                    order['waitMs'] / 1000,
                )
        if expected_incarnation != self.incarnation:
            return json_response(503)
        listing = {
            'clockMs': self._clock_ms(),
            'born': self.born,
            'active': [
                [task, number, '', run.percent]
                for (task, number), run in self._run_by_key.items()
            ],
            'ended': self._ended[:500],
        }
        return json_response(200, listing)

    def _extend_lease(self, deadline_ms: float) -> None:
        requested_end = deadline_ms / 1000 + self._clock_begins
        latest_end = time.monotonic() + _MAX_LEASE_SECONDS
        self._lease_ends = max(self._lease_ends, min(requested_end, latest_end))

    def _check_lease(self, now: float) -> None:
        """Apply the end of the lease, if it is over."""
        if now <= self._lease_ends:
            return
        if self._ended:
            self._last_before_lapse = self._ended[-1][0]
        for key, run in list(self._run_by_key.items()):
            self._end(key, run, 'lapsed')

    def _advance(self, elapsed: float, now: float) -> None:
        self._check_lease(now)
        for key, run in list(self._run_by_key.items()):
            ending = run.advance(elapsed, now)
            if ending:
                self._end(key, run, ending)

    def _end(self, key: tuple[str, int], run: _Run, ending: str) -> None:
        self._remove(key, run, ending)
        self._newest_ended[key[0]] = key[1]
        self._ended.append([next(self._ended_numbers), *key, ending, ''])
        self._run_ended.set()
        self._run_ended = asyncio.Event()

    def _remove(self, key: tuple[str, int], run: _Run, ending: str) -> None:
        self._run_by_key.pop(key)
        run.gang.leave(ending)
        self._ledger.record_end(*key, self.name, ending)

    def _delete_entry(self, name: str) -> None:
        self._store.put('keyed.servers', name, b'')


def _ignore_start(task: str, zone: str) -> None:
    """Ignore a start."""


def _do_nothing() -> None:
    """Do nothing: there are no connections to abort."""
