"""Records of a zone's job stream."""

from __future__ import annotations

import msgspec

from orchidrail.jobs.witnesses import WitnessPair
from orchidrail.types import JobId, JobState, WorkerId
from orchidrail.wire.messages import JobSpec


class _Record(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename='camel',
    tag_field='record',
):
    """Base of the records."""


class JobAccepted(_Record, frozen=True, tag='accepted'):
    """A job was accepted; also appended again before retention drops it."""

    job: JobSpec
    generation: int = 0
    #: Witnesses of that generation, if they differ from those in the job spec.
    witness: WorkerId = WorkerId('')
    witness_boot: str = ''
    backup: WorkerId = WorkerId('')
    backup_boot: str = ''
    cancelled: bool = False
    #: Witnesses of earlier generations, the newest first.
    former: list[WitnessPair] = []


class JobMoved(_Record, frozen=True, tag='moved'):
    """A job has new witnesses, since an old one is gone or leaving.

    Takes effect only if it is the next generation; of several such records the
    first in the log wins.
    """

    job: JobId
    generation: int
    witness: WorkerId
    witness_boot: str
    backup: WorkerId
    backup_boot: str


class JobEnded(_Record, frozen=True, tag='ended'):
    """Final state of a job."""

    job: JobId
    state: JobState
    detail: str = ''
    answers: list[str] = []
    #: The caller was refused before the job was stored: none of it ever ran.
    refused: bool = False


class JobCancelled(_Record, frozen=True, tag='cancelled'):
    """The caller has requested cancellation."""

    job: JobId


JobRecord = JobAccepted | JobMoved | JobEnded | JobCancelled


def encode_record(record: JobRecord) -> str:
    """Return a record as JSON."""
    return msgspec.json.encode(record).decode()


def decode_record(payload: str) -> JobRecord:
    """Return the record in `payload`.

    Raises
    ------
    msgspec.DecodeError
        If `payload` is not a valid record.
    """
    return msgspec.json.decode(payload, type=JobRecord)
