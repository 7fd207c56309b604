"""Tests of the fold: who wins, who may, and that versions only grow."""

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

    def test_the_first_on_a_base_wins(self) -> None:
        first, second = self.publish(2), self.publish(3)
        self.apply(first, 0)
        self.apply(second, 1)
        self.assertEqual(1, self.fold.version)
        self.assertEqual(2, self.fold.bundle.tenants['t'].weight)
        self.assertEqual([True, False], [one.won for one in self.fold.history])
        self.assertIn('expected base 1', self.fold.history[1].reason)

    def test_a_double_record_changes_nothing(self) -> None:
        record = self.publish(2)
        self.apply(record, 0)
        self.apply(record, 1)
        self.assertEqual(1, self.fold.version)

    def test_what_is_not_allowed_changes_nothing(self) -> None:
        good = self.publish(2)
        replace = msgspec.structs.replace
        cases = (
            replace(good, draft=replace(good.draft, patch='[]')),
            replace(good, draft=replace(good.draft, author='bob')),
            replace(good, review=replace(good.review, reviewer='alice')),
            replace(good, review=replace(good.review, signature='00')),
            replace(good, sign_off=replace(good.sign_off, content_hash='x')),
            replace(good, sign_off=replace(good.sign_off, signer='bob')),
        )
        for record in cases:
            self.apply(record)
            self.assertEqual(0, self.fold.version, record)

    def test_a_document_does_not_depend_on_where_numbers_came_from(
        self,
    ) -> None:
        made = Bundle(max_ejected=1)
        read = msgspec.json.decode(b'{"maxEjected": 1}', type=Bundle)
        self.assertEqual(canonical(made), canonical(read))

    def test_garbage_changes_nothing(self) -> None:
        for payload in ('', '{}', 'null', '{"record": "publish"}', '[1]'):
            self.fold.apply(LogRecord(Offset(0), 0, payload))
        self.assertEqual(0, self.fold.version)

    def test_a_snapshot_closes_a_gap(self) -> None:
        self.apply(self.publish(2))
        snapshot = self.fold.snapshot()
        late = self.new_fold()
        late.note_gap(Offset(5))
        late.apply(LogRecord(Offset(5), 0, encode_record(snapshot)))
        self.assertEqual(1, late.version)
        self.assertFalse(late.gap)

    def test_an_older_or_forged_snapshot_is_not_taken(self) -> None:
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

    def test_every_reader_folds_alike_from_any_start(self) -> None:
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
