"""Properties of the journal writer under any order of faults and calls."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from orchidrail.journal import JournalView, JournalWriter, TakeOverError
from orchidrail.journal import writer as writer_module
from orchidrail.journal.writer import Commit, take_over
from orchidrail.store import Topic
from orchidrail.store.memory import MemoryStore, StoreFault
from orchidrail.types import Address, Epoch, InstanceId
from orchidrail.work.model import MemberInfo

_TOPIC = Topic('journal')
_FAST = 0.0005
#: Some pauses end during an append attempt, some between two.
_PAUSES = (0, 0.0003, 0.002, 0.004)
_SETTLE = 0.05
_KEYS = ('a', 'b', 'c', 'd')
_pauses = st.sampled_from(_PAUSES)
_actions = st.one_of(
    st.tuples(st.just('put'), st.sampled_from(_KEYS), _pauses),
    st.tuples(st.just('withdraw'), st.sampled_from(_KEYS), _pauses),
    st.tuples(st.just('fault'), st.sampled_from((None, *StoreFault)), _pauses),
    st.tuples(st.just('rival'), st.none(), _pauses),
)
_Action = tuple[str, object, float]


def _member(name: str) -> MemberInfo:
    return MemberInfo(InstanceId(name), Address(name), 'zone', f'{name}-1')


class _Scenario:
    """One owner with the values that were put and withdrawn."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.commit_by_key: dict[str, Commit] = {}
        self.withdrawn: set[str] = set()
        self._number = 0

    async def perform(self, actions: list[_Action]) -> None:
        """Perform the actions in order, then wait for pending appends."""
        view = JournalView(self.store, _TOPIC)
        owner = await take_over(
            view,
            _member('a'),
            time.monotonic,
            Epoch(0),
        )
        running = asyncio.create_task(owner.run())
        for kind, argument, pause in actions:
            await self._act(owner, kind, argument)
            await asyncio.sleep(pause)
        self.store.fault = None
        await asyncio.sleep(_SETTLE)
        running.cancel()

    async def _act(
        self,
        owner: JournalWriter,
        kind: str,
        argument: object,
    ) -> None:
        if kind == 'fault':
            assert argument is None or isinstance(argument, StoreFault)
            self.store.fault = argument
        elif kind == 'rival':
            await self._replace()
        elif kind == 'put':
            # Each value has its own key: it is put and withdrawn at most once.
            self._number += 1
            key = f'{argument}{self._number}'
            self.commit_by_key[key] = owner.put(key, b'1')
        else:
            self._withdraw(owner, str(argument))

    def _withdraw(self, owner: JournalWriter, first: str) -> None:
        for key, commit in self.commit_by_key.items():
            fits = key.startswith(first) and key not in self.withdrawn
            if fits and not commit.may_be_written and owner.withdraw(key):
                self.withdrawn.add(key)
                return

    async def _replace(self) -> None:
        """Let another process take over, unless the store has a fault."""
        if self.store.fault is not None:
            return
        view = JournalView(self.store, _TOPIC)
        with suppress(TakeOverError):
            await take_over(view, _member('b'), time.monotonic, Epoch(1))


class WriterProperties(TestCase):
    @settings(deadline=None, max_examples=100)
    @given(actions=st.lists(_actions, max_size=25))
    def test_reported_outcomes_match_the_journal(
        self,
        actions: list[_Action],
    ) -> None:
        """Committed values are present, withdrawn and denied ones absent."""
        scenario = _Scenario()
        fast = {'_RETRY_PAUSE': _FAST, '_APPEND_INTERVAL': _FAST}
        with mock.patch.multiple(writer_module, **fast):
            asyncio.run(scenario.perform(actions))
        stored_keys = {
            one.key for one in scenario.store.records_by_topic[_TOPIC]
        }
        self.assertEqual(set(), scenario.withdrawn & stored_keys)
        for key, commit in scenario.commit_by_key.items():
            if key in scenario.withdrawn:
                continue
            if commit.committed:
                self.assertIn(key, stored_keys)
            elif not commit.may_be_written:
                self.assertNotIn(key, stored_keys)
