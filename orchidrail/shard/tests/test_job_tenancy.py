"""Tests that jobs belong to one tenant, across owners and versions."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any, cast

import msgspec

from orchidrail.instance.peer_service import PeerService
from orchidrail.journal import JournalView
from orchidrail.journal.writer import take_over
from orchidrail.shard.owner import ShardOwner
from orchidrail.shard.tests.test_owner import make_ports
from orchidrail.store import Topic
from orchidrail.store.memory import MemoryStore
from orchidrail.testing import AsyncTestCase
from orchidrail.types import (
    Address,
    Epoch,
    InstanceId,
    JobId,
    RunNumber,
    TaskKey,
    TenantId,
    WorkCode,
    WorkerName,
)
from orchidrail.wire.messages import (
    CancelWork,
    Message,
    QueryWork,
    SubmitWork,
)
from orchidrail.work.model import (
    JobSpec,
    MemberInfo,
    QueueSettings,
    StepSpec,
)
from orchidrail.work.records import (
    EndedRecord,
    JobPhase,
    JobRecord,
    LingeringRun,
    decode_job,
    encode,
    job_key,
)
from orchidrail.work.size import Size
from orchidrail.work.tenant import ANONYMOUS_TENANT, Tenant
from orchidrail.work.tests.test_job import make_job

_ME = MemberInfo(InstanceId('me'), Address('me:1'), 'zone', 'me-1')
_JOB = JobId('0123456789abcdef')
_QUEUE = make_job(StepSpec(1)).queue
_SPEC = JobSpec('text', (StepSpec(2, Size(2000, 10)),))
_STORES = Tenant(TenantId('stores'), 2, Size(3000, 0))
_BUYERS = Tenant(TenantId('buyers'), 1)


class _OldJobRecord(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='open',
):
    """Job record of the version without tenants."""

    queue: QueueSettings
    spec: JobSpec
    accepted_at: float


class _OldEndedRecord(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='ended',
):
    """Record of an ended job of that version."""

    phase: JobPhase
    ended_at: float
    queue: str = ''
    cause: str = ''


class JobTenancyTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = MemoryStore()

    async def take_ownership(self, epoch: int, *tenants: Tenant) -> ShardOwner:
        view = JournalView(self.store, Topic('journal'))
        writer = await take_over(view, _ME, time.monotonic, Epoch(epoch))
        by_name = {tenant.name: tenant for tenant in tenants}
        ports = make_ports(self.store)._replace(find_tenant=by_name.get)
        return ShardOwner(writer, ports)

    def run_scenario(
        self,
        scenario: Callable[[ShardOwner], Awaitable[None]],
        *tenants: Tenant,
    ) -> None:
        """Run a scenario beside the owner."""

        async def run() -> None:
            owner = await self.take_ownership(0, *tenants)
            running = asyncio.create_task(owner.run())
            try:
                await scenario(owner)
            finally:
                running.cancel()

        self.run_async(run())

    async def ask(self, owner: ShardOwner, message: Message) -> Any:
        service = PeerService(
            cast('Any', None),
            cast('Any', SimpleNamespace(owner=owner)),
            cast('Any', None),
            cast('Any', None),
        )
        return await service.handle(message)

    async def submit(self, owner: ShardOwner, tenant: Tenant) -> WorkCode:
        message = SubmitWork(
            job_id=_JOB,
            queue=encode(_QUEUE),
            spec=encode(_SPEC),
            patience=1,
            tenant=b'' if tenant is ANONYMOUS_TENANT else encode(tenant),
        )
        return (await self.ask(owner, message)).code

    def test_job_is_visible_to_its_tenant_only(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            self.assertIs(WorkCode.OK, await self.submit(owner, _STORES))
            for name, code in (
                ('stores', WorkCode.OK),
                ('buyers', WorkCode.NO_SUCH_JOB),
                ('', WorkCode.OK),
            ):
                message = QueryWork(job_id=_JOB, tenant=TenantId(name))
                answer = await self.ask(owner, message)
                self.assertIs(code, answer.code)

        self.run_scenario(scenario)

    def test_job_can_be_cancelled_by_its_tenant_only(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            await self.submit(owner, _STORES)
            message = CancelWork(job_id=_JOB, tenant=_BUYERS.name)
            answer = await self.ask(owner, message)
            self.assertIs(WorkCode.NO_SUCH_JOB, answer.code)
            self.assertIs(JobPhase.QUEUED, owner.phase(_JOB))
            message = CancelWork(job_id=_JOB, tenant=_STORES.name)
            answer = await self.ask(owner, message)
            self.assertIs(WorkCode.OK, answer.code)

        self.run_scenario(scenario)

    def test_job_id_used_by_two_tenants_belongs_to_the_first(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            await self.submit(owner, _STORES)
            for tenant, code in (
                (_STORES, WorkCode.OK),
                (_BUYERS, WorkCode.ID_CONFLICT),
                (ANONYMOUS_TENANT, WorkCode.ID_CONFLICT),
            ):
                self.assertIs(code, await self.submit(owner, tenant))
            job = owner.state.job_by_id[_JOB]
            self.assertEqual(_STORES, job.tenant)

        self.run_scenario(scenario)

    def test_next_owner_restores_the_tenant_of_a_job(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            await self.submit(owner, _STORES)
            following = await self.take_ownership(1)
            self.assertEqual(_STORES, following.state.job_by_id[_JOB].tenant)

        self.run_scenario(scenario)

    def test_limit_of_a_removed_tenant_still_applies(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            await self.submit(owner, _STORES)
            step = owner.state.job_by_id[_JOB].steps(0)[0]
            allowed = owner.state.ledger.within_limit(step, step.tasks)
            self.assertEqual(1, len(allowed))

        self.run_scenario(scenario)

    def test_job_above_its_tenants_limit_is_rejected_at_once(self) -> None:
        async def scenario(owner: ShardOwner) -> None:
            code = await self.submit(owner, _STORES)
            self.assertIs(WorkCode.NEVER_FITS, code)
            self.assertIsNone(owner.phase(_JOB))

        small = Tenant(_STORES.name, 2, Size(1999, 0))
        self.run_scenario(scenario, small)

    def test_lingering_runs_of_an_ended_job_count_against_the_limit(
        self,
    ) -> None:
        left = LingeringRun(
            TaskKey(f'{_JOB}.0.0.1'),
            RunNumber(1),
            Size(2000, 10),
            WorkerName('w-1'),
            7,
        )
        ended = EndedRecord(
            JobPhase.CANCELLED,
            time.time(),
            tenant=_STORES,
            lingering_runs=(left,),
        )

        async def scenario(owner: ShardOwner) -> None:
            owner.writer.put(job_key(_JOB), encode(ended))
            await owner.writer.flush()
            following = await self.take_ownership(1)
            ledger = following.state.ledger
            self.assertEqual(Size(2000, 10), ledger.used(_STORES.name))
            for worker in list(following.state.unresolved_runs):
                following.state.unresolved_runs.pop_runs(worker)
            self.assertEqual(Size(), ledger.used(_STORES.name))

        self.run_scenario(scenario)


class RecordCompatibilityTest(AsyncTestCase):
    def test_records_of_the_previous_version_have_no_tenant(self) -> None:
        old = encode(_OldJobRecord(_QUEUE, _SPEC, 5))
        self.assertEqual(JobRecord(_QUEUE, _SPEC, 5), decode_job(old))
        ended = encode(_OldEndedRecord(JobPhase.FAILED, 5))
        self.assertEqual(EndedRecord(JobPhase.FAILED, 5), decode_job(ended))

    def test_previous_version_reads_current_records(self) -> None:
        decoder = msgspec.msgpack.Decoder(_OldJobRecord | _OldEndedRecord)
        record = JobRecord(_QUEUE, _SPEC, 5, _STORES, True)
        old = decoder.decode(encode(record))
        self.assertEqual(_OldJobRecord(_QUEUE, _SPEC, 5), old)
        ended = EndedRecord(JobPhase.FAILED, 5, 'quick', tenant=_STORES)
        old = decoder.decode(encode(ended))
        expected = _OldEndedRecord(JobPhase.FAILED, 5, 'quick')
        self.assertEqual(expected, old)
