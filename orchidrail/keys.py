"""Keys of requests that must run at most once.

The system issues a key, which contains its time of issue and names a worker as
its *witness*. The single claim on the key is stored there, so that two
schedulers with different lists of workers agree on where the claim is kept.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import uuid_utils
from result import Err, Ok, Result

from orchidrail.types import RequestKey, Seconds, TaskId, WorkerId, ZoneId

if TYPE_CHECKING:
    from uuid_utils import UUID

#: Time after its issue for which a key may be used.
KEY_WINDOW: Seconds = 120
#: Largest difference between two wall clocks.
CLOCK_SKEW: Seconds = 5
_SEPARATOR = '.'
#: Number of parts in a key for a request and in a key for a job.
_PARTS = frozenset((4, 6))
_UUID_VERSION = 7
_MILLISECONDS = 1000


class ParsedKey(msgspec.Struct, frozen=True):
    """The parts of a key."""

    text: RequestKey
    issued_at: Seconds
    zone: ZoneId
    witness: WorkerId
    boot: str
    #: Second witness, present in keys for jobs.
    backup: WorkerId = WorkerId('')
    backup_boot: str = ''

    @property
    def task(self) -> TaskId:
        """The task as which the request runs."""
        return TaskId(self.text.split(_SEPARATOR)[0])

    @property
    def claim(self) -> TaskId:
        """The marker at the witness that grants the right to run."""
        return claim_of(self.task)


def claim_of(task: TaskId) -> TaskId:
    """Return the key of the marker that grants the right to run `task`."""
    return TaskId(f'claim/{task}')


def new_id() -> str:
    """Return a new UUID of version 7, which contains its time of issue."""
    return str(uuid_utils.uuid7())


def issue_key(
    identity: str,
    zone: ZoneId,
    witness: WorkerId,
    boot: str,
) -> RequestKey:
    """Return a new key.

    Parameters
    ----------
    identity : str
        A UUID of version 7.
    """
    return RequestKey(_SEPARATOR.join((identity, zone, witness, boot)))


def extend_key(key: RequestKey, backup: WorkerId, boot: str) -> RequestKey:
    """Return a key for a job, which names a second witness."""
    return RequestKey(_SEPARATOR.join((key, backup, boot)))


def parse_key(text: str, now: Seconds) -> Result[ParsedKey, str]:
    """Check a key that a caller sent.

    Returns
    -------
    Ok with the parts, or Err with the value found and what was expected.

    Examples
    --------
    >>> identity = '0192f1c0-1a2b-7000-8000-000000000000'
    >>> key = issue_key(identity, ZoneId('hall-1'), WorkerId('w-1'), 'b1')
    >>> issued_at = 0x0192F1C01A2B / 1000
    >>> parse_key(key, now=issued_at + 1).unwrap().witness
    'w-1'
    >>> parse_key(key, now=issued_at + 500).unwrap_err()
    'the key is 500 s old, expected at most 120 s'
    """
    parts = text.split(_SEPARATOR)
    if len(parts) not in _PARTS or not all(parts):
        return Err(f'got {text!r}, expected a key as POST /v1/keys issues it')
    try:
        identity = uuid_utils.UUID(parts[0])
    except ValueError:
        return Err(f'got {parts[0]!r}, expected a UUID of version 7')
    if identity.version != _UUID_VERSION:
        return Err(f'got {parts[0]!r}, which lacks its time of issue')
    return _check_age(_assemble(text, identity, parts), now)


def _assemble(text: str, identity: UUID, parts: list[str]) -> ParsedKey:
    return ParsedKey(
        RequestKey(text),
        identity.timestamp / _MILLISECONDS,
        ZoneId(parts[1]),
        *parts[2:],  # type: ignore[arg-type]
    )


def _check_age(key: ParsedKey, now: Seconds) -> Result[ParsedKey, str]:
    age = now - key.issued_at
    if age < -CLOCK_SKEW:
        return Err(f'the key was issued {-age:.0f} s in the future')
    if age > KEY_WINDOW:
        limit = f'{KEY_WINDOW:.0f}'
        return Err(f'the key is {age:.0f} s old, expected at most {limit} s')
    return Ok(key)
