"""Re-appends records before the log's retention drops them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from orchidrail.bundles.records import encode_record as encode_bundle_record
from orchidrail.jitter import jitter
from orchidrail.jobs.records import encode_record
from orchidrail.types import JobId, Seconds

if TYPE_CHECKING:
    from orchidrail.scheduler.daemon import SchedulerDaemon

#: Age, as a share of the retention, at which records are re-appended.
_REAPPEND_AGE_SHARE = 0.5
#: The same for jobs owned by another scheduler, which re-appends first.
_REAPPEND_OTHERS_AGE_SHARE = 0.65
#: Re-append rounds in one retention period.
_ROUNDS_PER_RETENTION = 20
_COMMIT_TIMEOUT: Seconds = 10
_BUNDLE_STREAM = 'bundle'


class Compactor:
    """Keeps open jobs and the current bundle in the log.

    Any scheduler may re-append: rounds are jittered, and duplicates are
    harmless.
    """

    def __init__(self, daemon: SchedulerDaemon) -> None:
        """Create a compactor for a daemon."""
        self._daemon = daemon

    async def run(self) -> None:
        """Re-append old records periodically until cancelled."""
        random = self._daemon.ports.random
        period = self._daemon.settings.timings.retention / _ROUNDS_PER_RETENTION
        while True:
            await asyncio.sleep(jitter(random, period))
            await self.renew()

    async def renew(self) -> None:
        """Re-append records whose age exceeds their share of the retention."""
        await self._reappend_jobs()
        await self._reappend_bundle()

    async def _reappend_jobs(self) -> None:
        book = self._daemon.book
        records = [
            encode_record(book.entry_by_job[job].as_record())
            for job in tuple(book.open_jobs)
            if self._is_due(job)
        ]
        # An end is appended again if a late acceptance follows it.
        records.extend(
            encode_record(ended)
            for job in tuple(book.outdated)
            if (ended := book.entry_by_job[job].ended) is not None
        )
        commits = (
            self._daemon.commit.commit(record, _COMMIT_TIMEOUT)
            for record in records
        )
        await asyncio.gather(*commits)

    def _is_due(self, job: JobId) -> bool:
        """Return whether to re-append an open job; its owner does so first."""
        entry = self._daemon.book.entry_by_job[job]
        if job in self._daemon.book.outdated:
            return True
        age = self._daemon.ports.wall_clock() - entry.kept_at
        is_owner = job in self._daemon.runner.owned_by_job
        share = _REAPPEND_AGE_SHARE if is_owner else _REAPPEND_OTHERS_AGE_SHARE
        return age > share * self._daemon.settings.timings.retention

    async def _reappend_bundle(self) -> None:
        daemon = self._daemon
        snapshot = daemon.bundle.snapshot()
        age = daemon.ports.wall_clock() - daemon.bundle.kept_at
        limit = _REAPPEND_AGE_SHARE * daemon.settings.timings.retention
        if snapshot is not None and age > limit:
            record = encode_bundle_record(snapshot)
            await daemon.ports.log.append(_BUNDLE_STREAM, record)
