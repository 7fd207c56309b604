"""The deterministic fold from the log's records to the bundle in force.

Every reader runs the same fold, so the log's order alone decides which draft
on a base wins. Versions only grow.
"""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING, NamedTuple

import jsonpatch
import msgspec
import structlog
from result import Err, Ok, Result

from orchidrail.bundles.model import Bundle, Role
from orchidrail.bundles.records import (
    BundleRecord,
    Draft,
    Publish,
    Review,
    SignOff,
    Snapshot,
    decode_record,
)
from orchidrail.bundles.signing import (
    allowed,
    canonical,
    document_hash,
    draft_id,
    draft_text,
    review_text,
    sign_off_text,
)
from orchidrail.invariants import Invariant, Invariants
from orchidrail.logservice.ports import LogRecord
from orchidrail.types import BundleVersion, Offset, Seconds

if TYPE_CHECKING:
    from collections.abc import Callable

#: Records of past publishes kept for `history`.
_HISTORY = 100
_log = structlog.get_logger()


class PublishOutcome(NamedTuple):
    """What became of one publish record."""

    draft: str
    offset: Offset
    version: BundleVersion
    won: bool
    reason: str


def apply_patch(document: str, patch: str) -> Result[str, str]:
    """Apply a JSON patch to a canonical document and check the outcome.

    Returns
    -------
    Ok with the new canonical document, or Err with what is wrong.

    Examples
    --------
    >>> from orchidrail.bundles.signing import canonical
    >>> patch = '[{"op": "replace", "path": "/maxEjected", "value": 2}]'
    >>> apply_patch(canonical(Bundle()), patch).unwrap_err()
    'Expected `float` <= 1.0 - at `$.maxEjected`'
    """
    try:
        changed = jsonpatch.apply_patch(
            msgspec.json.decode(document),
            msgspec.json.decode(patch),
        )
        bundle = msgspec.convert(changed, Bundle)
    except (
        jsonpatch.JsonPatchException,
        jsonpatch.JsonPointerException,
        msgspec.MsgspecError,
        TypeError,
        KeyError,
    ) as error:
        return Err(str(error))
    return Ok(canonical(bundle))


class BundleFold:
    """The bundle in force, as this process knows it.

    Parameters
    ----------
    genesis : Bundle
        Version 0: whom the settings trust to publish the first version.
    on_change : callable, optional
        Called after each new version.
    """

    def __init__(
        self,
        genesis: Bundle,
        on_change: Callable[[], None] | None = None,
        invariants: Invariants | None = None,
    ) -> None:
        """Start with version 0."""
        self.version = BundleVersion(0)
        self.bundle = genesis
        self.document = canonical(genesis)
        self.sign_off: SignOff | None = None
        self.offset = Offset(-1)
        #: The log's time of the newest record that holds the whole version.
        self.kept_at: Seconds = 0
        self.history: list[PublishOutcome] = []
        self.draft_by_id: dict[str, Draft] = {}
        self.review_by_draft: dict[str, Review] = {}
        self.sign_off_by_draft: dict[str, SignOff] = {}
        self.gap = False
        self._on_change = on_change
        self._invariants = invariants or Invariants()

    def apply(self, record: LogRecord) -> None:
        """See `Fold.apply`."""
        try:
            parsed = decode_record(record.payload)
        except msgspec.MsgspecError as error:
            _log.warning('not a bundle record', error=str(error))
            return
        self._fold(parsed, record)

    def note_gap(self, first: Offset) -> None:
        """See `Fold.note_gap`; the next snapshot closes it."""
        self.gap = True

    def snapshot(self) -> Snapshot | None:
        """Return the version in force with its sign-off, once there is one."""
        if self.sign_off is None:
            return None
        return Snapshot(
            version=self.version,
            document=self.document,
            sign_off=self.sign_off,
        )

    def adopt(self, snapshot: Snapshot, offset: Offset) -> bool:
        """Take a newer version, from a peer or the log, if it is signed off.

        The signer must be known to the version in force here.
        """
        if snapshot.version <= self.version or not self._trusts(snapshot):
            return False
        try:
            bundle = msgspec.json.decode(snapshot.document, type=Bundle)
        except msgspec.MsgspecError:
            return False
        self.gap = False
        self._enter(bundle, snapshot.document, snapshot.sign_off, offset)
        return True

    @singledispatchmethod
    def _fold(self, record: BundleRecord, where: LogRecord) -> None:
        raise TypeError(f'expected a bundle record, got {record!r}')

    @_fold.register
    def _(self, record: Draft, where: LogRecord) -> None:
        if record.base >= self.version:
            self.draft_by_id[draft_id(record)] = record

    @_fold.register
    def _(self, record: Review, where: LogRecord) -> None:
        self.review_by_draft[record.draft] = record

    @_fold.register
    def _(self, record: SignOff, where: LogRecord) -> None:
        self.sign_off_by_draft[record.draft] = record

    @_fold.register
    def _(self, record: Snapshot, where: LogRecord) -> None:
        self.adopt(record, where.offset)
        if record.version == self.version:
            self.offset = where.offset
            self.kept_at = where.at

    @_fold.register
    def _(self, record: Publish, where: LogRecord) -> None:
        outcome = self._judge(record)
        won = isinstance(outcome, Ok)
        if isinstance(outcome, Ok):
            bundle = msgspec.json.decode(outcome.ok_value, type=Bundle)
            document = outcome.ok_value
            self._enter(bundle, document, record.sign_off, where.offset)
            self.kept_at = where.at
        self.history.append(
            PublishOutcome(
                draft_id(record.draft),
                where.offset,
                self.version,
                won,
                '' if won else str(outcome.err()),
            ),
        )
        self.history = self.history[-_HISTORY:]

    def _judge(self, record: Publish) -> Result[str, str]:
        """Return the new document, or why the record changes nothing."""
        if record.draft.base != self.version:
            return Err(
                f'expected base {self.version!r}, got {record.draft.base!r}',
            )
        reason = self._check_signatures(record)
        if reason:
            return Err(reason)
        outcome = apply_patch(self.document, record.draft.patch)
        if not isinstance(outcome, Ok):
            return outcome
        content_hash = document_hash(outcome.ok_value)
        if content_hash != record.sign_off.content_hash:
            return Err('the sign-off is for another outcome')
        return outcome

    def _check_signatures(self, record: Publish) -> str:
        draft = draft_id(record.draft)
        author = record.draft.author
        steps = (
            (
                author,
                Role.DRAFT,
                draft_text(record.draft),
                record.draft.signature,
            ),
            (
                record.review.reviewer,
                Role.REVIEW,
                review_text(draft),
                record.review.signature,
            ),
            (
                record.sign_off.signer,
                Role.SIGN_OFF,
                sign_off_text(
                    draft,
                    record.draft.base + 1,
                    record.sign_off.content_hash,
                ),
                record.sign_off.signature,
            ),
        )
        for operator, role, text, signature in steps:
            if not allowed(self.bundle, operator, role, text, signature):
                return f'{operator!r} may not {role.value}, or signed otherwise'
        if author in {record.review.reviewer, record.sign_off.signer}:
            return f'{author!r} may not approve a draft of their own'
        return ''

    def _trusts(self, snapshot: Snapshot) -> bool:
        sign_off = snapshot.sign_off
        text = sign_off_text(
            sign_off.draft,
            snapshot.version,
            document_hash(snapshot.document),
        )
        return allowed(
            self.bundle,
            sign_off.signer,
            Role.SIGN_OFF,
            text,
            sign_off.signature,
        )

    def _enter(
        self,
        bundle: Bundle,
        document: str,
        sign_off: SignOff,
        offset: Offset,
    ) -> None:
        version = sign_off.version
        if not self._invariants.hold(
            version > self.version,
            Invariant.VERSION_GROWS,
            known=self.version,
            offered=version,
        ):
            return
        self.version = version
        self.bundle = bundle
        self.document = document
        self.sign_off = sign_off
        self.offset = offset
        self._drop_old_drafts()
        _log.info('bundle in force', version=version)
        if self._on_change is not None:
            self._on_change()

    def _drop_old_drafts(self) -> None:
        for name, draft in list(self.draft_by_id.items()):
            if draft.base < self.version:
                self.draft_by_id.pop(name)
                self.review_by_draft.pop(name, None)
                self.sign_off_by_draft.pop(name, None)
