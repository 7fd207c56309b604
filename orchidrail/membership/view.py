"""One scheduler's view of the others, kept by small periodic exchanges."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, NamedTuple

import xxhash

from orchidrail.types import (
    Address,
    BundleVersion,
    SchedulerId,
    Seconds,
    WorkerId,
    ZoneId,
)
from orchidrail.wire.messages import Gossip, MemberState, ZoneDigest

if TYPE_CHECKING:
    from orchidrail.resources import Resources

#: Members told of in one exchange, so that its size is constant.
MEMBERS_PER_EXCHANGE = 6
_LEAVING_PER_EXCHANGE = 16
_DIGESTS_PER_EXCHANGE = 32


class _SeenMember(NamedTuple):
    state: MemberState
    at: Seconds


class MembershipView:
    """Members of this zone, digests of the others.

    Parameters
    ----------
    me : MemberState
        What this scheduler tells of itself.
    timeout : float
        Seconds without news after which a member counts as gone.
    random : Random

    Examples
    --------
    >>> from orchidrail.wire.messages import MemberState
    >>> def member(name):
    ...     return MemberState(
    ...         name=name, address='', zone='z', incarnation=1, beat=1)
    >>> view = MembershipView(member('a'), timeout=2, random=Random(1))
    >>> view.take(Gossip(members=[member('b')]), now=0)
    >>> view.alive(now=1), view.alive(now=3)
    (['a', 'b'], ['a'])
    """

    def __init__(
        self,
        me: MemberState,
        timeout: Seconds,
        random: Random,
    ) -> None:
        """Start alone."""
        self.me = me
        self.timeout = timeout
        self.leaving_workers: dict[WorkerId, Seconds] = {}
        self.digest_by_zone: dict[ZoneId, ZoneDigest] = {}
        self._random = random
        self._last_seen_by_name: dict[SchedulerId, _SeenMember] = {}

    def take(self, gossip: Gossip, now: Seconds) -> None:
        """Learn from one exchange; older news is dropped."""
        for state in gossip.members:
            if state.zone == self.me.zone:
                self._take_member(state, now)
        for worker in gossip.leaving:
            self.leaving_workers.setdefault(worker, now)
        for digest in gossip.digests:
            self._take_digest(digest)

    def exchange(self) -> Gossip:
        """Return what to tell a peer, of constant size."""
        heard = list(self._last_seen_by_name.values())
        chosen = self._random.sample(
            heard,
            min(len(heard), MEMBERS_PER_EXCHANGE - 1),
        )
        leaving = list(self.leaving_workers)[-_LEAVING_PER_EXCHANGE:]
        digests = list(self.digest_by_zone.values())[:_DIGESTS_PER_EXCHANGE]
        return Gossip(
            members=[self.me, *(entry.state for entry in chosen)],
            leaving=leaving,
            digests=digests,
        )

    def alive(self, now: Seconds) -> list[SchedulerId]:
        """Return the members of the zone that seem able to hold workers."""
        others = [
            name
            for name, heard in self._last_seen_by_name.items()
            if now - heard.at <= self.timeout and not heard.state.leaving
        ]
        mine = [] if self.me.leaving else [self.me.name]
        return sorted([*others, *mine])

    def holding(self, now: Seconds) -> list[SchedulerId]:
        """Return those of `alive` that hold a worker, as they told."""
        told = {state.name: state.held for state in self.peers(now)}
        told[self.me.name] = self.me.held
        return [name for name in self.alive(now) if told.get(name)]

    def peers(self, now: Seconds) -> list[MemberState]:
        """Return the other members that were heard of lately."""
        return [
            heard.state
            for heard in self._last_seen_by_name.values()
            if now - heard.at <= self.timeout
        ]

    def peers_with_room(
        self,
        size: Resources,
        now: Seconds,
    ) -> list[MemberState]:
        """Return the peers that told of a worker with room for `size`."""
        roomy = [
            peer for peer in self.peers(now) if size.fits(peer.largest_free)
        ]
        # One order for all, so that two large groups don't block each other.
        return sorted(roomy, key=lambda peer: peer.name)

    def address_of(self, name: SchedulerId) -> Address | None:
        """Return a member's address, if it is known."""
        heard = self._last_seen_by_name.get(name)
        return None if heard is None else heard.state.address

    def newest_bundle(self, now: Seconds) -> MemberState | None:
        """Return the peer that has the newest bundle."""
        return max(
            self.peers(now),
            key=lambda state: state.bundle,
            default=None,
        )

    def note_leaving(self, worker: WorkerId, now: Seconds) -> None:
        """Remember that a worker is leaving, to tell others."""
        self.leaving_workers.setdefault(worker, now)

    def summarise(self, now: Seconds, workers: int) -> ZoneDigest:
        """Make this zone's digest for the other zones."""
        peers = self.peers(now)
        digest = ZoneDigest(
            zone=self.me.zone,
            beat=now,
            workers=workers,
            queued=self.me.queued + sum(peer.queued for peer in peers),
            bundle=BundleVersion(
                max([self.me.bundle, *(peer.bundle for peer in peers)]),
            ),
            contact=self.me.address,
        )
        self.digest_by_zone[self.me.zone] = digest
        return digest

    def _take_member(self, state: MemberState, now: Seconds) -> None:
        if state.name == self.me.name:
            return
        known = self._last_seen_by_name.get(state.name)
        if known is None or _age(state) > _age(known.state):
            self._last_seen_by_name[state.name] = _SeenMember(state, now)

    def _take_digest(self, digest: ZoneDigest) -> None:
        known = self.digest_by_zone.get(digest.zone)
        if known is None or digest.beat > known.beat:
            self.digest_by_zone[digest.zone] = digest


def _age(state: MemberState) -> tuple[int, int]:
    return (state.incarnation, state.beat)


def preferred_holder(
    worker: WorkerId,
    members: list[SchedulerId],
) -> SchedulerId | None:
    """Return who should hold a worker: the highest hash of the pair.

    Examples
    --------
    >>> preferred_holder(WorkerId('w-1'), []) is None
    True
    >>> preferred_holder(WorkerId('w-1'), [SchedulerId('s-1')])
    's-1'
    """
    return max(
        members,
        key=lambda name: xxhash.xxh64_intdigest(f'{name}/{worker}'.encode()),
        default=None,
    )
