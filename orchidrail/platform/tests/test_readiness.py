"""Tests of the readiness probe."""

from __future__ import annotations

from orchidrail.platform.callers import ReadinessApi, Scope
from orchidrail.testing import AsyncTestCase


class ReadinessTest(AsyncTestCase):
    def answer(self, path: str, *, ready: bool) -> tuple[int, bytes]:
        """Return the status and the body of the answer to a probe."""
        sent: list[Scope] = []

        async def receive() -> Scope:
            raise AssertionError('a probe has no body')

        async def send(message: Scope) -> None:
            sent.append(message)

        scope = {'type': 'http', 'method': 'GET', 'path': path}
        api = ReadinessApi(lambda: ready)
        self.run_async(api.app(scope, receive, send))
        start, body = sent
        self.assertEqual('http.response.start', start['type'])
        length = dict(start['headers'])[b'content-length']
        self.assertEqual(len(body['body']), int(length))
        return start['status'], body['body']

    def test_the_probe_reports_readiness(self) -> None:
        self.assertEqual((200, b'ready'), self.answer('/readiness', ready=True))
        self.assertEqual(
            (503, b'not ready'), self.answer('/readiness', ready=False)
        )

    def test_other_paths_are_unknown(self) -> None:
        self.assertEqual(404, self.answer('/', ready=True)[0])
