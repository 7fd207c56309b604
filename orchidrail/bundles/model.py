"""Schema of the configuration bundle, as validated records."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

from orchidrail.resources import NOTHING, Resources
from orchidrail.types import ClassName, TenantId, ZoneId

_Fraction = Annotated[float, Meta(ge=0, le=1)]
_PositiveFloat = Annotated[float, Meta(gt=0)]
_PositiveInt = Annotated[int, Meta(ge=1)]


class _Section(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename='camel',
    forbid_unknown_fields=True,
):
    """Base of the sections of a bundle; unknown fields are rejected."""


class WaitingPolicy(_Section, frozen=True, tag='waiting', tag_field='kind'):
    """Place on the least loaded of a few sampled workers.

    Parameters
    ----------
    sample : int
        Number of workers sampled. In ``make bench``, more than one shortens
        no wait, as there is one shared queue, not one per worker.
    """

    sample: _PositiveInt = 1


class PackingPolicy(_Section, frozen=True, tag='packing', tag_field='kind'):
    """Place on the fullest worker that fits and retains its headroom.

    Parameters
    ----------
    candidates : int
        Number of the fullest workers that are scored.
    """

    candidates: _PositiveInt = 8


Policy = WaitingPolicy | PackingPolicy


class WorkKind(Enum):
    """Execution model of a class of work."""

    REQUEST = 'request'
    BATCH = 'batch'
    GANG = 'gang'
    SERVICE = 'service'


class WorkClass(_Section, frozen=True):
    """Scheduling rules of one class of work.

    Parameters
    ----------
    priority : int
        Work of higher priority is placed first.
    repeatable : bool
        Whether a request may be executed more than once.
    urgent : bool
        Whether it may preempt work of lower priority.
    timeout : float
        Total time limit of a request, in seconds.
    ageing : float
        Waiting time that raises the priority by one, in seconds.
    """

    kind: WorkKind
    policy: Policy = WaitingPolicy()
    priority: int = 0
    repeatable: bool = False
    urgent: bool = False
    preemptible: bool = False
    size: Resources = NOTHING
    timeout: _PositiveFloat = 10
    ageing: _PositiveFloat = 60
    max_attempts: _PositiveInt = 3


class Quota(_Section, frozen=True):
    """Maximum concurrent usage of a tenant per zone; zero means no limit."""

    cores: float = 0
    memory: float = 0
    accelerators: int = 0


class Tenant(_Section, frozen=True):
    """Weight, limits and keys of one tenant.

    Parameters
    ----------
    weight : float
        Relative share of capacity while work is queued.
    rate : float
        Requests per second that one gateway admits for it.
    keys : list of str
        ``sha256:`` digests of its bearer keys.
    """

    weight: _PositiveFloat = 1
    quota: Quota = Quota()
    rate: _PositiveFloat = 1000
    keys: list[str] = []


class Role(Enum):
    """Permission of an operator to change a bundle."""

    DRAFT = 'draft'
    REVIEW = 'review'
    SIGN_OFF = 'signOff'


class Operator(_Section, frozen=True):
    """Public ed25519 key (hex) and roles of an operator."""

    key: str
    roles: list[Role]


class Zone(_Section, frozen=True):
    """Settings of one availability zone."""

    #: Capacity that batch and gang work leaves free on each worker.
    headroom: Resources = NOTHING
    #: Workers that operators are draining.
    draining: list[str] = []


class Bundle(_Section, frozen=True):
    """All configuration that operators control."""

    tenants: dict[TenantId, Tenant] = {}
    classes: dict[ClassName, WorkClass] = {}
    zones: dict[ZoneId, Zone] = {}
    operators: dict[str, Operator] = {}
    #: Maximum share of a zone's workers that may be ejected for failures.
    max_ejected: _Fraction = 0.3

    def zone(self, name: ZoneId) -> Zone:
        """Return the settings of a zone, or the defaults if it has none."""
        return self.zones.get(name, Zone())
