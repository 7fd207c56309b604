"""State of a job as recorded in the journal."""

from __future__ import annotations

from typing import NamedTuple

from orchidrail.types import JobId, TenantId
from orchidrail.work.records import (
    EndedRecord,
    FailureCause,
    JobPhase,
    decode_job,
    has_progress,
    job_key,
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
    raw = value_by_key.get(job_key(job_id))
    if raw is None:
        return None
    record = decode_job(raw)
    if isinstance(record, EndedRecord):
        return StoredState(record.phase, record.cause, record.tenant.name)
    started = has_progress(job_id, value_by_key)
    phase = JobPhase.RUNNING if started else JobPhase.QUEUED
    return StoredState(phase, tenant=record.tenant.name)
