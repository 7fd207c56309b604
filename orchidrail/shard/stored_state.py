"""State of a job as recorded in the journal."""

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
    """State of a job that is reported to callers.

    Parameters
    ----------
    phase : JobPhase
    cause : FailureCause
        Why it failed, `FailureCause.NONE` if it did not.
    tenant : str
        Its tenant, empty for the anonymous tenant.
    """

    phase: JobPhase
    cause: FailureCause = FailureCause.NONE
    tenant: TenantId = TenantId('')

    def visible_to(self, tenant: TenantId) -> bool:
        """Whether a tenant may see the job.

        Jobs of the anonymous tenant, as those accepted by versions without
        tenants, are visible to all. An empty `tenant` may see all jobs.
        """
        return not tenant or not self.tenant or tenant == self.tenant


def read_state(
    job_id: JobId,
    value_by_key: dict[str, bytes],
) -> StoredState | None:
    """Return the recorded state of a job, None if there is no such job."""
    if job_key(job_id) not in value_by_key:
        return None
    stored = read_job(job_id, value_by_key)
    record = stored.record
    if isinstance(record, EndedRecord):
        return StoredState(record.phase, record.cause, record.tenant.name)
    started = stored.progress.rows
    phase = JobPhase.RUNNING if started else JobPhase.QUEUED
    return StoredState(phase, tenant=record.tenant.name)
