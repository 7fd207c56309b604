"""Estimates which share of the workers a queue's advice service permits."""

from __future__ import annotations

import math

from orchidrail.types import QueueName

#: Prior estimate for a queue without advice.
_PRIOR_RATE = 0.5
#: Weight of the prior, in checked workers.
_PRIOR_WEIGHT = 8
#: Number of checked workers above which the weight of older ones is halved.
_HALVE_ABOVE = 400
#: Lower bound of the estimate, so that the size of a request stays bounded.
_MIN_RATE = 0.05
#: Factor on the number of workers to check: fewer may be permitted than
#: estimated, and another round costs a whole call.
_OVERSAMPLING = 1.5


class ApprovalRates:
    """Counts checked and permitted workers by queue.

    Examples
    --------
    >>> approvals = ApprovalRates()
    >>> approvals.record(QueueName('q'), approved=10, asked=92)
    >>> approvals.workers_to_ask(QueueName('q'), workers=4)
    43
    """

    def __init__(self) -> None:
        """Start without any advice."""
        self._approved_by_queue: dict[QueueName, float] = {}
        self._asked_by_queue: dict[QueueName, float] = {}

    def record(self, queue: QueueName, approved: int, asked: int) -> None:
        """Record that `approved` of `asked` workers are permitted."""
        approved_total = self._approved_by_queue.get(
            queue, _PRIOR_RATE * _PRIOR_WEIGHT
        )
        asked_total = self._asked_by_queue.get(queue, _PRIOR_WEIGHT)
        if asked_total > _HALVE_ABOVE:
            approved_total /= 2
            asked_total /= 2
        self._approved_by_queue[queue] = approved_total + approved
        self._asked_by_queue[queue] = asked_total + asked

    def workers_to_ask(self, queue: QueueName, workers: float) -> int:
        """Return how many workers to check to find `workers` permitted ones."""
        return math.ceil(_OVERSAMPLING * workers / self.rate(queue))

    def rate(self, queue: QueueName) -> float:
        """Return the estimated share of permitted workers."""
        approved_total = self._approved_by_queue.get(
            queue, _PRIOR_RATE * _PRIOR_WEIGHT
        )
        asked_total = self._asked_by_queue.get(queue, _PRIOR_WEIGHT)
        return max(_MIN_RATE, approved_total / asked_total)
