"""Description of a simulated day: a cell, its queues, surges and faults."""

from __future__ import annotations

import math
import pathlib
import tomllib
from random import Random
from typing import Any, NamedTuple, Protocol

import msgspec

from orchidrail.types import (
    QueueName,
    Seconds,
    ServiceName,
    TaskKey,
    TenantId,
)
from orchidrail.work.model import (
    AdviceCost,
    JobSpec,
    QueueSettings,
    StepSpec,
)
from orchidrail.work.size import Size
from standins.model.evacuations import Evacuation
from standins.model.tenants import (
    HotSpell,
    LimitChange,
    TenantLoad,
    draw_tenant,
)

SERVICE = ServiceName('service')
#: Wall clock at the start of a day's traffic, seconds since the epoch.
TRAFFIC_START: Seconds = 1_800_000_000
_MILLI = 1000
#: Seconds before the traffic, in which the owner first polls the workers.
WARM_UP: Seconds = 3
#: Bound on a job's core-seconds that count for its worth, as a multiple of
#: the mean of its queue.
_MAX_WORTH = 4
#: Share of a job's worth that does not depend on its size.
_FIXED_WORTH_SHARE = 0.3
#: Response time target of a latency-sensitive task.
_TARGET: Seconds = 0.1
#: Workers in an advice call whose duration is added to an objective.
_ADVISED_WORKERS = 30


class Draw(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A log-normal distribution, truncated at a maximum.

    Parameters
    ----------
    mean, spread : float
        Mean, and standard deviation as a share of it.
    most : float
        Upper bound of the values.
    """

    mean: float
    spread: float = 0
    most: float = math.inf

    def draw(self, random: Random) -> float:
        """Return one value."""
        variance = math.log1p(self.spread**2)
        middle = math.log(self.mean) - variance / 2
        return min(self.most, random.lognormvariate(middle, variance**0.5))


class QueueLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The jobs of one queue.

    Parameters
    ----------
    per_s : float
        Jobs per second.
    stretch, target : float
        A job's objective is `stretch` times its longest chain of work, plus
        `target` seconds.
    steps, tasks, cores, megabytes, work : Draw
        Of each job; `work` in seconds per task.
    fails : float
        Share of runs that fail by themselves.
    crashes : float
        Share of tasks each run of which crashes its worker.
    crashes_after : float
        Seconds from the start of such a run to the crash.
    estimate_off : float
        Spread of the caller's duration estimates.
    gang, apart : float
        Share of steps whose tasks start together, or each on a separate
        worker.
    good : float
        Share of the workers that may run a step, if the queue needs advice.
    rounds, every : int, float
        Rounds of scheduled jobs, and seconds between them; 0 for other jobs.
    stays : Draw, optional
        Seconds after which a job with long-running tasks is cancelled; None
        for jobs that end by themselves. A failing run ends within its `work`.
    serves : bool
        Whether the tasks are latency-sensitive: they have a response time
        target, so no best-effort task may be colocated with them.
    fills : float
        Share of steps whose tasks are best-effort.
    accelerators : list of int
        Accelerators of one task, drawn for each step; empty for none.
    hopeless : float
        Share of jobs whose runs always fail.
    saves : float
        Share of steps whose tasks keep checkpoints.
    """

    name: str
    per_s: float
    worth: float
    priority: int
    stretch: float
    target: Seconds
    tasks: Draw
    cores: Draw
    megabytes: Draw
    work: Draw
    steps: float = 1
    fails: float = 0
    crashes: float = 0
    crashes_after: Seconds = 0.01
    estimate_off: float = 0
    gang: float = 0
    apart: float = 0
    advice: tuple[Seconds, Seconds, Seconds] | None = None
    good: float = 1
    attempts: int = 3
    rounds: int = 0
    every: Seconds = 0
    stays: Draw | None = None
    serves: bool = False
    fills: float = 0
    accelerators: list[int] = []
    hopeless: float = 0
    saves: float = 0

    @property
    def settings(self) -> QueueSettings:
        """The queue's settings, as a bundle would define them."""
        return QueueSettings(
            QueueName(self.name),
            'host',
            f'/{self.name}/',
            SERVICE,
            priority=self.priority,
            max_attempts=self.attempts,
            stretch=self.stretch,
            target=self.target,
            advice=AdviceCost(*self.advice) if self.advice else None,
        )


class Surge(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Multiplies a queue's rate for `lasts` seconds."""

    queue: str
    at: Seconds
    lasts: Seconds
    times: float


class Outage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A share of the workers stops responding, but its tasks run on."""

    at: Seconds
    lasts: Seconds
    share: float


class Crashes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A share of the workers crashes repeatedly, whatever runs there.

    Parameters
    ----------
    every : float
        Seconds between crashes.
    same : bool
        Whether the same workers crash each time.
    returns : list of float
        Seconds until they restart under their previous names, used in a
        cycle; empty to restart as `CellLoad` says.
    """

    at: Seconds
    lasts: Seconds
    every: Seconds
    share: float
    same: bool = False
    returns: list[Seconds] = []


class Breakage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A share of the workers fails every task that it starts."""

    at: Seconds
    lasts: Seconds
    share: float


class Shrinkage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A share of the workers has only part of its capacity."""

    at: Seconds
    lasts: Seconds
    share: float
    left: float


class Fault(Protocol):
    """A disturbance with a start and a duration, seconds."""

    @property
    def at(self) -> Seconds:
        """Start, from the start of the traffic."""

    @property
    def lasts(self) -> Seconds:
        """Duration."""


class CellLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One simulated day.

    Parameters
    ----------
    slow_share, slow_times : float
        Share of the workers that are slow, and the factor on their durations.
    restart : float
        Seconds until a crashed worker has restarted.
    keeps_names : bool
        Whether it restarts under its previous name.
    lanes : int
        Instances through which the advice service is called.
    lasts : float
        Seconds of traffic.
    append_takes : float
        Seconds that an append to the journal takes.
    late_share : float
        Share of the orders that get no response and are executed seconds
        later, by the incarnation that then has the worker's name.
    tenants : list of TenantLoad
        Tenants that the jobs belong to; empty for a day without tenants.
    accelerators : int
        Accelerators of each worker.
    stop_takes, restore_takes : float
        Longest time that a stop takes, and the time that a run takes to resume
        from its checkpoint, seconds.
    preemption : bool
        Whether runs may be stopped for more urgent work.
    """

    queues: list[QueueLoad]
    workers: int = 24
    cores: int = 64
    megabytes: int = 256_000
    rack: int = 8
    slow_share: float = 0
    slow_times: float = 1.3
    restart: Seconds = 3.2
    keeps_names: bool = False
    lanes: int = 7
    lasts: Seconds = 30
    surges: list[Surge] = []
    outages: list[Outage] = []
    crashes: list[Crashes] = []
    shrinkages: list[Shrinkage] = []
    breakages: list[Breakage] = []
    evacuations: list[Evacuation] = []
    append_takes: Seconds = 0
    late_share: float = 0
    tenants: list[TenantLoad] = []
    hot_spells: list[HotSpell] = []
    limit_changes: list[LimitChange] = []
    accelerators: int = 0
    stop_takes: Seconds = 0
    restore_takes: Seconds = 0
    preemption: bool = True


class DrawnJob(NamedTuple):
    """A job as submitted, and what only the simulation knows of it."""

    queue: QueueLoad
    arrives_at: Seconds
    spec: JobSpec
    #: Seconds of work, by step and task.
    work: list[list[Seconds]]
    #: Tasks that crash their workers, by step and number.
    crashing: frozenset[tuple[int, int]]
    #: Seconds from its arrival within which it should end.
    objective: Seconds
    worth: float
    tenant: TenantId = TenantId('')
    #: Whether it belongs to the extra load of a tenant's hot spell.
    extra: bool = False
    #: Seconds after its arrival at which it is cancelled; None if never.
    cancelled_after: Seconds | None = None
    #: Whether all of its runs fail.
    hopeless: bool = False


def read_load(path: str) -> CellLoad:
    """Read a day from a TOML file.

    Raises
    ------
    msgspec.ValidationError
        A field is unknown, missing or of another type.
    """
    raw: dict[str, Any] = tomllib.loads(pathlib.Path(path).read_text())
    return msgspec.convert(raw, CellLoad)


def draw_jobs(load: CellLoad, random: Random) -> list[DrawnJob]:
    """Draw a day's jobs, in order of arrival."""
    jobs: list[DrawnJob] = []
    for queue in load.queues:
        now: Seconds = 0
        while True:
            now += random.expovariate(_rate(load, queue, now))
            if now > load.lasts:
                break
            job = _draw_job(load, queue, now, random)
            tenant_id = draw_tenant(load.tenants, random)
            jobs.append(job._replace(tenant=tenant_id))
    for spell in load.hot_spells:
        jobs.extend(_draw_spell(load, spell, random))
    return sorted(jobs, key=lambda job: job.arrives_at)


def step_tasks(step_key: str, spec: StepSpec) -> list[TaskKey]:
    """Return the keys of a step's tasks."""
    return [TaskKey(f'{step_key}.{index}') for index in range(spec.count)]


def _draw_spell(
    load: CellLoad,
    spell: HotSpell,
    random: Random,
) -> list[DrawnJob]:
    """Draw the extra jobs of a tenant; the other jobs do not change."""
    tenant = next(one for one in load.tenants if one.name == spell.tenant)
    jobs: list[DrawnJob] = []
    for queue in load.queues:
        rate = queue.per_s * tenant.share * (spell.times - 1)
        now = spell.at + random.expovariate(rate)
        while now < spell.at + spell.lasts:
            job = _draw_job(load, queue, now, random)
            jobs.append(job._replace(tenant=TenantId(tenant.name), extra=True))
            now += random.expovariate(rate)
    return jobs


def _rate(load: CellLoad, queue: QueueLoad, now: Seconds) -> float:
    rate = queue.per_s
    for surge in load.surges:
        active = surge.at <= now < surge.at + surge.lasts
        if active and surge.queue == queue.name:
            rate *= surge.times
    return rate


def _draw_job(
    load: CellLoad,
    queue: QueueLoad,
    now: Seconds,
    random: Random,
) -> DrawnJob:
    steps: list[StepSpec] = []
    work: list[list[Seconds]] = []
    count = 1 + (random.random() < queue.steps - 1)
    for number in range(count):
        step, durations = _draw_step(load, queue, number, random)
        steps.append(step)
        work.append(durations)
    base, per_worker, _ = queue.advice or (0, 0, 0)
    advice = base + per_worker * _ADVISED_WORKERS
    chain = sum(max(durations) + advice for durations in work)
    first = now + queue.every if queue.rounds else 0
    spec = JobSpec(
        'text',
        tuple(steps),
        queue.rounds,
        TRAFFIC_START + first,
        queue.every,
    )
    return DrawnJob(
        queue,
        now,
        spec,
        work,
        _draw_crashing(queue, work, random),
        queue.stretch * chain + queue.target + queue.rounds * queue.every,
        _worth(queue, steps, work),
        cancelled_after=queue.stays.draw(random) if queue.stays else None,
        # Draws nothing if unused, so days without it keep their draws.
        hopeless=bool(queue.hopeless) and random.random() < queue.hopeless,
    )


def _draw_crashing(
    queue: QueueLoad,
    work: list[list[Seconds]],
    random: Random,
) -> frozenset[tuple[int, int]]:
    if not queue.crashes:
        # Draws nothing if unused, so days without it keep their draws.
        return frozenset()
    return frozenset(
        (number, index)
        for number, durations in enumerate(work)
        for index in range(len(durations))
        if random.random() < queue.crashes
    )


def _worth(
    queue: QueueLoad,
    steps: list[StepSpec],
    work: list[list[Seconds]],
) -> float:
    """Return a job's worth, which grows with its core-seconds."""
    done = sum(
        step.size.millicores * sum(durations)
        for step, durations in zip(steps, work, strict=True)
    )
    usual = queue.tasks.mean * queue.cores.mean * queue.work.mean * queue.steps
    share = min(_MAX_WORTH, done / _MILLI / usual)
    return queue.worth * (_FIXED_WORTH_SHARE + (1 - _FIXED_WORTH_SHARE) * share)


def _draw_step(
    load: CellLoad,
    queue: QueueLoad,
    number: int,
    random: Random,
) -> tuple[StepSpec, list[Seconds]]:
    cores = min(load.cores, queue.cores.draw(random))
    megabytes = min(load.megabytes, queue.megabytes.draw(random))
    mean = queue.work.draw(random)
    tasks = max(1, round(queue.tasks.draw(random)))
    choices = queue.accelerators
    # Draws nothing if unused, so days without it keep their draws.
    accelerators = random.choice(choices) if choices else 0
    step = StepSpec(
        tasks,
        Size(round(cores * _MILLI), round(megabytes), accelerators),
        estimate=Draw(mean, queue.estimate_off).draw(random),
        after=(number - 1,) if number else (),
        gang=random.random() < queue.gang,
        most_per_worker=int(random.random() < queue.apart),
        lasting=queue.stays is not None,
        target=_TARGET if queue.serves else 0,
        # Draws nothing if unused, so days without it keep their draws.
        best_effort=bool(queue.fills) and random.random() < queue.fills,
        # Draws nothing if unused, so days without it keep their draws.
        keeps_checkpoint=bool(queue.saves) and random.random() < queue.saves,
    )
    spread = 0 if step.gang else queue.work.spread / 2
    return step, [Draw(mean, spread).draw(random) for _ in range(tasks)]
