"""Records of a zone's stream of jobs."""

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
    #: The witnesses of that generation, if they aren't those first chosen.
    witness: WorkerId = WorkerId('')
    witness_boot: str = ''
    backup: WorkerId = WorkerId('')
    backup_boot: str = ''
    cancelled: bool = False
    #: The witnesses of earlier generations, the newest first.
    former: list[WitnessPair] = []


class JobMoved(_Record, frozen=True, tag='moved'):
    """A job has new witnesses, an old one being gone or leaving.

    Takes effect only as the next generation; the log's order decides between
    several.
    """

    job: JobId
    generation: int
    witness: WorkerId
    witness_boot: str
    backup: WorkerId
    backup_boot: str


class JobEnded(_Record, frozen=True, tag='ended'):
    """A job's final state."""

    job: JobId
    state: JobState
    detail: str = ''
    answers: list[str] = []
    #: It was refused to its caller before it was kept: none of it ever ran.
    refused: bool = False


class JobCancelled(_Record, frozen=True, tag='cancelled'):
    """The caller wants the job to end."""

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
        If it holds none.
    """
    return msgspec.json.decode(payload, type=JobRecord)
