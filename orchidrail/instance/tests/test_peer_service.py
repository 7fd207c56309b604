"""Tests of the answers of the shard's owner to its peers."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace
from typing import Any, cast

from orchidrail.instance.peer_service import PeerService
from orchidrail.journal import JournalView
from orchidrail.journal.writer import take_over
from orchidrail.shard.owner import ShardOwner
from orchidrail.shard.tests.test_owner import make_ports
from orchidrail.store import Topic
from orchidrail.store.memory import MemoryStore, StoreFault
from orchidrail.testing import AsyncTestCase
from orchidrail.types import Address, Epoch, InstanceId, JobId, WorkCode
from orchidrail.wire.messages import Message, QueryWork
from orchidrail.work.model import JobSpec, MemberInfo, StepSpec
from orchidrail.work.records import FailureCause, JobPhase
from orchidrail.work.tests.test_job import make_job

_ME = MemberInfo(InstanceId('me'), Address('me:1'), 'zone', 'me-1')
_JOB = JobId('0123456789abcdef')


class PeerServiceTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = MemoryStore()

    async def take_over_shard(self, epoch: int) -> ShardOwner:
        view = JournalView(self.store, Topic('journal'))
        writer = await take_over(view, _ME, time.monotonic, Epoch(epoch))
        return ShardOwner(writer, make_ports(self.store))

    async def ask(self, owner: ShardOwner) -> Message:
        """Query a job from a process that considers itself the owner."""
        ownership = cast('Any', SimpleNamespace(owner=owner))
        service = PeerService(
            cast('Any', None),
            ownership,
            cast('Any', None),
            cast('Any', None),
        )
        return await service.handle(QueryWork(job_id=_JOB))

    def code(self, answer: Message) -> WorkCode:
        return cast('Any', answer).code

    def test_a_replaced_owner_does_not_deny_a_job(self) -> None:
        async def scenario() -> None:
            outdated_owner = await self.take_over_shard(0)
            successor = await self.take_over_shard(1)
            successor_task = asyncio.create_task(successor.run())
            queue = make_job(StepSpec(1)).queue
            await successor.submit(_JOB, queue, JobSpec('t', (StepSpec(1),)))
            outdated_owner.writer.confirmed_at -= 5
            outdated_task = asyncio.create_task(outdated_owner.run())
            answer = await self.ask(outdated_owner)
            self.assertIs(WorkCode.NOT_OWNER, self.code(answer))
            successor_task.cancel()
            outdated_task.cancel()

        self.run_async(scenario())

    def test_an_owner_reports_the_failure_cause(self) -> None:
        async def scenario() -> None:
            owner = await self.take_over_shard(0)
            owner_task = asyncio.create_task(owner.run())
            queue = make_job(StepSpec(1)).queue
            await owner.submit(_JOB, queue, JobSpec('t', (StepSpec(1),)))
            job = owner.state.job_by_id.pop(_JOB)
            job.phase = JobPhase.FAILED
            job.cause = FailureCause.CRASHED_WORKERS
            await owner.state.save(job).wait()
            answer = cast('Any', await self.ask(owner))
            self.assertEqual('crashedWorkers', answer.cause)
            owner_task.cancel()

        self.run_async(scenario())

    def test_a_confirmed_owner_denies_a_job(self) -> None:
        async def scenario() -> None:
            owner = await self.take_over_shard(0)
            owner_task = asyncio.create_task(owner.run())
            owner.writer.confirmed_at -= 5
            answer = await self.ask(owner)
            self.assertIs(WorkCode.NO_SUCH_JOB, self.code(answer))
            owner_task.cancel()

        self.run_async(scenario())

    def test_denies_nothing_while_the_store_is_unreachable(self) -> None:
        async def scenario() -> None:
            owner = await self.take_over_shard(0)
            self.store.fault = StoreFault.REFUSES
            owner_task = asyncio.create_task(owner.run())
            owner.writer.confirmed_at -= 5
            answer = await self.ask(owner)
            self.assertIs(WorkCode.NOT_OWNER, self.code(answer))
            owner_task.cancel()

        self.run_async(scenario())
