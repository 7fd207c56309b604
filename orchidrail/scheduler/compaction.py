"""Appends again what the log's retention would drop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from orchidrail.bundles.records import encode_record as encode_bundle_record
from orchidrail.jitter import jitter
from orchidrail.jobs.records import encode_record
from orchidrail.types import JobId, Seconds

if TYPE_CHECKING:
    from orchidrail.scheduler.daemon import SchedulerDaemon

#: Share of the retention after which records are appended again.
_RENEW_AT = 0.5
#: The same for jobs that another scheduler should have appended again.
_RENEW_OTHERS_AT = 0.65
#: Rounds in one retention period.
_ROUNDS = 20
_PATIENCE: Seconds = 10
_BUNDLE_STREAM = 'bundle'


class Compactor:
    """Keeps open jobs and the bundle in force in the log.

    Any instance may append: rounds are spread, and doubles are harmless.
    """

    def __init__(self, daemon: SchedulerDaemon) -> None:
        """Belong to a daemon."""
        self._daemon = daemon

    async def run(self) -> None:
        """Look for what is old until cancelled."""
        random = self._daemon.ports.random
        period = self._daemon.settings.timings.retention / _ROUNDS
        while True:
            await asyncio.sleep(jitter(random, period))
            await self.renew()

    async def renew(self) -> None:
        """Append again what is older than half of the retention."""
        await self._renew_jobs()
        await self._renew_bundle()

    async def _renew_jobs(self) -> None:
        book = self._daemon.book
        records = [
            encode_record(book.entry_by_job[job].as_record())
            for job in tuple(book.open_jobs)
            if self._is_due(job)
        ]
        # An end must be told again after an acceptance that came late.
        records.extend(
            encode_record(ended)
            for job in tuple(book.outdated)
            if (ended := book.entry_by_job[job].ended) is not None
        )
        commits = (
            self._daemon.commit.commit(record, _PATIENCE) for record in records
        )
        await asyncio.gather(*commits)

    def _is_due(self, job: JobId) -> bool:
        """Tell whether to append an open job again: first of all, its owner."""
        entry = self._daemon.book.entry_by_job[job]
        if job in self._daemon.book.outdated:
            return True
        age = self._daemon.ports.wall_clock() - entry.kept_at
        mine = job in self._daemon.runner.owned_by_job
        share = _RENEW_AT if mine else _RENEW_OTHERS_AT
        return age > share * self._daemon.settings.timings.retention

    async def _renew_bundle(self) -> None:
        daemon = self._daemon
        snapshot = daemon.bundle.snapshot()
        age = daemon.ports.wall_clock() - daemon.bundle.kept_at
        limit = _RENEW_AT * daemon.settings.timings.retention
        if snapshot is not None and age > limit:
            record = encode_bundle_record(snapshot)
            await daemon.ports.log.append(_BUNDLE_STREAM, record)
