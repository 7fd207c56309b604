"""Simulated callers that submit, poll and cancel jobs."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from random import Random
from typing import Any

import aiohttp

from soak.ledger import Failing, Ledger, SentJob
from soak.tenants import Operator

_HOST = 'queue.example'
#: Path prefixes of the queues without and with advice.
_PREFIXES = 'q', 'advised'
_DEADLINE_SECONDS = 3.0
_MAX_TRIES = 4
#: Pause before another try, where the answer names none, and the longest one.
_RETRY_PAUSE = 0.2
_MAX_RETURN = 5.0
_POLL_INTERVAL = 0.4
_CRASHING_SHARE = 0.02
_ALWAYS_FAILING_SHARE = 0.05
#: Share of the jobs that ask for accelerators.
_ACCELERATED_SHARE = 0.4
#: Share of the jobs that go to the queue with advice.
_ADVISED_SHARE = 0.2
#: Share of the jobs before which a call with an unknown key is made.
_UNKNOWN_KEY_SHARE = 0.1
_STEPS: tuple[list[dict[str, Any]], ...] = (
    [{'count': 2, 'cpu': 2000, 'memMb': 100, 'estimatedMs': 300}],
    [{'count': 1, 'cpu': 1000, 'memMb': 100, 'estimatedMs': 100}],
    [
        {'count': 3, 'cpu': 3000, 'memMb': 100, 'estimatedMs': 800},
        {
            'count': 2,
            'cpu': 1000,
            'memMb': 100,
            'estimatedMs': 500,
            'afterRevision': [0],
        },
    ],
    [
        {
            'count': 3,
            'cpu': 5000,
            'memMb': 100,
            'estimatedMs': 900,
            'gangScheduled': True,
        }
    ],
)
_ACCELERATED_STEPS: tuple[list[dict[str, Any]], ...] = (
    [
        {
            'count': 4,
            'cpu': 1000,
            'memMb': 16_000,
            'gpu': 1,
            'estimatedMs': 1000,
        }
    ],
    [{'count': 2, 'cpu': 500, 'memMb': 100, 'gpu': 4, 'estimatedMs': 300}],
    # Two workers have this label and accelerators; each has capacity for one
    # task.
    [
        {
            'count': 3,
            'cpu': 4000,
            'memMb': 32_000,
            'gpu': 4,
            'estimatedMs': 500,
            'requirements': 'r-1',
        }
    ],
    # Each member of the gang uses all accelerators of a worker.
    [
        {
            'count': 2,
            'cpu': 2000,
            'memMb': 8000,
            'gpu': 4,
            'estimatedMs': 800,
            'gangScheduled': True,
        }
    ],
    [
        {
            'count': 4,
            'cpu': 1000,
            'memMb': 8000,
            'gpu': 2,
            'estimatedMs': 600,
            'gangScheduled': True,
        },
        {
            'count': 1,
            'cpu': 1000,
            'memMb': 100,
            'gpu': 1,
            'estimatedMs': 200,
            'afterRevision': [0],
        },
    ],
)


def _return_time(response: aiohttp.ClientResponse) -> float:
    """Return the seconds after which to retry, as the response says."""
    told = response.headers.get('Retry-After', '')
    return min(float(told), _MAX_RETURN) if told.isdigit() else _RETRY_PAUSE


class Callers:
    """Submits jobs at a given rate to addresses chosen at random."""

    def __init__(
        self,
        addresses: list[str],
        ledger: Ledger,
        random: Random,
        crashing: Random | None,
        operator: Operator,
        tenants: Random,
        variants: Random | None = None,
    ) -> None:
        """Create the HTTP session; connections are opened on demand.

        Without `crashing` no job crashes workers. Without `variants` no job
        fails, requests accelerators or needs advice.
        """
        self._variants = variants
        self._operator = operator
        self._tenants = tenants
        self.endings: Counter[str] = Counter()
        self._addresses = addresses
        self._ledger = ledger
        self._random = random
        self._crashing = crashing
        self._tasks: set[asyncio.Task[None]] = set()
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_DEADLINE_SECONDS),
        )

    async def run(self, until: float, per_second: float) -> None:
        """Submit jobs until a time of the monotonic clock."""
        while time.monotonic() < until:
            self._spawn(self._run_lifecycle(self._make_job()))
            await asyncio.sleep(self._random.expovariate(per_second))

    async def wait_until_ended(self, within: float) -> None:
        """Poll accepted jobs until all have ended, for `within` seconds."""
        until = time.monotonic() + within
        while time.monotonic() < until and self._open_jobs():
            await asyncio.gather(*(self.poll(job) for job in self._open_jobs()))
            await asyncio.sleep(_POLL_INTERVAL)

    async def close(self) -> None:
        """Cancel all calls in flight and close the session."""
        for task in self._tasks:
            task.cancel()
        await self._session.close()

    def _open_jobs(self) -> list[SentJob]:
        return [
            job
            for job in self._ledger.job_by_id.values()
            if job.accepted
            and not job.cancel_sent
            and not job.ended_as_expected
        ]

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _make_job(self) -> SentJob:
        job_id = f'{self._random.getrandbits(64):016x}'
        steps = self._random.choice(_STEPS)
        # A separate generator, so that older seeds reproduce the same run.
        crashing = False
        if self._crashing is not None and self._ledger.fault_free_since is None:
            crashing = self._crashing.random() < _CRASHING_SHARE
        job = SentJob(job_id, f'text-{job_id}', steps, crashing)
        if self._variants is not None:
            self._draw_variant(job, self._variants)
        job.tenant = self._operator.draw_tenant(self._tenants)
        self._ledger.job_by_id[job_id] = job
        return job

    def _draw_variant(self, job: SentJob, random: Random) -> None:
        """Draw the failures, the resources and the queue of a job."""
        job.failing = Failing.SOMETIMES
        if random.random() < _ALWAYS_FAILING_SHARE:
            job.failing = Failing.ALWAYS
        if random.random() < _ACCELERATED_SHARE:
            job.steps = random.choice(_ACCELERATED_STEPS)
        # Advice may permit none of the workers that have a label.
        labelled = any('requirements' in step for step in job.steps)
        job.advised = random.random() < _ADVISED_SHARE and not labelled

    async def _run_lifecycle(self, job: SentJob) -> None:
        if job.tenant and self._tenants.random() < _UNKNOWN_KEY_SHARE:
            await self._try_unknown_key(job)
        await self.submit(job)
        if job.accepted and self._random.random() < 0.06:
            await asyncio.sleep(self._random.uniform(0, 1))
            await self.cancel(job)
        while (
            job.accepted and not job.cancel_sent and not job.ended_as_expected
        ):
            await asyncio.sleep(_POLL_INTERVAL)
            await self.poll(job)

    async def _try_unknown_key(self, job: SentJob) -> None:
        """Call the queue of a job with a key that was never issued."""
        status = await self._call('DELETE', job, key='no-such-key')
        self.endings[f'false key {status}'] += 1
        if status not in {401, 503, 0, -1}:
            self._ledger.report_violation(
                'ROUTE', f'a call with an unknown key got {status}'
            )

    async def check_keys(self, revoked: list[str]) -> None:
        """Check on each instance that revoked keys get 401 and a valid one not.

        Must be called while no faults are injected.
        """
        job = SentJob('0' * 16, '', [])
        for address in self._addresses:
            for key, served in (
                *((key, False) for key in revoked),
                (self._operator.key_of('small'), True),
            ):
                status = await self._call('GET', job, key=key, address=address)
                if (status == 401) is served:
                    detail = f'{key} got {status} at {address}'
                    self._ledger.report_violation('CONFIG', detail)

    async def submit(self, job: SentJob) -> None:
        """Submit a job, with a limited number of tries."""
        body = {'spec': job.text, 'phases': job.steps}
        for _ in range(_MAX_TRIES):
            status = await self._call('POST', job, body)
            self.endings[f'submit {status}'] += 1
            if status == 200:
                job.accepted = True
                job.accepted_at = time.monotonic()
                return
            rejected = status in {429, 503, -1}
            # The key may have been revoked after it was read.
            rejected = rejected or (status == 401 and bool(job.tenant))
            if status == 404:
                self._ledger.report_violation('CONFIG', f'{job.job_id} got 404')
            job.uncertain = job.uncertain or not rejected
            await asyncio.sleep(job.return_in)

    async def cancel(self, job: SentJob) -> int:
        """Send one cancel request for a job; return the status."""
        job.cancel_sent = True
        job.cancel_sent_at = job.cancel_sent_at or time.monotonic()
        status = await self._call('DELETE', job)
        self.endings[f'cancel {status}'] += 1
        # After 410, a job that was not accepted yet may still be in flight.
        if status == 200 or (status == 410 and job.accepted):
            job.cancelled_at = time.monotonic()
        return status

    async def poll(self, job: SentJob) -> None:
        """Request the state of a job once."""
        await self._call('GET', job)

    async def _call(
        self,
        method: str,
        job: SentJob,
        body: dict[str, Any] | None = None,
        key: str = '',
        address: str = '',
    ) -> int:
        """Return the status, 0 without a response, -1 if not connected."""
        address = address or self._random.choice(self._addresses)
        key = key or self._operator.key_of(job.tenant)
        headers = {
            'Authorization': f'Bearer {key}',
            'Host': _HOST,
            'X-Orchidrail-Deadline-Ms': str(int(_DEADLINE_SECONDS * 1000)),
            'Content-Type': 'application/json',
        }
        try:
            async with self._session.request(
                method,
                f'http://{address}/{_PREFIXES[job.advised]}/{job.job_id}',
                data=json.dumps(body) if body else None,
                headers=headers,
            ) as response:
                raw = await response.read()
                job.return_in = _return_time(response)
        except aiohttp.ClientConnectorError:
            return -1
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return 0
        if method == 'GET':
            state = json.loads(raw)['state'] if response.status == 200 else ''
            self._ledger.check_state(job, response.status, state)
        return response.status
