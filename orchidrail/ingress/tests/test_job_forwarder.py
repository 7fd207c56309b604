"""Tests of the answers to callers' job requests."""

from __future__ import annotations

import time

from orchidrail.ingress.job_forwarder import JobForwarder
from orchidrail.journal import JournalView
from orchidrail.metrics import InstanceMetrics
from orchidrail.peers.table import PeerTable
from orchidrail.peers.tests.test_table import make_member, make_state
from orchidrail.store import KeyedRecord, Topic
from orchidrail.store.memory import MemoryStore
from orchidrail.testing import AsyncTestCase, ScriptedTransport
from orchidrail.types import Address, CallFailure, JobId, WorkCode
from orchidrail.wire.messages import (
    Message,
    QueryWork,
    SubmitWork,
    WorkAnswer,
)
from orchidrail.work.model import JobSpec, StepSpec
from orchidrail.work.records import EndedRecord, JobPhase, encode, job_key
from orchidrail.work.tests.test_job import make_job

_JOB = JobId('0123456789abcdef')
_TOPIC = Topic('journal')
_SPEC = JobSpec('text', (StepSpec(1),))
_QUEUE = make_job(StepSpec(1)).queue


class JobForwarderTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.answers: list[Message | CallFailure] = []
        self.clock_offset: float = 0
        self.table = PeerTable(make_member('me'), self._clock)
        self.table.record_heartbeat(make_state('owner', 'z-2', epoch=1))
        self.transport = ScriptedTransport(self._answer)
        self.store = MemoryStore()
        self.forwarder = JobForwarder(
            self.table,
            self.transport,
            JournalView(self.store, _TOPIC),
            self._handle,
            lambda: None,
            self._clock,
            InstanceMetrics(),
        )

    def _clock(self) -> float:
        return time.monotonic() + self.clock_offset

    def _answer(
        self,
        address: Address,
        message: Message,
    ) -> Message | CallFailure:
        return self.answers.pop(0) if self.answers else CallFailure.NOT_SENT

    async def _handle(self, message: Message) -> Message:
        return WorkAnswer(code=WorkCode.NOT_OWNER)

    def submit(self, timeout: float = 0.3) -> WorkCode:
        work = self.forwarder.submit(_JOB, _QUEUE, _SPEC, timeout)
        return self.run_async(work).code

    def test_reports_an_accepted_job(self) -> None:
        self.answers = [WorkAnswer(code=WorkCode.OK)]
        self.assertIs(WorkCode.OK, self.submit())

    def test_rejects_only_if_no_attempt_can_have_succeeded(self) -> None:
        refusal = WorkAnswer(code=WorkCode.REJECTED)
        self.answers = [refusal]
        self.assertIs(WorkCode.REJECTED, self.submit())
        self.answers = [CallFailure.ANSWER_LOST, refusal]
        self.assertIs(WorkCode.UNCERTAIN, self.submit())

    def test_retries_after_a_lost_reply(self) -> None:
        self.answers = [
            CallFailure.ANSWER_LOST,
            WorkAnswer(code=WorkCode.NOT_OWNER),
            WorkAnswer(code=WorkCode.OK),
        ]
        self.assertIs(WorkCode.OK, self.submit(1))
        self.assertEqual(3, len(self.transport.sent(SubmitWork)))

    def test_sends_nothing_to_an_unresponsive_owner(self) -> None:
        self.clock_offset = 0.4
        self.assertIs(WorkCode.REJECTED, self.submit())
        self.assertEqual([], self.transport.sent(SubmitWork))

    def test_rejects_at_once_in_a_partitioned_zone(self) -> None:
        self.clock_offset = 1
        began = time.monotonic()
        self.assertIs(WorkCode.REJECTED, self.submit(3))
        self.assertLess(time.monotonic() - began, 0.1)

    def test_answers_for_an_ended_job_from_the_journal(self) -> None:
        ended = EndedRecord(JobPhase.FAILED, 0)
        record = KeyedRecord(job_key(_JOB), encode(ended))
        self.run_async(self.store.append(_TOPIC, [record]))
        self.answers = [CallFailure.ANSWER_LOST]
        answer = self.run_async(self.forwarder.query(_JOB, 1))
        self.assertIs(JobPhase.FAILED, answer.phase)
        self.run_async(self.forwarder.query(_JOB, 1))
        self.assertEqual(1, len(self.transport.sent(QueryWork)))

    def test_reports_a_job_missing_in_the_journal_as_unknown(self) -> None:
        self.answers = [CallFailure.ANSWER_LOST]
        answer = self.run_async(self.forwarder.query(_JOB, 1))
        self.assertIs(WorkCode.NO_SUCH_JOB, answer.code)
