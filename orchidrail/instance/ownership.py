"""Whether this process owns the shard, and when it should try to."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable

import structlog
import xxhash

from orchidrail.journal import JournalView, TakeOverError
from orchidrail.journal.writer import current_owner, read_owner, take_over
from orchidrail.peers.pinger import Pinger
from orchidrail.peers.table import OwnerClaim, PeerTable
from orchidrail.shard.owner import OwnerPorts, ShardOwner
from orchidrail.types import Epoch, Seconds
from orchidrail.wire.messages import PeerState
from orchidrail.work.model import MemberInfo
from orchidrail.work.records import OwnerRecord

_log = structlog.get_logger()
#: How often the owner's state is judged.
_JUDGE_EVERY: Seconds = 0.1
#: How often a process that isn't the owner reads the journal.
READ_EVERY: Seconds = 0.5
#: Silence after which the owner counts as dead; a paused process is far
#: longer silent, a busy one shorter.
_SILENT_FOR: Seconds = 0.45
#: Denials in a row after which a reachable machine has no owner.
_DENIALS = 3
#: Silence after which the journal is watched for signs of the owner.
_WATCH_AFTER: Seconds = 0.25
#: An owner writes each `CONFIRM_INTERVAL` (0.2 s) or more often, which takes
#: 6 ms: a journal that stood still for this long has no owner that can write.
_STILL_FOR: Seconds = 0.3
#: How long a standby counts after its last word: with 43 processes two of them
#: speak to each other each 1.8 s or so, by chance. The standbys of other zones
#: stand in for one that is gone.
_STANDBY_HEARD_FOR: Seconds = 10.0
#: A process that has just started has heard few of its zone's peers, and would
#: take itself for the standby.
_STANDS_BY_AFTER: Seconds = 2.0
#: Silence of the owner after which the others follow the journal too.
_STANDBYS_FAILED_AFTER: Seconds = 2.5
#: Wait at the first start, in which the processes meet (they start within
#: 0.3 s), so that the strongest owns.
_MEET_FOR: Seconds = 0.6
#: An owner that hears nobody for this long, but reaches the store, lets
#: another own: its callers can't be those of the other machines.
_LONELY_AFTER: Seconds = 0.8
#: Rest of an owner that let go, in which another takes over.
_LET_GO_FOR: Seconds = 1.5
#: A peer that is stronger by this factor is given the shard, once it was
#: heard for a while in calm times.
_STRONGER = 1.5
_STRONGER_FOR: Seconds = 3.0
#: Wait between the candidates, so that one of them is first.
_TURN: Seconds = 0.15
_MOST_TURNS = 6

HandOver = Callable[[list[MemberInfo]], Awaitable[bool]]


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
        self.takeover_epoch = Epoch(-1)
        self.takeover_requested = asyncio.Event()
        #: Cleared when this process is about to stop.
        self.eligible = True
        self.pinger: Pinger | None = None
        #: Gives the shard to a peer; tells whether that one has it.
        self.hand_over: HandOver | None = None
        #: Whether this machine's own calls to the store are answered.
        self.store_answers: Callable[[], bool] = _unknown
        self.ports: OwnerPorts | None = None
        #: Version of the configuration in force here.
        self.config_version: Callable[[], int] = int
        self._table = table
        self._view = view
        self._clock = clock
        self._started_at = clock()
        self._read_at: Seconds = -READ_EVERY
        #: When the journal was first read as it was read last; infinite
        #: before a read has succeeded.
        self._still_since: Seconds = math.inf
        self._rests_until: Seconds = -math.inf
        self._owns_since: Seconds = -math.inf
        #: Whether a peer was heard since this process let go last.
        self._met_peers_since_resign = True
        self._stronger_since: Seconds = math.inf

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
            speed=me.speed,
            store_answers=self.store_answers(),
            epoch=claim.epoch,
            owner=claim.name,
            owner_address=claim.address,
            owning=owner is not None,
            queues=list(waiting),
            waiting=list(waiting.values()),
            config_version=self.config_version(),
        )

    def owner_is_live(self) -> bool:
        """Whether the shard has an owner that was heard from lately."""
        if self.owner is not None:
            return True
        silent = self._table.owner_silence()
        return bool(self._table.claim.address) and silent < _SILENT_FOR

    async def run(self) -> None:
        """Follow, and own when it is this process's turn."""
        while True:
            await self._follow()
            if self.eligible and self._owner_is_gone():
                await self._try_to_own()

    async def _follow(self) -> None:
        try:
            await asyncio.wait_for(self.takeover_requested.wait(), _JUDGE_EVERY)
        except (TimeoutError, asyncio.TimeoutError):
            if not self._table.claim.epoch and await self._meet_owner():
                return
            if not self._read_is_due():
                return
        await self._read()

    async def _meet_owner(self) -> bool:
        """Learn who owns without reading all of the journal."""
        owner = await read_owner(self._view)
        if owner is not None:
            self._learn_owner(owner)
        return owner is not None

    def _learn_owner(self, owner: OwnerRecord) -> None:
        self._table.update_claim(
            OwnerClaim(owner.epoch, owner.holder, owner.address)
        )

    def _read_is_due(self) -> bool:
        claim = self._table.claim
        if not claim.epoch or claim.name == self._table.me.name:
            return True
        if self._watching():
            return self.is_standby() or self._standbys_failed()
        if self._clock() - self._read_at < READ_EVERY:
            return False
        settled = self._clock() - self._started_at > _STANDS_BY_AFTER
        return settled and self.is_standby()

    def _watching(self) -> bool:
        """Whether the owner may be gone."""
        assert self.pinger is not None
        silent = self._table.owner_silence() > _WATCH_AFTER
        return silent or self.pinger.owner_denials > 0

    def is_standby(self) -> bool:
        """Whether this process follows the journal, to take over at once.

        The best placed of each zone does: more would only read the same
        bytes, which have a price.
        """
        return self._standby_by_zone()[self._table.me.zone] is self._table.me

    def _standby_by_zone(self) -> dict[str, MemberInfo]:
        """Return the best placed process of each zone, without the owner."""
        heard = self._table.live_peers(_STANDBY_HEARD_FOR)
        standby_by_zone: dict[str, MemberInfo] = {}
        for member in (self._table.me, *heard):
            if member.name == self._table.claim.name:
                continue
            best = standby_by_zone.get(member.zone, member)
            if self._place(member, 0) <= self._place(best, 0):
                standby_by_zone[member.zone] = member
        standby_by_zone.setdefault(self._table.me.zone, self._table.me)
        return standby_by_zone

    def _standbys_failed(self) -> bool:
        return self._table.owner_silence() > _STANDBYS_FAILED_AFTER

    async def _read(self) -> bool:
        self._read_at = self._clock()
        end = self._view.end
        read = await self._view.catch_up()
        if not read:
            self._still_since = math.inf
        elif self._view.end != end or self._still_since == math.inf:
            self._still_since = self._read_at
        owner = current_owner(self._view)
        if owner is not None:
            self._learn_owner(owner)
        return read

    def _owner_is_gone(self) -> bool:
        claim = self._table.claim
        if self.takeover_requested.is_set():
            self.takeover_requested.clear()
            return self.takeover_epoch >= claim.epoch
        if self._view.end is None or self._clock() < self._rests_until:
            return False
        if not claim.address:
            return self._clock() - self._started_at > _MEET_FOR
        if claim.name == self._table.me.name:
            return True
        assert self.pinger is not None
        silent = self._table.owner_silence() > _SILENT_FOR
        unheard = silent or self.pinger.owner_denials >= _DENIALS
        return unheard and self._read_at - self._still_since >= _STILL_FOR

    async def _try_to_own(self) -> None:
        epoch = self._table.claim.epoch
        if self.takeover_epoch < epoch or not epoch:
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
        self.ports.metrics.takeover_seconds.observe(self._clock() - began)
        await self._own(ShardOwner(writer, self.ports))

    async def _own(self, owner: ShardOwner) -> None:
        epoch = owner.writer.owner.epoch
        me = self._table.me
        self._table.update_claim(OwnerClaim(epoch, me.name, me.address))
        self.owner = owner
        self._owns_since = self._clock()
        assert self.pinger is not None
        self.pinger.ping_all()
        lanes = asyncio.create_task(self._watch_peers(owner))
        _log.info('shard taken over', epoch=epoch)
        try:
            await owner.run()
        finally:
            lanes.cancel()
            self.owner = None
        # Another may have written: look who, before anything else.
        await self._read()

    async def _watch_peers(self, owner: ShardOwner) -> None:
        """Ask for advice through all that are heard; let go if need be."""
        while True:
            heard = [member.name for member in self._table.live_peers()]
            owner.set_advice_lanes([self._table.me.name, *heard])
            self._let_go_if_lonely(owner)
            await self._give_to_stronger()
            await asyncio.sleep(_JUDGE_EVERY)

    def _let_go_if_lonely(self, owner: ShardOwner) -> None:
        if self._clock() - self._owns_since < _LONELY_AFTER:
            # One that has just started has not been answered yet.
            return
        if self._table.live_peers(_LONELY_AFTER):
            self._met_peers_since_resign = True
            return
        confirmed = owner.writer.unconfirmed_for() < _STILL_FOR
        if self._met_peers_since_resign and confirmed and self._table.peers():
            _log.warning('nobody heard, letting go')
            self._met_peers_since_resign = False
            self._rests_until = self._clock() + _LET_GO_FOR
            owner.resign()

    async def _give_to_stronger(self) -> None:
        """Hand over to a machine on which decisions take far less time."""
        least = self._table.me.speed * _STRONGER
        strong = [
            peer for peer in self._table.live_peers() if peer.speed >= least
        ]
        now = self._clock()
        if not strong:
            self._stronger_since = math.inf
            return
        self._stronger_since = min(self._stronger_since, now)
        if now - self._stronger_since < _STRONGER_FOR:
            return
        self._stronger_since = math.inf
        if self.hand_over is not None:
            await self.hand_over(strong[:1])

    def _turn(self) -> int:
        """Return how many candidates go before this process.

        Those that follow the journal are the first to notice, and go first.
        """
        claim = self._table.claim
        if claim.name == self._table.me.name:
            return 0
        mine = self._place(self._table.me, claim.epoch)
        standbys = list(self._standby_by_zone().values())
        before = sum(
            self._place(member, claim.epoch) < mine
            for member in standbys
            if member is not self._table.me
        )
        behind = 0 if self._table.me in standbys else len(standbys)
        return min(max(before, behind), _MOST_TURNS)

    def _place(self, member: MemberInfo, salt: int) -> tuple[float, int]:
        """Return a candidate's place, least first: by strength, then hash."""
        digest = xxhash.xxh64_intdigest(f'{member.name}/{salt}'.encode())
        return -member.speed, digest


def _unknown() -> bool:
    return False
