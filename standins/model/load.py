"""What happens on a modelled day: a cell, its queues, surges and faults."""

from __future__ import annotations

import math
import pathlib
import tomllib
from random import Random
from typing import Any, NamedTuple

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
from standins.model.tenants import (
    HotSpell,
    LimitChange,
    TenantLoad,
    draw_tenant,
)

SERVICE = ServiceName('service')
#: Wall clock at the start of a day's traffic, seconds since 1970.
TRAFFIC_BEGINS: Seconds = 1_800_000_000
_MILLI = 1000
#: Time of day at which the traffic starts: the workers are met before.
LEAD: Seconds = 3
#: Most that a job counts, as a multiple of its queue's mean worth.
_MOST_WORTH = 4
#: Part of a job's worth that does not depend on its size.
_FLAT_WORTH = 0.3
#: What the answers of a task that serves are to take at the most.
_TARGET: Seconds = 0.1
#: Workers in the call for advice that an objective allows for.
_ADVICE_ALLOWED = 30


class Draw(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A log-normal distribution, cut off.

    Parameters
    ----------
    mean, spread : float
        Mean, and standard deviation as a share of it.
    most : float
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
        Jobs a second.
    stretch, target : float
        A job's objective is `stretch` times its longest chain of work, and
        `target` seconds.
    steps, tasks, cores, megabytes, work : Draw
        Of each job; `work` in seconds a task.
    fails : float
        Share of runs that fail by themselves.
    crashes : float
        Share of tasks each run of which ends its worker.
    crashes_after : float
        Seconds from such a run's start to its worker's end.
    estimate_off : float
        Spread of the caller's estimates.
    gang, apart : float
        Share of steps whose tasks start together, or each on a worker of its
        own.
    good : float
        Share of the workers that may run a step, where advice has a cost.
    rounds, every : int, float
        Rounds of timed jobs, and seconds between them; 0 for other jobs.
    stays : Draw, optional
        Seconds after which a job whose tasks last is cancelled; None for jobs
        that end by themselves. A run that fails does so within its `work`.
    serves : bool
        Whether tasks that last have a target for their answers' times, so that
        none that fills may be beside them.
    fills : float
        Share of steps whose tasks use the processor time that others leave.
    accelerators : list of int
        Of one task, drawn for each step; empty for tasks that need none.
    hopeless : float
        Share of jobs each run of which fails.
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

    @property
    def settings(self) -> QueueSettings:
        """The queue's settings, as a bundle would give them."""
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
    """A queue's rate is multiplied for a while."""

    queue: str
    at: Seconds
    lasts: Seconds
    times: float


class Outage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A share of the workers answers nothing for a while, and runs on."""

    at: Seconds
    lasts: Seconds
    share: float


class Crashes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A share of the workers crashes by chance, time and again.

    Parameters
    ----------
    every : float
        Seconds between two such moments.
    same : bool
        Whether it is always the same workers.
    returns : list of float
        Seconds until they start again under the names that they had, one
        after the other; empty if they come back as the day says.
    """

    at: Seconds
    lasts: Seconds
    every: Seconds
    share: float
    same: bool = False
    returns: list[Seconds] = []


class Breakage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A share of the workers fails all that it starts for a while."""

    at: Seconds
    lasts: Seconds
    share: float


class Shrinkage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A share of the workers has only part of its room for a while."""

    at: Seconds
    lasts: Seconds
    share: float
    left: float


class CellLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One modelled day.

    Parameters
    ----------
    slow_share, slow_times : float
        Share of the workers that are slower, and by which factor.
    restart : float
        Seconds until a crashed worker is back.
    keeps_names : bool
        Whether it is back under the name that it had.
    lanes : int
        Machines through which advice may be asked for.
    lasts : float
        Seconds of traffic.
    append_takes : float
        Seconds that an append to the journal takes.
    late_share : float
        Share of the orders that get no answer and are carried out seconds
        later, by whichever life then has the worker's name.
    tenants : list of TenantLoad
        Whose jobs they are; empty for a day without tenants.
    accelerators : int
        Of each worker.
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
    append_takes: Seconds = 0
    late_share: float = 0
    tenants: list[TenantLoad] = []
    hot_spells: list[HotSpell] = []
    limit_changes: list[LimitChange] = []
    accelerators: int = 0


class DrawnJob(NamedTuple):
    """A job as its caller hands it in, and what only the model knows."""

    queue: QueueLoad
    arrives_at: Seconds
    spec: JobSpec
    #: Seconds of work by step and task.
    work: list[list[Seconds]]
    #: Tasks that crash their workers, by step and number.
    crashing: frozenset[tuple[int, int]]
    #: Time from its arrival within which it is to end.
    objective: Seconds
    worth: float
    tenant: TenantId = TenantId('')
    #: Whether it is of a spell in which its tenant sends more than its usual.
    extra: bool = False
    #: Seconds after its arrival at which it is cancelled; None if it isn't.
    cancelled_after: Seconds | None = None
    #: Whether each of its runs fails.
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
    """Draw a day's jobs in the order of their arrival."""
    jobs: list[DrawnJob] = []
    for queue in load.queues:
        now: Seconds = 0
        while True:
            now += random.expovariate(_rate(load, queue, now))
            if now > load.lasts:
                break
            job = _draw_job(load, queue, now, random)
            owner = draw_tenant(load.tenants, random)
            jobs.append(job._replace(tenant=owner))
    for spell in load.hot_spells:
        jobs.extend(_draw_spell(load, spell, random))
    return sorted(jobs, key=lambda job: job.arrives_at)


def step_tasks(step_key: str, spec: StepSpec) -> list[TaskKey]:
    """Return the names of a step's tasks."""
    return [TaskKey(f'{step_key}.{index}') for index in range(spec.count)]


def _draw_spell(
    load: CellLoad,
    spell: HotSpell,
    random: Random,
) -> list[DrawnJob]:
    """Draw what a tenant sends beyond its usual; the others' jobs stay."""
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
        begun = surge.at <= now < surge.at + surge.lasts
        if begun and surge.queue == queue.name:
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
        step, takes = _draw_step(load, queue, number, random)
        steps.append(step)
        work.append(takes)
    base, each, _ = queue.advice or (0, 0, 0)
    advice = base + each * _ADVICE_ALLOWED
    chain = sum(max(takes) + advice for takes in work)
    first = now + queue.every if queue.rounds else 0
    spec = JobSpec(
        'text',
        tuple(steps),
        queue.rounds,
        TRAFFIC_BEGINS + first,
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
        # The days of other seeds stay as they are.
        hopeless=bool(queue.hopeless) and random.random() < queue.hopeless,
    )


def _draw_crashing(
    queue: QueueLoad,
    work: list[list[Seconds]],
    random: Random,
) -> frozenset[tuple[int, int]]:
    if not queue.crashes:
        # The days of other seeds stay as they are.
        return frozenset()
    return frozenset(
        (number, index)
        for number, takes in enumerate(work)
        for index in range(len(takes))
        if random.random() < queue.crashes
    )


def _worth(
    queue: QueueLoad,
    steps: list[StepSpec],
    work: list[list[Seconds]],
) -> float:
    """Return a job's worth, which grows with its core-seconds."""
    done = sum(
        step.size.millicores * sum(takes)
        for step, takes in zip(steps, work, strict=True)
    )
    usual = queue.tasks.mean * queue.cores.mean * queue.work.mean * queue.steps
    share = min(_MOST_WORTH, done / _MILLI / usual)
    return queue.worth * (_FLAT_WORTH + (1 - _FLAT_WORTH) * share)


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
    kinds = queue.accelerators
    # The days of other seeds stay as they are.
    accelerators = random.choice(kinds) if kinds else 0
    step = StepSpec(
        tasks,
        Size(round(cores * _MILLI), round(megabytes), accelerators),
        estimate=Draw(mean, queue.estimate_off).draw(random),
        after=(number - 1,) if number else (),
        gang=random.random() < queue.gang,
        most_per_worker=int(random.random() < queue.apart),
        lasting=queue.stays is not None,
        target=_TARGET if queue.serves else 0,
        # The days of other seeds stay as they are.
        best_effort=bool(queue.fills) and random.random() < queue.fills,
    )
    spread = 0 if step.gang else queue.work.spread / 2
    return step, [Draw(mean, spread).draw(random) for _ in range(tasks)]
