"""Validated request and response bodies of the HTTP API."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from orchidrail.resources import Resources
from orchidrail.types import ClassName

_PositiveFloat = Annotated[float, Meta(gt=0)]
_NonNegativeFloat = Annotated[float, Meta(ge=0)]
_NonNegativeInt = Annotated[int, Meta(ge=0)]
#: Maximum number of tasks of a job.
MAX_TASKS = 10_000


class _Body(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename='camel',
    forbid_unknown_fields=True,
):
    """Base class of all bodies; rejects unknown fields."""


class SizeBody(_Body, frozen=True):
    """Resources that each task of a job needs."""

    cores: _NonNegativeFloat = 0
    memory: _NonNegativeFloat = 0
    accelerators: _NonNegativeInt = 0

    def as_resources(self) -> Resources:
        """Return the size as resources."""
        return Resources(self.cores, self.memory, self.accelerators)


class KeyBody(_Body, frozen=True):
    """Request body of ``POST /v1/keys``."""

    class_name: ClassName = msgspec.field(name='class')


class RequestBody(_Body, frozen=True):
    """Request body of ``POST /v1/requests``."""

    class_name: ClassName = msgspec.field(name='class')
    payload: Any = None
    key: str = ''
    #: Maximum seconds to wait for a grant; by default the class's timeout.
    patience: _PositiveFloat | None = None


class JobBody(_Body, frozen=True):
    """Request body of ``POST /v1/jobs``."""

    class_name: ClassName = msgspec.field(name='class')
    key: str
    payload: Any = None
    count: Annotated[int, Meta(ge=1, le=MAX_TASKS)] = 1
    size: SizeBody | None = None
    patience: _PositiveFloat = 5


class ReplyBody(_Body, frozen=True):
    """Response body of ``POST /v1/requests``."""

    verdict: str
    answer: str = ''
    failed: bool = False


class KeyReply(_Body, frozen=True):
    """Response body of ``POST /v1/keys``."""

    key: str


class JobReply(_Body, frozen=True):
    """Status of a job."""

    job: str
    verdict: str
    state: str
    count: int
    running: int
    finished: int
    failed: int
    detail: str = ''
    answers: list[str] = []


class Problem(_Body, frozen=True):
    """Problem details (RFC 9457)."""

    type: str
    title: str
    status: int
    detail: str
    verdict: str
    #: Seconds after which to retry, as in the ``Retry-After`` header.
    retry_after: float | None = None
    field: str | None = None
