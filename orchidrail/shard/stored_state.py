"""What a journal tells of one job, to whoever asks."""

from __future__ import annotations

from typing import NamedTuple

from orchidrail.types import JobId, TenantId
from orchidrail.work.records import (
    EndedRecord,
    FailureCause,
    JobPhase,
    job_key,
    read_job,
)


class StoredState(NamedTuple):
    """A job's state.

    Parameters
    ----------
    phase : JobPhase
    cause : FailureCause
        Why it was given up, if it was.
    tenant : str
        Whose it is, empty for nobody's in particular.
    """

    phase: JobPhase
    cause: FailureCause = FailureCause.NONE
    tenant: TenantId = TenantId('')

    def visible_to(self, tenant: TenantId) -> bool:
        """Whether somebody may be told of the job.

        Jobs accepted before there were tenants are everybody's; `tenant` is
        empty for who may ask for any.
        """
        return not tenant or not self.tenant or tenant == self.tenant


def read_state(
    job_id: JobId,
    value_by_key: dict[str, bytes],
) -> StoredState | None:
    """Return a job's state as a journal has it, None if it has no such job."""
    if job_key(job_id) not in value_by_key:
        return None
    stored = read_job(job_id, value_by_key)
    record = stored.record
    if isinstance(record, EndedRecord):
        return StoredState(record.phase, record.cause, record.tenant.name)
    begun = stored.progress.rows
    phase = JobPhase.RUNNING if begun else JobPhase.QUEUED
    return StoredState(phase, tenant=record.tenant.name)
