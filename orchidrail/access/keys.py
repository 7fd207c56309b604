"""Tenants by their bearer keys, of which only digests are kept."""

from __future__ import annotations

import hashlib
import secrets

import msgspec

from orchidrail.types import TenantId

_DIGEST_PREFIX = 'sha256:'
_SCHEME = 'Bearer '
_KEY_BYTES = 24


def digest_of(key: str) -> str:
    """Return the digest by which a bearer key is known.

    Examples
    --------
    >>> digest_of('secret')[:14]
    'sha256:2bb80d5'
    """
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f'{_DIGEST_PREFIX}{digest}'


def make_bearer_key() -> str:
    """Return a new bearer key."""
    return secrets.token_urlsafe(_KEY_BYTES)


def bearer_key(authorization: str) -> str | None:
    """Return the key of an ``Authorization`` header, if it bears one.

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
    """The keys that one configuration knows.

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
        """Return the tenant of an ``Authorization`` header, if it has one.

        Looked up is a digest, no part of which a caller can choose, so how long
        that takes tells nothing of the keys that are known.
        """
        key = bearer_key(authorization)
        if key is None:
            return None
        return self.tenant_by_digest.get(digest_of(key))
