"""Tests of the verdicts returned to callers."""

from __future__ import annotations

import itertools
import time
from random import Random

import msgspec

from orchidrail.bundles.model import WorkClass, WorkKind
from orchidrail.gateway.directory import SchedulerDirectory
from orchidrail.gateway.request_runner import RequestCall, RequestRunner
from orchidrail.gateway.scheduler_client import SchedulerClient
from orchidrail.gateway.verdicts import Reply
from orchidrail.invariants import Invariants
from orchidrail.keys import ParsedKey
from orchidrail.metrics import GatewayMetrics
from orchidrail.testing import AsyncTestCase, Responder, ScriptedTransport
from orchidrail.types import (
    Address,
    CallFailure,
    ClassName,
    Epoch,
    RefusalCode,
    RequestKey,
    Seconds,
    TaskId,
    TaskState,
    TenantId,
    Verdict,
    WorkerId,
    ZoneId,
)
from orchidrail.wire.messages import (
    Grant,
    GrantRequest,
    Message,
    QueryHolder,
    Refusal,
    SettleTasks,
    StartTask,
    TaskReport,
    TaskReports,
    WorkerHolder,
)

_ZONE = ZoneId('hall-1')
_SCHEDULER, _OTHER = Address('10.0.0.1:1'), Address('10.0.0.3:1')
#: Minimum patience at which the scripted scheduler queues a request.
_MIN_QUEUE_PATIENCE: Seconds = 0.15
_WORKER = Address('10.0.0.2:1')
_KEY = ParsedKey(RequestKey('k.hall-1.w-1.b'), 0, _ZONE, WorkerId('w-1'), 'b')
_GRANT = Grant(
    task=TaskId('k'),
    worker=WorkerId('w-1'),
    boot='b',
    address=_WORKER,
    epoch=Epoch(1),
    sequence=1,
    validity=1,
)
_HOLDER = WorkerHolder(
    worker=WorkerId('w-1'),
    holder='s-1',
    address=_SCHEDULER,
    worker_address=_WORKER,
)


def _report(state: TaskState, note: str = '') -> TaskReport:
    return TaskReport(key=TaskId('k'), state=state, answer='whole', note=note)


def _settled(state: TaskState, note: str = '') -> TaskReports:
    return TaskReports(tasks=[_report(state, note)], boot='b')


def _answer_of_two_schedulers(
    called: list[Address],
    other: Message | CallFailure,
) -> Responder:
    """Script two schedulers, of which only one holds workers."""

    def answer(address: Address, message: Message) -> Message | CallFailure:
        if not isinstance(message, GrantRequest):
            return _report(TaskState.FINISHED)
        called.append(address)
        if address == _OTHER:
            return other
        if message.patience < _MIN_QUEUE_PATIENCE:
            return Refusal(code=RefusalCode.OVERLOADED)
        return _GRANT

    return answer


class RequestRunnerTest(AsyncTestCase):
    def reply_to(
        self,
        responder: Responder,
        *,
        keyed: bool = False,
        max_wait: float = 0.2,
        schedulers: tuple[Address, ...] = (_SCHEDULER,),
        seed: int = 1,
    ) -> Reply:
        transport = ScriptedTransport(responder)
        directory = SchedulerDirectory(
            {_ZONE: list(schedulers)},
            Random(seed),
            time.monotonic,
        )
        runner = RequestRunner(
            _ZONE,
            SchedulerClient(transport, directory),
            time.monotonic,
            Random(1),
            GatewayMetrics(),
            Invariants(),
        )
        call = RequestCall(
            TenantId('t'),
            ClassName('c'),
            WorkClass(kind=WorkKind.REQUEST, repeatable=not keyed, timeout=2),
            'payload',
            time.monotonic() + 0.5,
            max_wait,
            _KEY if keyed else None,
        )
        return self.run_async(runner.run(call))

    def test_refusal_after_a_lost_answer_may_have_run(self) -> None:
        grants = iter((_GRANT, Refusal(code=RefusalCode.OVERLOADED)))

        def answer(_: Address, message: Message) -> Message | CallFailure:
            if isinstance(message, GrantRequest):
                return next(grants)
            return CallFailure.ANSWER_LOST

        self.assertIs(Verdict.MAY_HAVE_RUN, self.reply_to(answer).verdict)

    def test_a_first_refusal_has_not_run(self) -> None:
        def answer(_: Address, message: Message) -> Message:
            return Refusal(code=RefusalCode.OVERLOADED, retry_after=3)

        reply = self.reply_to(answer)
        self.assertIs(Verdict.NOT_RUN, reply.verdict)
        self.assertEqual(3, reply.retry_after)

    def test_request_queues_at_the_only_scheduler_with_capacity(self) -> None:
        """The other is unreachable or holds no lease; this one queues."""
        others = (
            Refusal(code=RefusalCode.NOT_HOLDER),
            CallFailure.NOT_SENT,
            CallFailure.ANSWER_LOST,
        )
        for other, seed in itertools.product(others, range(8)):
            called: list[Address] = []
            reply = self.reply_to(
                _answer_of_two_schedulers(called, other),
                max_wait=0.4,
                schedulers=(_SCHEDULER, _OTHER),
                seed=seed,
            )
            self.assertIs(Verdict.RAN, reply.verdict, (other, seed))
            self.assertLessEqual(called.count(_OTHER), 1, (other, seed))

    def test_verdicts_of_a_keyed_request(self) -> None:
        """After each failure the state that the worker reports decides."""
        cases = (
            (_report(TaskState.FINISHED), None, Verdict.RAN),
            (
                CallFailure.ANSWER_LOST,
                _settled(TaskState.FINISHED),
                Verdict.RAN,
            ),
            (
                CallFailure.ANSWER_LOST,
                _settled(TaskState.NEVER_STARTED),
                Verdict.NOT_RUN,
            ),
            (
                Refusal(code=RefusalCode.STALE_EPOCH),
                _settled(TaskState.NEVER_STARTED),
                Verdict.NOT_RUN,
            ),
            (
                Refusal(code=RefusalCode.STALE_EPOCH),
                _settled(TaskState.STOPPED),
                Verdict.MAY_HAVE_RUN,
            ),
            (
                CallFailure.NOT_SENT,
                CallFailure.NOT_SENT,
                Verdict.MAY_HAVE_RUN,
            ),
        )
        for start, settled, expected in cases:
            answers = {
                GrantRequest: _GRANT,
                QueryHolder: _HOLDER,
                StartTask: start,
                SettleTasks: settled,
            }

            def answer(
                _: Address,
                message: Message,
                answers: dict = answers,  # type: ignore[type-arg]
            ) -> Message | CallFailure:
                return answers.get(
                    type(message),
                    Refusal(code=RefusalCode.INVALID),
                )

            reply = self.reply_to(answer, keyed=True)
            self.assertIs(expected, reply.verdict, (start, settled))

    def test_a_grant_of_another_task_is_settled_by_its_task_id(self) -> None:
        """The key was claimed for a grant by another scheduler."""
        other = TaskId('other')
        called: list[TaskId] = []

        def answer(_: Address, message: Message) -> Message | CallFailure:
            if isinstance(message, GrantRequest):
                return msgspec.structs.replace(_GRANT, task=other)
            if isinstance(message, SettleTasks):
                called.extend(message.keys)
                return _settled(TaskState.FINISHED)
            if isinstance(message, StartTask):
                return CallFailure.ANSWER_LOST
            return _HOLDER

        reply = self.reply_to(answer, keyed=True)
        self.assertIs(Verdict.RAN, reply.verdict)
        self.assertEqual([other], called)

    def test_an_unclaimed_key_is_refused_permanently(self) -> None:
        answers: dict[type[Message], Message] = {
            GrantRequest: Refusal(code=RefusalCode.NOT_HOLDER),
            QueryHolder: _HOLDER,
            SettleTasks: _settled(TaskState.NEVER_STARTED),
        }
        reply = self.reply_to(
            lambda _, message: answers[type(message)],
            keyed=True,
        )
        self.assertIs(Verdict.NOT_RUN, reply.verdict)
        self.assertGreater(reply.retry_after, 0)

    def test_a_key_with_an_unreachable_witness_may_have_run(self) -> None:
        answers: dict[type[Message], Message | CallFailure] = {
            GrantRequest: CallFailure.NOT_SENT,
            QueryHolder: _HOLDER,
            SettleTasks: CallFailure.ANSWER_LOST,
        }
        reply = self.reply_to(
            lambda _, message: answers[type(message)],
            keyed=True,
        )
        self.assertIs(Verdict.MAY_HAVE_RUN, reply.verdict)

    def test_an_answer_for_another_task_is_not_delivered(self) -> None:
        other = TaskReport(
            key=TaskId('x'), state=TaskState.FINISHED, answer='?'
        )
        answers: dict[type[Message], Message] = {
            GrantRequest: _GRANT,
            QueryHolder: _HOLDER,
            StartTask: other,
            SettleTasks: _settled(TaskState.FINISHED),
        }
        reply = self.reply_to(
            lambda _, message: answers[type(message)],
            keyed=True,
        )
        self.assertEqual('whole', reply.answer)
