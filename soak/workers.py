"""Stand-ins for workers: leases, fences, run numbers, ends until noted."""

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
from soak.advice import AdviceStandIn, ticket_holds
from soak.gangs import GangRun, Gangs, GangState
from soak.http import answer
from soak.ledger import Failing, Ledger, SentJob
from soak.rooms import size_of
from soak.store import StoreStandIn

_LIFE = b'X-Orchidrail-Expect-Instance'
_TICK = 0.02
_MOST_HOLD = 6.0
_STOP_TAKES = 0.2
_GANG_WAIT = 3.0
_DRAINS_FOR = 2.0
#: From the start of a task to the crash that it causes.
_CRASHES_AFTER = 0.01
#: Room that shrank counts after the time of being in touch and a heartbeat.
_ROOM_HEARD_WITHIN = 4.5
#: An entry goes after three heartbeats of 1.5 s.
_ENTRY_LAPSES = 4.5
#: Milliseconds by which each life seems to have begun before the last one.
_BORN_BACK = 60_000
#: Share of the runs that fail, and seconds within which those that last do.
_FAILING_SHARES = {
    Failing.NEVER: 0.0,
    Failing.SOMETIMES: 0.1,
    Failing.ALWAYS: 1.0,
}
_FAILS_WITHIN = 12.0
#: Seconds until a broken worker fails what it started.
_BREAKS_AFTER = 0.05
_WHOLE = 100
_CAPACITY = Size(16_000, 64_000, 4)
#: Each worker of so many has no accelerators.
_WITHOUT_ACCELERATORS = 4
_lives = itertools.count(1)


@dataclass
class _Run:
    left: float
    size: Size
    gang: GangRun
    present_at: float
    #: Whether it runs until it is stopped; `left` is then that of its start.
    lasts: bool
    fails_at: float
    stops_at: float | None = None

    @property
    def percent(self) -> int:
        """How much of it is done, or whether one that lasts is at work."""
        if self.lasts:
            return _WHOLE if self.left <= 0 else 0
        return int(_WHOLE / (1 + _WHOLE * max(0, self.left)))

    def advance(self, passed: float, now: float) -> str:
        """Let time pass; return how it ends, empty while it goes on."""
        if self.stops_at is not None and now > self.stops_at:
            return 'stopped'
        if now > self.fails_at:
            return 'failed'
        return _ADVANCE_BY_STATE[self.gang.state](self, passed, now)

    def _gather(self, passed: float, now: float) -> str:
        return 'alone' if now - self.present_at > _GANG_WAIT else ''

    def _work(self, passed: float, now: float) -> str:
        self.left -= passed
        # Time passes in ticks, which may take it past both its ends at once.
        succeeds = not self.lasts and math.isinf(self.fails_at)
        return 'done' if self.left <= 0 and succeeds else ''

    def _finish(self, passed: float, now: float) -> str:
        return 'done'

    def _break(self, passed: float, now: float) -> str:
        return 'broken'


_ADVANCE_BY_STATE = {
    GangState.GATHERING: _Run._gather,
    GangState.WORKING: _Run._work,
    GangState.DONE: _Run._finish,
    GangState.BROKEN: _Run._break,
}


class WorkerStandIn:
    """One machine of the service, life after life."""

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
        """Start the first life."""
        self.address = address
        accelerators = (number + 1) % _WITHOUT_ACCELERATORS > 0
        self.capacity = (
            _CAPACITY if accelerators else _CAPACITY._replace(accelerators=0)
        )
        #: What starts may use: room that shrinks counts a while later.
        self._judged_capacity = self.capacity
        self._labels = 'kind', f'r-{number % 2}'
        self._seed = seed
        self._store = store
        self._ledger = ledger
        self._gangs = gangs
        self._advice = advice
        self._machine = number
        #: Told of each crash, which ends all connections.
        self.on_crash: Callable[[], None] = _nothing
        self.begin_life()

    def begin_life(self, *, keeps_name: bool = False) -> None:
        """Forget everything, under a new name or the one before."""
        self.number = next(_lives)
        if not keeps_name:
            self.name = f'i-{self.number:06d}'
            self._advice.number_by_name[self.name] = self._machine
        #: Not in order: the time of day may have jumped in between.
        self.born = int(time.time() * 1000) - self.number * _BORN_BACK
        self._clock_begins = time.monotonic()
        self._fence = 0
        self._run_by_key: dict[tuple[str, int], _Run] = {}
        self._newest_ended: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._numbers = itertools.count(1)
        self._lease_ends = 0.0
        self._broken_until = 0.0
        self._ended_some = asyncio.Event()
        self.enter('ready')

    def enter(self, state: str, remaining_ms: int = 0) -> None:
        """Write this life's entry."""
        entry = {
            'service': 'service',
            'address': self.address,
            'zone': 'zone-0',
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
            'sequence': self.number,
            'born': self.born,
        }
        raw = json.dumps(entry).encode()
        self._store.put('keyed.servers', self.name, raw)

    def overwrite_entry(self, raw: bytes, name: str = '') -> None:
        """Have somebody else write an entry, over this worker's or beside."""
        self._store.put('keyed.servers', name or self.name, raw)

    def crash(self, *, keeps_name: bool = False) -> None:
        """Lose everything and be back at once; an old entry lapses later."""
        for key, run in list(self._run_by_key.items()):
            self._remove(key, run, 'crashed')
        if not keeps_name:
            loop = asyncio.get_running_loop()
            loop.call_later(_ENTRY_LAPSES, self._leave, self.name)
        self.on_crash()
        self.begin_life(keeps_name=keeps_name)

    def _crashes(self, task: str) -> bool:
        """Whether a task is the one of its job that crashes workers."""
        job_id, _, step, index = task.split('.')
        job = self._ledger.job_by_id.get(job_id)
        return job is not None and job.crashing and step == index == '0'

    def _crash_by(self, task: str, life: int) -> None:
        if self.number == life:
            self._ledger.note_crash(task)
            self.crash(keeps_name=bool(life % 2))

    def break_for(self, seconds: float) -> None:
        """Fail all that starts in the next seconds."""
        self._broken_until = time.monotonic() + seconds

    @property
    def used(self) -> Size:
        """The room that its runs take."""
        return sum((run.size for run in self._run_by_key.values()), Size())

    def rooms_for(self, step_key: str, step: dict[str, Any]) -> int:
        """Return how many more tasks of a step it could run now."""
        if step.get('requirements', 'kind') not in self._labels:
            return 0
        if self._is_advised(step_key) and not self._advice.permits(
            step_key,
            self._machine,
        ):
            return 0
        fitting = size_of(step).copies_in(self.capacity - self.used)
        most: int = step.get('antiAffinity', 0)
        if not most:
            return fitting
        return max(0, min(fitting, most - self._copies(step_key)))

    def _is_advised(self, step_key: str) -> bool:
        job = self._ledger.job_by_id.get(step_key.partition('.')[0])
        return job is not None and job.advised

    def _copies(self, step_key: str) -> int:
        return sum(
            task.rpartition('.')[0] == step_key for task, _ in self._run_by_key
        )

    async def shrink(self, seconds: float) -> None:
        """Have half of the room for a while, and say so."""
        whole = self.capacity
        self.capacity = Size(*(room // 2 for room in whole))
        self.enter('ready')
        await asyncio.sleep(_ROOM_HEARD_WITHIN)
        self._judged_capacity = self.capacity
        await asyncio.sleep(seconds)
        self.capacity = self._judged_capacity = whole
        self.enter('ready')

    async def drain(self, *, silently: bool) -> None:
        """Leave as planned, saying so or not, then come back empty."""
        if silently:
            self._leave(self.name)
        else:
            self.enter('draining', int(_DRAINS_FOR * 1000))
        await asyncio.sleep(_DRAINS_FOR + 0.3)
        self._leave(self.name)
        for key, run in list(self._run_by_key.items()):
            self._remove(key, run, 'left')
        self.begin_life()

    async def work(self) -> None:
        """Let time pass for what runs."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(_TICK)
            now = time.monotonic()
            self._advance(now - last, now)
            last = now

    async def serve(self, request: Request) -> Response:
        """Answer one order."""
        expected = (request.get_first_header(_LIFE) or b'').decode()
        if expected != self.name:
            return answer(421)
        order = json.loads(await request.read() or b'{}')
        if order.get('fencingToken', 0) < self._fence:
            return answer(409, {'clockMs': self._clock_ms(), 'reason': 'fence'})
        self._fence = order.get('fencingToken', 0)
        path = request.url.path.decode()
        if path == '/run-start':
            return self._start(order)
        if path == '/run-stop':
            return self._stop(order)
        return await self._hold(order)

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_begins) * 1000)

    def _start(self, order: dict[str, Any]) -> Response:
        key = order['taskId'], order['runId']
        now_ms = self._clock_ms()
        if key in self._run_by_key:
            return answer(200, {'clockMs': now_ms})
        if order['deadlineMs'] < now_ms:
            return answer(409, {'clockMs': now_ms, 'reason': 'late'})
        self._extend_lease(order['deadlineMs'])
        if order['runId'] <= self._newest_ended.get(order['taskId'], 0):
            return answer(409, {'clockMs': now_ms, 'reason': 'old'})
        step_key, ticket = key[0].rpartition('.')[0], order.get('ticket', '')
        if self._is_advised(step_key) and not ticket_holds(
            ticket,
            step_key,
            self.name,
        ):
            return answer(409, {'clockMs': now_ms, 'reason': 'ticket'})
        self._ledger.note_start(order['taskId'], order['spec'], self.name)
        self._run_by_key[key] = self._make_run(*key)
        if self._crashes(order['taskId']):
            asyncio.get_running_loop().call_later(
                _CRASHES_AFTER,
                self._crash_by,
                order['taskId'],
                self.number,
            )
        self._judge_start(order['taskId'])
        return answer(200, {'clockMs': now_ms})

    def _judge_start(self, task: str) -> None:
        """Judge whether a task that was just started may run here."""
        if not self.used.fits(self._judged_capacity):
            detail = f'{self.name} runs {self.used} of {self._judged_capacity}'
            self._ledger.breach('LIMIT', detail)
        job = self._ledger.job_by_id.get(task.partition('.')[0])
        step = job.step_of(task) if job else {}
        if step.get('requirements', 'kind') not in self._labels:
            self._ledger.breach('ROUTE', f'{task} on {self.name}')
        copies = self._copies(task.rpartition('.')[0])
        if copies > step.get('antiAffinity', math.inf):
            self._ledger.breach('ROUTE', f'{self.name} runs {copies} of {task}')

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
        """Return when a run fails, which is never for most."""
        now = time.monotonic()
        if now < self._broken_until:
            return now + _BREAKS_AFTER
        step = job.step_of(task)
        failing, within = job.failing, step.get('estimatedMs', 100) / 1000
        if step.get('longRunning'):
            failing, within = Failing.SOMETIMES, _FAILS_WITHIN
        # Drawn by the run, so that it is the same whatever ran before.
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
            run.stops_at = time.monotonic() + _STOP_TAKES / 2
        return answer(200, {'clockMs': self._clock_ms()})

    async def _hold(self, order: dict[str, Any]) -> Response:
        for number, task, run, how, _ in self._ended:
            if number <= order.get('lastSeen', 0):
                self._ledger.note_acknowledged(task, run, self.name, how)
        self._ended = [
            row for row in self._ended if row[0] > order.get('lastSeen', 0)
        ]
        if 'deadlineMs' in order:
            self._extend_lease(order['deadlineMs'])
        life = self.number
        if order.get('waitMs') and not self._ended:
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    self._ended_some.wait(),
                    order['waitMs'] / 1000,
                )
        if life != self.number:
            return answer(503)
        listing = {
            'clockMs': self._clock_ms(),
            'born': self.born,
            'active': [
                [task, number, '', run.percent]
                for (task, number), run in self._run_by_key.items()
            ],
            'ended': self._ended[:500],
        }
        return answer(200, listing)

    def _extend_lease(self, deadline_ms: float) -> None:
        own = deadline_ms / 1000 + self._clock_begins
        most = time.monotonic() + _MOST_HOLD
        self._lease_ends = max(self._lease_ends, min(own, most))

    def _advance(self, passed: float, now: float) -> None:
        if self._run_by_key and now > self._lease_ends:
            for key, run in list(self._run_by_key.items()):
                self._end(key, run, 'lapsed')
        for key, run in list(self._run_by_key.items()):
            how = run.advance(passed, now)
            if how:
                self._end(key, run, how)

    def _end(self, key: tuple[str, int], run: _Run, how: str) -> None:
        self._remove(key, run, how)
        self._newest_ended[key[0]] = key[1]
        self._ended.append([next(self._numbers), *key, how, ''])
        self._ended_some.set()
        self._ended_some = asyncio.Event()

    def _remove(self, key: tuple[str, int], run: _Run, how: str) -> None:
        self._run_by_key.pop(key)
        run.gang.leave(how)
        self._ledger.note_end(*key, self.name, how)

    def _leave(self, name: str) -> None:
        self._store.put('keyed.servers', name, b'')


def _nothing() -> None:
    """Have no connections to end."""
