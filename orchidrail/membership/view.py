"""One scheduler's view of the others, maintained by periodic gossip."""

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

#: Members in one gossip message, which bounds its size.
MEMBERS_PER_EXCHANGE = 6
_LEAVING_PER_EXCHANGE = 16
_DIGESTS_PER_EXCHANGE = 32


class _SeenMember(NamedTuple):
    state: MemberState
    at: Seconds


class MembershipView:
    """Members of this zone, and digests of the other zones.

    Parameters
    ----------
    me : MemberState
        State that this scheduler reports of itself.
    timeout : float
        Seconds without a newer heartbeat after which a member is dead.
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
        """Start without other members."""
        self.me = me
        self.timeout = timeout
        self.leaving_workers: dict[WorkerId, Seconds] = {}
        self.digest_by_zone: dict[ZoneId, ZoneDigest] = {}
        self._random = random
        self._last_seen_by_name: dict[SchedulerId, _SeenMember] = {}

    def take(self, gossip: Gossip, now: Seconds) -> None:
        """Merge a gossip message; outdated states are ignored."""
        for state in gossip.members:
            if state.zone == self.me.zone:
                self._merge_member(state, now)
        for worker in gossip.leaving:
            self.leaving_workers.setdefault(worker, now)
        for digest in gossip.digests:
            self._merge_digest(digest)

    def exchange(self) -> Gossip:
        """Return a gossip message of bounded size for a peer."""
        seen = list(self._last_seen_by_name.values())
        chosen = self._random.sample(
            seen,
            min(len(seen), MEMBERS_PER_EXCHANGE - 1),
        )
        leaving = list(self.leaving_workers)[-_LEAVING_PER_EXCHANGE:]
        digests = list(self.digest_by_zone.values())[:_DIGESTS_PER_EXCHANGE]
        return Gossip(
            members=[self.me, *(entry.state for entry in chosen)],
            leaving=leaving,
            digests=digests,
        )

    def alive(self, now: Seconds) -> list[SchedulerId]:
        """Return the live members of the zone that may hold workers."""
        others = [
            name
            for name, seen in self._last_seen_by_name.items()
            if now - seen.at <= self.timeout and not seen.state.leaving
        ]
        mine = [] if self.me.leaving else [self.me.name]
        return sorted([*others, *mine])

    def holding(self, now: Seconds) -> list[SchedulerId]:
        """Return those of `alive` that report to hold a worker."""
        held_by_name = {state.name: state.held for state in self.peers(now)}
        held_by_name[self.me.name] = self.me.held
        return [name for name in self.alive(now) if held_by_name.get(name)]

    def peers(self, now: Seconds) -> list[MemberState]:
        """Return the other members with a recent heartbeat."""
        return [
            seen.state
            for seen in self._last_seen_by_name.values()
            if now - seen.at <= self.timeout
        ]

    def peers_with_room(
        self,
        size: Resources,
        now: Seconds,
    ) -> list[MemberState]:
        """Return the peers that report a worker with `size` free."""
        candidates = [
            peer for peer in self.peers(now) if size.fits(peer.largest_free)
        ]
        # A global order, so that two large groups don't block each other.
        return sorted(candidates, key=lambda peer: peer.name)

    def address_of(self, name: SchedulerId) -> Address | None:
        """Return a member's address, if it is known."""
        seen = self._last_seen_by_name.get(name)
        return None if seen is None else seen.state.address

    def newest_bundle(self, now: Seconds) -> MemberState | None:
        """Return the peer that has the newest bundle."""
        return max(
            self.peers(now),
            key=lambda state: state.bundle,
            default=None,
        )

    def note_leaving(self, worker: WorkerId, now: Seconds) -> None:
        """Record that a worker is leaving, to gossip it."""
        self.leaving_workers.setdefault(worker, now)

    def summarise(self, now: Seconds, workers: int) -> ZoneDigest:
        """Store and return this zone's digest for the other zones."""
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

    def _merge_member(self, state: MemberState, now: Seconds) -> None:
        if state.name == self.me.name:
            return
        known = self._last_seen_by_name.get(state.name)
        if known is None or _version(state) > _version(known.state):
            self._last_seen_by_name[state.name] = _SeenMember(state, now)

    def _merge_digest(self, digest: ZoneDigest) -> None:
        known = self.digest_by_zone.get(digest.zone)
        if known is None or digest.beat > known.beat:
            self.digest_by_zone[digest.zone] = digest


def _version(state: MemberState) -> tuple[int, int]:
    return (state.incarnation, state.beat)


def preferred_holder(
    worker: WorkerId,
    members: list[SchedulerId],
) -> SchedulerId | None:
    """Return the member that should hold a worker, by rendezvous hashing.

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
