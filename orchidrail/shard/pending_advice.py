"""Tracks advice requests without a reply, and how long they take."""

from __future__ import annotations

from collections.abc import Callable, Generator
from contextlib import contextmanager
from enum import Enum

from orchidrail.metrics import InstanceMetrics
from orchidrail.types import Seconds
from orchidrail.work.step import StepState


class AdviceRequestState(Enum):
    """What a pending request waits for."""

    #: A free lane.
    QUEUED = 'line'
    #: The reply to a call in flight.
    IN_FLIGHT = 'call'


class PendingAdviceRequest:
    """One advice request until its reply.

    It may take several calls: retries, and hedged calls beside a slow one.

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
        """Start in state `QUEUED`."""
        self.step_key = step.key
        self.since = clock()
        #: When it entered its current state.
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
        """Track a call in flight; measure its duration and the queue wait.

        A hedged call beside a slow one counts no queue wait of its own.
        """
        started = self._clock()
        if self.state is AdviceRequestState.QUEUED:
            self._metrics.advice_queue_seconds.labels(self._queue).observe(
                started - self.state_since,
            )
            self.state_since = started
        self._calls += 1
        try:
            yield
        finally:
            self._end_call(started)

    def _end_call(self, started: Seconds) -> None:
        now = self._clock()
        self._metrics.advice_call_seconds.labels(self._queue).observe(
            now - started
        )
        self._calls -= 1
        if self.state is AdviceRequestState.QUEUED:
            self.state_since = now


class PendingAdviceRequests:
    """All advice requests of one shard that have no reply yet.

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
        """Start without requests."""
        self._clock = clock
        self._metrics = metrics
        #: Oldest first.
        self._pending: dict[PendingAdviceRequest, None] = {}

    @contextmanager
    def track(self, step: StepState) -> Generator[PendingAdviceRequest]:
        """Track a request for a step until its reply or cancellation."""
        request = PendingAdviceRequest(step, self._clock, self._metrics)
        self._pending[request] = None
        try:
            yield request
        finally:
            self._pending.pop(request)

    def oldest_for_step(self, step_key: str) -> PendingAdviceRequest | None:
        """Return the oldest pending request of a step, if any."""
        matching = (
            request for request in self._pending if request.step_key == step_key
        )
        return next(matching, None)

    def longest_queue_wait(self) -> Seconds:
        """Return the longest current queue wait, 0 if no request is queued."""
        now = self._clock()
        waits = (
            now - request.state_since
            for request in self._pending
            if request.state is AdviceRequestState.QUEUED
        )
        return max(waits, default=0)
