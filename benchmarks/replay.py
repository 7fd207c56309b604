"""Discrete-event simulation of arrivals at a scheduler, without I/O."""

from __future__ import annotations

import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from orchidrail.deciding.engine import Engine, Placed, WorkItem, member_key
from orchidrail.leasing.ledger import Proof
from orchidrail.types import Seconds, TaskId, WorkerId

_HOUSEKEEPING_INTERVAL: Seconds = 0.05
_RETRY_DELAY: Seconds = 0.02
_FAILURE_DURATION: Seconds = 0.001
_STOP_DURATION: Seconds = 0.2


@dataclass
class Arrival:
    """An arriving item and its actual run time."""

    at: Seconds
    item: WorkItem
    seconds: Seconds
    attempts: int = 0


@dataclass
class Outcome:
    """Results of a replay."""

    waits_by_class: dict[str, list[Seconds]] = field(
        default_factory=lambda: defaultdict(list),
    )
    done_by_class: dict[str, int] = field(
        default_factory=lambda: defaultdict(int),
    )
    expired_by_class: dict[str, int] = field(
        default_factory=lambda: defaultdict(int),
    )
    used_by_tenant: dict[str, float] = field(
        default_factory=lambda: defaultdict(float),
    )
    failures: int = 0
    preempted: int = 0
    #: Mean share of the dominant resource in use over the measured interval.
    packing: float = 0

    def quantile(self, class_name: str, share: float) -> Seconds:
        """Return a quantile of a class's waiting times."""
        ordered = sorted(self.waits_by_class[class_name])
        if not ordered:
            return float('inf')
        return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


class Replay:
    """Simulates the arrivals at one scheduler.

    Parameters
    ----------
    decider : object
        Has the interface of the classes in ``benchmarks.baselines``.
    arrivals : list of Work
        Sorted by arrival.
    failing_workers : set of WorkerId
        Workers that fail every task after 1 ms.
    load : callable, optional
        Returns the share of resources in use, sampled for the packing.
    measure : tuple of float
        Start and end in seconds of the interval that is measured.
    """

    def __init__(
        self,
        decider,  # type: ignore[no-untyped-def]
        arrivals: list[Arrival],
        failing_workers: frozenset[WorkerId] = frozenset(),
        load: Callable[[], float] | None = None,
        measure: tuple[Seconds, Seconds] = (0, 0),
    ) -> None:
        self.outcome = Outcome()
        self._decider = decider
        self._failing_workers = failing_workers
        self._arrival_by_key = {
            arrival.item.key: arrival for arrival in arrivals
        }
        self._sequence = itertools.count()
        self._events: list[tuple[Seconds, int, Callable[[Seconds], None]]] = []
        self._load = load
        self._measure = measure
        self._samples: list[float] = []
        self._running: dict[TaskId, tuple[WorkItem, WorkerId, Seconds]] = {}
        for arrival in arrivals:
            self._schedule(
                arrival.at,
                lambda now, arrival=arrival: self._arrive(arrival, now),
            )

    def run(self, until: Seconds) -> Outcome:
        """Run the simulation until a time in seconds."""
        self._schedule(0, self._run_housekeeping)
        while self._events and self._events[0][0] <= until:
            now, _, event = heapq.heappop(self._events)
            event(now)
        for item, _, since in self._running.values():
            self._add_usage(item, since, until)
        if self._samples:
            self.outcome.packing = sum(self._samples) / len(self._samples)
        return self.outcome

    def _schedule(self, at: Seconds, event: Callable[[Seconds], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), event))

    def _arrive(self, arrival: Arrival, now: Seconds) -> None:
        arrival.item.queued_at = now
        self._start(self._decider.offer(arrival.item, now), now)

    def _start(self, placed: list[Placed], now: Seconds) -> None:
        for placement in placed:
            arrival = self._arrival_by_key[placement.item.key]
            arrival.attempts += 1
            failing = any(
                place.worker in self._failing_workers
                for place in placement.places
            )
            seconds = _FAILURE_DURATION if failing else arrival.seconds
            if not failing:
                wait = now - arrival.at
                self.outcome.waits_by_class[placement.item.class_name].append(
                    wait
                )
            for index, place in enumerate(placement.places):
                key = member_key(placement.item, index)
                self._running[key] = (placement.item, place.worker, now)
            self._schedule(
                now + seconds,
                lambda at, placement=placement, failing=failing: self._end(
                    placement, failing, at
                ),
            )

    def _end(self, placed: Placed, failing: bool, now: Seconds) -> None:
        item = placed.item
        for index, place in enumerate(placed.places):
            key = member_key(item, index)
            started_run = self._running.pop(key, None)
            if started_run is None:
                return
            self._add_usage(item, started_run[2], now)
            self._decider.end(place.worker, key, ok=not failing, now=now)
        if failing:
            self.outcome.failures += 1
            arrival = self._arrival_by_key[item.key]
            item.avoid |= {place.worker for place in placed.places}
            self._schedule(
                now + _RETRY_DELAY, lambda at: self._arrive(arrival, at)
            )
        else:
            self.outcome.done_by_class[item.class_name] += 1
        self._start(self._decider.pump(now), now)

    def _add_usage(self, item: WorkItem, since: Seconds, now: Seconds) -> None:
        counted = max(0, now - max(since, self._measure[0]))
        used = item.size.cores * counted
        self.outcome.used_by_tenant[item.tenant] += used

    def _run_housekeeping(self, now: Seconds) -> None:
        for expired_item in self._decider.expired(now):
            self.outcome.expired_by_class[expired_item.class_name] += 1
        engine = getattr(self._decider, 'engine', None)
        if isinstance(engine, Engine):
            engine.refresh_standing(now)
            engine.earmark_for(now)
            self._preempt(engine, now)
        self._start(self._decider.pump(now), now)
        if self._load and self._measure[0] <= now <= self._measure[1]:
            self._samples.append(self._load())
        self._schedule(now + _HOUSEKEEPING_INTERVAL, self._run_housekeeping)

    def _preempt(self, engine: Engine, now: Seconds) -> None:
        plan = engine.preempt_for(now)
        if plan is None:
            return
        for victim in plan.victims:
            self._schedule(
                now + _STOP_DURATION,
                lambda at, victim=victim: self._stop(engine, victim, at),
            )

    def _stop(self, engine: Engine, victim, now: Seconds) -> None:  # type: ignore[no-untyped-def]
        started_run = self._running.pop(victim.task, None)
        if started_run is None:
            return
        self.outcome.preempted += 1
        engine.give_back(victim.worker, victim.task, Proof.ENDED)
        # The task resumes from its checkpoint.
        arrival = self._arrival_by_key[started_run[0].key]
        arrival.seconds = max(0.1, arrival.seconds - (now - started_run[2]))
        self._arrive(arrival, now)
        self._start(self._decider.pump(now), now)
