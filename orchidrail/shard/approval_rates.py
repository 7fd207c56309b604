"""What share of the workers a queue's service approves of, as seen so far."""

from __future__ import annotations

import math

from orchidrail.types import QueueName

#: Share taken for a queue of which nothing was heard.
_FIRST_SHARE = 0.5
#: Answers about single workers that the first share counts as.
_FIRST_WEIGHT = 8
#: Answers after which older ones are given half their weight.
_HALVE_AT = 400
#: Least share that is reckoned with, so that no question grows without bound.
_LEAST_SHARE = 0.05
#: Factor on the number of workers asked about: fewer may be approved of than
#: the share says, and another round costs a whole call.
_SPARE = 1.5


class ApprovalRates:
    """Counts approvals by queue.

    Examples
    --------
    >>> approvals = ApprovalRates()
    >>> approvals.note(QueueName('q'), good=10, asked=92)
    >>> approvals.needed(QueueName('q'), workers=4)
    43
    """

    def __init__(self) -> None:
        """Start without answers."""
        self._good_by_queue: dict[QueueName, float] = {}
        self._asked_by_queue: dict[QueueName, float] = {}

    def note(self, queue: QueueName, good: int, asked: int) -> None:
        """Take an answer about `asked` workers, `good` of them approved."""
        goods = self._good_by_queue.get(queue, _FIRST_SHARE * _FIRST_WEIGHT)
        total = self._asked_by_queue.get(queue, _FIRST_WEIGHT)
        if total > _HALVE_AT:
            goods /= 2
            total /= 2
        self._good_by_queue[queue] = goods + good
        self._asked_by_queue[queue] = total + asked

    def needed(self, queue: QueueName, workers: float) -> int:
        """Return how many workers to ask about so that `workers` are good."""
        goods = self._good_by_queue.get(queue, _FIRST_SHARE * _FIRST_WEIGHT)
        total = self._asked_by_queue.get(queue, _FIRST_WEIGHT)
        share = max(_LEAST_SHARE, goods / total)
        return math.ceil(_SPARE * workers / share)
