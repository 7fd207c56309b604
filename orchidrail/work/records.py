"""What is kept of a job in the shard's journal, and its encoding."""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple

import msgspec

from orchidrail.types import (
    Address,
    Epoch,
    InstanceId,
    JobId,
    RunNumber,
    Seconds,
    TaskKey,
    WorkerName,
)
from orchidrail.work.model import JobSpec, QueueSettings
from orchidrail.work.size import Size
from orchidrail.work.tenant import ANONYMOUS_TENANT, Tenant

#: Key of the record that names the shard's owner. It sorts behind all others,
#: so that it can be listed alone, after `BEFORE_OWNER_KEY`.
OWNER_KEY = 'z-owner'
BEFORE_OWNER_KEY = 'z'
#: Key of the highest fencing token in use, where that is above the owner's
#: epoch: the next owner's must be higher still.
FENCE_KEY = 'f'
_JOB_PREFIX = 'j'
_PROGRESS_PREFIX = 'p'
_WORKER_PREFIX = 'w'


class JobPhase(IntEnum):
    """State of a job; the numbers are those of the journal."""

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4


ENDED_PHASES = frozenset(
    (JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED)
)


class TaskPhase(IntEnum):
    """State of a task; the numbers are those of the journal."""

    WAITING = 0
    #: Given to a worker; it may be on its way, running or just over.
    PLACED = 1
    DONE = 2


class FailureCause(Enum):
    """Why a job was given up; the words are those of the journal."""

    NONE = ''
    #: A task failed as often as its queue allows.
    ATTEMPTS = 'attempts'
    #: A task ended the workers that started it.
    CRASHED_WORKERS = 'crashedWorkers'


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """Who owns the shard; `epoch` fences all orders of earlier owners."""

    holder: InstanceId
    incarnation: str
    address: Address
    epoch: Epoch


class JobRecord(msgspec.Struct, frozen=True, array_like=True, tag='open'):
    """An accepted job; `accepted_at` is wall clock, seconds."""

    queue: QueueSettings
    spec: JobSpec
    accepted_at: Seconds
    #: For whom it is run, as its share and limit were at that time; nobody in
    #: journals of versions without tenants.
    tenant: Tenant = ANONYMOUS_TENANT
    #: Whether it is beyond what its tenant is owed.
    over_share: bool = False


class LingeringRun(NamedTuple):
    """A run that was being stopped when its job ended.

    Parameters
    ----------
    task : str
    run : int
    size : Size
        What it takes of its tenant's limit.
    worker, born :
        Where, as in `TaskRow`.
    """

    task: TaskKey
    run: RunNumber
    size: Size
    worker: WorkerName
    born: int | None = None


class EndedRecord(msgspec.Struct, frozen=True, array_like=True, tag='ended'):
    """A job that has ended; `ended_at` is wall clock, seconds."""

    phase: JobPhase
    ended_at: Seconds
    queue: str = ''
    cause: FailureCause = FailureCause.NONE
    tenant: Tenant = ANONYMOUS_TENANT
    #: Runs of it that may still have been there at its end.
    lingering_runs: tuple[LingeringRun, ...] = ()


class TaskRow(msgspec.Struct, array_like=True):
    """A task that is no longer in its first state."""

    round_number: int
    step: int
    index: int
    phase: TaskPhase
    run: RunNumber = RunNumber(0)
    worker: WorkerName = WorkerName('')
    failures: int = 0
    checkpoint: str = ''
    #: Workers that ended under it, and how far that speaks against it.
    crashes: int = 0
    suspicion: int = 0
    #: Which life of the worker has it; None where the worker doesn't tell, and
    #: in journals of older versions.
    born: int | None = None


class Progress(msgspec.Struct, array_like=True):
    """How far a job has come: its tasks that have left their first state."""

    rows: list[TaskRow]


class StoredJob(NamedTuple):
    """A job as read from the journal."""

    job_id: JobId
    record: JobRecord | EndedRecord
    progress: Progress


encode = msgspec.msgpack.Encoder().encode
decode_fence = msgspec.msgpack.Decoder(Epoch).decode
decode_owner = msgspec.msgpack.Decoder(OwnerRecord).decode
decode_job = msgspec.msgpack.Decoder(JobRecord | EndedRecord).decode
decode_progress = msgspec.msgpack.Decoder(Progress).decode
decode_tenant = msgspec.msgpack.Decoder(Tenant).decode
decode_spec = msgspec.msgpack.Decoder(JobSpec).decode


def job_key(job_id: JobId) -> str:
    """Return the journal's key of a job.

    Examples
    --------
    >>> job_key(JobId('5c0e'))
    'j5c0e'
    """
    return f'{_JOB_PREFIX}{job_id}'


def progress_key(job_id: JobId) -> str:
    """Return the journal's key of a job's progress."""
    return f'{_PROGRESS_PREFIX}{job_id}'


def worker_key(name: WorkerName) -> str:
    """Return the journal's key of a worker that the owner deals with."""
    return f'{_WORKER_PREFIX}{name}'


def worker_values(value_by_key: dict[str, bytes]) -> list[bytes]:
    """Return the entries of the workers that a journal names, encoded."""
    return [
        raw
        for key, raw in value_by_key.items()
        if key.startswith(_WORKER_PREFIX)
    ]


def read_jobs(value_by_key: dict[str, bytes]) -> list[StoredJob]:
    """Decode all jobs of a journal."""
    return [
        read_job(JobId(key[1:]), value_by_key)
        for key in value_by_key
        if key.startswith(_JOB_PREFIX)
    ]


def read_job(job_id: JobId, value_by_key: dict[str, bytes]) -> StoredJob:
    """Decode one job of a journal.

    Raises
    ------
    KeyError
        If the journal has no such job.
    """
    record = decode_job(value_by_key[job_key(job_id)])
    kept = value_by_key.get(progress_key(job_id))
    progress = Progress([]) if kept is None else decode_progress(kept)
    return StoredJob(job_id, record, progress)
