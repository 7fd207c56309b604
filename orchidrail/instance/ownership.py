"""Whether this process owns the shard, and when it should try to."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import structlog
import xxhash

from orchidrail.journal import JournalView, TakeOverError
from orchidrail.journal.writer import current_owner, take_over
from orchidrail.peers.pinger import Pinger
from orchidrail.peers.table import OwnerClaim, PeerTable
from orchidrail.shard.owner import OwnerPorts, ShardOwner
from orchidrail.types import Epoch, Seconds
from orchidrail.wire.messages import PeerState

_log = structlog.get_logger()
#: How often the owner's state is judged.
_JUDGE_EVERY: Seconds = 0.1
#: How often a process that isn't the owner reads the journal.
READ_EVERY: Seconds = 0.5
#: Silence after which the owner counts as dead; a paused process is far
#: longer silent, a busy one shorter.
_SILENT_FOR: Seconds = 0.6
#: Failed calls in a row after which a reachable machine has no owner.
_FAILED_CALLS = 3
#: Wait between the candidates, so that one of them is first.
_TURN: Seconds = 0.15
_MOST_TURNS = 6


class Ownership:
    """Follows the journal and takes it over when its owner is gone.

    Parameters
    ----------
    table : PeerTable
    view : JournalView
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        table: PeerTable,
        view: JournalView,
        clock: Callable[[], Seconds],
    ) -> None:
        """Start without the shard."""
        self.owner: ShardOwner | None = None
        #: Epoch that this process was asked to replace.
        self.wanted_epoch = Epoch(-1)
        self.hurry = asyncio.Event()
        #: Cleared when this process is about to stop.
        self.eligible = True
        self.pinger: Pinger | None = None
        self.ports: OwnerPorts | None = None
        self._table = table
        self._view = view
        self._clock = clock
        self._read_at: Seconds = -READ_EVERY
        #: The journal's newest record was not there yet at this time.
        self._moved_after: Seconds = -math.inf

    def describe(self) -> PeerState:
        """Return what this process tells its peers."""
        me = self._table.me
        claim = self._table.claim
        owner = self.owner
        waiting = {} if owner is None else owner.waiting_by_queue()
        return PeerState(
            name=me.name,
            address=me.address,
            zone=me.zone,
            incarnation=me.incarnation,
            epoch=claim.epoch,
            owner=claim.name,
            owner_address=claim.address,
            owning=owner is not None,
            queues=list(waiting),
            waiting=list(waiting.values()),
        )

    def owner_heard(self) -> bool:
        """Whether the shard has an owner that was heard from lately."""
        if self.owner is not None:
            return True
        silent = self._table.owner_silent_for()
        return bool(self._table.claim.address) and silent < _SILENT_FOR

    async def run(self) -> None:
        """Follow, and own when it is this process's turn."""
        while True:
            await self._follow()
            if self.eligible and self._owner_is_gone():
                await self._try_to_own()

    async def _follow(self) -> None:
        try:
            await asyncio.wait_for(self.hurry.wait(), _JUDGE_EVERY)
        except (TimeoutError, asyncio.TimeoutError):
            if self._clock() - self._read_at < READ_EVERY:
                return
        await self._read()

    async def _read(self) -> bool:
        before, self._read_at = self._read_at, self._clock()
        end = self._view.end
        read = await self._view.catch_up()
        if end is not None and self._view.end != end:
            self._moved_after = before
        owner = current_owner(self._view)
        if owner is not None:
            self._table.learn_claim(
                OwnerClaim(owner.epoch, owner.holder, owner.address)
            )
        return read

    def _owner_is_gone(self) -> bool:
        claim = self._table.claim
        if self.hurry.is_set():
            self.hurry.clear()
            return self.wanted_epoch >= claim.epoch
        if not claim.address or claim.name == self._table.me.name:
            return self._view.end is not None
        if self._table.owner_silent_for() > _SILENT_FOR:
            return True
        assert self.pinger is not None
        return self.pinger.owner_failures >= _FAILED_CALLS

    async def _try_to_own(self) -> None:
        epoch = self._table.claim.epoch
        if self.wanted_epoch < epoch or not epoch:
            await asyncio.sleep(self._turn() * _TURN)
            await self._read()
            if self._table.claim.epoch != epoch:
                return
            if epoch and not self._owner_is_gone():
                return
        else:
            await self._read()
        assert self.ports is not None
        began = self._clock()
        try:
            writer = await take_over(
                self._view,
                self._table.me,
                self._clock,
                epoch,
            )
        except TakeOverError as error:
            _log.info('no take-over', reason=str(error), epoch=epoch)
            await self._read()
            return
        self.ports.metrics.taking_over.observe(self._clock() - began)
        silent_for = self._clock() - self._moved_after
        await self._own(ShardOwner(writer, self.ports, silent_for))

    async def _own(self, owner: ShardOwner) -> None:
        epoch = owner.writer.owner.epoch
        me = self._table.me
        self._table.learn_claim(OwnerClaim(epoch, me.name, me.address))
        self.owner = owner
        assert self.pinger is not None
        self.pinger.ping_all()
        lanes = asyncio.create_task(self._keep_lanes(owner))
        _log.info('shard taken over', epoch=epoch)
        try:
            await owner.run()
        finally:
            lanes.cancel()
            self.owner = None
        # Another may have written: look who, before anything else.
        await self._read()

    async def _keep_lanes(self, owner: ShardOwner) -> None:
        """Ask for advice through this machine and all that are heard."""
        while True:
            heard = [member.name for member in self._table.heard()]
            owner.use_lanes([self._table.me.name, *heard])
            await asyncio.sleep(_JUDGE_EVERY)

    def _turn(self) -> int:
        """Return how many candidates go before this process."""
        claim = self._table.claim

        def weight(name: str) -> int:
            return xxhash.xxh64_intdigest(f'{name}/{claim.epoch}'.encode())

        mine = weight(self._table.me.name)
        before = sum(
            1
            for member in self._table.heard()
            if member.name != claim.name and weight(member.name) < mine
        )
        return min(before, _MOST_TURNS)
