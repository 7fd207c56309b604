"""Every message that crosses a process boundary, as typed records.

``schema.capnp`` is generated from this module by ``tools/generate_schema.py``
and committed. Fields may be appended to a message, never moved or removed.
Durations are seconds; they count from when the receiver got the message.
"""

from __future__ import annotations

import msgspec

from orchidrail.resources import NOTHING, Resources
from orchidrail.types import (
    Address,
    BundleVersion,
    ClassName,
    Epoch,
    InstanceId,
    JobId,
    JobState,
    Offset,
    RefusalCode,
    RequestKey,
    SchedulerId,
    TaskAction,
    TaskId,
    TaskState,
    TenantId,
    Verdict,
    WorkCode,
    WorkerId,
    WorkerName,
    ZoneId,
)


class Message(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Base of all messages and of the records inside them."""


class TaskSpec(Message, frozen=True):
    """What a worker needs to run one attempt of a task.

    `key` is the task's identity at the worker: a key that the worker has
    seen is answered with its record and never started again.
    """

    key: TaskId
    tenant: TenantId
    class_name: ClassName
    size: Resources = NOTHING
    payload: str = ''
    #: How long the worker may run the task on without hearing of it.
    ttl: float = 0
    job: JobId = JobId('')
    generation: int = 0
    checkpoint: str = ''
    marker: bool = False
    note: str = ''


class TaskReport(Message, frozen=True):
    """What a worker knows of one task."""

    key: TaskId
    state: TaskState
    answer: str = ''
    note: str = ''
    checkpoint: str = ''
    job: JobId = JobId('')
    generation: int = 0
    size: Resources = NOTHING
    used: Resources = NOTHING
    tenant: TenantId = TenantId('')
    class_name: ClassName = ClassName('')


class Refusal(Message, frozen=True):
    """A refusal: nothing was done for the message that it answers."""

    code: RefusalCode
    detail: str = ''
    verdict: Verdict = Verdict.NOT_RUN
    retry_after: float = 0


class Ack(Message, frozen=True):
    """The message was carried out; there is nothing to tell."""


class Hello(Message, frozen=True):
    """First message on a connection between daemons."""

    name: str
    proof: str


class AcquireLease(Message, frozen=True):
    """Ask a worker for its lease."""

    holder: SchedulerId
    ttl: float


class LeaseGranted(Message, frozen=True):
    """The worker's lease is held; `tasks` is all that the worker knows."""

    epoch: Epoch
    sequence: int
    boot: str
    capacity: Resources
    tasks: list[TaskReport]


class RenewLease(Message, frozen=True):
    """Renew a lease and carry out a batch of small changes under it.

    The own leases of all running tasks of jobs are renewed with it: the
    holder has adopted each of them.
    """

    holder: SchedulerId
    epoch: Epoch
    sequence: int
    ttl: float
    #: Tasks whose state is asked for; an unknown one will never start.
    settle: list[TaskId] = []
    #: Ended tasks and markers that the worker may forget.
    forget: list[TaskId] = []
    #: Running tasks to checkpoint and stop.
    stop: list[TaskId] = []


class LeaseRenewed(Message, frozen=True):
    """The lease runs on; `tasks` holds what was asked for or has ended."""

    sequence: int
    tasks: list[TaskReport]
    used: Resources = NOTHING
    leaving: bool = False


class ReleaseLease(Message, frozen=True):
    """Give a worker's lease back before it lapses."""

    holder: SchedulerId
    epoch: Epoch


class StartTask(Message, frozen=True):
    """Start a task under a lease; `wait` asks for its answer, too."""

    task: TaskSpec
    epoch: Epoch
    sequence: int
    wait: bool = False


class StartTasks(Message, frozen=True):
    """Start a batch of tasks under one lease, in order."""

    tasks: list[TaskSpec]
    epoch: Epoch
    sequence: int


class TaskReports(Message, frozen=True):
    """One report for each task that was asked about, in that order."""

    tasks: list[TaskReport]
    #: The worker's start that answers.
    boot: str = ''


class ControlTask(Message, frozen=True):
    """Stop, checkpoint or throttle a running task under a lease."""

    key: TaskId
    epoch: Epoch
    action: TaskAction


class SettleTasks(Message, frozen=True):
    """Ask, without a lease, what became of tasks.

    A task that the worker doesn't know will never be started by it. A worker
    that was restarted since `boot` refuses.
    """

    keys: list[TaskId]
    boot: str


class KeepMarkers(Message, frozen=True):
    """Put markers without a lease, as copies of claims made elsewhere.

    Refused for generations that were fenced off, and by a worker that was
    restarted since `boot`.
    """

    tasks: list[TaskSpec]
    boot: str


class FenceJob(Message, frozen=True):
    """Refuse a job's older generations; list what is known of the job.

    A worker that was restarted since `boot` refuses, unless `boot` is empty.
    """

    job: JobId
    generation: int
    boot: str = ''


class GrantRequest(Message, frozen=True):
    """A gateway asks for room for one short request."""

    tenant: TenantId
    class_name: ClassName
    size: Resources
    #: How long the caller is ready to wait for a place.
    patience: float
    key: RequestKey = RequestKey('')
    #: Workers that this request must avoid, having failed there.
    avoid: list[WorkerId] = []


class Grant(Message, frozen=True):
    """Room for one short request on one worker, for a short while."""

    task: TaskId
    worker: WorkerId
    boot: str
    address: Address
    epoch: Epoch
    sequence: int
    validity: float


class TasksEnded(Message, frozen=True):
    """Ends of tasks, as their workers told the sender."""

    tasks: list[TaskReport]


class KeyRequest(Message, frozen=True):
    """A gateway asks for a key that names a worker as its witness."""

    tenant: TenantId
    class_name: ClassName


class KeyIssued(Message, frozen=True):
    """A key for one request that may not be repeated."""

    key: RequestKey


class JobSpec(Message, frozen=True):
    """A job as its caller submitted it."""

    key: JobId
    tenant: TenantId
    class_name: ClassName
    zone: ZoneId
    witness: WorkerId
    witness_boot: str
    backup: WorkerId
    backup_boot: str
    count: int = 1
    size: Resources = NOTHING
    payload: str = ''
    submitted_at: float = 0


class JobStatus(Message, frozen=True):
    """What is known of a job."""

    key: JobId
    state: JobState
    running: int = 0
    finished: int = 0
    failed: int = 0
    count: int = 0
    detail: str = ''
    owner: SchedulerId = SchedulerId('')
    answers: list[str] = []


class SubmitJob(Message, frozen=True):
    """Accept a job for good; answered once its record is in the log."""

    job: JobSpec
    patience: float


class QueryJob(Message, frozen=True):
    """Ask for the status of a tenant's job."""

    job: JobId
    tenant: TenantId


class CancelJob(Message, frozen=True):
    """Cancel a job."""

    job: JobId
    tenant: TenantId


class ReservePlace(Message, frozen=True):
    """Ask another holder to keep room for one task for a short while."""

    task: TaskId
    tenant: TenantId
    class_name: ClassName
    size: Resources
    validity: float


class PlaceReserved(Message, frozen=True):
    """Room is kept on one worker; `token` is good for one start."""

    token: str
    worker: WorkerId
    address: Address
    rack: str
    boot: str


class StartReserved(Message, frozen=True):
    """Start a task in the room that was kept under a token."""

    task: TaskSpec
    token: str


class DropReservation(Message, frozen=True):
    """Give back room that was kept, if its task wasn't started."""

    token: str


class RelayTasks(Message, frozen=True):
    """Ask the holder of a worker to settle, stop or forget tasks.

    Refused if the worker was restarted since `boot`.
    """

    worker: WorkerId
    boot: str
    settle: list[TaskId] = []
    forget: list[TaskId] = []
    stop: list[TaskId] = []


class MemberState(Message, frozen=True):
    """What one scheduler tells of itself."""

    name: SchedulerId
    address: Address
    zone: ZoneId
    incarnation: int
    beat: int
    leaving: bool = False
    bundle: BundleVersion = BundleVersion(0)
    queued: int = 0
    held: int = 0
    #: The largest room on any one worker held.
    largest_free: Resources = NOTHING
    #: The largest of its workers that take new work, however full.
    largest_open: Resources = NOTHING


class ZoneDigest(Message, frozen=True):
    """One line about a whole zone, of constant size."""

    zone: ZoneId
    beat: float
    workers: int
    queued: int
    bundle: BundleVersion
    contact: Address


class Gossip(Message, frozen=True):
    """A periodic exchange between two schedulers; it steers only."""

    members: list[MemberState]
    digests: list[ZoneDigest] = []
    #: Workers known to be leaving.
    leaving: list[WorkerId] = []


class FetchBundle(Message, frozen=True):
    """Ask a peer for its bundle if it is newer."""

    newer_than: BundleVersion


class BundleSnapshot(Message, frozen=True):
    """A bundle in force with the signatures that allow it (JSON)."""

    version: BundleVersion
    offset: Offset
    document: str


class QueryStatus(Message, frozen=True):
    """Ask a daemon for its status."""


class Status(Message, frozen=True):
    """Status of a daemon (JSON)."""

    document: str


class WorkerHolder(Message, frozen=True):
    """Which scheduler of the zone holds a worker, as far as is known."""

    worker: WorkerId
    holder: SchedulerId
    address: Address
    #: The worker's own address, empty if it isn't listed.
    worker_address: Address = Address('')


class QueryHolder(Message, frozen=True):
    """Ask which scheduler holds a worker."""

    worker: WorkerId


class DrainWorker(Message, frozen=True):
    """Give a worker no new work from now on."""

    worker: WorkerId


class PeerState(Message, frozen=True):
    """What a process of the system tells of itself, asked or answering.

    `owner_address` is empty while the sender knows of no owner of the shard.
    """

    name: InstanceId
    address: Address
    zone: str
    incarnation: str
    #: Processor of its machine, in cores.
    speed: float = 1
    #: Whether its own calls to the store are answered.
    store_answers: bool = False
    #: Epoch of the shard's owner as far as the sender knows.
    epoch: Epoch = Epoch(0)
    owner: InstanceId = InstanceId('')
    owner_address: Address = Address('')
    #: Whether the sender is that owner, at work.
    owning: bool = False
    #: Waiting jobs by queue, told by the owner only.
    queues: list[str] = []
    waiting: list[int] = []
    #: Version of the configuration that it has in force.
    config_version: int = 0


class SubmitWork(Message, frozen=True):
    """Hand a job to the shard's owner; both records are in MessagePack.

    `patience` is how many seconds its caller waits for the answer; `tenant` is
    empty where callers need no key.
    """

    job_id: JobId
    queue: bytes
    spec: bytes
    patience: float = 0
    tenant: bytes = b''


class QueryWork(Message, frozen=True):
    """Ask the shard's owner for a job's state.

    `tenant` names whose job it is to be; empty for anybody's.
    """

    job_id: JobId
    tenant: TenantId = TenantId('')


class CancelWork(Message, frozen=True):
    """Cancel a job at the shard's owner; `tenant` as in `QueryWork`."""

    job_id: JobId
    tenant: TenantId = TenantId('')


class WorkAnswer(Message, frozen=True):
    """The owner's word on a job; `phase` is a number of `JobPhase`.

    `cause` is a word of `FailureCause`, empty unless the job was given up.
    """

    code: WorkCode
    phase: int = 0
    retry_after: float = 0
    cause: str = ''


class RelayCall(Message, frozen=True):
    """Make this call to the store for a process that can't reach it."""

    method: str
    target: str
    body: bytes
    timeout: float
    waits: float = 0


class RelayAnswer(Message, frozen=True):
    """The store's answer to a relayed call."""

    status: int
    body: bytes
    reached: bool


class AskAdvice(Message, frozen=True):
    """Ask the advice service which workers may run a step."""

    step_key: str
    workers: list[WorkerName]
    timeout: float


class AdviceGiven(Message, frozen=True):
    """Tickets of the workers that may; `known` is false without an answer."""

    known: bool
    workers: list[WorkerName] = []
    tickets: list[str] = []
    valid: float = 0


class TakeOver(Message, frozen=True):
    """Ask a peer to take the shard over from the owner of `epoch`."""

    epoch: Epoch


#: Messages that may stand alone on the wire, in the order of their ordinals.
ENVELOPE_TYPES: tuple[type[Message], ...] = (
    Refusal,
    Ack,
    Hello,
    AcquireLease,
    LeaseGranted,
    RenewLease,
    LeaseRenewed,
    ReleaseLease,
    StartTask,
    StartTasks,
    TaskReports,
    TaskReport,
    ControlTask,
    SettleTasks,
    KeepMarkers,
    FenceJob,
    GrantRequest,
    Grant,
    TasksEnded,
    KeyRequest,
    KeyIssued,
    SubmitJob,
    JobStatus,
    QueryJob,
    CancelJob,
    ReservePlace,
    PlaceReserved,
    StartReserved,
    DropReservation,
    RelayTasks,
    Gossip,
    FetchBundle,
    BundleSnapshot,
    QueryStatus,
    Status,
    WorkerHolder,
    QueryHolder,
    DrainWorker,
    PeerState,
    SubmitWork,
    QueryWork,
    CancelWork,
    WorkAnswer,
    RelayCall,
    RelayAnswer,
    AskAdvice,
    AdviceGiven,
    TakeOver,
)
