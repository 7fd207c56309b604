"""Tests of the verdicts that callers get."""

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
#: Patience at which a scheduler lets a request wait for its turn.
_QUEUES: Seconds = 0.15
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


def _one_of_two(
    asked: list[Address],
    other: Message | CallFailure,
) -> Responder:
    """Answer as two schedulers do, of which only one holds workers."""

    def answer(address: Address, message: Message) -> Message | CallFailure:
        if not isinstance(message, GrantRequest):
            return _report(TaskState.FINISHED)
        asked.append(address)
        if address == _OTHER:
            return other
        if message.patience < _QUEUES:
            return Refusal(code=RefusalCode.OVERLOADED)
        return _GRANT

    return answer


class RequestRunnerTest(AsyncTestCase):
    def reply_to(
        self,
        responder: Responder,
        *,
        keyed: bool = False,
        patience: float = 0.2,
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
            patience,
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

    def test_it_waits_at_the_scheduler_that_could_take_it(self) -> None:
        """The other is away or passes on; this one lets work wait."""
        others = (
            Refusal(code=RefusalCode.NOT_HOLDER),
            CallFailure.NOT_SENT,
            CallFailure.ANSWER_LOST,
        )
        for other, seed in itertools.product(others, range(8)):
            asked: list[Address] = []
            reply = self.reply_to(
                _one_of_two(asked, other),
                patience=0.4,
                schedulers=(_SCHEDULER, _OTHER),
                seed=seed,
            )
            self.assertIs(Verdict.RAN, reply.verdict, (other, seed))
            self.assertLessEqual(asked.count(_OTHER), 1, (other, seed))

    def test_verdicts_of_a_keyed_request(self) -> None:
        """After each failure the worker's own word decides the verdict."""
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

    def test_a_grant_of_another_task_is_settled_by_its_name(self) -> None:
        """The key was claimed for room that another scheduler gave."""
        other = TaskId('other')
        asked: list[TaskId] = []

        def answer(_: Address, message: Message) -> Message | CallFailure:
            if isinstance(message, GrantRequest):
                return msgspec.structs.replace(_GRANT, task=other)
            if isinstance(message, SettleTasks):
                asked.extend(message.keys)
                return _settled(TaskState.FINISHED)
            if isinstance(message, StartTask):
                return CallFailure.ANSWER_LOST
            return _HOLDER

        reply = self.reply_to(answer, keyed=True)
        self.assertIs(Verdict.RAN, reply.verdict)
        self.assertEqual([other], asked)

    def test_an_unclaimed_key_is_refused_for_good(self) -> None:
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

    def test_a_key_whose_witness_is_away_may_have_run(self) -> None:
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

    def test_a_crossed_answer_is_not_delivered(self) -> None:
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
