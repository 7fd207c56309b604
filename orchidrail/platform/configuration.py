"""Decoding of the operator's configuration."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from orchidrail.access import KeyRing, digest_of
from orchidrail.decoding import DECODE_ERRORS
from orchidrail.platform.fields import Count, NonEmptyText
from orchidrail.types import QueueName, ServiceName, TenantId, ZoneId
from orchidrail.work.model import (
    AdviceCost,
    CellConfig,
    IngressLimits,
    QueueSettings,
)
from orchidrail.work.size import Size
from orchidrail.work.tenant import Tenant

#: Key of the configuration among the operator's records.
CONFIG_KEY = 'config'
_EVACUATION_PREFIX = 'evacuate/'
_MILLIS = 1000
#: Characters of a value that are quoted in an error.
_MAX_QUOTED = 120
#: Path of the invalid value in msgspec's error message, and the path's parts.
_PATH = re.compile(r'at `\$([^`]*)`')
_PART = re.compile(r'\.(\w+)|\[(\d+)\]')
#: Field whose values must not appear in an error.
_SECRET_FIELD = 'apiKeys'


class _AdviceCost(msgspec.Struct):
    decide_ms: float = 0
    each_ms: float = 0
    valid_ms: float = 0


class _Route(msgspec.Struct, rename='camel'):
    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: float = 0
    target_latency_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    extension: float = 1
    advice: _AdviceCost | None = None
    public: bool = False


class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Maximum(msgspec.Struct, rename='camel'):
    """Limit on the resources of a tenant's running tasks; 0 is no limit."""

    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0


class _Tenant(msgspec.Struct, rename='camel'):
    name: NonEmptyText
    api_keys: list[NonEmptyText] = []
    weight: Annotated[float, msgspec.Meta(gt=0)] = 1
    maximum: _Maximum = msgspec.field(default_factory=_Maximum)


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    #: Unset if callers need no keys.
    tenants: list[_Tenant] | msgspec.UnsetType = msgspec.UNSET


_decode_config = msgspec.json.Decoder(_Config).decode


def decode_config(raw: bytes) -> Result[CellConfig, str]:
    """Decode the operator's configuration.

    Returns
    -------
    The configuration, or an error that quotes the invalid value, but no key.
    """
    try:
        config = _decode_config(raw)
    except DECODE_ERRORS as error:
        return Err(_explain(raw, error))
    queues = tuple(_queue(route) for route in config.routes)
    limits = _limits(config.limits)
    if isinstance(config.tenants, msgspec.UnsetType):
        return Ok(CellConfig(config.version, queues, limits))
    conflict = _find_conflict(config.tenants)
    if conflict:
        return Err(conflict)
    keys = {
        digest_of(key): TenantId(tenant.name)
        for tenant in config.tenants
        for key in tenant.api_keys
    }
    tenant_by_name = {
        TenantId(tenant.name): _tenant(tenant) for tenant in config.tenants
    }
    return Ok(
        CellConfig(
            config.version,
            queues,
            limits,
            tenant_by_name,
            KeyRing(keys),
        )
    )


def find_evacuated_zones(keys: Iterable[str]) -> frozenset[ZoneId]:
    """Return the zones whose evacuation is among the operator's records.

    Examples
    --------
    >>> find_evacuated_zones(['config', 'evacuate/z-1'])
    frozenset({'z-1'})
    """
    return frozenset(
        ZoneId(key.removeprefix(_EVACUATION_PREFIX))
        for key in keys
        if key.startswith(_EVACUATION_PREFIX)
    )


def _find_conflict(tenants: list[_Tenant]) -> str:
    """Return why tenants are ambiguous, empty if names and keys are unique."""
    name_by_key: dict[str, str] = {}
    names: set[str] = set()
    for tenant in tenants:
        if tenant.name in names:
            return f'tenant {tenant.name!r}: expected once, got twice'
        names.add(tenant.name)
        for key in tenant.api_keys:
            other = name_by_key.setdefault(key, tenant.name)
            if other != tenant.name:
                return (
                    f'tenants {other!r} and {tenant.name!r}: expected distinct '
                    'API keys, got a shared one'
                )
    return ''


def _explain(raw: bytes, error: Exception) -> str:
    """Return the error with the offending value quoted, unless secret."""
    text = str(error)
    path = _PATH.search(text)
    if path is None or _SECRET_FIELD in path[1]:
        return text
    found = msgspec.json.decode(raw)
    for name, number in _PART.findall(path[1]):
        found = found[name] if name else found[int(number)]
    return f'{text}: {found!r:.{_MAX_QUOTED}}'


def _limits(limits: _Limits) -> IngressLimits:
    return IngressLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / _MILLIS,
        limits.idle_timeout_ms / _MILLIS,
    )


def _queue(route: _Route) -> QueueSettings:
    cost = route.advice
    advice = None
    if cost is not None:
        advice = AdviceCost(
            cost.decide_ms / _MILLIS,
            cost.each_ms / _MILLIS,
            cost.valid_ms / _MILLIS,
        )
    return QueueSettings(
        name=QueueName(route.name),
        host=route.host,
        path_prefix=route.path_prefix,
        service=ServiceName(route.service),
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.extension,
        target=route.target_latency_ms / _MILLIS,
        timeout=route.timeout_ms / _MILLIS,
        advice=advice,
        public=route.public,
    )


def _tenant(tenant: _Tenant) -> Tenant:
    limit = tenant.maximum
    return Tenant(
        TenantId(tenant.name),
        tenant.weight,
        Size(limit.cpu, limit.mem_mb, limit.gpu),
    )
