"""Records of jobs in the journal of a shard, and their encoding."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Sequence
from enum import Enum, IntEnum
from typing import NamedTuple

import msgspec

from orchidrail.types import (
    FIRST_BLOCK,
    Address,
    BlockNumber,
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

#: Key of the record of the shard's owner. It sorts after all others, so that it
#: can be listed alone, starting after `BEFORE_OWNER_KEY`.
OWNER_KEY = 'z-owner'
BEFORE_OWNER_KEY = 'z'
#: Key of the highest fencing token in use, if above the epoch of the owner: the
#: next owner must use a higher one.
FENCE_KEY = 'f'
_JOB_PREFIX = 'j'
_PROGRESS_PREFIX = 'p'
_WORKER_PREFIX = 'w'
_BLOCK_SEPARATOR = '.'


class JobPhase(IntEnum):
    """State of a job; the values are stored in the journal."""

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4


ENDED_PHASES = frozenset(
    (JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED)
)


class TaskPhase(IntEnum):
    """State of a task; the values are stored in the journal."""

    WAITING = 0
    #: Assigned to a worker; it may be starting, running or just ended.
    PLACED = 1
    DONE = 2


class FailureCause(Enum):
    """Why a job failed; the values are stored in the journal."""

    NONE = ''
    #: A task reached the maximum number of attempts of its queue.
    ATTEMPTS = 'attempts'
    #: A task crashed the workers that ran it.
    CRASHED_WORKERS = 'crashedWorkers'
    #: The store does not accept its progress, so its tasks might run again.
    NOT_STORABLE = 'notStorable'


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """The owner of the shard; `epoch` fences off orders of previous owners."""

    holder: InstanceId
    incarnation: str
    address: Address
    epoch: Epoch


class JobRecord(msgspec.Struct, frozen=True, array_like=True, tag='open'):
    """An accepted job; `accepted_at` is wall clock, seconds since 1970."""

    queue: QueueSettings
    spec: JobSpec
    accepted_at: Seconds
    #: Its tenant with the share and limit at that time; the anonymous tenant
    #: in journals of versions without tenants.
    tenant: Tenant = ANONYMOUS_TENANT
    #: Whether it was submitted over the fair share of its tenant.
    over_share: bool = False


class LingeringRun(NamedTuple):
    """A run that may still have been stopping when its job ended.

    Parameters
    ----------
    task : str
    run : int
    size : Size
        What it counts against its tenant's limit.
    worker, born :
        Worker incarnation that runs it, as in `TaskRow`.
    """

    task: TaskKey
    run: RunNumber
    size: Size
    worker: WorkerName
    born: int | None = None


class EndedRecord(msgspec.Struct, frozen=True, array_like=True, tag='ended'):
    """A job that has ended; `ended_at` is wall clock, seconds since 1970."""

    phase: JobPhase
    ended_at: Seconds
    queue: str = ''
    cause: FailureCause = FailureCause.NONE
    tenant: Tenant = ANONYMOUS_TENANT
    #: Its runs that may still have been stopping at its end.
    lingering_runs: tuple[LingeringRun, ...] = ()


class TaskRow(msgspec.Struct, array_like=True):
    """A task that has been placed at least once."""

    round_number: int
    step: int
    index: int
    phase: TaskPhase
    run: RunNumber = RunNumber(0)
    worker: WorkerName = WorkerName('')
    failures: int = 0
    checkpoint: str = ''
    #: Workers that crashed while running it, and the resulting suspicion.
    crashes: int = 0
    suspicion: int = 0
    #: Incarnation of the worker that runs it; None if the worker does not
    #: report it, and in journals of older versions.
    born: int | None = None
    #: Whether a worker has reported that it began; False in journals of older
    #: versions.
    begun: bool = False


class DoneRow(msgspec.Struct, array_like=True):
    """A task that is done; it is read as a `TaskRow` with defaults."""

    round_number: int
    step: int
    index: int
    phase: TaskPhase
    run: RunNumber


class Progress(msgspec.Struct, array_like=True):
    """Progress of a job, or one block of it: its tasks placed before."""

    rows: list[TaskRow]


class StoredJob(NamedTuple):
    """A job as read from the journal, with the blocks of its progress."""

    job_id: JobId
    record: JobRecord | EndedRecord
    progress_by_block: dict[BlockNumber, Progress]


encode = msgspec.msgpack.Encoder().encode
decode_fence = msgspec.msgpack.Decoder(Epoch).decode
decode_owner = msgspec.msgpack.Decoder(OwnerRecord).decode
decode_job = msgspec.msgpack.Decoder(JobRecord | EndedRecord).decode
decode_progress = msgspec.msgpack.Decoder(Progress).decode
decode_tenant = msgspec.msgpack.Decoder(Tenant).decode
decode_spec = msgspec.msgpack.Decoder(JobSpec).decode


def encode_progress(rows: Sequence[TaskRow | DoneRow]) -> bytes:
    """Encode a block of a job's progress, to be decoded as `Progress`."""
    return encode((rows,))


_NO_PROGRESS = encode_progress(())


def job_key(job_id: JobId) -> str:
    """Return the journal key of a job.

    Examples
    --------
    >>> job_key(JobId('5c0e'))
    'j5c0e'
    """
    return f'{_JOB_PREFIX}{job_id}'


def progress_key(job_id: JobId, block: BlockNumber = FIRST_BLOCK) -> str:
    """Return the journal key of a block of a job's progress.

    The first block has the key under which versions without blocks store all.

    Examples
    --------
    >>> progress_key(JobId('5c0e')), progress_key(JobId('5c0e'), BlockNumber(2))
    ('p5c0e', 'p5c0e.2')
    """
    suffix = f'{_BLOCK_SEPARATOR}{block}' if block else ''
    return f'{_PROGRESS_PREFIX}{job_id}{suffix}'


def find_job_id(key: str) -> JobId | None:
    """Return the job that a journal key belongs to, None if to no job.

    Examples
    --------
    >>> find_job_id('p5c0e.2'), find_job_id('j5c0e'), find_job_id('wj1')
    ('5c0e', '5c0e', None)
    """
    if key[:1] not in {_JOB_PREFIX, _PROGRESS_PREFIX}:
        return None
    return JobId(key[1:].partition(_BLOCK_SEPARATOR)[0])


def worker_key(name: WorkerName) -> str:
    """Return the journal key of a worker's entry."""
    return f'{_WORKER_PREFIX}{name}'


def worker_values(value_by_key: dict[str, bytes]) -> list[bytes]:
    """Return the encoded entries of the workers in a journal."""
    return [
        raw
        for key, raw in value_by_key.items()
        if key.startswith(_WORKER_PREFIX)
    ]


def orphaned_progress(
    value_by_key: dict[str, bytes],
    open_jobs: Collection[JobId],
) -> list[str]:
    """Return the keys of progress whose job is not open.

    It is left if an owner fails after it has written the end of a job and
    before it has removed the job's progress. A later job of the same id must
    not start with it.
    """
    return [
        key
        for key in value_by_key
        if key.startswith(_PROGRESS_PREFIX)
        and find_job_id(key) not in open_jobs
    ]


def read_records(
    value_by_key: dict[str, bytes],
) -> dict[JobId, JobRecord | EndedRecord]:
    """Decode the records of all jobs of a journal, without their progress."""
    return {
        JobId(key[1:]): decode_job(raw)
        for key, raw in value_by_key.items()
        if key.startswith(_JOB_PREFIX)
    }


def read_jobs(value_by_key: dict[str, bytes]) -> list[StoredJob]:
    """Decode all jobs of a journal with their progress."""
    progress_by_job: defaultdict[JobId, dict[BlockNumber, Progress]] = (
        defaultdict(dict)
    )
    for key, raw in value_by_key.items():
        if key.startswith(_PROGRESS_PREFIX):
            job_id, _, block = key[1:].partition(_BLOCK_SEPARATOR)
            blocks = progress_by_job[JobId(job_id)]
            blocks[BlockNumber(int(block or 0))] = decode_progress(raw)
    return [
        StoredJob(job_id, record, progress_by_job.get(job_id, {}))
        for job_id, record in read_records(value_by_key).items()
    ]


def has_progress(job_id: JobId, value_by_key: dict[str, bytes]) -> bool:
    """Whether a task of a job has ever been placed, by the journal."""
    raw = value_by_key.get(progress_key(job_id))
    return raw is not None and raw != _NO_PROGRESS
