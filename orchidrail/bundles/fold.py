"""Deterministic replay of the log's records into the active bundle.

Every reader applies the same records in log order, so that order alone
decides which draft on a base version wins. Versions only increase.
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

#: Maximum number of publish outcomes kept in `history`.
_MAX_HISTORY = 100
_log = structlog.get_logger()


class PublishOutcome(NamedTuple):
    """Outcome of one publish record."""

    draft: str
    offset: Offset
    version: BundleVersion
    won: bool
    reason: str


def apply_patch(document: str, patch: str) -> Result[str, str]:
    """Apply a JSON patch to a canonical document and validate the result.

    Returns
    -------
    Ok with the new canonical document, or Err with the validation error.

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
    """The active bundle, as known to this process.

    Parameters
    ----------
    genesis : Bundle
        Version 0, from the settings: names the operators that are trusted to
        publish the first version.
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
        #: Log time of the newest record that holds the complete version.
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
            _log.warning('cannot decode bundle record', error=str(error))
            return
        self._replay(parsed, record)

    def note_gap(self, first: Offset) -> None:
        """See `Fold.note_gap`; the next snapshot clears the flag."""
        self.gap = True

    def snapshot(self) -> Snapshot | None:
        """Return the active version, or None while it is version 0."""
        if self.sign_off is None:
            return None
        return Snapshot(
            version=self.version,
            document=self.document,
            sign_off=self.sign_off,
        )

    def adopt(self, snapshot: Snapshot, offset: Offset) -> bool:
        """Activate a newer, signed-off version from a peer or the log.

        The signer must be an operator of the version that is active here.
        Returns whether the snapshot was accepted.
        """
        if snapshot.version <= self.version or not self._authorized(snapshot):
            return False
        try:
            bundle = msgspec.json.decode(snapshot.document, type=Bundle)
        except msgspec.MsgspecError:
            return False
        self.gap = False
        self._activate(bundle, snapshot.document, snapshot.sign_off, offset)
        return True

    @singledispatchmethod
    def _replay(self, record: BundleRecord, log_record: LogRecord) -> None:
        raise TypeError(f'expected a bundle record, got {record!r}')

    @_replay.register
    def _(self, record: Draft, log_record: LogRecord) -> None:
        if record.base >= self.version:
            self.draft_by_id[draft_id(record)] = record

    @_replay.register
    def _(self, record: Review, log_record: LogRecord) -> None:
        self.review_by_draft[record.draft] = record

    @_replay.register
    def _(self, record: SignOff, log_record: LogRecord) -> None:
        self.sign_off_by_draft[record.draft] = record

    @_replay.register
    def _(self, record: Snapshot, log_record: LogRecord) -> None:
        self.adopt(record, log_record.offset)
        if record.version == self.version:
            self.offset = log_record.offset
            self.kept_at = log_record.at

    @_replay.register
    def _(self, record: Publish, log_record: LogRecord) -> None:
        outcome = self._evaluate(record)
        won = isinstance(outcome, Ok)
        if isinstance(outcome, Ok):
            bundle = msgspec.json.decode(outcome.ok_value, type=Bundle)
            document = outcome.ok_value
            self._activate(bundle, document, record.sign_off, log_record.offset)
            self.kept_at = log_record.at
        self.history.append(
            PublishOutcome(
                draft_id(record.draft),
                log_record.offset,
                self.version,
                won,
                '' if won else str(outcome.err()),
            ),
        )
        self.history = self.history[-_MAX_HISTORY:]

    def _evaluate(self, record: Publish) -> Result[str, str]:
        """Return the new document, or why the record is rejected."""
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
            return Err('the sign-off covers a different document')
        return outcome

    def _check_signatures(self, record: Publish) -> str:
        draft = draft_id(record.draft)
        author = record.draft.author
        approvals = (
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
        for operator, role, text, signature in approvals:
            if not allowed(self.bundle, operator, role, text, signature):
                return (
                    f'{operator!r} lacks role {role.value} or a valid signature'
                )
        if author in {record.review.reviewer, record.sign_off.signer}:
            return f'{author!r} may not approve a draft of their own'
        return ''

    def _authorized(self, snapshot: Snapshot) -> bool:
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

    def _activate(
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
        self._drop_outdated_drafts()
        _log.info('bundle activated', version=version)
        if self._on_change is not None:
            self._on_change()

    def _drop_outdated_drafts(self) -> None:
        for draft_key, draft in list(self.draft_by_id.items()):
            if draft.base < self.version:
                self.draft_by_id.pop(draft_key)
                self.review_by_draft.pop(draft_key, None)
                self.sign_off_by_draft.pop(draft_key, None)
