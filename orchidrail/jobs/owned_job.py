"""A job whose witness this scheduler holds: task groups and retry rules."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

from orchidrail.bundles.model import WorkKind
from orchidrail.jobs.attempts import Attempt, ClaimNote
from orchidrail.types import JobState, TaskState, WorkerId
from orchidrail.wire.messages import JobStatus, TaskReport

if TYPE_CHECKING:
    from orchidrail.jobs.book import JobEntry
    from orchidrail.types import SchedulerId


class AttemptOutcome(Enum):
    """How one attempt of a group ended."""

    FINISHED = 'finished'
    #: A task ran and reported failure.
    FAILED = 'failed'
    #: Certainly not finished: stopped, preempted or never started.
    STOPPED = 'stopped'
    #: Its worker is gone; whether the task finished can't be known.
    LOST = 'lost'


class OutcomeAction(Enum):
    """What to do after an attempt."""

    KEEP = 'keep'
    RETRY = 'retry'
    RETRY_COUNTED = 'retryCounted'
    FAIL = 'fail'
    FAIL_MAY_HAVE_RUN = 'failMayHaveRun'


#: By outcome, and whether tasks of the work class may be repeated.
ACTION_BY_OUTCOME: dict[tuple[AttemptOutcome, bool], OutcomeAction] = {
    (AttemptOutcome.FINISHED, True): OutcomeAction.KEEP,
    (AttemptOutcome.FINISHED, False): OutcomeAction.KEEP,
    (AttemptOutcome.FAILED, True): OutcomeAction.RETRY_COUNTED,
    (AttemptOutcome.FAILED, False): OutcomeAction.FAIL,
    (AttemptOutcome.STOPPED, True): OutcomeAction.RETRY,
    (AttemptOutcome.STOPPED, False): OutcomeAction.RETRY,
    (AttemptOutcome.LOST, True): OutcomeAction.RETRY,
    (AttemptOutcome.LOST, False): OutcomeAction.FAIL_MAY_HAVE_RUN,
}

_OUTCOME_BY_STATE = {
    TaskState.FINISHED: AttemptOutcome.FINISHED,
    TaskState.FAILED: AttemptOutcome.FAILED,
    TaskState.STOPPED: AttemptOutcome.STOPPED,
    TaskState.NEVER_STARTED: AttemptOutcome.STOPPED,
}
#: The worst outcome among its tasks is the outcome of a group.
_SEVERITY = (
    AttemptOutcome.FINISHED,
    AttemptOutcome.STOPPED,
    AttemptOutcome.FAILED,
    AttemptOutcome.LOST,
)


def outcome_of(report: TaskReport | None) -> AttemptOutcome:
    """Return how one task ended; a report of None means a lost worker."""
    if report is None:
        return AttemptOutcome.LOST
    return _OUTCOME_BY_STATE[report.state]


def worst_outcome(outcomes: list[AttemptOutcome]) -> AttemptOutcome:
    """Return the outcome of a whole group.

    Examples
    --------
    >>> worst_outcome(
    ...     [
    ...         AttemptOutcome.FINISHED,
    ...         AttemptOutcome.LOST,
    ...         AttemptOutcome.STOPPED,
    ...     ]
    ... )
    <AttemptOutcome.LOST: 'lost'>
    """
    return max(outcomes, key=_SEVERITY.index)


class TaskGroup:
    """Tasks of a job that are started together; one task unless a gang.

    Attributes
    ----------
    generation, number : int
        Of the current attempt, or else of the last one.
    notes : list of ClaimNote
        Where the tasks of the current attempt may run, by their claims.
    """

    def __init__(self, index: int, size: int) -> None:
        """Start without an attempt."""
        self.index = index
        self.size = size
        self.generation = 0
        self.number = 0
        self.failures = 0
        #: Consecutive attempts that were lost with a worker.
        self.losses = 0
        self.done = False
        self.running = False
        self.notes: list[ClaimNote] = []
        self.checkpoints = ['' for _ in range(size)]
        self.answers: list[str] = []
        #: Workers on which an attempt has failed.
        self.avoid: frozenset[WorkerId] = frozenset()

    def count_failure(self, reports: list[TaskReport | None]) -> None:
        """Count a failed attempt; avoid the workers where tasks failed."""
        self.failures += 1
        self.avoid |= {
            note.worker
            for note, report in zip(self.notes, reports, strict=True)
            if report is not None and report.state is TaskState.FAILED
        }

    def count_loss(self, outcome: AttemptOutcome) -> None:
        """Count consecutive attempts that were lost with a worker."""
        self.losses = self.losses + 1 if outcome is AttemptOutcome.LOST else 0

    def take_reports(
        self,
        reports: list[TaskReport | None],
        *,
        done: bool,
    ) -> None:
        """Store the checkpoints of an attempt, and its answers if done."""
        known = [report for report in reports if report is not None]
        self.done = done
        if done:
            self.answers = [report.answer for report in known]
        for index, report in enumerate(known):
            self.checkpoints[index] = report.checkpoint


class OwnedJob:
    """One job and its task groups.

    Parameters
    ----------
    entry : JobEntry
        State of the job according to the log.
    kind : WorkKind
        A gang is one group; other jobs have one group for each task.
    """

    def __init__(self, entry: JobEntry, kind: WorkKind) -> None:
        """Start without attempts."""
        self.entry = entry
        #: Generation and witness when this scheduler took ownership.
        self.generation = entry.generation
        self.witness = entry.witness
        self.state = JobState.QUEUED
        self.detail = ''
        #: Refused to the caller before its acceptance was durable.
        self.refused = False
        self.cancelling = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        count = entry.spec.count
        if kind is WorkKind.GANG:
            self.groups = [TaskGroup(0, count)]
        else:
            self.groups = [TaskGroup(index, 1) for index in range(count)]

    def recall(self, claims: list[TaskReport]) -> None:
        """Restore the latest attempts from the claims of the witnesses."""
        for claim in claims:
            attempt = Attempt.parse(claim.key)
            if attempt is None:
                continue
            group = self.groups[attempt.group]
            known = (group.generation, group.number)
            found = (attempt.generation, attempt.number)
            if found > known:
                group.generation, group.number = found
                group.notes = []
            note = ClaimNote.parse(claim.note)
            if found >= known and note not in group.notes:
                group.notes.append(note)

    def next_attempt(self, group: TaskGroup) -> Attempt:
        """Begin another attempt of a group and return it."""
        group.number += 1
        group.generation = self.entry.generation
        group.notes = []
        return Attempt(
            self.entry.spec.key,
            group.index,
            group.generation,
            group.number,
        )

    def status(self, owner: SchedulerId) -> JobStatus:
        """Return the status reported to callers."""
        answers = [text for group in self.groups for text in group.answers]
        return JobStatus(
            key=self.entry.spec.key,
            state=self.state,
            running=sum(group.size for group in self.groups if group.running),
            finished=sum(group.size for group in self.groups if group.done),
            failed=sum(group.failures for group in self.groups),
            count=self.entry.spec.count,
            detail=self.detail,
            owner=owner,
            answers=answers,
        )
