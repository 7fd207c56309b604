"""Settings of the daemons: JSON with comments, checked against a schema.

All errors of a file are reported together, each with its path, the value found
and what was expected.
"""

from __future__ import annotations

import pathlib
import types
import typing
from typing import Annotated, Any, TypeVar

import json5
import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from orchidrail.bundles.model import Operator
from orchidrail.types import Address, ZoneId

_KEY_LENGTH = 16
_Positive = Annotated[float, Meta(gt=0)]
_AddressText = Annotated[str, Meta(pattern=r'^[0-9.]+:[0-9]+$')]
_Name = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9-]*$')]
_Key = Annotated[str, Meta(min_length=_KEY_LENGTH)]


class SettingsSection(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename='camel',
    forbid_unknown_fields=True,
):
    """Base of the sections of a settings file; unknown fields are errors."""


class Timings(SettingsSection, frozen=True):
    """Periods and time limits, all in seconds."""

    #: Duration of a worker's lease without a renewal.
    lease_ttl: _Positive = 3
    #: Interval between renewals of a lease.
    renewal: _Positive = 1
    #: Interval between rebalancing checks of which scheduler should hold which
    #: worker.
    steering: _Positive = 0.3
    #: Interval between comparisons of a worker's runs with its ledger.
    audit: _Positive = 30
    #: Interval between gossip exchanges with peers.
    gossip: _Positive = 1
    #: Time without a heartbeat after which a peer counts as failed.
    member_timeout: _Positive = 3
    #: Interval between reads of a stream's tail.
    log_poll: _Positive = 0.5
    #: Interval between reads of the instance list.
    instance_poll: _Positive = 1
    #: Minimum interval between two appends of one daemon.
    append_interval: _Positive = 0.25
    #: Time for which a task continues at its worker without a lease holder.
    task_ttl: _Positive = 60
    #: Validity of a grant.
    grant_validity: _Positive = 1
    #: Time for which an instance missing from the list does not count as gone.
    gone_grace: _Positive = 3
    #: Time for which the log keeps records.
    retention: _Positive = 3600


class _Daemon(SettingsSection, frozen=True):
    """Settings common to both daemons."""

    name: _Name
    zone: ZoneId
    listen: _AddressText
    #: Address of the platform's services.
    platform: str
    #: Key shared by the daemons of one user.
    cluster_key: _Key
    #: Operators trusted before the first bundle.
    operators: dict[str, Operator]
    timings: Timings = Timings()
    log_level: typing.Literal['debug', 'info', 'warning', 'error'] = 'info'
    #: Address at which metrics are served; they are not served if empty.
    metrics: str = ''


class SchedulerSettings(_Daemon, frozen=True, kw_only=True):
    """Settings of ``orchidrail-scheduler``."""

    #: Other schedulers of the zone, some of which should be reachable.
    seeds: list[Address] = []
    #: Some schedulers of other zones.
    foreign_seeds: list[Address] = []


class GatewaySettings(_Daemon, frozen=True, kw_only=True):
    """Settings of ``orchidrail-gateway``."""

    #: Schedulers of the zone.
    schedulers: list[Address]
    #: Schedulers of the other zones.
    foreign_schedulers: dict[ZoneId, list[Address]] = {}
    #: Largest accepted request body, bytes.
    max_body: Annotated[int, Meta(gt=0)] = 1024 * 1024
    #: Paths of the certificate and key files; plain HTTP if empty.
    tls_certificate: str = ''
    tls_key: str = ''


class OperatorSettings(SettingsSection, frozen=True, kw_only=True):
    """Settings of the ``orchidrail`` command."""

    name: str
    private_key: str = ''
    platform: str
    cluster_key: _Key
    operators: dict[str, Operator]
    #: Schedulers that are queried for status, by zone.
    schedulers: dict[ZoneId, list[Address]] = {}
    gateway: str = ''
    #: A tenant's bearer key, for the job commands.
    tenant_key: str = ''


class SettingsError(ValueError):
    """A settings file is invalid; lists all problems."""

    def __init__(self, source: str, problems: list[str]) -> None:
        """Build a message that lists all problems."""
        self.problems = problems
        lines = '\n'.join(f'  {problem}' for problem in problems)
        super().__init__(f'{source}: {len(problems)} problem(s)\n{lines}')


_MISSING = object()
SettingsT = TypeVar('SettingsT', bound=msgspec.Struct)


def load(path: str, kind: type[SettingsT]) -> SettingsT:
    """Read and check a file.

    Raises
    ------
    SettingsError
        Listing all problems of the file.
    """
    try:
        text = pathlib.Path(path).read_text()
    except OSError as error:
        raise SettingsError(path, [f'expected a file: {error}']) from error
    checked = parse(text, kind)
    if isinstance(checked, Ok):
        return checked.ok_value
    raise SettingsError(path, checked.err_value)


def parse(
    text: str,
    kind: type[SettingsT],
) -> Result[SettingsT, list[str]]:
    """Check JSON with comments against a schema.

    Examples
    --------
    >>> from orchidrail.bundles.model import WaitingPolicy
    >>> outcome = parse('{"sample": 0, "depth": 1}', WaitingPolicy)
    >>> for problem in outcome.unwrap_err():
    ...     print(problem)
    sample: got 0, Expected `int` >= 1
    depth: got 1, expected one of ['kind', 'sample']
    """
    try:
        raw = json5.loads(text)
    except ValueError as error:
        return Err([f'not JSON with comments: {error}'])
    problems = list(_problems(raw, kind, ''))
    if problems:
        return Err(problems)
    return Ok(msgspec.convert(raw, kind))


def _problems(raw: Any, kind: Any, path: str) -> typing.Iterator[str]:
    kind = _unwrapped(kind, raw)
    if _is_struct(kind) and isinstance(raw, dict):
        return _struct_problems(raw, kind, path)
    origin = typing.get_origin(kind)
    if origin is dict and isinstance(raw, dict):
        return _dict_problems(raw, typing.get_args(kind)[1], path)
    if origin is list and isinstance(raw, list):
        return _list_problems(raw, typing.get_args(kind)[0], path)
    return _leaf_problems(raw, kind, path)


def _unwrapped(kind: Any, raw: Any) -> Any:
    """Resolve a ``NewType``, and a ``| None`` unless `raw` is None."""
    kind = getattr(kind, '__supertype__', kind)
    if raw is None or not isinstance(kind, types.UnionType):
        return kind
    others = [one for one in typing.get_args(kind) if one is not types.NoneType]
    return others[0] if len(others) == 1 else kind


def _dict_problems(
    raw: dict[str, Any],
    kind: Any,
    path: str,
) -> typing.Iterator[str]:
    for name, entry in raw.items():
        yield from _problems(entry, kind, _join(path, name))


def _list_problems(
    raw: list[Any],
    kind: Any,
    path: str,
) -> typing.Iterator[str]:
    for index, entry in enumerate(raw):
        yield from _problems(entry, kind, f'{path}[{index}]')


def _struct_problems(
    raw: dict[str, Any],
    kind: type,
    path: str,
) -> typing.Iterator[str]:
    hints = typing.get_type_hints(kind, include_extras=True)
    fields = msgspec.structs.fields(kind)
    tag_field = kind.__struct_config__.tag_field  # type: ignore[attr-defined]
    names = {field.encode_name for field in fields}
    names.update(filter(None, [tag_field]))
    for field in fields:
        field_path = _join(path, field.encode_name)
        entry = raw.get(field.encode_name, _MISSING)
        if entry is not _MISSING:
            yield from _problems(entry, hints[field.name], field_path)
        elif field.required:
            yield f'{field_path}: missing'
    for name in raw.keys() - names:
        expected = sorted(names)
        field_path = _join(path, name)
        yield f'{field_path}: got {raw[name]!r}, expected one of {expected!r}'


def _leaf_problems(raw: Any, kind: Any, path: str) -> typing.Iterator[str]:
    try:
        msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        reason = str(error).split(' - at')[0]
        quoted = '(secret)' if 'key' in path.lower() else repr(raw)
        yield f'{path}: got {quoted}, {reason}'


def _is_struct(kind: Any) -> bool:
    if isinstance(kind, types.UnionType):
        return False
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else str(name)
