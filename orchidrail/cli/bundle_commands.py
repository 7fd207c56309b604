"""``orchidrail bundle``: drafts, reviews, sign-offs, publishing."""

from __future__ import annotations

import asyncio
import pathlib
from typing import TYPE_CHECKING, NoReturn

import json5
import jsonpatch
import msgspec
from result import Ok

from orchidrail.bundles.fold import BundleFold, apply_patch
from orchidrail.bundles.model import Bundle
from orchidrail.bundles.records import (
    Draft,
    Publish,
    Review,
    SignOff,
    encode_record,
)
from orchidrail.bundles.signing import (
    canonical,
    document_hash,
    draft_id,
    draft_text,
    review_text,
    sign,
    sign_off_text,
)
from orchidrail.cli.context import Command, Context
from orchidrail.cli.output import ExitCode, fail, print_line, show, show_json
from orchidrail.settings import parse
from orchidrail.types import BundleVersion, Seconds
from orchidrail.wire.messages import QueryStatus, Status

if TYPE_CHECKING:
    from orchidrail.settings import OperatorSettings

_ROLL_OUT_TIMEOUT: Seconds = 30
_ROLL_OUT_POLL_INTERVAL: Seconds = 0.25


class BundleCommands(Command):
    """Draft, review, sign off and publish versions of the bundle."""

    def draft(self, file: str, note: str = '') -> None:
        """Propose the bundle in FILE (JSON with comments) as the next one.

        Example: orchidrail bundle draft bundle.json --note "raise quota"
        """
        self._run('_draft', file, note)

    def review(self, draft: str) -> None:
        """Approve another operator's draft.

        Example: orchidrail bundle review 3f2a9c0d1b7e4a55
        """
        self._run('_review', str(draft))

    def sign_off(self, draft: str) -> None:
        """Approve a reviewed draft and its outcome for publication.

        Example: orchidrail bundle sign-off 3f2a9c0d1b7e4a55
        """
        self._run('_sign_off', str(draft))

    def publish(self, draft: str, wait: bool = True) -> None:
        """Publish a signed-off draft and follow its roll-out.

        Ends with 3 if another draft on the same base was first.

        Example: orchidrail bundle publish 3f2a9c0d1b7e4a55
        """
        self._run('_publish', str(draft), wait)

    def show(self) -> None:
        """Show the bundle in force.

        Example: orchidrail bundle show
        """
        self._run('_show')

    def diff(self, draft: str) -> None:
        """Show what a draft changes.

        Example: orchidrail bundle diff 3f2a9c0d1b7e4a55
        """
        self._run('_diff', str(draft))

    def history(self) -> None:
        """List publish attempts, with the reason where one was rejected.

        Example: orchidrail bundle history
        """
        self._run('_history')

    async def _draft(self, context: Context, file: str, note: str) -> None:
        fold = await context.read_bundle()
        target = _read_bundle(file)
        patch = jsonpatch.make_patch(
            msgspec.json.decode(fold.document),
            msgspec.json.decode(canonical(target)),
        )
        draft = Draft(
            base=fold.version,
            author=context.settings.name,
            patch=patch.to_string(),
            note=note,
        )
        signed = msgspec.structs.replace(
            draft,
            signature=_sign(context.settings, draft_text(draft)),
        )
        await context.append(encode_record(signed))
        print_line(draft_id(signed))

    async def _review(self, context: Context, draft: str) -> None:
        fold = await context.read_bundle()
        _find_open_draft(fold, draft)
        signature = _sign(context.settings, review_text(draft))
        review = Review(
            draft=draft,
            reviewer=context.settings.name,
            signature=signature,
        )
        await context.append(encode_record(review))
        print_line(f'reviewed {draft}')

    async def _sign_off(self, context: Context, draft: str) -> None:
        fold = await context.read_bundle()
        found = _find_open_draft(fold, draft)
        outcome = apply_patch(fold.document, found.patch)
        if not isinstance(outcome, Ok):
            fail(ExitCode.REFUSED, f'{draft}: {outcome.err_value}')
        content_hash = document_hash(outcome.ok_value)
        version = BundleVersion(found.base + 1)
        text = sign_off_text(draft, version, content_hash)
        sign_off = SignOff(
            draft=draft,
            signer=context.settings.name,
            version=version,
            content_hash=content_hash,
            signature=_sign(context.settings, text),
        )
        await context.append(encode_record(sign_off))
        print_line(f'signed off {draft} as version {version}')

    async def _publish(self, context: Context, draft: str, wait: bool) -> None:
        fold = await context.read_bundle()
        if draft not in fold.draft_by_id:
            _fail_not_accepted(fold, draft, 'it is not an open draft')
        found = _find_open_draft(fold, draft)
        review = fold.review_by_draft.get(draft)
        sign_off = fold.sign_off_by_draft.get(draft)
        if review is None or sign_off is None:
            fail(ExitCode.REFUSED, f'{draft} lacks a review or a sign-off')
        record = Publish(draft=found, review=review, sign_off=sign_off)
        offset = await context.append(encode_record(record))
        fold = await context.read_bundle()
        _report_outcome(fold, offset, draft)
        if wait:
            await _follow_roll_out(context, fold.version)

    async def _show(self, context: Context) -> None:
        fold = await context.read_bundle()
        if self._json:
            show_json({'version': fold.version, 'bundle': fold.bundle})
            return
        print_line(f'version {fold.version}')
        pretty = msgspec.json.format(fold.document, indent=2)
        print_line(pretty)

    async def _diff(self, context: Context, draft: str) -> None:
        fold = await context.read_bundle()
        patch = msgspec.json.decode(_find_open_draft(fold, draft).patch)
        rows = [
            (
                step['op'],
                step['path'],
                msgspec.json.encode(step.get('value')).decode(),
            )
            for step in patch
        ]
        show(draft, ('change', 'path', 'value'), rows, json=self._json)

    async def _history(self, context: Context) -> None:
        fold = await context.read_bundle()
        rows = [
            (
                str(entry.offset),
                entry.draft,
                'won' if entry.won else 'lost',
                str(entry.version),
                entry.reason,
            )
            for entry in fold.history
        ]
        columns = ('offset', 'draft', 'outcome', 'in force', 'reason')
        show('publishes', columns, rows, json=self._json)


def _read_bundle(file: str) -> Bundle:
    try:
        text = pathlib.Path(file).read_text()
        json5.loads(text)
    except (OSError, ValueError) as error:
        fail(ExitCode.USAGE, f'{file}: {error}')
    checked = parse(text, Bundle)
    if isinstance(checked, Ok):
        return checked.ok_value
    fail(ExitCode.USAGE, '\n'.join([f'{file}:', *checked.err_value]))


def _sign(settings: OperatorSettings, text: str) -> str:
    if not settings.private_key:
        fail(
            ExitCode.USAGE,
            'the settings lack privateKey, which is needed to sign',
        )
    return sign(settings.private_key, text)


def _find_open_draft(fold: BundleFold, draft: str) -> Draft:
    found = fold.draft_by_id.get(draft)
    if found is None:
        known = ', '.join(fold.draft_by_id) or 'none'
        fail(ExitCode.REFUSED, f'no open draft {draft!r}; open: {known}')
    return found


def _report_outcome(fold: BundleFold, offset: int, draft: str) -> None:
    own_entries = [entry for entry in fold.history if entry.offset == offset]
    if own_entries and own_entries[0].won:
        print_line(f'version {own_entries[0].version} is accepted')
        return
    reason = (
        own_entries[0].reason
        if own_entries
        else 'its record was not found in the stream'
    )
    _fail_not_accepted(fold, draft, reason)


def _fail_not_accepted(fold: BundleFold, draft: str, reason: str) -> NoReturn:
    """Report which draft is in force and how to proceed."""
    winner = next(
        (entry for entry in reversed(fold.history) if entry.won),
        None,
    )
    won = 'none' if winner is None else f'draft {winner.draft}'
    fail(
        ExitCode.CONFLICT,
        f'{draft} was not accepted: {reason}.\n'
        f'In force: version {fold.version}, {won}. Make a new draft on it: '
        'orchidrail bundle draft FILE',
    )


async def _follow_roll_out(context: Context, version: int) -> None:
    """Report the roll-out of a version until all schedulers run it."""
    clock = asyncio.get_running_loop().time
    end = clock() + _ROLL_OUT_TIMEOUT
    shown_line = ''
    while clock() < end:
        versions = await daemon_versions(context)
        done = sum(found >= version for found in versions.values())
        line = f'version {version}: {done} of {len(versions)} schedulers'
        if line != shown_line:
            print_line(line)
            shown_line = line
        if done == len(versions):
            return
        await asyncio.sleep(_ROLL_OUT_POLL_INTERVAL)
    fail(ExitCode.UNREACHABLE, f'roll-out timed out: {versions!r}')


async def daemon_versions(context: Context) -> dict[str, int]:
    """Return the version in force at each scheduler, -1 if unreachable."""
    versions = {}
    for zone, addresses in context.settings.schedulers.items():
        for address in addresses:
            answer = await context.ask(address, QueryStatus())
            version = -1
            if isinstance(answer, Status):
                version = msgspec.json.decode(answer.document)['bundle']
            versions[f'{zone} {address}'] = version
    return versions
