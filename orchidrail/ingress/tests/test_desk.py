"""Tests of what callers are told."""

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


class DeskTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.answers: list[Message | CallFailure] = []
        self.late: float = 0
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
        return time.monotonic() + self.late

    def _answer(
        self,
        address: Address,
        message: Message,
    ) -> Message | CallFailure:
        return self.answers.pop(0) if self.answers else CallFailure.NOT_SENT

    async def _handle(self, message: Message) -> Message:
        return WorkAnswer(code=WorkCode.NOT_OWNER)

    def submit(self, patience: float = 0.3) -> WorkCode:
        work = self.forwarder.submit(_JOB, _QUEUE, _SPEC, patience)
        return self.run_async(work).code

    def test_an_accepted_job_is_told_so(self) -> None:
        self.answers = [WorkAnswer(code=WorkCode.OK)]
        self.assertIs(WorkCode.OK, self.submit())

    def test_a_refusal_is_told_only_if_no_try_can_have_counted(self) -> None:
        refusal = WorkAnswer(code=WorkCode.REJECTED)
        self.answers = [refusal]
        self.assertIs(WorkCode.REJECTED, self.submit())
        self.answers = [CallFailure.ANSWER_LOST, refusal]
        self.assertIs(WorkCode.UNCERTAIN, self.submit())

    def test_a_lost_answer_is_asked_for_again(self) -> None:
        self.answers = [
            CallFailure.ANSWER_LOST,
            WorkAnswer(code=WorkCode.NOT_OWNER),
            WorkAnswer(code=WorkCode.OK),
        ]
        self.assertIs(WorkCode.OK, self.submit(1))
        self.assertEqual(3, len(self.transport.sent(SubmitWork)))

    def test_nothing_is_sent_to_a_silent_owner(self) -> None:
        self.late = 0.4
        self.assertIs(WorkCode.REJECTED, self.submit())
        self.assertEqual([], self.transport.sent(SubmitWork))

    def test_a_zone_that_is_cut_off_refuses_at_once(self) -> None:
        self.late = 1
        began = time.monotonic()
        self.assertIs(WorkCode.REJECTED, self.submit(3))
        self.assertLess(time.monotonic() - began, 0.1)

    def test_an_ended_job_is_answered_from_the_journal(self) -> None:
        ended = EndedRecord(JobPhase.FAILED, 0)
        record = KeyedRecord(job_key(_JOB), encode(ended))
        self.run_async(self.store.append(_TOPIC, [record]))
        self.answers = [CallFailure.ANSWER_LOST]
        answer = self.run_async(self.forwarder.query(_JOB, 1))
        self.assertIs(JobPhase.FAILED, answer.phase)
        self.run_async(self.forwarder.query(_JOB, 1))
        self.assertEqual(1, len(self.transport.sent(QueryWork)))

    def test_an_unknown_job_is_one_that_the_journal_lacks(self) -> None:
        self.answers = [CallFailure.ANSWER_LOST]
        answer = self.run_async(self.forwarder.query(_JOB, 1))
        self.assertIs(WorkCode.NO_SUCH_JOB, answer.code)
