"""Duration objective of a job, by its caller's estimates."""

from __future__ import annotations

from orchidrail.types import Seconds
from orchidrail.work.model import JobSpec, QueueSettings

#: A job that ends later than this multiple of its objective is of no use to
#: its caller any more.
USELESS_AFTER = 3


def critical_path_s(
    spec: JobSpec, queue: QueueSettings, ratio: float = 1
) -> Seconds:
    """Return the estimated duration of the critical path in seconds.

    Parameters
    ----------
    ratio : float
        Factor on the caller's estimates.
    """
    advice = 0 if queue.advice is None else queue.advice.base
    end_by_step: list[Seconds] = []
    for step in spec.steps:
        start = max((end_by_step[earlier] for earlier in step.after), default=0)
        end_by_step.append(start + ratio * step.estimate + advice)
    return max(end_by_step)


def objective_s(
    spec: JobSpec, queue: QueueSettings, ratio: float = 1
) -> Seconds:
    """Return how long a round of a job should take at most, seconds."""
    return queue.stretch * critical_path_s(spec, queue, ratio) + queue.target
