"""The list of processes in the store, by which they first find each other."""

from __future__ import annotations

import asyncio

import msgspec
import structlog

from orchidrail.journal import JournalView
from orchidrail.peers.table import PeerTable
from orchidrail.store import Appended, KeyedRecord
from orchidrail.types import Seconds
from orchidrail.work.model import MemberInfo

_log = structlog.get_logger()
#: Newcomers speak to all members, so the list is seldom read.
_READ_EVERY: Seconds = 3.0
_FAILED_PAUSE: Seconds = 0.25
_decode = msgspec.msgpack.Decoder(MemberInfo).decode
_encode = msgspec.msgpack.Encoder().encode


class MemberList:
    """Enters this process and tells its table of the others.

    Parameters
    ----------
    view : JournalView
        Follows the list.
    table : PeerTable
    """

    def __init__(self, view: JournalView, table: PeerTable) -> None:
        """Start not entered."""
        self._view = view
        self._table = table

    async def run(self) -> None:
        """Enter, then read now and then."""
        while not await self._enter():
            await asyncio.sleep(_FAILED_PAUSE)
        while True:
            read = await self._view.catch_up()
            for raw in self._view.value_by_key.values():
                self._table.add_member(_decode(raw))
            await asyncio.sleep(_READ_EVERY if read else _FAILED_PAUSE)

    async def _enter(self) -> bool:
        me = self._table.me
        record = KeyedRecord(me.name, _encode(me))
        outcome = await self._view.store.append(self._view.topic, [record])
        if not isinstance(outcome, Appended):
            _log.info('not entered in the list yet', outcome=repr(outcome))
            return False
        return True
