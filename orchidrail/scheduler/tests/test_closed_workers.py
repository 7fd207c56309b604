"""Tests of work at a scheduler whose workers take nothing new."""

from __future__ import annotations

import asyncio
import time

from orchidrail.jobs.records import JobAccepted
from orchidrail.keys import RequestKey, parse_key
from orchidrail.resources import Resources
from orchidrail.scheduler.tests.job_case import JOB, SPEC, JobCase
from orchidrail.scheduler.tests.small_zone import (
    CAPACITY,
    ONE_SLOT,
    REQUEST,
    TENANT,
    SmallZone,
)
from orchidrail.types import (
    Address,
    CallFailure,
    RefusalCode,
    Seconds,
    Verdict,
    WorkerId,
)
from orchidrail.wire.messages import Grant, GrantRequest, Message, Refusal

#: How long the caller would wait for a place.
_PATIENCE: Seconds = 8
#: What passing on may take: gateways ask the next scheduler after it.
_SOON: Seconds = 0.5
#: Between the request and what closes the workers.
_WAITED: Seconds = 0.3
#: By when a task has been offered to other holders and started.
_JOB_STARTED: Seconds = 2


class ClosedWorkersCase(JobCase):
    """Two workers, held by one scheduler or by one each."""

    def setUp(self) -> None:
        super().setUp()
        self.zone = SmallZone(workers=2)
        self.daemon = self.zone.daemon
        self.daemons = [self.daemon]

    async def hold(self) -> None:
        """Hold all workers and serve the queue; a peer has open ones."""
        await self.zone.hold()
        self.daemon.engine.peer_shapes = [CAPACITY]
        self.run_loop(self.daemon.dispatcher.run())

    async def grant(self, key: str = '') -> Message:
        """Ask for room for one request; the patience is long."""
        message = GrantRequest(
            tenant=TENANT,
            class_name=REQUEST,
            size=ONE_SLOT,
            patience=_PATIENCE,
            key=RequestKey(key),
        )
        return await self.daemon.handle(message)

    async def fill(self) -> None:
        """Take all room of the workers."""
        for _ in range(4):
            self.assertIsInstance(await self.grant(), Grant)

    def close_all(self) -> None:
        """Have one worker leave and the other be handed over."""
        self.daemon.fleet.hint_leaving(WorkerId('w-0'))
        self.hand_over('w-1')

    def hand_over(self, worker: str) -> None:
        """Begin to hand a worker over, as steering does."""
        held = self.zone.held(worker)
        held.handing_over_since = self.zone.clock()
        held.place.open = False

    def assert_passed_on(self, answer: Message) -> None:
        """Fail unless callers are told to ask another scheduler."""
        self.assertIsInstance(answer, Refusal)
        self.assertIs(RefusalCode.NOT_HOLDER, answer.code)


class ClosedWorkersTest(ClosedWorkersCase):
    """No worker that is held takes anything new."""

    def test_a_request_is_left_to_other_schedulers(self) -> None:
        async def scenario() -> Message:
            await self.hold()
            self.close_all()
            return await asyncio.wait_for(self.grant(), _SOON)

        self.assert_passed_on(self.play(scenario()))

    def test_a_request_that_waits_is_passed_on(self) -> None:
        async def scenario() -> Message:
            await self.hold()
            await self.fill()
            waiting = asyncio.create_task(self.grant())
            await asyncio.sleep(_WAITED)
            self.assertFalse(waiting.done())
            self.close_all()
            return await asyncio.wait_for(waiting, _SOON)

        self.assert_passed_on(self.play(scenario()))

    def test_an_open_worker_that_is_too_small_holds_nothing_up(self) -> None:
        """The closed one alone could ever take the request."""

        async def scenario() -> Message:
            await self.hold()
            self.daemon.fleet.hint_leaving(WorkerId('w-0'))
            small = self.zone.held('w-1').place.ledger
            small.capacity = Resources(8, 8, 0, slots=0, connections=8)
            return await asyncio.wait_for(self.grant(), _SOON)

        self.assert_passed_on(self.play(scenario()))

    def test_a_request_waits_while_a_worker_is_open(self) -> None:
        async def scenario() -> None:
            await self.hold()
            await self.fill()
            self.hand_over('w-1')
            waiting = asyncio.create_task(self.grant())
            await asyncio.sleep(_SOON)
            self.assertFalse(waiting.done())
            waiting.cancel()

        self.play(scenario())

    def test_a_request_waits_while_no_other_could_take_it(self) -> None:
        """Callers that asked again and again would wear all out."""

        async def scenario() -> Message:
            await self.hold()
            self.daemon.engine.peer_shapes = []
            self.close_all()
            waiting = asyncio.create_task(self.grant())
            await asyncio.sleep(_SOON)
            self.assertFalse(waiting.done())
            self.daemon.engine.peer_shapes = [CAPACITY]
            return await asyncio.wait_for(waiting, _SOON)

        self.assert_passed_on(self.play(scenario()))

    def test_a_keyed_request_is_left_to_the_next_holder(self) -> None:
        """Its witness is handed over; the key isn't spent on the way."""

        async def scenario() -> Message:
            await self.hold()
            key = self.zone.key('w-1')
            self.close_all()
            passed = await asyncio.wait_for(self.grant(key), _SOON)
            self.assert_passed_on(passed)
            held = self.zone.held('w-1')
            held.handing_over_since = None
            held.place.open = True
            return await self.grant(key)

        self.assertIsInstance(self.play(scenario()), Grant)


class OpenPeerTest(ClosedWorkersCase):
    """Another scheduler holds a worker that is open."""

    def setUp(self) -> None:
        super().setUp()
        self.peer = self.zone.start_daemon('s-2')
        self.daemons.append(self.peer)
        reached = self.zone.transport.machine_by_address
        for daemon in self.daemons:
            reached[daemon.members.me.address] = daemon

    async def hold_one_each(self) -> None:
        """Hold one worker at each scheduler; the first one's is leaving."""
        for daemon in self.daemons:
            await daemon.fleet.refresh()
            self.run_loop(daemon.dispatcher.run())
        mine, other = self.zone.services.instances
        await self.daemon.keeper.acquire(mine)
        await self.peer.keeper.acquire(other)
        self.daemon.fleet.hint_leaving(mine.name)
        await self.peer.gossiper.exchange_with_all()
        news = self.peer.members.exchange()
        await self.daemon.handle(news)

    def test_a_request_is_passed_on_after_the_news_of_a_peer(self) -> None:
        async def scenario() -> Message:
            await self.hold_one_each()
            return await asyncio.wait_for(self.grant(), _SOON)

        self.assert_passed_on(self.play(scenario()))

    def test_a_key_of_a_leaving_witness_is_granted_room_there(self) -> None:
        """Only the witness's holder may claim the key."""

        async def scenario() -> None:
            await self.hold_one_each()
            key = self.zone.key('w-0')
            first = await asyncio.wait_for(self.grant(key), _SOON)
            again = await asyncio.wait_for(self.grant(key), _SOON)
            self.assertIsInstance(first, Grant)
            self.assertEqual(WorkerId('w-1'), first.worker)
            self.assertEqual(first.task, again.task)
            self.assertEqual(first.worker, again.worker)

        self.play(scenario())

    def test_a_key_that_may_have_run_is_not_granted_again(self) -> None:
        """It was granted room here before the worker was leaving."""

        async def scenario() -> None:
            await self.hold_one_each()
            place = self.zone.held('w-0').place
            place.open = True
            key = self.zone.key('w-0')
            first = await self.grant(key)
            place.open = False
            again = await asyncio.wait_for(self.grant(key), _SOON)
            self.assertEqual(WorkerId('w-0'), first.worker)
            self.assertEqual(first.worker, again.worker)
            self.assertEqual(first.task, again.task)

        self.play(scenario())

    def test_a_key_that_was_refused_stays_refused(self) -> None:
        async def scenario() -> Message:
            await self.hold_one_each()
            key = self.zone.key('w-0')
            machine = self.zone.machine_by_name[WorkerId('w-0')]
            parsed = parse_key(key, time.time()).ok()
            machine.settle([parsed.claim])
            return await asyncio.wait_for(self.grant(key), _SOON)

        answer = self.play(scenario())
        self.assertIsInstance(answer, Refusal)
        self.assertIs(RefusalCode.INVALID, answer.code)

    def test_an_unsure_claim_may_have_run(self) -> None:
        """The witness has taken the claim, but its answer is lost."""

        async def scenario() -> Message:
            await self.hold_one_each()
            failing = self.zone.transport.failing
            failing[Address('at:w-0')] = CallFailure.ANSWER_LOST
            return await asyncio.wait_for(
                self.grant(self.zone.key('w-0')),
                _SOON,
            )

        answer = self.play(scenario())
        self.assertIsInstance(answer, Refusal)
        self.assertIs(Verdict.MAY_HAVE_RUN, answer.verdict)

    def test_a_job_of_a_leaving_witness_is_started_there(self) -> None:
        """Its task waits here, too, while it is offered to the other."""

        async def scenario() -> None:
            await self.hold_one_each()
            self.run_log()
            self.tell(JobAccepted(job=SPEC))
            await asyncio.sleep(_JOB_STARTED)
            journal = self.zone.machine_by_name[WorkerId('w-1')].journal
            started = [entry.job for entry in journal if entry.event == 'start']
            self.assertEqual([JOB], started)

        self.play(scenario())
