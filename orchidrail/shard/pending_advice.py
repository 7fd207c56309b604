"""Questions for advice that have no answer yet, and how long they take."""

from __future__ import annotations

from collections.abc import Callable, Generator
from contextlib import contextmanager
from enum import Enum

from orchidrail.metrics import InstanceMetrics
from orchidrail.types import Seconds
from orchidrail.work.step import StepState


class AdviceRequestState(Enum):
    """What a question without an answer waits for."""

    #: A lane to be asked through.
    QUEUED = 'line'
    #: The answer to a call that is under way.
    IN_FLIGHT = 'call'


class PendingAdviceRequest:
    """One question, from its beginning to its answer.

    It may be asked again, also beside a call that is late.

    Parameters
    ----------
    step : StepState
    clock : callable
        Monotonic seconds.
    metrics : InstanceMetrics
    """

    def __init__(
        self,
        step: StepState,
        clock: Callable[[], Seconds],
        metrics: InstanceMetrics,
    ) -> None:
        """Begin to wait for a lane."""
        self.step_key = step.key
        self.since = clock()
        #: Since when it has its state.
        self.state_since = self.since
        self._clock = clock
        self._metrics = metrics
        self._queue = metrics.queue_label(step.job.queue.name)
        self._calls = 0

    @property
    def state(self) -> AdviceRequestState:
        """What it waits for."""
        return (
            AdviceRequestState.IN_FLIGHT
            if self._calls
            else AdviceRequestState.QUEUED
        )

    @contextmanager
    def during_call(self) -> Generator[None]:
        """Count as being asked, and time the wait before and the call.

        A second call beside a late one did not wait for a lane on its own.
        """
        began = self._clock()
        if self.state is AdviceRequestState.QUEUED:
            self._metrics.advice_queue_seconds.labels(self._queue).observe(
                began - self.state_since,
            )
            self.state_since = began
        self._calls += 1
        try:
            yield
        finally:
            self._end_call(began)

    def _end_call(self, began: Seconds) -> None:
        now = self._clock()
        self._metrics.advice_call_seconds.labels(self._queue).observe(
            now - began
        )
        self._calls -= 1
        if self.state is AdviceRequestState.QUEUED:
            self.state_since = now


class PendingAdviceRequests:
    """All questions of one shard that have no answer yet.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.
    metrics : InstanceMetrics
    """

    def __init__(
        self,
        clock: Callable[[], Seconds],
        metrics: InstanceMetrics,
    ) -> None:
        """Start without questions."""
        self._clock = clock
        self._metrics = metrics
        #: In order of age.
        self._open: dict[PendingAdviceRequest, None] = {}

    @contextmanager
    def track(self, step: StepState) -> Generator[PendingAdviceRequest]:
        """Follow a question of a step until it is answered or given up."""
        question = PendingAdviceRequest(step, self._clock, self._metrics)
        self._open[question] = None
        try:
            yield question
        finally:
            self._open.pop(question)

    def oldest_for_step(self, step_key: str) -> PendingAdviceRequest | None:
        """Return the oldest question of a step, if it has any."""
        of_step = (one for one in self._open if one.step_key == step_key)
        return next(of_step, None)

    def longest_queue_wait(self) -> Seconds:
        """Return how long the oldest one waits for a lane, 0 if none does."""
        now = self._clock()
        waits = (
            now - question.state_since
            for question in self._open
            if question.state is AdviceRequestState.QUEUED
        )
        return max(waits, default=0)
