"""Callers whose jobs run until they cancel them."""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import Any

from soak.callers import Callers
from soak.ledger import Ledger, SentJob
from soak.tenants import STEADY

_JOBS_PER_SECOND = 0.3
#: Seconds for which a caller keeps its job.
_KEPT = (8.0, 40.0)
_ASK_EVERY = 1.0
_CANCEL_EVERY = 0.3
#: Seconds of tries, some of them in calm, that end with an acknowledgement.
_CANCELLED_WITHIN = 60.0
#: Statuses by which a caller knows that its job is cancelled.
_CANCELLED = frozenset((200, 410))
#: All but two or three of the workers, half of a rack, or any.
_STEPS: tuple[dict[str, Any], ...] = (
    {'count': 7, 'cpu': 500, 'antiAffinity': 1},
    {'count': 6, 'cpu': 1000, 'antiAffinity': 1},
    {'count': 2, 'cpu': 1000, 'antiAffinity': 1, 'requirements': 'r-0'},
    {'count': 3, 'cpu': 1000},
)
_COMMON = {'memMb': 100, 'estimatedMs': 200, 'longRunning': True}


class LastingCallers:
    """Hands in jobs that last, keeps each for a while, then cancels it.

    Parameters
    ----------
    callers : Callers
        Makes the calls.
    random : random.Random or None
        Draws jobs and how long they are kept; without it there are none.
    """

    def __init__(
        self,
        callers: Callers,
        ledger: Ledger,
        random: Random | None,
    ) -> None:
        """Hand nothing in yet."""
        self._callers = callers
        self._ledger = ledger
        self._random = random
        self._over = asyncio.Event()

    async def run(self) -> None:
        """Hand jobs in until told to leave, and see all of them cancelled."""
        if self._random is None:
            return
        async with asyncio.TaskGroup() as group:
            while not self._over.is_set():
                kept = self._random.uniform(*_KEPT)
                job = self._make_job(self._random)
                group.create_task(self._live_through(job, kept))
                await self._wait(self._random.expovariate(_JOBS_PER_SECOND))

    async def close(self) -> None:
        """Give up all calls in progress."""
        await self._callers.close()

    def leave(self) -> None:
        """Hand in no more, and cancel what there is."""
        self._over.set()

    def _make_job(self, random: Random) -> SentJob:
        job_id = f'{random.getrandbits(64):016x}'
        step = random.choice(_STEPS) | _COMMON
        job = SentJob(job_id, f'text-{job_id}', [step], tenant=STEADY)
        self._ledger.job_by_id[job_id] = job
        return job

    async def _live_through(self, job: SentJob, kept: float) -> None:
        leaves = time.monotonic() + kept
        await self._callers.submit(job)
        while job.accepted and not self._over.is_set():
            if time.monotonic() > leaves:
                break
            await self._callers.ask(job)
            await self._wait(_ASK_EVERY)
        if job.accepted or job.doubtful:
            await self._cancel(job)

    async def _cancel(self, job: SentJob) -> None:
        until = time.monotonic() + _CANCELLED_WITHIN
        while await self._callers.cancel(job) not in _CANCELLED:
            if time.monotonic() > until:
                self._ledger.breach('ACKS', f'{job.job_id} is not cancelled')
                return
            await asyncio.sleep(_CANCEL_EVERY)

    async def _wait(self, seconds: float) -> None:
        """Wait for some time, or until told to leave."""
        wait = asyncio.ensure_future(self._over.wait())
        await asyncio.wait([wait], timeout=seconds)
        wait.cancel()
