"""Tests of how callers' bodies are read."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any, cast

from blacksheep import URL

from orchidrail.ingress.job_forwarder import JobAnswer
from orchidrail.platform.callers import CallerApi
from orchidrail.testing import AsyncTestCase
from orchidrail.types import WorkCode
from orchidrail.work.model import CellConfig, IngressLimits, StepSpec
from orchidrail.work.records import FailureCause, JobPhase
from orchidrail.work.tests.test_job import make_job

_MOST = 100
_BODY = b'{"spec":"text","phases":[{"count":1}]}'


class _Request:
    """A request whose body comes in pieces; None in place of one hangs."""

    method = 'POST'
    url = URL(b'/q/0123456789abcdef')

    def __init__(self, *pieces: bytes | None) -> None:
        self._pieces = pieces
        self._header_by_name = {
            b'Host': b'host',
            b'X-Orchidrail-Deadline-Ms': b'200',
        }

    def get_first_header(self, name: bytes) -> bytes | None:
        return self._header_by_name.get(name)

    async def stream(self) -> AsyncIterator[bytes]:
        for piece in self._pieces:
            if piece is None:
                await asyncio.sleep(10)
            else:
                yield piece


class _Forwarder:
    async def submit(self, *_: object) -> JobAnswer:
        return JobAnswer(WorkCode.OK)

    async def query(self, *_: object) -> JobAnswer:
        return JobAnswer(
            WorkCode.OK,
            JobPhase.FAILED,
            cause=FailureCause.CRASHED_WORKERS,
        )


class CallersTest(AsyncTestCase):
    def status(self, *pieces: bytes | None) -> int:
        """Send a submission; return the status of its answer."""
        config = CellConfig(
            1,
            (make_job(StepSpec(1)).queue,),
            IngressLimits(100, _MOST, 1, 1),
        )
        api = CallerApi(cast('Any', _Forwarder()), lambda: config, bool)
        answering = api._answer(cast('Any', _Request(*pieces)))
        return self.run_async(answering).status

    def test_a_job_that_was_given_up_says_why(self) -> None:
        request = _Request()
        request.method = 'GET'
        config = CellConfig(1, (make_job(StepSpec(1)).queue,))
        api = CallerApi(cast('Any', _Forwarder()), lambda: config, bool)
        response = self.run_async(api._answer(cast('Any', request)))
        cause = response.get_first_header(b'X-Orchidrail-Failure-Cause')
        self.assertEqual(b'crashedWorkers', cause)

    def test_a_body_in_pieces_is_taken(self) -> None:
        self.assertEqual(200, self.status(_BODY[:9], _BODY[9:]))

    def test_a_body_that_stops_coming_is_given_up(self) -> None:
        self.assertEqual(408, self.status(_BODY[:9], None))

    def test_a_body_that_is_too_long_is_refused(self) -> None:
        self.assertEqual(413, self.status(b'x' * _MOST, b'x'))

    def test_a_body_that_makes_no_sense_is_refused(self) -> None:
        self.assertEqual(400, self.status(b'{"spec":1}'))
