"""Property: external input is decoded, or rejected with a reason.

Worker entries and replies come from untrusted sources: arbitrary bytes,
arbitrary JSON, and valid documents with one field changed.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok
from testtools import TestCase

from orchidrail.platform import configuration, documents
from orchidrail.platform.http_calls import HttpCaller
from orchidrail.platform.worker_calls import PlatformAdvice, PlatformWorkers
from orchidrail.store.relay import RawAnswer, RawCall
from orchidrail.types import Address, Epoch, RunNumber, TaskKey
from orchidrail.workers.port import (
    HoldOrder,
    Listing,
    OrderAnswer,
    RunKey,
    StartOrder,
    TicketsByName,
)
from orchidrail.workers.tests.fakes import make_entry

_EXAMPLES = 300
_KEY = RunKey(TaskKey('j.0.0.0'), RunNumber(1))
_ENTRY: dict[str, Any] = {
    'service': 's',
    'address': '10.1.0.5:8500',
    'zone': 'z',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'sequence': 4,
    'warmupLeftMs': 0,
    'capacity': {'cpu': 64000, 'memMb': 262144, 'gpu': 0},
    'labels': ['a', 'r1-3'],
    'born': 1712345678901,
}
_ANSWER: dict[str, Any] = {
    'clockMs': 5,
    'born': 7,
    'reason': 'fence',
    'active': [['j.0.0.0', 1, '', 41, 3]],
    'ended': [[58, 'j.0.0.1', 1, 'done', '']],
    'good': [['i-1', 'ticket']],
    'valid_ms': 1500,
}
_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@st.composite
def _changed(draw: st.DrawFn, good: dict[str, Any]) -> bytes:
    """Draw a valid document with one field replaced by any JSON or missing."""
    field = draw(st.sampled_from(sorted(good)))
    document = {**good, field: draw(_json)}
    if draw(st.booleans()):
        document.pop(field)
    return json.dumps(document).encode()


def _any_bytes(good: dict[str, Any]) -> st.SearchStrategy[bytes]:
    return st.one_of(
        st.binary(),
        _json.map(lambda one: json.dumps(one).encode()),
        _changed(good),
    )


class _Caller(HttpCaller):
    """Returns the same reply to each call."""

    def __init__(self, answer: RawAnswer) -> None:
        self._answer = answer

    async def call(self, *arguments: Any) -> RawAnswer:
        """See `HttpCaller.call`."""
        assert isinstance(arguments[1], RawCall)
        return self._answer


class DecoderProperty(TestCase):
    @settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
    @given(name=st.text(), raw=_any_bytes(_ENTRY))
    def test_an_entry_is_complete_or_rejected(
        self,
        name: str,
        raw: bytes,
    ) -> None:
        outcome = documents.decode_worker(name, raw)
        if not isinstance(outcome, Ok):
            self.assertTrue(outcome.err_value.reason)
            return
        entry = outcome.ok_value
        self.assertTrue(entry.name and entry.service and entry.zone)
        host, _, port = entry.address.rpartition(':')
        self.assertTrue(host and int(port))
        self.assertGreater(entry.capacity.millicores, 0)
        self.assertGreater(entry.capacity.megabytes, 0)
        self.assertGreaterEqual(entry.capacity.accelerators, 0)

    @settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
    @given(
        raw=_any_bytes(_ANSWER),
        status=st.sampled_from([0, 200, 400, 409, 421, 429, 500, 503]),
    )
    def test_a_reply_is_decoded_to_a_known_type(
        self, raw: bytes, status: int
    ) -> None:
        caller = _Caller(RawAnswer(status, raw))
        workers = PlatformWorkers(caller)
        advice = PlatformAdvice(caller, lambda: Address('a:1'))

        async def scenario() -> None:
            entry = make_entry()
            order = StartOrder(_KEY, 'text', 5, Epoch(1))
            started = await workers.start(entry, order, 1)
            stopped = await workers.stop(entry, _KEY, Epoch(1), 1)
            listed = await workers.hold(entry, HoldOrder(Epoch(1)), 1)
            advised = await advice.advise('j.0.0', [], 1)
            self.assertIsInstance(started, OrderAnswer)
            self.assertIsInstance(stopped, OrderAnswer)
            self.assertIsInstance(listed, (OrderAnswer, Listing))
            self.assertIsInstance(advised, (TicketsByName, type(None)))

        asyncio.run(scenario())

    @settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
    @given(
        raw=st.one_of(
            st.binary(), _json.map(lambda one: json.dumps(one).encode())
        )
    )
    def test_other_documents_are_decoded_or_rejected(self, raw: bytes) -> None:
        for decode in (configuration.decode_config, documents.decode_job):
            outcome = decode(raw)
            self.assertTrue(isinstance(outcome, Ok) or outcome.err_value)
