"""Stand-in for a worker: one life of it, as `PROTOCOL.md` describes it."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from review.parts_2.activity import Activity
from review.parts_2.record import Record
from review.parts_2.server import Server, hang
from review.parts_2.store import Store

TOPIC = 'keyed.servers'
_TICK_SECONDS = 0.01
_MAX_HOLD_SECONDS = 6.0
_STOP_SECONDS = 0.1
_HEARTBEAT_SECONDS = 1.5
_MISSED_HEARTBEATS = 3
_LISTED_ENDS = 500
_MILLIS = 1000


@dataclass
class Run:
    """A run in progress."""

    task: str
    number: int
    duration: float
    started_at: float
    stops_at: float = float('inf')

    def percent(self, now: float) -> int:
        """Progress, below 100 until the run has ended."""
        done = (now - self.started_at) / self.duration
        return min(99, int(100 * done))


class Worker:
    """A worker of the service, from its start until it crashes.

    Parameters
    ----------
    number : int
    store : Store
    record : Record
    durations : dict
        Seconds that the tasks of a job take, by the job's id.
    activity : Activity
        Is told of all runs.
    clock_rate : float
        Rate of its steady clock; the pages allow 0.98 and more.
    """

    def __init__(
        self,
        number: int,
        store: Store,
        record: Record,
        durations: dict[str, float],
        activity: Activity,
        clock_rate: float = 1.0,
    ) -> None:
        #: Called with the task and the run of each start.
        self.on_start: Callable[[str, int], None] = _ignore_start
        self.name = f'w{number:02d}{time.time_ns() % 1_000_000:06d}'
        self.run_by_key: dict[tuple[str, int], Run] = {}
        #: Whether it is partitioned from all machines; it runs on.
        self.cut = False
        self.alive = True
        self._number = number
        self._store = store
        self._record = record
        self._durations = durations
        self._activity = activity
        self._rate = clock_rate
        self._clock_from = time.monotonic()
        self._fence = 0
        self._lease_end_ms = 0.0
        self._newest_end_by_task: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._numbers = itertools.count(1)
        self._run_ended = asyncio.Event()
        self._server = Server(self._handle)
        self._address = ''
        self._sequence = 0
        self._expiry: asyncio.TimerHandle | None = None
        #: Set once the worker drains.
        self._remaining_ms: int | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, host: str) -> None:
        """Listen, write the entry and keep both alive."""
        self._address = await self._server.start(host)
        self._tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._write_entries()),
        ]

    def crash(self) -> None:
        """Lose all runs; the entry goes after three missed heartbeats."""
        self.alive = False
        self._server.crash()
        for task in self._tasks:
            task.cancel()
        self._record.write(
            'worker: crashed', worker=self.name, runs=list(self.run_by_key)
        )
        for task, _ in self.run_by_key:
            self._activity.note_end(task, 'crashed')
        self.run_by_key.clear()

    def close(self) -> None:
        """End without a trace, as the case is over."""
        self.alive = False
        self._server.crash()
        for task in self._tasks:
            task.cancel()

    def set_cut(self, *, cut: bool) -> None:
        """Cut the worker off from all machines, or end the cut."""
        self.cut = cut
        self._record.write('worker: cut', worker=self.name, cut=cut)
        if not cut:
            # What was sent during the cut is lost.
            self._server.reset_connections()

    @property
    def clock_ms(self) -> float:
        """Time on its steady clock."""
        return (time.monotonic() - self._clock_from) * self._rate * _MILLIS

    def drain(self, remaining_ms: int) -> None:
        """Declare that the worker drains; it serves on."""
        self._remaining_ms = remaining_ms
        self._write_entry()
        self._record.write('worker: draining', worker=self.name)

    async def _write_entries(self) -> None:
        while True:
            if not self.cut:
                self._write_entry()
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    def _write_entry(self) -> None:
        self._sequence += 1
        entry = self._entry(self._sequence)
        self._store.put(TOPIC, self.name, entry)
        if self._expiry is not None:
            self._expiry.cancel()
        self._expiry = asyncio.get_running_loop().call_later(
            _MISSED_HEARTBEATS * _HEARTBEAT_SECONDS, self._expire
        )

    def _expire(self) -> None:
        """Remove the entry, as the platform does without heartbeats."""
        self._store.put(TOPIC, self.name, b'')
        self._record.write('platform: entry removed', worker=self.name)

    def _entry(self, sequence: int) -> bytes:
        draining = {}
        if self._remaining_ms is not None:
            draining = {'state': 'draining', 'remainingMs': self._remaining_ms}
        return json.dumps(
            {
                'service': 'service',
                'address': self._address,
                'zone': f'zone-{self._number % 3}',
                'version': '1',
                'slots': 8,
                'state': 'ready',
                'warmupLeftMs': 0,
                'sequence': sequence,
                'capacity': {'cpu': 64000, 'memMb': 128000, 'gpu': 0},
                'labels': ['kind-a', f'r-{self._number % 3}'],
                'machine': f'm-{self._number}',
                **draining,
            }
        ).encode()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            now = time.monotonic()
            self._check_lease()
            for key, run in list(self.run_by_key.items()):
                if now >= run.stops_at:
                    self._end(key, 'stopped')
                elif now >= run.started_at + run.duration:
                    self._end(key, 'done')

    def _check_lease(self) -> None:
        if self.clock_ms > self._lease_end_ms:
            for key in list(self.run_by_key):
                self._end(key, 'lapsed')

    def _end(self, key: tuple[str, int], how: str) -> None:
        self.run_by_key.pop(key)
        self._activity.note_end(key[0], how)
        self._newest_end_by_task[key[0]] = key[1]
        self._ended.append([next(self._numbers), *key, how, ''])
        self._record.write(
            'worker: run ended',
            worker=self.name,
            task=key[0],
            run=key[1],
            how=how,
        )
        self._run_ended.set()
        self._run_ended = asyncio.Event()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        if self.cut:
            await hang()
        response = await self._answer(request, json.loads(body or b'{}'))
        if self.cut:
            await hang()
        return response

    async def _answer(
        self, request: web.BaseRequest, order: dict[str, Any]
    ) -> web.StreamResponse:
        if request.headers.get('X-Orchidrail-Expect-Instance') != self.name:
            return web.Response(status=421)
        if order.get('fencingToken', 0) < self._fence:
            return self._refuse('fence')
        self._fence = order.get('fencingToken', 0)
        self._check_lease()
        if request.path == '/run-start':
            return self._start(order)
        if request.path == '/run-stop':
            return self._stop(order)
        return await self._hold(order)

    def _refuse(self, reason: str) -> web.StreamResponse:
        return web.json_response(
            {'clockMs': self.clock_ms, 'reason': reason}, status=409
        )

    def _start(self, order: dict[str, Any]) -> web.StreamResponse:
        key = order['taskId'], order['runId']
        if key in self.run_by_key:
            return web.json_response({'clockMs': self.clock_ms})
        if order['deadlineMs'] < self.clock_ms:
            return self._refuse('late')
        self._extend_lease(order['deadlineMs'])
        if key[1] <= self._newest_end_by_task.get(key[0], 0):
            return self._refuse('old')
        job_id = key[0].partition('.')[0]
        self._activity.note_start(key[0])
        duration = self._durations.get(job_id, 0.5)
        self.run_by_key[key] = Run(*key, duration, time.monotonic())
        self._record.write(
            'worker: run started', worker=self.name, task=key[0], run=key[1]
        )
        self.on_start(*key)
        return web.json_response({'clockMs': self.clock_ms})

    def _stop(self, order: dict[str, Any]) -> web.StreamResponse:
        key = order['taskId'], order['runId']
        run = self.run_by_key.get(key)
        if run is None:
            newest = self._newest_end_by_task.get(key[0], 0)
            self._newest_end_by_task[key[0]] = max(newest, key[1])
        else:
            run.stops_at = min(run.stops_at, time.monotonic() + _STOP_SECONDS)
        return web.json_response({'clockMs': self.clock_ms})

    async def _hold(self, order: dict[str, Any]) -> web.StreamResponse:
        last_seen = order.get('lastSeen', 0)
        self._ended = [row for row in self._ended if row[0] > last_seen]
        if 'deadlineMs' in order:
            self._extend_lease(order['deadlineMs'])
        if order.get('waitMs') and not self._ended:
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    self._run_ended.wait(), order['waitMs'] / _MILLIS
                )
        now = time.monotonic()
        active = [
            [run.task, run.number, '', run.percent(now), 0]
            for run in self.run_by_key.values()
        ]
        return web.json_response(
            {
                'clockMs': self.clock_ms,
                'active': active,
                'ended': self._ended[:_LISTED_ENDS],
            }
        )

    def _extend_lease(self, deadline_ms: float) -> None:
        latest = self.clock_ms + _MAX_HOLD_SECONDS * _MILLIS
        self._lease_end_ms = max(self._lease_end_ms, min(deadline_ms, latest))


def _ignore_start(task: str, run: int) -> None:
    """Ignore a start."""
