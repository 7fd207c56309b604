"""Tests of batched appends and lost acknowledgements."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from orchidrail.logservice.ports import LogFailure, LogPage
from orchidrail.logstream.group_commit import GroupCommit, split_group
from orchidrail.testing import AsyncTestCase
from orchidrail.types import Offset


class ScriptedLog:
    """Answers appends from a list, then repeats the last answer."""

    #: Event loop iterations that an append takes.
    loop_iterations = 1

    def __init__(self, *answers: Result[Offset, LogFailure]) -> None:
        self.payloads: list[str] = []
        self._answers = list(answers)

    async def append(
        self,
        stream: str,
        payload: str,
    ) -> Result[Offset, LogFailure]:
        for _ in range(self.loop_iterations):
            await asyncio.sleep(0)
        self.payloads.append(payload)
        if len(self._answers) > 1:
            return self._answers.pop(0)
        return self._answers[0]

    async def read(
        self,
        stream: str,
        start: Offset,
        limit: int,
    ) -> Result[LogPage, LogFailure]:
        return Err(LogFailure.REFUSED)


class InstantLog(ScriptedLog):
    """Answers at once, so that no caller times out during an append."""

    loop_iterations = 0


class UnresponsiveLog(ScriptedLog):
    """Never answers an append."""

    async def append(
        self,
        stream: str,
        payload: str,
    ) -> Result[Offset, LogFailure]:
        await asyncio.get_running_loop().create_future()
        return await super().append(stream, payload)


class GroupCommitTest(AsyncTestCase):
    def commit(
        self,
        log: ScriptedLog,
        records: tuple[str, ...],
        patience: float = 0.05,
    ) -> list[Result[Offset, LogFailure]]:
        """Commit records concurrently and return their outcomes."""

        async def scenario() -> list[Result[Offset, LogFailure]]:
            loop = asyncio.get_running_loop()
            group = GroupCommit(log, 'jobs', 0.001, loop.time)
            running = asyncio.create_task(group.run())
            outcomes = await asyncio.gather(
                *(group.commit(record, patience) for record in records),
            )
            running.cancel()
            return outcomes

        return self.run_async(scenario())

    def test_concurrent_records_share_an_append(self) -> None:
        log = ScriptedLog(Ok(Offset(7)))
        outcomes = self.commit(log, ('a', 'b', 'c'))
        self.assertEqual([Ok(7), Ok(7), Ok(7)], outcomes)
        self.assertEqual(['a', 'b', 'c'], split_group(log.payloads[0]))
        self.assertEqual(1, len(log.payloads))

    def test_outcome_by_failure(self) -> None:
        cases = (
            (LogFailure.NOT_SENT, LogFailure.NOT_SENT),
            (LogFailure.REFUSED, LogFailure.NOT_SENT),
            (LogFailure.ANSWER_LOST, LogFailure.ANSWER_LOST),
        )
        for failure, expected in cases:
            outcomes = self.commit(InstantLog(Err(failure)), ('a',))
            self.assert_err(outcomes[0], expected)

    def test_timeout_during_append_is_uncertain(self) -> None:
        """A timeout during an append must not report ``NOT_SENT``."""
        outcomes = self.commit(UnresponsiveLog(Ok(Offset(3))), ('a',))
        self.assert_err(outcomes[0], LogFailure.ANSWER_LOST)

    def test_refusal_after_lost_answer_is_uncertain(self) -> None:
        log = ScriptedLog(
            Err(LogFailure.ANSWER_LOST),
            Err(LogFailure.REFUSED),
        )
        self.assert_err(self.commit(log, ('a',))[0], LogFailure.ANSWER_LOST)

    def test_lost_acknowledgement_is_retried(self) -> None:
        log = ScriptedLog(Err(LogFailure.ANSWER_LOST), Ok(Offset(3)))
        self.assertEqual([Ok(3)], self.commit(log, ('a',), patience=5))
        self.assertEqual(log.payloads[0], log.payloads[1])

    def test_timed_out_record_is_not_sent_later(self) -> None:
        async def scenario() -> list[str]:
            log = ScriptedLog(Err(LogFailure.REFUSED))
            loop = asyncio.get_running_loop()
            group = GroupCommit(log, 'jobs', 0.001, loop.time)
            running = asyncio.create_task(group.run())
            await group.commit('a', 0.02)
            log.payloads.clear()
            await group.commit('b', 0.02)
            running.cancel()
            return log.payloads

        for payload in self.run_async(scenario()):
            self.assertEqual(['b'], split_group(payload))
