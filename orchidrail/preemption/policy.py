"""When urgent work may have less urgent work stopped, and which.

A stop is worth its cost only if the urgent work would miss its objective
without it, meets it with it, and the stopped work misses none because of it.
"""

from __future__ import annotations

from typing import NamedTuple

from orchidrail.preemption.victims import Candidate
from orchidrail.types import Seconds

#: Wait for capacity after a stop that the stopped work has to bear, beyond the
#: run time of the urgent work: other work that became ready before may start
#: first.
_REQUEUE_WAIT: Seconds = 1.0
#: A stop is ordered at most this long before the last moment at which it still
#: helps. Until then capacity may become free by itself: expected ends are based
#: on estimates. Two surveys fit within it.
_DECISION_WINDOW: Seconds = 0.15
#: A stop may not lose more than this multiple of the core-seconds that it
#: gains for urgent work. A stopped task loses a fixed time for the stop and the
#: resumption, so short urgent tasks need a multiple above one.
_MAX_LOSS_RATIO = 2


class Need(NamedTuple):
    """What urgent work needs, and until when.

    Parameters
    ----------
    priority : int
        Priority of its queue; 0 is the highest.
    slack : float
        Seconds until the latest start that meets the objective.
    duration : float
        Estimated run time of a task, seconds.
    core_seconds : float
        Estimated work of a task.
    """

    priority: int
    slack: Seconds
    duration: Seconds
    core_seconds: float


def start_slack(
    latest_start: Seconds, wall: Seconds, start_delay: Seconds
) -> Seconds:
    """Return the seconds that work can wait for capacity.

    Parameters
    ----------
    latest_start, wall : float
        Wall clock time, seconds since 1970.
    start_delay : float
        Seconds from free capacity to the start.
    """
    return latest_start - wall - start_delay


def is_due(need: Need, stop_duration: Seconds) -> bool:
    """Whether it is time to decide on stops for urgent work.

    Later the freed capacity comes too late, before it may not be needed.
    """
    return 0 <= need.slack - stop_duration <= _DECISION_WINDOW


def may_stop(
    need: Need,
    candidate: Candidate,
    stop_duration: Seconds,
    resume_duration: Seconds,
) -> bool:
    """Whether a run may be stopped for urgent work.

    It may not if its queue is as urgent, if it ends by itself before the urgent
    work has to start, or if it would miss its objective through the stop.
    """
    if candidate.priority <= need.priority:
        return False
    if candidate.time_left <= max(need.slack, stop_duration):
        return False
    delay = stop_duration + need.duration + resume_duration + _REQUEUE_WAIT
    return candidate.late or candidate.slack >= delay


def is_worthwhile(need: Need, loss: float, slots: int) -> bool:
    """Whether a stop loses little compared with the work that it lets start."""
    return loss <= _MAX_LOSS_RATIO * need.core_seconds * slots
