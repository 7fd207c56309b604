"""Digest of an owner's load, by which other instances refuse jobs.

Answers an owner that is too busy to answer while it refuses most jobs anyway.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from orchidrail.admission.recent_jobs import may_contain
from orchidrail.admission.service_load import size_class_of
from orchidrail.types import Epoch, JobId, QueueName, Seconds
from orchidrail.work.model import JobSpec, QueueSettings, concurrent_size
from orchidrail.work.objectives import USELESS_AFTER, critical_path_s

_VERSION = 1
#: Maximum number of queues and size classes in a digest, the most refused
#: first; jobs of others are sent to the owner.
_MAX_GATES = 16


class RefusingGate(msgspec.Struct, frozen=True, array_like=True):
    """A queue and size class of which jobs are refused.

    Parameters
    ----------
    for_s : float
        Seconds since its first refusal.
    start : float
        Seconds until a new job would start at the earliest.
    returning_takes : float
        Seconds that the refused work would take.
    longest : float
        Longest likely duration of a task, seconds; 0 if not known.
    capacity : int
        Millicores by which its size classes are told apart.
    """

    queue: QueueName
    size_class: int
    for_s: Seconds
    start: Seconds
    returning_takes: Seconds
    longest: Seconds
    capacity: int


class LoadDigest(msgspec.Struct, frozen=True, array_like=True):
    """What an owner refuses.

    Parameters
    ----------
    known_jobs : bytes
        Filter of the recently accepted jobs.
    """

    version: int
    epoch: Epoch
    gates: tuple[RefusingGate, ...]
    known_jobs: bytes


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(LoadDigest).decode


def encode_digest(
    epoch: Epoch,
    gates: list[RefusingGate],
    known_jobs: bytes,
) -> bytes:
    """Return the encoded digest, empty if nothing is refused."""
    if not gates:
        return b''
    named = sorted(gates, key=lambda gate: -gate.returning_takes)
    return _encode(
        LoadDigest(_VERSION, epoch, tuple(named[:_MAX_GATES]), known_jobs)
    )


def decode_digest(raw: bytes) -> LoadDigest | None:
    """Return a digest, None if there is none of a version known here.

    Raises
    ------
    msgspec.MsgspecError
        The bytes are no digest.
    """
    if not raw or msgspec.msgpack.decode(raw)[0] != _VERSION:
        return None
    return _decode(raw)


class ReceivedDigest(NamedTuple):
    """A digest and when its heartbeat arrived.

    Parameters
    ----------
    digest : LoadDigest
    requested_at : float
        When the ping that it answers was sent, monotonic seconds; the digest
        was built after that.
    """

    digest: LoadDigest
    requested_at: Seconds

    def covers(self, arrived_at: Seconds, epoch: Epoch) -> bool:
        """Whether it is the current owner's and newer than a request."""
        return self.digest.epoch == epoch and self.requested_at >= arrived_at


def find_gate(
    digest: LoadDigest,
    job_id: JobId,
    queue: QueueSettings,
    spec: JobSpec,
) -> RefusingGate | None:
    """Return the gate that certainly refuses a job, None if none does.

    A job that the owner may know is never refused, and neither is one whose
    longest likely duration leaves its earliest start of use.
    """
    if may_contain(digest.known_jobs, job_id):
        return None
    for gate in digest.gates:
        if gate.queue != queue.name or not _has_size(gate, spec):
            continue
        if gate.start > remaining_use(gate, queue, spec):
            return gate
    return None


def remaining_use(
    gate: RefusingGate, queue: QueueSettings, spec: JobSpec
) -> Seconds:
    """Return the seconds for which a start may be of use to a caller."""
    chain = critical_path_s(spec, queue)
    chain = max(chain, gate.longest * len(spec.steps))
    return USELESS_AFTER * (queue.stretch * chain + queue.target) - chain


def _has_size(gate: RefusingGate, spec: JobSpec) -> bool:
    need = max(
        concurrent_size(step).millicores if step.charged.millicores else 0
        for step in spec.steps
        if not step.after
    )
    return size_class_of(need, gate.capacity) == gate.size_class
