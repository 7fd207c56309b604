"""Test case with a shard owner and the entries of its workers."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec
from result import Err, Ok, Result

from orchidrail.journal import JournalView
from orchidrail.journal.writer import take_over
from orchidrail.shard.fleet import EntryDecoder
from orchidrail.shard.owner import ShardOwner
from orchidrail.shard.tests.test_owner import make_ports
from orchidrail.store import KeyedRecord, Topic
from orchidrail.store.memory import MemoryStore
from orchidrail.testing import TEST_TIMEOUT, AsyncTestCase, ReturnT
from orchidrail.types import (
    Address,
    Epoch,
    InstanceId,
    JobId,
    Seconds,
)
from orchidrail.work.model import JobSpec, MemberInfo, StepSpec
from orchidrail.work.records import encode
from orchidrail.work.step import Task
from orchidrail.work.tests.test_job import make_job
from orchidrail.workers.entry_errors import EntryErrorKind, InvalidEntry
from orchidrail.workers.port import (
    WorkerEntry,
)
from orchidrail.workers.tests.fakes import FakeWorker, make_entry
from standins.model.loop import run_in_virtual_time

ME = MemberInfo(InstanceId('me'), Address('me:1'), 'zone', 'me-1')
WORKERS = Topic('workers')
READ_WAIT = 0.5
#: Clocks that start at 0 would hide times that were never set.
_STARTED_AT: Seconds = 1000
#: Time that passes between two calls of the clock.
_CLOCK_STEP: Seconds = 1e-6
JOB = JobId('0123456789abcdef')
INVALID_ENTRY = b'bad'
_decode_entry = msgspec.msgpack.Decoder(WorkerEntry).decode


def decode(key: str, raw: bytes) -> Result[WorkerEntry, InvalidEntry]:
    if raw == INVALID_ENTRY:
        return Err(InvalidEntry(EntryErrorKind.UNREADABLE, repr(raw)))
    return Ok(_decode_entry(raw))


class FleetTestCase(AsyncTestCase):
    """Runs scenarios against a first owner, which has one worker.

    They run in virtual time, so their waits don't depend on the machine's load.
    """

    def setUp(self) -> None:
        super().setUp()
        self.store = MemoryStore()
        self._calls = itertools.count()
        self.decode_entry: EntryDecoder = decode

    def run_async(self, work: Coroutine[Any, Any, ReturnT]) -> ReturnT:
        """See `AsyncTestCase.run_async`."""
        return run_in_virtual_time(asyncio.wait_for(work, TEST_TIMEOUT))

    def clock(self) -> Seconds:
        """Return the monotonic clock of the owners.

        As a real clock, it advances between any two calls.
        """
        advanced = next(self._calls) * _CLOCK_STEP
        return _STARTED_AT + asyncio.get_running_loop().time() + advanced

    async def write_entry(self, listed: bool, name: str = 'w-1') -> None:
        entry = make_entry(name)
        value = encode(entry) if listed else b''
        await self.store.append(WORKERS, [KeyedRecord(entry.worker, value)])

    async def take_ownership(
        self,
        epoch: int,
        workers: FakeWorker | None = None,
    ) -> ShardOwner:
        view = JournalView(self.store, Topic('journal'))
        writer = await take_over(view, ME, self.clock, Epoch(epoch))
        ports = make_ports(self.store)._replace(
            decode_entry=self.decode_entry,
            worker_calls=workers or FakeWorker(),
            clock=self.clock,
            wall_clock=self.clock,
        )
        return ShardOwner(writer, ports)

    def run_scenario(
        self, scenario: Callable[[ShardOwner], Awaitable[None]]
    ) -> None:
        """Run a scenario while the first owner, with one worker, runs."""

        async def run() -> None:
            await self.write_entry(listed=True)
            owner = await self.take_ownership(0)
            running = asyncio.create_task(owner.run())
            await asyncio.sleep(READ_WAIT)
            try:
                await scenario(owner)
            finally:
                running.cancel()

        self.run_async(run())

    async def write_incarnation_entry(self, born: int | None) -> None:
        """Write the entry of an incarnation of the one worker."""
        entry = msgspec.structs.replace(make_entry(), born=born)
        await self.store.append(
            WORKERS, [KeyedRecord(entry.name, encode(entry))]
        )
        await asyncio.sleep(READ_WAIT)

    async def submit(self, owner: ShardOwner) -> Task:
        spec = JobSpec('text', (StepSpec(1),))
        queue = make_job(StepSpec(1)).queue
        self.assertTrue(await owner.submit(JOB, queue, spec))
        await asyncio.sleep(READ_WAIT)
        task = owner.state.job_by_id[JOB].find_task(0, 0, 0)
        assert task is not None
        return task
