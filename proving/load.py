"""Callers of the virtual cell, and what they remember."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from result import Ok

from orchidrail.gateway.bodies import JobBody, RequestBody
from orchidrail.gateway.daemon import BadInputError
from orchidrail.types import (
    FINAL_JOB_STATES,
    ClassName,
    JobId,
    JobState,
    Seconds,
    TenantId,
    Verdict,
)
from proving.cell import ZONES

if TYPE_CHECKING:
    from proving.cell import GatewayNode, VirtualCell

TENANT = TenantId('lafreniere')
_REQUEST_GAP: Seconds = 0.12
_JOB_GAP: Seconds = 1.5
_FOLLOW: Seconds = 2
_TWICE_SHARE = 0.15


@dataclass
class Asked:
    """One request or job, with every reply that its caller got."""

    class_name: str
    payload: str
    key: str = ''
    sent_at: Seconds = 0
    verdicts: list[Verdict] = field(default_factory=list)
    answers: list[str] = field(default_factory=list)
    details: list[str] = field(default_factory=list)
    accepted: bool = False
    count: int = 1
    state: JobState | None = None


class Load:
    """Sends a mix of work through the gateways until told to stop.

    Parameters
    ----------
    cell : VirtualCell
    seconds : float
        How long to go on sending.
    """

    def __init__(self, cell: VirtualCell, seconds: Seconds) -> None:
        self.asked: list[Asked] = []
        self._cell = cell
        self._random = cell.random
        self._end = cell.now() + seconds
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send until the end, then wait for what is under way."""
        following = asyncio.create_task(self._follow_jobs())
        await asyncio.gather(self._send_requests(), self._send_jobs())
        await asyncio.gather(*self._tasks)
        following.cancel()

    def jobs(self) -> list[Asked]:
        """Return the jobs that were accepted."""
        return [asked for asked in self.asked if asked.accepted]

    async def refresh(self) -> bool:
        """Ask for the accepted jobs; return whether all have ended."""
        for asked in self.jobs():
            if asked.state not in FINAL_JOB_STATES:
                await self._refresh_job(asked)
        return all(asked.state in FINAL_JOB_STATES for asked in self.jobs())

    async def _follow_jobs(self) -> None:
        """Ask for jobs as callers do: their ends are kept for a while only."""
        while True:
            await asyncio.sleep(_FOLLOW)
            await self.refresh()

    async def _send_requests(self) -> None:
        while self._cell.now() < self._end:
            await asyncio.sleep(self._random.expovariate(1 / _REQUEST_GAP))
            if self._random.random() < 0.5:
                self._spawn(self._ask_once())
            else:
                self._spawn(self._ask_repeatable())

    async def _send_jobs(self) -> None:
        while self._cell.now() < self._end:
            await asyncio.sleep(self._random.expovariate(1 / _JOB_GAP))
            self._spawn(self._submit())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _new(self, class_name: str, seconds: Seconds) -> Asked:
        self._number += 1
        payload = f'{{"seconds": {seconds}, "number": {self._number}}}'
        asked = Asked(class_name, payload, sent_at=self._cell.now())
        self.asked.append(asked)
        return asked

    def _gateway(self) -> GatewayNode:
        serving = [
            gateway
            for gateway in self._cell.gateways.values()
            if not gateway.node.dead and gateway.daemon.ready()
        ]
        known = serving or list(self._cell.gateways.values())
        return self._random.choice(known)

    async def _ask_repeatable(self) -> None:
        asked = self._new('preview', self._random.uniform(0.05, 0.4))
        await self._send(asked)

    async def _ask_once(self) -> None:
        asked = self._new('tag-check', self._random.uniform(0.01, 0.2))
        asked.key = await self._key('tag-check')
        if not asked.key:
            return
        twice = self._random.random() < _TWICE_SHARE
        sending = [self._send(asked) for _ in range(1 + twice)]
        await asyncio.gather(*sending)
        unsure = asked.verdicts[-1:] == [Verdict.MAY_HAVE_RUN]
        if unsure or self._random.random() < _TWICE_SHARE:
            await asyncio.sleep(self._random.uniform(0, 2))
            await self._send(asked)

    async def _send(self, asked: Asked) -> None:
        gateway = self._gateway()
        body = RequestBody(
            class_name=ClassName(asked.class_name),
            payload=asked.payload,
            key=asked.key,
        )
        calling = asyncio.create_task(gateway.daemon.run_request(TENANT, body))
        try:
            reply = await calling
        except BadInputError as error:
            asked.details.append(str(error))
            return
        if gateway.node.dead:
            # The connection broke: the caller knows nothing.
            asked.verdicts.append(Verdict.MAY_HAVE_RUN)
            return
        asked.verdicts.append(reply.verdict)
        asked.answers.append(reply.answer)
        asked.details.append(f'{reply.code}: {reply.detail}')

    async def _key(self, class_name: str) -> str:
        gateway = self._gateway()
        try:
            issued = await gateway.daemon.issue_key(
                TENANT,
                ClassName(class_name),
            )
        except BadInputError:
            return ''
        dead = gateway.node.dead
        return issued.ok_value if isinstance(issued, Ok) and not dead else ''

    async def _submit(self) -> None:
        class_name = self._random.choice(('markdown', 'stack', 'gang'))
        asked = self._new(class_name, self._random.uniform(0.5, 4))
        asked.count = {'markdown': 3, 'stack': 1, 'gang': 3}[class_name]
        asked.key = await self._key(class_name)
        if not asked.key:
            return
        await self._send_job(asked)
        if asked.verdicts[-1:] == [Verdict.MAY_HAVE_RUN]:
            await asyncio.sleep(self._random.uniform(0, 2))
            await self._send_job(asked)

    async def _send_job(self, asked: Asked) -> None:
        gateway = self._gateway()
        body = JobBody(
            class_name=ClassName(asked.class_name),
            payload=asked.payload,
            key=asked.key,
            count=asked.count,
        )
        try:
            outcome = await gateway.daemon.submit_job(TENANT, body)
        except BadInputError as error:
            asked.details.append(str(error))
            return
        if gateway.node.dead:
            asked.verdicts.append(Verdict.MAY_HAVE_RUN)
        elif isinstance(outcome, Ok):
            asked.accepted = True
            asked.verdicts.append(Verdict.RAN)
        else:
            asked.verdicts.append(outcome.err_value.verdict)
            asked.details.append(outcome.err_value.detail)

    async def _refresh_job(self, asked: Asked) -> None:
        job = JobId(asked.key.split('.')[0])
        outcome = await self._gateway().daemon.query_job(TENANT, job, 0, '')
        if isinstance(outcome, Ok):
            asked.state = outcome.ok_value.state
            asked.details.append(
                f'{outcome.ok_value.state.value} {outcome.ok_value.detail}',
            )
        else:
            asked.details.append(f'query: {outcome.err_value.detail}')


def bundle_change(cell: VirtualCell) -> list[dict[str, object]]:
    """Return the change that makes the first version."""
    request = {
        'cores': 1,
        'memory': 1,
        'accelerators': 0,
        'slots': 1,
        'connections': 1,
    }
    tenant = {'weight': 1, 'rate': 10_000, 'quota': {}, 'keys': ['sha256:x']}
    classes = {
        'tag-check': {
            'kind': 'request',
            'priority': 100,
            'urgent': True,
            'size': request,
            'timeout': 8,
        },
        'preview': {
            'kind': 'request',
            'priority': 50,
            'repeatable': True,
            'size': request,
            'timeout': 8,
        },
        'markdown': {
            'kind': 'batch',
            'policy': {'kind': 'packing'},
            'priority': 10,
            'repeatable': True,
            'preemptible': True,
            'size': {'cores': 4, 'memory': 4},
        },
        'stack': {
            'kind': 'batch',
            'policy': {'kind': 'packing'},
            'priority': 5,
            'size': {'cores': 8, 'memory': 8},
        },
        'gang': {
            'kind': 'gang',
            'policy': {'kind': 'packing'},
            'priority': 20,
            'repeatable': True,
            'size': {'cores': 6, 'memory': 4},
        },
    }
    headroom = {**request, 'cores': 4, 'memory': 4, 'slots': 0}
    headroom['connections'] = 0
    zones = {zone: {'headroom': headroom} for zone in ZONES}
    return [
        {'op': 'add', 'path': '/tenants', 'value': {TENANT: tenant}},
        {'op': 'add', 'path': '/classes', 'value': classes},
        {'op': 'add', 'path': '/zones', 'value': zones},
    ]
