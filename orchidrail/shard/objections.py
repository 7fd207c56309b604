"""Why a job is not taken, where that is known as it comes."""

from __future__ import annotations

from typing import NamedTuple

import structlog

from orchidrail.shard.state import ShardState
from orchidrail.shard.stored import StoredState
from orchidrail.types import Seconds, WorkCode
from orchidrail.work.model import JobSpec, StepSpec
from orchidrail.work.size import Size
from orchidrail.work.tenant import Tenant

_log = structlog.get_logger()


class Objection(NamedTuple):
    """Why a job is refused; nothing of it will ever run.

    Parameters
    ----------
    code : WorkCode
    retry_after : float
        Seconds after which it may be taken; 0 if no time helps.
    """

    code: WorkCode
    retry_after: Seconds = 0


def object_to_known(known: StoredState, tenant: Tenant) -> Objection | None:
    """Return why a job that comes again is refused: it is another tenant's."""
    if known.tenant and known.tenant != tenant.name:
        return Objection(WorkCode.OTHERS_JOB)
    return None


class Objections:
    """Looks for reasons to refuse new jobs.

    Parameters
    ----------
    state : ShardState
    """

    def __init__(self, state: ShardState) -> None:
        """Go by the limits in force."""
        self._state = state

    def find(self, spec: JobSpec, tenant: Tenant) -> Objection | None:
        """Return why a job can't be taken, if there is a reason.

        A task, or a gang, above its tenant's limit would wait for ever; its
        caller is told at once. One that was accepted before the limit fell
        below it stays: the limit may rise again.
        """
        current = self._state.ledger.current(tenant)
        for number, step in enumerate(spec.steps):
            at_once = size_at_once(step)
            if not current.ever_fits(at_once):
                _log.info(
                    'job never fits its tenant',
                    tenant=tenant.name,
                    step=number,
                    needs=at_once,
                    maximum=current.maximum,
                )
                return Objection(WorkCode.NEVER_FITS)
        return None


def size_at_once(step: StepSpec) -> Size:
    """Return the least of a step that runs at one time.

    Examples
    --------
    >>> size_at_once(StepSpec(3, Size(10, 5), gang=True))
    Size(millicores=30, megabytes=15, accelerators=0)
    """
    count = step.count if step.gang else 1
    return Size(*(count * part for part in step.size))
