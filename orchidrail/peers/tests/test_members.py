"""Tests of the member list."""

from __future__ import annotations

import asyncio
import time

import msgspec
from structlog.testing import capture_logs

from orchidrail.journal import JournalView
from orchidrail.peers.members import MemberList
from orchidrail.peers.table import PeerTable
from orchidrail.store import KeyedRecord, Topic
from orchidrail.store.memory import MemoryStore
from orchidrail.testing import AsyncTestCase
from orchidrail.types import Address, InstanceId
from orchidrail.work.model import MemberInfo

_TOPIC = Topic('members')
_ODD_VALUES = (b'', b'\xc1', b'\x01', b'{}', b'\x91' * 100_000, b'\x93\xa1\xff')


def _member(name: str) -> MemberInfo:
    return MemberInfo(
        InstanceId(name), Address(f'{name}:1'), 'zone', f'{name}-1'
    )


class MemberListTest(AsyncTestCase):
    def test_odd_entries_are_passed_over(self) -> None:
        """One of them ended the process of each instance that read the list."""

        async def scenario() -> None:
            store = MemoryStore()
            odd = [
                KeyedRecord(f'odd-{number}', raw)
                for number, raw in enumerate(_ODD_VALUES)
            ]
            other = KeyedRecord(
                'other', msgspec.msgpack.encode(_member('other'))
            )
            await store.append(_TOPIC, [*odd, other])
            table = PeerTable(_member('me'), time.monotonic)
            members = MemberList(
                JournalView(store, _TOPIC, splits_values=False), table
            )
            with capture_logs() as lines:
                running = asyncio.create_task(members.run())
                await asyncio.sleep(0.1)
                members._add_members()
            self.assertFalse(running.done())
            running.cancel()
            self.assertEqual(['other'], [peer.name for peer in table.peers()])
            rejected = [
                line['key']
                for line in lines
                if line['event'] == 'member entry passed over'
            ]
            # An empty value removes its key.
            self.assertEqual([one.key for one in odd[1:]], rejected)

        self.run_async(scenario())
