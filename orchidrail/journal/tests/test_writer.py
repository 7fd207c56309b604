"""Tests of fencing and of appends with an unknown outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from testtools import TestCase
from testtools.matchers import HasLength

from orchidrail.journal import JournalView, JournalWriter, TakeOverError
from orchidrail.journal.appending import AppendStatus, append_once
from orchidrail.journal.writer import (
    current_owner,
    read_owner,
    take_over,
)
from orchidrail.store import KeyedRecord, Topic
from orchidrail.store.memory import MemoryStore, StoreFault
from orchidrail.types import Address, Epoch, InstanceId, Offset
from orchidrail.work.model import MemberInfo
from standins.model.loop import run_in_virtual_time

_TOPIC = Topic('journal')
_TIMEOUT = 2


def _member(name: str) -> MemberInfo:
    return MemberInfo(InstanceId(name), Address(name), 'zone', f'{name}-1')


class WriterTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = MemoryStore()

    def _view(self) -> JournalView:
        return JournalView(self.store, _TOPIC)

    async def _take_over(self, name: str, epoch: int) -> JournalWriter:
        return await take_over(
            self._view(),
            _member(name),
            asyncio.get_running_loop().time,
            Epoch(epoch),
        )

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        """Run in virtual time: waits don't depend on the machine's load."""
        run_in_virtual_time(asyncio.wait_for(work, _TIMEOUT))

    def test_one_of_two_concurrent_takeovers_succeeds(self) -> None:
        async def contend() -> None:
            outcomes = await asyncio.gather(
                self._take_over('a', 0),
                self._take_over('b', 0),
                return_exceptions=True,
            )
            won = [one for one in outcomes if isinstance(one, JournalWriter)]
            lost = [one for one in outcomes if isinstance(one, TakeOverError)]
            self.assertThat(won, HasLength(1))
            self.assertThat(lost, HasLength(1))

        self._run(contend())

    def test_a_newer_owner_is_not_replaced(self) -> None:
        async def take_over_late() -> None:
            await self._take_over('a', 0)
            self.assertEqual(1, (await self._take_over('b', 1)).owner.epoch - 1)
            try:
                await self._take_over('c', 1)
            except TakeOverError as error:
                self.assertIn('expected epoch 1, got 2', str(error))
            else:
                self.fail('took over from a newer owner')

        self._run(take_over_late())

    def test_a_previous_owner_is_fenced(self) -> None:
        async def replace() -> None:
            first = await self._take_over('a', 0)
            writing = asyncio.create_task(first.run())
            self.assertTrue(await first.put('x', b'1').wait())
            second = await self._take_over('b', 1)
            self.assertFalse(await first.put('x', b'2').wait())
            await writing
            self.assertTrue(first.fenced.is_set())
            self.assertEqual(b'1', second.view.value_by_key['x'])

        self._run(replace())

    def test_a_previous_owner_that_keeps_reading_is_fenced(self) -> None:
        async def replace() -> None:
            first = await self._take_over('a', 0)
            writing = asyncio.create_task(first.run())
            self.store.fault = StoreFault.REFUSES
            late = first.put('x', b'1')
            await asyncio.sleep(0.05)
            self.store.fault = None
            second = await self._take_over('b', 1)
            # A job lookup in its process moves the view past the takeover.
            await first.view.catch_up()
            self.assertFalse(await late.wait())
            await writing
            await second.view.catch_up()
            self.assertNotIn('x', second.view.value_by_key)

        self._run(replace())

    def test_a_retried_takeover_yields_to_another(self) -> None:
        async def contend() -> None:
            view = self._view()
            await view.catch_up()
            self.store.fault = StoreFault.REFUSES
            record = [KeyedRecord('owner', b'late')]
            status = await append_once(view, record, Offset(0))
            self.assertIs(AppendStatus.NOT_WRITTEN, status)
            self.store.fault = None
            await self._take_over('b', 0)
            await view.catch_up()
            status = await append_once(view, record, Offset(0))
            self.assertIs(AppendStatus.CONFLICT, status)

        self._run(contend())

    def test_an_append_with_a_lost_response_is_found(self) -> None:
        async def lose_response() -> None:
            writer = await self._take_over('a', 0)
            self.store.fault = StoreFault.LOSES_ANSWERS
            before = self.store.appends
            writing = asyncio.create_task(writer.run())
            self.assertTrue(await writer.put('x', b'1').wait())
            self.assertEqual(before + 1, self.store.appends)
            writing.cancel()

        self._run(lose_response())

    def test_a_large_append_with_a_lost_response_is_found(self) -> None:
        """It is read back in several pages.

        The first page was shorter than the append and was taken for records of
        another owner: this one stepped down and reported a job as not accepted
        that is in the journal.
        """

        async def lose_response() -> None:
            writer = await self._take_over('a', 0)
            self.store.fault = StoreFault.LOSES_ANSWERS
            self.store.max_page_records = 2
            writing = asyncio.create_task(writer.run())
            commits = [writer.put(f'x{number}', b'1') for number in range(5)]
            self.assertTrue(await commits[0].wait())
            self.assertFalse(writer.fenced.is_set())
            self.store.fault = None
            self.assertTrue(await writer.put('y', b'1').wait())
            view = self._view()
            await view.catch_up()
            self.assertEqual(writer.view.value_by_key, view.value_by_key)
            writing.cancel()

        self._run(lose_response())

    def test_another_writers_records_on_a_later_page_conflict(self) -> None:
        async def contend() -> None:
            view = self._view()
            await view.catch_up()
            mine = [KeyedRecord(f'x{number}', b'1') for number in range(3)]
            theirs = [*mine[:2], KeyedRecord('x2', b'2')]
            await self.store.append(_TOPIC, theirs)
            self.store.max_page_records = 2
            status = await append_once(view, mine, Offset(0))
            self.assertIs(AppendStatus.CONFLICT, status)
            self.assertEqual(b'2', view.value_by_key['x2'])

        self._run(contend())

    def test_the_second_batch_after_an_outage_has_all_pending_values(
        self,
    ) -> None:
        async def fail_appends() -> None:
            writer = await self._take_over('a', 0)
            writing = asyncio.create_task(writer.run())
            await writer.put('x', b'1').wait()
            self.store.fault = StoreFault.REFUSES
            first = writer.put('x', b'2')
            # Not for a fixed time: if this process is paused meanwhile, the
            # writer starts its batch only after the next values are put.
            while not writer.last_error:
                await asyncio.sleep(0.001)
            writer.put('x', b'3')
            later = writer.put('y', b'4')
            self.store.fault = None
            # Both batches may be written before this task goes on: the store
            # tells their order.
            appends = self.store.appends
            await first.wait()
            await later.wait()
            records = self.store.records_by_topic[_TOPIC]
            self.assertEqual(
                [('x', b'1'), ('x', b'2'), ('x', b'3'), ('y', b'4')],
                [one for one in records if one.key in {'x', 'y'}],
            )
            self.assertEqual(appends + 2, self.store.appends)
            view = self._view()
            await view.catch_up()
            self.assertEqual(b'3', view.value_by_key['x'])
            self.assertEqual(b'4', view.value_by_key['y'])
            writing.cancel()

        self._run(fail_appends())

    def test_an_append_dropped_without_a_response_is_resent(self) -> None:
        async def drop_append() -> None:
            writer = await self._take_over('a', 0)
            self.store.fault = StoreFault.SWALLOWS
            writing = asyncio.create_task(writer.run())
            commit = writer.put('x', b'1')
            await asyncio.sleep(0.05)
            self.assertFalse(commit.committed)
            self.store.fault = None
            self.assertTrue(await commit.wait())
            writing.cancel()

        self._run(drop_append())

    def test_flush_waits_for_the_batch_in_flight(self) -> None:
        async def flush() -> None:
            writer = await self._take_over('a', 0)
            writing = asyncio.create_task(writer.run())
            self.store.fault = StoreFault.REFUSES
            commit = writer.put('x', b'1')
            # The batch has been sent but is not in the store.
            await asyncio.sleep(0.05)
            flushing = asyncio.create_task(writer.flush())
            await asyncio.sleep(0.05)
            self.assertFalse(flushing.done())
            self.store.fault = None
            self.assertTrue(await flushing)
            self.assertTrue(commit.committed)
            writing.cancel()

        self._run(flush())

    def test_only_unsent_values_can_be_withdrawn(self) -> None:
        async def withdraw() -> None:
            writer = await self._take_over('a', 0)
            writing = asyncio.create_task(writer.run())
            self.store.fault = StoreFault.SWALLOWS
            first = writer.put('x', b'1')
            await asyncio.sleep(0.05)
            second = writer.put('y', b'2')
            self.assertTrue(first.may_be_written)
            self.assertFalse(writer.withdraw('x'))
            self.assertFalse(second.may_be_written)
            self.assertTrue(writer.withdraw('y'))
            self.assertEqual(0, writer.waiting_bytes)
            self.store.fault = None
            self.assertTrue(await second.wait())
            self.assertIn('x', writer.view.value_by_key)
            self.assertNotIn('y', writer.view.value_by_key)
            writing.cancel()

        self._run(withdraw())

    def test_values_rejected_by_the_store_can_be_withdrawn(self) -> None:
        async def withdraw() -> None:
            writer = await self._take_over('a', 0)
            writing = asyncio.create_task(writer.run())
            self.store.fault = StoreFault.REFUSES
            commit = writer.put('x', b'1')
            writer.put('y', b'2')
            await asyncio.sleep(0.05)
            self.assertTrue(writer.withdraw('x'))
            self.store.fault = None
            self.assertTrue(await commit.wait())
            self.assertNotIn('x', writer.view.value_by_key)
            self.assertIn('y', writer.view.value_by_key)
            writing.cancel()

        self._run(withdraw())

    def test_the_owner_can_be_read_without_the_journal(self) -> None:
        async def read() -> None:
            view = self._view()
            self.assertIsNone(await read_owner(view))
            writer = await self._take_over('a', 0)
            writing = asyncio.create_task(writer.run())
            await writer.put('x', b'1').wait()
            writing.cancel()
            owner = await read_owner(view)
            assert owner is not None
            self.assertEqual('a', owner.holder)
            self.assertIsNone(view.end)

        self._run(read())

    def test_replaced_values_do_not_count_as_waiting(self) -> None:
        async def replace() -> None:
            writer = await self._take_over('a', 0)
            for _ in range(10):
                writer.put('x', b'123')
            writer.put_lazily('y', lambda: b'12345')
            self.assertEqual(8, writer.waiting_bytes)

        self._run(replace())

    def test_a_value_put_lazily_is_written_as_it_is_when_sent(self) -> None:
        async def change() -> None:
            writer = await self._take_over('a', 0)
            current = [b'1']
            commit = writer.put_lazily('x', lambda: current[-1])
            current.append(b'2')
            writing = asyncio.create_task(writer.run())
            self.assertTrue(await commit.wait())
            self.assertEqual(b'2', writer.view.value_by_key['x'])
            writing.cancel()

        self._run(change())

    def test_the_journal_names_its_owner(self) -> None:
        async def name() -> None:
            await self._take_over('a', 0)
            view = self._view()
            await view.catch_up()
            owner = current_owner(view)
            assert owner is not None
            self.assertEqual(('a', 1), (owner.holder, owner.epoch))

        self._run(name())
