"""Forecast of when a new job would start, and how sure that is.

Answers bursts that fill the room: a job then waits for what ranks before it,
and its caller wants to know at once whether the wait is worth it.
"""

from __future__ import annotations

from typing import NamedTuple

from orchidrail.admission.durations import RatioRange
from orchidrail.admission.service_load import (
    BIN_S,
    BINS,
    Ahead,
    RankClass,
    ServiceLoad,
    SizeClass,
    size_class_of,
)
from orchidrail.types import Seconds, TenantId
from orchidrail.work.model import JobSpec, QueueSettings, concurrent_size
from orchidrail.work.objectives import (
    USELESS_AFTER,
    critical_path_s,
    objective_s,
)


class JobNeed(NamedTuple):
    """What a job needs, and where it stands in the order of placement.

    Parameters
    ----------
    rank : RankClass
    latest_start : float
        Wall clock time, seconds.
    at_once : float
        Millicores that its first steps need at once, scaled by the share of
        the workers that may run them.
    unscaled : int
        The same without that scale.
    task : int
        Millicores of its largest first task.
    size_class : SizeClass
    """

    rank: RankClass
    latest_start: Seconds
    at_once: float
    unscaled: int
    task: int
    size_class: SizeClass


class StartRange(NamedTuple):
    """Seconds until a job starts: the earliest likely, and the expected."""

    earliest: Seconds
    expected: Seconds


class Forecast(NamedTuple):
    """When a job would start, and until when that is of use to its caller.

    Parameters
    ----------
    start : StartRange
    modelled : float
        Expected start before the correction by earlier forecasts, seconds.
    end : float
        Seconds until the expected end.
    objective : float
        By the expected durations, seconds from the caller's first send.
    latest_useful_start : float
        Start after which the job would end too late to be of any use, by the
        expected durations.
    latest_possible_start : float
        The same by the longest durations within the uncertainty.
    ahead : Ahead
    size_class : SizeClass
    """

    start: StartRange
    modelled: Seconds
    end: Seconds
    objective: Seconds
    latest_useful_start: Seconds
    latest_possible_start: Seconds
    ahead: Ahead = Ahead()
    size_class: SizeClass = SizeClass.SMALL


def applies_to(spec: JobSpec) -> bool:
    """Whether the objective of a job starts with its submission."""
    return not spec.repeats and not any(step.lasting for step in spec.steps)


def job_need(
    spec: JobSpec,
    queue: QueueSettings,
    load: ServiceLoad,
    wall: Seconds,
    permitted_share: float = 1,
    over_share: bool = False,
) -> JobNeed:
    """Return what a job needs to start.

    Parameters
    ----------
    wall : float
        Wall clock time, seconds since 1970.
    permitted_share : float
        Share of the workers that advice permits.
    """
    first_steps = [step for step in spec.steps if not step.after]
    at_once: float = 0
    largest, unscaled = 0, 0
    for step in first_steps:
        task = step.charged.millicores
        needed = concurrent_size(step).millicores if task else 0
        at_once = max(at_once, needed / load.usable_share(task))
        largest = max(largest, task)
        unscaled = max(unscaled, needed)
    at_once /= max(permitted_share, 1 / max(1, load.workers))
    chain = critical_path_s(spec, queue)
    return JobNeed(
        rank_class(queue, over_share),
        wall + objective_s(spec, queue) - chain,
        at_once,
        unscaled,
        largest,
        size_class_of(unscaled, load.capacity),
    )


def forecast_start(need: JobNeed, load: ServiceLoad, ahead: Ahead) -> Seconds:
    """Return the seconds until a job starts, by the room alone.

    Room that is released at t is handed out at t. What the work ahead takes of
    it is handed out again after that work's mean duration. The job starts when
    what has been handed out covers the work ahead and its own need.
    """
    if load.capacity <= 0:
        return BINS * BIN_S
    urgent = need.rank is RankClass.URGENT
    reserved = 0 if urgent else load.headroom
    wanted = min(need.at_once, load.capacity - reserved) + ahead.millicores
    if wanted <= load.free - reserved and load.slots(need.task):
        return 0
    period = max(1, round(ahead.duration / BIN_S))
    handed_out: list[float] = []
    for index, room in enumerate(load.free_by_bin(urgent)):
        again = handed_out[index - period] if index >= period else 0
        handed_out.append(room + min(again, ahead.millicores))
        if handed_out[-1] >= wanted:
            return (index + 1) * BIN_S
    rate = load.capacity / max(BIN_S, ahead.duration)
    return BINS * BIN_S + (wanted - handed_out[-1]) / rate


class TenantRoom(NamedTuple):
    """What a tenant uses of its limit, millicores; a limit of 0 is none."""

    used: int = 0
    limit: int = 0


def forecast_limit_wait(
    tenant: TenantId, need: JobNeed, load: ServiceLoad, room: TenantRoom
) -> Seconds:
    """Return the seconds until a tenant's limit leaves room for a job.

    The tenant's waiting work drains at the rate of its limit; its runs end
    evenly over twice their mean remaining time.
    """
    excess = room.used + need.unscaled - room.limit
    if not room.limit or excess <= 0 or not room.used:
        return 0
    waiting = load.waiting_by_tenant.get((tenant, True), 0)
    if need.rank is not RankClass.URGENT:
        waiting += load.waiting_by_tenant.get((tenant, False), 0)
    mean_remaining = load.running_by_tenant.get(tenant, 0) / room.used
    released = min(1, excess / room.used) * 2 * mean_remaining
    return waiting / room.limit + released


def forecast_duration(
    spec: JobSpec,
    queue: QueueSettings,
    load: ServiceLoad,
    ratio: float,
    permitted_share: float = 1,
) -> Seconds:
    """Return the seconds from the first start of a job to its end.

    A step that is wider than the room that it may use runs in waves.
    """
    duration = critical_path_s(spec, queue, ratio)
    room = max(1, load.capacity * permitted_share)
    for step in spec.steps:
        width = step.count * step.charged.millicores
        waves = width / load.usable_share(step.charged.millicores) / room
        if not step.gang and waves > 1:
            duration += (waves - 1) * ratio * step.estimate
    return duration


def correct_start(modelled: Seconds, correction: StartRange) -> StartRange:
    """Return the start of a job after correction.

    A correction may double a forecast but does not make one: errors of the
    past are no evidence of a wait where nothing waits now.

    Examples
    --------
    >>> correct_start(2, StartRange(0.5, 1))
    StartRange(earliest=2.5, expected=3)
    >>> correct_start(0, StartRange(4, 5))
    StartRange(earliest=0, expected=0)
    """
    return StartRange(
        modelled + max(-modelled, min(modelled, correction.earliest)),
        modelled + max(-modelled, min(modelled, correction.expected)),
    )


def assess(
    spec: JobSpec,
    queue: QueueSettings,
    load: ServiceLoad,
    need: JobNeed,
    ratios: RatioRange,
    correction: StartRange,
    permitted_share: float = 1,
    limit_wait: Seconds = 0,
) -> Forecast:
    """Return the forecast of a job.

    Parameters
    ----------
    correction : StartRange
        Seconds to be added to the modelled start, by how earlier forecasts
        turned out.
    limit_wait : float
        Seconds until its tenant's limit leaves room for it.
    """
    ahead = load.ahead_of(need.rank, need.latest_start, need.size_class)
    modelled = max(limit_wait, forecast_start(need, load, ahead))
    start = correct_start(modelled, correction)
    durations = [
        forecast_duration(spec, queue, load, ratio, permitted_share)
        for ratio in (ratios.median, ratios.high)
    ]
    useful_until = [
        USELESS_AFTER * objective_s(spec, queue, ratio)
        for ratio in (ratios.median, ratios.high)
    ]
    return Forecast(
        start,
        modelled,
        start.expected + durations[0],
        objective_s(spec, queue, ratios.median),
        useful_until[0] - durations[0],
        useful_until[1] - durations[1],
        ahead,
        need.size_class,
    )


def rank_class(queue: QueueSettings, over_share: bool) -> RankClass:
    """Return where the jobs of a queue stand in the order of placement."""
    if over_share:
        return RankClass.OVER_SHARE
    return RankClass.OTHER if queue.priority else RankClass.URGENT
