"""Tests of the HTTP API for callers."""

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

_MAX_BYTES = 100
_BODY = b'{"spec":"text","phases":[{"count":1}]}'


class _Request:
    """A request with a body in chunks; a chunk of None hangs."""

    method = 'POST'
    url = URL(b'/q/0123456789abcdef')

    def __init__(self, *chunks: bytes | None) -> None:
        self._chunks = chunks
        self._header_by_name = {
            b'Host': b'host',
            b'X-Orchidrail-Deadline-Ms': b'200',
        }

    def get_first_header(self, name: bytes) -> bytes | None:
        return self._header_by_name.get(name)

    async def stream(self) -> AsyncIterator[bytes]:
        for chunk in self._chunks:
            if chunk is None:
                await asyncio.sleep(10)
            else:
                yield chunk


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
    def status(self, *chunks: bytes | None) -> int:
        """Send a submission; return the status of its answer."""
        config = CellConfig(
            1,
            (make_job(StepSpec(1)).queue,),
            IngressLimits(100, _MAX_BYTES, 1, 1),
        )
        api = CallerApi(cast('Any', _Forwarder()), lambda: config, bool)
        answering = api._answer(cast('Any', _Request(*chunks)))
        return self.run_async(answering).status

    def test_a_failed_job_reports_the_cause(self) -> None:
        request = _Request()
        request.method = 'GET'
        config = CellConfig(1, (make_job(StepSpec(1)).queue,))
        api = CallerApi(cast('Any', _Forwarder()), lambda: config, bool)
        response = self.run_async(api._answer(cast('Any', request)))
        cause = response.get_first_header(b'X-Orchidrail-Failure-Cause')
        self.assertEqual(b'crashedWorkers', cause)

    def test_a_chunked_body_is_accepted(self) -> None:
        self.assertEqual(200, self.status(_BODY[:9], _BODY[9:]))

    def test_an_incomplete_body_times_out(self) -> None:
        self.assertEqual(408, self.status(_BODY[:9], None))

    def test_a_body_that_is_too_long_is_rejected(self) -> None:
        self.assertEqual(413, self.status(b'x' * _MAX_BYTES, b'x'))

    def test_an_invalid_body_is_rejected(self) -> None:
        self.assertEqual(400, self.status(b'{"spec":1}'))
