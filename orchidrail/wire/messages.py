"""All messages between processes, as typed records.

``schema.capnp`` is generated from this module by ``tools/generate_schema.py``
and committed. Fields may be appended to a message, never moved or removed.
Durations are in seconds and count from the receipt of the message.
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
    """Specification of one attempt of a task, as sent to a worker.

    `key` identifies the task at the worker: for a known key, the worker
    returns its record and never starts the task again.
    """

    key: TaskId
    tenant: TenantId
    class_name: ClassName
    size: Resources = NOTHING
    payload: str = ''
    #: How long the worker may run the task without a lease renewal.
    ttl: float = 0
    job: JobId = JobId('')
    generation: int = 0
    checkpoint: str = ''
    marker: bool = False
    note: str = ''


class TaskReport(Message, frozen=True):
    """State of one task, as known to its worker."""

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
    """The message was rejected without any effect."""

    code: RefusalCode
    detail: str = ''
    verdict: Verdict = Verdict.NOT_RUN
    retry_after: float = 0


class Ack(Message, frozen=True):
    """The message was carried out; there is no result."""


class Hello(Message, frozen=True):
    """First message on a connection between daemons."""

    name: str
    proof: str


class AcquireLease(Message, frozen=True):
    """Request the lease of a worker."""

    holder: SchedulerId
    ttl: float


class LeaseGranted(Message, frozen=True):
    """The lease was granted; `tasks` lists all tasks known to the worker."""

    epoch: Epoch
    sequence: int
    boot: str
    capacity: Resources
    tasks: list[TaskReport]


class RenewLease(Message, frozen=True):
    """Renew a worker's lease and apply a batch of small changes under it.

    This also renews the task leases of all running job tasks, as the holder
    has adopted each of them.
    """

    holder: SchedulerId
    epoch: Epoch
    sequence: int
    ttl: float
    #: Tasks whose state is requested; unknown ones will never start.
    settle: list[TaskId] = []
    #: Ended tasks and markers that the worker may forget.
    forget: list[TaskId] = []
    #: Running tasks to checkpoint and stop.
    stop: list[TaskId] = []


class LeaseRenewed(Message, frozen=True):
    """The lease was renewed; `tasks` holds requested and ended tasks."""

    sequence: int
    tasks: list[TaskReport]
    used: Resources = NOTHING
    leaving: bool = False


class ReleaseLease(Message, frozen=True):
    """Release the lease of a worker before it expires."""

    holder: SchedulerId
    epoch: Epoch


class StartTask(Message, frozen=True):
    """Start a task under a lease; `wait` also waits for its answer."""

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
    """One report for each requested task, in the order of the request."""

    tasks: list[TaskReport]
    #: Boot id of the worker that answers.
    boot: str = ''


class ControlTask(Message, frozen=True):
    """Stop, checkpoint or throttle a running task under a lease."""

    key: TaskId
    epoch: Epoch
    action: TaskAction


class SettleTasks(Message, frozen=True):
    """Query the outcome of tasks without a lease.

    The worker will never start a task that it doesn't know. A worker that
    was restarted since `boot` refuses.
    """

    keys: list[TaskId]
    boot: str


class KeepMarkers(Message, frozen=True):
    """Store markers without a lease, as copies of claims made elsewhere.

    Refused for fenced generations and by a worker that was restarted since
    `boot`.
    """

    tasks: list[TaskSpec]
    boot: str


class FenceJob(Message, frozen=True):
    """Fence off older generations of a job; return its known tasks.

    A worker that was restarted since `boot` refuses, unless `boot` is empty.
    """

    job: JobId
    generation: int
    boot: str = ''


class GrantRequest(Message, frozen=True):
    """A gateway requests capacity for one short request."""

    tenant: TenantId
    class_name: ClassName
    size: Resources
    #: How long the caller waits for placement.
    patience: float
    key: RequestKey = RequestKey('')
    #: Workers to avoid, as this request has failed on them.
    avoid: list[WorkerId] = []


class Grant(Message, frozen=True):
    """Short-lived grant of capacity on one worker for one request."""

    task: TaskId
    worker: WorkerId
    boot: str
    address: Address
    epoch: Epoch
    sequence: int
    validity: float


class TasksEnded(Message, frozen=True):
    """Final reports of tasks, as the sender received them from workers."""

    tasks: list[TaskReport]


class KeyRequest(Message, frozen=True):
    """A gateway requests a key that names a worker as its witness."""

    tenant: TenantId
    class_name: ClassName


class KeyIssued(Message, frozen=True):
    """A key for one request that must not be executed twice."""

    key: RequestKey


class JobSpec(Message, frozen=True):
    """A job as submitted by its caller."""

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
    """Known status of a job."""

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
    """Submit a job; answered once its record is durable in the log."""

    job: JobSpec
    patience: float


class QueryJob(Message, frozen=True):
    """Request the status of a tenant's job."""

    job: JobId
    tenant: TenantId


class CancelJob(Message, frozen=True):
    """Cancel a tenant's job."""

    job: JobId
    tenant: TenantId


class ReservePlace(Message, frozen=True):
    """Request a short reservation for one task from another holder."""

    task: TaskId
    tenant: TenantId
    class_name: ClassName
    size: Resources
    validity: float


class PlaceReserved(Message, frozen=True):
    """Capacity is reserved on one worker; `token` is valid for one start."""

    token: str
    worker: WorkerId
    address: Address
    rack: str
    boot: str


class StartReserved(Message, frozen=True):
    """Start a task in the capacity reserved under a token."""

    task: TaskSpec
    token: str


class DropReservation(Message, frozen=True):
    """Release a reservation, unless its task was started."""

    token: str


class RelayTasks(Message, frozen=True):
    """Request the holder of a worker to settle, stop or forget tasks.

    Refused if the worker was restarted since `boot`.
    """

    worker: WorkerId
    boot: str
    settle: list[TaskId] = []
    forget: list[TaskId] = []
    stop: list[TaskId] = []


class MemberState(Message, frozen=True):
    """State that a scheduler reports about itself."""

    name: SchedulerId
    address: Address
    zone: ZoneId
    incarnation: int
    beat: int
    leaving: bool = False
    bundle: BundleVersion = BundleVersion(0)
    queued: int = 0
    held: int = 0
    #: Largest free capacity on any one held worker.
    largest_free: Resources = NOTHING
    #: Largest total capacity of a held worker that accepts new work.
    largest_open: Resources = NOTHING


class ZoneDigest(Message, frozen=True):
    """Summary of a zone, of constant size."""

    zone: ZoneId
    beat: float
    workers: int
    queued: int
    bundle: BundleVersion
    contact: Address


class Gossip(Message, frozen=True):
    """Periodic exchange between two schedulers; a hint, never authoritative."""

    members: list[MemberState]
    digests: list[ZoneDigest] = []
    #: Workers known to be leaving.
    leaving: list[WorkerId] = []


class FetchBundle(Message, frozen=True):
    """Request the bundle of a peer if it is newer."""

    newer_than: BundleVersion


class BundleSnapshot(Message, frozen=True):
    """The active bundle with the signatures that authorize it (JSON)."""

    version: BundleVersion
    offset: Offset
    document: str


class QueryStatus(Message, frozen=True):
    """Request the status of a daemon."""


class Status(Message, frozen=True):
    """Status of a daemon (JSON)."""

    document: str


class WorkerHolder(Message, frozen=True):
    """Scheduler of the zone that holds a worker, as far as known."""

    worker: WorkerId
    holder: SchedulerId
    address: Address
    #: The worker's own address, empty if it isn't listed.
    worker_address: Address = Address('')


class QueryHolder(Message, frozen=True):
    """Request which scheduler holds a worker."""

    worker: WorkerId


class DrainWorker(Message, frozen=True):
    """Stop placing new work on a worker."""

    worker: WorkerId


class PeerState(Message, frozen=True):
    """State that an instance reports about itself, in pings and answers.

    `owner_address` is empty while the sender knows no owner of the shard.
    """

    name: InstanceId
    address: Address
    zone: str
    incarnation: str
    #: Processing capacity of the instance, in cores.
    speed: float = 1
    #: Whether its own calls to the store succeed.
    store_answers: bool = False
    #: Epoch of the shard's owner, as known to the sender.
    epoch: Epoch = Epoch(0)
    owner: InstanceId = InstanceId('')
    owner_address: Address = Address('')
    #: Whether the sender is that owner and active.
    owning: bool = False
    #: Waiting jobs by queue; reported by the owner only.
    queues: list[str] = []
    waiting: list[int] = []
    #: Version of its active configuration.
    config_version: int = 0
    #: What the owner refuses; see `orchidrail.admission.digest`.
    load: bytes = b''


class SubmitWork(Message, frozen=True):
    """Submit a job to the shard's owner; both records are in MessagePack.

    `patience` is the caller's time budget in seconds; `tenant` is empty where
    callers need no key.
    """

    job_id: JobId
    queue: bytes
    spec: bytes
    patience: float = 0
    tenant: bytes = b''


class QueryWork(Message, frozen=True):
    """Request the state of a job from the shard's owner.

    `tenant` is the expected tenant of the job; empty matches any tenant.
    """

    job_id: JobId
    tenant: TenantId = TenantId('')


class CancelWork(Message, frozen=True):
    """Cancel a job at the shard's owner; `tenant` as in `QueryWork`."""

    job_id: JobId
    tenant: TenantId = TenantId('')


class WorkAnswer(Message, frozen=True):
    """The owner's answer about a job; `phase` is a value of `JobPhase`.

    `cause` is a value of `FailureCause`, empty unless the job failed.
    """

    code: WorkCode
    phase: int = 0
    retry_after: float = 0
    cause: str = ''


class RelayCall(Message, frozen=True):
    """Relay a call to the store for an instance that can't reach it."""

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
    """Request from the advice service which workers may run a step."""

    step_key: str
    workers: list[WorkerName]
    timeout: float


class AdviceGiven(Message, frozen=True):
    """Tickets of permitted workers; `known` is false without an answer."""

    known: bool
    workers: list[WorkerName] = []
    tickets: list[str] = []
    valid: float = 0


class TakeOver(Message, frozen=True):
    """Request that a peer take over the shard from the owner of `epoch`."""

    epoch: Epoch


#: Messages that may be sent on their own, in the order of their ordinals.
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
