"""Tests of what a process answers its peers as the shard's owner."""

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

    async def take(self, epoch: int) -> ShardOwner:
        view = JournalView(self.store, Topic('journal'))
        writer = await take_over(view, _ME, time.monotonic, Epoch(epoch))
        return ShardOwner(writer, make_ports(self.store))

    async def ask(self, owner: ShardOwner) -> Message:
        """Ask a process that believes itself the owner for the job."""
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

    def test_an_owner_that_was_paused_does_not_deny_a_job(self) -> None:
        async def scene() -> None:
            paused = await self.take(0)
            following = await self.take(1)
            serving = asyncio.create_task(following.run())
            queue = make_job(StepSpec(1)).queue
            await following.submit(_JOB, queue, JobSpec('t', (StepSpec(1),)))
            paused.writer.confirmed_at -= 5
            waking = asyncio.create_task(paused.run())
            answer = await self.ask(paused)
            self.assertIs(WorkCode.NOT_OWNER, self.code(answer))
            serving.cancel()
            waking.cancel()

        self.run_async(scene())

    def test_an_owner_tells_why_a_job_was_given_up(self) -> None:
        async def scene() -> None:
            owner = await self.take(0)
            serving = asyncio.create_task(owner.run())
            queue = make_job(StepSpec(1)).queue
            await owner.submit(_JOB, queue, JobSpec('t', (StepSpec(1),)))
            job = owner.state.job_by_id.pop(_JOB)
            job.phase = JobPhase.FAILED
            job.cause = FailureCause.CRASHED_WORKERS
            await owner.state.save(job).wait()
            answer = cast('Any', await self.ask(owner))
            self.assertEqual('crashedWorkers', answer.cause)
            serving.cancel()

        self.run_async(scene())

    def test_a_confirmed_owner_denies_a_job(self) -> None:
        async def scene() -> None:
            owner = await self.take(0)
            serving = asyncio.create_task(owner.run())
            owner.writer.confirmed_at -= 5
            answer = await self.ask(owner)
            self.assertIs(WorkCode.NO_SUCH_JOB, self.code(answer))
            serving.cancel()

        self.run_async(scene())

    def test_nothing_is_denied_while_the_store_is_away(self) -> None:
        async def scene() -> None:
            owner = await self.take(0)
            self.store.fault = StoreFault.REFUSES
            serving = asyncio.create_task(owner.run())
            owner.writer.confirmed_at -= 5
            answer = await self.ask(owner)
            self.assertIs(WorkCode.NOT_OWNER, self.code(answer))
            serving.cancel()

        self.run_async(scene())
