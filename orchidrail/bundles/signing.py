"""Ed25519 signatures of operators and the texts that they cover."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from orchidrail.bundles.model import Bundle, Role

if TYPE_CHECKING:
    from orchidrail.bundles.records import Draft


#: Length of a draft id, in hexadecimal digits.
_DRAFT_ID_LENGTH = 16


def make_key() -> tuple[str, str]:
    """Generate a key pair; return private and public key in hex."""
    private = Ed25519PrivateKey.generate()
    return (
        private.private_bytes_raw().hex(),
        private.public_key().public_bytes_raw().hex(),
    )


def sign(private_key: str, text: str) -> str:
    """Sign `text`; the key and the signature are in hex."""
    raw = bytes.fromhex(private_key)
    return Ed25519PrivateKey.from_private_bytes(raw).sign(text.encode()).hex()


def verify(public_key: str, text: str, signature: str) -> bool:
    """Return whether `signature` is valid for `text` and `public_key`."""
    try:
        key = Ed25519PublicKey.from_public_bytes(bytes.fromhex(public_key))
        key.verify(bytes.fromhex(signature), text.encode())
    except (InvalidSignature, ValueError):
        return False
    return True


def allowed(
    bundle: Bundle,
    operator: str,
    role: Role,
    text: str,
    signature: str,
) -> bool:
    """Return whether `operator` has `role` and has signed `text`."""
    known_operator = bundle.operators.get(operator)
    if known_operator is None or role not in known_operator.roles:
        return False
    return verify(known_operator.key, text, signature)


def document_hash(document: str) -> str:
    """Return the SHA-256 digest of a canonical document, in hex."""
    return hashlib.sha256(document.encode()).hexdigest()


def canonical(bundle: Bundle) -> str:
    """Return the canonical JSON document of a bundle.

    The bundle is decoded once before the final encoding, so that whole
    numbers in float fields are always written alike: ``1`` becomes ``1.0``.
    """
    raw = msgspec.json.encode(bundle)
    read_back = msgspec.json.decode(raw, type=Bundle)
    return msgspec.json.encode(read_back, order='deterministic').decode()


def draft_text(draft: Draft) -> str:
    """Return the text that the author signs; its hash gives the draft id."""
    return f'draft/{draft.base}/{draft.author}/{draft.patch}'


def draft_id(draft: Draft) -> str:
    """Return the id of a draft, derived from its content."""
    return document_hash(draft_text(draft))[:_DRAFT_ID_LENGTH]


def review_text(draft: str) -> str:
    """Return the text that a reviewer signs."""
    return f'review/{draft}'


def sign_off_text(draft: str, version: int, content_hash: str) -> str:
    """Return the text of a sign-off: draft, version and new content."""
    return f'sign-off/{draft}/{version}/{content_hash}'
