"""Tests of values that exceed one record of the store."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from testtools import TestCase

from orchidrail.journal import JournalView, JournalWriter
from orchidrail.journal.split_values import PartKey, PartStore, split_value
from orchidrail.journal.writer import take_over
from orchidrail.store import KeyedRecord, StoreLimits, Topic
from orchidrail.store.memory import MemoryStore, StoreFault
from orchidrail.types import Address, Epoch, InstanceId
from orchidrail.work.model import MemberInfo
from orchidrail.work.records import OWNER_KEY
from standins.model.loop import run_in_virtual_time

_TOPIC = Topic('journal')
_ME = MemberInfo(InstanceId('me'), Address('me:1'), 'zone', 'me-1')
_LIMITS = StoreLimits(record_bytes=400, call_bytes=4000)
_LARGE = bytes(range(256)) * 4
_TIMEOUT = 60


class SplitValuesTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = MemoryStore()
        self.store.limits = _LIMITS

    def run_scenario(
        self, scenario: Callable[[JournalWriter], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            loop = asyncio.get_running_loop()
            writer = await take_over(
                self.view(), _ME, loop.time, Epoch(0), _LIMITS
            )
            writing = asyncio.create_task(writer.run())
            await scenario(writer)
            writing.cancel()

        run_in_virtual_time(asyncio.wait_for(run(), _TIMEOUT))

    def view(self) -> JournalView:
        return JournalView(self.store, _TOPIC)

    async def read_again(self) -> dict[str, bytes]:
        """Return the values as a new reader lists them."""
        view = self.view()
        self.assertTrue(await view.catch_up())
        view.value_by_key.pop(OWNER_KEY)
        return view.value_by_key

    def test_a_large_value_is_read_as_it_was_written(self) -> None:
        async def scenario(writer: JournalWriter) -> None:
            follower = self.view()
            await follower.catch_up()
            self.assertTrue(await writer.put('x', _LARGE).wait())
            await follower.catch_up()
            self.assertEqual(_LARGE, follower.value_by_key['x'])
            self.assertEqual({'x': _LARGE}, await self.read_again())
            self.assertEqual(0, self.store.refusals)

        self.run_scenario(scenario)

    def test_a_large_value_is_written_by_one_append(self) -> None:
        async def scenario(writer: JournalWriter) -> None:
            before = self.store.appends
            await writer.put('x', _LARGE).wait()
            self.assertEqual(before + 1, self.store.appends)

        self.run_scenario(scenario)

    def test_parts_that_are_not_needed_any_more_are_removed(self) -> None:
        async def scenario(writer: JournalWriter) -> None:
            for value in (_LARGE, _LARGE[:500], b'small', _LARGE, b''):
                await writer.put('x', value).wait()
                expected = {'x': value} if value else {}
                self.assertEqual(expected, await self.read_again())
                self.assertEqual([], writer.view.orphaned_parts())
            listed = await self.store.latest(_TOPIC)
            self.assertEqual([OWNER_KEY], [one.key for one in listed.records])

        self.run_scenario(scenario)

    def test_a_large_value_can_be_withdrawn(self) -> None:
        async def scenario(writer: JournalWriter) -> None:
            self.store.fault = StoreFault.REFUSES
            commit = writer.put('x', _LARGE)
            writer.put('y', b'1')
            await asyncio.sleep(0.05)
            self.assertTrue(writer.withdraw('x'))
            self.store.fault = None
            self.assertTrue(await commit.wait())
            self.assertEqual({'y': b'1'}, await self.read_again())

        self.run_scenario(scenario)

    def test_a_value_too_large_for_a_call_is_dropped(self) -> None:
        """The others of its batch are written, and the owner goes on."""

        async def scenario(writer: JournalWriter) -> None:
            refused: list[str] = []
            writer.on_refused = refused.append
            commit = writer.put('x', bytes(5000))
            writer.put('y', b'1')
            self.assertTrue(await commit.wait())
            self.assertEqual(['x'], refused)
            self.assertEqual({'x'}, commit.refused_keys)
            self.assertEqual({'y': b'1'}, await self.read_again())
            self.assertTrue(await writer.put('x', b'2').wait())

        self.run_scenario(scenario)

    def test_a_key_too_long_for_the_store_is_dropped(self) -> None:
        async def scenario(writer: JournalWriter) -> None:
            commit = writer.put('k' * 256, b'1')
            writer.put('y', b'1')
            self.assertTrue(await commit.wait())
            self.assertEqual({'k' * 256}, commit.refused_keys)
            self.assertEqual({'y': b'1'}, await self.read_again())

        self.run_scenario(scenario)

    def test_values_that_the_store_refuses_are_separated(self) -> None:
        """Its limits may be lower than the settings say."""

        async def scenario(writer: JournalWriter) -> None:
            self.store.limits = StoreLimits(record_bytes=200, call_bytes=4000)
            values = {f'k{number:02}': bytes(5) for number in range(40)}
            values['k13'] = bytes(300)
            commits = [writer.put(*item) for item in values.items()]
            self.assertTrue(await commits[0].wait())
            self.assertEqual({'k13'}, commits[0].refused_keys)
            values.pop('k13')
            self.assertEqual(values, await self.read_again())
            self.assertLess(self.store.refusals, 8)
            self.assertFalse(await self.flush_after(writer))

        self.run_scenario(scenario)

    async def flush_after(self, writer: JournalWriter) -> bool:
        """Put another refused value; return whether all is written."""
        writer.put('x', bytes(300))
        return await writer.flush()

    def test_an_owner_steps_down_if_its_own_record_is_refused(self) -> None:
        """Another process may be able to write; this one can't confirm."""

        async def scenario(writer: JournalWriter) -> None:
            self.store.limits = StoreLimits(record_bytes=1, call_bytes=4000)
            await writer.fenced.wait()
            self.assertFalse(await writer.confirm(within=5))
            self.assertFalse(await writer.put('x', b'1').wait())

        self.run_scenario(scenario)

    def test_parts_of_another_moment_are_not_joined(self) -> None:
        parts = PartStore()
        older = split_value('x', _LARGE, _LIMITS)
        newer = split_value('x', bytes(2 * len(_LARGE)), _LIMITS)
        for record in newer[: len(newer) - 1]:
            self.assertTrue(parts.take(record))
        self.assertIsNone(parts.join(older[-1]))

    def test_foreign_keys_are_no_parts(self) -> None:
        for key in ('+', '+x', '+1', '+a:x', 'x:1', ''):
            self.assertIsNone(PartKey.parse(key), key)
            self.assertFalse(PartStore().take(KeyedRecord(key, b'1')))
