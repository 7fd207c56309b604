"""Stand-in for a worker: leases, fencing tokens, runs and their ends."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from review.record import Record, Run
from review.store import Store
from review.web import Call, Reply, Site, reply_json

MAX_HOLD_SECONDS = 6.0
HEARTBEAT_SECONDS = 1.5
#: An entry expires after three heartbeats without a write.
ENTRY_SECONDS = 3 * HEARTBEAT_SECONDS
_MOST_ENDS_LISTED = 500
_TICK = 0.01


class Worker:
    """One life of one worker.

    Parameters
    ----------
    work_seconds : callable
        Returns how long a task takes, by its key.
    service : str
    stop_seconds : float
        `stop_ms` of the deployment.
    """

    def __init__(
        self,
        name: str,
        address: str,
        zone: str,
        rack: str,
        store: Store,
        record: Record,
        work_seconds: Callable[[str], float],
        service: str,
        stop_seconds: float,
    ) -> None:
        """Start without runs."""
        self._first_name = name
        self.address = address
        self._zone = zone
        self._rack = rack
        self._store = store
        self._record = record
        self._work_seconds = work_seconds
        self._service = service
        self._stop_seconds = stop_seconds
        #: Where it listens, behind its link.
        self._own: tuple[str, int] = ('', 0)
        self._lives = 0
        #: Whether starts are refused with 503, as an unhealthy worker does.
        self.unhealthy = False
        self.site = Site(self._serve)
        self._begin_life()

    def _begin_life(self) -> None:
        """Start under a new id, without runs and without a fencing token."""
        self._lives += 1
        suffix = '' if self._lives == 1 else f'{self._lives:02x}'
        self.name = self._first_name + suffix
        self.down = False
        self._beat_at = 0.0
        self._began = time.monotonic()
        self._fence = 0
        self._lease_ends = 0.0
        self._active: dict[tuple[str, int], tuple[Run, float]] = {}
        self._stopping: dict[tuple[str, int], float] = {}
        self._ended: list[tuple[int, Run]] = []
        self._ends = 0
        self._newest_ended: dict[str, int] = {}
        self._has_ended = asyncio.Event()
        self._sequence = 0

    async def open(self, host: str, port: int) -> None:
        """Listen."""
        self._own = host, port
        await self.site.open(host, port)

    async def run(self) -> None:
        """Advance the runs and write heartbeats until cancelled."""
        while True:
            now = time.monotonic()
            if not self.down:
                if now >= self._beat_at:
                    self._beat_at = now + HEARTBEAT_SECONDS
                    self._write_entry()
                self._advance(now)
            await asyncio.sleep(_TICK)

    def crash(self) -> None:
        """Lose all runs and all connections; its entry expires later."""
        self._record.note(f'{self.name} crashes')
        self.down = True
        for key in list(self._active):
            run, _ = self._active.pop(key)
            self._record.end(run, 'crashed')
        self.site.close()
        asyncio.get_running_loop().call_later(
            ENTRY_SECONDS, self._store.put, 'keyed.servers', self.name, b''
        )

    async def start_again(self) -> None:
        """Begin the next life at the same address."""
        self._begin_life()
        self._record.note(f'{self.name} is up')
        await self.site.open(*self._own)

    def _write_entry(self) -> None:
        self._sequence += 1
        entry = {
            'service': self._service,
            'address': self.address,
            'zone': self._zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'warmupLeftMs': 0,
            'sequence': self._sequence,
            'capacity': {'cpu': 64_000, 'memMb': 131_072, 'gpu': 0},
            'labels': ['plain', self._rack],
            'remainingMs': 0,
        }
        raw = json.dumps(entry).encode()
        self._store.put('keyed.servers', self.name, raw)

    def _advance(self, now: float) -> None:
        if now > self._lease_ends:
            for key in list(self._active):
                self._end(key, 'lapsed')
            return
        for key, (_, done_at) in list(self._active.items()):
            if now >= self._stopping.get(key, now + 1):
                self._end(key, 'stopped')
            elif now >= done_at:
                self._end(key, 'done')

    def _end(self, key: tuple[str, int], ending: str) -> None:
        run, _ = self._active.pop(key)
        self._stopping.pop(key, None)
        self._ends += 1
        self._record.end(run, ending)
        self._ended.append((self._ends, run))
        self._newest_ended[key[0]] = max(
            key[1], self._newest_ended.get(key[0], 0)
        )
        self._has_ended.set()
        self._has_ended = asyncio.Event()

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._began) * 1000)

    async def _serve(self, call: Call) -> Reply | None:
        if call.path == '/health':
            return reply_json(200)
        if call.headers.get('x-orchidrail-expect-instance') != self.name:
            return reply_json(421)
        order = call.json()
        token = order.get('fencingToken', 0)
        if token < self._fence:
            return self._refuse('fence')
        self._fence = token
        self._advance(time.monotonic())
        if call.path == '/run-start':
            return self._start(order)
        if call.path == '/run-stop':
            return self._stop(order)
        return await self._hold(order)

    def _refuse(self, reason: str) -> Reply:
        return reply_json(409, {'clockMs': self._clock_ms(), 'reason': reason})

    def _taken(self) -> Reply:
        return reply_json(200, {'clockMs': self._clock_ms()})

    def _extend_lease(self, deadline_ms: float) -> None:
        ends = self._began + deadline_ms / 1000
        latest = time.monotonic() + MAX_HOLD_SECONDS
        self._lease_ends = max(self._lease_ends, min(ends, latest))

    def _start(self, order: dict[str, Any]) -> Reply:
        if self.unhealthy:
            return reply_json(503)
        key = order['taskId'], order['runId']
        if key in self._active:
            return self._taken()
        if order['deadlineMs'] < self._clock_ms():
            return self._refuse('late')
        self._extend_lease(order['deadlineMs'])
        if order['runId'] <= self._newest_ended.get(order['taskId'], 0):
            return self._refuse('old')
        run = self._record.start(*key, self.name)
        seconds = self._work_seconds(order['taskId'])
        self._active[key] = run, time.monotonic() + seconds
        return self._taken()

    def _stop(self, order: dict[str, Any]) -> Reply:
        key = order['taskId'], order['runId']
        self._record.note(f'stop {key[0]} run {key[1]} on {self.name}')
        if key in self._active:
            self._stopping.setdefault(
                key, time.monotonic() + self._stop_seconds / 2
            )
        else:
            self._newest_ended[key[0]] = max(
                key[1], self._newest_ended.get(key[0], 0)
            )
        return self._taken()

    async def _hold(self, order: dict[str, Any]) -> Reply:
        seen = order.get('lastSeen', 0)
        for number, run in self._ended:
            if number <= seen and run.ending != 'lapsed':
                run.noted_at = self._record.now()
        self._ended = [row for row in self._ended if row[0] > seen]
        if 'deadlineMs' in order:
            self._extend_lease(order['deadlineMs'])
        if order.get('waitMs') and not self._ended:
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    self._has_ended.wait(), order['waitMs'] / 1000
                )
        active = [
            [run.task, run.number, '', self._percent(run, done_at), 100]
            for run, done_at in self._active.values()
        ]
        ended = [
            [number, run.task, run.number, run.ending, '']
            for number, run in self._ended[:_MOST_ENDS_LISTED]
        ]
        return reply_json(
            200,
            {'clockMs': self._clock_ms(), 'active': active, 'ended': ended},
        )

    def _percent(self, run: Run, done_at: float) -> int:
        whole = self._work_seconds(run.task)
        left = max(0.0, done_at - time.monotonic())
        return int(100 * (1 - min(1.0, left / whole)))

    @property
    def ends_not_noted(self) -> int:
        """Number of ends that no `lastSeen` has reached."""
        return len(self._ended)

    @property
    def active_runs(self) -> int:
        """Number of runs at work."""
        return len(self._active)
