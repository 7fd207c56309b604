"""Job specifications of callers, and the configuration of the cell."""

from __future__ import annotations

import math

import msgspec

from orchidrail.access import KeyRing
from orchidrail.types import (
    Address,
    InstanceId,
    QueueName,
    Seconds,
    ServiceName,
    TenantId,
)
from orchidrail.work.size import Size
from orchidrail.work.tenant import ANONYMOUS_TENANT, Tenant


class StepSpec(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one kind within a job.

    Parameters
    ----------
    count : int
        Tasks in the step.
    size : Size
        Resources allocated to each task.
    estimate : float
        The caller's rough estimate of a task's run time, seconds.
    after : tuple of int
        Indices of the steps that must have succeeded before.
    keeps_checkpoint : bool
        Whether a stopped run can be resumed from its checkpoint.
    gang : bool
        Whether the tasks start together under one run number and end together.
    one_rack : bool
        Whether the tasks are slower when spread over several racks.
    label : str
        Label that a worker must have, empty for any.
    data_rack : str
        Rack that holds the step's data, empty for none.
    most_per_worker : int
        Largest number of tasks on one worker, 0 for no limit.
    speculative : bool
        Whether copies of a task may run in parallel.
    lasting : bool
        Whether the tasks run until the job is cancelled.
    image : str
        Image that the tasks run; tasks of one image behave alike.
    target : float
        Upper target of the tail response time of a long-running task, seconds.
    best_effort : bool
        Whether a task only uses processor time that others leave unused, for
        which it is not charged.
    may_miss : int
        Largest number of long-running tasks that may be unavailable at a time
        because the scheduler stopped them.
    """

    count: int
    size: Size = Size()
    estimate: Seconds = 0
    after: tuple[int, ...] = ()
    keeps_checkpoint: bool = False
    gang: bool = False
    one_rack: bool = False
    label: str = ''
    data_rack: str = ''
    most_per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ''
    target: Seconds = 0
    best_effort: bool = False
    may_miss: int = 0

    @property
    def charged(self) -> Size:
        """Resources that a task is charged for on its worker."""
        return (
            Size(0, self.size.megabytes, self.size.accelerators)
            if (self.best_effort)
            else self.size
        )


def concurrent_size(step: StepSpec) -> Size:
    """Return the least amount of resources with which a step can run.

    Examples
    --------
    >>> concurrent_size(StepSpec(3, Size(10, 5), gang=True))
    Size(millicores=30, megabytes=15, accelerators=0)
    """
    count = step.count if step.gang else 1
    return Size(*(count * part for part in step.size))


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A job as submitted by its caller.

    Parameters
    ----------
    text : str
        Passed to the workers unchanged.
    steps : tuple of StepSpec
    repeats : int
        Number of scheduled rounds; 0 for one immediate round.
    first_at : float
        Wall clock time of the first round, seconds since 1970.
    interval : float
        Time between rounds, seconds.
    """

    text: str
    steps: tuple[StepSpec, ...]
    repeats: int = 0
    first_at: Seconds = 0
    interval: Seconds = 0

    @property
    def rounds(self) -> int:
        """Total number of rounds."""
        return max(1, self.repeats)

    def due(self, round_number: int) -> Seconds:
        """Return the earliest start of a round, wall clock seconds."""
        if not self.repeats:
            return 0
        return self.first_at + round_number * self.interval


class AdviceCost(msgspec.Struct, frozen=True, array_like=True):
    """Duration of an advice call and validity of its tickets, seconds."""

    base: Seconds
    per_worker: Seconds
    valid: Seconds

    def duration(self, workers: int) -> Seconds:
        """Return the expected duration of a call for so many workers."""
        return self.base + self.per_worker * workers


class QueueSettings(msgspec.Struct, frozen=True, array_like=True):
    """How the jobs of one queue are accepted and run.

    Parameters
    ----------
    name : str
    host, path_prefix : str
        Requests to this host and path prefix belong to the queue.
    service : str
        Service whose workers run the tasks.
    priority : int
        0 is the highest.
    max_attempts : int
        Number of failed runs of one task after which its job fails.
    stretch : float
        The duration objective is this multiple of the critical path ...
    target : float
        ... plus this many seconds.
    timeout : float
        Timeout of a caller's request, seconds.
    advice : AdviceCost, optional
        Set if the advice service decides which workers may run a step.
    public : bool
        Whether callers need no key even if the cell has tenants.
    """

    name: QueueName
    host: str
    path_prefix: str
    service: ServiceName
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1
    target: Seconds = 0
    timeout: Seconds = 0
    advice: AdviceCost | None = None
    public: bool = False


class IngressLimits(msgspec.Struct, frozen=True, array_like=True):
    """Limits on requests of callers, in bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout: Seconds = 3
    idle_timeout: Seconds = 15


class CellConfig(msgspec.Struct, frozen=True, array_like=True):
    """One version of the complete configuration of the operator.

    Parameters
    ----------
    keys : KeyRing, optional
        Keys of the callers; None if the cell has no tenants.
    """

    version: int = 0
    queues: tuple[QueueSettings, ...] = ()
    limits: IngressLimits = IngressLimits()
    tenant_by_name: dict[TenantId, Tenant] = {}
    keys: KeyRing | None = None

    def find_caller(
        self,
        queue: QueueSettings,
        authorization: str,
    ) -> Tenant | None:
        """Return the tenant of a request, None if its key is unknown."""
        if self.keys is None:
            return ANONYMOUS_TENANT
        name = self.keys.identify(authorization)
        if name is not None:
            return self.tenant_by_name[name]
        return ANONYMOUS_TENANT if queue.public else None

    def find_queue(self, host: str, path: str) -> QueueSettings | None:
        """Return the queue at `host` with the longest matching path prefix."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(
            matching,
            key=lambda queue: len(queue.path_prefix),
            default=None,
        )


class MemberInfo(msgspec.Struct, frozen=True, array_like=True):
    """One running instance.

    `incarnation` differs after each restart of an instance of the same name;
    `speed` compares the processors of the instances, in cores; `link` is the
    bandwidth of its link in bytes a second, infinite if unknown.
    """

    name: InstanceId
    address: Address
    zone: str
    incarnation: str
    speed: float = 1
    link: float = math.inf
