"""Bearer keys of tenants, stored as digests only."""

from __future__ import annotations

import hashlib
import secrets

import msgspec

from orchidrail.types import TenantId

_DIGEST_PREFIX = 'sha256:'
_SCHEME = 'Bearer '
_KEY_BYTES = 24


def digest_of(key: str) -> str:
    """Return the digest that is stored for a bearer key.

    Examples
    --------
    >>> digest_of('secret')[:14]
    'sha256:2bb80d5'
    """
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f'{_DIGEST_PREFIX}{digest}'


def make_bearer_key() -> str:
    """Return a new random bearer key."""
    return secrets.token_urlsafe(_KEY_BYTES)


def bearer_key(authorization: str) -> str | None:
    """Return the bearer key of an ``Authorization`` header, if any.

    Examples
    --------
    >>> bearer_key('Bearer secret')
    'secret'
    >>> bearer_key('Basic secret')
    """
    if not authorization.startswith(_SCHEME):
        return None
    return authorization.removeprefix(_SCHEME).strip() or None


class KeyRing(msgspec.Struct, frozen=True):
    """The bearer keys of one configuration.

    Parameters
    ----------
    tenant_by_digest : dict

    Examples
    --------
    >>> ring = KeyRing({digest_of('secret'): TenantId('stores')})
    >>> ring.identify('Bearer secret'), ring.identify('Bearer other')
    ('stores', None)
    """

    tenant_by_digest: dict[str, TenantId] = {}

    def identify(self, authorization: str) -> TenantId | None:
        """Return the tenant of an ``Authorization`` header, if any.

        Keys are looked up by digest, which a caller cannot choose, so the time
        of a lookup reveals nothing about the valid keys.
        """
        key = bearer_key(authorization)
        if key is None:
            return None
        return self.tenant_by_digest.get(digest_of(key))
