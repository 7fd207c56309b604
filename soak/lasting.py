"""Callers of long-running jobs, which run until they are cancelled."""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import Any

from soak.callers import Callers
from soak.ledger import Ledger, SentJob
from soak.tenants import STEADY_TENANT

_JOBS_PER_SECOND = 0.3
#: Seconds after which a caller cancels its job.
_JOB_DURATION_RANGE = (8.0, 40.0)
_POLL_INTERVAL = 1.0
_CANCEL_INTERVAL = 0.3
#: Seconds in which a retried cancel must be acknowledged; they include a
#: fault-free phase.
_CANCEL_TIMEOUT = 60.0
#: Statuses that acknowledge a cancel.
_CANCELLED_STATUSES = frozenset((200, 410))
#: Steps that need most of the workers, workers of one label, or any workers.
_STEPS: tuple[dict[str, Any], ...] = (
    {'count': 7, 'cpu': 500, 'antiAffinity': 1},
    {'count': 6, 'cpu': 1000, 'antiAffinity': 1},
    {'count': 2, 'cpu': 1000, 'antiAffinity': 1, 'requirements': 'r-0'},
    {'count': 3, 'cpu': 1000},
)
_COMMON = {'memMb': 100, 'estimatedMs': 200, 'longRunning': True}


class LastingCallers:
    """Submits long-running jobs and cancels each after a while.

    Parameters
    ----------
    callers : Callers
        Sends the requests.
    random : random.Random or None
        Draws jobs and their durations; without it no job is submitted.
    """

    def __init__(
        self,
        callers: Callers,
        ledger: Ledger,
        random: Random | None,
    ) -> None:
        """Submit nothing yet."""
        self._callers = callers
        self._ledger = ledger
        self._random = random
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Submit jobs until `stop`, then wait until all are cancelled."""
        if self._random is None:
            return
        async with asyncio.TaskGroup() as group:
            while not self._stopping.is_set():
                duration = self._random.uniform(*_JOB_DURATION_RANGE)
                job = self._make_job(self._random)
                group.create_task(self._run_lifecycle(job, duration))
                await self._wait(self._random.expovariate(_JOBS_PER_SECOND))

    async def close(self) -> None:
        """Cancel all calls in flight."""
        await self._callers.close()

    def stop(self) -> None:
        """Submit no more jobs and cancel the open ones."""
        self._stopping.set()

    def _make_job(self, random: Random) -> SentJob:
        job_id = f'{random.getrandbits(64):016x}'
        step = random.choice(_STEPS) | _COMMON
        job = SentJob(job_id, f'text-{job_id}', [step], tenant=STEADY_TENANT)
        self._ledger.job_by_id[job_id] = job
        return job

    async def _run_lifecycle(self, job: SentJob, duration: float) -> None:
        cancel_at = time.monotonic() + duration
        await self._callers.submit(job)
        while job.accepted and not self._stopping.is_set():
            if time.monotonic() > cancel_at:
                break
            await self._callers.poll(job)
            await self._wait(_POLL_INTERVAL)
        if job.accepted or job.uncertain:
            await self._cancel(job)

    async def _cancel(self, job: SentJob) -> None:
        until = time.monotonic() + _CANCEL_TIMEOUT
        while await self._callers.cancel(job) not in _CANCELLED_STATUSES:
            if time.monotonic() > until:
                self._ledger.report_violation(
                    'ACKS', f'{job.job_id} is not cancelled'
                )
                return
            await asyncio.sleep(_CANCEL_INTERVAL)

    async def _wait(self, seconds: float) -> None:
        """Wait for some seconds, or until `stop`."""
        wait = asyncio.ensure_future(self._stopping.wait())
        await asyncio.wait([wait], timeout=seconds)
        wait.cancel()
