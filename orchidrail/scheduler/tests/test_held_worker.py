"""Tests of calls to a worker under its lease."""

from __future__ import annotations

from orchidrail.scheduler.held_worker import START_WINDOW, StartFailure
from orchidrail.scheduler.tests.small_zone import (
    BATCH,
    ONE_SLOT,
    TENANT,
    TTL,
    SmallZone,
)
from orchidrail.testing import AsyncTestCase
from orchidrail.types import Address, CallFailure, JobId, TaskId, TaskState
from orchidrail.wire.messages import StartTasks, TaskReports, TaskSpec

_SPEC = TaskSpec(
    key=TaskId('j#0#0.1'),
    tenant=TENANT,
    class_name=BATCH,
    size=ONE_SLOT,
    ttl=60,
    job=JobId('j'),
)


class HeldWorkerTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.zone = SmallZone(workers=1)

    def test_outcomes_of_a_start_by_failure(self) -> None:
        cases = (
            (CallFailure.NOT_SENT, StartFailure.NOT_STARTED),
            (CallFailure.ANSWER_LOST, StartFailure.UNSURE),
        )
        for failure, expected in cases:

            async def scenario(failure: CallFailure = failure) -> object:
                zone = SmallZone(workers=1)
                await zone.hold()
                zone.transport.failing[Address('at:w-0')] = failure
                return await zone.held().start(_SPEC)

            self.assert_err(self.run_async(scenario()), expected)

    def test_a_paused_holder_sends_nothing(self) -> None:
        async def scenario() -> object:
            await self.zone.hold()
            self.zone.clock.now += TTL
            return await self.zone.held().start(_SPEC)

        self.assert_err(self.run_async(scenario()), StartFailure.NOT_STARTED)
        machine = next(iter(self.zone.machine_by_name.values()))
        self.assertEqual([], machine.journal)

    def test_late_duplicate_start_of_a_forgotten_task_is_refused(self) -> None:
        async def scenario() -> TaskReports:
            await self.zone.hold()
            held = self.zone.held()
            keeper = self.zone.daemon.keeper
            copy = StartTasks(tasks=[_SPEC], epoch=held.lease.epoch, sequence=1)
            await held.start(_SPEC)
            machine = next(iter(self.zone.machine_by_name.values()))
            machine.finish(_SPEC.key)
            held.pending.forget_later([_SPEC.key], held.lease.sequence)
            for _ in range(2 * START_WINDOW):
                await keeper.renew(held)
                answer = await machine.handle(copy)
            return answer

        answer = self.run_async(scenario())
        self.assertIs(TaskState.REFUSED, answer.tasks[0].state)
        machine = next(iter(self.zone.machine_by_name.values()))
        starts = [entry for entry in machine.journal if entry.event == 'start']
        self.assertEqual(1, len(starts))
