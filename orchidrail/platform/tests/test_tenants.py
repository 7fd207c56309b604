"""Tests of the authentication of calls by their API key.

They guard against calls being served with unknown or revoked keys, as happened
when the API read no key and the decoder ignored the configuration's tenants.
"""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from typing import Any, cast

from blacksheep import URL
from result import Result

from orchidrail.ingress.authentication import CallAuthenticator
from orchidrail.ingress.job_forwarder import JobAnswer
from orchidrail.metrics import InstanceMetrics
from orchidrail.platform.callers import CallerApi
from orchidrail.platform.configuration import decode_config
from orchidrail.testing import AsyncTestCase
from orchidrail.types import WorkCode
from orchidrail.work.model import CellConfig

_BODY = b'{"spec":"text","phases":[{"count":1,"cpu":1000,"memMb":10}]}'
_ROUTE = {
    'name': 'quick',
    'host': 'host',
    'pathPrefix': '/q/',
    'service': 'service',
    'targetLatencyMs': 253,
    'public': False,
}


def make_document(**changes: object) -> dict[str, Any]:
    """Return a configuration document as the operator writes it."""
    tenant = {
        'name': 'kaje80',
        'apiKeys': ['first-key', 'second-key'],
        'priority': 1,
        'weight': 27,
        'maximum': {'cpu': 40_000, 'memMb': 80_000, 'gpu': 0},
    }
    document = {'version': 7, 'routes': [_ROUTE], 'tenants': [tenant]}
    return {**document, **changes}


def decode(document: dict[str, Any]) -> Result[CellConfig, str]:
    """Decode a configuration document."""
    return decode_config(json.dumps(document).encode())


class _Request:
    def __init__(self, method: str, path: str, key: str | None) -> None:
        self.method = method
        self.url = URL(path.encode())
        self._header_by_name = {b'Host': b'host'}
        if key is not None:
            self._header_by_name[b'Authorization'] = f'Bearer {key}'.encode()

    def get_first_header(self, name: bytes) -> bytes | None:
        return self._header_by_name.get(name)

    async def stream(self) -> AsyncIterator[bytes]:
        yield _BODY


class _Forwarder:
    """Answers each call and records it."""

    def __init__(self) -> None:
        self.asked: list[str] = []

    async def submit(self, *_: object, **more: object) -> JobAnswer:
        self.asked.append('submit')
        return JobAnswer(WorkCode.OK)

    async def query(self, *_: object, **more: object) -> JobAnswer:
        self.asked.append('query')
        return JobAnswer(WorkCode.OK)

    async def cancel(self, *_: object, **more: object) -> JobAnswer:
        self.asked.append('cancel')
        return JobAnswer(WorkCode.OK)

    def waiting(self, *_: object) -> int:
        self.asked.append('waiting')
        return 0


_CALLS = (
    ('POST', '/q/0123456789abcdef'),
    ('GET', '/q/0123456789abcdef'),
    ('DELETE', '/q/0123456789abcdef'),
    ('GET', '/q/'),
)


class KeysTest(AsyncTestCase):
    def statuses(
        self,
        document: dict[str, Any],
        key: str | None,
        forwarder: _Forwarder | None = None,
    ) -> set[int]:
        """Make each kind of call with a key; return the status codes."""
        config = self.assert_ok(decode(document))
        api = CallerApi(
            cast('Any', forwarder or _Forwarder()), lambda: config, bool
        )
        return {
            self.run_async(
                api._answer(cast('Any', _Request(method, path, key)))
            ).status
            for method, path in _CALLS
        }

    def test_an_unknown_key_is_rejected(self) -> None:
        for key in ('third-key', '', None):
            forwarder = _Forwarder()
            self.assertEqual(
                {401}, self.statuses(make_document(), key, forwarder)
            )
            self.assertEqual([], forwarder.asked)
        self.assertEqual({200}, self.statuses(make_document(), 'first-key'))

    def test_a_revoked_key_is_rejected(self) -> None:
        tenant = dict(make_document()['tenants'][0], apiKeys=['second-key'])
        document = make_document(version=9, tenants=[tenant])
        self.assertEqual({401}, self.statuses(document, 'first-key'))
        self.assertEqual({200}, self.statuses(document, 'second-key'))


class ConfigurationTest(AsyncTestCase):
    def test_tenants_have_weights_and_limits(self) -> None:
        config = self.assert_ok(decode(make_document()))
        tenant = config.tenant_by_name['kaje80']
        self.assertEqual(
            (27, (40_000, 80_000, 0)), (tenant.weight, tenant.maximum)
        )

    def test_errors_quote_the_invalid_value(self) -> None:
        tenant = make_document()['tenants'][0]
        for change, quoted in (
            ({'weight': -3}, '-3'),
            ({'weight': 'much'}, "'much'"),
            ({'maximum': {'cpu': 'all'}}, "'all'"),
            ({'name': ''}, "''"),
        ):
            document = make_document(tenants=[{**tenant, **change}])
            self.assertIn(quoted, decode(document).unwrap_err())

    def test_errors_quote_no_key(self) -> None:
        tenant = make_document()['tenants'][0]
        twin = {**tenant, 'name': 'other'}
        for tenants in (
            [{**tenant, 'apiKeys': ['third-key', 5]}],
            [{**tenant, 'apiKeys': 'third-key'}],
            [tenant, twin],
        ):
            reason = decode(make_document(tenants=tenants)).unwrap_err()
            self.assertNotIn('-key', reason)

    def test_tenants_must_be_a_list(self) -> None:
        for tenants in (None, {}, 'all'):
            self.assertTrue(decode(make_document(tenants=tenants)).is_err())

    def test_without_tenants_no_key_is_needed(self) -> None:
        document = make_document()
        document.pop('tenants')
        config = self.assert_ok(decode(document))
        api = CallerApi(cast('Any', _Forwarder()), lambda: config, bool)
        request = _Request('GET', '/q/', None)
        answer = self.run_async(api._answer(cast('Any', request)))
        self.assertEqual(200, answer.status)

    def test_a_public_route_accepts_calls_without_a_key(self) -> None:
        route = dict(_ROUTE, public=True)
        config = self.assert_ok(decode(make_document(routes=[route])))
        api = CallerApi(cast('Any', _Forwarder()), lambda: config, bool)
        for key in (None, 'third-key', 'first-key'):
            request = _Request('POST', '/q/0123456789abcdef', key)
            answer = self.run_async(api._answer(cast('Any', request)))
            self.assertEqual(200, answer.status)

    def test_an_outdated_instance_rejects_calls(self) -> None:
        config = self.assert_ok(decode(make_document()))
        authenticator = CallAuthenticator(
            lambda: config, float, InstanceMetrics(), lambda: True
        )
        api = CallerApi(
            cast('Any', _Forwarder()), lambda: config, bool, authenticator
        )
        request = _Request('POST', '/q/0123456789abcdef', 'first-key')
        answer = self.run_async(api._answer(cast('Any', request)))
        self.assertEqual(503, answer.status)
        self.assertEqual(b'1', answer.get_first_header(b'Retry-After'))
