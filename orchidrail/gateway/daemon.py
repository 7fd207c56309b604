"""Gateway daemon: validates and runs requests, and accepts jobs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec
from result import Err, Ok, Result

from orchidrail.bundles.fold import BundleFold
from orchidrail.bundles.model import Bundle, WorkClass, WorkKind
from orchidrail.bundles.records import Snapshot
from orchidrail.gateway.access import Access
from orchidrail.gateway.bodies import JobBody, RequestBody
from orchidrail.gateway.directory import SchedulerDirectory
from orchidrail.gateway.request_runner import RequestCall, RequestRunner
from orchidrail.gateway.scheduler_client import (
    SchedulerClient,
    is_not_holder,
)
from orchidrail.gateway.verdicts import Reply
from orchidrail.invariants import Invariants
from orchidrail.jitter import jitter
from orchidrail.keys import ParsedKey, parse_key
from orchidrail.logstream.follower import Follower
from orchidrail.metrics import GatewayMetrics
from orchidrail.types import (
    ClassName,
    JobId,
    RefusalCode,
    Seconds,
    TenantId,
    Verdict,
    ZoneId,
)
from orchidrail.wire.messages import (
    BundleSnapshot,
    CancelJob,
    FetchBundle,
    JobSpec,
    JobStatus,
    KeyIssued,
    KeyRequest,
    Message,
    QueryJob,
    Refusal,
    SubmitJob,
)

if TYPE_CHECKING:
    from orchidrail.scheduler.ports import Ports
    from orchidrail.settings import GatewaySettings

_BUNDLE_STREAM = 'bundle'
_CALL_TIMEOUT: Seconds = 2
_SUBMIT_MARGIN: Seconds = 3
#: Interval at which a stale bundle is fetched from the schedulers.
_BUNDLE_FETCH_INTERVAL: Seconds = 1
_STATUS_POLL_INTERVAL: Seconds = 0.2
_RATE_LIMIT_RETRY_AFTER: Seconds = 1


class BadInputError(ValueError):
    """Invalid input; nothing was queued or run.

    Parameters
    ----------
    field : str
        Name of the invalid field.
    detail : str
        The value found and what was expected.
    """

    def __init__(self, field: str, detail: str) -> None:
        """Keep the field apart from the message."""
        self.field = field
        super().__init__(detail)


class GatewayDaemon:
    """One gateway without its HTTP server."""

    def __init__(self, settings: GatewaySettings, ports: Ports) -> None:
        """Build the components; `run` starts them."""
        self.settings = settings
        self.ports = ports
        self.metrics = GatewayMetrics()
        self.invariants = Invariants()
        self.access = Access()
        genesis = Bundle(operators=settings.operators)
        self.bundle = BundleFold(genesis, self._on_bundle, self.invariants)
        self.follower = Follower(
            ports.log,
            _BUNDLE_STREAM,
            self.bundle,
            settings.timings.log_poll,
            ports.random,
        )
        directory = SchedulerDirectory(
            {
                **settings.foreign_schedulers,
                settings.zone: settings.schedulers,
            },
            ports.random,
            ports.clock,
        )
        self.client = SchedulerClient(ports.transport, directory)
        self.runner = RequestRunner(
            settings.zone,
            self.client,
            ports.clock,
            ports.random,
            self.metrics,
            self.invariants,
        )

    async def run(self) -> None:
        """Keep the bundle up to date until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.follower.run())
            group.create_task(self._keep_bundle_current())

    async def issue_key(
        self,
        tenant: TenantId,
        class_name: ClassName,
    ) -> Result[str, Reply]:
        """Issue a key for a request or job that must not be repeated."""
        self._class_of(class_name)
        limited = self._limit(tenant)
        if limited is not None:
            return Err(limited)
        message = KeyRequest(tenant=tenant, class_name=class_name)
        _, answer = await self.client.call_any(
            self.settings.zone,
            message,
            _CALL_TIMEOUT,
        )
        if isinstance(answer, KeyIssued):
            return Ok(answer.key)
        return Err(reply_of(answer))

    async def run_request(self, tenant: TenantId, body: RequestBody) -> Reply:
        """Run a short request and return its final answer.

        Raises
        ------
        BadInputError
            If the body is invalid; nothing ran.
        """
        work_class = self._class_of(body.class_name)
        if work_class.kind is not WorkKind.REQUEST:
            raise BadInputError('class', f'{body.class_name!r} is for jobs')
        key = self._key_of(body.key, required=not work_class.repeatable)
        limited = self._limit(tenant)
        if limited is not None:
            return await self._refuse_limited(limited, key)
        now = self.ports.clock()
        call = RequestCall(
            tenant,
            body.class_name,
            work_class,
            text_of(body.payload),
            now + work_class.timeout,
            body.patience or work_class.timeout,
            key,
        )
        reply = await self.runner.run(call)
        self.metrics.count_reply(tenant, body.class_name, reply.verdict.value)
        return reply

    async def submit_job(
        self,
        tenant: TenantId,
        body: JobBody,
    ) -> Result[JobStatus, Reply]:
        """Submit a job; once accepted it is durable.

        Raises
        ------
        BadInputError
            If the body is invalid; nothing was queued.
        """
        work_class = self._class_of(body.class_name)
        if work_class.kind is WorkKind.REQUEST:
            raise BadInputError('class', f'{body.class_name!r} is for requests')
        key = self._key_of(body.key, required=True)
        if key is None or not key.backup:
            raise BadInputError('key', 'expected a key issued for this class')
        size = (
            work_class.size if body.size is None else body.size.as_resources()
        )
        spec = JobSpec(
            key=JobId(key.task),
            tenant=tenant,
            class_name=body.class_name,
            zone=key.zone,
            witness=key.witness,
            witness_boot=key.boot,
            backup=key.backup,
            backup_boot=key.backup_boot,
            count=body.count,
            size=size,
            payload=text_of(body.payload),
            submitted_at=self.ports.wall_clock(),
        )
        message = SubmitJob(job=spec, patience=body.patience)
        return await self._submit(message)

    async def query_job(
        self,
        tenant: TenantId,
        job: JobId,
        wait: Seconds,
        known_state: str,
    ) -> Result[JobStatus, Reply]:
        """Return a job's status.

        Waits up to `wait` seconds for a state other than `known_state`.
        """
        wait_until = self.ports.clock() + wait
        while True:
            answer = await self._call_all_zones(
                QueryJob(job=job, tenant=tenant)
            )
            changed = (
                not isinstance(answer, JobStatus)
                or answer.state.value != known_state
            )
            if changed or self.ports.clock() >= wait_until:
                return status_or_reply(answer)
            await asyncio.sleep(_STATUS_POLL_INTERVAL)

    async def cancel_job(
        self,
        tenant: TenantId,
        job: JobId,
    ) -> Message:
        """Cancel a job of the tenant."""
        return await self._call_all_zones(CancelJob(job=job, tenant=tenant))

    def ready(self) -> bool:
        """Return whether requests can be served: a bundle is loaded."""
        return self.bundle.version > 0

    async def _submit(self, message: SubmitJob) -> Result[JobStatus, Reply]:
        zone = message.job.zone
        timeout = message.patience + _SUBMIT_MARGIN
        for address in self.client.order(zone):
            answer = await self.client.call_scheduler(address, message, timeout)
            if isinstance(answer, Ok):
                if is_not_holder(answer.ok_value):
                    continue
                return status_or_reply(answer.ok_value)
            if answer.err_value.value != 'notSent':
                return Err(_unknown_outcome())
        detail = f'no scheduler of zone {zone!r} can be reached'
        # An earlier submission with this key may have been accepted.
        return Err(
            Reply(
                Verdict.MAY_HAVE_RUN,
                code=RefusalCode.UNREACHABLE,
                detail=detail,
                retry_after=1,
            ),
        )

    async def _call_all_zones(self, message: Message) -> Message:
        answer: Message = Refusal(code=RefusalCode.UNKNOWN)
        zones = {self.settings.zone: None, **self.settings.foreign_schedulers}
        for zone in zones:
            _, answer = await self.client.call_any(
                ZoneId(zone),
                message,
                _CALL_TIMEOUT,
            )
            if not isinstance(answer, Refusal):
                break
        return answer

    def _class_of(self, name: ClassName) -> WorkClass:
        work_class = self.bundle.bundle.classes.get(name)
        if work_class is None:
            expected = sorted(self.bundle.bundle.classes)
            detail = f'got {name!r}, expected one of {expected!r}'
            raise BadInputError('class', detail)
        return work_class

    def _key_of(self, text: str, *, required: bool) -> ParsedKey | None:
        if not text:
            if required:
                raise BadInputError(
                    'key',
                    'missing: this class may not be repeated; '
                    'expected a key from POST /v1/keys',
                )
            return None
        parsed = parse_key(text, self.ports.wall_clock())
        if isinstance(parsed, Ok):
            return parsed.ok_value
        raise BadInputError('key', parsed.err_value)

    def _limit(self, tenant: TenantId) -> Reply | None:
        if self.access.admit(tenant, self.ports.clock()):
            return None
        return Reply(
            Verdict.NOT_RUN,
            code=RefusalCode.QUOTA,
            detail=f'{tenant!r} is over its rate',
            retry_after=jitter(self.ports.random, _RATE_LIMIT_RETRY_AFTER),
        )

    async def _refuse_limited(
        self,
        limited: Reply,
        key: ParsedKey | None,
    ) -> Reply:
        if key is None:
            return limited
        return await self.runner.refuse(
            key,
            RefusalCode.QUOTA,
            limited.detail,
            limited.retry_after,
        )

    async def _keep_bundle_current(self) -> None:
        """Fetch the bundle from schedulers after a log failure or gap."""
        while True:
            if not self.follower.connected or self.bundle.gap:
                await self._fetch_bundle()
            await asyncio.sleep(_BUNDLE_FETCH_INTERVAL)

    async def _fetch_bundle(self) -> None:
        fetch_request = FetchBundle(newer_than=self.bundle.version)
        _, answer = await self.client.call_any(
            self.settings.zone,
            fetch_request,
            _CALL_TIMEOUT,
        )
        if not isinstance(answer, BundleSnapshot):
            return
        try:
            snapshot = msgspec.json.decode(answer.document, type=Snapshot)
        except msgspec.MsgspecError:
            return
        self.bundle.adopt(snapshot, answer.offset)

    def _on_bundle(self) -> None:
        self.access.use_bundle(self.bundle.bundle)
        self.metrics.bundle_version.set(self.bundle.version)


def text_of(payload: Any) -> str:
    """Return a payload as the text sent to workers."""
    if isinstance(payload, str):
        return payload
    return msgspec.json.encode(payload).decode()


def reply_of(answer: Message) -> Reply:
    """Convert a refusal to a reply."""
    if not isinstance(answer, Refusal):
        return _unknown_outcome()
    return Reply(
        answer.verdict,
        code=answer.code,
        detail=answer.detail,
        retry_after=answer.retry_after,
    )


def status_or_reply(answer: Message) -> Result[JobStatus, Reply]:
    """Return a job's status, or the refusal as a reply."""
    if isinstance(answer, JobStatus):
        return Ok(answer)
    return Err(reply_of(answer))


def _unknown_outcome() -> Reply:
    return Reply(
        Verdict.MAY_HAVE_RUN,
        code=RefusalCode.UNKNOWN,
        detail='the answer was lost; ask for the job by its key',
        retry_after=1,
    )
