"""The member list in the store, by which instances discover each other."""

from __future__ import annotations

import asyncio

import msgspec
import structlog

from orchidrail.decoding import DECODE_ERRORS
from orchidrail.journal import JournalView
from orchidrail.peers.table import PeerTable
from orchidrail.store import Appended, KeyedRecord
from orchidrail.types import Seconds
from orchidrail.work.model import MemberInfo

_log = structlog.get_logger()
#: A new instance contacts all members itself, so the list is read rarely.
_READ_INTERVAL: Seconds = 3.0
_RETRY_PAUSE: Seconds = 0.25
#: Bytes of an entry that are quoted in a log line.
_MAX_QUOTED = 120
_decode = msgspec.msgpack.Decoder(MemberInfo).decode
_encode = msgspec.msgpack.Encoder().encode


class MemberList:
    """Registers this process and adds the other members to the peer table.

    Parameters
    ----------
    view : JournalView
        Follows the member list.
    table : PeerTable
    """

    def __init__(self, view: JournalView, table: PeerTable) -> None:
        """Start unregistered."""
        self._view = view
        self._table = table
        self._rejected_by_key: dict[str, bytes] = {}

    async def run(self) -> None:
        """Register this process, then read the list periodically."""
        while not await self._register():
            await asyncio.sleep(_RETRY_PAUSE)
        while True:
            read = await self._view.catch_up()
            self._add_members()
            await asyncio.sleep(_READ_INTERVAL if read else _RETRY_PAUSE)

    def _add_members(self) -> None:
        """Add the members listed; entries by other writers are passed over."""
        for key, raw in self._view.value_by_key.items():
            try:
                self._table.add_member(_decode(raw))
            except DECODE_ERRORS as error:
                self._log_rejected(key, raw, error)

    def _log_rejected(self, key: str, raw: bytes, error: Exception) -> None:
        """Log an entry that is no member, once while it is the same."""
        if self._rejected_by_key.get(key) == raw:
            return
        self._rejected_by_key[key] = raw
        _log.warning(
            'member entry passed over',
            key=key,
            entry=repr(raw[:_MAX_QUOTED]),
            reason=str(error),
        )

    async def _register(self) -> bool:
        me = self._table.me
        record = KeyedRecord(me.name, _encode(me))
        outcome = await self._view.store.append(self._view.topic, [record])
        if not isinstance(outcome, Appended):
            _log.info('registration failed; retrying', outcome=repr(outcome))
            return False
        return True
