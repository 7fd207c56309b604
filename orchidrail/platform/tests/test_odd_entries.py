"""Tests of an owner beside odd entries that somebody else has written."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from functools import partial
from typing import Any

from orchidrail.platform.documents import decode_worker
from orchidrail.shard.owner import ShardOwner
from orchidrail.shard.tests.fleet_case import (
    JOB,
    READ_WAIT,
    WORKERS,
    FleetTestCase,
)
from orchidrail.store import KeyedRecord
from orchidrail.store.memory import MemoryStore
from orchidrail.types import RunNumber, Seconds
from orchidrail.workers.port import (
    ActiveRun,
    HoldOrder,
    Listing,
    OrderAnswer,
    RunKey,
    WorkerEntry,
)
from orchidrail.workers.tests.fakes import FakeWorker

_NAME = 'w-1'
#: Bytes of an entry that a failure shows.
_MAX_SHOWN = 200
_OWN: dict[str, Any] = {
    'service': 'service',
    'address': 'w-1:1',
    'zone': 'zone',
    'state': 'ready',
    'capacity': {'cpu': 64000, 'memMb': 100000},
    'labels': ['kind', 'rack-1'],
}
_DEEP = b'[' * 50_000 + b']' * 50_000
_ODD_NUMBERS: tuple[object, ...] = (-1, 1.5, 2**53 + 1, 2**64, 10**30, 1e308)
_ODD_VALUES = (
    *_ODD_NUMBERS,
    None,
    '',
    'x' * 5000,
    '\x00',
    '\N{SNOWMAN}',
    [],
    {},
    True,
    'a:99999',
    'a:65536',
    'a:8\N{ARABIC-INDIC DIGIT THREE}',
    'a:1\n',
    f'{"a" * 300}:1',
    '\N{SNOWMAN}..x:1',
    'a\x00b:1',
)
_FIELDS = (
    *_OWN,
    'version',
    'slots',
    'sequence',
    'warmupLeftMs',
    'remainingMs',
    'born',
)
_ODD_KEYS = (
    '',
    ' ',
    '@',
    'w-1@5',
    'a\r\nb',
    '\x00',
    '\N{SNOWMAN}',
    '\N{REPLACEMENT CHARACTER}',
    'k' * 255,
    '../w-1',
)


def _entry(**changes: object) -> bytes:
    return json.dumps({**_OWN, **changes}).encode()


#: Entries that are odd as a whole.
_MALFORMED = (
    b'\xff\xfe',
    b'{',
    b'null',
    _DEEP,
    b'{"service":' + _DEEP + b'}',
    b'{"slots":' + b'9' * 5000 + b'}',
    b'{"remainingMs":1e400}',
)


def _odd_entries(field: str) -> list[bytes]:
    """Return entries with an odd value in one field."""
    return [_entry(**{field: value}) for value in _ODD_VALUES]


_ODD_ENTRIES = [
    *_MALFORMED,
    *(raw for field in _FIELDS for raw in _odd_entries(field)),
]


class _FirstOfTwo(FakeWorker):
    """Lists its runs for the first worker; the second one has none."""

    async def hold(
        self,
        entry: WorkerEntry,
        order: HoldOrder,
        timeout: Seconds,
    ) -> Listing | OrderAnswer:
        """See `WorkerCalls.hold`."""
        answer = await super().hold(entry, order, timeout)
        if isinstance(answer, Listing) and entry.name != _NAME:
            return answer._replace(active=[], ended=[])
        return answer


class OddEntriesTest(FleetTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.decode_entry = decode_worker

    async def write_entry(self, listed: bool, name: str = _NAME) -> None:
        value = _entry() if listed else b''
        await self.store.append(WORKERS, [KeyedRecord(name, value)])

    async def write_odd_entries(self) -> None:
        """Write odd entries under keys of their own and under odd keys."""
        records = [
            KeyedRecord(f'odd-{number}', raw)
            for number, raw in enumerate(_ODD_ENTRIES)
        ]
        records += [KeyedRecord(key, _entry()) for key in _ODD_KEYS]
        await self.store.append(WORKERS, records)

    def test_jobs_run_beside_odd_entries_and_after_a_takeover(self) -> None:
        """Else each owner in turn ends, or doesn't see workers any more."""

        async def scenario(owner: ShardOwner) -> None:
            await self.write_odd_entries()
            await asyncio.sleep(READ_WAIT)
            workers = FakeWorker()
            next_owner = await self.take_ownership(1, workers)
            running = asyncio.create_task(next_owner.run())
            await asyncio.sleep(READ_WAIT)
            task = await self.submit(next_owner)
            self.assertFalse(running.done())
            self.assertEqual(
                [task.key], [one.key.task for one in workers.starts]
            )
            running.cancel()

        self.run_scenario(scenario)

    def test_runs_survive_another_start_under_their_workers_key(self) -> None:
        """Else they are started again on another worker while they go on."""

        async def scenario(owner: ShardOwner) -> None:
            owner.resign()
            worker = _FirstOfTwo()
            next_owner = await self.take_ownership(1, worker)
            running = asyncio.create_task(next_owner.run())
            await asyncio.sleep(READ_WAIT)
            task = await self.submit(next_owner)
            await self.write_entry(listed=True, name='w-2')
            await asyncio.sleep(READ_WAIT)
            foreign = KeyedRecord(_NAME, _entry(born=7))
            await self.store.append(WORKERS, [foreign])
            await asyncio.sleep(READ_WAIT)
            self.assertEqual((RunNumber(1), _NAME), (task.run, task.worker))
            self.assertEqual(1, len(worker.starts))
            await self.write_entry(listed=True)
            await asyncio.sleep(READ_WAIT)
            tracked = next_owner.state.tracked_by_worker[task.worker]
            self.assertTrue(tracked.accepts_work(self.clock()))
            running.cancel()

        self.run_scenario(scenario)

    def test_runs_survive_odd_entries_under_their_workers_key(self) -> None:
        """Else tasks are started again while their first runs go on."""

        async def overwrite(
            owner: ShardOwner, entries: Sequence[bytes]
        ) -> None:
            worker = owner._ports.worker_calls
            assert isinstance(worker, FakeWorker)
            task = await self.submit(owner)
            key = RunKey(task.key, task.run)
            for progress, raw in enumerate(entries):
                # Else the run would be taken for stalled.
                worker.active[key] = ActiveRun(key, '', progress * 4)
                await self.store.append(WORKERS, [KeyedRecord(_NAME, raw)])
                await asyncio.sleep(READ_WAIT)
                self.assertEqual(RunNumber(1), task.run, raw[:_MAX_SHOWN])
            self.assertIn(JOB, owner.state.job_by_id)
            self.assertEqual(1, len(worker.starts))

        for entries in (_MALFORMED, *map(_odd_entries, _FIELDS)):
            self.store = MemoryStore()
            self.run_scenario(partial(overwrite, entries=entries))
