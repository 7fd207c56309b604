"""Tests of refusals without the owner, and of what must prevent them.

A refusal says that the job never runs. An instance knows only its own
attempts, so a digest may be used if the owner built it after the request came
in, and if the job is not among those that the owner may know.
"""

from __future__ import annotations

import asyncio
import time

import msgspec

from orchidrail.admission.digest import encode_digest
from orchidrail.admission.recent_jobs import RecentJobs
from orchidrail.admission.tests.test_digest import (
    EMPTY_FILTER,
    JOB,
    make_gate,
)
from orchidrail.admission.tests.test_forecast import make_queue, make_spec
from orchidrail.ingress.job_forwarder import JobAnswer, JobForwarder
from orchidrail.journal import JournalView
from orchidrail.metrics import InstanceMetrics
from orchidrail.peers.table import OwnerClaim, PeerTable
from orchidrail.peers.tests.test_table import make_member, make_state
from orchidrail.store import Topic
from orchidrail.store.memory import MemoryStore
from orchidrail.testing import AsyncTestCase, ScriptedTransport
from orchidrail.types import (
    Address,
    CallFailure,
    Epoch,
    InstanceId,
    Seconds,
    WorkCode,
)
from orchidrail.wire.messages import Message, SubmitWork, WorkAnswer

#: Objective of 3 s, of use until 9 s.
_QUEUE = make_queue()
_SPEC = make_spec(1)
_QUARTER: Seconds = 0.75
_ACCEPTED = WorkAnswer(code=WorkCode.OK)


class LoadRefusalsTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.answers: list[Message | CallFailure] = []
        self.clock_offset: Seconds = 0
        self.table = PeerTable(make_member('me'), self._clock)
        self.transport = ScriptedTransport(self._answer)
        self.forwarder = JobForwarder(
            self.table,
            self.transport,
            JournalView(MemoryStore(), Topic('journal')),
            self._handle,
            lambda: None,
            self._clock,
            InstanceMetrics(),
        )
        self.owner_replies_in(0)

    def owner_replies_in(self, seconds: Seconds) -> None:
        """Set how long the owner usually takes."""
        for _ in range(50):
            self.forwarder._load_refusals.note_reply(seconds)

    def hear(
        self, epoch: int = 1, known: bytes = EMPTY_FILTER, raw: bytes = b''
    ) -> None:
        """Receive the owner's answer to a ping sent now."""
        digest = raw or encode_digest(Epoch(epoch), [make_gate()], known)
        state = msgspec.structs.replace(
            make_state('owner', 'z-2', epoch=epoch), load=digest
        )
        self.table.record_heartbeat(state, self._clock())

    def submit(
        self, timeout: Seconds = 2.5, hear_after: Seconds | None = None
    ) -> JobAnswer:
        """Submit a job; hear from the owner again some time later."""

        async def scenario() -> JobAnswer:
            if hear_after is not None:
                asyncio.get_running_loop().call_later(hear_after, self.hear)
            return await self.forwarder.submit(JOB, _QUEUE, _SPEC, timeout)

        return self.run_async(scenario())

    def sent(self) -> int:
        return len(self.transport.sent(SubmitWork))

    def _clock(self) -> Seconds:
        return time.monotonic() + self.clock_offset

    def _answer(
        self, address: Address, message: Message
    ) -> Message | CallFailure:
        return self.answers.pop(0) if self.answers else CallFailure.NOT_SENT

    async def _handle(self, message: Message) -> Message:
        return WorkAnswer(code=WorkCode.NOT_OWNER)

    def test_an_owner_that_replies_soon_is_asked(self) -> None:
        self.hear()
        self.answers = [_ACCEPTED]
        self.assertIs(WorkCode.OK, self.submit(hear_after=0.05).code)

    def test_a_slow_owner_is_not_asked_what_it_refuses(self) -> None:
        self.hear()
        self.owner_replies_in(0.5)
        answer = self.submit(hear_after=0.05)
        self.assertIs(WorkCode.REJECTED, answer.code)
        self.assertGreaterEqual(answer.retry_after, 1)
        self.assertEqual(0, self.sent())

    def test_a_digest_from_before_the_request_refuses_nothing(self) -> None:
        """An attempt by another instance may have been accepted since."""
        self.hear()
        self.owner_replies_in(0.5)
        self.answers = [_ACCEPTED]
        began = time.monotonic()
        self.assertIs(WorkCode.OK, self.submit().code)
        self.assertLess(time.monotonic() - began, _QUARTER)

    def test_a_job_that_the_owner_may_know_reaches_it(self) -> None:
        recent = RecentJobs()
        recent.add(JOB, 0)
        self.hear(known=recent.to_bytes(0))
        self.owner_replies_in(0.5)
        self.answers = [_ACCEPTED]
        self.assertIs(WorkCode.OK, self.submit().code)

    def test_the_owner_is_killed_after_its_digest(self) -> None:
        """The next owner may accept; its digest is not known yet."""
        self.hear(epoch=1)
        self.owner_replies_in(0.5)
        claim = OwnerClaim(Epoch(2), InstanceId('next'), Address('next:1'))
        self.table.update_claim(claim)
        self.answers = [_ACCEPTED]
        self.assertIs(WorkCode.OK, self.submit().code)

    def test_a_digest_of_an_older_epoch_is_ignored(self) -> None:
        self.hear(epoch=2)
        self.hear(epoch=1)
        received = self.table.load_digest
        assert received is not None
        self.assertEqual(2, received.digest.epoch)

    def test_a_digest_without_refusals_replaces_the_last(self) -> None:
        self.hear()
        state = make_state('owner', 'z-2', epoch=1)
        self.table.record_heartbeat(state, self._clock())
        self.assertIsNone(self.table.load_digest)

    def test_an_unreadable_digest_is_ignored(self) -> None:
        self.hear(raw=b'\x93\x01xx')
        self.assertIsNone(self.table.load_digest)
        self.hear(raw=b'\x01')
        self.assertIsNone(self.table.load_digest)

    def test_an_uncertain_outcome_stays_uncertain(self) -> None:
        """A digest or a refusal after a lost answer proves nothing."""
        self.hear()
        self.answers = [
            CallFailure.ANSWER_LOST,
            WorkAnswer(code=WorkCode.REJECTED, retry_after=3),
        ]
        self.assertIs(WorkCode.UNCERTAIN, self.submit(timeout=0.3).code)

    def test_the_owners_time_to_return_is_passed_on(self) -> None:
        self.hear()
        self.answers = [WorkAnswer(code=WorkCode.REJECTED, retry_after=3)]
        self.assertEqual((WorkCode.REJECTED, 3), self.submit_and_read())

    def test_an_owner_that_has_just_gone_is_waited_for(self) -> None:
        """Its successor usually accepts jobs a second later."""
        self.hear()
        self.clock_offset = 0.4
        self.table.is_partitioned = bool  # type: ignore[method-assign]
        began = time.monotonic()
        self.assertIs(WorkCode.REJECTED, self.submit(timeout=2).code)
        self.assertGreater(time.monotonic() - began, 1.9)

    def test_an_owner_that_is_long_gone_is_not(self) -> None:
        """Zones are connected, but nobody owns the shard, as without a store.

        Nothing was sent, so that the refusal is certain.
        """
        self.hear()
        self.clock_offset = 6
        self.table.record_heartbeat(make_state('peer', 'z-2'))
        began = time.monotonic()
        answer = self.submit(timeout=2.9)
        self.assertIs(WorkCode.REJECTED, answer.code)
        self.assertGreaterEqual(answer.retry_after, 2)
        self.assertLess(time.monotonic() - began, _QUARTER)
        self.assertEqual(0, self.sent())

    def submit_and_read(self) -> tuple[WorkCode, Seconds]:
        answer = self.submit()
        return answer.code, answer.retry_after
