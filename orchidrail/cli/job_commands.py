"""``orchidrail job``: submit and follow jobs with the key of a tenant."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httpx
import msgspec

from orchidrail.cli.context import Command, Context
from orchidrail.cli.output import ExitCode, fail, print_line, show, show_json
from orchidrail.gateway.bodies import JobReply, KeyReply

if TYPE_CHECKING:
    from orchidrail.settings import OperatorSettings

_FINAL_STATES = frozenset(('done', 'failed', 'cancelled'))
_FOLLOW_WAIT_SECONDS = 10
_FIRST_ERROR_STATUS = 400
_REQUEST_TIMEOUT = 40


class JobCommands(Command):
    """Submit, show, follow and cancel jobs."""

    def submit(
        self,
        work_class: str,
        count: int = 1,
        payload: str = '',
        cores: float = 0,
        memory: float = 0,
    ) -> None:
        """Submit a job of a class and print its id.

        Example: orchidrail job submit stack --payload '{"plate": 7}'
        """
        self._run('_submit', work_class, count, payload, cores, memory)

    def show(self, job: str) -> None:
        """Show a job's status.

        Example: orchidrail job show 0192f1c0-0000-7000-8000-000000000000
        """
        self._run('_show', job)

    def follow(self, job: str) -> None:
        """Follow a job to its end; exit with 1 unless it is done.

        Example: orchidrail job follow 0192f1c0-0000-7000-8000-000000000000
        """
        self._run('_follow', job)

    def cancel(self, job: str) -> None:
        """Cancel a job.

        Example: orchidrail job cancel 0192f1c0-0000-7000-8000-000000000000
        """
        self._run('_cancel', job)

    async def _submit(
        self,
        context: Context,
        work_class: str,
        count: int,
        payload: str,
        cores: float,
        memory: float,
    ) -> None:
        async with _client(context.settings) as client:
            answer = await client.post('/v1/keys', json={'class': work_class})
            key = msgspec.json.decode(_checked_body(answer), type=KeyReply).key
            body: dict[str, object] = {
                'class': work_class,
                'key': key,
                'count': count,
                'payload': payload,
            }
            if cores or memory:
                body['size'] = {'cores': cores, 'memory': memory}
            answer = await client.post('/v1/jobs', json=body)
        self._print(_parse_job(answer))

    async def _show(self, context: Context, job: str) -> None:
        async with _client(context.settings) as client:
            self._print(_parse_job(await client.get(f'/v1/jobs/{job}')))

    async def _follow(self, context: Context, job: str) -> None:
        state = ''
        async with _client(context.settings) as client:
            while state not in _FINAL_STATES:
                query = f'wait={_FOLLOW_WAIT_SECONDS}&state={state}'
                answer = await client.get(f'/v1/jobs/{job}?{query}')
                found = _parse_job(answer)
                if found.state != state:
                    self._print(found)
                    state = found.state
                await asyncio.sleep(0)
        if state != 'done':
            raise SystemExit(int(ExitCode.REFUSED))

    async def _cancel(self, context: Context, job: str) -> None:
        async with _client(context.settings) as client:
            _checked_body(await client.delete(f'/v1/jobs/{job}'))
        print_line(f'cancelling {job}')

    def _print(self, job: JobReply) -> None:
        if self._json:
            show_json(job)
            return
        progress = f'{job.finished}/{job.count}'
        row = (job.job, job.state, progress, str(job.running), job.detail)
        columns = ('job', 'state', 'finished', 'running', 'detail')
        show('', columns, [row], json=False)


def _client(settings: OperatorSettings) -> httpx.AsyncClient:
    if not settings.gateway or not settings.tenant_key:
        fail(
            ExitCode.USAGE,
            'the settings lack gateway or tenantKey, expected both',
        )
    return httpx.AsyncClient(
        base_url=settings.gateway,
        headers={'Authorization': f'Bearer {settings.tenant_key}'},
        timeout=_REQUEST_TIMEOUT,
        trust_env=False,
    )


def _checked_body(answer: httpx.Response) -> bytes:
    if answer.status_code >= _FIRST_ERROR_STATUS:
        fail(ExitCode.REFUSED, answer.text or str(answer.status_code))
    return answer.content


def _parse_job(answer: httpx.Response) -> JobReply:
    return msgspec.json.decode(_checked_body(answer), type=JobReply)
