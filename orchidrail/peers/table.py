"""Peers of one process: liveness, the shard owner and store reachability."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import structlog

from orchidrail.admission import ReceivedDigest, decode_digest
from orchidrail.types import Address, Epoch, InstanceId, Seconds
from orchidrail.wire.messages import PeerState
from orchidrail.work.model import MemberInfo

_log = structlog.get_logger()
#: Time after its last heartbeat for which a peer counts as live.
LIVE_FOR: Seconds = 1.2
#: Time without a heartbeat from any other zone after which this zone counts as
#: partitioned. Several peers send one to this process every 0.1 s.
_PARTITIONED_AFTER: Seconds = 0.5
#: Time after the start in which the first heartbeats of peers arrive.
_STARTUP_WINDOW: Seconds = 1.0
#: Time without a heartbeat after which a peer is forgotten.
_FORGET_AFTER: Seconds = 25
#: Number of bytes of an unreadable digest that are logged.
_MAX_QUOTED = 32


def _ignore_version(version: int) -> None:
    """Ignore the configuration version of a peer."""


class KnownPeer(msgspec.Struct):
    """A peer and the time of its last heartbeat."""

    member: MemberInfo
    last_heard_at: Seconds
    first_seen_at: Seconds
    #: Whether the peer's own store calls succeeded at its last heartbeat.
    store_answers: bool = False


class OwnerClaim(msgspec.Struct, frozen=True):
    """The owner of the shard with the highest epoch seen."""

    epoch: Epoch = Epoch(0)
    name: InstanceId = InstanceId('')
    address: Address = Address('')


class PeerTable:
    """Peers by name and the newest claim to own the shard.

    Parameters
    ----------
    me : MemberInfo
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, me: MemberInfo, clock: Callable[[], Seconds]) -> None:
        """Start without peers."""
        self.me = me
        self.claim = OwnerClaim()
        #: Time of the last heartbeat in which the owner confirmed its role.
        self.owner_heartbeat_at: Seconds = clock()
        self.waiting_by_queue: dict[str, int] = {}
        #: What the owner refuses, by its last reply.
        self.load_digest: ReceivedDigest | None = None
        #: Pause between pings to the owner beyond the shortest one.
        self.owner_ping_delay: Seconds = 0
        #: Called with the configuration version of each heartbeat.
        self.on_config_version: Callable[[int], object] = _ignore_version
        self._clock = clock
        self._started_at = clock()
        self._peer_by_name: dict[InstanceId, KnownPeer] = {}

    def add_member(self, member: MemberInfo) -> None:
        """Add a peer from the member list that has sent no heartbeat yet."""
        if member.name == self.me.name:
            return
        known = self._peer_by_name.get(member.name)
        if known is None or known.member.incarnation != member.incarnation:
            now = self._clock()
            self._peer_by_name[member.name] = KnownPeer(member, -LIVE_FOR, now)

    def record_heartbeat(
        self, state: PeerState, requested_at: Seconds | None = None
    ) -> None:
        """Record a peer's heartbeat and the owner that it names.

        Parameters
        ----------
        requested_at : float, optional
            When the ping was sent that it answers, monotonic seconds; None if
            it came unasked.
        """
        if state.name == self.me.name:
            return
        now = self._clock()
        self.on_config_version(state.config_version)
        member = MemberInfo(
            state.name,
            state.address,
            state.zone,
            state.incarnation,
            state.speed,
        )
        known = self._peer_by_name.get(state.name)
        if known is None or known.member != member:
            self._peer_by_name[state.name] = KnownPeer(member, now, now)
        else:
            known.last_heard_at = now
        self._peer_by_name[state.name].store_answers = state.store_answers
        self.update_claim(
            OwnerClaim(state.epoch, state.owner, state.owner_address)
        )
        if state.owning and state.name == self.claim.name:
            self.owner_heartbeat_at = now
            self.waiting_by_queue = dict(
                zip(state.queues, state.waiting, strict=True)
            )
            if requested_at is not None:
                self._record_digest(state, requested_at)

    def _record_digest(self, state: PeerState, requested_at: Seconds) -> None:
        try:
            digest = decode_digest(state.load)
        except (msgspec.MsgspecError, LookupError, TypeError) as error:
            _log.warning(
                'load digest not understood',
                owner=state.name,
                digest=state.load[:_MAX_QUOTED].hex(),
                reason=str(error),
            )
            digest = None
        if digest is None:
            self.load_digest = None
        elif digest.epoch == self.claim.epoch:
            self.load_digest = ReceivedDigest(digest, requested_at)

    def update_claim(self, claim: OwnerClaim) -> None:
        """Replace the known claim to the shard by a newer one."""
        if claim.epoch > self.claim.epoch:
            _log.info(
                'owner changed',
                owner=claim.name,
                epoch=claim.epoch,
                before=self.claim.name,
            )
            self.claim = claim
            self.owner_heartbeat_at = self._clock()

    def peers(self) -> list[MemberInfo]:
        """Return all peers that are not forgotten."""
        now = self._clock()
        for name, known in list(self._peer_by_name.items()):
            last = max(known.last_heard_at, known.first_seen_at)
            if now - last > _FORGET_AFTER:
                self._peer_by_name.pop(name)
                _log.info('peer forgotten', peer=name)
        return [known.member for known in self._peer_by_name.values()]

    def live_peers(self, within: Seconds = LIVE_FOR) -> list[MemberInfo]:
        """Return the peers with a recent heartbeat."""
        now = self._clock()
        return [
            known.member
            for known in self._peer_by_name.values()
            if now - known.last_heard_at < within
        ]

    def live_peers_with_store(self) -> list[MemberInfo]:
        """Return the peers with a recent heartbeat that reach the store."""
        now = self._clock()
        return [
            known.member
            for known in self._peer_by_name.values()
            if known.store_answers and now - known.last_heard_at < LIVE_FOR
        ]

    def store_unreachable(self) -> bool:
        """Whether no instance reaches the store while this process owns.

        Requires a live peer in every zone and no claim of a newer owner.
        """
        zones = {known.member.zone for known in self._peer_by_name.values()}
        live_zones = {member.zone for member in self.live_peers()}
        if not live_zones or zones - {self.me.zone} - live_zones:
            return False
        return (
            self.claim.name == self.me.name and not self.live_peers_with_store()
        )

    def owner_silence(self) -> Seconds:
        """Return the time without a heartbeat of the owner, seconds.

        The prolonged pause between pings does not count.
        """
        silence = self._clock() - self.owner_heartbeat_at
        return max(0, silence - self.owner_ping_delay)

    def is_partitioned(self) -> bool:
        """Whether this zone seems to be partitioned from all other zones."""
        if self._clock() - self._started_at < _STARTUP_WINDOW:
            return False
        zones = {known.member.zone for known in self._peer_by_name.values()}
        live_zones = {
            member.zone for member in self.live_peers(_PARTITIONED_AFTER)
        }
        own_zone = {self.me.zone}
        return bool(zones - own_zone) and not live_zones - own_zone
