"""Tests of how the scheduler handles requests."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from orchidrail.bundles.model import Bundle
from orchidrail.keys import RequestKey
from orchidrail.scheduler.tests.small_zone import (
    ONE_SLOT,
    REQUEST,
    TENANT,
    TTL,
    ZONE,
    SmallZone,
)
from orchidrail.testing import AsyncTestCase
from orchidrail.types import (
    ClassName,
    RefusalCode,
    TaskState,
    Verdict,
    WorkerId,
)
from orchidrail.wire.messages import (
    Grant,
    GrantRequest,
    KeyRequest,
    Message,
    Refusal,
    TaskReport,
    TasksEnded,
)


def _request(key: str = '', patience: float = 0) -> GrantRequest:
    return GrantRequest(
        tenant=TENANT,
        class_name=REQUEST,
        size=ONE_SLOT,
        patience=patience,
        key=RequestKey(key),
    )


class RequestDeskTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.zone = SmallZone()

    async def grant(self, key: str = '') -> Message:
        return await self.zone.daemon.handle(_request(key))

    def test_a_key_is_granted_once(self) -> None:
        async def scenario() -> None:
            await self.zone.hold()
            key = self.zone.key()
            first = await self.grant(key)
            again = await self.grant(key)
            self.assertIsInstance(first, Grant)
            self.assertIsInstance(again, Grant)
            self.assertEqual(first.task, again.task)
            self.assertEqual(first.worker, again.worker)

        self.run_async(scenario())

    def test_a_refused_claim_does_not_spend_the_key(self) -> None:
        """The lease expires at the worker before its holder notices."""

        async def scenario() -> Message:
            await self.zone.hold()
            machine = self.zone.machine_by_name[WorkerId('w-0')]
            machine.lapse()
            return await self.grant(self.zone.key())

        answer = self.run_async(scenario())
        self.assertIsInstance(answer, Refusal)
        self.assertIs(RefusalCode.NOT_HOLDER, answer.code)

    def test_a_paused_holder_wakes_without_authority(self) -> None:
        async def scenario() -> Message:
            await self.zone.hold()
            self.zone.clock.now += TTL
            return await self.grant(self.zone.key())

        answer = self.run_async(scenario())
        self.assertIs(RefusalCode.NOT_HOLDER, answer.code)

    def test_a_key_of_an_earlier_start_may_have_run(self) -> None:
        async def scenario() -> Message:
            await self.zone.hold()
            key = self.zone.key().replace('.b', '.earlier')
            return await self.grant(key)

        answer = self.run_async(scenario())
        self.assertIs(Verdict.MAY_HAVE_RUN, answer.verdict)

    def test_key_refused_for_lack_of_capacity_stays_refused(self) -> None:
        async def scenario() -> None:
            await self.zone.hold()
            for _ in range(4):
                self.assertIsInstance(await self.grant(), Grant)
            key = self.zone.key()
            running = self.zone.daemon.dispatcher.run()
            refused = await _run_with_background(running, self.grant(key))
            self.assertIs(Verdict.NOT_RUN, refused.verdict)
            running = self.zone.daemon.dispatcher.run()
            again = await _run_with_background(running, self.grant(key))
            self.assertIs(Verdict.NOT_RUN, again.verdict)

        self.run_async(scenario())

    def test_unknown_class_is_redirected_to_other_schedulers(self) -> None:
        """A scheduler that just started has not read the bundle yet."""

        async def scenario() -> Message:
            await self.zone.hold()
            self.zone.daemon.engine.use_bundle(Bundle(), ZONE)
            return await self.grant()

        answer = self.run_async(scenario())
        self.assertIs(RefusalCode.NOT_HOLDER, answer.code)

    def test_key_is_issued_only_for_a_known_class(self) -> None:
        """Whether another class needs a second witness is unknown."""

        async def scenario() -> Message:
            await self.zone.hold()
            request = KeyRequest(tenant=TENANT, class_name=ClassName('new'))
            return await self.zone.daemon.handle(request)

        answer = self.run_async(scenario())
        self.assertIsInstance(answer, Refusal)
        self.assertIs(RefusalCode.NOT_HOLDER, answer.code)

    def test_capacity_is_released_when_the_task_ends(self) -> None:
        async def scenario() -> None:
            await self.zone.hold()
            granted = await self.grant()
            place = self.zone.held(granted.worker).place
            self.assertEqual(1, len(place.ledger))
            report = TaskReport(key=granted.task, state=TaskState.FINISHED)
            await self.zone.daemon.handle(TasksEnded(tasks=[report]))
            self.assertEqual(0, len(place.ledger))

        self.run_async(scenario())


async def _run_with_background(
    background: Coroutine[Any, Any, None],
    work: Coroutine[Any, Any, Message],
) -> Message:
    """Run `work` while `background` runs."""
    task = asyncio.create_task(background)
    try:
        return await work
    finally:
        task.cancel()
