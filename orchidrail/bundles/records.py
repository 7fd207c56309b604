"""Records of the bundle stream.

Draft, review and sign-off records coordinate operators. A publish record
embeds all three, so that a replay never needs records that the log may have
trimmed.
"""

from __future__ import annotations

import msgspec

from orchidrail.types import BundleVersion


class _Record(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename='camel',
    tag_field='record',
):
    """Base of the records in the bundle stream."""


class Draft(_Record, frozen=True, tag='draft'):
    """A proposed change: a JSON patch (RFC 6902) on version `base`."""

    base: BundleVersion
    author: str
    patch: str
    note: str = ''
    signature: str = ''


class Review(_Record, frozen=True, tag='review'):
    """A reviewer's approval of a draft."""

    draft: str
    reviewer: str
    signature: str


class SignOff(_Record, frozen=True, tag='signOff'):
    """Permission to publish a draft; covers the hash of the new bundle."""

    draft: str
    signer: str
    version: BundleVersion
    content_hash: str
    signature: str


class Publish(_Record, frozen=True, tag='publish'):
    """Activates a draft, if it is the first published on its base version."""

    draft: Draft
    review: Review
    sign_off: SignOff


class Snapshot(_Record, frozen=True, tag='snapshot'):
    """The complete active bundle with the sign-off that authorizes it."""

    version: BundleVersion
    document: str
    sign_off: SignOff


BundleRecord = Draft | Review | SignOff | Publish | Snapshot


def encode_record(record: BundleRecord) -> str:
    """Encode a record as JSON."""
    return msgspec.json.encode(record).decode()


def decode_record(payload: str) -> BundleRecord:
    """Decode a record from JSON.

    Raises
    ------
    msgspec.DecodeError
        If `payload` is not a valid record.
    """
    return msgspec.json.decode(payload, type=BundleRecord)
