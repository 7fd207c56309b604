"""How long the owner has not heard the workers that have tasks of a step."""

from __future__ import annotations

import math

from orchidrail.shard.state import ShardState
from orchidrail.types import Seconds, WorkerId
from orchidrail.work.records import TaskPhase
from orchidrail.work.step import StepState


def longest_silence(state: ShardState, step: StepState) -> Seconds:
    """Return for how long the most silent worker of a step was not heard.

    Returns
    -------
    0 if no task of the step is placed.
    """
    workers = {
        task.worker for task in step.tasks if task.phase is TaskPhase.PLACED
    }
    now = state.clock()
    heard = (_heard_at(state, worker) for worker in workers)
    return now - min(heard, default=now)


def _heard_at(state: ShardState, worker: WorkerId) -> Seconds:
    """Return when a worker was heard last, by this owner or since it began."""
    tracked = state.tracked_by_worker.get(worker)
    heard_at = (
        -math.inf if tracked is None else tracked.session.last_response_at
    )
    return max(heard_at, state.started_at)
