"""Tests of reading a journal."""

from __future__ import annotations

import asyncio
from unittest import mock

from testtools import TestCase

from orchidrail.journal import JournalView
from orchidrail.store import KeyedRecord, LatestPage, Topic, Unavailable
from orchidrail.store.memory import MemoryStore, StoreFault

_TOPIC = Topic('journal')


def _records(*names: str) -> list[KeyedRecord]:
    return [KeyedRecord(name, name.encode()) for name in names]


class FollowerTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = MemoryStore()
        self.view = JournalView(self.store, _TOPIC)

    def _append(self, *records: KeyedRecord) -> None:
        asyncio.run(self.store.append(_TOPIC, list(records)))

    def test_reads_the_latest_value_by_key(self) -> None:
        self._append(KeyedRecord('a', b'1'), KeyedRecord('b', b'2'))
        self._append(KeyedRecord('a', b'3'), KeyedRecord('b', b''))
        self.assertTrue(asyncio.run(self.view.catch_up()))
        self.assertEqual({'a': b'3'}, self.view.value_by_key)

    def test_concurrent_readers_skip_no_record(self) -> None:
        async def read_twice() -> None:
            await self.view.catch_up()
            await self.store.append(_TOPIC, _records('a', 'b'))
            await asyncio.gather(self.view.catch_up(), self.view.catch_up())
            await self.store.append(_TOPIC, _records('c'))
            await self.view.catch_up()

        asyncio.run(read_twice())
        self.assertEqual({'a', 'b', 'c'}, set(self.view.value_by_key))

    def test_lists_again_after_the_history_was_trimmed(self) -> None:
        self._append(*_records('a'))
        asyncio.run(self.view.catch_up())
        self._append(*_records('b', 'c'))
        self._append(KeyedRecord('a', b''))
        self.store.trim(_TOPIC, 4)
        self.assertTrue(asyncio.run(self.view.catch_up()))
        self.assertEqual({'b', 'c'}, set(self.view.value_by_key))

    def _list_incomplete(self, view: JournalView, **changes: object) -> bool:
        """Catch up after a trim, by a listing without the first record."""
        asyncio.run(view.catch_up())
        self._append(*_records('c'))
        self.store.trim(_TOPIC, 3)
        latest = self.store.latest

        async def list_page(
            topic: Topic, after: str = ''
        ) -> LatestPage | Unavailable:
            page = await latest(topic, after)
            assert isinstance(page, LatestPage)
            return page._replace(records=page.records[1:], **changes)

        with mock.patch.object(self.store, 'latest', list_page):
            return asyncio.run(asyncio.wait_for(view.catch_up(), 1))

    def test_an_incomplete_listing_shows_no_removal(self) -> None:
        """Else workers whose entries are left out are taken for gone.

        A listing that does not advance is one: some stores can't continue after
        a key that is no UTF-8.
        """
        for changes in ({'complete': False}, {'after': '\udcff'}):
            self.store = MemoryStore()
            self._append(*_records('a', 'b'))
            view = JournalView(self.store, _TOPIC, splits_values=False)
            self.assertTrue(self._list_incomplete(view, **changes))
            self.assertEqual({'a', 'b', 'c'}, set(view.value_by_key))

    def test_no_journal_is_read_from_an_incomplete_listing(self) -> None:
        """Else the next owner loses the jobs that are left out."""
        self._append(*_records('a', 'b'))
        self.assertFalse(self._list_incomplete(self.view, complete=False))

    def test_reports_a_failed_read(self) -> None:
        self.store.fault = StoreFault.REFUSES
        self.assertFalse(asyncio.run(self.view.catch_up()))
