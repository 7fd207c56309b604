"""Decoding of the platform's documents: workers, jobs and settings."""

from __future__ import annotations

import math
import re

import msgspec
from result import Err, Ok, Result

from orchidrail.decoding import DECODE_ERRORS
from orchidrail.instance.settings import Bounds, InstanceSettings
from orchidrail.platform.fields import (
    Count,
    EntryText,
    HostPort,
    Labels,
    Millis,
    PositiveCount,
)
from orchidrail.store import StoreLimits
from orchidrail.types import (
    Address,
    InstanceId,
    ServiceName,
    WorkerName,
)
from orchidrail.work.model import (
    JobSpec,
    StepSpec,
)
from orchidrail.work.size import Size
from orchidrail.workers.entry_errors import EntryErrorKind, InvalidEntry
from orchidrail.workers.incarnations import BORN_SEPARATOR
from orchidrail.workers.port import WorkerEntry, WorkerState

_MILLIS = 1000
_BYTES_PER_MEGABIT = 125_000
#: The metrics port of `deploy/system.toml`.
METRICS_PORT = 9464
_MAX_TEXT_BYTES = 4000
#: Bytes of an entry that are quoted in an error.
_MAX_QUOTED = 120
#: Names of workers: they are sent in a header, and as part of a journal key,
#: which may have 255 bytes.
_WORKER_NAME = re.compile(rf'(?!.*{BORN_SEPARATOR})[!-~]{{1,254}}')
#: Field of `Bounds` and divisor to its unit, by settings key.
_BOUND_BY_KEY = {
    'maxHoldMs': ('longest_lease', _MILLIS),
    'gracePeriodS': ('grace', 1),
    'status_s': ('status_kept', 1),
    'stop_ms': ('stop_takes', _MILLIS),
    'restore_ms': ('restore_takes', _MILLIS),
    'revocationMs': ('revocation', _MILLIS),
    'evacuationMs': ('evacuation', _MILLIS),
}
_STRICT_REVOCATION_KEY = 'bounds.strictRevocation'


class _Capacity(msgspec.Struct, rename='camel'):
    cpu: PositiveCount
    mem_mb: PositiveCount
    gpu: Count = 0


class _Worker(msgspec.Struct, rename='camel'):
    service: EntryText
    address: HostPort
    zone: EntryText
    state: WorkerState
    capacity: _Capacity
    labels: Labels
    version: str = ''
    slots: Count = 0
    sequence: Count = 0
    warmup_left_ms: Millis = 0
    remaining_ms: Millis = 0
    #: Start of the incarnation, Unix milliseconds.
    born: Count | None = None


class _Step(msgspec.Struct, rename='camel'):
    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimated_ms: float = 0
    #: Indices of the steps that must finish first; not a revision.
    after_revision: list[int] = []
    checkpointing: bool = False
    gang_scheduled: bool = False
    rack_local: bool = False
    #: A label that the worker must have.
    requirements: str = ''
    #: The rack that holds the data.
    affinity: str = ''
    #: Maximum number of the step's tasks on one worker; 0 is no limit.
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: float = msgspec.field(default=0, name='target_ms')
    fills: bool = False
    may_miss: int = msgspec.field(default=0, name='may_miss')


class _Job(msgspec.Struct, rename='camel'):
    spec: str
    #: The steps.
    phases: list[_Step]
    repeat_count: int = 0
    start_at_ms: float = 0
    interval_ms: float = 0


_decode_worker = msgspec.json.Decoder(_Worker).decode
_decode_job = msgspec.json.Decoder(_Job).decode


def decode_worker(
    worker: str,
    raw: bytes,
) -> Result[WorkerEntry, InvalidEntry]:
    """Decode a worker's registration, which may be by another writer.

    Fields that placement needs have no defaults: an entry without them is
    rejected.
    """
    if not _WORKER_NAME.fullmatch(worker):
        reason = (
            f'{worker[:_MAX_QUOTED]!r}, expected 1 to 254 printable ASCII '
            f'characters without {BORN_SEPARATOR!r}'
        )
        return Err(InvalidEntry(EntryErrorKind.NAME, reason))
    try:
        entry = _decode_worker(raw)
    except msgspec.ValidationError as error:
        return Err(InvalidEntry(EntryErrorKind.FIELD, _describe(raw, error)))
    except DECODE_ERRORS as error:
        return Err(
            InvalidEntry(EntryErrorKind.UNREADABLE, _describe(raw, error))
        )
    return Ok(
        WorkerEntry(
            name=WorkerName(worker),
            service=ServiceName(entry.service),
            address=Address(entry.address),
            zone=entry.zone,
            capacity=Size(
                entry.capacity.cpu,
                entry.capacity.mem_mb,
                entry.capacity.gpu,
            ),
            labels=tuple(entry.labels),
            state=entry.state,
            leaves_in=entry.remaining_ms / _MILLIS,
            warmup_left=entry.warmup_left_ms / _MILLIS,
            born=entry.born,
        )
    )


def decode_job(raw: bytes) -> Result[JobSpec, str]:
    """Decode and check the body of a submission."""
    try:
        job = _decode_job(raw)
    except DECODE_ERRORS as error:
        return Err(str(error))
    if len(job.spec.encode()) > _MAX_TEXT_BYTES:
        return Err(f'expected at most {_MAX_TEXT_BYTES} bytes of text')
    if not job.phases:
        return Err('expected at least one step, got none')
    for number, step in enumerate(job.phases):
        if step.count < 1:
            return Err(f'step {number}: expected tasks, got {step.count!r}')
        if any(not 0 <= earlier < number for earlier in step.after_revision):
            return Err(
                f'step {number}: expected earlier steps, '
                f'got {step.after_revision!r}'
            )
    return Ok(
        JobSpec(
            job.spec,
            tuple(_step(step) for step in job.phases),
            job.repeat_count,
            job.start_at_ms / _MILLIS,
            job.interval_ms / _MILLIS,
        )
    )


def _describe(raw: bytes, error: Exception) -> str:
    """Return the error, preceded by the start of the bytes decoded."""
    return f'{raw[:_MAX_QUOTED]!r}: {error}'


def decode_settings(text: str) -> InstanceSettings:
    """Decode the settings file of an instance; unknown keys are ignored.

    Raises
    ------
    KeyError
        If a required key is missing.
    """
    lines = (line.partition('=') for line in text.splitlines())
    value_by_key = {key.strip(): value.strip() for key, _, value in lines}
    first_port = int(value_by_key['internalPortRange'].split(',')[0])
    host = value_by_key['ip']
    return InstanceSettings(
        name=InstanceId(value_by_key['nodeName']),
        zone=value_by_key['zone'],
        host=host,
        callers=Address(value_by_key['bindAddresses.frontend']),
        readiness=Address(value_by_key['bindAddresses.ready']),
        peers=Address(f'{host}:{first_port}'),
        metrics=Address(f'{host}:{METRICS_PORT}'),
        store=Address(value_by_key['platform.address']),
        advice=Address(value_by_key.get('advice', '')),
        speed=_speed(value_by_key),
        link=_link(value_by_key),
        bounds=_bounds(value_by_key),
        preemption=value_by_key.get('preemption', 'on') != 'off',
        store_limits=_store_limits(value_by_key),
    )


def _speed(value_by_key: dict[str, str]) -> float:
    """Return the instance's processor speed in cores.

    The settings give a share of a single core that is as fast as all cores
    together.
    """
    share = float(value_by_key.get('limits.cpuShare') or 1)
    return share * float(value_by_key.get('limits.cpuCores') or 1)


def _link(value_by_key: dict[str, str]) -> float:
    """Return the bandwidth of the instance's link in bytes a second."""
    megabits = float(value_by_key.get('limits.linkMbps') or math.inf)
    return megabits * _BYTES_PER_MEGABIT


def _store_limits(value_by_key: dict[str, str]) -> StoreLimits:
    given = {
        name: int(value_by_key[f'platform.{name}'])
        for name in StoreLimits._fields
        if value_by_key.get(f'platform.{name}')
    }
    return StoreLimits(**given)


def _bounds(value_by_key: dict[str, str]) -> Bounds:
    given = {
        name: float(value_by_key[f'bounds.{key}']) / divisor
        for key, (name, divisor) in _BOUND_BY_KEY.items()
        if value_by_key.get(f'bounds.{key}')
    }
    strict = value_by_key.get(_STRICT_REVOCATION_KEY, '').lower() == 'true'
    return Bounds(**given, strict_revocation=strict)


def _step(step: _Step) -> StepSpec:
    return StepSpec(
        count=step.count,
        size=Size(step.cpu, step.mem_mb, step.gpu),
        estimate=step.estimated_ms / _MILLIS,
        after=tuple(step.after_revision),
        keeps_checkpoint=step.checkpointing,
        gang=step.gang_scheduled,
        one_rack=step.rack_local,
        label=step.requirements,
        data_rack=step.affinity,
        most_per_worker=step.anti_affinity,
        speculative=step.speculative,
        lasting=step.long_running,
        image=step.image,
        target=step.target_ms / _MILLIS,
        best_effort=step.fills,
        may_miss=step.may_miss,
    )
