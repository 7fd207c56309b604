"""Test of why an owner has a single append in flight.

Each append names an end that its owner has read or written. If it named the end
that an unanswered append would leave, it could succeed after a takeover: the
end says how many records there are, not whose.
"""

from __future__ import annotations

import asyncio
import time

from orchidrail.journal import JournalView
from orchidrail.journal.writer import current_owner, take_over
from orchidrail.store import KeyedRecord, Topic
from orchidrail.store.memory import MemoryStore, StoreFault
from orchidrail.testing import AsyncTestCase
from orchidrail.types import Address, Epoch, InstanceId, Offset
from orchidrail.work.model import MemberInfo

_TOPIC = Topic('journal')
_FIRST = KeyedRecord('a', b'1')
_SECOND = KeyedRecord('b', b'2')


def _member(name: str) -> MemberInfo:
    return MemberInfo(InstanceId(name), Address(name), 'zone', f'{name}-1')


class AppendsInFlightTest(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = MemoryStore()

    async def _replace_owner(self, end_of_second: int) -> list[KeyedRecord]:
        """Return the records after a takeover during two appends.

        The first append is lost, the second arrives after the takeover.
        """
        view = JournalView(self.store, _TOPIC)
        await take_over(view, _member('a'), time.monotonic, Epoch(0))
        assert view.end is not None
        self.store.fault = StoreFault.SWALLOWS
        await self.store.append(_TOPIC, [_FIRST], view.end)
        self.store.fault = StoreFault.DELAYS
        expected = Offset(view.end + end_of_second)
        await self.store.append(_TOPIC, [_SECOND], expected)
        self.store.fault = None
        next_view = JournalView(self.store, _TOPIC)
        await take_over(next_view, _member('b'), time.monotonic, Epoch(1))
        owner = current_owner(next_view)
        assert owner is not None
        self.assertEqual('b', owner.holder)
        await asyncio.sleep(0.05)
        return self.store.records_by_topic[_TOPIC]

    def test_append_behind_an_unanswered_one_may_follow_a_takeover(
        self,
    ) -> None:
        async def scenario() -> None:
            records = await self._replace_owner(1)
            self.assertEqual([_SECOND], records[2:])

        self.run_async(scenario())

    def test_append_at_an_end_that_was_read_fails_after_a_takeover(
        self,
    ) -> None:
        async def scenario() -> None:
            records = await self._replace_owner(0)
            self.assertEqual([], records[2:])

        self.run_async(scenario())
