"""What keeps each worker from taking a task of a step that waits."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple

from orchidrail.shard.books import WorkerBooks
from orchidrail.types import Seconds, WorkerId
from orchidrail.work.step import StepState


class Obstacle(Enum):
    """Why a worker is not given a task; the first that holds is told."""

    #: It is of another kind, or too small even when it is idle.
    UNSUITED = 'unsuited'
    #: Job after job failed there, or it refused an order.
    RESTS = 'rests'
    #: A task that may end its workers is tried there.
    TRIAL = 'trial'
    #: It takes no new work for another reason: it drains, is silent or gone.
    CLOSED = 'closed'
    #: The advice service has not been asked about it.
    NOT_ASKED = 'notAsked'
    #: The advice service has said that it may not run the step.
    NOT_PERMITTED = 'notPermitted'
    ROOM = 'room'
    #: It has as many tasks of the step as one worker may.
    COPIES = 'copies'
    #: A task there must not be beside one of this step.
    ROLE = 'role'
    #: It is kept for work that goes first.
    KEPT = 'kept'
    #: A task of the step failed there.
    FAILED = 'failed'
    #: Its ticket has run out.
    TICKET = 'ticket'
    NONE = 'none'


class _Sight(NamedTuple):
    """What an obstacle is seen by."""

    step: StepState
    kept: frozenset[WorkerId]
    now: Seconds


def _is_unsuited(sight: _Sight, books: WorkerBooks) -> bool:
    spec = sight.step.spec
    if spec.label and spec.label not in books.entry.labels:
        return True
    return not spec.charged.fits(books.entry.capacity)


def _is_not_asked(sight: _Sight, books: WorkerBooks) -> bool:
    step = sight.step
    advised = step.job.queue.advice is not None
    return advised and books.worker not in step.permits.known


def _is_not_permitted(sight: _Sight, books: WorkerBooks) -> bool:
    step = sight.step
    advised = step.job.queue.advice is not None
    return advised and books.worker not in step.permits.good


def _has_most_copies(sight: _Sight, books: WorkerBooks) -> bool:
    most = sight.step.spec.most_per_worker
    return bool(most) and books.count_by_step[sight.step.key] >= most


def _has_no_ticket(sight: _Sight, books: WorkerBooks) -> bool:
    step = sight.step
    advised = step.job.queue.advice is not None
    return advised and not step.permits.fresh(books.worker, sight.now)


#: In order: what holds for good first, what a question would end last.
_TEST_BY_OBSTACLE: dict[Obstacle, Callable[[_Sight, WorkerBooks], bool]] = {
    Obstacle.UNSUITED: _is_unsuited,
    Obstacle.RESTS: lambda sight, books: sight.now < books.rests_until,
    Obstacle.TRIAL: lambda sight, books: bool(books.trials),
    Obstacle.CLOSED: lambda sight, books: not books.open(sight.now),
    Obstacle.NOT_ASKED: _is_not_asked,
    Obstacle.NOT_PERMITTED: _is_not_permitted,
    Obstacle.ROOM: lambda sight, books: (
        not sight.step.spec.charged.fits(books.free)
    ),
    Obstacle.COPIES: _has_most_copies,
    Obstacle.ROLE: lambda sight, books: not books.bears(sight.step.spec),
    Obstacle.KEPT: lambda sight, books: books.worker in sight.kept,
    Obstacle.FAILED: lambda sight, books: sight.step.failed_workers.avoids(
        books.worker,
        sight.now,
    ),
    Obstacle.TICKET: _has_no_ticket,
}


def count_obstacles(
    step: StepState,
    every: Iterable[WorkerBooks],
    kept: frozenset[WorkerId],
    now: Seconds,
) -> Counter[Obstacle]:
    """Count the workers of a step's service by what keeps it from them.

    Parameters
    ----------
    step : StepState
    every : iterable of WorkerBooks
        Workers of any service.
    kept : frozenset of str
        Workers that are kept for other steps.
    now : float
        On the owner's steady clock, seconds.
    """
    sight = _Sight(step, kept, now)
    service = step.job.queue.service
    return Counter(
        _obstacle(sight, books)
        for books in every
        if books.entry.service == service
    )


def _obstacle(sight: _Sight, books: WorkerBooks) -> Obstacle:
    for obstacle, holds in _TEST_BY_OBSTACLE.items():
        if holds(sight, books):
            return obstacle
    return Obstacle.NONE
