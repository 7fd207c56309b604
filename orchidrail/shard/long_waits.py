"""Logs tasks that have waited for long, and why workers are ineligible.

A long-running job never ends, so its wait reasons have to be logged while it
runs.
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
#: Shorter waits are normal where advice is needed.
_MIN_LOGGED_WAIT: Seconds = 2.0
#: Minimum interval between two log lines on the same step.
_LOG_INTERVAL: Seconds = 4.0
#: Maximum number of steps logged in one report, longest waits first.
_MAX_LOGGED_STEPS = 10
#: No further step is logged once this many workers have been examined one by
#: one, since placement passes are delayed meanwhile.
_MAX_EXAMINED = 5000
#: Silence that is logged; responsive workers answer more often.
_MIN_LOGGED_SILENCE: Seconds = 2.0


class TaskStart(Enum):
    """Whether the tasks of a step start together."""

    ALONE = 'alone'
    GANG = 'gang'


class WaitingWork(NamedTuple):
    """Waiting steps of a shard, and findings of the last pass.

    Parameters
    ----------
    steps : list of StepState
        All that have startable tasks.
    reserved : frozenset of str
        Workers that were reserved for some step in the last pass.
    reason_by_job : dict
        Why each job waits.
    """

    steps: list[StepState]
    reserved: frozenset[WorkerId]
    reason_by_job: dict[JobId, WaitReason]


class LongWait(NamedTuple):
    """The longest wait among the tasks of a step."""

    step: StepState
    seconds: Seconds
    tasks: int


class LongWaitReporter:
    """Tracks and logs the waits of a shard's steps.

    Parameters
    ----------
    state : ShardState
    """

    def __init__(self, state: ShardState) -> None:
        """Create a reporter that has logged nothing yet."""
        self._state = state
        self._logged_at_by_step: dict[str, Seconds] = {}
        #: Queues whose gauge was set; it keeps its value until set again.
        self._gauged_queues: set[QueueName] = set()

    def report(self, work: WaitingWork) -> None:
        """Log the longest waits and set the gauges."""
        now = self._state.clock()
        waits = [_measure_wait(step, now) for step in work.steps]
        self._update_gauges(waits)
        long_waits = sorted(
            (wait for wait in waits if wait.seconds >= _MIN_LOGGED_WAIT),
            key=lambda wait: -wait.seconds,
        )
        due = [wait for wait in long_waits if self._is_due(wait.step, now)]
        fleet = FleetEligibility(
            self._state.tracked_by_worker.values(),
            work.reserved,
            now,
        )
        examined = 0
        for wait in due[:_MAX_LOGGED_STEPS]:
            if examined >= _MAX_EXAMINED:
                break
            self._logged_at_by_step[wait.step.key] = now
            summary = fleet.summarize(wait.step)
            examined += summary.examined
            self._log_wait(wait, work, summary)
        still_long = {wait.step.key for wait in long_waits}
        for key in self._logged_at_by_step.keys() - still_long:
            self._logged_at_by_step.pop(key)

    def _is_due(self, step: StepState, now: Seconds) -> bool:
        logged_at = self._logged_at_by_step.get(step.key)
        return logged_at is None or now - logged_at >= _LOG_INTERVAL

    def _log_wait(
        self,
        wait: LongWait,
        work: WaitingWork,
        summary: EligibilitySummary,
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
            starts=_task_start(step).value,
            asking=step.permits.calls_in_flight,
            **self._describe_advice_request(step),
            **self._describe_silence(step),
            **_describe_eligibility(summary),
        )

    def _describe_advice_request(self, step: StepState) -> dict[str, object]:
        """Return the age and state of a step's oldest advice request."""
        oldest = self._state.pending_advice.oldest_for_step(step.key)
        if oldest is None:
            return {}
        now = self._state.clock()
        return {
            'question': round(now - oldest.since, 3),
            'question_state': oldest.state.value,
            'question_in_state': round(now - oldest.state_since, 3),
        }

    def _describe_silence(self, step: StepState) -> dict[str, object]:
        silence = longest_silence(self._state, step)
        return (
            {'unheard': round(silence, 3)}
            if silence > _MIN_LOGGED_SILENCE
            else {}
        )

    def _update_gauges(self, waits: Iterable[LongWait]) -> None:
        """Set the longest wait of each queue, 0 where nothing waits."""
        jobs = self._state.job_by_id.values()
        self._gauged_queues.update(job.queue.name for job in jobs)
        longest_by_queue: dict[QueueName, Seconds] = defaultdict(float)
        longest_by_queue.update(dict.fromkeys(self._gauged_queues, 0))
        for wait in waits:
            name = wait.step.job.queue.name
            longest = max(longest_by_queue[name], wait.seconds)
            longest_by_queue[name] = longest
        metrics = self._state.metrics
        for name, seconds in longest_by_queue.items():
            metrics.longest_task_wait.labels(metrics.queue_label(name)).set(
                seconds
            )


def _task_start(step: StepState) -> TaskStart:
    return TaskStart.GANG if step.spec.gang else TaskStart.ALONE


def _describe_eligibility(summary: EligibilitySummary) -> dict[str, object]:
    return {
        'held': summary.held,
        'idle': {
            worker: reason.value
            for worker, reason in summary.reason_by_idle_worker.items()
        },
        'workers': {
            reason.value: count
            for reason, count in summary.count_by_reason.most_common()
        },
    }


def _measure_wait(step: StepState, now: Seconds) -> LongWait:
    tasks = step.startable()
    since = [
        task.waiting_since for task in tasks if task.waiting_since is not None
    ]
    return LongWait(step, now - min(since, default=now), len(tasks))
