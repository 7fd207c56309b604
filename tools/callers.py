"""Client of the demo and proving runs, and a check of its results."""

from __future__ import annotations

import asyncio
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

import httpx

_TIMEOUT = 30
_FINAL = frozenset(('done', 'failed', 'cancelled'))


@dataclass
class Sent:
    """One request or job and its outcome."""

    class_name: str
    key: str = ''
    verdict: str = ''
    status: int = 0
    detail: str = ''
    wait: float = 0
    answer: str = ''
    state: str = ''
    count: int = 1

    @property
    def task(self) -> str:
        """ID of the task or job at the workers, without the key's suffix."""
        return self.key.split('.')[0]


@dataclass
class Tally:
    """All requests and jobs that were sent."""

    sent: list[Sent] = field(default_factory=list)

    def rows(self) -> list[tuple[str, ...]]:
        """Return a row for each class."""
        by_class: dict[str, list[Sent]] = defaultdict(list)
        for entry in self.sent:
            by_class[entry.class_name].append(entry)
        return [_row(name, entries) for name, entries in by_class.items()]

    def count(self, verdict: str) -> int:
        """Return how many entries have a verdict."""
        return sum(entry.verdict == verdict for entry in self.sent)


def _row(name: str, entries: list[Sent]) -> tuple[str, ...]:
    verdicts = Counter(entry.verdict for entry in entries)
    waits = sorted(
        entry.wait for entry in entries if entry.verdict == 'ran'
    ) or [0.0]
    return (
        name,
        str(len(entries)),
        str(verdicts['ran']),
        str(verdicts['notRun']),
        str(verdicts['mayHaveRun']),
        f'{waits[len(waits) // 2] * 1000:.1f} ms',
        f'{waits[int(len(waits) * 0.99)] * 1000:.1f} ms',
    )


class Caller:
    """Sends requests to the gateways round-robin, as a load balancer."""

    def __init__(self, gateways: list[str], tenant_key: str) -> None:
        self.tally = Tally()
        self._gateways = gateways
        self._next = 0
        self._client = httpx.AsyncClient(
            headers={'Authorization': f'Bearer {tenant_key}'},
            timeout=_TIMEOUT,
            trust_env=False,
            limits=httpx.Limits(max_connections=200),
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def request(
        self,
        class_name: str,
        seconds: float,
        *,
        keyed: bool,
    ) -> Sent:
        """Send one short request, with a new key if `keyed`."""
        entry = Sent(class_name)
        self.tally.sent.append(entry)
        started = time.monotonic()
        body: dict[str, Any] = {
            'class': class_name,
            'payload': {'seconds': seconds},
        }
        if keyed:
            entry.key = await self._issue_key(class_name, entry)
            if not entry.key:
                return entry
            body['key'] = entry.key
        await self._send(entry, '/v1/requests', body)
        entry.wait = max(0, time.monotonic() - started - seconds)
        return entry

    async def job(
        self,
        class_name: str,
        seconds: float,
        count: int = 1,
        size: dict[str, float] | None = None,
    ) -> Sent:
        """Submit a job and poll it until it ends."""
        entry = Sent(class_name, count=count)
        self.tally.sent.append(entry)
        entry.key = await self._issue_key(class_name, entry)
        if not entry.key:
            return entry
        body: dict[str, Any] = {
            'class': class_name,
            'key': entry.key,
            'count': count,
            'payload': {'seconds': seconds},
        }
        if size is not None:
            body['size'] = size
        started = time.monotonic()
        await self._send(entry, '/v1/jobs', body)
        if entry.verdict == 'ran':
            await self._poll_job(entry)
            entry.wait = max(0, time.monotonic() - started - seconds)
        return entry

    async def _issue_key(self, class_name: str, entry: Sent) -> str:
        answer = await self._post('/v1/keys', {'class': class_name})
        if answer is None or answer.status_code != 200:
            _record_response(entry, answer)
            return ''
        return str(answer.json()['key'])

    async def _send(self, entry: Sent, path: str, body: Any) -> None:
        answer = await self._post(path, body)
        _record_response(entry, answer)

    async def _poll_job(self, entry: Sent) -> None:
        state = ''
        while state not in _FINAL:
            path = f'/v1/jobs/{entry.task}?wait=5&state={state}'
            answer = await self._get(path)
            if answer is None or answer.status_code != 200:
                await asyncio.sleep(0.2)
                continue
            state = answer.json()['state']
            entry.detail = answer.json()['detail']
        entry.state = state

    async def _post(self, path: str, body: Any) -> httpx.Response | None:
        try:
            return await self._client.post(self._url(path), json=body)
        except httpx.HTTPError:
            return None

    async def _get(self, path: str) -> httpx.Response | None:
        try:
            return await self._client.get(self._url(path))
        except httpx.HTTPError:
            return None

    def _url(self, path: str) -> str:
        self._next += 1
        gateway = self._gateways[self._next % len(self._gateways)]
        return f'http://{gateway}{path}'


def _record_response(entry: Sent, answer: httpx.Response | None) -> None:
    if answer is None:
        entry.verdict = 'mayHaveRun'
        return
    entry.status = answer.status_code
    entry.verdict = answer.headers.get('Orchidrail-Verdict', 'mayHaveRun')
    body = answer.json()
    entry.detail = str(body.get('detail', ''))
    entry.answer = str(body.get('answer', ''))


@dataclass
class Judgement:
    """Lost and duplicated work, by the workers' journals."""

    lost: list[str] = field(default_factory=list)
    doubled: list[str] = field(default_factory=list)


def judge(tally: Tally, journal: list[dict[str, Any]]) -> Judgement:
    """Compare the responses to callers with the workers' journals."""
    judgement = Judgement()
    starts = Counter(
        entry['task'] for entry in journal if entry['event'] == 'start'
    )
    jobs = Counter(
        entry['job'] for entry in journal if entry['event'] == 'start'
    )
    for task, count in starts.items():
        if count > 1:
            judgement.doubled.append(f'{task} was started {count} times')
    for entry in tally.sent:
        _judge_entry(entry, starts, jobs, judgement)
    return judgement


def _judge_entry(
    entry: Sent,
    starts: Counter[str],
    jobs: Counter[str],
    judgement: Judgement,
) -> None:
    run_count = starts[entry.task] + jobs[entry.task] if entry.task else 0
    if entry.verdict == 'notRun' and run_count:
        judgement.doubled.append(f'{entry.key} was refused but ran')
    if entry.state == 'done' and run_count < entry.count:
        judgement.lost.append(f'{entry.key} is done but did not run whole')
    if entry.verdict == 'ran' and entry.key and not run_count:
        judgement.lost.append(f'{entry.key} was accepted but never ran')
