"""Tests of the digest that an owner publishes."""

from __future__ import annotations

import msgspec
from testtools import TestCase

from orchidrail.admission.digest import (
    LoadDigest,
    ReceivedDigest,
    RefusingGate,
    decode_digest,
    encode_digest,
    find_gate,
)
from orchidrail.admission.recent_jobs import FILTER_BYTES, RecentJobs
from orchidrail.admission.service_load import SizeClass
from orchidrail.admission.tests.test_forecast import (
    CORE,
    make_queue,
    make_spec,
)
from orchidrail.types import Epoch, JobId, QueueName

JOB = JobId('0123456789abcdef')
EMPTY_FILTER = bytes(FILTER_BYTES)


def make_gate(
    start: float = 20, size_class: SizeClass = SizeClass.SMALL
) -> RefusingGate:
    """Return a gate of the queue of `make_queue` on 1,000 cores."""
    return RefusingGate(
        make_queue().name, int(size_class), 2, start, 3, 1, 1000 * CORE
    )


def make_digest(
    *gates: RefusingGate, epoch: int = 1, known: bytes = EMPTY_FILTER
) -> LoadDigest:
    """Return a digest as another instance receives it."""
    raw = encode_digest(Epoch(epoch), list(gates), known)
    digest = decode_digest(raw)
    assert digest is not None
    return digest


class DigestTest(TestCase):
    def test_nothing_is_published_while_nothing_is_refused(self) -> None:
        self.assertEqual(b'', encode_digest(Epoch(1), [], EMPTY_FILTER))
        self.assertIsNone(decode_digest(b''))

    def test_another_version_is_ignored(self) -> None:
        raw = msgspec.msgpack.encode([9, 'unknown', 'fields'])
        self.assertIsNone(decode_digest(raw))

    def test_unreadable_bytes_are_an_error(self) -> None:
        self.assertRaises(
            msgspec.MsgspecError,
            decode_digest,
            msgspec.msgpack.encode([1, 'x']),
        )

    def test_its_size_is_bounded(self) -> None:
        gates = [
            msgspec.structs.replace(
                make_gate(), queue=QueueName(f'queue-{number}')
            )
            for number in range(100)
        ]
        raw = encode_digest(Epoch(1), gates, EMPTY_FILTER)
        self.assertLess(len(raw), 1500)

    def test_a_job_of_no_use_is_refused(self) -> None:
        """It is of use until 8 s, and would start after 20 s."""
        found = find_gate(
            make_digest(make_gate()), JOB, make_queue(), make_spec(1)
        )
        self.assertIsNotNone(found)

    def test_a_job_that_may_be_of_use_is_not(self) -> None:
        found = find_gate(
            make_digest(make_gate(start=7)), JOB, make_queue(), make_spec(1)
        )
        self.assertIsNone(found)

    def test_other_sizes_are_not(self) -> None:
        digest = make_digest(make_gate(size_class=SizeClass.LARGE))
        self.assertIsNone(find_gate(digest, JOB, make_queue(), make_spec(1)))
        self.assertIsNotNone(
            find_gate(digest, JOB, make_queue(), make_spec(500, gang=True))
        )

    def test_a_job_that_the_owner_may_know_is_not(self) -> None:
        recent = RecentJobs()
        recent.add(JOB, 1)
        digest = make_digest(make_gate(), known=recent.to_bytes(2))
        self.assertIsNone(find_gate(digest, JOB, make_queue(), make_spec(1)))

    def test_a_filter_of_another_size_refuses_nothing(self) -> None:
        digest = make_digest(make_gate(), known=b'short')
        self.assertIsNone(find_gate(digest, JOB, make_queue(), make_spec(1)))

    def test_it_covers_requests_that_came_before_it(self) -> None:
        received = ReceivedDigest(make_digest(make_gate()), requested_at=5)
        self.assertTrue(received.covers(4.9, Epoch(1)))
        self.assertFalse(received.covers(5.1, Epoch(1)))
        self.assertFalse(received.covers(4.9, Epoch(2)))


class RecentJobsTest(TestCase):
    def test_ids_are_kept_for_twenty_seconds(self) -> None:
        recent = RecentJobs()
        recent.add(JOB, 100)
        self.assertNotEqual(EMPTY_FILTER, recent.to_bytes(119))
        self.assertNotEqual(EMPTY_FILTER, recent.to_bytes(121))
        self.assertEqual(EMPTY_FILTER, recent.to_bytes(165))

    def test_an_id_added_late_in_a_generation_is_kept_as_long(self) -> None:
        recent = RecentJobs()
        recent.add(JobId('a'), 100)
        recent.add(JOB, 119)
        self.assertNotEqual(EMPTY_FILTER, recent.to_bytes(125))
        self.assertNotEqual(EMPTY_FILTER, recent.to_bytes(138))
