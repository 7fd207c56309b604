"""Tests of the HTTP API: invalid input, keys, verdicts, endpoints."""

from __future__ import annotations

import time
from random import Random
from typing import Any

import httpx
import msgspec

from orchidrail.access import digest_of
from orchidrail.bundles.model import Bundle, Tenant, WorkClass, WorkKind
from orchidrail.gateway.access import Access
from orchidrail.gateway.daemon import GatewayDaemon
from orchidrail.gateway.http_api import HttpApi
from orchidrail.scheduler.ports import Ports
from orchidrail.scheduler.tests.small_zone import Clock, FakeServices
from orchidrail.settings import GatewaySettings
from orchidrail.testing import AsyncTestCase, ScriptedTransport
from orchidrail.types import (
    Address,
    CallFailure,
    ClassName,
    RefusalCode,
    TenantId,
    ZoneId,
)
from orchidrail.wire.messages import Message, Refusal
from standins.log import LogMachine

_KEY = 'tenant-key'
_HEADERS = {'Authorization': f'Bearer {_KEY}'}


def _bundle() -> Bundle:
    return Bundle(
        tenants={
            TenantId('t'): Tenant(keys=[digest_of(_KEY)], rate=5),
        },
        classes={
            ClassName('tag-check'): WorkClass(kind=WorkKind.REQUEST),
            ClassName('preview'): WorkClass(
                kind=WorkKind.REQUEST,
                repeatable=True,
                timeout=0.2,
            ),
            ClassName('stack'): WorkClass(kind=WorkKind.BATCH),
        },
    )


class HttpApiTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.transport = ScriptedTransport(self.answer)
        self.scripted: Message | CallFailure = CallFailure.NOT_SENT

    def answer(self, _: Address, message: Message) -> Message | CallFailure:
        return self.scripted

    def send(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        raw: bytes | None = None,
    ) -> httpx.Response:
        """Send one request to a new gateway."""
        return self.run_async(
            self._send(method, path, body, headers or _HEADERS, raw),
        )

    async def _send(
        self,
        method: str,
        path: str,
        body: Any,
        headers: dict[str, str],
        raw: bytes | None,
    ) -> httpx.Response:
        services = FakeServices(LogMachine(Clock()), [])
        settings = GatewaySettings(
            name='g',
            zone=ZoneId('z'),
            listen='127.0.0.1:0',
            platform='',
            cluster_key='a key for tests only',
            operators={},
            schedulers=[Address('10.0.0.1:1')],
            max_body=1000,
        )
        ports = Ports(
            self.transport,
            services,
            services,
            time.monotonic,
            time.time,
            Random(1),
        )
        daemon = GatewayDaemon(settings, ports)
        daemon.bundle.bundle = _bundle()
        daemon.bundle.version = 1
        daemon.access.use_bundle(_bundle())
        app = HttpApi(daemon).app
        await app.start()
        client = httpx.AsyncClient(
            transport=httpx.ASGITransport(app),
            base_url='http://gateway',
            headers=headers,
        )
        content = raw if raw is not None else msgspec.json.encode(body)
        answer = await client.request(method, path, content=content)
        await client.aclose()
        await app.stop()
        return answer

    def test_bad_input_names_field_and_value(self) -> None:
        path = '/v1/requests'
        job = '/v1/jobs'
        cases: tuple[tuple[str, Any, str, str], ...] = (
            (path, {'class': 'nothing'}, 'class', "got 'nothing'"),
            (path, {'class': 'stack'}, 'class', 'is for jobs'),
            (path, {'class': 'tag-check'}, 'key', 'missing'),
            (path, {'class': 'tag-check', 'key': 'x'}, 'key', "got 'x'"),
            (path, {'class': 'preview', 'patience': -1}, 'patience', 'got -1'),
            (path, {'class': 'preview', 'colour': 1}, 'colour', 'got 1'),
            (path, {}, 'class', 'missing'),
            (path, [], '', 'got []'),
            (job, {'class': 'stack', 'key': 'x', 'count': 0}, 'count', 'got 0'),
            (job, {'class': 'stack', 'key': 'x'}, 'key', "got 'x'"),
            (
                job,
                {'class': 'stack', 'key': 'x', 'size': {'cores': -1}},
                'size.cores',
                'got -1',
            ),
        )
        for where, body, field, detail in cases:
            answer = self.send('POST', where, body)
            self.assertEqual(400, answer.status_code, body)
            problem = answer.json()
            self.assertIn(detail, problem['detail'], body)
            self.assertEqual('notRun', problem['verdict'])
            if field:
                self.assertEqual(field, problem['field'])
        self.assertEqual([], self.transport.calls)

    def test_a_key_without_its_time_of_issue_is_refused(self) -> None:
        key = 'f47ac10b-58cc-4372-a567-0e02b2c3d479.z.w-1.b'
        body = {'class': 'tag-check', 'key': key}
        answer = self.send('POST', '/v1/requests', body)
        self.assertEqual(400, answer.status_code)
        self.assertIn('lacks its time of issue', answer.json()['detail'])

    def test_broken_json_and_large_bodies(self) -> None:
        broken = self.send('POST', '/v1/requests', raw=b'{"class": ')
        self.assertEqual(400, broken.status_code)
        large = self.send('POST', '/v1/requests', raw=b'x' * 1001)
        self.assertEqual(413, large.status_code)
        self.assertIn('at most 1000', large.json()['detail'])

    def test_wrong_and_missing_keys(self) -> None:
        body = {'class': 'preview'}
        missing = self.send('POST', '/v1/requests', body, {'X': 'y'})
        self.assertEqual(401, missing.status_code)
        wrong = {'Authorization': 'Bearer nobody'}
        unknown = self.send('POST', '/v1/requests', body, wrong)
        self.assertEqual(403, unknown.status_code)
        self.assertEqual([], self.transport.calls)

    def test_a_refusal_has_a_retry_after_header(self) -> None:
        self.scripted = Refusal(
            code=RefusalCode.NEVER_FITS,
            detail='too large',
            retry_after=2.5,
        )
        answer = self.send('POST', '/v1/requests', {'class': 'preview'})
        self.assertEqual(422, answer.status_code)
        self.assertEqual('3', answer.headers['Retry-After'])
        self.assertEqual('notRun', answer.headers['Orchidrail-Verdict'])
        self.assertEqual(
            'application/problem+json',
            answer.headers['Content-Type'],
        )

    def test_unreachable_schedulers_yield_not_run(self) -> None:
        answer = self.send('POST', '/v1/requests', {'class': 'preview'})
        self.assertEqual(503, answer.status_code)
        self.assertEqual('notRun', answer.headers['Orchidrail-Verdict'])

    def test_operator_endpoints(self) -> None:
        for path in ('/health/live', '/health/ready', '/metrics', '/docs/'):
            self.assertEqual(200, self.send('GET', path).status_code, path)

    def test_requests_over_the_rate_are_rejected(self) -> None:
        access = Access()
        access.use_bundle(_bundle())
        outcomes = [access.admit(TenantId('t'), 0) for _ in range(7)]
        self.assertEqual(5, sum(outcomes))
