"""Tests of the bundle replay: conflicts, permissions and versions."""

from __future__ import annotations

import asyncio
from random import Random

import msgspec

from orchidrail.bundles.fold import BundleFold
from orchidrail.bundles.model import Bundle
from orchidrail.bundles.records import Publish, Snapshot, encode_record
from orchidrail.bundles.signing import canonical
from orchidrail.logservice.ports import LogRecord
from orchidrail.testing import AsyncTestCase
from orchidrail.types import Offset
from proving.cell import VirtualCell

_WEIGHT = '/tenants/t/weight'


def _add(weight: float) -> list[dict[str, object]]:
    tenant = {'weight': weight}
    return [{'op': 'add', 'path': '/tenants', 'value': {'t': tenant}}]


class BundleFoldTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.cell = self.run_async(_make_cell())
        self.fold = self.new_fold()

    def new_fold(self) -> BundleFold:
        return BundleFold(Bundle(operators=self.cell.operators))

    def publish(self, weight: float, base: BundleFold | None = None) -> Publish:
        return self.cell.signed_publish(base or self.fold, _add(weight))

    def apply(self, record: Publish | Snapshot, offset: int = 0) -> None:
        where = LogRecord(Offset(offset), 0, encode_record(record))
        self.fold.apply(where)

    def test_first_publish_on_a_base_wins(self) -> None:
        first, second = self.publish(2), self.publish(3)
        self.apply(first, 0)
        self.apply(second, 1)
        self.assertEqual(1, self.fold.version)
        self.assertEqual(2, self.fold.bundle.tenants['t'].weight)
        self.assertEqual([True, False], [one.won for one in self.fold.history])
        self.assertIn('expected base 1', self.fold.history[1].reason)

    def test_duplicate_record_is_ignored(self) -> None:
        record = self.publish(2)
        self.apply(record, 0)
        self.apply(record, 1)
        self.assertEqual(1, self.fold.version)

    def test_unauthorized_publish_is_rejected(self) -> None:
        valid = self.publish(2)
        replace = msgspec.structs.replace
        cases = (
            replace(valid, draft=replace(valid.draft, patch='[]')),
            replace(valid, draft=replace(valid.draft, author='bob')),
            replace(valid, review=replace(valid.review, reviewer='alice')),
            replace(valid, review=replace(valid.review, signature='00')),
            replace(valid, sign_off=replace(valid.sign_off, content_hash='x')),
            replace(valid, sign_off=replace(valid.sign_off, signer='bob')),
        )
        for record in cases:
            self.apply(record)
            self.assertEqual(0, self.fold.version, record)

    def test_equal_bundles_have_equal_canonical_documents(
        self,
    ) -> None:
        constructed = Bundle(max_ejected=1)
        decoded = msgspec.json.decode(b'{"maxEjected": 1}', type=Bundle)
        self.assertEqual(canonical(constructed), canonical(decoded))

    def test_undecodable_records_are_ignored(self) -> None:
        for payload in ('', '{}', 'null', '{"record": "publish"}', '[1]'):
            self.fold.apply(LogRecord(Offset(0), 0, payload))
        self.assertEqual(0, self.fold.version)

    def test_snapshot_clears_the_gap_flag(self) -> None:
        self.apply(self.publish(2))
        snapshot = self.fold.snapshot()
        late_reader = self.new_fold()
        late_reader.note_gap(Offset(5))
        late_reader.apply(LogRecord(Offset(5), 0, encode_record(snapshot)))
        self.assertEqual(1, late_reader.version)
        self.assertFalse(late_reader.gap)

    def test_older_or_forged_snapshot_is_rejected(self) -> None:
        self.apply(self.publish(2))
        old = self.fold.snapshot()
        self.apply(self.publish(3), 1)
        self.assertFalse(self.fold.adopt(old, Offset(0)))
        newest = self.fold.snapshot()
        forged = msgspec.structs.replace(newest, version=9)
        self.assertFalse(self.fold.adopt(forged, Offset(0)))
        changed = msgspec.structs.replace(newest, document=old.document)
        self.assertFalse(self.new_fold().adopt(changed, Offset(0)))
        self.assertEqual(2, self.fold.version)

    def test_readers_agree_from_any_snapshot(self) -> None:
        random = Random(5)
        records: list[Publish | Snapshot] = []
        for number in range(12):
            record = self.publish(1 + random.randrange(5))
            records.append(record)
            self.apply(record, number)
            if random.random() < 0.5:
                records.append(self.publish(7, self.new_fold()))
            snapshot = self.fold.snapshot()
            if snapshot is not None and random.random() < 0.3:
                records.append(snapshot)
        for _ in range(10):
            reader = self.new_fold()
            reader.adopt(_first_snapshot(records), Offset(0))
            for offset, record in enumerate(records):
                payload = encode_record(record)
                reader.apply(LogRecord(Offset(offset), 0, payload))
            self.assertEqual(self.fold.document, reader.document)


def _first_snapshot(records: list[Publish | Snapshot]) -> Snapshot:
    return next(one for one in records if isinstance(one, Snapshot))


async def _make_cell() -> VirtualCell:
    await asyncio.sleep(0)
    return VirtualCell(1)
