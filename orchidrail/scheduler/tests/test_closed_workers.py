"""Tests of a scheduler whose workers accept no new work."""

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

#: Time that the caller waits for a place.
_PATIENCE: Seconds = 8
#: Time within which a redirect must come: gateways then ask the next one.
_REDIRECT_TIMEOUT: Seconds = 0.5
#: Between the request and the closing of the workers.
_CLOSING_DELAY: Seconds = 0.3
#: Time by which a task was offered to other holders and started.
_JOB_START_TIME: Seconds = 2


class ClosedWorkersCase(JobCase):
    """Two workers, held by one scheduler or by one each."""

    def setUp(self) -> None:
        super().setUp()
        self.zone = SmallZone(workers=2)
        self.daemon = self.zone.daemon
        self.daemons = [self.daemon]

    async def hold(self) -> None:
        """Hold all workers and serve the queue; a peer has open workers."""
        await self.zone.hold()
        self.daemon.engine.peer_shapes = [CAPACITY]
        self.run_loop(self.daemon.dispatcher.run())

    async def grant(self, key: str = '') -> Message:
        """Request a grant with a long timeout."""
        message = GrantRequest(
            tenant=TENANT,
            class_name=REQUEST,
            size=ONE_SLOT,
            patience=_PATIENCE,
            key=RequestKey(key),
        )
        return await self.daemon.handle(message)

    async def fill(self) -> None:
        """Allocate all capacity of the workers."""
        for _ in range(4):
            self.assertIsInstance(await self.grant(), Grant)

    def close_all(self) -> None:
        """Mark one worker as leaving and hand over the other."""
        self.daemon.fleet.hint_leaving(WorkerId('w-0'))
        self.begin_handover('w-1')

    def begin_handover(self, worker: str) -> None:
        """Start the handover of a worker, as the lease keeper does."""
        held = self.zone.held(worker)
        held.handing_over_since = self.zone.clock()
        held.place.open = False

    def assert_redirected(self, answer: Message) -> None:
        """Fail unless the answer redirects to another scheduler."""
        self.assertIsInstance(answer, Refusal)
        self.assertIs(RefusalCode.NOT_HOLDER, answer.code)


class ClosedWorkersTest(ClosedWorkersCase):
    """No held worker accepts new work."""

    def test_request_is_redirected_to_other_schedulers(self) -> None:
        async def scenario() -> Message:
            await self.hold()
            self.close_all()
            return await asyncio.wait_for(self.grant(), _REDIRECT_TIMEOUT)

        self.assert_redirected(self.run_scenario(scenario()))

    def test_waiting_request_is_redirected(self) -> None:
        async def scenario() -> Message:
            await self.hold()
            await self.fill()
            waiting = asyncio.create_task(self.grant())
            await asyncio.sleep(_CLOSING_DELAY)
            self.assertFalse(waiting.done())
            self.close_all()
            return await asyncio.wait_for(waiting, _REDIRECT_TIMEOUT)

        self.assert_redirected(self.run_scenario(scenario()))

    def test_too_small_open_worker_does_not_delay_redirect(self) -> None:
        """Only the closed worker is large enough for the request."""

        async def scenario() -> Message:
            await self.hold()
            self.daemon.fleet.hint_leaving(WorkerId('w-0'))
            small = self.zone.held('w-1').place.ledger
            small.capacity = Resources(8, 8, 0, slots=0, connections=8)
            return await asyncio.wait_for(self.grant(), _REDIRECT_TIMEOUT)

        self.assert_redirected(self.run_scenario(scenario()))

    def test_a_request_waits_while_a_worker_is_open(self) -> None:
        async def scenario() -> None:
            await self.hold()
            await self.fill()
            self.begin_handover('w-1')
            waiting = asyncio.create_task(self.grant())
            await asyncio.sleep(_REDIRECT_TIMEOUT)
            self.assertFalse(waiting.done())
            waiting.cancel()

        self.run_scenario(scenario())

    def test_request_waits_while_no_peer_could_place_it(self) -> None:
        """A redirect would only cause a load of repeated requests."""

        async def scenario() -> Message:
            await self.hold()
            self.daemon.engine.peer_shapes = []
            self.close_all()
            waiting = asyncio.create_task(self.grant())
            await asyncio.sleep(_REDIRECT_TIMEOUT)
            self.assertFalse(waiting.done())
            self.daemon.engine.peer_shapes = [CAPACITY]
            return await asyncio.wait_for(waiting, _REDIRECT_TIMEOUT)

        self.assert_redirected(self.run_scenario(scenario()))

    def test_keyed_request_is_left_to_the_next_holder(self) -> None:
        """A redirect while its witness is handed over leaves the key usable."""

        async def scenario() -> Message:
            await self.hold()
            key = self.zone.key('w-1')
            self.close_all()
            redirected = await asyncio.wait_for(
                self.grant(key), _REDIRECT_TIMEOUT
            )
            self.assert_redirected(redirected)
            held = self.zone.held('w-1')
            held.handing_over_since = None
            held.place.open = True
            return await self.grant(key)

        self.assertIsInstance(self.run_scenario(scenario()), Grant)


class OpenPeerTest(ClosedWorkersCase):
    """Another scheduler holds an open worker."""

    def setUp(self) -> None:
        super().setUp()
        self.peer = self.zone.start_daemon('s-2')
        self.daemons.append(self.peer)
        reached = self.zone.transport.machine_by_address
        for daemon in self.daemons:
            reached[daemon.members.me.address] = daemon

    async def hold_one_each(self) -> None:
        """Hold one worker at each scheduler; the first worker is leaving."""
        for daemon in self.daemons:
            await daemon.fleet.refresh()
            self.run_loop(daemon.dispatcher.run())
        mine, other = self.zone.services.instances
        await self.daemon.keeper.acquire(mine)
        await self.peer.keeper.acquire(other)
        self.daemon.fleet.hint_leaving(mine.name)
        await self.peer.gossiper.exchange_with_all()
        gossip = self.peer.members.exchange()
        await self.daemon.handle(gossip)

    def test_request_is_redirected_after_a_gossip_exchange(self) -> None:
        async def scenario() -> Message:
            await self.hold_one_each()
            return await asyncio.wait_for(self.grant(), _REDIRECT_TIMEOUT)

        self.assert_redirected(self.run_scenario(scenario()))

    def test_key_of_a_leaving_witness_is_granted_a_place_at_a_peer(
        self,
    ) -> None:
        """The key can be claimed only by the holder of its witness."""

        async def scenario() -> None:
            await self.hold_one_each()
            key = self.zone.key('w-0')
            first = await asyncio.wait_for(self.grant(key), _REDIRECT_TIMEOUT)
            again = await asyncio.wait_for(self.grant(key), _REDIRECT_TIMEOUT)
            self.assertIsInstance(first, Grant)
            self.assertEqual(WorkerId('w-1'), first.worker)
            self.assertEqual(first.task, again.task)
            self.assertEqual(first.worker, again.worker)

        self.run_scenario(scenario())

    def test_a_key_that_may_have_run_is_not_granted_again(self) -> None:
        """It was granted a place here before the worker was leaving."""

        async def scenario() -> None:
            await self.hold_one_each()
            place = self.zone.held('w-0').place
            place.open = True
            key = self.zone.key('w-0')
            first = await self.grant(key)
            place.open = False
            again = await asyncio.wait_for(self.grant(key), _REDIRECT_TIMEOUT)
            self.assertEqual(WorkerId('w-0'), first.worker)
            self.assertEqual(first.worker, again.worker)
            self.assertEqual(first.task, again.task)

        self.run_scenario(scenario())

    def test_a_key_that_was_refused_stays_refused(self) -> None:
        async def scenario() -> Message:
            await self.hold_one_each()
            key = self.zone.key('w-0')
            machine = self.zone.machine_by_name[WorkerId('w-0')]
            parsed = parse_key(key, time.time()).ok()
            machine.settle([parsed.claim])
            return await asyncio.wait_for(self.grant(key), _REDIRECT_TIMEOUT)

        answer = self.run_scenario(scenario())
        self.assertIsInstance(answer, Refusal)
        self.assertIs(RefusalCode.INVALID, answer.code)

    def test_claim_with_a_lost_answer_may_have_run(self) -> None:
        """The witness has stored the claim, but its answer is lost."""

        async def scenario() -> Message:
            await self.hold_one_each()
            failing = self.zone.transport.failing
            failing[Address('at:w-0')] = CallFailure.ANSWER_LOST
            return await asyncio.wait_for(
                self.grant(self.zone.key('w-0')),
                _REDIRECT_TIMEOUT,
            )

        answer = self.run_scenario(scenario())
        self.assertIsInstance(answer, Refusal)
        self.assertIs(Verdict.MAY_HAVE_RUN, answer.verdict)

    def test_job_of_a_leaving_witness_is_started_at_a_peer(self) -> None:
        """The task is queued here while it is offered to the peer."""

        async def scenario() -> None:
            await self.hold_one_each()
            self.run_log()
            self.apply_records(JobAccepted(job=SPEC))
            await asyncio.sleep(_JOB_START_TIME)
            journal = self.zone.machine_by_name[WorkerId('w-1')].journal
            started = [entry.job for entry in journal if entry.event == 'start']
            self.assertEqual([JOB], started)

        self.run_scenario(scenario())
