"""Tells of tasks that have waited for long, and what keeps workers from them.

A job that lasts is never over, so what its tasks wait for is told meanwhile.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

import structlog

from orchidrail.shard.eligibility import EligibilitySummary, FleetEligibility
from orchidrail.shard.state import ShardState
from orchidrail.shard.worker_contact import longest_silence
from orchidrail.types import JobId, QueueName, Seconds, WorkerId
from orchidrail.work.step import StepState
from orchidrail.work.wait_times import WaitReason

_log = structlog.get_logger()
#: Waits below this are usual where advice is needed.
_LONG: Seconds = 2.0
#: A step's wait is told again after this long.
_TOLD_EVERY: Seconds = 4.0
#: Steps told of at one time, those that have waited longest.
_MOST_TOLD = 10
#: Workers looked at one by one after which no other step is told of: passes
#: wait meanwhile.
_MOST_EXAMINED = 5000
#: Workers that answer are heard more often.
_SILENT: Seconds = 2.0


class TaskStart(Enum):
    """Whether the tasks of a step start together."""

    ALONE = 'alone'
    GANG = 'gang'


class WaitingWork(NamedTuple):
    """What waits in a shard.

    Parameters
    ----------
    steps : list of StepState
        All that have tasks whose turn has come.
    reserved : frozenset of str
        Workers that were kept for some step in the last pass.
    reason_by_job : dict
        What the jobs wait for.
    """

    steps: list[StepState]
    reserved: frozenset[WorkerId]
    reason_by_job: dict[JobId, WaitReason]


class LongWait(NamedTuple):
    """A step some tasks of which have waited for long."""

    step: StepState
    seconds: Seconds
    tasks: int


class LongWaitReporter:
    """Follows the waits of a shard's steps.

    Parameters
    ----------
    state : ShardState
    """

    def __init__(self, state: ShardState) -> None:
        """Start with nothing told."""
        self._state = state
        self._told_at_by_step: dict[str, Seconds] = {}
        #: Queues whose gauge was set; it stays until it is set again.
        self._gauged: set[QueueName] = set()

    def report(self, work: WaitingWork) -> None:
        """Log the longest waits and set the gauges."""
        now = self._state.clock()
        waits = [_wait_of(step, now) for step in work.steps]
        self._gauge(waits)
        long = sorted(
            (wait for wait in waits if wait.seconds >= _LONG),
            key=lambda wait: -wait.seconds,
        )
        due = [wait for wait in long if self._is_due(wait.step, now)]
        fleet = FleetEligibility(
            self._state.tracked_by_worker.values(),
            work.reserved,
            now,
        )
        examined = 0
        for wait in due[:_MOST_TOLD]:
            if examined >= _MOST_EXAMINED:
                break
            self._told_at_by_step[wait.step.key] = now
            survey = fleet.of(wait.step)
            examined += survey.examined
            self._tell(wait, work, survey)
        still = {wait.step.key for wait in long}
        for key in self._told_at_by_step.keys() - still:
            self._told_at_by_step.pop(key)

    def _is_due(self, step: StepState, now: Seconds) -> bool:
        told_at = self._told_at_by_step.get(step.key)
        return told_at is None or now - told_at >= _TOLD_EVERY

    def _tell(
        self,
        wait: LongWait,
        work: WaitingWork,
        survey: EligibilitySummary,
    ) -> None:
        step = wait.step
        reason = work.reason_by_job.get(step.job.job_id)
        _log.info(
            'tasks wait',
            job=step.job.job_id,
            step=step.key,
            queue=step.job.queue.name,
            tasks=wait.tasks,
            seconds=round(wait.seconds, 3),
            reason=reason.value if reason else '',
            starts=_start_of(step).value,
            asking=step.permits.calls_in_flight,
            **self._question(step),
            **self._silence(step),
            **_show(survey),
        )

    def _question(self, step: StepState) -> dict[str, object]:
        """Return for how long and for what a step's oldest question waits."""
        oldest = self._state.pending_advice.oldest_for_step(step.key)
        if oldest is None:
            return {}
        now = self._state.clock()
        return {
            'question': round(now - oldest.since, 3),
            'question_state': oldest.state.value,
            'question_in_state': round(now - oldest.state_since, 3),
        }

    def _silence(self, step: StepState) -> dict[str, object]:
        silence = longest_silence(self._state, step)
        return {'unheard': round(silence, 3)} if silence > _SILENT else {}

    def _gauge(self, waits: Iterable[LongWait]) -> None:
        """Set the longest wait of each queue, 0 where nothing waits."""
        jobs = self._state.job_by_id.values()
        self._gauged.update(job.queue.name for job in jobs)
        longest_by_queue: dict[QueueName, Seconds] = defaultdict(float)
        longest_by_queue.update(dict.fromkeys(self._gauged, 0))
        for wait in waits:
            name = wait.step.job.queue.name
            longest = max(longest_by_queue[name], wait.seconds)
            longest_by_queue[name] = longest
        metrics = self._state.metrics
        for name, seconds in longest_by_queue.items():
            metrics.longest_task_wait.labels(metrics.queue_label(name)).set(
                seconds
            )


def _start_of(step: StepState) -> TaskStart:
    return TaskStart.GANG if step.spec.gang else TaskStart.ALONE


def _show(survey: EligibilitySummary) -> dict[str, object]:
    return {
        'held': survey.held,
        'idle': {
            worker: obstacle.value
            for worker, obstacle in survey.reason_by_idle_worker.items()
        },
        'workers': {
            obstacle.value: count
            for obstacle, count in survey.count_by_reason.most_common()
        },
    }


def _wait_of(step: StepState, now: Seconds) -> LongWait:
    tasks = step.startable()
    since = [
        task.waiting_since for task in tasks if task.waiting_since is not None
    ]
    return LongWait(step, now - min(since, default=now), len(tasks))
