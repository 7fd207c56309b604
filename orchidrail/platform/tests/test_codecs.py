"""Tests of the platform's formats, using its published examples."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

import msgspec
from result import Err

from orchidrail.platform import configuration, documents
from orchidrail.platform.store_log import PlatformLog
from orchidrail.platform.verified_connections import ConnectionProbe
from orchidrail.platform.worker_calls import PlatformWorkers
from orchidrail.store import (
    Appended,
    EndMoved,
    KeyedRecord,
    LatestPage,
    NotAppended,
    RecordPage,
    Refused,
    StoreLimits,
    Topic,
    Trimmed,
    Unavailable,
    Uncertain,
)
from orchidrail.store.relay import RawAnswer, RawCall
from orchidrail.testing import AsyncTestCase
from orchidrail.types import Epoch, Offset, RunNumber, TaskKey
from orchidrail.work.size import Size
from orchidrail.workers.entry_errors import EntryErrorKind
from orchidrail.workers.port import (
    HoldOrder,
    Listing,
    OrderAnswer,
    OrderResult,
    RunEnding,
    RunKey,
    StartOrder,
    WorkerState,
)
from orchidrail.workers.tests.fakes import make_entry

_TOPIC = Topic('keyed.x', 2)
_SETTINGS = """
nodeName=frontend-laval-hall-1
ip=10.1.0.13
zone=laval-hall
bindAddresses.frontend=10.1.0.13:8161
bindAddresses.ready=10.1.0.13:8167
internalPortRange=7720,7735
bounds.maxHoldMs=5000
bounds.stop_ms=
platform.address=10.200.1.7:8169
something.new=1
"""


class StoreLogTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.calls: list[RawCall] = []
        self.answer = RawAnswer(200)
        self.log = PlatformLog(self._call)

    async def _call(self, call: RawCall) -> RawAnswer:
        self.calls.append(call)
        return self.answer

    def append(self) -> object:
        record = KeyedRecord('ab', b'xyz')
        return self.run_async(self.log.append(_TOPIC, [record], Offset(7)))

    def test_a_record_is_a_length_a_key_and_a_value(self) -> None:
        self.answer = RawAnswer(200, b'{"offset":7,"end":8}')
        self.assertEqual(Appended(Offset(7), Offset(8)), self.append())
        self.assertEqual(b'\x00\x00\x00\x06\x02abxyz', self.calls[0].body)
        self.assertIn('topic=keyed.x&part=2&at=7', self.calls[0].target)

    def test_outcomes_of_an_append(self) -> None:
        table = (
            (RawAnswer(412, b'{"end":9}'), EndMoved),
            (RawAnswer(503), NotAppended),
            (RawAnswer(507), NotAppended),
            (RawAnswer(400, b'too large'), Refused),
            (RawAnswer(413), Refused),
            (RawAnswer(0, b'', reached=False), NotAppended),
            (RawAnswer(0, b'timeout'), Uncertain),
        )
        for answer, expected in table:
            self.answer = answer
            self.assertIsInstance(self.append(), expected)

    def test_a_page_of_records(self) -> None:
        head = (9).to_bytes(8, 'big') + (0).to_bytes(8, 'big')
        self.answer = RawAnswer(
            200,
            head + b'\x00\x00\x00\x03\x01av' + b'\x00\x00\x00\x02\x01b',
        )
        page = self.run_async(self.log.read(_TOPIC, Offset(7)))
        records = [KeyedRecord('a', b'v'), KeyedRecord('b', b'')]
        self.assertEqual(RecordPage(Offset(9), records), page)

    def test_trimmed_records(self) -> None:
        self.answer = RawAnswer(410, b'{"first":5}')
        outcome = self.run_async(self.log.read(_TOPIC, Offset(1)))
        self.assertEqual(Trimmed(Offset(5)), outcome)

    def test_the_newest_of_each_key(self) -> None:
        item = {'tlsKey': 'a', 'value': 'dg==', 'offset': 4}
        body = {'items': [item], 'more': True, 'end': 6}
        self.answer = RawAnswer(200, json.dumps(body).encode())
        page = self.run_async(self.log.latest(_TOPIC))
        expected = LatestPage([KeyedRecord('a', b'v')], 'a', Offset(6))
        self.assertEqual(expected, page)

    def test_an_odd_record_hides_no_other_one(self) -> None:
        """Else every reader of the list ends, or stops following it."""
        good = b'{"tlsKey":"a","value":"dg=="}'
        for odd in (
            b'{"tlsKey":"\xff","value":"dg=="}',
            json.dumps({'tlsKey': '\udcff', 'value': 'dg=='}).encode(),
            json.dumps({'tlsKey': '\ud800', 'value': 'dg=='}).encode(),
            b'{"tlsKey":null}',
            b'{"tlsKey":"b","value":"x"}',
            b'{"tlsKey":"b","value":null}',
            b'{"tlsKey":"b","offset":1e400}',
            b'{"tlsKey":"b","offset":' + b'9' * 4000 + b'}',
            b'[]',
        ):
            body = b'{"items":[%s,%s],"end":6}' % (odd, good)
            self.answer = RawAnswer(200, body)
            page = self.run_async(self.log.latest(_TOPIC))
            assert isinstance(page, LatestPage)
            self.assertIn(KeyedRecord('a', b'v'), page.records, odd)
            self.assertEqual(Offset(6), page.end)

    def test_a_key_is_the_same_in_a_listing_and_in_a_page(self) -> None:
        self.answer = RawAnswer(200, b'{"items":[{"tlsKey":"\xffk"}],"end":1}')
        listed = self.run_async(self.log.latest(_TOPIC))
        head = (1).to_bytes(8, 'big') + (0).to_bytes(8, 'big')
        self.answer = RawAnswer(200, head + b'\x00\x00\x00\x03\x02\xffk')
        read = self.run_async(self.log.read(_TOPIC, Offset(0)))
        assert isinstance(listed, LatestPage)
        assert isinstance(read, RecordPage)
        self.assertEqual(read.records, listed.records)

    def test_a_listing_continues_after_a_key_that_is_no_utf8(self) -> None:
        body = b'{"items":[{"tlsKey":"a"},{"tlsKey":"\xff"}],"more":true}'
        self.answer = RawAnswer(200, body)
        page = self.run_async(self.log.latest(_TOPIC))
        assert isinstance(page, LatestPage)
        self.run_async(self.log.latest(_TOPIC, page.after))
        self.assertIn('afterRevision=%FF', self.calls[-1].target)

    def test_a_malformed_page_is_no_page(self) -> None:
        for body in (b'', b'<html>', b'null', b'{"items":5}', b'[' * 100_000):
            self.answer = RawAnswer(200, body)
            page = self.run_async(self.log.latest(_TOPIC))
            self.assertIsInstance(page, Unavailable, body[:9])
        head = (9).to_bytes(8, 'big') + (0).to_bytes(8, 'big')
        for body in (b'', head[:9], head + b'\0', head + b'\0\0\0\5\1a'):
            self.answer = RawAnswer(200, body)
            records = self.run_async(self.log.read(_TOPIC, Offset(0)))
            self.assertIsInstance(records, Unavailable, body)


_NEEDED = ('service', 'address', 'zone', 'state', 'capacity', 'labels')


def _entry(**changes: object) -> bytes:
    """Return an entry with changed fields; None omits a field."""
    fields: dict[str, object] = {
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
    }
    fields |= changes
    present = {key: one for key, one in fields.items() if one is not None}
    return json.dumps(present, separators=(',', ':')).encode()


class _Caller:
    def __init__(self, answer: RawAnswer) -> None:
        self.answer = answer
        self.bodies: list[dict[str, object]] = []

    async def call(
        self,
        address: str,
        call: RawCall,
        headers: dict[str, str],
        probe: ConnectionProbe | None = None,
    ) -> RawAnswer:
        self.bodies.append(json.loads(call.body))
        self.headers = headers
        return self.answer


class WorkerCallsTest(AsyncTestCase):
    def run_scenario(
        self,
        answer: RawAnswer,
        scenario: Callable[[PlatformWorkers], Awaitable[object]],
    ) -> tuple[object, _Caller]:
        caller = _Caller(answer)
        workers = PlatformWorkers(caller)  # type: ignore[arg-type]

        async def run() -> object:
            return await scenario(workers)

        return self.run_async(run()), caller

    def test_results_of_a_start(self) -> None:
        key = RunKey(TaskKey('j.0.0.1'), RunNumber(2))
        order = StartOrder(key, 'text', 486, Epoch(7), 'saved', 'ticket')
        table = (
            (RawAnswer(200, b'{"clockMs":5}'), OrderResult.TAKEN),
            (RawAnswer(409, b'{"reason":"fence"}'), OrderResult.FENCED),
            (RawAnswer(409, b'{"reason":"ticket"}'), OrderResult.NO_TICKET),
            (RawAnswer(409, b'{"reason":"old"}'), OrderResult.OLD_RUN),
            (RawAnswer(421), OrderResult.OTHER_INCARNATION),
            (RawAnswer(429), OrderResult.UNHEALTHY),
            (RawAnswer(0), OrderResult.UNKNOWN),
            (RawAnswer(0, reached=False), OrderResult.NOT_SENT),
        )
        for answer, expected in table:
            outcome, caller = self.run_scenario(
                answer,
                lambda workers: workers.start(make_entry(), order, 1),
            )
            assert isinstance(outcome, OrderAnswer)
            self.assertIs(expected, outcome.result)
        self.assertEqual(486_000, caller.bodies[0]['deadlineMs'])
        self.assertEqual('saved', caller.bodies[0]['checkpoint'])
        expected_headers = {'X-Orchidrail-Expect-Instance': 'w-1'}
        self.assertEqual(expected_headers, caller.headers)

    def test_a_listing(self) -> None:
        body = (
            b'{"clockMs":482113,"active":[["j.0.1.17",2,"saved",41]],'
            b'"ended":[[58,"j.0.1.9",1,"done",""]]}'
        )
        listing, caller = self.run_scenario(
            RawAnswer(200, body),
            lambda workers: workers.hold(
                make_entry(),
                HoldOrder(Epoch(7), 486, 57, 1),
                2,
            ),
        )
        assert isinstance(listing, Listing)
        self.assertEqual(482.113, listing.clock)
        self.assertEqual(41, listing.active[0].share_done)
        self.assertIs(RunEnding.DONE, listing.ended[0].ending)
        self.assertEqual(57, caller.bodies[0]['lastSeen'])

    def test_a_full_page_of_endings_is_incomplete(self) -> None:
        """The rest is listed once these are acknowledged."""
        for count, complete in ((499, True), (500, False)):
            rows = [
                [number, f'j.0.0.{number}', 1, 'done', '']
                for number in range(count)
            ]
            body = msgspec.json.encode({'clockMs': 5, 'ended': rows})
            listing, _ = self.run_scenario(
                RawAnswer(200, body),
                lambda workers: workers.hold(
                    make_entry(), HoldOrder(Epoch(7)), 2
                ),
            )
            assert isinstance(listing, Listing)
            self.assertIs(complete, listing.complete)


class DocumentsTest(AsyncTestCase):
    def test_a_job(self) -> None:
        raw = (
            b'{"spec":"t","phases":[{"count":4,"cpu":500,"memMb":256,'
            b'"affinity":"r1-3"},{"count":20,"afterRevision":[0],'
            b'"checkpointing":true,"gangScheduled":true,"target_ms":50,'
            b'"may_miss":2,"antiAffinity":3}]}'
        )
        spec = self.assert_ok(documents.decode_job(raw))
        first, second = spec.steps
        self.assertEqual(
            (4, Size(500, 256), 'r1-3'),
            (
                first.count,
                first.size,
                first.data_rack,
            ),
        )
        self.assertEqual((0,), second.after)
        self.assertTrue(second.gang and second.keeps_checkpoint)
        self.assertEqual(
            (0.05, 2, 3),
            (
                second.target,
                second.may_miss,
                second.most_per_worker,
            ),
        )

    def test_invalid_jobs_are_rejected(self) -> None:
        for raw in (
            b'',
            b'{"spec":1}',
            b'{"spec":"t","phases":[]}',
            b'{"spec":"t","phases":[{"count":0}]}',
            b'{"spec":"t","phases":[{"count":1,"afterRevision":[0]}]}',
            b'{"spec":"\xff","phases":[{"count":1}]}',
        ):
            self.assertTrue(documents.decode_job(raw).is_err(), raw)

    def test_a_worker(self) -> None:
        raw = (
            b'{"service":"s","address":"a:1","zone":"z","state":"draining",'
            b'"capacity":{"cpu":16000,"memMb":32768,"gpu":0},'
            b'"labels":["a","r1-3"],"remainingMs":4000,"sequence":4}'
        )
        entry = self.assert_ok(documents.decode_worker('i-1', raw))
        self.assertIs(WorkerState.DRAINING, entry.state)
        self.assertEqual(('r1-3', 4), (entry.rack, entry.leaves_in))

    def test_an_incarnation_of_a_worker(self) -> None:
        raw = _entry(born=1712345678901)
        entry = self.assert_ok(documents.decode_worker('i-1', raw))
        self.assertEqual('i-1', entry.name)
        self.assertEqual('i-1@1712345678901', entry.worker)

    def test_an_entry_with_an_invalid_start_is_rejected(self) -> None:
        for born in ('1712345678901', 1.5, True, [1], -5):
            kind = self.error_kind(_entry(born=born))
            self.assertIs(EntryErrorKind.FIELD, kind)

    def test_an_entry_with_an_invalid_name_is_rejected(self) -> None:
        for name in (
            'i-1@5',
            '',
            'i 1',
            'i\r\n1',
            '\N{SNOWMAN}',
            '\N{REPLACEMENT CHARACTER}',
            'i' * 255,
        ):
            kind = self.error_kind(_entry(), name)
            self.assertIs(EntryErrorKind.NAME, kind)

    def test_addresses_at_the_limits_are_taken(self) -> None:
        for address in (
            'a:1',
            '10.1.0.5:65535',
            'worker_7.zone-b.example:9999',
            f'{"a" * 63}.{"b" * 63}:10000',
        ):
            self.assert_ok(
                documents.decode_worker('i', _entry(address=address))
            )
        self.assert_ok(documents.decode_worker('i' * 254, _entry()))

    def error_kind(self, raw: bytes, name: str = 'i-1') -> EntryErrorKind:
        outcome = documents.decode_worker(name, raw)
        assert isinstance(outcome, Err)
        return outcome.err_value.kind

    def test_an_entry_with_a_missing_field_is_rejected(self) -> None:
        self.assert_ok(documents.decode_worker('i-1', _entry()))
        for field in _NEEDED:
            kind = self.error_kind(_entry(**{field: None}))
            self.assertIs(EntryErrorKind.FIELD, kind)

    def test_an_entry_with_an_invalid_field_is_rejected(self) -> None:
        for field, given in (
            ('service', ''), ('service', 7), ('address', ''),
            ('address', 'nowhere'), ('address', 'a:0'), ('address', 'a:b'),
            ('zone', ''), ('zone', ['z']), ('state', 'resting'),
            ('state', 1), ('capacity', {}), ('capacity', 64),
            ('capacity', {'cpu': -1, 'memMb': 5}),
            ('capacity', {'cpu': 5}), ('capacity', {'cpu': 1.5, 'memMb': 5}),
            ('capacity', {'cpu': 5, 'memMb': 5, 'gpu': -1}),
            ('labels', 'kind'), ('labels', [1]), ('slots', '8'),
            ('sequence', 'x'), ('version', 3), ('warmupLeftMs', -4),
            ('remainingMs', '9'), ('remainingMs', 1e308),
            ('warmupLeftMs', 2**64), ('address', 'a:65536'),
            ('address', 'a:99999'), ('address', 'a:1\n'),
            ('address', 'a:8\N{ARABIC-INDIC DIGIT THREE}'),
            ('address', 'a\x00b:1'), ('address', '\N{SNOWMAN}:1'),
            ('address', 'a?b#c:1'), ('address', 'a..b:1'),
            ('address', f'{"a" * 64}:1'),
            ('address', f'{".".join(("a" * 50, *"b" * 102))}:1'),
            ('service', 's' * 256), ('zone', 'z' * 256),
            ('labels', ['l' * 256]), ('labels', list('l' * 65)),
        ):  # fmt: skip
            kind = self.error_kind(_entry(**{field: given}))
            self.assertIs(EntryErrorKind.FIELD, kind, (field, given))
        for raw in (
            b'',
            b'\xff\xfe',
            b'{',
            b'{"x":' + b'[' * 100_000,
            b'{"service":"\xff"}',
        ):
            self.assertIs(EntryErrorKind.UNREADABLE, self.error_kind(raw))
        self.assertIs(EntryErrorKind.FIELD, self.error_kind(b'[]'))

    def test_the_reason_quotes_the_entry(self) -> None:
        outcome = documents.decode_worker('i-1', _entry(state='resting'))
        assert isinstance(outcome, Err)
        self.assertIn("'resting'", outcome.err_value.reason)
        self.assertIn('"state":"resting"', outcome.err_value.reason)

    def test_a_configuration(self) -> None:
        raw = (
            b'{"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/",'
            b'"timeoutMs":3000,"targetLatencyMs":250,"priority":0,"service":"s",'
            b'"maxAttempts":3,"extension":1.5,'
            b'"advice":{"decide_ms":10,"each_ms":1,"valid_ms":1500}}],'
            b'"limits":{"maxBodyBytes":5}}'
        )
        config = self.assert_ok(configuration.decode_config(raw))
        queue = config.find_queue('h', '/p/0123')
        self.assertEqual((0.25, 1.5), (queue.target, queue.stretch))
        self.assertEqual(0.04, queue.advice.duration(30))
        self.assertEqual(5, config.limits.body_bytes)
        self.assertIsNone(config.find_queue('other', '/p/0123'))

    def test_unknown_settings_are_ignored(self) -> None:
        settings = documents.decode_settings(_SETTINGS)
        self.assertEqual('10.1.0.13:7720', settings.peers)
        self.assertEqual(5, settings.bounds.longest_lease)
        self.assertEqual(1, settings.bounds.stop_takes)

    def test_settings_of_evacuation(self) -> None:
        settings = documents.decode_settings(_SETTINGS)
        self.assertEqual(0, settings.bounds.evacuation)
        lines = f'{_SETTINGS}\nbounds.evacuationMs=4500'
        settings = documents.decode_settings(lines)
        self.assertEqual(4.5, settings.bounds.evacuation)

    def test_sizes_that_the_store_accepts(self) -> None:
        settings = documents.decode_settings(_SETTINGS)
        self.assertEqual(StoreLimits(), settings.store_limits)
        lines = f'{_SETTINGS}\nplatform.record_bytes=1000'
        limits = documents.decode_settings(lines).store_limits
        self.assertEqual((1000, 2_097_152), limits)

    def test_evacuated_zones_are_found_among_the_operators_records(
        self,
    ) -> None:
        keys = ['config', 'evacuate/z-1', 'wave/1', 'evacuate/z-2']
        found = configuration.find_evacuated_zones(keys)
        self.assertEqual({'z-1', 'z-2'}, found)

    def test_settings_of_key_revocation(self) -> None:
        for word, strict in (('true', True), ('false', False), ('', False)):
            lines = f'bounds.strictRevocation={word}\nbounds.revocationMs=4500'
            settings = documents.decode_settings(f'{_SETTINGS}\n{lines}')
            self.assertIs(strict, settings.bounds.strict_revocation)
            self.assertEqual(4.5, settings.bounds.revocation)
