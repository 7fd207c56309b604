"""Maps points of failure and task states to verdicts."""

from __future__ import annotations

from enum import Enum

import msgspec

from orchidrail.types import (
    CallFailure,
    RefusalCode,
    Seconds,
    TaskState,
    Verdict,
)


class FailurePoint(Enum):
    """Stage at which an attempt ended without an answer.

    Examples
    --------
    >>> VERDICT_BY_POINT[FailurePoint.ANSWER_LOST]
    <Verdict.MAY_HAVE_RUN: 'mayHaveRun'>
    """

    #: The scheduler refused or is unreachable; a grant alone runs nothing.
    NO_GRANT = 'noGrant'
    START_NOT_SENT = 'startNotSent'
    START_REFUSED = 'startRefused'
    ANSWER_LOST = 'answerLost'
    STOPPED = 'stopped'
    DEADLINE_BEFORE_START = 'deadlineBeforeStart'
    DEADLINE_AFTER_START = 'deadlineAfterStart'


#: Verdict for each stage at which an attempt may fail.
VERDICT_BY_POINT: dict[FailurePoint, Verdict] = {
    FailurePoint.NO_GRANT: Verdict.NOT_RUN,
    FailurePoint.START_NOT_SENT: Verdict.NOT_RUN,
    FailurePoint.START_REFUSED: Verdict.NOT_RUN,
    FailurePoint.ANSWER_LOST: Verdict.MAY_HAVE_RUN,
    FailurePoint.STOPPED: Verdict.MAY_HAVE_RUN,
    FailurePoint.DEADLINE_BEFORE_START: Verdict.NOT_RUN,
    FailurePoint.DEADLINE_AFTER_START: Verdict.MAY_HAVE_RUN,
}

POINT_BY_FAILURE: dict[CallFailure, FailurePoint] = {
    CallFailure.NOT_SENT: FailurePoint.START_NOT_SENT,
    CallFailure.ANSWER_LOST: FailurePoint.ANSWER_LOST,
}

#: Verdict on a key, by the task state that its worker reports.
VERDICT_BY_STATE: dict[TaskState, Verdict] = {
    TaskState.FINISHED: Verdict.RAN,
    TaskState.FAILED: Verdict.RAN,
    TaskState.STOPPED: Verdict.MAY_HAVE_RUN,
    TaskState.RUNNING: Verdict.MAY_HAVE_RUN,
    TaskState.MARKER: Verdict.MAY_HAVE_RUN,
    TaskState.NEVER_STARTED: Verdict.NOT_RUN,
    TaskState.REFUSED: Verdict.MAY_HAVE_RUN,
}


class Reply(msgspec.Struct, frozen=True):
    """Final reply to a caller's request.

    Parameters
    ----------
    verdict : Verdict
    code : RefusalCode or None
        Refusal code, None if the worker reported the task state.
    failed : bool
        True if the worker reported a state other than finished.
    retry_after : float
        Seconds after which to retry; 0 if a retry is not advised.
    """

    verdict: Verdict
    answer: str = ''
    code: RefusalCode | None = None
    detail: str = ''
    failed: bool = False
    retry_after: Seconds = 0
