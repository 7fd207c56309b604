"""Time since the workers that run a step last responded."""

from __future__ import annotations

import math

from orchidrail.shard.state import ShardState
from orchidrail.types import Seconds, WorkerId
from orchidrail.work.records import TaskPhase
from orchidrail.work.step import StepState


def longest_silence(state: ShardState, step: StepState) -> Seconds:
    """Return the longest time since a worker of a step last responded.

    Returns
    -------
    Seconds; 0 if no task of the step is placed.
    """
    workers = {
        task.worker for task in step.tasks if task.phase is TaskPhase.PLACED
    }
    now = state.clock()
    responses = (_last_response_at(state, worker) for worker in workers)
    return now - min(responses, default=now)


def _last_response_at(state: ShardState, worker: WorkerId) -> Seconds:
    """Return a worker's last response, or when this owner started if later."""
    tracked = state.tracked_by_worker.get(worker)
    responded_at = (
        -math.inf if tracked is None else tracked.session.last_response_at
    )
    return max(responded_at, state.started_at)
