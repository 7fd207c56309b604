"""What one process knows of the others."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import structlog

from orchidrail.types import Address, Epoch, InstanceId, Seconds
from orchidrail.wire.messages import PeerState
from orchidrail.work.model import MemberInfo

_log = structlog.get_logger()
#: A peer counts as heard from for this long after its last word.
HEARD_FOR: Seconds = 1.2
#: Silence of all other zones after which this one counts as cut off. Several
#: peers speak to this process within each 0.1 s.
_CUT_AFTER: Seconds = 0.5
#: A process that has just started has not heard its peers yet.
_MEETS_WITHIN: Seconds = 1.0
#: A peer that stays silent for this long is forgotten.
_FORGET_AFTER: Seconds = 25


def _nobody(version: int) -> None:
    """Have nobody hear of configurations."""


class KnownPeer(msgspec.Struct):
    """A peer and when it was last heard from."""

    member: MemberInfo
    last_heard_at: Seconds
    first_seen_at: Seconds
    #: Whether its own calls to the store were answered when it spoke last.
    store_answers: bool = False


class OwnerClaim(msgspec.Struct, frozen=True):
    """Who owns the shard, by the highest epoch heard of."""

    epoch: Epoch = Epoch(0)
    name: InstanceId = InstanceId('')
    address: Address = Address('')


class PeerTable:
    """Peers by name and the newest claim to the shard.

    Parameters
    ----------
    me : MemberInfo
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, me: MemberInfo, clock: Callable[[], Seconds]) -> None:
        """Know only this process."""
        self.me = me
        self.claim = OwnerClaim()
        #: When the owner last said that it is at work.
        self.owner_heard_at: Seconds = clock()
        self.waiting_by_queue: dict[str, int] = {}
        #: Beyond the shortest pause, how much rarer the owner is spoken to.
        self.owner_ping_delay: Seconds = 0
        #: Hears which version of the configuration a peer has.
        self.on_config_version: Callable[[int], object] = _nobody
        self._clock = clock
        self._started_at = clock()
        self._peer_by_name: dict[InstanceId, KnownPeer] = {}

    def add_member(self, member: MemberInfo) -> None:
        """Take a peer from the store's list, not heard from yet."""
        if member.name == self.me.name:
            return
        known = self._peer_by_name.get(member.name)
        if known is None or known.member.incarnation != member.incarnation:
            now = self._clock()
            self._peer_by_name[member.name] = KnownPeer(member, -HEARD_FOR, now)

    def record_heartbeat(self, state: PeerState) -> None:
        """Take what a peer tells of itself and of the owner."""
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
            self.owner_heard_at = now
            self.waiting_by_queue = dict(
                zip(state.queues, state.waiting, strict=True)
            )

    def update_claim(self, claim: OwnerClaim) -> None:
        """Take a claim to the shard if it is newer."""
        if claim.epoch > self.claim.epoch:
            _log.info(
                'owner changed',
                owner=claim.name,
                epoch=claim.epoch,
                before=self.claim.name,
            )
            self.claim = claim
            self.owner_heard_at = self._clock()

    def peers(self) -> list[MemberInfo]:
        """Return all peers that are not forgotten."""
        now = self._clock()
        for name, known in list(self._peer_by_name.items()):
            last = max(known.last_heard_at, known.first_seen_at)
            if now - last > _FORGET_AFTER:
                self._peer_by_name.pop(name)
                _log.info('peer forgotten', peer=name)
        return [known.member for known in self._peer_by_name.values()]

    def live_peers(self, within: Seconds = HEARD_FOR) -> list[MemberInfo]:
        """Return the peers heard from lately."""
        now = self._clock()
        return [
            known.member
            for known in self._peer_by_name.values()
            if now - known.last_heard_at < within
        ]

    def live_peers_with_store(self) -> list[MemberInfo]:
        """Return the peers heard from lately that reach the store."""
        now = self._clock()
        return [
            known.member
            for known in self._peer_by_name.values()
            if known.store_answers and now - known.last_heard_at < HEARD_FOR
        ]

    def store_unreachable(self) -> bool:
        """Whether the store answers nobody while this process owns.

        Peers of all zones must be heard, and none may know of a newer owner.
        """
        zones = {known.member.zone for known in self._peer_by_name.values()}
        heard = {member.zone for member in self.live_peers()}
        if not heard or zones - {self.me.zone} - heard:
            return False
        return (
            self.claim.name == self.me.name and not self.live_peers_with_store()
        )

    def owner_silence(self) -> Seconds:
        """Return for how long the owner has not been heard.

        The time for which it was not spoken to does not count as silence.
        """
        silent = self._clock() - self.owner_heard_at
        return max(0, silent - self.owner_ping_delay)

    def is_partitioned(self) -> bool:
        """Whether this zone seems to be cut off from all the others."""
        if self._clock() - self._started_at < _MEETS_WITHIN:
            return False
        zones = {known.member.zone for known in self._peer_by_name.values()}
        heard = {member.zone for member in self.live_peers(_CUT_AFTER)}
        elsewhere = {self.me.zone}
        return bool(zones - elsewhere) and not heard - elsewhere
