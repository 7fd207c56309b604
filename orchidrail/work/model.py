"""What callers ask for, and the settings of the queue that takes it."""

from __future__ import annotations

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
        Room for each task.
    estimate : float
        The caller's rough guess of a task's run time, seconds.
    after : tuple of int
        Steps all of whose tasks must have succeeded before.
    keeps_checkpoint : bool
        Whether a stopped run can be resumed from what it saved.
    gang : bool
        Tasks start together under one run number and end together.
    one_rack : bool
        Slower when spread over several racks.
    label : str
        Label that a worker must have, empty for any.
    data_rack : str
        Rack that holds the step's data, empty for none.
    most_per_worker : int
        Limit of tasks on one worker, 0 for none.
    speculative : bool
        Copies may run side by side.
    lasting : bool
        Tasks run until the job is cancelled.
    image : str
        What the tasks run; tasks of one image behave alike.
    target : float
        Seconds that the tail of a lasting task's answers should stay under.
    best_effort : bool
        The task uses processor time that others leave, and is not counted.
    may_miss : int
        Lasting tasks that the system may take away at one time.
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
        """The room that a task takes from its worker's books."""
        return (
            Size(0, self.size.megabytes, self.size.accelerators)
            if (self.best_effort)
            else self.size
        )


def concurrent_size(step: StepSpec) -> Size:
    """Return the least of a step that runs at one time.

    Examples
    --------
    >>> concurrent_size(StepSpec(3, Size(10, 5), gang=True))
    Size(millicores=30, megabytes=15, accelerators=0)
    """
    count = step.count if step.gang else 1
    return Size(*(count * part for part in step.size))


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A job as its caller handed it in.

    Parameters
    ----------
    text : str
        Passed to the workers as it is.
    steps : tuple of StepSpec
    repeats : int
        Times that the steps run at set times; 0 for once, now.
    first_at : float
        Wall clock of the first time, seconds since 1970.
    interval : float
        Seconds between the times.
    """

    text: str
    steps: tuple[StepSpec, ...]
    repeats: int = 0
    first_at: Seconds = 0
    interval: Seconds = 0

    @property
    def rounds(self) -> int:
        """How often the steps run in all."""
        return max(1, self.repeats)

    def due(self, round_number: int) -> Seconds:
        """Return the wall clock from which a round may start."""
        if not self.repeats:
            return 0
        return self.first_at + round_number * self.interval


class AdviceCost(msgspec.Struct, frozen=True, array_like=True):
    """What a call for advice takes and for how long its tickets hold."""

    base: Seconds
    per_worker: Seconds
    valid: Seconds

    def duration(self, workers: int) -> Seconds:
        """Return how long a call about so many workers takes."""
        return self.base + self.per_worker * workers


class QueueSettings(msgspec.Struct, frozen=True, array_like=True):
    """How the jobs of one queue are taken and run.

    Parameters
    ----------
    name : str
    host, path_prefix : str
        Which requests belong to the queue.
    service : str
        Whose workers run the tasks.
    priority : int
        0 goes first.
    max_attempts : int
        Failed runs of one task after which its job has failed.
    stretch : float
        The objective is this many times the longest chain of work ...
    target : float
        ... plus this many seconds.
    timeout : float
        Longest time that a caller's request may take, seconds.
    advice : AdviceCost, optional
        Given if the service must be asked which workers may run a step.
    public : bool
        Whether callers need no key though the cell has tenants.
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
    """Limits on callers' requests: bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout: Seconds = 3
    idle_timeout: Seconds = 15


class CellConfig(msgspec.Struct, frozen=True, array_like=True):
    """The operator's configuration, whole, at one version.

    Parameters
    ----------
    keys : KeyRing, optional
        Of callers; None where the cell has no tenants.
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
        """Return for whom a call to a queue is, None if its key is unknown."""
        if self.keys is None:
            return ANONYMOUS_TENANT
        name = self.keys.identify(authorization)
        if name is not None:
            return self.tenant_by_name[name]
        return ANONYMOUS_TENANT if queue.public else None

    def find_queue(self, host: str, path: str) -> QueueSettings | None:
        """Return the queue with the longest prefix of `path` at `host`."""
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
    """One running process of the system.

    `incarnation` differs for each life of a process of the same name; `speed`
    compares the processors of their machines, in cores.
    """

    name: InstanceId
    address: Address
    zone: str
    incarnation: str
    speed: float = 1
