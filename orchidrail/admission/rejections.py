"""Rejections of jobs."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from orchidrail.types import Seconds, WorkCode
from orchidrail.work.tenant import Tenant


class Rejection(NamedTuple):
    """Why a job is rejected; no part of it will ever run.

    Parameters
    ----------
    code : WorkCode
    retry_after : float
        Seconds after which it may be accepted; 0 if waiting does not help.
    """

    code: WorkCode
    retry_after: Seconds = 0


class KnownJob(Protocol):
    """A job that the shard knows."""

    @property
    def tenant(self) -> str:
        """Name of its tenant, empty if anybody may see it."""


def check_known_job(known: KnownJob, tenant: Tenant) -> Rejection | None:
    """Reject a resubmitted job that belongs to another tenant."""
    if known.tenant and known.tenant != tenant.name:
        return Rejection(WorkCode.ID_CONFLICT)
    return None
