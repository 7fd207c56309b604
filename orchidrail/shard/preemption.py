"""Which runs are stopped so that a large task starts in time.

Only work that resumes from a checkpoint, goes after the task by its queue's
priority and still meets its own objective is stopped.
"""

from __future__ import annotations

from typing import NamedTuple

from orchidrail.shard.books import PlacedRun, WorkerBooks
from orchidrail.shard.earmarks import time_left, time_to_room
from orchidrail.shard.ranking import has_time
from orchidrail.types import Seconds
from orchidrail.work.job import StepState
from orchidrail.work.model import Size

#: Room that comes within this time is waited for: a stop takes up to 0.9 s on
#: the users' sites, and what is stopped does some of its work again.
_WAITED_FOR: Seconds = 1.0


class Preemption(NamedTuple):
    """Runs of one worker that make room for a task when they are stopped."""

    books: WorkerBooks
    victims: list[PlacedRun]


def choose_preemption(
    step: StepState,
    candidates: list[WorkerBooks],
    now: Seconds,
    wall: Seconds,
) -> Preemption | None:
    """Choose the worker on which fewest runs must be stopped, if any."""
    size = step.spec.charged
    waits = [time_to_room(books, size, now) for books in candidates]
    if not waits or min(waits) < _WAITED_FOR:
        return None
    options = [
        Preemption(books, victims)
        for books in candidates
        if (victims := _victims(step, books, now, wall))
    ]
    return min(options, key=lambda one: len(one.victims), default=None)


def _victims(
    step: StepState,
    books: WorkerBooks,
    now: Seconds,
    wall: Seconds,
) -> list[PlacedRun]:
    """Return the runs to stop here, those that would go on longest first."""
    may_stop = [
        run for run in books.run_by_key.values() if _gives_way(run, step, wall)
    ]
    may_stop.sort(key=lambda run: -time_left(run, now))
    free = books.free
    victims: list[PlacedRun] = []
    for run in may_stop:
        if step.spec.charged.fits(free):
            break
        free += run.size or Size()
        victims.append(run)
    return victims if step.spec.charged.fits(free) else []


def _gives_way(run: PlacedRun, step: StepState, wall: Seconds) -> bool:
    if run.task is None or run.stopping:
        return False
    other = run.task.step
    spec = other.spec
    resumes = spec.keeps_checkpoint and not spec.gang and not spec.lasting
    later = other.job.queue.priority > step.job.queue.priority
    return resumes and later and has_time(other, wall)
