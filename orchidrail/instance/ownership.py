"""Decides when this process takes the shard over and when it releases it."""

from __future__ import annotations

import asyncio
import functools
import math
from collections.abc import Awaitable, Callable

import structlog
import xxhash

from orchidrail.evacuation import EvacuatedZones, ZoneSnapshot
from orchidrail.journal import JournalView, TakeOverError
from orchidrail.journal.writer import current_owner, read_owner, take_over
from orchidrail.peers.pinger import Pinger
from orchidrail.peers.table import OwnerClaim, PeerTable
from orchidrail.shard.owner import OwnerPorts, ShardOwner
from orchidrail.store import DEFAULT_LIMITS, StoreLimits
from orchidrail.types import Epoch, InstanceId, Seconds
from orchidrail.wire.messages import PeerState
from orchidrail.work.model import MemberInfo
from orchidrail.work.records import OwnerRecord

_log = structlog.get_logger()
#: Interval at which the liveness of the owner is checked.
_CHECK_INTERVAL: Seconds = 0.1
#: Interval at which a standby reads the journal.
READ_INTERVAL: Seconds = 0.5
#: Time without a heartbeat after which the owner counts as dead; the gaps of a
#: paused process are far longer, those of a busy one shorter.
_DEAD_AFTER: Seconds = 0.45
#: Consecutive denials after which a reachable instance counts as not owning.
_MIN_DENIALS = 3
#: Time without a heartbeat after which the journal is watched for appends of
#: the owner.
_WATCH_AFTER: Seconds = 0.25
#: Time without an append after which no owner can be writing: an owner appends
#: every `CONFIRM_INTERVAL` (0.2 s) or more often, in 6 ms.
_NO_APPEND_FOR: Seconds = 0.3
#: Time after its last heartbeat for which a peer counts as a standby: with 43
#: processes, random pings reach a given peer about every 1.8 s. The standbys of
#: other zones cover for one that has failed.
_STANDBY_LIVE_FOR: Seconds = 10.0
#: Time after the start before which a process is no standby: it has received
#: heartbeats from few peers of its zone and would wrongly rank itself first.
_STANDBY_AFTER: Seconds = 2.0
#: Time without a heartbeat of the owner after which processes that are not
#: standbys read the journal too.
_STANDBYS_FAILED_AFTER: Seconds = 2.5
#: Delay at the first start, in which the processes discover each other (they
#: start within 0.3 s), so that the fastest becomes the owner.
_DISCOVERY_DELAY: Seconds = 0.6
#: Time without any heartbeat after which an owner that reaches the store
#: releases ownership: the other instances can't forward their callers to it.
_ISOLATED_AFTER: Seconds = 0.8
#: Time for which a process that released ownership does not take over, so that
#: another one can.
_RELEASE_PAUSE: Seconds = 1.5
#: Factor by which a live peer must be faster to get the shard.
_FASTER_FACTOR = 1.5
#: Time for which such a peer must have been live.
_FASTER_FOR: Seconds = 3.0
#: Delay between the attempts of successive candidates, so that one of them is
#: first.
_CANDIDATE_DELAY: Seconds = 0.15
_MAX_DELAYS = 6
#: Hashes of candidates that are kept: all members are ranked ten times a
#: second.
_MAX_DIGESTS = 4096

Handover = Callable[[list[MemberInfo]], Awaitable[bool]]


class Ownership:
    """Follows the journal and takes the shard over when its owner has failed.

    Parameters
    ----------
    table : PeerTable
    view : JournalView
    clock : callable
        Monotonic seconds.
    limits : StoreLimits, optional
        Sizes that the store accepts.
    """

    def __init__(
        self,
        table: PeerTable,
        view: JournalView,
        clock: Callable[[], Seconds],
        limits: StoreLimits = DEFAULT_LIMITS,
    ) -> None:
        """Start without owning the shard."""
        self._limits = limits
        self.owner: ShardOwner | None = None
        #: Epoch of the owner that asked this process to take over.
        self.takeover_epoch = Epoch(-1)
        self.takeover_requested = asyncio.Event()
        #: False once this process is about to stop.
        self.eligible = True
        self.pinger: Pinger | None = None
        #: Hands the shard over; returns whether a peer has taken it.
        self.handover: Handover | None = None
        #: Whether this instance's direct calls to the store succeed.
        self.store_answers: Callable[[], bool] = _store_not_checked
        self.ports: OwnerPorts | None = None
        #: Version of the configuration in force here.
        self.config_version: Callable[[], int] = int
        #: The zones that are evacuated, for the heartbeats.
        self.evacuated: Callable[[], ZoneSnapshot] = _nothing_read
        self._table = table
        self._view = view
        self._clock = clock
        self._started_at = clock()
        self._read_at: Seconds = -READ_INTERVAL
        #: Time of the first read that saw the current end of the journal;
        #: infinite before a read has succeeded.
        self._unchanged_since: Seconds = math.inf
        self._released_until: Seconds = -math.inf
        self._owner_since: Seconds = -math.inf
        #: Whether a heartbeat was received since the last release of ownership.
        self._heartbeat_since_release = True
        self._faster_peer_since: Seconds = math.inf

    def describe(self) -> PeerState:
        """Return the heartbeat of this process."""
        me = self._table.me
        claim = self._table.claim
        owner = self.owner
        waiting = {} if owner is None else owner.waiting_by_queue()
        evacuated = self.evacuated()
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
            link=0 if math.isinf(me.link) else me.link,
            operator_end=evacuated.offset,
            evacuated_zones=sorted(evacuated.zones),
        )

    def owner_is_live(self) -> bool:
        """Whether the shard has an owner with a recent heartbeat."""
        if self.owner is not None:
            return True
        silence = self._table.owner_silence()
        return bool(self._table.claim.address) and silence < _DEAD_AFTER

    async def run(self) -> None:
        """Follow the journal, and own the shard when a takeover is due."""
        while True:
            await self._follow()
            if self.eligible and self._owner_has_failed():
                await self._try_takeover()

    async def _follow(self) -> None:
        try:
            await asyncio.wait_for(
                self.takeover_requested.wait(), _CHECK_INTERVAL
            )
        except (TimeoutError, asyncio.TimeoutError):
            if not self._table.claim.epoch and await self._discover_owner():
                return
            if not self._read_is_due():
                return
        await self._read()

    async def _discover_owner(self) -> bool:
        """Find the current owner without reading the whole journal."""
        owner = await read_owner(self._view)
        if owner is not None:
            self._update_owner(owner)
        return owner is not None

    def _update_owner(self, owner: OwnerRecord) -> None:
        self._table.update_claim(
            OwnerClaim(owner.epoch, owner.holder, owner.address)
        )

    def _read_is_due(self) -> bool:
        claim = self._table.claim
        if not claim.epoch or claim.name == self._table.me.name:
            return True
        if self._owner_is_suspect():
            return self.is_standby() or self._standbys_failed()
        if self._clock() - self._read_at < READ_INTERVAL:
            return False
        past_startup = self._clock() - self._started_at > _STANDBY_AFTER
        return past_startup and self.is_standby()

    def _owner_is_suspect(self) -> bool:
        """Whether the owner may have failed."""
        assert self.pinger is not None
        unresponsive = self._table.owner_silence() > _WATCH_AFTER
        return unresponsive or self.pinger.owner_denials > 0

    def is_standby(self) -> bool:
        """Whether this process follows the journal, to take over without delay.

        Only the first-ranked process of each zone does: reads are billed, and
        more standbys would read the same bytes.
        """
        return self._standby_by_zone()[self._table.me.zone] is self._table.me

    def _standby_by_zone(self) -> dict[str, MemberInfo]:
        """Return the first-ranked process of each zone, except the owner."""
        members = self._table.live_peers(_STANDBY_LIVE_FOR)
        standby_by_zone: dict[str, MemberInfo] = {}
        for member in (self._table.me, *members):
            if member.name == self._table.claim.name:
                continue
            best = standby_by_zone.get(member.zone, member)
            if self._rank(member, 0) <= self._rank(best, 0):
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
            self._unchanged_since = math.inf
        elif self._view.end != end or self._unchanged_since == math.inf:
            self._unchanged_since = self._read_at
        owner = current_owner(self._view)
        if owner is not None:
            self._update_owner(owner)
        return read

    def _owner_has_failed(self) -> bool:
        claim = self._table.claim
        if self.takeover_requested.is_set():
            self.takeover_requested.clear()
            return self.takeover_epoch >= claim.epoch
        if self._view.end is None or self._clock() < self._released_until:
            return False
        if not claim.address:
            return self._clock() - self._started_at > _DISCOVERY_DELAY
        if claim.name == self._table.me.name:
            return True
        assert self.pinger is not None
        unresponsive = self._table.owner_silence() > _DEAD_AFTER
        presumed_dead = (
            unresponsive or self.pinger.owner_denials >= _MIN_DENIALS
        )
        return (
            presumed_dead
            and self._read_at - self._unchanged_since >= _NO_APPEND_FOR
        )

    async def _try_takeover(self) -> None:
        epoch = self._table.claim.epoch
        if self.takeover_epoch < epoch or not epoch:
            await asyncio.sleep(self._candidates_before() * _CANDIDATE_DELAY)
            await self._read()
            if self._table.claim.epoch != epoch:
                return
            if epoch and not self._owner_has_failed():
                return
        else:
            await self._read()
        assert self.ports is not None
        started_at = self._clock()
        try:
            writer = await take_over(
                self._view,
                self._table.me,
                self._clock,
                epoch,
                self._limits,
            )
        except TakeOverError as error:
            _log.info('takeover failed', reason=str(error), epoch=epoch)
            await self._read()
            return
        self.ports.metrics.takeover_seconds.observe(self._clock() - started_at)
        await self._own(ShardOwner(writer, self.ports))

    async def _own(self, owner: ShardOwner) -> None:
        epoch = owner.writer.owner.epoch
        me = self._table.me
        self._table.update_claim(OwnerClaim(epoch, me.name, me.address))
        self.owner = owner
        self._owner_since = self._clock()
        assert self.pinger is not None
        self.pinger.ping_all()
        watching = asyncio.create_task(self._watch_peers(owner))
        _log.info('shard taken over', epoch=epoch)
        try:
            await owner.run()
        finally:
            watching.cancel()
            self.owner = None
        # Another process may have fenced this one: find the new owner first.
        await self._read()

    async def _watch_peers(self, owner: ShardOwner) -> None:
        """Use all live peers as advice lanes; release ownership if isolated."""
        while True:
            names = [member.name for member in self._table.live_peers()]
            owner.set_advice_lanes([self._table.me.name, *names])
            self._release_if_isolated(owner)
            await self._hand_over_to_faster()
            await asyncio.sleep(_CHECK_INTERVAL)

    def _release_if_isolated(self, owner: ShardOwner) -> None:
        if self._clock() - self._owner_since < _ISOLATED_AFTER:
            # The replies to the first pings have not arrived yet.
            return
        if self._table.live_peers(_ISOLATED_AFTER):
            self._heartbeat_since_release = True
            return
        confirmed = owner.writer.time_since_confirmed() < _NO_APPEND_FOR
        if self._heartbeat_since_release and confirmed and self._table.peers():
            _log.warning('nobody heard, letting go')
            self._heartbeat_since_release = False
            self._released_until = self._clock() + _RELEASE_PAUSE
            owner.resign()

    async def _hand_over_to_faster(self) -> None:
        """Hand over to an instance on which decisions are much faster."""
        min_speed = self._table.me.speed * _FASTER_FACTOR
        faster = [
            peer for peer in self._table.live_peers() if peer.speed >= min_speed
        ]
        now = self._clock()
        if not faster:
            self._faster_peer_since = math.inf
            return
        self._faster_peer_since = min(self._faster_peer_since, now)
        if now - self._faster_peer_since < _FASTER_FOR:
            return
        self._faster_peer_since = math.inf
        if self.handover is not None:
            await self.handover(faster[:1])

    def _candidates_before(self) -> int:
        """Return how many candidates try before this process.

        The standbys follow the journal and detect a failure first, so they go
        first.
        """
        claim = self._table.claim
        if claim.name == self._table.me.name:
            return 0
        mine = self._rank(self._table.me, claim.epoch)
        standbys = list(self._standby_by_zone().values())
        before = sum(
            self._rank(member, claim.epoch) < mine
            for member in standbys
            if member is not self._table.me
        )
        behind = 0 if self._table.me in standbys else len(standbys)
        return min(max(before, behind), _MAX_DELAYS)

    def _rank(self, member: MemberInfo, salt: int) -> tuple[float, int]:
        """Return a candidate's sort key: the fastest first, then by hash."""
        return -member.speed, _digest(member.name, salt)


@functools.lru_cache(maxsize=_MAX_DIGESTS)
def _digest(name: InstanceId, salt: int) -> int:
    """Return a hash that orders candidates of equal speed."""
    return xxhash.xxh64_intdigest(f'{name}/{salt}'.encode())


def _nothing_read() -> ZoneSnapshot:
    return EvacuatedZones().snapshot


def _store_not_checked() -> bool:
    return False
