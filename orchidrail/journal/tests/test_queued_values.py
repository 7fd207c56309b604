"""Tests of the values that wait for the next append.

Guards against jobs that are rejected although little is unwritten: while the
journal does not respond, the progress of each job is put again at each start
and end, and only the latest value is written.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from orchidrail.journal.queued_values import QueuedValues
from orchidrail.store import KeyedRecord

_changes = st.tuples(
    st.sampled_from(('put', 'put_lazily', 'remove', 'measure')),
    st.sampled_from('abc'),
    st.binary(max_size=5),
)


class QueuedValuesTest(TestCase):
    def test_only_the_latest_value_of_a_key_counts(self) -> None:
        queued = QueuedValues()
        for _ in range(100):
            queued.put('a', b'123')
        self.assertEqual(3, queued.size)
        self.assertTrue(queued.remove('a'))
        self.assertEqual(0, queued.size)

    def test_a_value_is_encoded_once(self) -> None:
        encoded: list[str] = []

        def encode_value() -> bytes:
            encoded.append('')
            return b'12'

        queued = QueuedValues()
        for _ in range(100):
            queued.put_lazily('a', encode_value)
        self.assertEqual([], encoded)
        self.assertEqual([KeyedRecord('a', b'12')], queued.take())
        self.assertEqual(1, len(encoded))

    def test_a_value_follows_all_that_were_put_before(self) -> None:
        """The progress of a job is removed after its end is written."""
        queued = QueuedValues()
        queued.put('progress', b'1')
        queued.put('job', b'ended')
        queued.put('progress', b'')
        self.assertEqual(
            ['job', 'progress'], [record.key for record in queued.take()]
        )

    @given(changes=st.lists(_changes))
    def test_size_is_that_of_the_values_taken(
        self, changes: list[tuple[str, str, bytes]]
    ) -> None:
        queued = QueuedValues()
        expected: dict[str, bytes] = {}
        for kind, key, value in changes:
            if kind == 'put':
                queued.put(key, value)
            elif kind == 'put_lazily':
                queued.put_lazily(key, lambda value=value: value)
            if kind == 'remove':
                known = expected.pop(key, None) is not None
                self.assertIs(known, queued.remove(key))
            elif kind != 'measure':
                expected.pop(key, None)
                expected[key] = value
            else:
                self.assertEqual(sum(map(len, expected.values())), queued.size)
        self.assertEqual(len(expected), len(queued))
        self.assertEqual(list(expected.items()), queued.take())
        self.assertEqual((0, []), (queued.size, queued.take()))
